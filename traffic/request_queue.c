#include "common/event.h"
#include "core/availability.h"
#include "core/hedge.h"
#include "core/limit_capacity.h"
#include "core/mechanisms.h"
#include "core/path.h"
#include "misc/clock.h"
#include "traffic/limit_sends.h"
#include "traffic/probe.h"
#include "traffic/request_queue.h"
#include "traffic/shortage_gossip.h"

enum {
	/*
	 * Delay until the next check for capacity, doubled each time. Responses
	 * to this instance's other requests show capacity sooner, at no cost.
	 */
	RECHECK_MS = 12,
	RECHECK_DOUBLINGS_MAX = 6, /* limit of the doubling */
	/* Interval between attempts to start a rescue. */
	RESCUE_RETRY_MS = 150,
	/*
	 * While no server answers: until connection attempts have timed out and
	 * a peer has been asked for a tunnel.
	 */
	PATH_WAIT_MS = 300,
};

/* Orders the queue by priority, then by time spent since the first attempt. */
static gint compare_waiting(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct request *x = a, *y = b;

	if (x->priority.workspace != y->priority.workspace)
		return x->priority.workspace < y->priority.workspace ? -1 : 1;
	if (x->priority.route != y->priority.route)
		return x->priority.route < y->priority.route ? -1 : 1;
	if (x->spent_before_ms != y->spent_before_ms)
		return x->spent_before_ms < y->spent_before_ms ? -1 : 1;
	return x->start_ms < y->start_ms ? -1 : x->start_ms > y->start_ms;
}

static void enqueue(struct request *r)
{
	if (!r->queued)
		g_queue_insert_sorted(&r->service->waiting, r, compare_waiting,
				      NULL);
	r->queued = true;
}

/* Removes a request from its service's queue, if it is in it. */
void request_queue_remove(struct request *r)
{
	if (r->queued)
		g_queue_remove(&r->service->waiting, r);
	r->queued = false;
}

/* No server takes a hedge now: retries when the request may be late. */
static void schedule_rescue(struct request *r, int64_t now_ms)
{
	const struct send *first = &r->sends[r->nsends - 1];
	int64_t late_ms = first->sent_ms + rescue_delay_ms(first->estimate_ms,
							   r->route->target_ms);

	r->hedge_at_ms = r->rescue ? now_ms + RESCUE_RETRY_MS : late_ms;
	if (!mechanisms.rescue)
		r->hedge_at_ms = 0;
	r->rescue = true;
}

/*
 * Ends the selection of a request without capacity, and the request itself
 * unless another copy is in flight.
 */
static void give_up(struct request *r)
{
	bool only_copy = !request_is_in_flight(r);

	r->traffic->counters.no_capacity++;
	request_select_end(r);
	if (!only_copy)
		request_arm_timer(r);
	else if (r->maybe_executed)
		request_fail(r, 502, "no server left");
	else
		request_refuse(r, reach_is_lost(&r->service->reach)
					  ? "no server reached"
					  : "no room");
}

/* Returns the time until which the request may wait for capacity. */
static int64_t wait_deadline_ms(const struct request *r, int64_t now_ms)
{
	struct admit_request view = request_admission_view(r, now_ms);
	int64_t wait_ms = (int64_t)admit_max_wait_ms(&view);

	if (wait_ms < PATH_WAIT_MS && r->traffic->settings->tunnels &&
	    r->probes_sent && !r->probes_answered &&
	    path_may_be_found(r->service))
		wait_ms = PATH_WAIT_MS;
	return r->select_start_ms + wait_ms;
}

/* Returns whether r gets its turn in time with `ahead` requests before it. */
static bool is_served_in_time(const struct request *r,
			      const struct limit_capacity *capacity,
			      unsigned ahead, int64_t now_ms)
{
	double wait_ms = limit_capacity_wait_ms(capacity, ahead);

	return (double)now_ms + wait_ms <= (double)wait_deadline_ms(r, now_ms);
}

/* Returns whether the request waits for a peer to grant a send. */
static bool is_awaiting_grant(const struct request *r, int64_t now_ms)
{
	return r->grant_until_ms && now_ms < r->grant_until_ms;
}

/* Starts waiting for a grant; each request does so only once. */
static bool begin_grant_wait(struct request *r,
			     const struct limit_capacity *capacity,
			     int64_t now_ms)
{
	int64_t until_ms;

	if (!capacity->may_borrow)
		return false;
	until_ms = limit_sends_request_grant(r->traffic, r->service, now_ms);
	if (r->grant_until_ms || now_ms >= until_ms ||
	    now_ms >= wait_deadline_ms(r, now_ms))
		return false;
	r->grant_until_ms = until_ms;
	return true;
}

/* Returns the last request behind r that can't be served in time, or NULL. */
static struct request *last_unservable(const GQueue *waiting,
				       const struct request *r,
				       const struct limit_capacity *capacity,
				       int64_t now_ms)
{
	unsigned ahead = waiting->length;

	for (GList *l = waiting->tail; l && l->data != r; l = l->prev) {
		struct request *last = l->data;

		ahead--;
		if (is_awaiting_grant(last, now_ms))
			continue;
		return is_served_in_time(last, capacity, ahead, now_ms) ? NULL
									: last;
	}
	return NULL;
}

