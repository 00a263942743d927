/*
 * Tests of member/snapshot: a snapshot survives a round trip, and a truncated
 * one is rejected.
 */
#include "tests/unit.h"

#include <errno.h>

#include "member/snapshot.h"
#include "tests/peer_info.h"
#include "tests/sample_changes.h"

static void test_snapshot(void **state)
{
	struct crash_notice verdict = {CRASH_NOTICE_QUARANTINE, 0xabc, 2, 0};
	struct peer_report member = {info("e7", 4), 420};
	struct snapshot s, got;
	struct buf b = {0};

	snapshot_init(&s);
	s.has_config = true;
	s.config_pos = (struct store_position){2, 7};
	buf_add_lstr(&s.config, LSTR("any \x01 bytes"));
	s.backends_pos = (struct store_position){3, 1234567};
	s.backends_age_ms = 89;
	s.has_backends = true;
	fill_changes(s.backends, 2);
	g_array_append_val(s.members, member);
	member.sign_age_ms = AGE_UNKNOWN;
	g_array_append_val(s.members, member);
	g_array_append_val(s.verdicts, verdict);
	evacuations_add(&s.evacuations, LSTR("dc-4"), 2);
	snapshot_write(&s, &b);
	snapshot_init(&got);
	assert_int_equal(snapshot_read(buf_lstr(&b), &got), 0);
	assert_true(got.has_config);
	assert_int_equal(got.config_pos.era, 2);
	assert_int_equal(got.config_pos.offset, 7);
	assert_true(lstr_eq(buf_lstr(&got.config), buf_lstr(&s.config)));
	assert_int_equal(got.backends_pos.era, 3);
	assert_int_equal(got.backends_pos.offset, 1234567);
	assert_int_equal(got.backends_age_ms, 89);
	assert_int_equal(got.members->len, 2);
	assert_int_equal(
		g_array_index(got.members, struct peer_report, 0).sign_age_ms,
		420);
	assert_int_equal(
		g_array_index(got.members, struct peer_report, 1).sign_age_ms,
		AGE_UNKNOWN);
	assert_string_equal(
		g_array_index(got.members, struct peer_report, 1).info.name,
		"e7");
	assert_int_equal(got.verdicts->len, 1);
	assert_int_equal(
		g_array_index(got.verdicts, struct crash_notice, 0).digest,
		0xabc);
	assert_int_equal(got.evacuations.n, 1);
	assert_true(evacuations_contains(&got.evacuations, "dc-4"));
	assert_true(got.has_backends);
	assert_int_equal(got.backends->len, 2);
	assert_memory_equal(got.backends->data, s.backends->data,
			    2 * sizeof(struct backend_change));
	snapshot_clear(&got);
	for (size_t n = 0; n < b.len; n++) {
		char *copy = g_memdup2(b.ptr, n ? n : 1);

		snapshot_init(&got);
		assert_int_equal(snapshot_read((struct lstr){copy, n}, &got),
				 -EPROTO);
		snapshot_clear(&got);
		g_free(copy);
	}
	snapshot_clear(&s);
	buf_free(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_snapshot),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
