/*
 * Tests of control/backend_list after the store was restored from a backup:
 * entries that the backup contains or lacks, and feeds into the new era.
 */
#include "tests/unit.h"

#include "tests/backend_lists.h"

/* Applies an entry with a sequence number at a position of some era. */
static void write_entry(struct backend_list *l, struct store_position pos,
			const char *id, uint64_t sequence, const char *what,
			int64_t now)
{
	struct backend_change c = change(0, id, what);

	c.pos = pos;
	c.entry.server_start_ms = 5000;
	c.entry.sequence = sequence;
	backend_list_apply_record(l, &c, now);
}

/*
 * Initializes a list with a and b that has applied the first 8 records of era 1
 * at 1,000 ms.
 */
static void begin_two_entries(struct backend_list *l, struct seen *s)
{
	init(l, s);
	read_empty_listing(l, 0, 1000);
	write_entry(l, in_era(1, 0), "a", 1, "ready", 1000);
	write_entry(l, in_era(1, 1), "b", 1, "ready", 1000);
	backend_list_advance(l, in_era(1, 8), 1000, 1000);
}

/* Applies the backup's listing to a list that hasn't seen a drain. */
static void list_restored(struct backend_list *l)
{
	backend_list_replace_begin(l, 2, 1500);
	write_entry(l, in_era(2, 0), "a", 1, "ready", 1500);
	write_entry(l, in_era(2, 1), "b", 1, "ready", 1500);
	backend_list_replace_end(l, in_era(2, 2), 1500, 1500);
}

static void test_removed_server_in_backup_stays_removed(void **state)
{
	struct backend_list l;
	struct seen s;

	begin_two_entries(&l, &s);
	record(&l, 8, "b", "gone", 1100);
	backend_list_advance(&l, in_era(1, 9), 1100, 1100);
	backend_list_replace_begin(&l, 2, 1500);
	write_entry(&l, in_era(2, 0), "a", 1, "ready", 1500);
	write_entry(&l, in_era(2, 1), "b", 1, "ready", 1500);
	backend_list_replace_end(&l, in_era(2, 2), 1500, 1500);
	assert_string_equal(state_of(&s, "b"), "gone");
	/* The removal is written again. */
	write_entry(&l, in_era(2, 2), "b", 0, "gone", 2500);
	backend_list_apply_deferred(&l, 60000);
	assert_string_equal(state_of(&s, "b"), "gone");
	assert_string_equal(state_of(&s, "a"), "ready");
}

/*
 * The server's lease expired and it returned, both after the backup, so its
 * removal is not written again.
 */
static void test_unconfirmed_server_returns_unless_removed(void **state)
{
	struct backend_list l;
	struct seen s;

	begin_two_entries(&l, &s);
	record(&l, 8, "a", "gone", 1100);
	record(&l, 9, "b", "gone", 1100);
	backend_list_advance(&l, in_era(1, 10), 1100, 1100);
	backend_list_replace_begin(&l, 2, 1500);
	write_entry(&l, in_era(2, 0), "a", 1, "ready", 1500);
	write_entry(&l, in_era(2, 1), "b", 2, "ready", 1500);
	backend_list_replace_end(&l, in_era(2, 2), 1500, 1500);
	/* An entry newer than the last one known proves that it is running. */
	assert_string_equal(state_of(&s, "b"), "ready");
	assert_string_equal(state_of(&s, "a"), "gone");
	backend_list_apply_deferred(&l, 5000);
	assert_string_equal(state_of(&s, "a"), "gone");
	backend_list_apply_deferred(&l, 9000);
	assert_string_equal(state_of(&s, "a"), "ready");
}

