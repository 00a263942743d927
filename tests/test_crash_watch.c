/*
 * Tests of control/crash_watch: instances on loopback exchange evidence over
 * their own channels and agree on verdicts. The store doesn't answer; stored
 * verdicts are tested by repeated-crashes.sh.
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
	STORE_PORT = 17599, /* nothing listens there */
	SMALL = 4,
	LARGE = 24, /* enough to have hubs */
	CRASH_DIGEST = 1,
	TICK_MS = 100,
};

struct instance {
	struct peer_channel channel;
	struct store_endpoint store;
	struct crash_watch watch;
	enum verdict_kind verdict; /* on CRASH_DIGEST */
	unsigned refused;	   /* number of refusals of any request */
	bool unreachable;	   /* datagrams to it are dropped */
};

struct system {
	struct ev_loop *loop;
	struct instance *all;
	int n;
	ev_timer tick;
};

static void on_verdict(void *priv, const struct verdict *v)
{
	struct instance *in = priv;

	in->refused += v->kind == VERDICT_REFUSE;
	if (v->digest == CRASH_DIGEST)
		in->verdict = v->kind;
}

static void on_peer(void *priv, const struct gossip_message *m)
{
	struct instance *in = priv;

	if (m->kind == GOSSIP_CRASHES && !in->unreachable)
		crash_watch_add_peer(&in->watch, m->sender.name, m->crashes);
}

static void on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct system *f = t->data;
	int64_t now_ms = clock_ms();

	for (int i = 0; i < f->n; i++) {
		struct instance *in = &f->all[i];

		peer_channel_tick(&in->channel, now_ms);
		crash_watch_tick(&in->watch,
				 peers_rank(&in->channel.peers, now_ms),
				 hubs_enabled(&in->channel.peers));
	}
}

