/* Tests of core/availability: the one check of what a server takes. */
#include "tests/unit.h"

#include "tests/servers.h"

#include "core/availability.h"

static enum hold hold_of(const struct backend *b, enum send_kind kind,
			 int64_t now_ms)
{
	return backend_availability(b, kind, now_ms).hold;
}

/* Holds for whatever is sent, also for what was chosen before. */
static void test_holds_for_all(void **state)
{
	static const enum send_kind kinds[] = {SEND_ALONE, SEND_BESIDE,
					       SEND_CHOSEN};
	struct servers *s = servers_new(1, 4);
	struct backend *b = s->list[0];

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_NONE);
		b->gone = true;
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_GONE);
		b->gone = false;
		b->entry.draining = true;
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_LEAVING);
		b->entry.draining = false;
		b->memory->leaving = true;
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_LEAVING);
		b->memory->leaving = false;
		b->drained = true;
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_DRAINED);
		b->drained = false;
		b->memory->back_ms = 101;
		assert_int_equal(hold_of(b, kinds[i], 100), HOLD_REST);
		assert_int_equal(hold_of(b, kinds[i], 101), HOLD_NONE);
		b->memory->back_ms = 0;
	}
	servers_free(s);
}

/* After a rest one at a time; what was chosen goes out all the same. */
static void test_return_after_rest(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct backend *b = s->list[0];

	server_memory_rest(b->memory, 1, 0, 1000);
	assert_int_equal(hold_of(b, SEND_ALONE, 2500), HOLD_NONE);
	b->in_flight = 1;
	assert_int_equal(hold_of(b, SEND_ALONE, 2500), HOLD_RETURN);
	assert_int_equal(hold_of(b, SEND_CHOSEN, 2500), HOLD_NONE);
	server_memory_answered(b->memory, 2500);
	assert_int_equal(hold_of(b, SEND_ALONE, 2500), HOLD_NONE);
	servers_free(s);
}

static void test_limit(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct backend *b = s->list[0];

	b->memory->limit = g_new0(struct backend_limit, 1);
	b->memory->limit->said.named = true;
	assert_int_equal(hold_of(b, SEND_ALONE, 0), HOLD_LIMIT);
	b->memory->limit->looks = true;
	assert_int_equal(hold_of(b, SEND_ALONE, 0), HOLD_NONE);
	assert_int_equal(hold_of(b, SEND_BESIDE, 0), HOLD_LIMIT);
	assert_int_equal(hold_of(b, SEND_CHOSEN, 0), HOLD_NONE);
	servers_free(s);
}

/* The first return counts, and only while nobody takes anything. */
static void test_service_back(void **state)
{
	struct servers *s = servers_new(3, 4);

	assert_int_equal(service_back_ms(s->service, 0), 0);
	server_memory_rest(s->list[0]->memory, 3, 0, 0);
	server_memory_rest(s->list[1]->memory, 2, 0, 0);
	assert_int_equal(service_back_ms(s->service, 0), 0);
	s->list[2]->memory->leaving = true;
	assert_int_equal(service_back_ms(s->service, 0),
			 s->list[1]->memory->back_ms);
	s->list[0]->memory->leaving = s->list[1]->memory->leaving = true;
	assert_int_equal(service_back_ms(s->service, 0), 0);
	servers_free(s);
}

/* A lapse of the entry or another address changes nothing that was said. */
static void test_outlives_the_entry(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct backend_entry e = s->list[0]->entry;
	struct backend *b;

	server_memory_rest(s->list[0]->memory, 9, 0, 0);
	s->list[0]->memory->leaving = true;
	backend_set_remove(&s->set, e.id);
	e.addr.sin_port = 99;
	backend_set_put(&s->set, &e, 50);
	b = g_hash_table_lookup(s->set.by_id, e.id);
	assert_int_equal(hold_of(b, SEND_CHOSEN, 60), HOLD_LEAVING);
	b->memory->leaving = false;
	assert_int_equal(hold_of(b, SEND_CHOSEN, 60), HOLD_REST);
	e.born_ms = 7;
	backend_set_put(&s->set, &e, 70);
	b = g_hash_table_lookup(s->set.by_id, e.id);
	assert_int_equal(hold_of(b, SEND_CHOSEN, 80), HOLD_NONE);
	s->list[0] = b;
	servers_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_holds_for_all),
		cmocka_unit_test(test_return_after_rest),
		cmocka_unit_test(test_limit),
		cmocka_unit_test(test_service_back),
		cmocka_unit_test(test_outlives_the_entry),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
