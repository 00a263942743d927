/*
 * Tests of core/place and core/outlier: which servers are probed, their
 * capacity and expected latency, and when no further reports are waited for.
 */
#include "tests/unit.h"

#include "core/outlier.h"
#include "core/place.h"
#include "tests/servers.h"

/* Returns a query from data centre dc-0. */
static struct place_query query(struct servers *s, GRand *rand)
{
	return (struct place_query){.service = s->service,
				    .dc = "dc-0",
				    .now_ms = 100000,
				    .rand = rand};
}

/* Excluded and draining servers are never probed. */
static void test_select_probes(void **state)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct servers *s = servers_new(8, 2);
	struct place_query q = query(s, rand);
	struct backend *out[PLACE_PROBE_MAX], *avoid[] = {s->list[0]};

	/* The first round probes the own data centre only. */
	s->list[2]->entry.draining = true;
	q.avoid = avoid;
	q.navoid = 1;
	q.own_dc_only = true;
	for (int i = 0; i < 200; i++) {
		assert_int_equal(place_select_probes(&q, 2, out), 2);
		assert_true(out[0] == s->list[4] || out[0] == s->list[6]);
		assert_true(out[1] == s->list[4] || out[1] == s->list[6]);
		assert_ptr_not_equal(out[0], out[1]);
	}
	assert_int_equal(place_select_probes(&q, 4, out), 2);
	q.own_dc_only = false;
	for (int i = 0; i < 200; i++) {
		assert_int_equal(place_select_probes(&q, 4, out), 4);
		for (int k = 0; k < 4; k++) {
			assert_ptr_not_equal(out[k], s->list[0]);
			assert_ptr_not_equal(out[k], s->list[2]);
		}
	}
	servers_free(s);
	g_rand_free(rand);
}

/* Returns how many of 1,500 probes go to the own data centre. */
static int own_dc_probes(const struct place_query *q)
{
	struct backend *out[PLACE_PROBE_MAX];
	int own = 0;

	for (int i = 0; i < 500; i++) {
		assert_int_equal(place_select_probes(q, 3, out), 3);
		for (int k = 0; k < 3; k++)
			own += !strcmp(out[k]->entry.dc, q->dc);
	}
	return own;
}

/*
 * Later rounds mostly probe the own data centre, but others too. If its servers
 * are known to be full, they probe the idle ones in other data centres first.
 */
static void test_other_dc(void **state)
{
	GRand *rand = g_rand_new_with_seed(3);
	struct servers *s = servers_new(20, 2);
	struct place_query q = query(s, rand);

	/* Of 10 equal servers in each, nearly all probes stay in the own. */
	assert_in_range(own_dc_probes(&q), 1200, 1499);
	for (int i = 0; i < 20; i += 2) {
		s->list[i]->load.running = 2;
		s->list[i]->load.at_ms = q.now_ms - 50;
	}
	assert_int_equal(own_dc_probes(&q), 0);
	/* An outdated report is ignored. */
	q.now_ms += 1000;
	assert_in_range(own_dc_probes(&q), 1200, 1499);
	servers_free(s);
	g_rand_free(rand);
}

/*
 * Servers with an idle connection are probed first, but a new one without is
 * probed now and then.
 */
static void test_connections(void **state)
{
	GRand *rand = g_rand_new_with_seed(5);
	struct servers *s = servers_new(10, 2);
	struct place_query q = query(s, rand);
	struct backend *out[PLACE_PROBE_MAX];
	int probed = 0, idle;

	for (int i = 0; i < 10; i++)
		s->list[i]->idle_conns = i < 9 ? &idle : NULL;
	for (int i = 0; i < 1000; i++) {
		assert_int_equal(place_select_probes(&q, 2, out), 2);
		for (int k = 0; k < 2; k++)
			probed += out[k] == s->list[9];
	}
	assert_in_range(probed, 5, 60);
	for (int i = 0; i < 10; i++)
		s->list[i]->idle_conns = NULL;
	servers_free(s);
	g_rand_free(rand);
}

/*
 * Plays the probes of one instance at 15 requests per second over three idle
 * servers. The first one has neither connections nor a report, as after a rate
 * limit, a backoff or a restart; the others are probed all the time. Returns
 * when the first one is probed, and counts its probes in seconds 4 to 7.
 */
static int64_t play_forgotten_server(guint32 seed, unsigned *probes)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct servers *s = servers_new(3, 2);
	struct place_query q = query(s, rand);
	int64_t start_ms = q.now_ms, found_ms = 0;
	struct backend *out[PLACE_PROBE_MAX];
	int idle;

	for (int i = 0; i < 3; i++) {
		s->list[i]->idle_conns = i ? &idle : NULL;
		s->list[i]->load.at_ms = i ? q.now_ms : 0;
	}
	for (; q.now_ms < start_ms + 7000; q.now_ms += 1000 / 15) {
		unsigned n = place_select_probes(&q, 2, out);

		for (unsigned k = 0; k < n; k++) {
			bool first = out[k] == s->list[0];

			out[k]->idle_conns = &idle;
			out[k]->load.at_ms = q.now_ms;
			if (first && !found_ms)
				found_ms = q.now_ms;
			*probes += first && q.now_ms >= start_ms + 4000;
		}
	}
	for (int i = 0; i < 3; i++)
		s->list[i]->idle_conns = NULL;
	servers_free(s);
	g_rand_free(rand);
	return found_ms ? found_ms - start_ms : 7000;
}

