#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "core/outlier.h"
#include "misc/clock.h"
#include "traffic/request.h"

enum {
	ASK_FIRST = 2,	 /* servers of the own data centre asked first */
	ASK_FURTHER = 3, /* servers asked in each later round */
	ROUNDS = 2,
	/*
	 * Once a server with room has answered, the others get this long:
	 * two round trips between data centres and a handshake.
	 */
	PATIENCE_MS = 5,
	/*
	 * A round without any answer ends after this; a lost packet is
	 * repeated after 200 ms, so longer waits bring nothing.
	 */
	ROUND_MS = 30,
	/* Without room anywhere it is asked again after this. */
	WAIT_MS = 12,
};

/* No answer to a question is a failure of the server, of full weight. */
static const double SILENT_TROUBLE = 1.0;

/*
 * Share of the target time that a request may wait for room. An answer of
 * "come back later" within this costs the caller little of its time.
 */
static const double WAIT_SHARE = 0.125;

static void drop_ask(struct ask *a)
{
	if (a->upstream)
		upstream_drop(a->upstream);
	a->upstream = NULL;
	a->pending = false;
}

/* Gives connections back that answered and drops those that still may. */
static void release_asks(struct request *r)
{
	int64_t now_ms = clock_ms();

	for (unsigned i = 0; i < r->nasks; i++) {
		struct ask *a = &r->asks[i];

		if (a->upstream && a->answered) {
			upstream_put(a->upstream, now_ms);
			a->upstream = NULL;
		}
		drop_ask(a);
		backend_unref(a->backend);
	}
	r->nasks = 0;
}

/* request_place_end() ends the placement at hand, if there is one. */
void request_place_end(struct request *r)
{
	release_asks(r);
	r->placement = PLACE_NONE;
	r->wait_until_ms = 0;
}

static void decide(struct request *r, int64_t now_ms);

static enum http_verdict ask_judge(void *owner, const struct http_message *m)
{
	struct ask *a = owner;
	struct answer_info info;

	/* Only an answer that names its server answers the question. */
	exchange_read_answer(m, &info);
	if (info.id.ptr || !info.backend.ptr) {
		a->request->traffic->counters.foreign_answers++;
		return HTTP_SKIP;
	}
	return HTTP_TAKE;
}

/* The address belongs to another start by now: this one has ended. */
static void forget_backend(struct request *r, struct backend *b)
{
	mp_event(EV_MEMBER_GONE, G_LOG_LEVEL_MESSAGE,
		 "backend=%s why=another answers at its address", b->entry.id);
	backend_set_remove(&r->traffic->backends, b->entry.id);
}

static void note_report(struct ask *a, const struct answer_info *info,
			int64_t now_ms)
{
	struct service *s = a->backend->service;

	if (!info->has_load) {
		s->load_support = LOAD_NOT_TOLD;
		return;
	}
	s->load_support = LOAD_TOLD;
	a->backend->load = info->load;
	a->backend->load.at_ms = now_ms;
}

static void ask_response(void *owner, struct http_message *m)
{
	struct ask *a = owner;
	struct request *r = a->request;
	int64_t now_ms = clock_ms();
	struct answer_info info;
	bool own;

	exchange_read_answer(m, &info);
	own = lstr_eq(info.backend, lstr0(a->backend->entry.id));
	a->pending = false;
	if (!own) {
		drop_ask(a);
		forget_backend(r, a->backend);
	} else {
		note_report(a, &info, now_ms);
		a->answered = a->upstream->http.reusable;
		if (!a->answered)
			drop_ask(a);
	}
	http_message_free(m);
	decide(r, now_ms);
}

static void ask_failed(void *owner, int err, bool sent)
{
	struct ask *a = owner;
	int64_t now_ms = clock_ms();

	a->upstream = NULL;
	a->pending = false;
	a->request->traffic->counters.ask_failures++;
	/* A kept connection may be closed at any time: nobody's fault. */
	if (err != -EPIPE && err != -ECONNRESET)
		outlier_note(a->backend, SILENT_TROUBLE, now_ms);
	decide(a->request, now_ms);
}

