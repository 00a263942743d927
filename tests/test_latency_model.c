/*
 * Tests of core/latency_model: what is learned from answers, and that wrong,
 * outdated and false reports have little effect.
 */
#include "tests/unit.h"

#include <math.h>

#include <glib.h>

#include "core/latency_model.h"

enum { START_MS = 1000, INTERVAL_MS = 50 };

struct fixture {
	struct service_model model;
	struct work_model work;
	GRand *rand;
	int64_t now_ms;
};

/* Initialises a model without answers. */
static void fixture_init(struct fixture *f, uint32_t target_ms)
{
	memset(f, 0, sizeof(*f));
	work_model_init(&f->work, target_ms);
	f->rand = g_rand_new_with_seed(7);
	f->now_ms = START_MS;
}

/* Returns the state of a server that has warmed up. */
static struct server_view view(unsigned active_requests, unsigned slots,
			       unsigned pct)
{
	return (struct server_view){.active_requests = active_requests,
				    .slots = slots,
				    .slowdown_pct = pct};
}

/* Returns the learned factor of a server in state v. */
static double factor(const struct fixture *f, struct server_view v)
{
	return latency_factor(&f->model, &v, f->now_ms);
}

/* Records an answer after ms, varied by a third in both directions. */
static void answer(struct fixture *f, struct server_view v, double ms)
{
	double spread = exp(0.6 * (g_rand_double(f->rand) - 0.5));

	f->now_ms += INTERVAL_MS;
	latency_record(&f->model, &f->work, &v, ms * spread, f->now_ms);
}

/* Without answers, servers are expected to be as they report. */
static void test_no_answers(void **state)
{
	struct fixture f;

	fixture_init(&f, 300);
	assert_true(fabs(f.work.median_ms - 100) < 1);
	assert_true(fabs(factor(&f, view(1, 3, 100)) - 1) < 0.01);
	assert_true(fabs(factor(&f, view(3, 3, 100)) - 1) < 0.01);
	assert_true(fabs(factor(&f, view(1, 3, 500)) - 5) < 0.01);
	assert_true(fabs(factor(&f, view(1, 3, 0)) - 1) < 0.01);
	assert_int_equal(latency_max_concurrency(&f.model, 3, f.now_ms), 3);
	assert_int_equal(latency_max_concurrency(&f.model, 0, f.now_ms), 0);
	g_rand_free(f.rand);
}

/* The quantiles are learned from wrong initial values. */
static void test_service_time(void **state)
{
	for (int i = 0; i < 2; i++) {
		double ms = i ? 500 : 20;
		struct fixture f;

		fixture_init(&f, 300);
		for (int k = 0; k < 60; k++)
			answer(&f, view(1, 3, 100), ms);
		assert_true(f.work.median_ms > 0.8 * ms);
		assert_true(f.work.median_ms < 1.25 * ms);
		assert_true(f.work.p75_ms >= f.work.median_ms);
		assert_true(f.work.p75_ms < 1.6 * ms);
		g_rand_free(f.rand);
	}
}

/*
 * A server that is 1.8 times slower from half of its three slots on is
 * recognised from a few seconds of answers. Three concurrent requests still
 * have a higher throughput than one.
 */
static void test_load(void **state)
{
	struct fixture f;

	fixture_init(&f, 300);
	for (int k = 0; k < 120; k++) {
		unsigned n = 1 + (unsigned)k % 3;

		answer(&f, view(n, 3, 100), n > 1 ? 180 : 100);
	}
	assert_true(factor(&f, view(2, 3, 100)) > 1.5);
	assert_true(factor(&f, view(3, 3, 100)) > 1.5);
	assert_true(factor(&f, view(3, 3, 100)) < 2);
	assert_int_equal(latency_max_concurrency(&f.model, 3, f.now_ms), 3);
	g_rand_free(f.rand);
}

/* Servers whose throughput falls with load get one request at a time. */
static void test_max_concurrency(void **state)
{
	struct fixture f;

	fixture_init(&f, 300);
	for (int k = 0; k < 300; k++) {
		unsigned n = 1 + (unsigned)k % 3;

		answer(&f, view(n, 3, 100), 100.0 * n * n);
	}
	assert_int_equal(latency_max_concurrency(&f.model, 3, f.now_ms), 1);
	/* The samples decay, so more requests are tried again. */
	f.now_ms += 300 * 1000;
	assert_int_equal(latency_max_concurrency(&f.model, 3, f.now_ms), 3);
	g_rand_free(f.rand);
}

/* Reported slowdowns without an actual one lose their weight. */
static void test_false_reports(void **state)
{
	struct fixture f;

	fixture_init(&f, 300);
	for (int k = 0; k < 200; k++)
		answer(&f, view(1, 3, k % 4 ? 100 : 500), 100);
	assert_true(factor(&f, view(1, 3, 500)) < 2);
	assert_true(fabs(factor(&f, view(1, 3, 100)) - 1) < 0.05);
	/* Correct ones keep it. */
	fixture_init(&f, 300);
	for (int k = 0; k < 200; k++)
		answer(&f, view(1, 3, k % 4 ? 100 : 500), k % 4 ? 100 : 500);
	assert_true(fabs(factor(&f, view(1, 3, 500)) - 5) < 0.8);
	g_rand_free(f.rand);
}

/* New servers that are slower than they report, and some that report it all. */
static void test_warm_up(void **state)
{
	struct server_view warming_up = {.active_requests = 1,
					 .slots = 3,
					 .slowdown_pct = 100,
					 .warming_up = true};
	struct fixture f;

	fixture_init(&f, 300);
	for (int k = 0; k < 100; k++) {
		answer(&f, view(1, 3, 100), 100);
		answer(&f, warming_up, 300);
	}
	assert_true(factor(&f, warming_up) > 2.2);
	assert_true(fabs(factor(&f, view(1, 3, 100)) - 1) < 0.01);
	fixture_init(&f, 300);
	warming_up.slowdown_pct = 200;
	for (int k = 0; k < 100; k++) {
		answer(&f, view(1, 3, 100), 100);
		answer(&f, warming_up, 200);
	}
	assert_true(fabs(factor(&f, warming_up) - 2) < 0.4);
	g_rand_free(f.rand);
}

/* A few answers that are wrong by a factor of 100 have little effect. */
static void test_wrong_answers(void **state)
{
	struct fixture f;

	fixture_init(&f, 300);
	for (int k = 0; k < 200; k++)
		answer(&f, view(1 + (unsigned)k % 2, 3, 100), 100);
	for (int k = 0; k < 4; k++)
		answer(&f, view(2, 3, 100), 100 * 100);
	assert_true(factor(&f, view(2, 3, 100)) < 1.3);
	assert_true(f.work.median_ms < 130);
	answer(&f, view(2, 3, 100), 0);
	assert_true(f.work.median_ms > 80);
	g_rand_free(f.rand);
}

/* The typical factor rises if all servers are slow, but not for a quarter. */
static void test_typical_factor(void **state)
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

/* Capacity is short if many servers are full, not if one is now and then. */
static void test_capacity_short(void **state)
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
		cmocka_unit_test(test_no_answers),
		cmocka_unit_test(test_service_time),
		cmocka_unit_test(test_load),
		cmocka_unit_test(test_max_concurrency),
		cmocka_unit_test(test_false_reports),
		cmocka_unit_test(test_warm_up),
		cmocka_unit_test(test_wrong_answers),
		cmocka_unit_test(test_typical_factor),
		cmocka_unit_test(test_capacity_short),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
