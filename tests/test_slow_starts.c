/*
 * Tests of traffic/slow_starts and of evacuations: what servers get that are
 * cold or whose data centre is evacuated.
 *
 * Guards against requests to an evacuated data centre, and against more
 * requests to a cold server than it tolerates: neither was known here.
 */
#include "tests/unit.h"

#include "tests/bench.h"
#include "core/policy.h"
#include "traffic/slow_starts.h"

#define COLD "Warmup-Remaining-Ms: 5000\r\n"

/* Makes the instance the only one, and sets the bound for cold servers. */
static void set_bound(struct bench *b, double per_s, double slack)
{
	struct peer_view *v = g_new0(struct peer_view, 1);
	struct limit_instance self = {1, 1};

	v->instances = 1;
	v->participants =
		g_array_new(FALSE, FALSE, sizeof(struct limit_instance));
	g_array_append_val(v->participants, self);
	assert_int_equal(mailbox_send(&b->traffic.inbox, TO_TRAFFIC_PEERS, v),
			 0);
	bench_run_ms(b, 5);
	b->traffic.config->services[0].slow_start_ms = 3000;
	b->traffic.config->services[0].slow_start_per_s = per_s;
	b->traffic.bounds.slow_start_factor = 1.5;
	b->traffic.bounds.slow_start_slack = slack;
	slow_starts_configure(&b->traffic);
}

/* Evacuates the data centre of all servers, or takes that back. */
static void evacuate(struct bench *b, const char *dc)
{
	struct evacuations *e = g_new0(struct evacuations, 1);

	if (dc)
		evacuations_add(e, lstr0(dc), 1);
	assert_int_equal(
		mailbox_send(&b->traffic.inbox, TO_TRAFFIC_EVACUATIONS, e), 0);
	bench_run_ms(b, 5);
}

/* Makes calls one by one for `ms`; returns the share that was served. */
static double call_for_ms(struct bench *b, int ms)
{
	int64_t end = clock_ms() + ms;
	int calls = 0, served = 0;

	while (clock_ms() < end) {
		struct caller *c =
			bench_call(b, calls % 2 ? "POST" : "GET", 1000);

		bench_run_until(b, c);
		served += c->status == 200;
		calls++;
	}
	assert_true(calls > 1);
	return (double)served / calls;
}

static void test_cold_server(void **state)
{
	struct bench *b = bench_new(2);

	set_bound(b, 4, 2);
	b->servers[0].probe_headers = COLD;
	b->servers[1].busy_slots = 2;
	call_for_ms(b, 2000);
	/* What was saved and refilled in 2 s; the rule allows 8 in each. */
	assert_true(b->servers[0].received > 3);
	assert_true(b->servers[0].received <= 4 * 2 + 2);
	bench_free(b);
}

/* A server that turns cold at any moment is bounded from then on. */
static void test_turns_cold(void **state)
{
	struct bench *b = bench_new(2);

	set_bound(b, 1, 1);
	call_for_ms(b, 300);
	assert_true(b->servers[0].received > 10);
	b->servers[0].probe_headers = COLD;
	b->servers[1].busy_slots = 2;
	bench_run_ms(b, 150);
	b->servers[0].received = 0;
	call_for_ms(b, 500);
	assert_true(b->servers[0].received <= 1);
	bench_free(b);
}

/* When a cold server is warm it gets its part within a second. */
static void test_turns_warm(void **state)
{
	struct bench *b = bench_new(2);

	set_bound(b, 1, 1);
	b->servers[0].probe_headers = "Warmup-Remaining-Ms: 300\r\n";
	call_for_ms(b, 200);
	b->servers[0].probe_headers = NULL;
	call_for_ms(b, 300);
	b->servers[0].received = 0;
	call_for_ms(b, 500);
	assert_true(b->servers[0].received > 5);
	bench_free(b);
}

/* If all servers are cold, excess requests are refused early. */
static void test_all_cold(void **state)
{
	struct bench *b = bench_new(2);
	struct caller *c[20];
	int refused = 0;

	set_bound(b, 2, 4);
	b->servers[0].probe_headers = b->servers[1].probe_headers = COLD;
	for (int i = 0; i < 20; i++)
		c[i] = bench_call(b, "POST", 1000);
	bench_run_ms(b, 260);
	for (int i = 0; i < 20; i++) {
		refused += c[i]->status == 503;
		assert_true(c[i]->status != 503 || c[i]->retry_after > 0);
	}
	assert_true(refused >= 15);
	assert_true(b->servers[0].received + b->servers[1].received <= 8);
	bench_free(b);
}

