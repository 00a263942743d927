/*
 * Tests of control/crash_watch: instances on loopback, each with its channel
 * to the others, that tell each other of ends and agree on verdicts. The store
 * doesn't answer; what is kept there is tested by repeated-crashes.sh.
 */
#include "tests/unit.h"

#include <unistd.h>

#include <glib.h>

#include "common/event.h"
#include "control/crash_watch.h"
#include "http/socket.h"
#include "misc/clock.h"

enum {
	PORT = 17600,
	STORE_PORT = 17599, /* nobody listens there */
	SMALL = 4,
	LARGE = 24, /* has hubs */
	CULPRIT = 1,
	TICK_MS = 100,
};

struct instance {
	struct peer_channel channel;
	struct store_endpoint store;
	struct crash_watch watch;
	enum verdict_kind verdict; /* on the culprit */
	unsigned refused;	   /* verdicts to refuse anything */
	bool deaf;		   /* datagrams to it are lost */
};

struct fleet {
	struct ev_loop *loop;
	struct instance *all;
	int n;
	ev_timer tick;
};

static void on_verdict(void *priv, const struct verdict *v)
{
	struct instance *in = priv;

	in->refused += v->kind == VERDICT_REFUSE;
	if (v->digest == CULPRIT)
		in->verdict = v->kind;
}

static void on_peer(void *priv, const struct gossip_message *m)
{
	struct instance *in = priv;

	if (m->kind == GOSSIP_CRASH && !in->deaf)
		crash_watch_heard(&in->watch, m->sender.name, m->crashes);
}

static void on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct fleet *f = t->data;
	int64_t now_ms = clock_ms();

	for (int i = 0; i < f->n; i++) {
		struct instance *in = &f->all[i];

		peer_channel_tick(&in->channel, now_ms);
		crash_watch_tick(&in->watch,
				 peers_rank(&in->channel.peers, now_ms),
				 hubs_serve(&in->channel.peers));
	}
}

static void open_instance(struct fleet *f, int i)
{
	struct instance *in = &f->all[i];
	struct peer_info self = {.boot = (uint64_t)i + 1, .ready = true};
	char addr[32];

	snprintf(self.name, sizeof(self.name), "e%02d", i);
	snprintf(addr, sizeof(addr), "127.0.0.1:%d", PORT + i);
	assert_int_equal(peer_channel_open(&in->channel, f->loop, addr, &self,
					   on_peer, in),
			 0);
	snprintf(addr, sizeof(addr), "127.0.0.1:%d", STORE_PORT);
	socket_parse_addr(addr, &in->store.addr);
	crash_watch_start(&in->watch, f->loop, &in->store, &in->channel,
			  on_verdict, in);
}

/* All know each other's addresses, as from their records in the store. */
static void introduce_all(struct fleet *f)
{
	for (int i = 0; i < f->n; i++) {
		for (int k = 0; k < f->n; k++)
			peers_add(&f->all[i].channel.peers,
				  &f->all[k].channel.peers.self, clock_ms());
	}
}

static void on_end(struct ev_loop *loop, ev_timer *t, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

static void run_ms(struct fleet *f, int ms)
{
	ev_timer t;

	ev_now_update(f->loop);
	ev_timer_init(&t, on_end, ms / 1000.0, 0);
	ev_timer_start(f->loop, &t);
	ev_run(f->loop, 0);
	ev_timer_stop(f->loop, &t);
}

static struct fleet *begin(int n)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->loop = ev_loop_new(EVFLAG_NOENV);
	f->all = g_new0(struct instance, n);
	f->n = n;
	for (int i = 0; i < n; i++)
		open_instance(f, i);
	introduce_all(f);
	ev_timer_init(&f->tick, on_tick, 0, TICK_MS / 1000.0);
	f->tick.data = f;
	ev_timer_start(f->loop, &f->tick);
	/* Two heartbeats, and two rolls of a large one. */
	run_ms(f, 1500);
	return f;
}

static void end(struct fleet *f)
{
	for (int i = 0; i < f->n; i++) {
		close(f->all[i].channel.sock);
		store_cancel(&f->all[i].watch.record.store);
		crash_ledger_free(&f->all[i].watch.ledger);
		g_array_unref(f->all[i].watch.tellings);
	}
	ev_loop_destroy(f->loop);
	g_free(f->all);
	g_free(f);
}

static void saw(struct fleet *f, int i, enum crash_news_kind kind,
		uint64_t digest, uint32_t server)
{
	struct crash_news news = {kind, digest, server};

	crash_watch_own(&f->all[i].watch, &news);
}

static int count(const struct fleet *f, enum verdict_kind kind)
{
	int n = 0;

	for (int i = 0; i < f->n; i++)
		n += f->all[i].verdict == kind;
	return n;
}

/* Three instances see one end each, with other requests beside it. */
static void three_ends(struct fleet *f)
{
	for (int i = 0; i < 3; i++) {
		int at = f->n - 1 - i;

		saw(f, at, CRASH_NEWS_END, CULPRIT, 100 + (uint32_t)i);
		saw(f, i, CRASH_NEWS_END, 10 + (uint64_t)i, 100 + (uint32_t)i);
		saw(f, i, CRASH_NEWS_END, 7, 100 + (uint32_t)(i % 2));
		run_ms(f, 60);
	}
}

