/*
 * Fixture: instances with their own callers and queues share the servers of one
 * service; a load is played in steps of a millisecond. Each instance knows a
 * server only by asking it, as in traffic/. Decisions are those of core/.
 */
#ifndef MP_TESTS_SHORTAGE_PLAY_H
#define MP_TESTS_SHORTAGE_PLAY_H

#include <glib.h>

#include "core/admit.h"
#include "core/retry_after.h"
#include "core/shortage.h"

enum {
	PLAY_INSTANCES = 20,
	PLAY_SERVERS = 40,
	PLAY_MS = 6000, /* of new requests */
	PLAY_END_MS = 12000,
	PLAY_TELL_MS = 150,
	PLAY_LIMIT_MS = 5000, /* callers' time limit */
	PLAY_RETRIES = 2,
	PLAY_ASKED = 5, /* servers asked per check */
	PLAY_RECHECK_MS = 24,
	PLAY_CONTENDED_MS = 400,
};

struct play_load {
	unsigned slots;
	double work_ms, target_ms;
	double noise_share,
		noise_factor; /* servers that are slow for a while */
	double rate_s;	      /* requests a second of all instances */
	double burst_factor;  /* from 2 to 5 s */
	bool shortage;	      /* waits follow the shortage */
	bool spread;	      /* and the times to return */
	bool newest_first;
	guint32 seed;
};

enum play_state { PLAY_AWAY, PLAY_QUEUED, PLAY_RUNNING, PLAY_DONE };

struct play_request {
	enum play_state state;
	int instance, server, attempts;
	double created_ms, next_ms, queued_ms;
	bool counted;
};

struct play_result {
	unsigned asked, on_time, late, refused;
};

struct play {
	struct play_load load;
	GRand *rand;
	int now_ms;
	unsigned running[PLAY_SERVERS];
	double slow_until[PLAY_SERVERS];
	bool slow[PLAY_SERVERS];
	double missed_ms[PLAY_INSTANCES];
	struct shortage shortage[PLAY_INSTANCES];
	GArray *requests;
	struct play_result result;
};

/* Returns the expected time of a new request on a server. */
static inline double play_estimate_ms(const struct play *p, int server)
{
	double ms = p->load.work_ms;

	if (p->running[server] + 1 > 0.8 * p->load.slots)
		ms *= 1.7;
	return p->slow[server] ? ms * p->load.noise_factor : ms;
}

/* Describes a request to the admission control. */
static inline struct admit_request play_view(const struct play *p,
					     const struct play_request *r)
{
	double share = shortage_share(&p->shortage[r->instance], p->now_ms);

	return (struct admit_request){
		.target_ms = p->load.target_ms,
		.spent_ms = p->now_ms - r->created_ms,
		.median_ms = p->load.work_ms,
		.p75_ms = p->load.work_ms * 1.25,
		.waited_ms = p->now_ms - r->queued_ms,
		.wait_cut = p->load.shortage ? shortage_wait_cut(share) : 0,
	};
}

/* Starts the request if the server takes it. */
static inline bool play_try(struct play *p, struct play_request *r, int server)
{
	struct admit_request view = play_view(p, r);
	struct admit_server s = {
		.work_ms = play_estimate_ms(p, server),
		.rtt_ms = 2,
		.has_capacity = p->running[server] < p->load.slots,
		.has_headroom = p->running[server] + 2 <= p->load.slots,
	};

	if (!admit_accepts(&view, &s,
			   p->now_ms - p->missed_ms[r->instance] <
				   PLAY_CONTENDED_MS))
		return false;
	p->running[server]++;
	r->state = PLAY_RUNNING;
	r->server = server;
	r->next_ms =
		p->now_ms + s.work_ms * (0.7 + 0.6 * g_rand_double(p->rand));
	return true;
}

/* Asks a few servers and sends the request to the best that takes it. */
static inline bool play_select(struct play *p, struct play_request *r)
{
	int best = -1;

	for (int i = 0; i < PLAY_ASKED; i++) {
		int s = g_rand_int_range(p->rand, 0, PLAY_SERVERS);

		if (p->running[s] < p->load.slots &&
		    (best < 0 ||
		     play_estimate_ms(p, s) < play_estimate_ms(p, best)))
			best = s;
	}
	return best >= 0 && play_try(p, r, best);
}

/* Counts a request in the shortage of its instance. */
static inline void play_count(struct play *p, const struct play_request *r,
			      bool missed)
{
	shortage_record(&p->shortage[r->instance],
			(struct shortage_counts){!missed, missed}, p->now_ms);
}

/* Refuses a request: its caller returns, or gives up. */
static inline void play_refuse(struct play *p, struct play_request *r)
{
	struct admit_request view = play_view(p, r);
	double left = PLAY_LIMIT_MS - view.spent_ms;

	if (!p->load.spread)
		view.wait_cut = 0;
	if (++r->attempts > PLAY_RETRIES) {
		r->state = PLAY_DONE;
		p->result.refused++;
		return;
	}
	r->state = PLAY_AWAY;
	r->instance = g_rand_int_range(p->rand, 0, PLAY_INSTANCES);
	r->next_ms = p->now_ms + 16 +
		     1000 * retry_after_s(&view, (int64_t)left,
					  g_rand_double(p->rand));
}

