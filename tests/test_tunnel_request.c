/* Tests of member/tunnel_request: the request for a tunnel and its decoding. */
#include "tests/unit.h"

#include <glib.h>

#include "member/tunnel_request.h"

/* Parses the head of a request, or of a response without a body. */
static struct http_message *parse(struct lstr text, enum http_parser_type type)
{
	struct http_reader r;
	struct http_message *m;

	http_reader_init(&r, type, (struct http_limits){0, 0});
	r.no_body = type == HTTP_RESPONSE;
	assert_true(http_reader_feed(&r, text.ptr, text.len) > 0);
	assert_true(r.msg->done);
	m = http_reader_take(&r);
	http_reader_free(&r);
	return m;
}

static void a_request_is_read_as_it_was_written(void **state)
{
	struct tunnel_request in = {.backend = LSTR("i-d1103348ed"),
				    .from = LSTR("edge-a-1"),
				    .id = 0x00ab12cd34ef5678},
			      out;

	for (int framed = 0; framed < 2; framed++) {
		struct buf text = {0};
		struct http_message *m;

		in.framed = framed;
		tunnel_request_write(&text, &in);
		m = parse(buf_lstr(&text), HTTP_REQUEST);
		assert_int_equal(tunnel_request_read(m, &out), 0);
		assert_true(lstr_eq(out.backend, in.backend));
		assert_true(lstr_eq(out.from, in.from));
		assert_true(out.id == in.id);
		assert_int_equal(out.framed, in.framed);
		http_message_free(m);
		buf_free(&text);
	}
}

static void an_answer_promises_frames_only_if_they_are_offered(void **state)
{
	for (int framed = 0; framed < 2; framed++) {
		struct tunnel_request r = {.framed = framed};
		struct buf text = {0};
		struct http_message *m;

		tunnel_answer_write(&text, &r);
		m = parse(buf_lstr(&text), HTTP_RESPONSE);
		assert_int_equal(m->status, 200);
		assert_int_equal(tunnel_answer_is_framed(m), framed);
		http_message_free(m);
		buf_free(&text);
	}
}

static const char with_body[] =
	"CONNECT i-1 HTTP/1.1\r\nTunnel-Id: 0000000000000001\r\n"
	"Content-Length: 2\r\n\r\nhi";

static void other_requests_are_refused(void **state)
{
	static const char *const texts[] = {
		"GET /x HTTP/1.1\r\nTunnel-Id: 0000000000000001\r\n\r\n",
		"CONNECT i-1 HTTP/1.1\r\nHost: i-1\r\n\r\n",
		"CONNECT i-1 HTTP/1.1\r\nTunnel-Id: 12\r\n\r\n",
		"CONNECT i-1 HTTP/1.1\r\nTunnel-Id: no number here..\r\n\r\n",
		with_body,
	};
	struct tunnel_request out;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct http_message *m = parse(lstr0(texts[i]), HTTP_REQUEST);

		assert_int_not_equal(tunnel_request_read(m, &out), 0);
		http_message_free(m);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_request_is_read_as_it_was_written),
		cmocka_unit_test(
			an_answer_promises_frames_only_if_they_are_offered),
		cmocka_unit_test(other_requests_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
