/*
 * Slow start of backend servers. For some time after its start a server is
 * cold: it is slower, and tolerates only a bounded rate of requests from all
 * instances together. It may turn cold again at any moment. Servers report the
 * rest of that time in their responses to probes.
 *
 * A server counts as warm only while a recent probe has said so. Otherwise it
 * gets no more than this instance's share of the bound, see core/limit_share.h:
 * the sum over all instances keeps to it whatever each of them believes.
 */
#ifndef MP_CORE_SLOW_START_H
#define MP_CORE_SLOW_START_H

#include "core/limit_share.h"

/* The bound for the servers of a service. */
struct slow_start_bound {
	uint32_t duration_ms; /* how long a server is cold after its start */
	double per_s;	      /* requests; 0: the service has no slow start */
	struct limit_rule rule;
};

enum slow_start_phase {
	SLOW_START_WARM,
	SLOW_START_COLD,
	SLOW_START_UNKNOWN, /* no recent report */
};

/* What one instance knows of a server. Times are monotonic. */
struct slow_start {
	int64_t cold_until_ms; /* by the reports; 0: never reported as cold */
	int64_t cold_heard_ms; /* when the last such report was received */
	int64_t warm_asked_ms; /* when the last probe that reported it as warm
				  was sent; 0: none */
	bool logged_cold;      /* as last logged; the share has a quota then */
	struct limit_share share;
};

/* A response to a probe. */
struct slow_start_report {
	uint32_t left_ms; /* 0: warm */
	int64_t sent_ms;  /* of the probe */
	int64_t received_ms;
};

void slow_start_init(struct slow_start *s, int64_t now_ms);
bool slow_start_applies(const struct slow_start_bound *bound);
void slow_start_report(struct slow_start *s, const struct slow_start_report *r);
void slow_start_forget(struct slow_start *s);
void slow_start_assume_cold(struct slow_start *s, int64_t until_ms,
			    int64_t now_ms);
enum slow_start_phase slow_start_phase(const struct slow_start *s, bool probed,
				       int64_t now_ms);

#endif