/*
 * Refuses the requests behind r that can't be served in time any more. A
 * refusal may admit the caller's next request, which queues as well and may end
 * any of these, even r: the queue is searched anew each time.
 */
static void refuse_unservable(const GQueue *waiting, const struct request *r,
			      const struct limit_capacity *capacity,
			      int64_t now_ms)
{
	struct request *last;

	while ((last = last_unservable(waiting, r, capacity, now_ms)))
		give_up(last);
}

/*
 * All usable servers of the service have a limit, so the waiting time is known:
 * waits for its turn or for a peer's grant, or refuses immediately.
 */
static void wait_for_limit(struct request *r,
			   const struct limit_capacity *capacity,
			   int64_t now_ms)
{
	int64_t until_ms = now_ms + (capacity->next_ms > 0 ? capacity->next_ms
							   : RECHECK_MS);
	unsigned ahead;

	enqueue(r);
	ahead = (unsigned)g_queue_index(&r->service->waiting, r);
	if (!is_served_in_time(r, capacity, ahead, now_ms)) {
		if (!begin_grant_wait(r, capacity, now_ms)) {
			give_up(r);
			return;
		}
		until_ms = r->grant_until_ms;
	}
	r->probe_round = 0;
	r->wait_until_ms = until_ms;
	if (r->wait_count < RECHECK_DOUBLINGS_MAX)
		r->wait_count++;
	request_arm_timer(r);
	refuse_unservable(&r->service->waiting, r, capacity, now_ms);
}

/*
 * No server of the service can be used until resume_ms: waits for that if it is
 * in time, else refuses immediately.
 */
static void wait_for_resume(struct request *r, int64_t resume_ms,
			    int64_t now_ms)
{
	if (resume_ms > wait_deadline_ms(r, now_ms)) {
		give_up(r);
		return;
	}
	r->probe_round = 0;
	r->wait_until_ms = resume_ms;
	enqueue(r);
	request_arm_timer(r);
}

/* Waits for the next check for capacity, until the wait deadline. */
static void wait_for_capacity(struct request *r, int64_t now_ms)
{
	int64_t deadline_ms = wait_deadline_ms(r, now_ms);

	if (now_ms >= deadline_ms || !service_is_usable(r->service, now_ms)) {
		give_up(r);
		return;
	}
	r->probe_round = 0;
	r->wait_until_ms = now_ms + (RECHECK_MS << r->wait_count);
	if (r->wait_until_ms > deadline_ms)
		r->wait_until_ms = deadline_ms;
	if (r->wait_count < RECHECK_DOUBLINGS_MAX)
		r->wait_count++;
	enqueue(r);
	request_arm_timer(r);
}

/* Queues or refuses a request for which no server has capacity. */
void request_queue_wait(struct request *r, int64_t now_ms)
{
	struct admit_request view = request_admission_view(r, now_ms);
	struct limit_capacity capacity = limit_capacity(r->service, now_ms);
	int64_t resume_ms = service_resume_ms(r->service, now_ms);

	if (admit_can_be_on_time(&view) && r->select_reason != SELECT_HEDGE)
		r->service->capacity_missed_ms = now_ms;
	if (r->select_reason == SELECT_FIRST)
		shortage_gossip_count(r, true, now_ms);
	probes_release(r);
	if (r->select_reason == SELECT_HEDGE) {
		request_select_end(r);
		schedule_rescue(r, now_ms);
		request_arm_timer(r);
	} else if (resume_ms) {
		wait_for_resume(r, resume_ms, now_ms);
	} else if (capacity.all_limited) {
		wait_for_limit(r, &capacity, now_ms);
	} else {
		wait_for_capacity(r, now_ms);
	}
}

/*
 * Returns whether requests ahead of r wait for the limits of servers that are
 * all limited: the next tokens are theirs.
 */
bool request_queue_is_behind(const struct request *r, int64_t now_ms)
{
	const struct request *first = g_queue_peek_head(&r->service->waiting);

	return first && compare_waiting(first, r, NULL) < 0 &&
	       limit_capacity(r->service, now_ms).all_limited;
}

/*
 * Lets the head of the queue go before r, whose wait is over, when a limited
 * server has a token. Only once, as the head may not use it.
 */
bool request_queue_yield(struct request *r, int64_t now_ms)
{
	struct request *first = g_queue_peek_head(&r->service->waiting);
	struct limit_capacity capacity;

	if (!r->queued || first == r || r->yielded)
		return false;
	capacity = limit_capacity(r->service, now_ms);
	if (!capacity.all_limited || capacity.available == 0)
		return false;
	r->yielded = true;
	r->wait_until_ms = now_ms + 1;
	if (first->wait_until_ms) {
		first->wait_until_ms = now_ms;
		request_arm_timer(first);
	}
	return true;
}
