/*
 * Placement: which backend servers to probe for their load, and how the probed
 * servers compare. Pure functions: no network access, the time is an argument.
 *
 * Load changes within milliseconds, so an older report is of little use. A few
 * servers are probed just before a request is sent, which then uses a
 * connection that has just answered.
 */
#ifndef MP_CORE_PLACE_H
#define MP_CORE_PLACE_H

#include "core/backend.h"

enum {
	PLACE_PROBE_MAX = 4, /* servers probed at once */
	PLACE_TRIED_MAX = 8, /* servers excluded as already tried */
};

struct place_query {
	const struct service *service;
	const char *dc;		      /* this instance's data centre */
	struct backend *const *avoid; /* already probed or sent to */
	unsigned navoid;
	bool own_dc_only;
	/* spill_spare_ms(); 0: ranks decide alone. */
	double spare_ms;
	bool hedge; /* another copy is outstanding: not to limited servers */
	int64_t now_ms;
	GRand *rand;
};

GPtrArray *place_candidates(const struct place_query *q);
unsigned place_select_probes(const struct place_query *q, unsigned want,
			     struct backend **out);
double place_estimate_ms(const struct backend *b, double work_ms,
			 int64_t now_ms);
void place_record_rtt(struct backend *b, double ms);
void place_record_load(struct backend *b, int64_t now_ms);
double place_rank_ms(const struct backend *b, const char *dc,
		     double estimate_ms, int64_t now_ms);
struct server_view place_server_view(const struct backend *b, int64_t now_ms);
bool place_has_capacity(const struct backend *b, int64_t now_ms);
bool place_has_headroom(const struct backend *b, int64_t now_ms);
bool place_is_good_enough(const struct backend *b, int64_t now_ms);

#endif
