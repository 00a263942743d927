/* Tests of stand/log, the store stand-in's log. */
#include "tests/unit.h"

#include "stand/log.h"

static const struct log_condition none = {.expected_end = -1};

/* Builds a length-prefixed record. */
static struct lstr record(struct buf *b, const char *content, size_t n)
{
	unsigned char head[] = {0, 0, 0, (unsigned char)n};

	b->len = 0;
	buf_add(b, head, 4);
	buf_add(b, content, n);
	return buf_lstr(b);
}

/* Append, read and trim. */
static void test_append_and_read(void **state)
{
	struct log_part *p = log_part_new(false);
	struct log_position pos;
	struct buf b = {0}, out = {0};

	assert_int_equal(log_append(p, record(&b, "ab", 2), &none, &pos),
			 LOG_OK);
	assert_int_equal(pos.offset, 0);
	assert_int_equal(pos.end, 1);
	assert_int_equal(log_append(p, record(&b, "c", 1), &none, &pos),
			 LOG_OK);
	assert_int_equal(log_read(p, 0, 1000, &out), LOG_OK);
	assert_int_equal(out.len, 16 + 6 + 5);
	assert_memory_equal(out.ptr + 7, "\2\0\0\0\0\0\0\0\0\0\0\0\2ab", 15);
	/* A truncated record is rejected. */
	assert_int_equal(
		log_append(p, (struct lstr){"\0\0\0\5ab", 6}, &none, &pos),
		LOG_MALFORMED);
	log_trim(p, 1);
	assert_int_equal(log_read(p, 0, 1000, &out), LOG_OUT_OF_RANGE);
	assert_int_equal(log_read(p, 1, 1000, &out), LOG_OK);
	assert_int_equal(log_end(p), 2);
	buf_free(&b);
	buf_free(&out);
}

/* An append at an offset fails if the log has grown. */
static void test_condition(void **state)
{
	struct log_part *p = log_part_new(false);
	struct log_condition at0 = {.expected_end = 0};
	struct log_position pos;
	struct buf b = {0};

	assert_int_equal(log_append(p, record(&b, "a", 1), &at0, &pos), LOG_OK);
	assert_int_equal(log_append(p, record(&b, "a", 1), &at0, &pos),
			 LOG_CONFLICT);
	assert_int_equal(pos.end, 1);
	assert_int_equal(log_end(p), 1);
	buf_free(&b);
}

/* Producer epochs and sequence numbers. */
static void test_producer(void **state)
{
	struct log_part *p = log_part_new(false);
	struct log_condition c = {
		.expected_end = -1, .producer = "w", .epoch = 7, .seq = 12};
	struct log_position pos;
	struct buf b = {0};

	assert_int_equal(log_append(p, record(&b, "a", 1), &c, &pos), LOG_OK);
	/* A repeated append returns the first result and appends nothing. */
	assert_int_equal(log_append(p, record(&b, "a", 1), &c, &pos), LOG_OK);
	assert_int_equal(pos.offset, 0);
	assert_int_equal(log_end(p), 1);
	c.seq = 14;
	assert_int_equal(log_append(p, record(&b, "a", 1), &c, &pos),
			 LOG_BAD_SEQ);
	assert_int_equal(pos.end, 13);
	c.epoch = 8;
	c.seq = 0;
	assert_int_equal(log_append(p, record(&b, "a", 1), &c, &pos), LOG_OK);
	c.epoch = 7;
	assert_int_equal(log_append(p, record(&b, "a", 1), &c, &pos),
			 LOG_STALE_EPOCH);
	buf_free(&b);
}

/* The newest value of each key is kept across a trim. */
static void test_newest(void **state)
{
	struct log_part *p = log_part_new(true);
	const struct log_newest *n;
	struct log_position pos;
	struct buf b = {0};

	log_append(p, record(&b, "\1kone", 5), &none, &pos);
	log_append(p, record(&b, "\1ktwo", 5), &none, &pos);
	log_trim(p, 2);
	n = log_newest(p, LSTR("k"));
	assert_int_equal(n->offset, 1);
	assert_memory_equal(g_bytes_get_data(n->value, NULL), "two", 3);
	/* An empty value deletes the key. */
	log_append(p, record(&b, "\1k", 2), &none, &pos);
	assert_null(log_newest(p, LSTR("k")));
	buf_free(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_append_and_read),
		cmocka_unit_test(test_condition),
		cmocka_unit_test(test_producer),
		cmocka_unit_test(test_newest),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
