/*
 * Tests of conf/values: patches against stale versions, concurrent operators
 * over the store's conditional append, and random histories: every reader of
 * the newest record sees the same version and values, versions never go back,
 * and of two patches on one version exactly one succeeds.
 */
#include "tests/unit.h"

#include <errno.h>

#include "conf/values.h"
#include "stand/log.h"

/* Appends v if the topic still ends at `end`, as operators do. */
static enum log_outcome write_at(struct log_part *topic,
				 const struct conf_values *v, uint64_t end)
{
	struct log_condition cond = {.expected_end = (int64_t)end};
	struct log_position pos;
	struct buf value = {0}, rec = {0};
	size_t klen = strlen(CONF_KEY);
	enum log_outcome rc;

	conf_write(v, &value);
	uint32_t n = (uint32_t)(1 + klen + value.len);
	unsigned char head[] = {n >> 24, n >> 16, n >> 8, n, klen};

	buf_add(&rec, head, sizeof(head));
	buf_add(&rec, CONF_KEY, klen);
	buf_add_lstr(&rec, buf_lstr(&value));
	rc = log_append(topic, buf_lstr(&rec), &cond, &pos);
	buf_free(&value);
	buf_free(&rec);
	return rc;
}

/* Reads the newest version into v; returns the end of the topic. */
static uint64_t read_newest(struct log_part *topic, struct conf_values *v)
{
	const struct log_newest *n = log_newest(topic, LSTR(CONF_KEY));

	conf_init(v);
	if (n) {
		gsize len;
		const char *p = g_bytes_get_data(n->value, &len);

		assert_int_equal(conf_read((struct lstr){p, len}, v), 0);
	}
	return log_end(topic);
}

/* Applies a patch of one item. */
static int apply(struct conf_values *v, uint64_t base, const char *id, char *kv)
{
	char *set[] = {kv, NULL};

	return conf_apply(v, base, id, set, NULL);
}

/* A patch against another version than the current one is rejected. */
static void test_stale_base(void **state)
{
	struct conf_values v;

	conf_init(&v);
	assert_int_equal(apply(&v, 0, "a", "policy=rr"), 0);
	assert_int_equal(apply(&v, 1, "b", "policy=p2c"), 0);
	assert_int_equal(apply(&v, 1, "c", "policy=least"), -ESTALE);
	assert_int_equal(apply(&v, 7, "d", "policy=least"), -ESTALE);
	assert_int_equal(v.version, 2);
	assert_string_equal(conf_get(&v, "policy"), "p2c");
	assert_string_equal(v.patch_id, "b");
	conf_clear(&v);
}

/* Of two concurrent patches of version 1, the first write succeeds. */
static void test_concurrent_operators(void **state)
{
	struct log_part *topic = log_part_new(true);
	struct conf_values one, two, now;
	uint64_t end1, end2;

	read_newest(topic, &one);
	apply(&one, 0, "first", "x=0");
	assert_int_equal(write_at(topic, &one, 0), LOG_OK);
	conf_clear(&one);
	end1 = read_newest(topic, &one);
	end2 = read_newest(topic, &two);
	assert_int_equal(apply(&one, 1, "one", "x=1"), 0);
	assert_int_equal(apply(&two, 1, "two", "x=2"), 0);
	assert_int_equal(write_at(topic, &two, end2), LOG_OK);
	assert_int_equal(write_at(topic, &one, end1), LOG_CONFLICT);
	read_newest(topic, &now);
	assert_int_equal(now.version, 2);
	assert_string_equal(conf_get(&now, "x"), "2");
	/* A duplicate of the successful write is rejected too. */
	assert_int_equal(write_at(topic, &two, end2), LOG_CONFLICT);
	conf_clear(&one);
	conf_clear(&two);
	conf_clear(&now);
}

