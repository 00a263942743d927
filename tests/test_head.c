/* Tests of http/head: ambiguous request heads are rejected. */
#include "tests/unit.h"

#include <errno.h>

#include "http/head.h"

/* Returns the result of both checks on a complete head. */
static int check(const char *text)
{
	size_t n = strlen(text);
	ptrdiff_t end = head_find_end(text, n, 0);

	if (end < 0)
		return (int)end;
	assert_int_equal(end, n);
	return head_check_request(text, n);
}

static void test_valid_heads(void **state)
{
	assert_int_equal(check("GET / HTTP/1.1\r\n\r\n"), 0);
	assert_int_equal(check("GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n"), 0);
	assert_int_equal(check("POST / HTTP/1.1\r\nHost: x\r\n"
			       "Content-Length: 3\r\nX-A:\tb \r\n\r\n"),
			 0);
	assert_int_equal(check("POST / HTTP/1.1\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n"),
			 0);
	/* Other headers may be repeated. */
	assert_int_equal(check("GET / HTTP/1.1\r\nA: 1\r\nA: 2\r\n\r\n"), 0);
}

/* Heads that allow request smuggling are rejected. */
static void test_smuggling(void **state)
{
	static const char *const bad[] = {
		"GET / HTTP/1.1\nHost: x\n\n",
		"GET / HTTP/1.1\r\nHost: x\n\r\n",
		"GET / HTTP/1.1\r\nHost : x\r\n\r\n",
		"GET / HTTP/1.1\r\n Host: x\r\n\r\n",
		"GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
		"GET / HTTP/1.1\r\n: b\r\n\r\n",
		"GET / HTTP/1.1\r\nno colon\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		"content-length: 4\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		"Content-Length: 3\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
		"Transfer-Encoding: identity\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		"GET / HTTP/1.1\r\nA: b\x01c\r\n\r\n",
		"GET /\x01 HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n",
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		if (check(bad[i]) != -EPROTO)
			fail_msg("accepted: %s", bad[i]);
	}
}

/* Other request lines, lengths and codings are rejected. */
static void test_strict_grammar(void **state)
{
	static const char *const bad[] = {
		" GET / HTTP/1.1\r\n\r\n",
		"GET  / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1 \r\n\r\n",
		"GET /\r\n\r\n",
		"GET / HTTP/2.0\r\n\r\n",
		"GET\t/ HTTP/1.1\r\n\r\n",
		"G(T / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length:\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		if (check(bad[i]) != -EPROTO)
			fail_msg("accepted: %s", bad[i]);
	}
}

/* A head received byte by byte ends at the same offset. */
static void test_byte_by_byte(void **state)
{
	const char *text = "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET";
	size_t whole = strlen(text) - 3;

	for (size_t n = 1; n <= strlen(text); n++) {
		ptrdiff_t end = head_find_end(text, n, n > 1 ? n - 1 : 0);

		if (n < whole)
			assert_int_equal(end, 0);
		if (n == whole)
			assert_int_equal(end, whole);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_heads),
		cmocka_unit_test(test_smuggling),
		cmocka_unit_test(test_strict_grammar),
		cmocka_unit_test(test_byte_by_byte),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
