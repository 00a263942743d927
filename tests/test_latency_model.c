/*
 * Tests of core/learn: what answers teach of a service's servers, and that
 * wrong, old and lying ones don't teach much.
 */
#include "tests/unit.h"

#include <math.h>

#include <glib.h>

#include "core/latency_model.h"

enum { START_MS = 1000, GAP_MS = 50 };

struct lesson {
	struct service_model model;
	struct work_model work;
	GRand *rand;
	int64_t now_ms;
};

static void lesson_init(struct lesson *l, uint32_t target_ms)
{
	memset(l, 0, sizeof(*l));
	work_model_init(&l->work, target_ms);
	l->rand = g_rand_new_with_seed(7);
	l->now_ms = START_MS;
}

static struct server_view view(unsigned active_requests, unsigned slots,
			       unsigned pct)
{
	return (struct server_view){.active_requests = active_requests,
				    .slots = slots,
				    .slowdown_pct = pct};
}

static double factor(const struct lesson *l, struct server_view v)
{
	return latency_factor(&l->model, &v, l->now_ms);
}

/* An answer after ms, give or take a third. */
static void answer(struct lesson *l, struct server_view v, double ms)
{
	double spread = exp(0.6 * (g_rand_double(l->rand) - 0.5));

	l->now_ms += GAP_MS;
	latency_record(&l->model, &l->work, &v, ms * spread, l->now_ms);
}

/* A service never seen is expected to be as its servers say. */
static void test_unseen(void **state)
{
	struct lesson l;

	lesson_init(&l, 300);
	assert_true(fabs(l.work.median_ms - 100) < 1);
	assert_true(fabs(factor(&l, view(1, 3, 100)) - 1) < 0.01);
	assert_true(fabs(factor(&l, view(3, 3, 100)) - 1) < 0.01);
	assert_true(fabs(factor(&l, view(1, 3, 500)) - 5) < 0.01);
	assert_true(fabs(factor(&l, view(1, 3, 0)) - 1) < 0.01);
	assert_int_equal(latency_max_concurrency(&l.model, 3, l.now_ms), 3);
	assert_int_equal(latency_max_concurrency(&l.model, 0, l.now_ms), 0);
	g_rand_free(l.rand);
}

/* The usual time and the long one are found from a wrong start. */
static void test_work(void **state)
{
	for (int i = 0; i < 2; i++) {
		double ms = i ? 500 : 20;
		struct lesson l;

		lesson_init(&l, 300);
		for (int k = 0; k < 60; k++)
			answer(&l, view(1, 3, 100), ms);
		assert_true(l.work.median_ms > 0.8 * ms);
		assert_true(l.work.median_ms < 1.25 * ms);
		assert_true(l.work.p75_ms >= l.work.median_ms);
		assert_true(l.work.p75_ms < 1.6 * ms);
		g_rand_free(l.rand);
	}
}

/*
 * A knee at half of three slots, 1.8 times slower, is seen from the answers of
 * some seconds; three at work still get more done than one.
 */
static void test_crowd(void **state)
{
	struct lesson l;

	lesson_init(&l, 300);
	for (int k = 0; k < 120; k++) {
		unsigned n = 1 + (unsigned)k % 3;

		answer(&l, view(n, 3, 100), n > 1 ? 180 : 100);
	}
	assert_true(factor(&l, view(2, 3, 100)) > 1.5);
	assert_true(factor(&l, view(3, 3, 100)) > 1.5);
	assert_true(factor(&l, view(3, 3, 100)) < 2);
	assert_int_equal(latency_max_concurrency(&l.model, 3, l.now_ms), 3);
	g_rand_free(l.rand);
}

/* Servers that do less the more they have get one request at a time. */
static void test_room(void **state)
{
	struct lesson l;

	lesson_init(&l, 300);
	for (int k = 0; k < 300; k++) {
		unsigned n = 1 + (unsigned)k % 3;

		answer(&l, view(n, 3, 100), 100.0 * n * n);
	}
	assert_int_equal(latency_max_concurrency(&l.model, 3, l.now_ms), 1);
	/* It is forgotten, and so it is tried again. */
	l.now_ms += 300 * 1000;
	assert_int_equal(latency_max_concurrency(&l.model, 3, l.now_ms), 3);
	g_rand_free(l.rand);
}

