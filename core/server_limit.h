/*
 * The limit that a backend server in need names: how many requests a second it
 * takes from all instances together, for as long as its answers say so. Here is
 * what one instance believes of it, from the server's own words and from peers'.
 *
 * Answers on several connections overtake each other, and a peer's word is older
 * than its datagram. Of each word it is known only that the server said it between
 * two moments: after it was asked, and before it was heard. A word is newer than
 * another if it was asked after the other was heard. Where that isn't sure the
 * tighter one counts, so that no overtaking ends a limit or raises it.
 */
#ifndef MP_CORE_SERVER_LIMIT_H
#define MP_CORE_SERVER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

enum limit_source { LIMIT_BY_RESPONSE, LIMIT_BY_PROBE, LIMIT_BY_PEER };

/* What the server says, and when it said so; by a steady clock. */
struct limit_report {
	bool limited;
	double per_s; /* if named: requests a second, of all instances */
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
	int64_t since_ms;	      /* named, as far as known here */
	int64_t sent_ms, received_ms; /* of the word that counts; 0: none yet */
	bool in_probes; /* the server's answers to questions name it too */
};

enum limit_change server_limit_update(struct server_limit *l,
				      const struct limit_report *w,
				      int64_t now_ms);
bool server_limit_is_stale(const struct server_limit *l, int64_t now_ms);
const char *limit_source_name(enum limit_source source);

#endif
