/* Tests of core/quarantine: verdicts in force, trials, recent answers. */
#include "tests/unit.h"

#include "core/quarantine.h"

/* Sets a verdict. */
static void set(struct quarantine *q, uint64_t digest, enum verdict_kind kind,
		int64_t until_ms)
{
	struct verdict v = {digest, kind, until_ms};

	quarantine_set(q, &v);
}

/* A verdict applies to its request until it is replaced. */
static void test_verdicts(void **state)
{
	static struct quarantine q;

	quarantine_init(&q);
	assert_int_equal(quarantine_kind(&q, 5), VERDICT_CLEAR);
	set(&q, 5, VERDICT_SUSPECT, 0);
	assert_int_equal(quarantine_kind(&q, 5), VERDICT_SUSPECT);
	set(&q, 5, VERDICT_REFUSE, 61000);
	assert_int_equal(quarantine_kind(&q, 5), VERDICT_REFUSE);
	assert_true(quarantine_left_s(&q, 5, 1000) == 60);
	/* After the period it stays refused until the verdict changes. */
	assert_true(quarantine_left_s(&q, 5, 70000) == 0);
	assert_int_equal(quarantine_kind(&q, 6), VERDICT_CLEAR);
	set(&q, 5, VERDICT_CLEAR, 0);
	assert_int_equal(quarantine_kind(&q, 5), VERDICT_CLEAR);
}

/* One copy is granted per trial. */
static void test_trial(void **state)
{
	static struct quarantine q;

	quarantine_init(&q);
	assert_false(quarantine_take_trial(&q, 5));
	set(&q, 5, VERDICT_REFUSE, 1);
	assert_false(quarantine_take_trial(&q, 5));
	set(&q, 5, VERDICT_TRIAL, 1);
	assert_true(quarantine_take_trial(&q, 5));
	assert_false(quarantine_take_trial(&q, 5));
	assert_int_equal(quarantine_kind(&q, 5), VERDICT_REFUSE);
}

/* A recent answer excuses one crash. */
static void test_recent_answer(void **state)
{
	static struct quarantine q;

	quarantine_init(&q);
	assert_false(quarantine_take_answer(&q, 5));
	assert_false(quarantine_take_answer(&q, 0));
	quarantine_note_answer(&q, 5);
	assert_false(quarantine_take_answer(&q, 5 + ANSWERED_SLOTS));
	assert_true(quarantine_take_answer(&q, 5));
	assert_false(quarantine_take_answer(&q, 5));
	/* A later answer to another request may overwrite it. */
	quarantine_note_answer(&q, 5);
	quarantine_note_answer(&q, 5 + ANSWERED_SLOTS);
	assert_false(quarantine_take_answer(&q, 5));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_verdicts),
		cmocka_unit_test(test_trial),
		cmocka_unit_test(test_recent_answer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
