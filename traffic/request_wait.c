#include "common/event.h"
#include "core/availability.h"
#include "core/hedge.h"
#include "core/limit_room.h"
#include "core/mechanisms.h"
#include "misc/clock.h"
#include "traffic/ask.h"
#include "traffic/limit_sends.h"
#include "traffic/request_wait.h"

enum {
	/*
	 * Without room anywhere it is asked again after this, then after
	 * twice as long and so on: the answers to this instance's other
	 * requests tell of room sooner, and at no cost.
	 */
	WAIT_MS = 12,
	WAITS_MAX = 6, /* doublings */
	/* A late second send is tried again after this. */
	RESCUE_AGAIN_MS = 150,
};

/* The more important first, then the older. */
static gint compare_waiting(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct request *x = a, *y = b;

	if (x->route->priority != y->route->priority)
		return x->route->priority < y->route->priority ? -1 : 1;
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

/* request_wait_end() takes a request out of the queue, if it stands there. */
void request_wait_end(struct request *r)
{
	if (r->queued)
		g_queue_remove(&r->service->waiting, r);
	r->queued = false;
}

/* No server for a second send now: again when it may be late. */
static void plan_rescue(struct request *r, int64_t now_ms)
{
	const struct send *first = &r->sends[r->nsends - 1];
	int64_t at = first->sent_ms +
		     rescue_delay_ms(first->estimate_ms, r->route->target_ms);

	r->hedge_ms = r->rescue ? now_ms + RESCUE_AGAIN_MS : at;
	if (!mechanisms.rescue)
		r->hedge_ms = 0;
	r->rescue = true;
}

/* Ends a request that found no room; another copy of it may still be out. */
static void give_up(struct request *r)
{
	bool alone = !request_is_out(r);

	r->traffic->counters.no_room++;
	request_place_end(r);
	if (!alone)
		request_arm(r);
	else if (r->undenied)
		request_fail(r, 502, "no server left");
	else
		request_refuse(r, "no room");
}

/* How long it may look for room in all, since it began to. */
static int64_t wait_end_ms(const struct request *r, int64_t now_ms)
{
	struct admit_request view = request_view(r, now_ms);

	return r->placing_since_ms + (int64_t)admit_max_wait_ms(&view);
}

/* Whether a request with so many before it gets its turn while it may wait. */
static bool gets_turn(const struct request *r, const struct limit_room *room,
		      unsigned before, int64_t now_ms)
{
	double wait = limit_room_wait_ms(room, before);

	return (double)now_ms + wait <= (double)wait_end_ms(r, now_ms);
}

/* Whether it waits for what peers may give up for it. */
static bool awaits_grant(const struct request *r, int64_t now_ms)
{
	return r->grant_until_ms && now_ms < r->grant_until_ms;
}

/* A request waits once for the answers to a question. */
static bool may_get_grant(struct request *r, int64_t now_ms)
{
	int64_t until = limit_sends_want(r->traffic, r->service, now_ms);

	if (r->grant_until_ms || now_ms >= until ||
	    now_ms >= wait_end_ms(r, now_ms))
		return false;
	r->grant_until_ms = until;
	return true;
}

/* The last of those behind r that gets no turn in time; NULL: there is none. */
static struct request *last_hopeless(const GQueue *waiting,
				     const struct request *r,
				     const struct limit_room *room,
				     int64_t now_ms)
{
	unsigned before = waiting->length;

	for (GList *l = waiting->tail; l && l->data != r; l = l->prev) {
		struct request *last = l->data;

		before--;
		if (awaits_grant(last, now_ms))
			continue;
		return gets_turn(last, room, before, now_ms) ? NULL : last;
	}
	return NULL;
}

/*
 * One that goes before others takes their turns: those that don't get any in time
 * hear so now. A refusal may let a caller's next request in, which waits as well
 * and may end any of these, r too: so the queue is looked at anew each time.
 */
static void refuse_hopeless(const GQueue *waiting, const struct request *r,
			    const struct limit_room *room, int64_t now_ms)
{
	struct request *last;

	while ((last = last_hopeless(waiting, r, room, now_ms)))
		give_up(last);
}

/*
 * All servers of the service are in need, so that it is known when a request gets
 * its turn: it waits for that, or for what a peer may give up, or is refused at once.
 */
static void wait_for_limit(struct request *r, const struct limit_room *room,
			   int64_t now_ms)
{
	int64_t until = now_ms + (room->next_ms > 0 ? room->next_ms : WAIT_MS);
	unsigned before;

	enqueue(r);
	before = (unsigned)g_queue_index(&r->service->waiting, r);
	if (!gets_turn(r, room, before, now_ms)) {
		if (!may_get_grant(r, now_ms)) {
			give_up(r);
			return;
		}
		until = r->grant_until_ms;
	}
	r->round = 0;
	r->wait_until_ms = until;
	if (r->waits < WAITS_MAX)
		r->waits++;
	request_arm(r);
	refuse_hopeless(&r->service->waiting, r, room, now_ms);
}

/*
 * No server of the service can be used until resume_ms: the request waits for that if
 * it is in time, or is refused at once.
 */
static void wait_for_resume(struct request *r, int64_t resume_ms,
			    int64_t now_ms)
{
	if (resume_ms > wait_end_ms(r, now_ms)) {
		give_up(r);
		return;
	}
	r->round = 0;
	r->wait_until_ms = resume_ms;
	enqueue(r);
	request_arm(r);
}

/* Waits a moment for room, while it may. */
static void wait_for_room(struct request *r, int64_t now_ms)
{
	int64_t end = wait_end_ms(r, now_ms);

	if (now_ms >= end || r->service->backends->len == 0) {
		give_up(r);
		return;
	}
	r->round = 0;
	r->wait_until_ms = now_ms + (WAIT_MS << r->waits);
	if (r->wait_until_ms > end)
		r->wait_until_ms = end;
	if (r->waits < WAITS_MAX)
		r->waits++;
	enqueue(r);
	request_arm(r);
}

/* request_wait() is called when nobody has room: it waits or gives up. */
void request_wait(struct request *r, int64_t now_ms)
{
	struct admit_request view = request_view(r, now_ms);
	struct limit_room room = limit_room(r->service, now_ms);
	int64_t resume_ms = service_resume_ms(r->service, now_ms);

	if (admit_can_be_on_time(&view) && r->placement != PLACE_HEDGE)
		r->service->capacity_missed_ms = now_ms;
	ask_release(r);
	if (r->placement == PLACE_HEDGE) {
		request_place_end(r);
		plan_rescue(r, now_ms);
		request_arm(r);
	} else if (resume_ms) {
		wait_for_resume(r, resume_ms, now_ms);
	} else if (room.all) {
		wait_for_limit(r, &room, now_ms);
	} else {
		wait_for_room(r, now_ms);
	}
}

/*
 * request_wait_is_behind() tells whether others wait for the limits of servers that
 * are all in need, and go before r: what is earned next is theirs.
 */
bool request_wait_is_behind(const struct request *r, int64_t now_ms)
{
	const struct request *first = g_queue_peek_head(&r->service->waiting);

	return first && compare_waiting(first, r, NULL) < 0 &&
	       limit_room(r->service, now_ms).all;
}

/*
 * request_wait_yields() lets the first in the queue go before r, whose wait is
 * over, when a server in need takes one more; once, as the first may not want it.
 */
bool request_wait_yields(struct request *r, int64_t now_ms)
{
	struct request *first = g_queue_peek_head(&r->service->waiting);
	struct limit_room room;

	if (!r->queued || first == r || r->yielded)
		return false;
	room = limit_room(r->service, now_ms);
	if (!room.all || room.ready == 0)
		return false;
	r->yielded = true;
	r->wait_until_ms = now_ms + 1;
	if (first->wait_until_ms) {
		first->wait_until_ms = now_ms;
		request_arm(first);
	}
	return true;
}
