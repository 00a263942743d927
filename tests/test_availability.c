/* Tests of core/availability: whether a server may be sent to. */
#include "tests/unit.h"

#include "tests/servers.h"

#include "core/availability.h"

/* Returns the reason not to send to b. */
static enum hold hold_of(const struct backend *b, enum send_kind kind,
			 int64_t now_ms)
{
	return backend_availability(b, kind, now_ms).hold;
}

/* Reasons that apply to all kinds of sends, also to committed ones. */
static void test_holds_for_all_kinds(void **state)
{
	static const enum send_kind kinds[] = {SEND_PRIMARY, SEND_HEDGE,
					       SEND_COMMITTED};
	struct servers *s = servers_new(1, 4);
	struct backend *b = s->list[0];

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_NONE);
		b->gone = true;
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_GONE);
		b->gone = false;
		b->entry.draining = true;
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_DRAINING);
		b->entry.draining = false;
		b->state->draining = true;
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_DRAINING);
		b->state->draining = false;
		b->excluded = true;
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_EXCLUDED);
		b->excluded = false;
		b->state->resume_ms = 101;
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_BACKOFF);
		assert_int_equal(hold_of(b, kinds[i], 101), HOLD_NONE);
		b->state->resume_ms = 0;
		b->evacuated = true;
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_EVACUATED);
		b->evacuated = false;
	}
	servers_free(s);
}

/* After a backoff, one request at a time, except committed sends. */
static void test_resuming(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct backend *b = s->list[0];

	server_state_back_off(b->state, 1, 0, 1000);
	assert_int_equal(hold_of(b, SEND_PRIMARY, 2500), HOLD_NONE);
	b->in_flight = 1;
	assert_int_equal(hold_of(b, SEND_PRIMARY, 2500), HOLD_RESUMING);
	assert_int_equal(hold_of(b, SEND_COMMITTED, 2500), HOLD_NONE);
	server_state_answered(b->state, 2500);
	assert_int_equal(hold_of(b, SEND_PRIMARY, 2500), HOLD_NONE);
	servers_free(s);
}

/*
 * A limit without a share holds uncommitted sends. A probe is allowed, but not
 * as a hedge.
 */
static void test_limit(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct backend *b = s->list[0];

	b->state->limit = g_new0(struct backend_limit, 1);
	b->state->limit->advertised.limited = true;
	assert_int_equal(hold_of(b, SEND_PRIMARY, 0), HOLD_LIMIT);
	b->state->limit->probe_allowed = true;
	assert_int_equal(hold_of(b, SEND_PRIMARY, 0), HOLD_NONE);
	assert_int_equal(hold_of(b, SEND_HEDGE, 0), HOLD_LIMIT);
	assert_int_equal(hold_of(b, SEND_COMMITTED, 0), HOLD_NONE);
	servers_free(s);
}

/* The earliest resumption counts, and only while no server is available. */
static void test_service_resume_ms(void **state)
{
	struct servers *s = servers_new(3, 4);

	assert_int_equal(service_resume_ms(s->service, 0), 0);
	server_state_back_off(s->list[0]->state, 3, 0, 0);
	server_state_back_off(s->list[1]->state, 2, 0, 0);
	assert_int_equal(service_resume_ms(s->service, 0), 0);
	s->list[2]->state->draining = true;
	assert_int_equal(service_resume_ms(s->service, 0),
			 s->list[1]->state->resume_ms);
	s->list[0]->state->draining = s->list[1]->state->draining = true;
	assert_int_equal(service_resume_ms(s->service, 0), 0);
	servers_free(s);
}

/*
 * Announced state survives an expired entry and a new address, but no restart.
 */
static void test_state_outlives_entry(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct backend_entry e = s->list[0]->entry;
	struct backend *b;

	server_state_back_off(s->list[0]->state, 9, 0, 0);
	s->list[0]->state->draining = true;
	backend_set_remove(&s->set, e.id);
	e.addr.sin_port = 99;
	backend_set_put(&s->set, &e, 50);
	b = g_hash_table_lookup(s->set.by_id, e.id);
	assert_int_equal(hold_of(b, SEND_COMMITTED, 60), HOLD_DRAINING);
	b->state->draining = false;
	assert_int_equal(hold_of(b, SEND_COMMITTED, 60), HOLD_BACKOFF);
	e.server_start_ms = 7;
	backend_set_put(&s->set, &e, 70);
	b = g_hash_table_lookup(s->set.by_id, e.id);
	assert_int_equal(hold_of(b, SEND_COMMITTED, 80), HOLD_NONE);
	s->list[0] = b;
	servers_free(s);
}

/*
 * A server that may be cold gets what the share allows, and no hedges. A send
 * that wasn't charged is cancelled if the server turns out to be cold.
 */
static void test_slow_start(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct backend *b = s->list[0];
	struct slow_start_report report = {.sent_ms = 99, .received_ms = 100};
	struct limit_quota quota = {
		.held = true, .rate_s = 1, .depth = 1, .max_in_window = 1};

	s->service->slow_start.per_s = 1;
	b->state->slow_start = g_new0(struct slow_start, 1);
	slow_start_init(b->state->slow_start, 0);
	assert_int_equal(hold_of(b, SEND_PRIMARY, 90), HOLD_UNREPORTED);
	assert_true(backend_may_probe(b, SEND_PRIMARY, 90));
	assert_int_equal(hold_of(b, SEND_COMMITTED, 90), HOLD_NONE);
	slow_start_report(b->state->slow_start, &report);
	assert_int_equal(hold_of(b, SEND_PRIMARY, 100), HOLD_NONE);
	assert_int_equal(hold_of(b, SEND_HEDGE, 100), HOLD_NONE);
	report = (struct slow_start_report){
		.left_ms = 9000, .sent_ms = 101, .received_ms = 102};
	slow_start_report(b->state->slow_start, &report);
	assert_int_equal(hold_of(b, SEND_PRIMARY, 102), HOLD_SLOW_START);
	assert_int_equal(hold_of(b, SEND_UNCHARGED, 102), HOLD_SLOW_START);
	assert_int_equal(hold_of(b, SEND_COMMITTED, 102), HOLD_NONE);
	assert_false(backend_may_probe(b, SEND_PRIMARY, 102));
	limit_share_set_quota(&b->state->slow_start->share, &quota, 102);
	assert_int_equal(hold_of(b, SEND_PRIMARY, 1200), HOLD_NONE);
	assert_int_equal(hold_of(b, SEND_HEDGE, 1200), HOLD_SLOW_START);
	servers_free(s);
}

/* Without a server that takes anything a request must not wait. */
static void test_service_is_usable(void **state)
{
	struct servers *s = servers_new(2, 4);

	s->list[0]->evacuated = true;
	assert_true(service_is_usable(s->service, 0));
	s->list[1]->entry.draining = true;
	assert_false(service_is_usable(s->service, 0));
	s->list[0]->evacuated = false;
	s->list[0]->state->resume_ms = 100;
	assert_true(service_is_usable(s->service, 0));
	servers_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_holds_for_all_kinds),
		cmocka_unit_test(test_resuming),
		cmocka_unit_test(test_limit),
		cmocka_unit_test(test_service_resume_ms),
		cmocka_unit_test(test_state_outlives_entry),
		cmocka_unit_test(test_slow_start),
		cmocka_unit_test(test_service_is_usable),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
