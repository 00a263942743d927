/*
 * Decides how an instance that starts becomes a member: it asks the instances
 * that its settings name for peers that can serve, fetches the members and the
 * state from one of them, and lists the members in the store if none is found.
 * Pure logic; times and random numbers are passed in.
 */
#ifndef MP_MEMBER_JOIN_H
#define MP_MEMBER_JOIN_H

#include <stdbool.h>
#include <stdint.h>

struct join {
	unsigned turn;	   /* of the seeds */
	int64_t list_ms;   /* when the store is listed if no peer is found */
	unsigned failures; /* of listings, consecutive */
	bool first_start;  /* of the whole system */
	bool fetch_failed; /* the last fetch from a peer failed */
};

enum join_action {
	JOIN_ASK,   /* ask a seed, and wait */
	JOIN_FETCH, /* likewise, and fetch from a peer that can serve */
	JOIN_LIST,  /* list the members in the store */
};

/* What a decision is based on. */
struct join_view {
	unsigned members; /* live peers that have joined */
	unsigned sources; /* of these, those that can serve */
	bool listing;	  /* a listing is pending */
	bool fetching;	  /* a fetch is pending */
};

void join_init(struct join *j, bool first_start, bool has_seeds, bool is_seed,
	       double random, int64_t now_ms);
enum join_action join_next(const struct join *j, const struct join_view *v,
			   int64_t now_ms);
void join_list_failed(struct join *j, double random, int64_t now_ms);

#endif
