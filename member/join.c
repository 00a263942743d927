#include "member/join.h"
#include "misc/backoff.h"

enum {
	/*
	 * Instances that start together list the store at random times within
	 * this span, unless a peer is found first. The first ones can serve
	 * the others after some tenths of a second. If many read the whole
	 * state at once, the store's bandwidth makes all of them slow.
	 */
	SPREAD_MS = 600,
	/*
	 * When the whole system starts, callers don't wait yet, and a list from
	 * the store would be incomplete: time for the seeds to answer.
	 */
	FIRST_START_WAIT_MS = 1000,
	SPREAD_FIRST_START_MS = 2000,
	/* Within this time a fetch from a peer is complete. */
	FETCH_MS = 1000,
	/*
	 * When the whole system starts, members wait for the configuration, and
	 * the store has no members yet to list.
	 */
	MEMBERS_WAIT_MS = 4000,
	RETRY_MS = 300,
	RETRY_MAX_MS = 2000,
};

/*
 * join_init() begins to join. An instance lists the store at once if it is a
 * seed itself, since others ask it, or if its settings name no other one.
 * `random` is in 0..1.
 */
void join_init(struct join *j, bool first_start, bool has_seeds, bool is_seed,
	       double random, int64_t now_ms)
{
	*j = (struct join){.list_ms = now_ms, .first_start = first_start};
	if (is_seed || !has_seeds)
		return;
	if (first_start)
		j->list_ms += FIRST_START_WAIT_MS +
			      (int64_t)(random * SPREAD_FIRST_START_MS);
	else
		j->list_ms += (int64_t)(random * SPREAD_MS);
}

/* join_next() returns what to do now. */
enum join_action join_next(const struct join *j, const struct join_view *v,
			   int64_t now_ms)
{
	bool can_fetch = v->sources > 0 || v->fetching;
	int64_t list_ms = j->list_ms;

	if (j->first_start && v->members > 0)
		list_ms += MEMBERS_WAIT_MS;
	else if (can_fetch && !j->fetch_failed)
		list_ms += FETCH_MS;
	if (!v->listing && now_ms >= list_ms)
		return JOIN_LIST;
	return v->sources && !v->fetching ? JOIN_FETCH : JOIN_ASK;
}

/* join_list_failed() schedules the next attempt to list the store. */
void join_list_failed(struct join *j, double random, int64_t now_ms)
{
	j->failures++;
	j->list_ms = now_ms +
		     backoff_ms(j->failures, RETRY_MS, RETRY_MAX_MS, random);
}
