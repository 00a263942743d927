/*
 * Tests of http/server over loopback sockets: kept connections, pipelining,
 * refusals, time limits, callers that leave, and a stop that cuts nobody.
 */
#include "tests/unit.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/server.h"
#include "http/socket.h"

#define ADDR "127.0.0.1:17390"

/* A server whose handler holds requests until it is told to answer. */
struct fixture {
	struct ev_loop *loop;
	struct http_server server;
	struct http_conn *held;
	bool hold;
	int requests, gone;
	char last_body[64], last_target[64];
};

static void on_request(void *priv, struct http_conn *c, struct http_message *m)
{
	struct fixture *f = priv;

	f->requests++;
	g_snprintf(f->last_body, sizeof(f->last_body), "%.*s", (int)m->body.len,
		   m->body.ptr ? m->body.ptr : "");
	g_snprintf(f->last_target, sizeof(f->last_target), "%.*s",
		   (int)m->target.len, m->target.ptr);
	http_message_free(m);
	f->held = c;
	if (!f->hold)
		http_conn_reply(c, &(struct http_reply){.status = 200,
							.body = LSTR("ok")});
}

static void on_gone(void *priv, struct http_conn *c)
{
	struct fixture *f = priv;

	f->gone++;
	f->held = NULL;
}

static const struct http_server_ops ops = {on_request, on_gone};

static struct fixture *fixture_new(void)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->loop = ev_loop_new(EVFLAG_NOENV);
	f->server.limits = (struct http_limits){1000, 100};
	f->server.head_timeout_s = 0.15;
	f->server.idle_timeout_s = 0.3;
	assert_int_equal(http_server_open(&f->server, f->loop, ADDR, &ops, f),
			 0);
	return f;
}

static void fixture_free(struct fixture *f)
{
	http_server_close(&f->server);
	ev_loop_destroy(f->loop);
	g_free(f);
}

