/* Tests of member/tunnel_request: the request for a tunnel and its decoding. */
#include "tests/unit.h"

#include <glib.h>

#include "member/tunnel_request.h"

/* Parses the head of a request. */
static struct http_message *parse(struct lstr text)
{
	struct http_reader r;
	struct http_message *m;

	http_reader_init(&r, HTTP_REQUEST, (struct http_limits){0, 0});
	assert_true(http_reader_feed(&r, text.ptr, text.len) > 0);
	assert_true(r.msg->done);
	m = http_reader_take(&r);
	http_reader_free(&r);
	return m;
}

static void a_request_is_read_as_it_was_written(void **state)
{
	struct tunnel_request in = {LSTR("i-d1103348ed"), LSTR("edge-a-1"),
				    0x00ab12cd34ef5678},
			      out;
	struct buf text = {0};
	struct http_message *m;

	tunnel_request_write(&text, &in);
	m = parse(buf_lstr(&text));
	assert_int_equal(tunnel_request_read(m, &out), 0);
	assert_true(lstr_eq(out.backend, in.backend));
	assert_true(lstr_eq(out.from, in.from));
	assert_true(out.id == in.id);
	http_message_free(m);
	buf_free(&text);
}

static void other_requests_are_refused(void **state)
{
	static const char *const texts[] = {
		"GET /x HTTP/1.1\r\nTunnel-Id: 0000000000000001\r\n\r\n",
		"CONNECT i-1 HTTP/1.1\r\nHost: i-1\r\n\r\n",
		"CONNECT i-1 HTTP/1.1\r\nTunnel-Id: 12\r\n\r\n",
		"CONNECT i-1 HTTP/1.1\r\nTunnel-Id: no number here..\r\n\r\n",
	};
	struct tunnel_request out;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct http_message *m = parse(lstr0(texts[i]));

		assert_int_not_equal(tunnel_request_read(m, &out), 0);
		http_message_free(m);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_request_is_read_as_it_was_written),
		cmocka_unit_test(other_requests_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
