/* Tests of misc/text: checks and escaping of text that others chose. */
#include "tests/unit.h"

#include <glib.h>

#include "misc/text.h"

static void test_checks(void **state)
{
	assert_true(text_is_name(LSTR("i-7f3a91c2")));
	assert_true(text_is_name(LSTR("A.b_c~9:0")));
	assert_false(text_is_name(LSTR("")));
	for (int c = 0; c < 256; c++) {
		char s[] = {'a', (char)c, 'b'};
		struct lstr text = {s, sizeof(s)};
		bool name = (c < 128 && g_ascii_isalnum(c)) ||
			    (c && strchr("-._~:", c));
		bool printable = c >= 0x20 && c < 0x7f;

		assert_int_equal(text_is_name(text), name);
		assert_int_equal(text_is_printable(text), printable);
		s[0] = '/';
		assert_int_equal(text_is_target(text), printable && c != ' ');
	}
	assert_false(text_is_printable(LSTR("")));
	assert_false(text_is_target(LSTR("")));
	assert_false(text_is_target(LSTR("health")));
}

static void test_escape(void **state)
{
	char *s = text_escape(LSTR("i-1&a+b#c%d e\r\n\0\xff"));

	assert_string_equal(s, "i-1%26a%2Bb%23c%25d%20e%0D%0A%00%FF");
	g_free(s);
	s = text_escape(LSTR(""));
	assert_string_equal(s, "");
	g_free(s);
}

static void test_label(void **state)
{
	char *s = text_label(LSTR("a\"} 1\nb\\\xff"));

	assert_string_equal(s, "a\\\"} 1?b\\\\?");
	g_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_checks),
		cmocka_unit_test(test_escape),
		cmocka_unit_test(test_label),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