static void stop_loop(struct ev_loop *loop, ev_timer *t, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

static void run_ms(struct fixture *f, int ms)
{
	ev_timer t;

	ev_now_update(f->loop);
	ev_timer_init(&t, stop_loop, ms / 1000.0, 0);
	ev_timer_start(f->loop, &t);
	ev_run(f->loop, 0);
}

static int dial(void)
{
	struct sockaddr_in sa;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	socket_addr(ADDR, &sa);
	assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void say(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
}

/* What has arrived so far; "" for nothing, NULL for a reset or a close. */
static char *hear(int fd)
{
	static char text[4096];
	ssize_t n = recv(fd, text, sizeof(text) - 1, 0);

	if (n < 0 && errno == EAGAIN)
		return "";
	if (n <= 0)
		return NULL;
	text[n] = '\0';
	return text;
}

static int count(const char *text, const char *what)
{
	int n = 0;

	while ((text = strstr(text, what))) {
		text++;
		n++;
	}
	return n;
}

#define GET "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"

static void test_keep_alive_and_pipelining(void **state)
{
	struct fixture *f = fixture_new();
	int fd = dial();

	say(fd, GET);
	run_ms(f, 10);
	assert_int_equal(count(hear(fd), "200 OK"), 1);
	say(fd, GET GET "POST /y HTTP/1.1\r\nHost: a\r\n"
			"Content-Length: 3\r\n\r\nabc");
	run_ms(f, 10);
	char *got = hear(fd);

	if (count(got, "200 OK") != 3)
		fail_msg("requests %d, got %s", f->requests, got);
	assert_string_equal(f->last_body, "abc");
	assert_string_equal(f->last_target, "/y");
	/* Asked to close: closes after the answer. */
	say(fd, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
	run_ms(f, 10);
	assert_int_equal(count(hear(fd), "Connection: close"), 1);
	run_ms(f, 10);
	assert_null(hear(fd));
	close(fd);
	fixture_free(f);
}

/*
 * What was sent behind a request whose answer closes the connection is not
 * read: it is neither handled nor answered, so it may be sent again.
 */
static void test_pipelined_after_close(void **state)
{
	struct fixture *f = fixture_new();
	int fd = dial(), before = f->requests;

	say(fd, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
		"POST /y HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
	run_ms(f, 10);
	char *got = hear(fd);

	assert_non_null(got);
	assert_int_equal(count(got, "200 OK"), 1);
	assert_int_equal(count(got, "Connection: close"), 1);
	assert_int_equal(f->requests, before + 1);
	run_ms(f, 10);
	assert_null(hear(fd));
	close(fd);
	/* The same when the server closes, as at a stop. */
	f->server.disable_keep_alive = true;
	fd = dial();
	say(fd, GET GET);
	run_ms(f, 10);
	got = hear(fd);
	assert_non_null(got);
	assert_int_equal(count(got, "200 OK"), 1);
	assert_int_equal(f->requests, before + 2);
	close(fd);
	fixture_free(f);
}

static void expect_refusal(const char *request, const char *status)
{
	struct fixture *f = fixture_new();
	int fd = dial();

	say(fd, request);
	run_ms(f, 20);
	char *answer = hear(fd);

	if (!answer || !strstr(answer, status))
		fail_msg("no %s for %.60s", status, request);
	assert_int_equal(f->requests, 0);
	run_ms(f, 20);
	assert_null(hear(fd));
	close(fd);
	fixture_free(f);
}

static void test_refusals(void **state)
{
	char *big = g_strdup_printf("GET / HTTP/1.1\r\nA: %01200d\r\n\r\n", 1);
	char *open = g_strdup_printf("GET / HTTP/1.1\r\nA: %01200d", 1);

	expect_refusal(big, " 431 ");
	expect_refusal(open, " 431 ");
	expect_refusal("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
		       " 413 ");
	expect_refusal("no request\r\n\r\n", " 400 ");
	expect_refusal("GET / HTTP/1.1\nHost: a\n\n", " 400 ");
	expect_refusal("GET / HTTP/1.1\r\nHost : a\r\n\r\n", " 400 ");
	expect_refusal("POST / HTTP/1.1\r\nContent-Length: 1\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		       " 400 ");
	g_free(big);
	g_free(open);
}

static void test_time_limits(void **state)
{
	struct fixture *f = fixture_new();
	int fd = dial();

	/* A head that never ends. */
	say(fd, "GET / HTTP/1.1\r\nHo");
	run_ms(f, 100);
	assert_string_equal(hear(fd), "");
	run_ms(f, 100);
	assert_int_equal(count(hear(fd), " 408 "), 1);
	close(fd);
	/* A kept connection stays as long as callers may use it. */
	fd = dial();
	say(fd, GET);
	run_ms(f, 250);
	assert_int_equal(count(hear(fd), "200 OK"), 1);
	assert_string_equal(hear(fd), "");
	run_ms(f, 150);
	assert_null(hear(fd));
	close(fd);
	fixture_free(f);
}

static void test_caller_leaves(void **state)
{
	struct fixture *f = fixture_new();
	int fd = dial();

	f->hold = true;
	say(fd, GET);
	run_ms(f, 10);
	assert_int_equal(f->requests, 1);
	close(fd);
	run_ms(f, 10);
	assert_int_equal(f->gone, 1);
	assert_int_equal(f->server.nconns, 0);
	fixture_free(f);
}

static void test_head_and_continue(void **state)
{
	struct fixture *f = fixture_new();
	int fd = dial();
	char *answer;

	say(fd, "HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n");
	run_ms(f, 10);
	answer = hear(fd);
	assert_int_equal(count(answer, "Content-Length: 2"), 1);
	assert_true(g_str_has_suffix(answer, "\r\n\r\n"));
	say(fd, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
		"Expect: 100-continue\r\n\r\n");
	run_ms(f, 10);
	assert_int_equal(count(hear(fd), "100 Continue"), 1);
	say(fd, "hi");
	run_ms(f, 10);
	assert_int_equal(count(hear(fd), "200 OK"), 1);
	assert_string_equal(f->last_body, "hi");
	close(fd);
	fixture_free(f);
}

/* A stop answers who has connected before it, with or without a request. */
static void test_shutdown_serves_connected(void **state)
{
	struct fixture *f = fixture_new();
	int sent = dial(), late = dial(), idle;

	say(sent, GET);
	/* Both wait in the accept queue as the listening socket closes. */
	f->server.disable_keep_alive = true;
	http_server_stop_listening(&f->server);
	http_server_close_idle(&f->server);
	run_ms(f, 10);
	say(late, GET);
	http_server_close_idle(&f->server);
	run_ms(f, 10);
	assert_int_equal(count(hear(sent), "Connection: close"), 1);
	char *answer = hear(late);

	assert_non_null(answer);
	assert_int_equal(count(answer, "200 OK"), 1);
	idle = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in sa;

	socket_addr(ADDR, &sa);
	assert_int_equal(connect(idle, (struct sockaddr *)&sa, sizeof(sa)), -1);
	close(idle);
	close(sent);
	close(late);
	fixture_free(f);
}

/* But a connection that stays silent doesn't hold the stop up for long. */
static void test_shutdown_closes_silent(void **state)
{
	struct fixture *f = fixture_new();
	int fd = dial();

	run_ms(f, 10);
	http_server_stop_listening(&f->server);
	http_server_close_idle(&f->server);
	assert_int_equal(f->server.nconns, 1);
	run_ms(f, 250);
	http_server_close_idle(&f->server);
	assert_int_equal(f->server.nconns, 0);
	close(fd);
	fixture_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_keep_alive_and_pipelining),
		cmocka_unit_test(test_pipelined_after_close),
		cmocka_unit_test(test_refusals),
		cmocka_unit_test(test_time_limits),
		cmocka_unit_test(test_caller_leaves),
		cmocka_unit_test(test_head_and_continue),
		cmocka_unit_test(test_shutdown_serves_connected),
		cmocka_unit_test(test_shutdown_closes_silent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
