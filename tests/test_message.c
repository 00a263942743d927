/* Tests of http/message: framing, limits and truncated messages. */
#include "tests/unit.h"

#include <errno.h>
#include <sys/param.h>

#include <glib.h>

#include "http/message.h"

static const struct http_limits no_limits = {0, 0};

/* Feeds text in pieces of `step` bytes; returns bytes consumed or -errno. */
static ssize_t feed(struct http_reader *r, const char *text, size_t step)
{
	size_t n = strlen(text), at = 0;

	while (at < n && !(r->msg && r->msg->done)) {
		size_t piece = n - at < step ? n - at : step;
		ssize_t used = http_reader_feed(r, text + at, piece);

		if (used < 0)
			return used;
		at += (size_t)used;
	}
	return (ssize_t)at;
}

/* A response split at any size parses the same. */
static void test_pieces(void **state)
{
	const char *text = "HTTP/1.1 200 OK\r\nX-Name: some value\r\n"
			   "Content-Length: 5\r\n\r\nhello";

	for (size_t step = 1; step < strlen(text); step++) {
		struct http_reader r;

		http_reader_init(&r, HTTP_RESPONSE, no_limits);
		assert_int_equal(feed(&r, text, step), strlen(text));
		struct http_message *m = http_reader_take(&r);

		assert_true(m->done && m->keep_alive);
		assert_int_equal(m->status, 200);
		assert_true(lstr_eq(http_find_header(m, LSTR("x-name")),
				    LSTR("some value")));
		assert_true(lstr_eq(buf_lstr(&m->body), LSTR("hello")));
		http_message_free(m);
		http_reader_free(&r);
	}
}

/* Bytes after a message are left to the caller. */
static void test_stops_at_end(void **state)
{
	const char *one = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	struct http_reader r;
	char *two = g_strconcat(one, one, NULL);

	http_reader_init(&r, HTTP_RESPONSE, no_limits);
	assert_int_equal(http_reader_feed(&r, two, strlen(two)), strlen(one));
	http_message_free(http_reader_take(&r));
	assert_int_equal(http_reader_feed(&r, two + strlen(one), strlen(one)),
			 strlen(one));
	http_reader_free(&r);
	g_free(two);
}

static void test_chunked(void **state)
{
	const char *text = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked"
			   "\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n";
	struct http_reader r;

	http_reader_init(&r, HTTP_REQUEST, no_limits);
	assert_int_equal(feed(&r, text, 3), strlen(text));
	assert_true(lstr_eq(buf_lstr(&r.msg->body), LSTR("abcde")));
	assert_true(lstr_eq(r.msg->target, LSTR("/x")));
	/* Trailers aren't added to the headers. */
	assert_null(http_find_header(r.msg, LSTR("t")).ptr);
	http_reader_free(&r);
}

/* A close by the peer only completes a response without a length. */
static void test_close_delimited(void **state)
{
	struct http_reader r;

	http_reader_init(&r, HTTP_RESPONSE, no_limits);
	feed(&r, "HTTP/1.1 200 OK\r\n\r\nsome bytes", 100);
	assert_false(r.msg->done);
	assert_int_equal(http_reader_eof(&r), 0);
	assert_true(r.msg->done);
	assert_false(r.msg->keep_alive);
	http_reader_free(&r);

	static const char *const cut[] = {
		"",
		"HTTP/1.1 2",
		"HTTP/1.1 200 OK\r\nA: b\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx",
	};

	for (size_t i = 0; i < sizeof(cut) / sizeof(*cut); i++) {
		http_reader_init(&r, HTTP_RESPONSE, no_limits);
		feed(&r, cut[i], 100);
		assert_int_equal(http_reader_eof(&r), -EPROTO);
		http_reader_free(&r);
	}
}

static void test_not_a_message(void **state)
{
	struct http_reader r;

	http_reader_init(&r, HTTP_RESPONSE, no_limits);
	assert_int_equal(feed(&r, "\x01\x02garbage\r\n\r\n", 100), -EPROTO);
	http_reader_free(&r);
}

