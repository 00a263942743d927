/* Tests of platform/exchange: decoding and encoding of headers. */
#include "tests/unit.h"

#include <glib.h>

#include "platform/exchange.h"

/* Parses the text of one complete message. */
static struct http_message *message(enum http_parser_type type,
				    const char *text)
{
	struct http_limits none = {0, 0};
	struct http_reader r;

	http_reader_init(&r, type, none);
	assert_int_equal(http_reader_feed(&r, text, strlen(text)),
			 strlen(text));
	assert_true(r.msg->done);
	return http_reader_take(&r);
}

static void test_read_request(void **state)
{
	struct http_message *m =
		message(HTTP_REQUEST, "GET /x HTTP/1.1\r\nHost: one.example\r\n"
				      "Attempt-Id: abc\r\n"
				      "Deadline-Remaining-Ms: 1200\r\n\r\n");
	struct request_info c;

	exchange_read_request(m, &c);
	assert_true(lstr_eq(c.id, LSTR("abc")));
	assert_true(lstr_eq(c.host, LSTR("one.example")));
	assert_true(c.has_time_left);
	assert_int_equal(c.time_left_ms, 1200);
	http_message_free(m);
	m = message(HTTP_REQUEST, "GET /x HTTP/1.1\r\nHost: one.example\r\n"
				  "Deadline-Remaining-Ms: soon\r\n\r\n");
	exchange_read_request(m, &c);
	assert_int_equal(c.id.len, 0);
	assert_false(c.has_time_left);
	http_message_free(m);
}

/*
 * A server gets the caller's request without its hop-by-hop headers and without
 * forged values of the headers that the instance sets.
 */