static const struct http_client_ops ask_ops = {ask_judge, ask_response,
					       ask_failed};

static void ask_backend(struct request *r, struct backend *b)
{
	const struct service_config *sc =
		config_service(r->config, lstr0(r->service->name));
	struct ask *a = &r->asks[r->nasks];
	struct buf bytes = {0};

	memset(a, 0, sizeof(*a));
	a->request = r;
	a->upstream = upstream_get(r->traffic->loop, b, 0);
	if (!a->upstream)
		return;
	r->nasks++;
	a->backend = backend_ref(b);
	a->pending = true;
	r->traffic->counters.asks++;
	exchange_write_probe(&bytes, sc ? sc->health_path : LSTR("/"), b);
	/* The round's end is the time limit; it is set a little later. */
	upstream_exchange(a->upstream, buf_lstr(&bytes), 2 * ROUND_MS / 1000.0,
			  false, &ask_ops, a);
	buf_free(&bytes);
}

/* Fills `out` with the servers that this placement may not ask again. */
static unsigned avoided(const struct request *r, struct backend **out)
{
	unsigned n = 0;

	for (unsigned i = 0; i < r->nsends; i++)
		out[n++] = r->sends[i].backend;
	for (unsigned i = 0; i < r->nasks; i++)
		out[n++] = r->asks[i].backend;
	return n;
}

/* Asks the servers of the next round; false when none is left to ask. */
static bool ask_round(struct request *r, int64_t now_ms)
{
	struct backend *avoid[REQUEST_ASKS_MAX + REQUEST_SENDS_MAX];
	struct backend *chosen[PLACE_ASK_MAX];
	struct place_query q = {
		.service = r->service,
		.dc = r->traffic->settings->dc,
		.avoid = avoid,
		.navoid = avoided(r, avoid),
		.own_dc_only = r->round == 0,
		.now_ms = now_ms,
		.rand = r->traffic->rand,
	};
	unsigned want = r->round == 0 ? ASK_FIRST : ASK_FURTHER;
	unsigned n = place_choose(&q, want, chosen);

	for (unsigned i = 0; i < n; i++)
		ask_backend(r, chosen[i]);
	r->round++;
	r->round_ends_ms = now_ms + ROUND_MS;
	return n > 0;
}

/* The most loaded state in which a server may still get this request. */
static bool has_room(const struct request *r, const struct backend *b)
{
	bool strict = !r->route->idempotent || r->placement == PLACE_HEDGE;

	return place_has_room(b, strict);
}

/* Finds the best server that answered and has room; NULL: none. */
static struct ask *best_ask(struct request *r, int64_t now_ms)
{
	const char *dc = r->traffic->settings->dc;
	struct ask *best = NULL;
	double best_ms = 0;

	for (unsigned i = 0; i < r->nasks; i++) {
		struct ask *a = &r->asks[i];

		if (!a->upstream || !a->answered || a->backend->gone ||
		    a->backend->entry.draining || !has_room(r, a->backend))
			continue;
		double ms = place_estimate_ms(a->backend, dc, r->stats->work_ms,
					      now_ms);

		if (!best || ms < best_ms) {
			best = a;
			best_ms = ms;
		}
	}
	return best;
}

static bool any_pending(const struct request *r)
{
	for (unsigned i = 0; i < r->nasks; i++) {
		if (r->asks[i].pending)
			return true;
	}
	return false;
}

/* Sends to the chosen server on the connection that answered. */
static void take(struct request *r, struct ask *a)
{
	struct upstream *u = a->upstream;
	struct backend *b = backend_ref(a->backend);

	a->upstream = NULL;
	request_place_end(r);
	request_send(r, b, u);
	backend_unref(b);
}