/* The newest record is kept when the history is trimmed. */
static void test_trimmed_history(void **state)
{
	struct log_part *topic = log_part_new(true);
	struct conf_values v, now;

	conf_init(&v);
	apply(&v, 0, "a", "x=1");
	write_at(topic, &v, 0);
	apply(&v, 1, "b", "y=2");
	write_at(topic, &v, 1);
	log_trim(topic, log_end(topic));
	assert_int_equal(read_newest(topic, &now), 2);
	assert_int_equal(now.version, 2);
	assert_string_equal(conf_get(&now, "x"), "1");
	assert_string_equal(conf_get(&now, "y"), "2");
	conf_clear(&v);
	conf_clear(&now);
}

/* Keys can be removed; malformed items are rejected. */
static void test_unset_and_bad_items(void **state)
{
	char *unset[] = {"x", NULL}, *bad[] = {"x", NULL},
	     *empty[] = {"=1", NULL};
	struct conf_values v;

	conf_init(&v);
	apply(&v, 0, "a", "x=1=2");
	assert_string_equal(conf_get(&v, "x"), "1=2");
	assert_int_equal(conf_apply(&v, 1, "b", bad, NULL), -EINVAL);
	assert_int_equal(conf_apply(&v, 1, "b", empty, NULL), -EINVAL);
	assert_int_equal(v.version, 1);
	assert_int_equal(conf_apply(&v, 1, "b", NULL, unset), 0);
	assert_null(conf_get(&v, "x"));
	conf_clear(&v);
}

/* Every truncated record is rejected. */
static void test_truncated_records(void **state)
{
	struct conf_values v, w;
	struct buf rec = {0};

	conf_init(&v);
	apply(&v, 0, "a", "key=value");
	conf_write(&v, &rec);
	for (size_t n = 0; n < rec.len; n++) {
		conf_init(&w);
		assert_int_equal(conf_read((struct lstr){rec.ptr, n}, &w),
				 -EPROTO);
		conf_clear(&w);
	}
	buf_free(&rec);
	conf_clear(&v);
}

enum { OPERATORS = 4, STEPS = 400 };

/* State of an operator in a random history. */
struct operator_state {
	struct conf_values seen;
	uint64_t end;
	bool has_read;
};

/* Operators read, patch and write in random order, checked with a model. */
static void run_history(guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct log_part *topic = log_part_new(true);
	struct operator_state operators[OPERATORS] = {0};
	char expected[16] = "", item[32], id[32];
	uint64_t version = 0;

	for (int i = 0; i < STEPS; i++) {
		struct operator_state *p =
			&operators[g_rand_int_range(rand, 0, OPERATORS)];
		struct conf_values now;

		if (!p->has_read) {
			p->end = read_newest(topic, &p->seen);
			p->has_read = true;
		} else {
			bool first = p->seen.version == version;

			snprintf(item, sizeof(item), "x=%d", i);
			snprintf(id, sizeof(id), "p%d", i);
			apply(&p->seen, p->seen.version, id, item);
			enum log_outcome rc = write_at(topic, &p->seen, p->end);

			assert_int_equal(rc == LOG_OK, first);
			if (first) {
				version++;
				snprintf(expected, sizeof(expected), "%d", i);
			}
			conf_clear(&p->seen);
			p->has_read = false;
		}
		if (g_rand_int_range(rand, 0, 20) == 0)
			log_trim(topic, log_end(topic));
		read_newest(topic, &now);
		assert_int_equal(now.version, version);
		if (version)
			assert_string_equal(conf_get(&now, "x"), expected);
		conf_clear(&now);
	}
	g_rand_free(rand);
}

static void test_random_histories(void **state)
{
	const char *env = g_getenv("MP_SEED");
	guint32 seed =
		env ? (guint32)g_ascii_strtoull(env, NULL, 10) : 20261202;

	print_message("seed %u\n", seed);
	for (guint32 i = 0; i < 25; i++)
		run_history(seed + i);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stale_base),
		cmocka_unit_test(test_concurrent_operators),
		cmocka_unit_test(test_trimmed_history),
		cmocka_unit_test(test_unset_and_bad_items),
		cmocka_unit_test(test_truncated_records),
		cmocka_unit_test(test_random_histories),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