static void test_server_missing_from_backup_is_kept(void **state)
{
	struct backend_list l;
	struct seen s;

	begin_two_entries(&l, &s);
	write_entry(&l, in_era(1, 8), "c", 1, "ready", 1100);
	write_entry(&l, in_era(1, 9), "d", 1, "ready", 1100);
	backend_list_advance(&l, in_era(1, 10), 1100, 1100);
	backend_list_replace_begin(&l, 2, 1500);
	write_entry(&l, in_era(2, 0), "a", 1, "ready", 1500);
	write_entry(&l, in_era(2, 1), "b", 1, "ready", 1500);
	backend_list_replace_end(&l, in_era(2, 2), 1500, 1500);
	backend_list_apply_deferred(&l, 3500);
	assert_string_equal(state_of(&s, "c"), "ready");
	assert_string_equal(state_of(&s, "d"), "ready");
	write_entry(&l, in_era(2, 2), "c", 2, "ready", 3500);
	backend_list_apply_deferred(&l, 3800);
	assert_string_equal(state_of(&s, "c"), "ready");
	assert_string_equal(state_of(&s, "d"), "gone");
}

/*
 * A removal in the backup may precede the server's return, so only a removal
 * after the backup counts.
 */
static void test_earlier_removal_in_backup_is_ignored(void **state)
{
	struct backend_change gone = change(0, "c", "gone");
	struct backend_list l;
	struct seen s;

	begin_two_entries(&l, &s);
	write_entry(&l, in_era(1, 8), "c", 1, "ready", 1100);
	write_entry(&l, in_era(1, 9), "c", 0, "gone", 1100);
	write_entry(&l, in_era(1, 12), "c", 2, "ready", 1200);
	backend_list_advance(&l, in_era(1, 13), 1200, 1200);
	list_restored(&l);
	gone.pos = in_era(2, 9);
	backend_list_remove_deferred(&l, &gone, 1500);
	assert_string_equal(state_of(&s, "c"), "ready");
	gone.pos = in_era(2, 12);
	backend_list_remove_deferred(&l, &gone, 1500);
	assert_string_equal(state_of(&s, "c"), "gone");
}

/*
 * A server wrote its entry again after the backup, so its newest record has a
 * higher offset than its removal right after the restore. It stayed on the list
 * until the grace period for missing entries had ended.
 */
static void test_removal_at_lower_offset_than_lost_record(void **state)
{
	struct backend_change gone = change(0, "c", "gone");
	struct backend_list l;
	struct seen s;

	begin_two_entries(&l, &s);
	write_entry(&l, in_era(1, 8), "c", 1, "ready", 1100);
	write_entry(&l, in_era(1, 13), "c", 2, "ready", 1200);
	backend_list_advance(&l, in_era(1, 14), 1200, 1200);
	list_restored(&l);
	gone.pos = in_era(2, 10);
	backend_list_remove_deferred(&l, &gone, 1500);
	assert_string_equal(state_of(&s, "c"), "gone");
}

/* A removal before the listing that returned the entry may have been missed. */
static void test_removal_before_relisting_is_ignored(void **state)
{
	struct backend_change gone = change(0, "c", "gone");
	struct backend_list l;
	struct seen s;

	begin_two_entries(&l, &s);
	write_entry(&l, in_era(1, 8), "c", 1, "ready", 1100);
	backend_list_replace_begin(&l, 1, 1200);
	write_entry(&l, in_era(1, 10), "a", 2, "ready", 1200);
	write_entry(&l, in_era(1, 11), "b", 2, "ready", 1200);
	write_entry(&l, in_era(1, 12), "c", 2, "ready", 1200);
	backend_list_replace_end(&l, in_era(1, 13), 1200, 1200);
	list_restored(&l);
	gone.pos = in_era(2, 9);
	backend_list_remove_deferred(&l, &gone, 1500);
	assert_string_equal(state_of(&s, "c"), "ready");
}

static void test_draining_missing_from_backup_is_kept(void **state)
{
	struct backend_list l;
	struct seen s;

	begin_two_entries(&l, &s);
	write_entry(&l, in_era(1, 8), "a", 2, "draining", 1100);
	backend_list_replace_begin(&l, 2, 1500);
	write_entry(&l, in_era(2, 0), "a", 1, "ready", 1500);
	write_entry(&l, in_era(2, 1), "b", 1, "ready", 1500);
	backend_list_replace_end(&l, in_era(2, 2), 1500, 1500);
	assert_string_equal(state_of(&s, "a"), "draining");
	/* Records of the new era apply at once. */
	write_entry(&l, in_era(2, 2), "b", 2, "draining", 1600);
	assert_string_equal(state_of(&s, "b"), "draining");
	write_entry(&l, in_era(2, 3), "a", 3, "gone", 1600);
	assert_string_equal(state_of(&s, "a"), "gone");
}

