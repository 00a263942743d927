/*
 * Placement: which backend servers to ask for their load, and which of those
 * that answered gets the request. Pure decisions on values; no network, no
 * clock of its own.
 *
 * Load shifts within milliseconds, so a remembered report is worth little. A
 * few servers are asked just before a request is sent, and the request goes
 * out on a connection that has answered a moment ago.
 */
#ifndef MP_CORE_PLACE_H
#define MP_CORE_PLACE_H

#include "core/backend.h"

enum {
	PLACE_PROBE_MAX = 4, /* servers asked at once, at most */
	PLACE_TRIED_MAX = 8, /* servers remembered as used up */
};

struct place_query {
	const struct service *service;
	const char *dc;		      /* this instance's data centre */
	struct backend *const *avoid; /* already asked or sent to */
	unsigned navoid;
	bool own_dc_only;
	bool hedge; /* beside a first send: not to servers in need */
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