/* A request arrives at an instance, for the first time or again. */
static inline void play_arrive(struct play *p, struct play_request *r)
{
	struct admit_request view;
	bool counts;

	r->queued_ms = p->now_ms;
	view = play_view(p, r);
	counts = admit_can_be_on_time(&view);
	if (counts)
		play_count(p, r, false);
	r->state = PLAY_QUEUED;
	r->next_ms = p->now_ms + PLAY_RECHECK_MS;
	if (play_select(p, r))
		return;
	if (counts) {
		play_count(p, r, true);
		p->missed_ms[r->instance] = p->now_ms;
	}
	view = play_view(p, r);
	if (admit_max_wait_ms(&view) <= 0)
		play_refuse(p, r);
}

/* Gives a slot that has become free to a request queued at an instance. */
static inline void play_offer(struct play *p, int instance, int server)
{
	int n = (int)p->requests->len;

	for (int k = 0; k < n; k++) {
		struct play_request *r =
			&g_array_index(p->requests, struct play_request,
				       p->load.newest_first ? n - 1 - k : k);

		if (r->state == PLAY_QUEUED && r->instance == instance &&
		    play_try(p, r, server))
			return;
	}
}

/* A server has answered. */
static inline void play_answer(struct play *p, struct play_request *r)
{
	p->running[r->server]--;
	r->state = PLAY_DONE;
	if (p->now_ms + 8 - r->created_ms <= p->load.target_ms)
		p->result.on_time++;
	else
		p->result.late++;
	play_offer(p, r->instance, r->server);
}

/* Checks a queued request again, and refuses it when it waited long enough. */
static inline void play_check(struct play *p, struct play_request *r)
{
	struct admit_request view = play_view(p, r);

	if (view.waited_ms >= admit_max_wait_ms(&view)) {
		play_refuse(p, r);
		return;
	}
	if (p->now_ms < r->next_ms)
		return;
	r->next_ms = p->now_ms + PLAY_RECHECK_MS;
	if (!play_select(p, r) && admit_can_be_on_time(&view))
		p->missed_ms[r->instance] = p->now_ms;
}

static inline void play_step(struct play *p, struct play_request *r)
{
	if (r->state == PLAY_QUEUED)
		play_check(p, r);
	else if (r->state == PLAY_AWAY && p->now_ms >= r->next_ms)
		play_arrive(p, r);
	else if (r->state == PLAY_RUNNING && p->now_ms >= r->next_ms)
		play_answer(p, r);
}

/* New requests of this millisecond, changes of speed, and what is told. */
static inline void play_events(struct play *p)
{
	bool burst = p->now_ms >= 2000 && p->now_ms < 5000;
	double rate = p->load.rate_s * (burst ? p->load.burst_factor : 1);

	for (double n = p->now_ms < PLAY_MS ? rate / 1000 : 0;
	     g_rand_double(p->rand) < n; n--) {
		struct play_request r = {.created_ms = p->now_ms - 8,
					 .next_ms = p->now_ms,
					 .instance = g_rand_int_range(
						 p->rand, 0, PLAY_INSTANCES)};

		p->result.asked++;
		g_array_append_val(p->requests, r);
	}
	for (int i = 0; i < PLAY_SERVERS; i++) {
		if (p->now_ms < p->slow_until[i])
			continue;
		p->slow[i] = g_rand_double(p->rand) < p->load.noise_share;
		p->slow_until[i] =
			p->now_ms + g_rand_int_range(p->rand, 150, 450);
	}
	for (int i = 0; i < PLAY_INSTANCES; i++) {
		struct shortage_counts c;

		if ((p->now_ms + 7 * i) % PLAY_TELL_MS)
			continue;
		c = shortage_take_untold(&p->shortage[i]);
		for (int k = 0; k < PLAY_INSTANCES; k++) {
			if (k != i)
				shortage_record_told(&p->shortage[k], c,
						     p->now_ms);
		}
	}
}

/* Plays a load and returns what callers got. */
static inline struct play_result play(const struct play_load *load)
{
	struct play *p = g_new0(struct play, 1);
	struct play_result result;

	p->load = *load;
	p->rand = g_rand_new_with_seed(load->seed);
	p->requests = g_array_new(FALSE, TRUE, sizeof(struct play_request));
	for (int i = 0; i < PLAY_INSTANCES; i++)
		p->missed_ms[i] = -PLAY_LIMIT_MS;
	for (p->now_ms = 1; p->now_ms < PLAY_END_MS; p->now_ms++) {
		play_events(p);
		for (guint i = 0; i < p->requests->len; i++)
			play_step(p, &g_array_index(p->requests,
						    struct play_request, i));
	}
	result = p->result;
	g_array_unref(p->requests);
	g_rand_free(p->rand);
	g_free(p);
	return result;
}

#endif