/*
 * A server that got nothing for a while, next to others that are in use, gets
 * its part again within seconds.
 */
static void test_forgotten_server_gets_its_part(void **state)
{
	unsigned plays = 400, probes = 0;
	int64_t found_ms = 0;

	for (unsigned i = 0; i < plays; i++)
		found_ms += play_forgotten_server(i, &probes);
	print_message("found after %d ms, %u probes of %u\n",
		      (int)(found_ms / plays), probes / plays, 3 * 15 * 2 / 3);
	assert_true(found_ms / plays <= 1000);
	assert_true(probes / plays >= 3 * 15 * 2 / 3 / 2);
}

/*
 * Gives b a limit of 0.3 per second, last confirmed at answered_ms, of which
 * this instance holds the only quota.
 */
static void set_low_limit(struct backend *b, int64_t answered_ms)
{
	struct backend_limit *l = g_new0(struct backend_limit, 1);
	struct limit_instance self = {1, 1};
	struct limit_instances instances = {&self, 1};
	struct limit_quota quota =
		limit_quota(&limit_rule_announced, 0.3, 7, &instances);

	l->advertised = (struct server_limit){.limited = true,
					      .per_s = 0.3,
					      .sent_ms = answered_ms - 5,
					      .received_ms = answered_ms};
	limit_share_init(&l->share, false, answered_ms);
	limit_share_set_quota(&l->share, &quota, answered_ms);
	b->state->limit = l;
	b->load.at_ms = answered_ms;
}

/*
 * Plays the requests of one instance at 15 per second over three idle servers,
 * the first of which has a limit. Its quota allows a request again, and no
 * connection to it is left. Returns when a request is sure to go there, as no
 * other server is probed for it.
 */
static int64_t play_unconfirmed_limit(guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct servers *s = servers_new(3, 2);
	struct place_query q = query(s, rand);
	int64_t start_ms = q.now_ms, found_ms = -1;
	struct backend *out[PLACE_PROBE_MAX];
	int idle;

	set_low_limit(s->list[0], start_ms - 3335);
	for (int i = 1; i < 3; i++)
		s->list[i]->idle_conns = &idle;
	for (; found_ms < 0 && q.now_ms < start_ms + 7000;
	     q.now_ms += 1000 / 15) {
		for (int i = 1; i < 3; i++)
			s->list[i]->load.at_ms = q.now_ms - 60;
		if (place_select_probes(&q, 2, out) == 1 &&
		    out[0] == s->list[0])
			found_ms = q.now_ms - start_ms;
	}
	for (int i = 1; i < 3; i++)
		s->list[i]->idle_conns = NULL;
	servers_free(s);
	g_rand_free(rand);
	return found_ms < 0 ? 7000 : found_ms;
}

/*
 * Only a response can tell that a limit has ended, so a request that a low
 * limit allows isn't left unused while requests come in.
 */
static void test_unconfirmed_limit_is_probed(void **state)
{
	int64_t sum_ms = 0, worst_ms = 0;

	for (guint32 i = 0; i < 400; i++) {
		int64_t ms = play_unconfirmed_limit(i);

		sum_ms += ms;
		worst_ms = MAX(worst_ms, ms);
	}
	print_message("after %d ms, at worst %d\n", (int)(sum_ms / 400),
		      (int)worst_ms);
	assert_true(worst_ms <= 333);
}

/*
 * A server with an unconfirmed limit is probed like the others while a probe of
 * it is pending, for a second after it was found busy, and when it fails; not
 * at all when its quota is used up.
 */
static void test_unconfirmed_limit_is_probed_once(void **state)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct servers *s = servers_new(3, 2);
	struct place_query q = query(s, rand);
	struct backend *out[PLACE_PROBE_MAX], *b = s->list[0];
	int busy;

	set_low_limit(b, q.now_ms - 3335);
	assert_int_equal(place_select_probes(&q, 2, out), 1);
	assert_ptr_equal(out[0], b);
	b->busy_conns = &busy;
	assert_int_equal(place_select_probes(&q, 2, out), 2);
	b->busy_conns = NULL;
	/* A recent probe for another request found it idle. */
	b->load.at_ms = q.now_ms - 100;
	assert_int_equal(place_select_probes(&q, 2, out), 1);
	b->load.running = 2;
	b->load.at_ms = q.now_ms - 900;
	assert_int_equal(place_select_probes(&q, 2, out), 2);
	b->load.at_ms = q.now_ms - 1001;
	assert_int_equal(place_select_probes(&q, 2, out), 1);
	outlier_record(b, 1.0, q.now_ms);
	assert_int_equal(place_select_probes(&q, 2, out), 2);
	q.now_ms += 60000;
	assert_int_equal(place_select_probes(&q, 2, out), 1);
	limit_share_clear(&b->state->limit->share, q.now_ms);
	assert_int_equal(place_select_probes(&q, 2, out), 2);
	assert_true(out[0] != b && out[1] != b);
	servers_free(s);
	g_rand_free(rand);
}

