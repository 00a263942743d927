/*
 * Tests of control/backend_list when the store comes back from a copy: what the copy
 * has or lacks, and feeds into the new era.
 */
#include "tests/unit.h"

#include "tests/backend_lists.h"

/* An entry with its word, as it stands in an era. */
static void say(struct backend_list *l, struct store_position pos,
		const char *id, uint64_t sequence, const char *what,
		int64_t now)
{
	struct backend_change c = change(0, id, what);

	c.pos = pos;
	c.entry.server_start_ms = 5000;
	c.entry.sequence = sequence;
	backend_list_record(l, &c, now);
}

/* A list with a and b, the first 8 records of era 1 taken in at 1,000 ms. */
static void begin_copied(struct backend_list *l, struct seen *s)
{
	init(l, s);
	list_anew(l, 0, 1000);
	say(l, in_era(1, 0), "a", 1, "ready", 1000);
	say(l, in_era(1, 1), "b", 1, "ready", 1000);
	backend_list_caught_up(l, in_era(1, 8), 1000, 1000);
}

/* The copy is read by one that missed what another knows. */
static void copy_without_draining(struct backend_list *l)
{
	backend_list_replace_begin(l, 2, 1500);
	say(l, in_era(2, 0), "a", 1, "ready", 1500);
	say(l, in_era(2, 1), "b", 1, "ready", 1500);
	backend_list_replace_end(l, in_era(2, 2), 1500, 1500);
}

static void test_left_server_of_the_copy_stays_off(void **state)
{
	struct backend_list l;
	struct seen s;

	begin_copied(&l, &s);
	record(&l, 8, "b", "gone", 1100);
	backend_list_caught_up(&l, in_era(1, 9), 1100, 1100);
	backend_list_replace_begin(&l, 2, 1500);
	say(&l, in_era(2, 0), "a", 1, "ready", 1500);
	say(&l, in_era(2, 1), "b", 1, "ready", 1500);
	backend_list_replace_end(&l, in_era(2, 2), 1500, 1500);
	assert_string_equal(state_of(&s, "b"), "gone");
	/* Its removal is written again. */
	say(&l, in_era(2, 2), "b", 0, "gone", 2500);
	backend_list_settle(&l, 60000);
	assert_string_equal(state_of(&s, "b"), "gone");
	assert_string_equal(state_of(&s, "a"), "ready");
}

/* It lapsed and came back in the lost seconds: nobody removes it again. */
static void test_doubted_server_that_lives_is_back(void **state)
{
	struct backend_list l;
	struct seen s;

	begin_copied(&l, &s);
	record(&l, 8, "a", "gone", 1100);
	record(&l, 9, "b", "gone", 1100);
	backend_list_caught_up(&l, in_era(1, 10), 1100, 1100);
	backend_list_replace_begin(&l, 2, 1500);
	say(&l, in_era(2, 0), "a", 1, "ready", 1500);
	say(&l, in_era(2, 1), "b", 2, "ready", 1500);
	backend_list_replace_end(&l, in_era(2, 2), 1500, 1500);
	/* A later word than its last proves it. */
	assert_string_equal(state_of(&s, "b"), "ready");
	assert_string_equal(state_of(&s, "a"), "gone");
	backend_list_settle(&l, 5000);
	assert_string_equal(state_of(&s, "a"), "gone");
	backend_list_settle(&l, 9000);
	assert_string_equal(state_of(&s, "a"), "ready");
}

static void test_joined_server_stays_until_it_writes_again(void **state)
{
	struct backend_list l;
	struct seen s;

	begin_copied(&l, &s);
	say(&l, in_era(1, 8), "c", 1, "ready", 1100);
	say(&l, in_era(1, 9), "d", 1, "ready", 1100);
	backend_list_caught_up(&l, in_era(1, 10), 1100, 1100);
	backend_list_replace_begin(&l, 2, 1500);
	say(&l, in_era(2, 0), "a", 1, "ready", 1500);
	say(&l, in_era(2, 1), "b", 1, "ready", 1500);
	backend_list_replace_end(&l, in_era(2, 2), 1500, 1500);
	backend_list_settle(&l, 3500);
	assert_string_equal(state_of(&s, "c"), "ready");
	assert_string_equal(state_of(&s, "d"), "ready");
	say(&l, in_era(2, 2), "c", 2, "ready", 3500);
	backend_list_settle(&l, 3800);
	assert_string_equal(state_of(&s, "c"), "ready");
	assert_string_equal(state_of(&s, "d"), "gone");
}