static void test_write_request(void **state)
{
	struct http_message *m = message(
		HTTP_REQUEST,
		"POST /x?q=1 HTTP/1.1\r\nHost: one.example\r\n"
		"Attempt-Id: abc\r\nX-Mine: 1\r\nX-Hop: 2\r\n"
		"Connection: keep-alive, X-Hop\r\nKeep-Alive: timeout=5\r\n"
		"Target-Instance: forged\r\nDeadline-Remaining-Ms: 9999\r\n"
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
	struct backend b = {0};
	struct request_info c;
	struct buf out = {0};
	char *text;

	g_strlcpy(b.entry.id, "i-1", sizeof(b.entry.id));
	exchange_read_request(m, &c);
	exchange_write_request_head(&out, m, &c, &b, 700, NULL);
	buf_add_lstr(&out, buf_lstr(&m->body));
	text = g_strndup(out.ptr, out.len);
	assert_true(g_str_has_prefix(text, "POST /x?q=1 HTTP/1.1\r\n"));
	assert_true(g_str_has_suffix(text, "\r\n\r\nabc"));
	assert_non_null(strstr(text, "\r\nAttempt-Id: abc\r\n"));
	assert_non_null(strstr(text, "\r\nX-Mine: 1\r\n"));
	assert_non_null(strstr(text, "\r\nTarget-Instance: i-1\r\n"));
	assert_non_null(strstr(text, "\r\nDeadline-Remaining-Ms: 700\r\n"));
	assert_non_null(strstr(text, "\r\nContent-Length: 3\r\n"));
	assert_null(strstr(text, "forged"));
	assert_null(strstr(text, "9999"));
	assert_null(strstr(text, "X-Hop"));
	assert_null(strstr(text, "chunked"));
	assert_null(strstr(text, "Keep-Alive"));
	g_free(text);
	buf_free(&out);
	http_message_free(m);
}

/* Returns the request that a server gets, of a caller with a workspace. */
static char *identified_request(const char *headers, const char *workspace,
				struct request_info *call)
{
	char *request = g_strconcat("GET /x HTTP/1.1\r\nHost: one.example\r\n"
				    "Attempt-Id: abc\r\n",
				    headers, "\r\n", NULL);
	struct http_message *m = message(HTTP_REQUEST, request);
	struct backend b = {0};
	struct buf out = {0};
	char *text;

	exchange_read_request(m, call);
	call->identified = true;
	call->workspace = lstr0(workspace);
	exchange_write_request_head(&out, m, call, &b, 700, "e1");
	text = g_strndup(out.ptr, out.len);
	buf_free(&out);
	http_message_free(m);
	g_free(request);
	return text;
}

/* Counts the occurrences of a word, in any case. */
static unsigned count_word(const char *text, const char *word)
{
	char *low = g_ascii_strdown(text, -1);
	unsigned n = 0;

	for (const char *s = low; (s = strstr(s, word)); s++)
		n++;
	g_free(low);
	return n;
}

/*
 * A server never gets a key, nor a workspace that the caller claims: not in odd
 * case, not repeated, and not named as a hop-by-hop header.
 */
static void test_key_and_claims_are_not_passed_on(void **state)
{
	static const char *const headers[] = {
		"Api-Key: k-secret\r\n",
		"aPI-kEY: k-secret\r\nTENANT-name: forged\r\n",
		"Api-Key: k-secret\r\nApi-Key: k-secret\r\n",
		"Tenant-Name: forged\r\nTenant-Name: forged\r\n",
		("Api-Key: k-secret\r\nTenant-Name: forged\r\n"
		 "Connection: Api-Key, Tenant-Name\r\n"),
		"Tenant-Name:\r\napi-key:k-secret\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(headers); i++) {
		struct request_info call;
		char *text = identified_request(headers[i], "mine", &call);

		assert_int_equal(count_word(text, "secret"), 0);
		assert_int_equal(count_word(text, "api-key"), 0);
		assert_int_equal(count_word(text, "forged"), 0);
		assert_int_equal(count_word(text, "tenant-name"), 1);
		assert_int_equal(count_word(text, "tenant-name: mine\r\n"), 1);
		g_free(text);
		/* Without a workspace, as on a route for anyone. */
		text = identified_request(headers[i], "", &call);
		assert_int_equal(count_word(text, "secret"), 0);
		assert_int_equal(count_word(text, "tenant-name"), 0);
		g_free(text);
	}
}

static void test_read_key(void **state)
{
	struct request_info call;

	g_free(identified_request("api-KEY:  k-1 \r\n", "mine", &call));
	assert_false(call.key_repeated);
	assert_int_equal(call.key.len, strlen("k-1"));
	g_free(identified_request("", "mine", &call));
	assert_int_equal(call.key.len, 0);
	g_free(identified_request("Api-Key:\r\n", "mine", &call));
	assert_int_equal(call.key.len, 0);
	g_free(identified_request("Api-Key: k-1\r\napi-key: k-1\r\n", "mine",
				  &call));
	assert_true(call.key_repeated);
}

/* In a deployment without workspaces, nothing is changed. */
static void test_headers_without_workspaces(void **state)
{
	struct http_message *m = message(
		HTTP_REQUEST, "GET /x HTTP/1.1\r\nHost: one.example\r\n"
			      "Api-Key: k-1\r\nTenant-Name: own\r\n\r\n");
	struct request_info call;
	struct backend b = {0};
	struct buf out = {0};
	char *text;

	exchange_read_request(m, &call);
	exchange_write_request_head(&out, m, &call, &b, 700, NULL);
	text = g_strndup(out.ptr, out.len);
	assert_non_null(strstr(text, "\r\nApi-Key: k-1\r\n"));
	assert_non_null(strstr(text, "\r\nTenant-Name: own\r\n"));
	g_free(text);
	buf_free(&out);
	http_message_free(m);
}

static void test_read_response(void **state)
{
	struct http_message *m = message(
		HTTP_RESPONSE,
		"HTTP/1.1 200 OK\r\nAttempt-Id: abc\r\nResponse-Seal: s.1\r\n"
		"Server-Load: 3,1,8,400\r\nInstance-Id: i-1\r\nX-Its: own\r\n"
		"Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok");
	struct response_info a;
	struct buf out = {0};
	char *text;

	exchange_read_response(m, &a);
	assert_true(a.sealed && a.has_load && !a.not_executed);
	assert_int_equal(a.load.running, 3);
	assert_int_equal(a.load.waiting, 1);
	assert_int_equal(a.load.slots, 8);
	assert_int_equal(a.load.slowdown_pct, 400);
	assert_true(lstr_eq(a.backend_id, LSTR("i-1")));
	assert_true(exchange_response_matches(&a, LSTR("abc")));
	assert_false(exchange_response_matches(&a, LSTR("abd")));
	exchange_write_response_headers(&out, m);
	text = g_strndup(out.ptr, out.len);
	assert_non_null(strstr(text, "Response-Seal: s.1\r\n"));
	assert_non_null(strstr(text, "X-Its: own\r\n"));
	assert_null(strstr(text, "Keep-Alive"));
	assert_null(strstr(text, "Content-Length"));
	g_free(text);
	buf_free(&out);
	http_message_free(m);
}

/* Only a response that says "not executed" may lack the attempt's id. */
static void test_response_without_attempt_id(void **state)
{
	struct response_info a;
	struct http_message *m =
		message(HTTP_RESPONSE, "HTTP/1.1 503 No\r\nNot-Executed: 1\r\n"
				       "Content-Length: 0\r\n\r\n");

	exchange_read_response(m, &a);
	assert_true(a.not_executed);
	assert_true(exchange_response_matches(&a, LSTR("abc")));
	http_message_free(m);
	m = message(HTTP_RESPONSE,
		    "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n");
	exchange_read_response(m, &a);
	assert_true(a.not_executed);
	http_message_free(m);
	m = message(HTTP_RESPONSE,
		    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	exchange_read_response(m, &a);
	assert_false(exchange_response_matches(&a, LSTR("abc")));
	http_message_free(m);
	/* Load without the fourth number: no slowdown. */
	m = message(HTTP_RESPONSE, "HTTP/1.1 200 OK\r\nServer-Load: 1,0,2\r\n"
				   "Content-Length: 0\r\n\r\n");
	exchange_read_response(m, &a);
	assert_true(a.has_load);
	assert_int_equal(a.load.slowdown_pct, 100);
	http_message_free(m);
}

static struct response_info response_with_limit(const char *text)
{
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\nServer-Limit:%s\r\n"
				     "Content-Length: 0\r\n\r\n",
				     text);
	struct http_message *m = message(HTTP_RESPONSE, head);
	struct response_info a;

	exchange_read_response(m, &a);
	a.limit_text = LSTR("");
	http_message_free(m);
	g_free(head);
	return a;
}

/* A limit is a plain decimal number; anything else is invalid. */
static void test_limit(void **state)
{
	static const char *const bad[] = {
		"",	"-1",	 "5,1",
		"1e3",	"nan",	 "inf",
		"0x10", "5.1.2", "five",
		".",	"+5",	 "5 6",
		"5;",	" ",	 "123456789012345678901234567890",
	};

	assert_int_equal(response_with_limit(" 5.1").limit, LIMIT_SET);
	assert_true(response_with_limit(" 5.1").limit_per_s == 5.1);
	assert_true(response_with_limit("0").limit_per_s == 0);
	assert_true(response_with_limit(" .25 ").limit_per_s == 0.25);
	assert_true(response_with_limit(" 200.").limit_per_s == 200);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_int_equal(response_with_limit(bad[i]).limit,
				 LIMIT_INVALID);
}

static void test_no_limit(void **state)
{
	struct response_info a;
	struct http_message *m = message(
		HTTP_RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");

	exchange_read_response(m, &a);
	assert_int_equal(a.limit, LIMIT_NONE);
	http_message_free(m);
}

static struct response_info response_with_header(unsigned status,
						 const char *header)
{
	char *head = g_strdup_printf("HTTP/1.1 %u X\r\n%s\r\n"
				     "Content-Length: 0\r\n\r\n",
				     status, header);
	struct http_message *m = message(HTTP_RESPONSE, head);
	struct response_info a;

	exchange_read_response(m, &a);
	a.backoff_text = a.draining_text = LSTR("");
	http_message_free(m);
	g_free(head);
	return a;
}

/* Seconds, may be fractional; dates and other texts are invalid. */
static void test_backoff(void **state)
{
	static const char *const bad[] = {
		"Retry-After:",
		"Retry-After: -1",
		"Retry-After: 1e3",
		"Retry-After: inf",
		"Retry-After: soon",
		"Retry-After: 3 s",
		"Retry-After: 1, 2",
		"Retry-After: Wed, 21 Oct 2015 07:28:00 GMT",
		"Retry-After: 123456789012345678901234567890",
	};

	assert_int_equal(response_with_header(503, "Retry-After: 3").backoff,
			 BACKOFF_SET);
	assert_true(response_with_header(503, "Retry-After: 3").backoff_s == 3);
	assert_true(response_with_header(503, "Retry-After:  .25 ").backoff_s ==
		    0.25);
	assert_true(response_with_header(503, "Retry-After: 0").backoff_s == 0);
	assert_int_equal(response_with_header(503, "X: 3").backoff,
			 BACKOFF_NONE);
	assert_int_equal(
		response_with_header(429, "Not-Executed: 1\r\nRetry-After: 3")
			.backoff,
		BACKOFF_SET);
	assert_int_equal(
		response_with_header(429, "Response-Seal: x\r\nRetry-After: 3")
			.backoff,
		BACKOFF_NONE);
	assert_int_equal(response_with_header(200, "Retry-After: 3").backoff,
			 BACKOFF_NONE);
	assert_int_equal(response_with_header(500, "Retry-After: x").backoff,
			 BACKOFF_NONE);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_int_equal(response_with_header(503, bad[i]).backoff,
				 BACKOFF_INVALID);
}

/* The Retry-After of a 503 is for the instance, others are for the caller. */
static void test_backoff_is_not_forwarded(void **state)
{
	static const unsigned statuses[] = {503, 429, 200};

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		char *head =
			g_strdup_printf("HTTP/1.1 %u X\r\nRetry-After: 3\r\n"
					"Content-Length: 0\r\n\r\n",
					statuses[i]);
		struct http_message *m = message(HTTP_RESPONSE, head);
		struct buf out = {0};

		exchange_write_response_headers(&out, m);
		assert_int_equal(out.len == 0, statuses[i] == 503);
		buf_free(&out);
		http_message_free(m);
		g_free(head);
	}
}

/* The rest of a server's slow start; 0 without one or if it is invalid. */
static void test_slow_start(void **state)
{
	assert_int_equal(
		response_with_header(200, "Warmup-Remaining-Ms: 2996").cold_ms,
		2996);
	assert_int_equal(
		response_with_header(503, "Warmup-Remaining-Ms: 1").cold_ms, 1);
	assert_int_equal(
		response_with_header(200, "Warmup-Remaining-Ms: 0").cold_ms, 0);
	assert_int_equal(
		response_with_header(200, "Warmup-Remaining-Ms: soon").cold_ms,
		0);
	assert_int_equal(response_with_header(200, "X-Other: 1").cold_ms, 0);
}

static void test_draining(void **state)
{
	static const char *const bad[] = {"0", "", "yes", "11", "1, 1"};

	assert_int_equal(
		response_with_header(200, "Server-Leaving: 1").draining,
		DRAINING_SET);
	assert_int_equal(
		response_with_header(503, "Server-Leaving:1 ").draining,
		DRAINING_SET);
	assert_int_equal(response_with_header(200, "X: 1").draining,
			 DRAINING_NONE);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *h = g_strdup_printf("Server-Leaving: %s", bad[i]);

		assert_int_equal(response_with_header(200, h).draining,
				 DRAINING_INVALID);
		g_free(h);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_read_request),
		cmocka_unit_test(test_write_request),
		cmocka_unit_test(test_key_and_claims_are_not_passed_on),
		cmocka_unit_test(test_read_key),
		cmocka_unit_test(test_headers_without_workspaces),
		cmocka_unit_test(test_read_response),
		cmocka_unit_test(test_response_without_attempt_id),
		cmocka_unit_test(test_limit),
		cmocka_unit_test(test_no_limit),
		cmocka_unit_test(test_backoff),
		cmocka_unit_test(test_backoff_is_not_forwarded),
		cmocka_unit_test(test_slow_start),
		cmocka_unit_test(test_draining),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
