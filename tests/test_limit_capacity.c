/*
 * Tests of core/limit_capacity and of the Retry-After times that follow from
 * it: the capacity of a service whose servers all have limits.
 */
#include "tests/unit.h"

#include <math.h>

#include "core/retry_after.h"
#include "tests/servers.h"

/* Gives server i a limit that this instance holds alone. */
static void limit(struct servers *s, int i, double per_s, bool saved)
{
	struct limit_instance self = {1, 1};
	struct limit_instances all = {&self, 1};
	struct backend *b = s->list[i];
	struct limit_quota part =
		limit_quota(&limit_rule_announced, per_s, b->start_hash, &all);

	b->state->limit = g_new0(struct backend_limit, 1);
	b->state->limit->advertised =
		(struct server_limit){.limited = true, .per_s = per_s};
	limit_share_init(&b->state->limit->share, saved, 0);
	limit_share_set_quota(&b->state->limit->share, &part, 0);
}

/* A server without a limit makes the capacity unknown. */
static void test_not_all(void **state)
{
	struct servers *s = servers_new(3, 4);

	limit(s, 0, 5, true);
	limit(s, 1, 5, true);
	assert_false(limit_capacity(s->service, 0).all_limited);
	limit(s, 2, 5, true);
	assert_true(limit_capacity(s->service, 0).all_limited);
	servers_free(s);
}

/* A draining server doesn't count. */
static void test_draining(void **state)
{
	struct servers *s = servers_new(2, 4);

	limit(s, 0, 5, true);
	s->list[1]->entry.draining = true;
	assert_true(limit_capacity(s->service, 0).all_limited);
	s->list[0]->entry.draining = true;
	assert_false(limit_capacity(s->service, 0).all_limited);
	servers_free(s);
}

/* Waits follow from tokens and refill of all servers. */
static void test_waits(void **state)
{
	struct servers *s = servers_new(2, 4);
	struct limit_capacity capacity;

	limit(s, 0, 5, false);
	limit(s, 1, 5, false);
	capacity = limit_capacity(s->service, 0);
	assert_int_equal(capacity.available, 0);
	assert_true(fabs(capacity.rate_s - 10) < 1e-9);
	assert_int_equal(capacity.next_ms, 200);
	/* Together they refill 10 per second, each its first after 200 ms. */
	assert_true(fabs(limit_capacity_wait_ms(&capacity, 0) - 200) < 1e-9);
	assert_true(fabs(limit_capacity_wait_ms(&capacity, 9) - 1000) < 1e-9);
	capacity = limit_capacity(s->service, 400);
	assert_int_equal(capacity.available, 4);
	assert_true(limit_capacity_wait_ms(&capacity, 3) == 0);
	assert_true(fabs(limit_capacity_wait_ms(&capacity, 5) - 200) < 1e-6);
	servers_free(s);
}

/* An instance without a quota can't tell a wait. */
static void test_no_quota(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct limit_quota none = {.held = false};
	struct limit_capacity capacity;
	int64_t promised = 0;

	limit(s, 0, 5, true);
	limit_share_set_quota(&s->list[0]->state->limit->share, &none, 0);
	capacity = limit_capacity(s->service, 0);
	assert_true(capacity.all_limited);
	assert_true(isinf(limit_capacity_wait_ms(&capacity, 0)));
	assert_true(retry_after_turn_s(&promised, &capacity, 0, 900, 0) == 0);
	servers_free(s);
}

/* Callers that are refused together get staggered Retry-After times. */
static void test_staggered_retries(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct limit_capacity capacity;
	int64_t promised = 0;

	limit(s, 0, 10, false);
	capacity = limit_capacity(s->service, 0);
	for (int i = 1; i <= 5; i++)
		assert_true(fabs(retry_after_turn_s(&promised, &capacity, 0,
						    9000, 0) -
				 0.1 * i) < 0.0011);
	/* A caller without enough time left reserves no slot. */
	assert_true(retry_after_turn_s(&promised, &capacity, 0, 300, 0) > 0.5);
	assert_true(fabs(retry_after_turn_s(&promised, &capacity, 0, 9000, 0) -
			 0.6) < 0.0011);
	servers_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_not_all),
		cmocka_unit_test(test_draining),
		cmocka_unit_test(test_waits),
		cmocka_unit_test(test_no_quota),
		cmocka_unit_test(test_staggered_retries),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