/* Reports of slow-down that mean nothing come to count for little. */
static void test_lying_reports(void **state)
{
	struct lesson l;

	lesson_init(&l, 300);
	for (int k = 0; k < 200; k++)
		answer(&l, view(1, 3, k % 4 ? 100 : 500), 100);
	assert_true(factor(&l, view(1, 3, 500)) < 2);
	assert_true(fabs(factor(&l, view(1, 3, 100)) - 1) < 0.05);
	/* True ones keep their meaning. */
	lesson_init(&l, 300);
	for (int k = 0; k < 200; k++)
		answer(&l, view(1, 3, k % 4 ? 100 : 500), k % 4 ? 100 : 500);
	assert_true(fabs(factor(&l, view(1, 3, 500)) - 5) < 0.8);
	g_rand_free(l.rand);
}

/* New servers that are slower than they say, and such as say it all. */
static void test_warm(void **state)
{
	struct server_view cold = {.active_requests = 1,
				   .slots = 3,
				   .slowdown_pct = 100,
				   .warming_up = true};
	struct lesson l;

	lesson_init(&l, 300);
	for (int k = 0; k < 100; k++) {
		answer(&l, view(1, 3, 100), 100);
		answer(&l, cold, 300);
	}
	assert_true(factor(&l, cold) > 2.2);
	assert_true(fabs(factor(&l, view(1, 3, 100)) - 1) < 0.01);
	lesson_init(&l, 300);
	cold.slowdown_pct = 200;
	for (int k = 0; k < 100; k++) {
		answer(&l, view(1, 3, 100), 100);
		answer(&l, cold, 200);
	}
	assert_true(fabs(factor(&l, cold) - 2) < 0.4);
	g_rand_free(l.rand);
}

/* A few answers that are wrong by a hundred move nothing much. */
static void test_poison(void **state)
{
	struct lesson l;

	lesson_init(&l, 300);
	for (int k = 0; k < 200; k++)
		answer(&l, view(1 + (unsigned)k % 2, 3, 100), 100);
	for (int k = 0; k < 4; k++)
		answer(&l, view(2, 3, 100), 100 * 100);
	assert_true(factor(&l, view(2, 3, 100)) < 1.3);
	assert_true(l.work.median_ms < 130);
	answer(&l, view(2, 3, 100), 0);
	assert_true(l.work.median_ms > 80);
	g_rand_free(l.rand);
}

/* What the better servers offer: all slow is known, a quarter slow is not. */
static void test_offer(void **state)
{
	struct service_model m = {0};

	assert_true(latency_typical_factor(&m) < 1.01);
	for (int k = 0; k < 200; k++)
		latency_record_server(&m, k % 4 ? 1 : 5, true);
	assert_true(latency_typical_factor(&m) < 1.3);
	for (int k = 0; k < 100; k++)
		latency_record_server(&m, 12, true);
	assert_true(latency_typical_factor(&m) > 8);
	for (int k = 0; k < 60; k++)
		latency_record_server(&m, k % 4 ? 1 : 5, true);
	assert_true(latency_typical_factor(&m) < 1.5);
}

/* Room is short when many have none; a full server now and then is no sign. */
static void test_short(void **state)
{
	struct service_model m = {0};

	assert_false(latency_capacity_short(&m));
	for (int k = 0; k < 200; k++)
		latency_record_server(&m, 1, k % 50 != 0);
	assert_false(latency_capacity_short(&m));
	for (int k = 0; k < 20; k++)
		latency_record_server(&m, 1, k % 2 != 0);
	assert_true(latency_capacity_short(&m));
	for (int k = 0; k < 60; k++)
		latency_record_server(&m, 1, true);
	assert_false(latency_capacity_short(&m));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unseen),
		cmocka_unit_test(test_work),
		cmocka_unit_test(test_crowd),
		cmocka_unit_test(test_room),
		cmocka_unit_test(test_lying_reports),
		cmocka_unit_test(test_warm),
		cmocka_unit_test(test_poison),
		cmocka_unit_test(test_offer),
		cmocka_unit_test(test_short),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
