/* Tests of core/request_digest: which requests count as the same. */
#include "tests/unit.h"

#include "core/request_digest.h"

/* Returns the digest of a request with three parts. */
static uint64_t digest(const char *method, const char *target, const char *body)
{
	const struct lstr parts[] = {lstr0(method), lstr0(target), lstr0(body)};

	return request_digest(parts, 3);
}

/* Each part counts, and equal parts have equal digests. */
static void test_parts(void **state)
{
	uint64_t d = digest("GET", "/a/1", "");

	assert_true(d == digest("GET", "/a/1", ""));
	assert_false(d == digest("PUT", "/a/1", ""));
	assert_false(d == digest("GET", "/a/2", ""));
	assert_false(d == digest("GET", "/a/1", "x"));
}

/* The boundaries between parts count. */
static void test_boundaries(void **state)
{
	assert_false(digest("GET", "/a", "b") == digest("GET", "/ab", ""));
	assert_false(digest("GE", "T/a", "b") == digest("GET", "/a", "b"));
}

/* The digest doesn't depend on the build, as all instances must agree. */
static void test_fixed(void **state)
{
	assert_true(digest("GET", "/a/1", "") == UINT64_C(0xf6d68a6e430273dd));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parts),
		cmocka_unit_test(test_boundaries),
		cmocka_unit_test(test_fixed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