static void open_instance(struct system *f, int i)
{
	struct instance *in = &f->all[i];
	struct peer_info self = {.boot_id = (uint64_t)i + 1, .ready = true};
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

/* Makes all addresses known, as the records in the store do. */
static void add_all_peers(struct system *f)
{
	for (int i = 0; i < f->n; i++) {
		f->all[i].channel.peers.joined_ms = clock_ms();
		f->all[i].channel.peers.joined_by_store = true;
		for (int k = 0; k < f->n; k++)
			peers_add(&f->all[i].channel.peers,
				  &f->all[k].channel.peers.self, clock_ms());
	}
}

static void on_end(struct ev_loop *loop, ev_timer *t, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

static void run_ms(struct system *f, int ms)
{
	ev_timer t;

	ev_now_update(f->loop);
	ev_timer_init(&t, on_end, ms / 1000.0, 0);
	ev_timer_start(f->loop, &t);
	ev_run(f->loop, 0);
	ev_timer_stop(f->loop, &t);
}

/* The system of the current test; a failed test leaves it open. */
static struct system *open_system;

static void end(struct system *f)
{
	for (int i = 0; i < f->n; i++) {
		close(f->all[i].channel.sock);
		store_cancel(&f->all[i].watch.record.store);
		crash_tracker_free(&f->all[i].watch.tracker);
		g_array_unref(f->all[i].watch.broadcasts);
	}
	ev_loop_destroy(f->loop);
	g_free(f->all);
	g_free(f);
	open_system = NULL;
}

static struct system *begin(int n)
{
	struct system *f = g_new0(struct system, 1);

	if (open_system)
		end(open_system);
	open_system = f;
	f->loop = ev_loop_new(EVFLAG_NOENV);
	f->all = g_new0(struct instance, n);
	f->n = n;
	for (int i = 0; i < n; i++)
		open_instance(f, i);
	add_all_peers(f);
	ev_timer_init(&f->tick, on_tick, 0, TICK_MS / 1000.0);
	f->tick.data = f;
	ev_timer_start(f->loop, &f->tick);
	/* Time for two heartbeats, or two rolls in a large system. */
	run_ms(f, 1500);
	return f;
}

static void report(struct system *f, int i, enum crash_notice_kind kind,
		   uint64_t digest, uint32_t server)
{
	struct crash_notice news = {kind, digest, server, 0};

	crash_watch_add_local(&f->all[i].watch, &news);
}

static int count(const struct system *f, enum verdict_kind kind)
{
	int n = 0;

	for (int i = 0; i < f->n; i++)
		n += f->all[i].verdict == kind;
	return n;
}

/*
 * Three instances report one end each, with other requests at the same servers.
 */
static void three_ends(struct system *f)
{
	for (int i = 0; i < 3; i++) {
		int at = f->n - 1 - i;

		report(f, at, CRASH_NOTICE_CRASHED, CRASH_DIGEST,
		       100 + (uint32_t)i);
		report(f, i, CRASH_NOTICE_CRASHED, 10 + (uint64_t)i,
		       100 + (uint32_t)i);
		report(f, i, CRASH_NOTICE_CRASHED, 7, 100 + (uint32_t)(i % 2));
		run_ms(f, 60);
	}
}

/* Prints what each instance knows of the request. */
static void print_state(const struct system *f)
{
	for (int i = 0; i < f->n; i++) {
		const struct instance *in = &f->all[i];
		const struct crash_case *c =
			crash_tracker_find(&in->watch.tracker, CRASH_DIGEST);

		print_error("e%02d: verdict %d, refused %u, rank %u, ends %d, "
			    "quarantined %d, due in %d ms, cases %u\n",
			    i, in->verdict, in->refused, in->watch.rank,
			    c ? (int)c->nservers : -1, c && c->quarantined,
			    c && c->due_ms ? (int)(c->due_ms - clock_ms()) : 0,
			    g_hash_table_size(in->watch.tracker.cases));
	}
}

/* Waits far longer than needed on an idle machine. */
static void wait_for(struct system *f, enum verdict_kind kind, int n)
{
	for (int i = 0; i < 100 && count(f, kind) != n; i++)
		run_ms(f, 50);
	if (count(f, kind) != n)
		print_state(f);
	assert_int_equal(count(f, kind), n);
}

static void expect_all_refuse(struct system *f)
{
	wait_for(f, VERDICT_REFUSE, f->n);
	for (int i = 0; i < f->n; i++)
		assert_int_equal(f->all[i].refused, 1);
}

/* No instance saw more than one end, and all refuse the right request. */
static void test_small(void **state)
{
	struct system *f = begin(SMALL);

	three_ends(f);
	expect_all_refuse(f);
	/* The first instances have queued it for the store. */
	for (int i = 0; i < f->n; i++)
		assert_int_equal(
			g_queue_get_length(&f->all[i].watch.record.pending),
			i < HUB_COUNT ? 1 : 0);
	end(f);
}

/* The same through the hubs; an answer then clears the verdict everywhere. */
static void test_large(void **state)
{
	struct system *f = begin(LARGE);

	assert_true(hubs_enabled(&f->all[0].channel.peers));
	three_ends(f);
	expect_all_refuse(f);
	report(f, LARGE - 1, CRASH_NOTICE_ANSWERED, CRASH_DIGEST, 0);
	wait_for(f, VERDICT_CLEAR, LARGE);
	end(f);
}

/* An instance that was unreachable receives the verdict later. */
static void test_unreachable_peer(void **state)
{
	struct system *f = begin(SMALL);

	f->all[2].unreachable = true;
	three_ends(f);
	wait_for(f, VERDICT_REFUSE, SMALL - 1);
	f->all[2].unreachable = false;
	wait_for(f, VERDICT_REFUSE, SMALL);
	end(f);
}

/* An instance that lost a verdict gets it again when it reports an end. */
static void test_forgotten_verdict(void **state)
{
	struct system *f = begin(SMALL);

	three_ends(f);
	wait_for(f, VERDICT_REFUSE, SMALL);
	crash_tracker_add_answer(&f->all[3].watch.tracker, CRASH_DIGEST,
				 clock_ms(), clock_ms());
	for (int i = 0; i < f->n; i++)
		g_array_set_size(f->all[i].watch.broadcasts, 0);
	assert_int_equal(count(f, VERDICT_REFUSE), SMALL - 1);
	report(f, 3, CRASH_NOTICE_CRASHED, CRASH_DIGEST, 555);
	wait_for(f, VERDICT_REFUSE, SMALL);
	end(f);
}

/* An answer seen by one instance prevents the verdict on all. */
static void test_answer_prevents_verdict(void **state)
{
	struct system *f = begin(SMALL);

	report(f, 0, CRASH_NOTICE_CRASHED, CRASH_DIGEST, 100);
	report(f, 1, CRASH_NOTICE_CRASHED, CRASH_DIGEST, 101);
	wait_for(f, VERDICT_SUSPECT, SMALL);
	report(f, 2, CRASH_NOTICE_ANSWERED, CRASH_DIGEST, 0);
	wait_for(f, VERDICT_CLEAR, SMALL);
	/* The answer is repeated for 0.14 s. */
	run_ms(f, 500);
	report(f, 0, CRASH_NOTICE_CRASHED, CRASH_DIGEST, 102);
	wait_for(f, VERDICT_SUSPECT, SMALL);
	end(f);
}

/* An answer replaces a verdict whose write still waits for the store. */
static void test_record_dropped(void **state)
{
	struct system *f = begin(SMALL);

	three_ends(f);
	expect_all_refuse(f);
	report(f, SMALL - 1, CRASH_NOTICE_ANSWERED, CRASH_DIGEST, 0);
	wait_for(f, VERDICT_CLEAR, SMALL);
	for (int i = 0; i < SMALL; i++) {
		const struct crash_notice *last =
			g_queue_peek_tail(&f->all[i].watch.record.pending);

		assert_int_equal(last->kind, CRASH_NOTICE_ANSWERED);
	}
	end(f);
}

/* When all servers end at once, the evidence exceeds one datagram. */
static void test_many_ends(void **state)
{
	struct system *f = begin(SMALL);

	for (uint64_t d = 1000; d < 1200; d++)
		report(f, 0, CRASH_NOTICE_CRASHED, d, (uint32_t)d);
	for (int i = 0;
	     i < 100 && !crash_tracker_find(&f->all[3].watch.tracker, 1199);
	     i++)
		run_ms(f, 50);
	for (uint64_t d = 1000; d < 1200; d++)
		assert_non_null(
			crash_tracker_find(&f->all[3].watch.tracker, d));
	end(f);
}

/* An instance behind the hubs decides nothing and starts no timer. */
static void test_behind_hubs(void **state)
{
	struct system *f = begin(LARGE);
	struct crash_watch *w = &f->all[LARGE - 1].watch;

	for (int i = 0; i < LARGE; i++)
		f->all[i].unreachable = true;
	for (uint32_t s = 1; s <= 3; s++)
		report(f, LARGE - 1, CRASH_NOTICE_CRASHED, CRASH_DIGEST, s);
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
		cmocka_unit_test(test_unreachable_peer),
		cmocka_unit_test(test_forgotten_verdict),
		cmocka_unit_test(test_answer_prevents_verdict),
		cmocka_unit_test(test_many_ends),
		cmocka_unit_test(test_record_dropped),
		cmocka_unit_test(test_behind_hubs),
	};

	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
