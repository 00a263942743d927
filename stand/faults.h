/*
 * How a stand-in of a backend server misbehaves, as POST /stand/faults sets it:
 *   shed=0|1  shed_pct=N  turns requests away
 *   backoff_milli=N  asks in these responses to back off for N ms; -1: doesn't
 *   backoff_odd=0|1  asks for what is no number
 *   late_ms=N  turns away only after so long
 *   draining=0|1  announces in all responses that it drains; its entry doesn't
 *   unlisted=0|1  writes its entry no more, which lapses
 *   quiet=0|1  hang_pct=N  lost_pct=N  cut_pct=N  extra_pct=N
 *   limit_milli=N  names a limit of N requests in 1,000 s; -1: none
 *   limit_odd=0|1  names one that is no number
 *   limit_asked=0|1  names it in answers to questions too
 * And what it may not hold against instances, see stand/audit.h:
 *   audit_off=1 ... audit_on=1  what is asked, and what arrives, between these
 *   excuse=NAME  what it has asked the instance so far
 */
#ifndef MP_STAND_FAULTS_H
#define MP_STAND_FAULTS_H

#include "stand/query.h"

struct faults {
	int shed_pct, backoff_milli, backoff_odd, late_ms, draining, unlisted;
	int hang_pct, lost_pct, cut_pct, extra_pct;
	int limit_milli, limit_odd, limit_asked;
	int quiet;
};

void faults_init(struct faults *f);
void faults_set(struct faults *f, const struct query *q);

#endif
