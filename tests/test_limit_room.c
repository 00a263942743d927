/*
 * Tests of core/limit_room and of the times that callers are told by it: what a
 * service takes when all its servers are in need.
 */
#include "tests/unit.h"

#include <math.h>

#include "core/retry_after.h"
#include "tests/servers.h"

/* Server i names a limit, of which this instance holds all. */
static void limit(struct servers *s, int i, double per_s, bool saved)
{
	struct limit_sharer self = {1, 1};
	struct limit_sharers all = {&self, 1};
	struct backend *b = s->list[i];
	struct limit_part part = limit_part(per_s, b->start_hash, &all);

	b->state->limit = g_new0(struct backend_limit, 1);
	b->state->limit->advertised =
		(struct server_limit){.named = true, .per_s = per_s};
	limit_share_begin(&b->state->limit->share, saved, 0);
	limit_share_set(&b->state->limit->share, &part, 0);
}

/* One without a limit has room of another kind: nothing is known of waits. */
static void test_not_all(void **state)
{
	struct servers *s = servers_new(3, 4);

	limit(s, 0, 5, true);
	limit(s, 1, 5, true);
	assert_false(limit_room(s->service, 0).all);
	limit(s, 2, 5, true);
	assert_true(limit_room(s->service, 0).all);
	servers_free(s);
}

/* One that takes no new work doesn't count. */
static void test_draining(void **state)
{
	struct servers *s = servers_new(2, 4);

	limit(s, 0, 5, true);
	s->list[1]->entry.draining = true;
	assert_true(limit_room(s->service, 0).all);
	s->list[0]->entry.draining = true;
	assert_false(limit_room(s->service, 0).all);
	servers_free(s);
}

static void test_waits(void **state)
{
	struct servers *s = servers_new(2, 4);
	struct limit_room room;

	limit(s, 0, 5, false);
	limit(s, 1, 5, false);
	room = limit_room(s->service, 0);
	assert_int_equal(room.ready, 0);
	assert_true(fabs(room.rate_s - 10) < 1e-9);
	assert_int_equal(room.next_ms, 200);
	/* The two earn 10 a second together, the first of each after 200 ms. */
	assert_true(fabs(limit_room_wait_ms(&room, 0) - 200) < 1e-9);
	assert_true(fabs(limit_room_wait_ms(&room, 9) - 1000) < 1e-9);
	room = limit_room(s->service, 400);
	assert_int_equal(room.ready, 4);
	assert_true(limit_room_wait_ms(&room, 3) == 0);
	assert_true(fabs(limit_room_wait_ms(&room, 5) - 200) < 1e-6);
	servers_free(s);
}

/* An instance that holds nothing knows of no turn. */
static void test_nothing_held(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct limit_part none = {.held = false};
	struct limit_room room;
	int64_t promised = 0;

	limit(s, 0, 5, true);
	limit_share_set(&s->list[0]->state->limit->share, &none, 0);
	room = limit_room(s->service, 0);
	assert_true(room.all);
	assert_true(isinf(limit_room_wait_ms(&room, 0)));
	assert_true(retry_after_turn_s(&promised, &room, 0, 900, 0) == 0);
	servers_free(s);
}

/* Those that are refused together get turns one after the other. */
static void test_turns(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct limit_room room;
	int64_t promised = 0;

	limit(s, 0, 10, false);
	room = limit_room(s->service, 0);
	for (int i = 1; i <= 5; i++)
		assert_true(
			fabs(retry_after_turn_s(&promised, &room, 0, 9000, 0) -
			     0.1 * i) < 0.0011);
	/* One that will not come back by then takes nobody's turn. */
	assert_true(retry_after_turn_s(&promised, &room, 0, 300, 0) > 0.5);
	assert_true(fabs(retry_after_turn_s(&promised, &room, 0, 9000, 0) -
			 0.6) < 0.0011);
	servers_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_not_all),
		cmocka_unit_test(test_draining),
		cmocka_unit_test(test_waits),
		cmocka_unit_test(test_nothing_held),
		cmocka_unit_test(test_turns),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