/* Without a bound a cold server is used as before. */
static void test_no_bound(void **state)
{
	struct bench *b = bench_new(2);

	b->servers[0].probe_headers = COLD;
	assert_float_equal(call_for_ms(b, 300), 1, 0);
	assert_true(b->servers[0].received > 5);
	bench_free(b);
}

/* Selects servers without probes. */
static void use_policy(struct bench *b, const char *name)
{
	struct service *s =
		backend_set_service(&b->traffic.backends, LSTR("harta"));

	s->policy = place_policy_find(name);
	assert_non_null(s->policy);
}

/* Servers that report no load are probed nevertheless: they may be cold. */
static void test_no_load_reported(void **state)
{
	struct bench *b = bench_new(2);

	b->servers[0].reports_load = b->servers[1].reports_load = false;
	set_bound(b, 4, 2);
	call_for_ms(b, 100);
	b->servers[0].received = 0;
	b->servers[0].probe_headers = COLD;
	bench_run_ms(b, 150);
	assert_float_equal(call_for_ms(b, 500), 1, 0);
	assert_true(b->servers[0].probes > 0);
	assert_true(b->servers[0].received <= 4);
	bench_free(b);
}

/* Servers that aren't probed are bounded by their entries. */
static void test_listed_as_cold(void **state)
{
	struct bench *b = bench_new(2);
	struct backend *s =
		g_hash_table_lookup(b->traffic.backends.by_id, "i-0");

	set_bound(b, 1, 1);
	use_policy(b, "rr");
	s->warm_up_until_ms = clock_ms() + 5000;
	slow_starts_listed(&b->traffic, s);
	assert_float_equal(call_for_ms(b, 500), 1, 0);
	assert_true(b->servers[0].received <= 2);
	bench_free(b);
}

static void test_evacuated(void **state)
{
	struct bench *b = bench_new(2);
	struct backend *s =
		g_hash_table_lookup(b->traffic.backends.by_id, "i-1");

	strcpy(s->entry.dc, "dc-2");
	set_bound(b, 4, 2);
	call_for_ms(b, 100);
	evacuate(b, "dc-2");
	b->servers[1].received = b->servers[1].probes = 0;
	assert_float_equal(call_for_ms(b, 500), 1, 0);
	assert_int_equal(b->servers[1].received, 0);
	assert_int_equal(b->servers[1].probes, 0);
	/* Taken back, it may be cold: only probes show that it isn't. */
	evacuate(b, NULL);
	assert_int_equal(backend_phase(s, clock_ms()), SLOW_START_UNKNOWN);
	b->servers[0].busy_slots = 2;
	assert_float_equal(call_for_ms(b, 300), 1, 0);
	assert_true(b->servers[1].received > 0);
	bench_free(b);
}

/* Evacuated servers of a service that isn't probed may be cold afterwards. */
static void test_restored_without_probes(void **state)
{
	struct bench *b = bench_new(1);
	struct backend *s =
		g_hash_table_lookup(b->traffic.backends.by_id, "i-0");

	set_bound(b, 4, 2);
	use_policy(b, "rr");
	call_for_ms(b, 100);
	evacuate(b, "dc-1");
	evacuate(b, NULL);
	assert_int_equal(backend_phase(s, clock_ms()), SLOW_START_COLD);
	bench_free(b);
}

/* A request that no server may get is refused at once, with a return time. */
static void test_all_evacuated(void **state)
{
	struct bench *b = bench_new(2);
	struct caller *c;

	set_bound(b, 4, 2);
	call_for_ms(b, 100);
	evacuate(b, "dc-1");
	c = bench_call(b, "POST", 1000);
	bench_run_ms(b, 20);
	assert_int_equal(c->status, 503);
	assert_true(c->retry_after > 0);
	evacuate(b, NULL);
	assert_float_equal(call_for_ms(b, 300), 1, 0);
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cold_server),
		cmocka_unit_test(test_turns_cold),
		cmocka_unit_test(test_turns_warm),
		cmocka_unit_test(test_all_cold),
		cmocka_unit_test(test_no_bound),
		cmocka_unit_test(test_no_load_reported),
		cmocka_unit_test(test_listed_as_cold),
		cmocka_unit_test(test_evacuated),
		cmocka_unit_test(test_restored_without_probes),
		cmocka_unit_test(test_all_evacuated),
	};

	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
