/*
 * The limit that an overloaded backend server announces: how many requests per
 * second it takes from all instances together, for as long as its responses
 * contain it. This is what one instance knows of it, from the server's
 * responses and from peers.
 *
 * Responses on several connections overtake each other, and a peer's report is
 * older than its datagram. Of each report it is only known that the server made
 * it between two times: after the request was sent, and before the response was
 * received. A report is newer than another if its request was sent after the
 * other was received. If the order isn't known, the lower limit counts, so that
 * reordering never ends or raises a limit.
 */
#ifndef MP_CORE_SERVER_LIMIT_H
#define MP_CORE_SERVER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

enum limit_source { LIMIT_BY_RESPONSE, LIMIT_BY_PROBE, LIMIT_BY_PEER };

/* What the server announced, and when; times are monotonic. */
struct limit_report {
	bool limited;
	double per_s; /* if limited: requests per second, all instances */
	int64_t sent_ms, received_ms;
	enum limit_source source;
};

enum limit_change {
	LIMIT_UNCHANGED,
	LIMIT_STARTED,
	LIMIT_CHANGED,
	LIMIT_ENDED
};

struct server_limit {
	bool limited;
	double per_s;
	int64_t since_ms; /* limited since then, as far as known here */
	int64_t sent_ms, received_ms; /* of the report in force; 0: none */
	bool in_probes; /* responses to probes have announced it too */
};

enum limit_change server_limit_update(struct server_limit *l,
				      const struct limit_report *r,
				      int64_t now_ms);
bool server_limit_is_unconfirmed(const struct server_limit *l, int64_t now_ms);
bool server_limit_is_stale(const struct server_limit *l, int64_t now_ms);
const char *limit_source_name(enum limit_source source);

#endif