/* Returns the result of reading a head with n header lines. */
static ssize_t read_fields(enum http_parser_type type, const char *line,
			   unsigned n)
{
	struct buf b = {0};
	struct http_reader r;
	ssize_t rc;

	buf_add_lstr(&b, lstr0(line));
	for (unsigned i = 0; i < n; i++)
		buf_printf(&b, "a:\r\n");
	buf_printf(&b, "\r\n");
	http_reader_init(&r, type, no_limits);
	rc = http_reader_feed(&r, b.ptr, b.len);
	http_reader_free(&r);
	buf_free(&b);
	return rc;
}

/* Guards against heads of thousands of lines, whose cost is quadratic. */
static void test_header_lines_are_limited(void **state)
{
	static const struct {
		enum http_parser_type type;
		const char *line;
	} kinds[] = {{HTTP_REQUEST, "GET / HTTP/1.1\r\n"},
		     {HTTP_RESPONSE, "HTTP/1.1 200 OK\r\n"}};

	for (size_t i = 0; i < 2; i++) {
		assert_true(read_fields(kinds[i].type, kinds[i].line, 500) > 0);
		assert_int_equal(read_fields(kinds[i].type, kinds[i].line, 501),
				 -EMSGSIZE);
	}
}

/* Memory that lacks at each second attempt. */
struct scarce_memory {
	unsigned attempts;
	size_t held;
};

static bool scarce_reserve(void *priv, size_t held, size_t total)
{
	struct scarce_memory *m = priv;

	if (++m->attempts % 2)
		return false;
	m->held = m->held - held + total;
	return true;
}

static void scarce_release(void *priv, size_t held)
{
	struct scarce_memory *m = priv;

	m->held -= held;
}

/* Reads a response in pieces; the reader waits for memory in between. */
static void read_starving(struct lstr text, size_t piece, struct lstr body)
{
	struct scarce_memory memory = {0};
	struct http_body_gate gate = {.reserve = scarce_reserve,
				      .release = scarce_release,
				      .waits = true,
				      .priv = &memory};
	struct http_reader r;
	size_t at = 0;
	bool starved = false;

	http_reader_init(&r, HTTP_RESPONSE, no_limits);
	r.gate = &gate;
	while (at < text.len && !(r.msg && r.msg->done)) {
		ssize_t used = http_reader_feed(&r, text.ptr + at,
						MIN(piece, text.len - at));

		assert_true(used >= 0);
		at += (size_t)used;
		starved = starved || r.starved;
		while (r.starved && http_reader_resume(&r))
			;
	}
	if (!r.msg->done)
		assert_int_equal(http_reader_eof(&r), 0);
	assert_true(starved);
	assert_int_equal(r.msg->body.len, body.len);
	assert_memory_equal(r.msg->body.ptr, body.ptr, body.len);
	assert_true(memory.held >= body.len);
	http_message_free(http_reader_take(&r));
	assert_int_equal(memory.held, 0);
	http_reader_free(&r);
}