/* The instance that read the backup may stop before the entry is confirmed. */
static void test_unconfirmed_entry_is_fed(void **state)
{
	struct backend_list reader, fed;
	struct seen rs, fs;

	begin_two_entries(&reader, &rs);
	begin_two_entries(&fed, &fs);
	record(&reader, 8, "b", "gone", 1100);
	backend_list_advance(&reader, in_era(1, 9), 1100, 1100);
	send_feed(&reader, &fed, true, 1110);
	list_restored(&reader);
	send_feed(&reader, &fed, true, 1510);
	assert_string_equal(state_of(&fs, "b"), "gone");
	backend_list_apply_deferred(&fed, 9000);
	assert_string_equal(state_of(&fs, "b"), "ready");
}

/*
 * A listing is ordered by key, but a feed of several datagrams must be in log
 * order.
 */
static void test_feed_after_restore_is_ordered(void **state)
{
	struct backend_feed f;
	struct backend_list l;
	struct seen s;

	begin_two_entries(&l, &s);
	backend_list_replace_begin(&l, 2, 1500);
	write_entry(&l, in_era(2, 7), "c", 1, "ready", 1500);
	write_entry(&l, in_era(2, 3), "d", 1, "ready", 1500);
	write_entry(&l, in_era(2, 5), "e", 1, "ready", 1500);
	backend_list_replace_end(&l, in_era(2, 8), 1500, 1500);
	backend_list_build_feed(&l, &f, 1500);
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

/* Entries without a start time are ordered by sequence number as well. */
static void test_draining_without_start_time_is_kept(void **state)
{
	struct backend_change c = change(0, "a", "draining");
	struct backend_list l;
	struct seen s;

	init(&l, &s);
	read_empty_listing(&l, 0, 1000);
	c.entry.sequence = 2;
	backend_list_apply_record(&l, &c, 1000);
	backend_list_advance(&l, in_era(1, 1), 1000, 1000);
	backend_list_replace_begin(&l, 2, 1500);
	c = change(0, "a", "ready");
	c.pos = in_era(2, 0);
	c.entry.sequence = 1;
	backend_list_apply_record(&l, &c, 1500);
	backend_list_replace_end(&l, in_era(2, 1), 1500, 1500);
	assert_string_equal(state_of(&s, "a"), "draining");
}

/* A record that its reader knows from the old era is new to other instances. */
static void test_known_record_is_fed_in_new_era(void **state)
{
	struct backend_list reader, knows, lists;
	struct seen rs, ks, ls;

	begin_two_entries(&reader, &rs);
	begin_two_entries(&knows, &ks);
	begin_two_entries(&lists, &ls);
	write_entry(&knows, in_era(1, 8), "a", 2, "draining", 1100);
	write_entry(&lists, in_era(1, 8), "a", 2, "draining", 1100);
	list_restored(&reader);
	send_feed(&reader, &knows, true, 1510);
	list_restored(&lists);
	/* Whether the reader entered the new era by a feed or by a listing. */
	write_entry(&knows, in_era(2, 2), "a", 2, "draining", 1600);
	backend_list_advance(&knows, in_era(2, 3), 1600, 1600);
	send_feed(&knows, &reader, true, 1610);
	assert_string_equal(state_of(&rs, "a"), "draining");
	begin_two_entries(&reader, &rs);
	list_restored(&reader);
	write_entry(&lists, in_era(2, 2), "a", 2, "draining", 1600);
	backend_list_advance(&lists, in_era(2, 3), 1600, 1600);
	send_feed(&lists, &reader, true, 1610);
	assert_string_equal(state_of(&rs, "a"), "draining");
}

/* Leases of the backup expire together before their servers can write. */
static void test_expiry_of_most_after_restore_is_deferred(void **state)
{
	struct backend_list l;
	struct seen s;

	begin_two_entries(&l, &s);
	write_entry(&l, in_era(1, 8), "c", 1, "ready", 1100);
	backend_list_advance(&l, in_era(1, 9), 1100, 1100);
	backend_list_replace_begin(&l, 2, 1500);
	write_entry(&l, in_era(2, 0), "a", 1, "ready", 1500);
	write_entry(&l, in_era(2, 1), "b", 1, "ready", 1500);
	write_entry(&l, in_era(2, 2), "c", 1, "ready", 1500);
	backend_list_replace_end(&l, in_era(2, 3), 1500, 1500);
	write_entry(&l, in_era(2, 3), "a", 0, "gone", 1600);
	write_entry(&l, in_era(2, 4), "b", 0, "gone", 1600);
	write_entry(&l, in_era(2, 5), "c", 0, "gone", 1600);
	assert_string_equal(state_of(&s, "a"), "gone");
	assert_string_equal(state_of(&s, "b"), "ready");
	assert_string_equal(state_of(&s, "c"), "ready");
	write_entry(&l, in_era(2, 6), "b", 2, "ready", 2000);
	backend_list_apply_deferred(&l, 4000);
	assert_string_equal(state_of(&s, "b"), "ready");
	assert_string_equal(state_of(&s, "c"), "gone");
}

/*
 * An instance that reads the new log feeds those that are still in the old era.
 */
static void test_feed_into_new_era(void **state)
{
	struct backend_list reader, fed;
	struct seen rs, fs;

	begin_two_entries(&reader, &rs);
	begin_two_entries(&fed, &fs);
	write_entry(&reader, in_era(1, 8), "c", 1, "ready", 1100);
	backend_list_advance(&reader, in_era(1, 9), 1100, 1100);
	/* This feed is lost; the next one covers it and the new era. */
	backend_list_replace_begin(&reader, 2, 1500);
	write_entry(&reader, in_era(2, 5), "d", 1, "ready", 1500);
	write_entry(&reader, in_era(2, 0), "a", 1, "ready", 1500);
	backend_list_replace_end(&reader, in_era(2, 6), 1500, 1500);
	send_feed(&reader, &fed, true, 1510);
	assert_int_equal(store_position_cmp(fed.pos, in_era(2, 6)), 0);
	assert_string_equal(state_of(&fs, "c"), "ready");
	assert_string_equal(state_of(&fs, "d"), "ready");
	assert_string_equal(state_of(&fs, "b"), "ready");
	/* c writes again, b doesn't; feeds of the old era are ignored. */
	write_entry(&reader, in_era(2, 6), "c", 2, "ready", 2000);
	backend_list_advance(&reader, in_era(2, 7), 2000, 2000);
	send_feed(&reader, &fed, true, 2010);
	begin_two_entries(&reader, &rs);
	send_feed(&reader, &fed, true, 2020);
	assert_int_equal(store_position_cmp(fed.pos, in_era(2, 7)), 0);
	backend_list_apply_deferred(&fed, 4000);
	assert_string_equal(state_of(&fs, "c"), "ready");
	assert_string_equal(state_of(&fs, "b"), "gone");
	assert_string_equal(state_of(&fs, "a"), "ready");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_removed_server_in_backup_stays_removed),
		cmocka_unit_test(
			test_unconfirmed_server_returns_unless_removed),
		cmocka_unit_test(test_server_missing_from_backup_is_kept),
		cmocka_unit_test(test_removal_at_lower_offset_than_lost_record),
		cmocka_unit_test(test_removal_before_relisting_is_ignored),
		cmocka_unit_test(test_draining_missing_from_backup_is_kept),
		cmocka_unit_test(test_expiry_of_most_after_restore_is_deferred),
		cmocka_unit_test(test_draining_without_start_time_is_kept),
		cmocka_unit_test(test_known_record_is_fed_in_new_era),
		cmocka_unit_test(test_unconfirmed_entry_is_fed),
		cmocka_unit_test(test_earlier_removal_in_backup_is_ignored),
		cmocka_unit_test(test_feed_after_restore_is_ordered),
		cmocka_unit_test(test_feed_into_new_era),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
