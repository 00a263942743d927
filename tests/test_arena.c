/* Tests of misc/arena. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "misc/arena.h"

/* Allocations are aligned to 16 bytes and zeroed. */
static void test_alignment_and_zero(void **state)
{
	struct arena a = {0};

	for (int i = 1; i < 500; i++) {
		unsigned char *p = arena_alloc(&a, (size_t)i);

		assert_int_equal((uintptr_t)p % 16, 0);
		for (int k = 0; k < i; k++)
			assert_int_equal(p[k], 0);
		memset(p, 0xff, (size_t)i);
	}
	arena_free(&a);
	assert_null(a.head);
}

/* Allocations larger than a block, and string copies. */
static void test_large_and_strings(void **state)
{
	struct arena a = {0};
	char *big = arena_alloc(&a, 100000);
	struct lstr s = arena_lstr(&a, LSTR("harta"));

	big[99999] = 1;
	assert_true(lstr_eq(s, lstr0("harta")));
	assert_false(lstr_eq(s, lstr0("avize")));
	assert_string_equal(arena_printf(&a, "%s-%d", "e", 3), "e-3");
	assert_string_equal(arena_strndup(&a, "abcdef", 3), "abc");
	arena_free(&a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_alignment_and_zero),
		cmocka_unit_test(test_large_and_strings),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