/* A server that keeps failing is only probed if no other is left. */
static void test_deprioritized(void **state)
{
	GRand *rand = g_rand_new_with_seed(2);
	struct servers *s = servers_new(4, 2);
	struct place_query q = query(s, rand);
	struct backend *out[PLACE_PROBE_MAX];

	for (int i = 0; i < 3; i++)
		outlier_record(s->list[0], 1.0, q.now_ms);
	for (int i = 0; i < 100; i++) {
		place_select_probes(&q, 3, out);
		for (int k = 0; k < 3; k++)
			assert_ptr_not_equal(out[k], s->list[0]);
	}
	assert_int_equal(place_select_probes(&q, 4, out), 4);
	assert_ptr_equal(out[3], s->list[0]);
	/* The score decays. */
	assert_true(outlier_score(s->list[0], q.now_ms + 15000) < 0.1);
	/* Successes reduce it faster, but not below zero. */
	for (int i = 0; i < 10; i++)
		outlier_record(s->list[0], -0.7, q.now_ms);
	assert_true(outlier_score(s->list[0], q.now_ms) == 0);
	servers_free(s);
	g_rand_free(rand);
}

/* Returns how many requests a server with a knee accepts. */
static unsigned capacity(unsigned slots)
{
	struct servers *s = servers_new(1, slots);
	struct backend *b = s->list[0];

	servers_record_knee(s->service, slots);
	b->load.slots = slots;
	while (place_has_capacity(b, 100000))
		b->load.running++;
	unsigned n = b->load.running;

	servers_free(s);
	return n;
}

/*
 * If service times grow to 1.7 times beyond 80% of the slots, a server must not
 * get a request that lowers its throughput.
 */
static void test_capacity(void **state)
{
	assert_int_equal(capacity(1), 1);
	assert_int_equal(capacity(2), 2);
	assert_int_equal(capacity(3), 3);
	assert_int_equal(capacity(4), 3);
	assert_int_equal(capacity(8), 6);
	assert_int_equal(capacity(0), 0);
}

/* The estimate includes slowdown, load and warm-up; the rank the round trip. */
static void test_estimate(void **state)
{
	struct servers *s = servers_new(2, 2);
	struct backend *b = s->list[0], *far = s->list[1];
	double base = place_estimate_ms(b, 60, 100000);

	servers_record_knee(s->service, 2);

	assert_true(base > 59 && base < 61);
	/* The rank adds the round trip, once it is known. */
	assert_true(place_rank_ms(far, "dc-1", base, 0) < base + 0.1);
	for (int i = 0; i < 50; i++)
		place_record_rtt(far, 6);
	assert_true(place_rank_ms(far, "dc-1", base, 0) > base + 5.5);
	assert_true(place_rank_ms(far, "dc-1", base, 0) < base + 6.5);
	b->load.slowdown_pct = 400;
	assert_true(place_estimate_ms(b, 60, 100000) > 3.9 * base);
	assert_true(place_estimate_ms(far, 60, 100000) <
		    place_estimate_ms(b, 60, 100000));
	assert_false(place_is_good_enough(b, 100000));
	b->load.slowdown_pct = 100;
	assert_true(place_is_good_enough(b, 100000));
	b->load.running = 1;
	assert_false(place_is_good_enough(b, 100000));
	assert_true(place_estimate_ms(b, 60, 100000) > 1.6 * base);
	b->load.running = 2;
	assert_true(place_estimate_ms(b, 60, 100000) > 2 * base);
	b->load.running = 0;
	/* A new server's slowdown counts once, as reported. */
	b->warm_up_until_ms = 100001;
	b->load.slowdown_pct = 200;
	assert_true(place_estimate_ms(b, 60, 100000) > 1.9 * base);
	assert_true(place_estimate_ms(b, 60, 100000) < 2.1 * base);
	servers_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_select_probes),
		cmocka_unit_test(test_other_dc),
		cmocka_unit_test(test_deprioritized),
		cmocka_unit_test(test_connections),
		cmocka_unit_test(test_forgotten_server_gets_its_part),
		cmocka_unit_test(test_unconfirmed_limit_is_probed),
		cmocka_unit_test(test_unconfirmed_limit_is_probed_once),
		cmocka_unit_test(test_capacity),
		cmocka_unit_test(test_estimate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
