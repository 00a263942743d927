/*
 * Faults of a simulated backend server, parameters of POST /stand/faults:
 *   shed=0|1         reject all requests (1) or none
 *   shed_pct=N       reject N percent of the requests
 *   backoff_milli=N  rejections ask for a backoff of N ms; -1: none
 *   backoff_odd=0|1  rejections ask for a backoff that is no number
 *   late_ms=N        delay rejections
 *   draining=0|1     announce in all responses that it drains, but not in its
 *                    entry in the store
 *   unlisted=0|1     stop writing its entry, so that its lease expires
 *   quiet=0|1        constant speed: no slow start, no noisy neighbour
 *   hang_pct=N       never respond
 *   lost_pct=N       run the request, then close the connection
 *   cut_pct=N        truncate the response
 *   extra_pct=N      send the response twice
 *   unframed_pct=N   respond without a length, in two halves
 *   long_pct=N       run the request for some seconds
 *   body_kb=N        begin the body of each response with N KB more
 *   chunked=0|1      send bodies in chunks
 *   bad_head_pct=N   respond with a head that breaks the grammar
 *   limit_milli=N    set a rate limit of N requests in 1,000 s; -1: none
 *   limit_odd=0|1    set a rate limit that is no number
 *   limit_asked=0|1  set the limit in responses to probes too
 *   cold_ms=N        turn cold for N ms, which health responses and the entry
 *                    report; what arrives meanwhile is checked
 * Exemptions from the checks of stand/audit.h:
 *   audit_off=1 ... audit_on=1  suspend the checks between these
 *   excuse=NAME      drop the backoffs and announcements sent to an instance
 */
#ifndef MP_STAND_FAULTS_H
#define MP_STAND_FAULTS_H

#include "stand/query.h"

/* Values of the parameters; the percentages are chances per request. */
struct faults {
	int shed_pct, backoff_milli, backoff_odd, late_ms, draining, unlisted;
	int hang_pct, lost_pct, cut_pct, extra_pct, unframed_pct, long_pct;
	int limit_milli, limit_odd, limit_asked;
	int quiet, cold_ms;
	int body_kb, chunked, bad_head_pct;
};

void faults_init(struct faults *f);
void faults_set(struct faults *f, const struct query *q);

#endif