/* Guards against bytes that are lost or doubled while a reader waits. */
static void test_a_reader_waits_for_memory(void **state)
{
	static const size_t pieces[] = {1, 2, 3, 7, 100, 1000, 8192, 100000};
	struct buf body = {0}, sized = {0}, chunked = {0}, endless = {0};

	for (int i = 0; body.len < 20 * 1000; i++)
		buf_printf(&body, "%d,", i);
	buf_printf(&sized, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
		   body.len);
	buf_add_lstr(&sized, buf_lstr(&body));
	buf_printf(&endless, "HTTP/1.1 200 OK\r\n\r\n");
	buf_add_lstr(&endless, buf_lstr(&body));
	buf_printf(&chunked,
		   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	for (size_t at = 0, n; at < body.len; at += n) {
		n = MIN(3000, body.len - at);
		buf_printf(&chunked, "%zx\r\n%.*s\r\n", n, (int)n,
			   body.ptr + at);
	}
	buf_printf(&chunked, "0\r\n\r\n");
	for (size_t i = 0; i < sizeof(pieces) / sizeof(*pieces); i++) {
		read_starving(buf_lstr(&sized), pieces[i], buf_lstr(&body));
		read_starving(buf_lstr(&chunked), pieces[i], buf_lstr(&body));
		read_starving(buf_lstr(&endless), pieces[i], buf_lstr(&body));
	}
	buf_free(&body);
	buf_free(&sized);
	buf_free(&chunked);
	buf_free(&endless);
}

/* Bodies over the limit are rejected, with and without a length. */
static void test_limits(void **state)
{
	struct http_limits limits = {.body_max = 4};
	struct http_reader r;

	http_reader_init(&r, HTTP_REQUEST, limits);
	assert_int_equal(feed(&r,
			      "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n"
			      "hello",
			      100),
			 -EFBIG);
	http_reader_free(&r);
	http_reader_init(&r, HTTP_REQUEST, limits);
	assert_int_equal(feed(&r,
			      "POST / HTTP/1.1\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n"
			      "3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n",
			      100),
			 -EFBIG);
	http_reader_free(&r);
}

#define SIZED	"Content-Length: 5\r\n\r\nhello"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
#define UPGRADE "Connection: Upgrade\r\nUpgrade: h2c\r\n"
#define NEXT	"GET /next HTTP/1.1\r\n\r\n"

/* The head's framing alone says where a body ends, whatever the method. */
static void test_body_of_a_request_is_no_request(void **state)
{
	static const char *const requests[] = {
		"POST / HTTP/1.1\r\n" SIZED,
		"POST / HTTP/1.1\r\n" CHUNKED,
		"GET / HTTP/1.1\r\n" SIZED,
		"GET / HTTP/1.1\r\n" CHUNKED,
		"HEAD / HTTP/1.1\r\n" SIZED,
		"CONNECT a:1 HTTP/1.1\r\n" SIZED,
		"CONNECT a:1 HTTP/1.1\r\n" CHUNKED,
		"CONNECT a:1 HTTP/1.1\r\n" UPGRADE SIZED,
		"POST / HTTP/1.1\r\n" UPGRADE SIZED,
		"POST / HTTP/1.1\r\n" UPGRADE CHUNKED,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		char *text = g_strconcat(requests[i], NEXT, NULL);

		for (size_t step = 1; step < 200; step += 7) {
			struct http_reader r;

			http_reader_init(&r, HTTP_REQUEST, no_limits);
			assert_int_equal(feed(&r, text, step),
					 strlen(requests[i]));
			assert_true(
				lstr_eq(buf_lstr(&r.msg->body), LSTR("hello")));
			http_reader_free(&r);
		}
		g_free(text);
	}
}

/* Some responses have no body, whatever their heads say. */
static void test_responses_without_a_body(void **state)
{
	static const struct {
		const char *head;
		bool no_body; /* the request was a HEAD */
	} cases[] = {
		{"HTTP/1.1 100 X\r\nContent-Length: 5\r\n\r\n", false},
		{"HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"HTTP/1.1 204 X\r\nContent-Length: 5\r\n\r\n", false},
		{"HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"HTTP/1.1 304 X\r\nContent-Length: 5\r\n\r\n", false},
		{"HTTP/1.1 304 X\r\n\r\n", false},
		{"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\n", true},
		{"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"HTTP/1.1 200 X\r\n" UPGRADE "Content-Length: 0\r\n\r\n",
		 false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text =
			g_strconcat(cases[i].head, "HTTP/1.1 200 OK", NULL);
		struct http_reader r;

		http_reader_init(&r, HTTP_RESPONSE, no_limits);
		r.no_body = cases[i].no_body;
		assert_int_equal(feed(&r, text, 11), strlen(cases[i].head));
		assert_int_equal(r.msg->body.len, 0);
		http_reader_free(&r);
		g_free(text);
	}
}

/* Framing that peers read differently, and protocols that nobody asked for. */
static void test_ambiguous_framing(void **state)
{
	static const struct {
		enum http_parser_type type;
		const char *text;
	} cases[] = {
		{HTTP_REQUEST, "POST / HTTP/1.0\r\n" CHUNKED},
		{HTTP_REQUEST,
		 "POST / HTTP/1.1\r\nContent-Length: 5\r\n" CHUNKED},
		{HTTP_REQUEST,
		 "POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\nhello"},
		{HTTP_REQUEST,
		 "POST / HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\nhello"},
		{HTTP_REQUEST,
		 "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n"},
		{HTTP_REQUEST,
		 "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n"},
		{HTTP_RESPONSE, "HTTP/1.0 200 OK\r\n" CHUNKED},
		{HTTP_RESPONSE,
		 "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" CHUNKED},
		{HTTP_RESPONSE,
		 "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" SIZED},
		{HTTP_RESPONSE, "HTTP/1.1 101 X\r\n" UPGRADE "\r\n"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct http_reader r;

		http_reader_init(&r, cases[i].type, no_limits);
		assert_int_equal(feed(&r, cases[i].text, 100), -EPROTO);
		http_reader_free(&r);
	}
}

static void test_hop_by_hop(void **state)
{
	const char *text = "GET / HTTP/1.1\r\nConnection: close, X-Mine\r\n"
			   "X-Mine: 1\r\nX-Other: 2\r\n\r\n";
	struct http_reader r;

	http_reader_init(&r, HTTP_REQUEST, no_limits);
	feed(&r, text, 100);
	assert_true(http_is_hop_by_hop(r.msg, LSTR("x-mine")));
	assert_true(http_is_hop_by_hop(r.msg, LSTR("Keep-Alive")));
	assert_true(http_is_hop_by_hop(r.msg, LSTR("Content-Length")));
	assert_false(http_is_hop_by_hop(r.msg, LSTR("X-Other")));
	http_reader_free(&r);
}

/*
 * Requests with random bytes overwritten, fed in pieces: each is rejected,
 * stays incomplete, or is a complete message with a method and a target.
 */
static void test_corrupted_heads(void **state)
{
	static const char text[] =
		"POST /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\n"
		"Attempt-Id: 9c41d07be2a35f68\r\n"
		"Deadline-Remaining-Ms: 1200\r\nContent-Length: 5\r\n\r\nhello";
	struct http_limits limits = {512, 1024};
	GRand *rand = g_rand_new_with_seed(47);
	int complete = 0;

	for (int i = 0; i < 20000; i++) {
		char copy[sizeof(text)];
		struct http_reader r;

		memcpy(copy, text, sizeof(text));
		for (int k = g_rand_int_range(rand, 1, 4); k > 0; k--)
			copy[g_rand_int_range(rand, 0, sizeof(text) - 1)] =
				(char)g_rand_int_range(rand, 1, 256);
		http_reader_init(&r, HTTP_REQUEST, limits);
		feed(&r, copy, 1 + (size_t)i % 40);
		if (r.msg && r.msg->done) {
			struct http_message *m = http_reader_take(&r);

			complete++;
			assert_true(m->method.len > 0 && m->target.len > 0);
			assert_true(m->body.len <= 1024);
			http_message_free(m);
		}
		http_reader_free(&r);
	}
	assert_in_range(complete, 1, 19999);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_corrupted_heads),
		cmocka_unit_test(test_pieces),
		cmocka_unit_test(test_stops_at_end),
		cmocka_unit_test(test_chunked),
		cmocka_unit_test(test_close_delimited),
		cmocka_unit_test(test_not_a_message),
		cmocka_unit_test(test_a_reader_waits_for_memory),
		cmocka_unit_test(test_limits),
		cmocka_unit_test(test_header_lines_are_limited),
		cmocka_unit_test(test_hop_by_hop),
		cmocka_unit_test(test_body_of_a_request_is_no_request),
		cmocka_unit_test(test_responses_without_a_body),
		cmocka_unit_test(test_ambiguous_framing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