/* It lapsed before the copy and was back after it, or has left since. */
static void test_removal_in_the_copy_is_no_news(void **state)
{
	struct backend_change gone = change(0, "c", "gone");
	struct backend_list l;
	struct seen s;

	begin_copied(&l, &s);
	say(&l, in_era(1, 8), "c", 1, "ready", 1100);
	say(&l, in_era(1, 9), "c", 0, "gone", 1100);
	say(&l, in_era(1, 12), "c", 2, "ready", 1200);
	backend_list_caught_up(&l, in_era(1, 13), 1200, 1200);
	copy_without_draining(&l);
	gone.pos = in_era(2, 9);
	backend_list_remove_missing(&l, &gone, 1500);
	assert_string_equal(state_of(&s, "c"), "ready");
	gone.pos = in_era(2, 12);
	backend_list_remove_missing(&l, &gone, 1500);
	assert_string_equal(state_of(&s, "c"), "gone");
}

static void test_draining_that_the_copy_lacks_holds(void **state)
{
	struct backend_list l;
	struct seen s;

	begin_copied(&l, &s);
	say(&l, in_era(1, 8), "a", 2, "draining", 1100);
	backend_list_replace_begin(&l, 2, 1500);
	say(&l, in_era(2, 0), "a", 1, "ready", 1500);
	say(&l, in_era(2, 1), "b", 1, "ready", 1500);
	backend_list_replace_end(&l, in_era(2, 2), 1500, 1500);
	assert_string_equal(state_of(&s, "a"), "draining");
	/* And what is said in the new era counts at once. */
	say(&l, in_era(2, 2), "b", 2, "draining", 1600);
	assert_string_equal(state_of(&s, "b"), "draining");
	say(&l, in_era(2, 3), "a", 3, "gone", 1600);
	assert_string_equal(state_of(&s, "a"), "gone");
}

/* Its reader may end before the doubt does. */
static void test_doubt_is_fed(void **state)
{
	struct backend_list reader, fed;
	struct seen rs, fs;

	begin_copied(&reader, &rs);
	begin_copied(&fed, &fs);
	record(&reader, 8, "b", "gone", 1100);
	backend_list_caught_up(&reader, in_era(1, 9), 1100, 1100);
	feed_to(&reader, &fed, true, 1110);
	copy_without_draining(&reader);
	feed_to(&reader, &fed, true, 1510);
	assert_string_equal(state_of(&fs, "b"), "gone");
	backend_list_settle(&fed, 9000);
	assert_string_equal(state_of(&fs, "b"), "ready");
}

/* A listing comes by key; a feed of several datagrams needs the log's order. */
static void test_news_of_a_copy_are_in_order(void **state)
{
	struct backend_feed f;
	struct backend_list l;
	struct seen s;

	begin_copied(&l, &s);
	backend_list_replace_begin(&l, 2, 1500);
	say(&l, in_era(2, 7), "c", 1, "ready", 1500);
	say(&l, in_era(2, 3), "d", 1, "ready", 1500);
	say(&l, in_era(2, 5), "e", 1, "ready", 1500);
	backend_list_replace_end(&l, in_era(2, 8), 1500, 1500);
	backend_list_outline(&l, &f, 1500);
	assert_in_range(f.changes->len, 5, 7);
	for (guint i = 1; i < f.changes->len; i++)
		assert_true(store_position_cmp(
				    g_array_index(f.changes,
						  struct backend_change, i - 1)
					    .pos,
				    g_array_index(f.changes,
						  struct backend_change, i)
					    .pos) <= 0);
}

/* Words of a server that doesn't tell its start have an order there as well. */
static void test_draining_without_a_start_holds(void **state)
{
	struct backend_change c = change(0, "a", "draining");
	struct backend_list l;
	struct seen s;

	init(&l, &s);
	list_anew(&l, 0, 1000);
	c.entry.sequence = 2;
	backend_list_record(&l, &c, 1000);
	backend_list_caught_up(&l, in_era(1, 1), 1000, 1000);
	backend_list_replace_begin(&l, 2, 1500);
	c = change(0, "a", "ready");
	c.pos = in_era(2, 0);
	c.entry.sequence = 1;
	backend_list_record(&l, &c, 1500);
	backend_list_replace_end(&l, in_era(2, 1), 1500, 1500);
	assert_string_equal(state_of(&s, "a"), "draining");
}