/* Nobody has room: waits a moment, or gives up. */
static void no_room(struct request *r, int64_t now_ms)
{
	enum placement why = r->placement;
	int64_t patience = (int64_t)(r->route->target_ms * WAIT_SHARE);
	bool alone = !request_is_out(r);

	release_asks(r);
	if (why == PLACE_HEDGE) {
		request_place_end(r);
		request_arm(r);
		return;
	}
	if (now_ms + WAIT_MS - r->placing_since_ms <= patience &&
	    r->service->backends->len > 0) {
		r->round = 0;
		r->wait_until_ms = now_ms + WAIT_MS;
		request_arm(r);
		return;
	}
	r->traffic->counters.no_room++;
	request_place_end(r);
	if (!alone)
		request_arm(r);
	else if (r->undenied)
		request_fail(r, 502, "no server left");
	else
		request_refuse(r, "no room");
}

/* Without load reports: the server with the fewest of our requests. */
static void place_unreported(struct request *r, int64_t now_ms)
{
	struct backend *avoid[REQUEST_ASKS_MAX + REQUEST_SENDS_MAX];
	struct backend *chosen[PLACE_ASK_MAX];
	struct place_query q = {
		.service = r->service,
		.dc = r->traffic->settings->dc,
		.avoid = avoid,
		.navoid = avoided(r, avoid),
		.now_ms = now_ms,
		.rand = r->traffic->rand,
	};
	/* A connection that was quiet for long may be closed unseen. */
	int64_t since = r->route->idempotent ? 0 : now_ms;
	struct upstream *u;

	if (place_choose(&q, 1, chosen) == 0) {
		no_room(r, now_ms);
		return;
	}
	u = upstream_get(r->traffic->loop, chosen[0], since);
	if (!u) {
		no_room(r, now_ms);
		return;
	}
	request_place_end(r);
	request_send(r, chosen[0], u);
}

/* Chooses as soon as it is clear enough; else waits for more answers. */
static void decide(struct request *r, int64_t now_ms)
{
	struct ask *best;

	if (r->placement == PLACE_NONE || r->wait_until_ms)
		return;
	if (r->service->load_support == LOAD_NOT_TOLD) {
		release_asks(r);
		place_unreported(r, now_ms);
		return;
	}
	best = best_ask(r, now_ms);
	if (best && place_is_prompt(best->backend, now_ms)) {
		take(r, best);
		return;
	}
	if (any_pending(r) && now_ms < r->round_ends_ms) {
		if (best && r->round_ends_ms > now_ms + PATIENCE_MS)
			r->round_ends_ms = now_ms + PATIENCE_MS;
		request_arm(r);
		return;
	}
	if (r->round < ROUNDS && ask_round(r, now_ms)) {
		request_arm(r);
		return;
	}
	if (best)
		take(r, best);
	else
		no_room(r, now_ms);
}

/* Servers that didn't answer in their round are in trouble. */
static void expire_asks(struct request *r, int64_t now_ms)
{
	bool answered = best_ask(r, now_ms) != NULL;

	for (unsigned i = 0; i < r->nasks; i++) {
		struct ask *a = &r->asks[i];

		if (!a->pending)
			continue;
		/* Cut short by a better answer: no fault of the server. */
		if (!answered)
			outlier_note(a->backend, SILENT_TROUBLE, now_ms);
		drop_ask(a);
	}
}

/* request_place_tick() goes on when the time of a round or wait is over. */
void request_place_tick(struct request *r, int64_t now_ms)
{
	if (r->wait_until_ms && now_ms >= r->wait_until_ms) {
		r->wait_until_ms = 0;
		r->round_ends_ms = now_ms;
	}
	if (!r->wait_until_ms && now_ms >= r->round_ends_ms)
		expire_asks(r, now_ms);
	if (r->wait_until_ms)
		request_arm(r);
	else
		decide(r, now_ms);
}

/* request_place() begins to look for a backend server. */
void request_place(struct request *r, enum placement why)
{
	int64_t now_ms = clock_ms();

	release_asks(r);
	r->placement = why;
	r->round = 0;
	r->wait_until_ms = 0;
	r->placing_since_ms = now_ms;
	r->round_ends_ms = now_ms;
	decide(r, now_ms);
}
