/*
 * Tests that instances learn from each other's answers: many instances with few
 * requests each, whose servers' last slot takes longer than its work is worth.
 */
#include "tests/unit.h"

#include <math.h>

#include "core/shortage_gossip.h"
#include "member/gossip.h"

enum { INSTANCES = 30, FANOUT = 16, SLOTS = 4, TARGET_MS = 400 };

static const double KNEE_FACTOR = 1.7;

struct system {
	struct service_model models[INSTANCES];
	struct work_model work[INSTANCES];
	GRand *rand;
	int64_t now_ms;
};

/* One instance gets an answer from a server with a random load. */
static void answer(struct system *s, int i)
{
	struct server_view v = {
		.active_requests =
			(unsigned)g_rand_int_range(s->rand, 1, SLOTS + 1),
		.slots = SLOTS,
		.slowdown_pct = 100,
	};
	double ms = 150 * (0.7 + 0.6 * g_rand_double(s->rand));

	if (v.active_requests == SLOTS)
		ms *= KNEE_FACTOR;
	latency_record(&s->models[i], &s->work[i], &v, ms, s->now_ms);
}

/* Every instance tells FANOUT others what it has recorded since. */
static void exchange(struct system *s)
{
	for (int i = 0; i < INSTANCES; i++) {
		for (unsigned f = 0; f < LATENCY_FACTORS; f++) {
			double mean;
			unsigned count =
				latency_take_untold(&s->models[i], f, &mean);

			for (int k = 1; count && k <= FANOUT; k++)
				latency_record_told(
					&s->models[(i + k) % INSTANCES], f,
					count, mean, s->now_ms);
		}
	}
}

/* Ten seconds with five answers per instance and second. */
static void run(struct system *s, bool share)
{
	memset(s, 0, sizeof(*s));
	s->rand = g_rand_new_with_seed(7);
	for (int i = 0; i < INSTANCES; i++)
		work_model_init(&s->work[i], TARGET_MS);
	for (s->now_ms = 1000; s->now_ms < 11000; s->now_ms += 200) {
		for (int i = 0; i < INSTANCES; i++)
			answer(s, i);
		if (share && s->now_ms % 400 == 0)
			exchange(s);
	}
	g_rand_free(s->rand);
}

/* Returns how many instances use all slots of a server. */
static int using_all_slots(const struct system *s)
{
	int n = 0;

	for (int i = 0; i < INSTANCES; i++)
		n += latency_max_concurrency(&s->models[i], SLOTS, s->now_ms) ==
		     SLOTS;
	return n;
}

/* Returns the largest error of an instance's factor of the last slot. */
static double worst_error(const struct system *s)
{
	const struct server_view full = {
		.active_requests = SLOTS, .slots = SLOTS, .slowdown_pct = 100};
	double worst = 0;

	for (int i = 0; i < INSTANCES; i++)
		worst = fmax(worst, fabs(latency_factor(&s->models[i], &full,
							s->now_ms) /
						 KNEE_FACTOR -
					 1));
	return worst;
}

/* Within ten seconds all know that the last slot loses throughput. */
static void test_learns_from_peers(void **state)
{
	struct system s;

	run(&s, true);
	assert_int_equal(using_all_slots(&s), 0);
	assert_true(worst_error(&s) < 0.2);
	run(&s, false);
	assert_true(using_all_slots(&s) > INSTANCES / 2);
	assert_true(worst_error(&s) > 0.2);
}

/* The first answers of a class aren't told, the others once. */
static void test_told_once(void **state)
{
	struct service_model m = {0};
	struct work_model w;
	struct server_view v = {2, 2, 100, false};
	double mean;

	work_model_init(&w, TARGET_MS);
	for (int i = 0; i < 30; i++)
		latency_record(&m, &w, &v, 300, 1000);
	assert_int_equal(latency_take_untold(&m, 1, &mean), 0);
	latency_record(&m, &w, &v, 300, 1000);
	latency_record(&m, &w, &v, 300, 1000);
	assert_int_equal(latency_take_untold(&m, 1, &mean), 2);
	assert_true(mean > 1);
	assert_int_equal(latency_take_untold(&m, 1, &mean), 0);
}

/* Samples of peers aren't passed on, and values out of range are bounded. */
static void test_told_bounded(void **state)
{
	struct service_model m = {0};
	const struct server_view full = {2, 2, 100, false};
	double mean;

	latency_record_told(&m, LATENCY_FACTORS, 5, 3, 1000);
	assert_true(latency_factor(&m, &full, 1000) == 1);
	latency_record_told(&m, 1, SHORTAGE_SAMPLES_MAX, 1e9, 1000);
	assert_true(latency_factor(&m, &full, 1000) < 20);
	assert_int_equal(latency_take_untold(&m, 1, &mean), 0);
}

/* Fills a report of as many services and factors as fit. */
static void fill(struct shortage_gossip *g)
{
	g->peer = 77;
	g->n = SHORTAGE_GOSSIP_MAX;
	for (unsigned i = 0; i < g->n; i++) {
		g->items[i].service = 0xfffffff0 + i;
		g->items[i].n = LATENCY_FACTORS;
		for (unsigned f = 0; f < LATENCY_FACTORS; f++)
			g->items[i].samples[f] = (struct shortage_sample){
				f, SHORTAGE_SAMPLES_MAX, 1.625};
	}
}

/* A full report fits one datagram and survives a round trip. */
static void test_round_trip(void **state)
{
	struct shortage_gossip *g = g_new0(struct shortage_gossip, 1);
	struct gossip_message m;
	struct buf b = {0};

	fill(g);
	gossip_write_shortage(&b, g);
	assert_true(b.len <= GOSSIP_MAX);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_int_equal(m.kind, GOSSIP_SHORTAGE);
	assert_int_equal(m.shortage.peer, 77);
	assert_int_equal(m.shortage.n, SHORTAGE_GOSSIP_MAX);
	for (unsigned i = 0; i < g->n; i++) {
		assert_int_equal(m.shortage.items[i].service,
				 g->items[i].service);
		assert_int_equal(m.shortage.items[i].n, LATENCY_FACTORS);
		assert_memory_equal(m.shortage.items[i].samples,
				    g->items[i].samples,
				    sizeof(g->items[i].samples));
	}
	gossip_message_clear(&m);
	for (size_t n = 0; n < b.len; n++) {
		assert_int_not_equal(gossip_read((struct lstr){b.ptr, n}, &m),
				     0);
		gossip_message_clear(&m);
	}
	buf_free(&b);
	g_free(g);
}

/* A report with an unknown factor is rejected. */
static void test_unknown_factor(void **state)
{
	struct shortage_gossip *g = g_new0(struct shortage_gossip, 1);
	struct gossip_message m;
	struct buf b = {0};

	g->n = 1;
	g->items[0].n = 1;
	g->items[0].samples[0] =
		(struct shortage_sample){LATENCY_FACTORS, 1, 1};
	gossip_write_shortage(&b, g);
	assert_int_not_equal(gossip_read(buf_lstr(&b), &m), 0);
	gossip_message_clear(&m);
	buf_free(&b);
	g_free(g);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_learns_from_peers),
		cmocka_unit_test(test_told_once),
		cmocka_unit_test(test_told_bounded),
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_unknown_factor),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