/* A record that is known to its reader from the old era is news to others. */
static void test_known_record_is_fed_in_the_new_era(void **state)
{
	struct backend_list reader, knows, lists;
	struct seen rs, ks, ls;

	begin_copied(&reader, &rs);
	begin_copied(&knows, &ks);
	begin_copied(&lists, &ls);
	say(&knows, in_era(1, 8), "a", 2, "draining", 1100);
	say(&lists, in_era(1, 8), "a", 2, "draining", 1100);
	copy_without_draining(&reader);
	feed_to(&reader, &knows, true, 1510);
	copy_without_draining(&lists);
	/* Whether it has taken over the new era by a feed or by a listing. */
	say(&knows, in_era(2, 2), "a", 2, "draining", 1600);
	backend_list_caught_up(&knows, in_era(2, 3), 1600, 1600);
	feed_to(&knows, &reader, true, 1610);
	assert_string_equal(state_of(&rs, "a"), "draining");
	begin_copied(&reader, &rs);
	copy_without_draining(&reader);
	say(&lists, in_era(2, 2), "a", 2, "draining", 1600);
	backend_list_caught_up(&lists, in_era(2, 3), 1600, 1600);
	feed_to(&lists, &reader, true, 1610);
	assert_string_equal(state_of(&rs, "a"), "draining");
}

/* Leases of the copy run out together before their servers can write. */
static void test_lapse_of_most_after_a_copy_is_held_back(void **state)
{
	struct backend_list l;
	struct seen s;

	begin_copied(&l, &s);
	say(&l, in_era(1, 8), "c", 1, "ready", 1100);
	backend_list_caught_up(&l, in_era(1, 9), 1100, 1100);
	backend_list_replace_begin(&l, 2, 1500);
	say(&l, in_era(2, 0), "a", 1, "ready", 1500);
	say(&l, in_era(2, 1), "b", 1, "ready", 1500);
	say(&l, in_era(2, 2), "c", 1, "ready", 1500);
	backend_list_replace_end(&l, in_era(2, 3), 1500, 1500);
	say(&l, in_era(2, 3), "a", 0, "gone", 1600);
	say(&l, in_era(2, 4), "b", 0, "gone", 1600);
	say(&l, in_era(2, 5), "c", 0, "gone", 1600);
	assert_string_equal(state_of(&s, "a"), "gone");
	assert_string_equal(state_of(&s, "b"), "ready");
	assert_string_equal(state_of(&s, "c"), "ready");
	say(&l, in_era(2, 6), "b", 2, "ready", 2000);
	backend_list_settle(&l, 4000);
	assert_string_equal(state_of(&s, "b"), "ready");
	assert_string_equal(state_of(&s, "c"), "gone");
}

/* One that reads the new log feeds those that are still in the old one. */
static void test_feed_into_the_new_era(void **state)
{
	struct backend_list reader, fed;
	struct seen rs, fs;

	begin_copied(&reader, &rs);
	begin_copied(&fed, &fs);
	say(&reader, in_era(1, 8), "c", 1, "ready", 1100);
	backend_list_caught_up(&reader, in_era(1, 9), 1100, 1100);
	/* The fed one misses that feed; the next covers it and the rise. */
	backend_list_replace_begin(&reader, 2, 1500);
	say(&reader, in_era(2, 5), "d", 1, "ready", 1500);
	say(&reader, in_era(2, 0), "a", 1, "ready", 1500);
	backend_list_replace_end(&reader, in_era(2, 6), 1500, 1500);
	feed_to(&reader, &fed, true, 1510);
	assert_int_equal(store_position_cmp(fed.pos, in_era(2, 6)), 0);
	assert_string_equal(state_of(&fs, "c"), "ready");
	assert_string_equal(state_of(&fs, "d"), "ready");
	assert_string_equal(state_of(&fs, "b"), "ready");
	/* c writes again, b doesn't; the old era has nothing to say. */
	say(&reader, in_era(2, 6), "c", 2, "ready", 2000);
	backend_list_caught_up(&reader, in_era(2, 7), 2000, 2000);
	feed_to(&reader, &fed, true, 2010);
	begin_copied(&reader, &rs);
	feed_to(&reader, &fed, true, 2020);
	assert_int_equal(store_position_cmp(fed.pos, in_era(2, 7)), 0);
	backend_list_settle(&fed, 4000);
	assert_string_equal(state_of(&fs, "c"), "ready");
	assert_string_equal(state_of(&fs, "b"), "gone");
	assert_string_equal(state_of(&fs, "a"), "ready");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_left_server_of_the_copy_stays_off),
		cmocka_unit_test(test_doubted_server_that_lives_is_back),
		cmocka_unit_test(
			test_joined_server_stays_until_it_writes_again),
		cmocka_unit_test(test_draining_that_the_copy_lacks_holds),
		cmocka_unit_test(test_lapse_of_most_after_a_copy_is_held_back),
		cmocka_unit_test(test_draining_without_a_start_holds),
		cmocka_unit_test(test_known_record_is_fed_in_the_new_era),
		cmocka_unit_test(test_doubt_is_fed),
		cmocka_unit_test(test_removal_in_the_copy_is_no_news),
		cmocka_unit_test(test_news_of_a_copy_are_in_order),
		cmocka_unit_test(test_feed_into_the_new_era),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