/* Waits, far longer than a calm machine needs. */
static void wait_for(struct fleet *f, enum verdict_kind kind, int n)
{
	for (int i = 0; i < 100 && count(f, kind) != n; i++)
		run_ms(f, 50);
	assert_int_equal(count(f, kind), n);
}

static void expect_agreed(struct fleet *f)
{
	wait_for(f, VERDICT_REFUSE, f->n);
	for (int i = 0; i < f->n; i++)
		assert_int_equal(f->all[i].refused, 1);
}

/* No one saw more than one end, and all refuse the right request. */
static void test_small(void **state)
{
	struct fleet *f = begin(SMALL);

	three_ends(f);
	expect_agreed(f);
	/* The first instances keep it in the store, as soon as that answers. */
	for (int i = 0; i < f->n; i++)
		assert_int_equal(
			g_queue_get_length(&f->all[i].watch.record.pending),
			i < HUBS ? 1 : 0);
	end(f);
}

/* The same by way of the hubs, and an answer undoes it everywhere. */
static void test_large(void **state)
{
	struct fleet *f = begin(LARGE);

	assert_true(hubs_serve(&f->all[0].channel.peers));
	three_ends(f);
	expect_agreed(f);
	saw(f, LARGE - 1, CRASH_NEWS_ANSWERED, CULPRIT, 0);
	wait_for(f, VERDICT_CLEAR, LARGE);
	end(f);
}

/* One that heard nothing for a while hears the verdict later. */
static void test_deaf(void **state)
{
	struct fleet *f = begin(SMALL);

	f->all[2].deaf = true;
	three_ends(f);
	wait_for(f, VERDICT_REFUSE, SMALL - 1);
	f->all[2].deaf = false;
	wait_for(f, VERDICT_REFUSE, SMALL);
	end(f);
}

/* One that lost its memory is told when it tells of another end. */
static void test_unaware(void **state)
{
	struct fleet *f = begin(SMALL);

	three_ends(f);
	wait_for(f, VERDICT_REFUSE, SMALL);
	crash_ledger_answered(&f->all[3].watch.ledger, CULPRIT, clock_ms());
	for (int i = 0; i < f->n; i++)
		g_array_set_size(f->all[i].watch.tellings, 0);
	assert_int_equal(count(f, VERDICT_REFUSE), SMALL - 1);
	saw(f, 3, CRASH_NEWS_END, CULPRIT, 555);
	wait_for(f, VERDICT_REFUSE, SMALL);
	end(f);
}

/* An answer that only one saw keeps all from a verdict. */
static void test_cleared(void **state)
{
	struct fleet *f = begin(SMALL);

	saw(f, 0, CRASH_NEWS_END, CULPRIT, 100);
	saw(f, 1, CRASH_NEWS_END, CULPRIT, 101);
	wait_for(f, VERDICT_SUSPECT, SMALL);
	saw(f, 2, CRASH_NEWS_ANSWERED, CULPRIT, 0);
	wait_for(f, VERDICT_CLEAR, SMALL);
	/* The answer is told for 0.14 s. */
	run_ms(f, 500);
	saw(f, 0, CRASH_NEWS_END, CULPRIT, 102);
	wait_for(f, VERDICT_SUSPECT, SMALL);
	end(f);
}

/* A write that waited for the store doesn't outlive what it says. */
static void test_record_dropped(void **state)
{
	struct fleet *f = begin(SMALL);

	three_ends(f);
	expect_agreed(f);
	saw(f, SMALL - 1, CRASH_NEWS_ANSWERED, CULPRIT, 0);
	wait_for(f, VERDICT_CLEAR, SMALL);
	for (int i = 0; i < SMALL; i++) {
		const struct crash_news *last =
			g_queue_peek_tail(&f->all[i].watch.record.pending);

		assert_int_equal(last->kind, CRASH_NEWS_ANSWERED);
	}
	end(f);
}

/* When all servers end at once there is more to tell than fits one datagram. */
static void test_many(void **state)
{
	struct fleet *f = begin(SMALL);

	for (uint64_t d = 1000; d < 1200; d++)
		saw(f, 0, CRASH_NEWS_END, d, (uint32_t)d);
	for (int i = 0;
	     i < 100 && !crash_ledger_find(&f->all[3].watch.ledger, 1199); i++)
		run_ms(f, 50);
	for (uint64_t d = 1000; d < 1200; d++)
		assert_non_null(crash_ledger_find(&f->all[3].watch.ledger, d));
	end(f);
}

/* Behind the hubs nobody judges, and nobody wakes up for it. */
static void test_behind_hubs(void **state)
{
	struct fleet *f = begin(LARGE);
	struct crash_watch *w = &f->all[LARGE - 1].watch;

	for (int i = 0; i < LARGE; i++)
		f->all[i].deaf = true;
	for (uint32_t s = 1; s <= 3; s++)
		saw(f, LARGE - 1, CRASH_NEWS_END, CULPRIT, s);
	run_ms(f, 500);
	assert_int_equal(count(f, VERDICT_REFUSE), 0);
	assert_int_equal(f->all[LARGE - 1].verdict, VERDICT_SUSPECT);
	assert_false(ev_is_active(&w->due));
	end(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_small),
		cmocka_unit_test(test_large),
		cmocka_unit_test(test_deaf),
		cmocka_unit_test(test_unaware),
		cmocka_unit_test(test_cleared),
		cmocka_unit_test(test_many),
		cmocka_unit_test(test_record_dropped),
		cmocka_unit_test(test_behind_hubs),
	};

	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
