/*
 * Tests of control/evacuation_records: which records of the store change the
 * set of evacuated data centres.
 */
#include "tests/unit.h"

#include "common/event.h"
#include "control/evacuation_records.h"

#define PREFIX "evacuate/"

/* A record of the topic; without a value the key was deleted. */
static struct store_record record(uint64_t era, uint64_t offset,
				  const char *key, const char *value)
{
	return (struct store_record){{era, offset}, lstr0(key), lstr0(value)};
}

/* Applies records that end at `end`; those before `known` are known. */
static bool apply(struct evacuations *e, const struct store_record *records,
		  size_t n, bool listing, struct store_position end,
		  struct store_position known)
{
	struct store_result r = {.end = end, .records = records, .nrecords = n};

	return evacuation_records_apply(e, PREFIX, &r, listing, known);
}

static void test_read(void **state)
{
	const struct store_record all[] = {
		record(1, 4, "config", "x"),
		record(1, 5, PREFIX "dc-1", "{}"),
		record(1, 6, PREFIX "dc-2", "{}"),
		record(1, 7, PREFIX "dc-1", ""),
	};
	struct evacuations e = {.n = 0};

	assert_true(apply(&e, all, 4, false, (struct store_position){1, 8},
			  (struct store_position){1, 4}));
	assert_int_equal(e.n, 1);
	assert_true(evacuations_contains(&e, "dc-2"));
	/*
	 * The answer to a poll that was sent before a peer's newer set was
	 * taken over.
	 */
	assert_false(apply(&e, all, 2, false, (struct store_position){1, 6},
			   (struct store_position){1, 8}));
	assert_false(evacuations_contains(&e, "dc-1"));
}

/* Records without a valid name are skipped; the others count. */
static void test_invalid_record(void **state)
{
	const struct store_record all[] = {
		record(1, 5, PREFIX, "{}"),
		record(1, 6, PREFIX "dc-2", "\xff not a map"),
	};
	struct evacuations e = {.n = 0};

	assert_true(apply(&e, all, 2, false, (struct store_position){1, 7},
			  (struct store_position){1, 5}));
	assert_int_equal(e.n, 1);
	assert_true(evacuations_contains(&e, "dc-2"));
}

/* A listing after a gap replaces the set, unless it is outdated. */
static void test_listing(void **state)
{
	const struct store_record all[] = {record(1, 5, PREFIX "dc-2", "{}")};
	struct evacuations e = {.n = 0};

	evacuations_add(&e, LSTR("dc-1"), 1);
	assert_false(apply(&e, all, 1, true, (struct store_position){1, 8},
			   (struct store_position){1, 9}));
	assert_true(apply(&e, all, 1, true, (struct store_position){1, 20},
			  (struct store_position){1, 9}));
	assert_false(evacuations_contains(&e, "dc-1"));
	assert_true(evacuations_contains(&e, "dc-2"));
}

/*
 * A store that was restored from a backup may lack an evacuation: it stays in
 * force until its record is deleted.
 */
static void test_restored_store(void **state)
{
	const struct store_record back[] = {record(2, 6, PREFIX "dc-1", "")};
	struct evacuations e = {.n = 0};

	evacuations_add(&e, LSTR("dc-1"), 1);
	assert_false(apply(&e, NULL, 0, true, (struct store_position){2, 5},
			   (struct store_position){1, 9}));
	assert_true(evacuations_contains(&e, "dc-1"));
	assert_true(apply(&e, back, 1, false, (struct store_position){2, 7},
			  (struct store_position){2, 5}));
	assert_false(evacuations_contains(&e, "dc-1"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_read),
		cmocka_unit_test(test_invalid_record),
		cmocka_unit_test(test_listing),
		cmocka_unit_test(test_restored_store),
	};

	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
