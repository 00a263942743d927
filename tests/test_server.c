/*
 * Tests of http/server over loopback sockets: keep-alive, pipelining, rejected
 * requests, timeouts, callers that disconnect, and graceful shutdown.
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

/* A server whose handler replies at once, or never if `hold` is set. */
struct fixture {
	struct ev_loop *loop;
	struct http_server server;
	struct http_conn *held;
	bool hold;
	int requests, closed;
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

static void on_closed(void *priv, struct http_conn *c)
{
	struct fixture *f = priv;

	f->closed++;
	f->held = NULL;
}

static const struct http_server_ops ops = {on_request, on_closed};

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

/* Runs the loop for ms milliseconds. */
static void run_ms(struct fixture *f, int ms)
{
	ev_timer t;

	ev_now_update(f->loop);
	ev_timer_init(&t, stop_loop, ms / 1000.0, 0);
	ev_timer_start(f->loop, &t);
	ev_run(f->loop, 0);
}

/* Opens a non-blocking client connection. */
static int connect_client(void)
{
	struct sockaddr_in sa;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	socket_parse_addr(ADDR, &sa);
	assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void send_text(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
}

/* Returns received bytes, "" if there are none, NULL after reset or close. */
static char *receive_text(int fd)
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

/* Counts occurrences of `what` in text. */
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
	int fd = connect_client();

	send_text(fd, GET);
	run_ms(f, 10);
	assert_int_equal(count(receive_text(fd), "200 OK"), 1);
	send_text(fd, GET GET "POST /y HTTP/1.1\r\nHost: a\r\n"
			      "Content-Length: 3\r\n\r\nabc");
	run_ms(f, 10);
	char *got = receive_text(fd);

	if (count(got, "200 OK") != 3)
		fail_msg("requests %d, got %s", f->requests, got);
	assert_string_equal(f->last_body, "abc");
	assert_string_equal(f->last_target, "/y");
	/* Connection: close in the request closes after the reply. */
	send_text(fd,
		  "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
	run_ms(f, 10);
	assert_int_equal(count(receive_text(fd), "Connection: close"), 1);
	run_ms(f, 10);
	assert_null(receive_text(fd));
	close(fd);
	fixture_free(f);
}

/*
 * A request pipelined after one whose reply closes the connection is neither
 * handled nor replied to, so the caller may safely send it again.
 */
static void test_pipelined_after_close(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client(), before = f->requests;

	send_text(fd,
		  "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
		  "POST /y HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
	run_ms(f, 10);
	char *got = receive_text(fd);

	assert_non_null(got);
	assert_int_equal(count(got, "200 OK"), 1);
	assert_int_equal(count(got, "Connection: close"), 1);
	assert_int_equal(f->requests, before + 1);
	run_ms(f, 10);
	assert_null(receive_text(fd));
	close(fd);
	/* The same if the server closes the connection, as during shutdown. */
	f->server.disable_keep_alive = true;
	fd = connect_client();
	send_text(fd, GET GET);
	run_ms(f, 10);
	got = receive_text(fd);
	assert_non_null(got);
	assert_int_equal(count(got, "200 OK"), 1);
	assert_int_equal(f->requests, before + 2);
	close(fd);
	fixture_free(f);
}

/* Expects a request to be rejected with a status and a close. */
static void expect_rejected(const char *request, const char *status)
{
	struct fixture *f = fixture_new();
	int fd = connect_client();

	send_text(fd, request);
	run_ms(f, 20);
	char *answer = receive_text(fd);

	if (!answer || !strstr(answer, status))
		fail_msg("no %s for %.60s", status, request);
	assert_int_equal(f->requests, 0);
	run_ms(f, 20);
	assert_null(receive_text(fd));
	close(fd);
	fixture_free(f);
}

static void test_rejected_requests(void **state)
{
	char *big = g_strdup_printf("GET / HTTP/1.1\r\nA: %01200d\r\n\r\n", 1);
	char *open = g_strdup_printf("GET / HTTP/1.1\r\nA: %01200d", 1);

	expect_rejected(big, " 431 ");
	expect_rejected(open, " 431 ");
	expect_rejected("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
			" 413 ");
	expect_rejected("no request\r\n\r\n", " 400 ");
	expect_rejected("GET / HTTP/1.1\nHost: a\n\n", " 400 ");
	expect_rejected("GET / HTTP/1.1\r\nHost : a\r\n\r\n", " 400 ");
	expect_rejected("POST / HTTP/1.1\r\nContent-Length: 1\r\n"
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			" 400 ");
	g_free(big);
	g_free(open);
}

/* What follows the head of a CONNECT request is never taken for a request. */
static void test_connect_hides_no_request(void **state)
{
	static const char *const heads[] = {
		"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n",
		"CONNECT /x HTTP/1.1\r\nContent-Length: 28\r\n\r\n",
		"CONNECT a:1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		"1c\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		char *text = g_strconcat(heads[i], GET, GET, NULL);

		expect_rejected(text, " 501 ");
		g_free(text);
	}
}

/* An upgrade that isn't taken leaves an ordinary request with its body. */
static void test_upgrade_is_not_taken(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client();

	send_text(fd, "POST /x HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\n"
		      "Connection: Upgrade\r\nContent-Length: 3\r\n\r\na");
	run_ms(f, 10);
	send_text(fd, "bc" GET);
	run_ms(f, 10);
	assert_int_equal(count(receive_text(fd), "200 OK"), 2);
	assert_int_equal(f->requests, 2);
	close(fd);
	fixture_free(f);
}

static void test_timeouts(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client();

	/* An incomplete head. */
	send_text(fd, "GET / HTTP/1.1\r\nHo");
	run_ms(f, 100);
	assert_string_equal(receive_text(fd), "");
	run_ms(f, 100);
	assert_int_equal(count(receive_text(fd), " 408 "), 1);
	close(fd);
	/* An idle keep-alive connection stays open until its timeout. */
	fd = connect_client();
	send_text(fd, GET);
	run_ms(f, 250);
	assert_int_equal(count(receive_text(fd), "200 OK"), 1);
	assert_string_equal(receive_text(fd), "");
	run_ms(f, 150);
	assert_null(receive_text(fd));
	close(fd);
	fixture_free(f);
}

/* The handler learns of a disconnect before the reply. */
static void test_caller_disconnects(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client();

	f->hold = true;
	send_text(fd, GET);
	run_ms(f, 10);
	assert_int_equal(f->requests, 1);
	close(fd);
	run_ms(f, 10);
	assert_int_equal(f->closed, 1);
	assert_int_equal(f->server.nconns, 0);
	fixture_free(f);
}

/* HEAD replies have no body; Expect: 100-continue is honoured. */
static void test_head_and_continue(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client();
	char *answer;

	send_text(fd, "HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n");
	run_ms(f, 10);
	answer = receive_text(fd);
	assert_int_equal(count(answer, "Content-Length: 2"), 1);
	assert_true(g_str_has_suffix(answer, "\r\n\r\n"));
	send_text(fd, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
		      "Expect: 100-continue\r\n\r\n");
	run_ms(f, 10);
	assert_int_equal(count(receive_text(fd), "100 Continue"), 1);
	send_text(fd, "hi");
	run_ms(f, 10);
	assert_int_equal(count(receive_text(fd), "200 OK"), 1);
	assert_string_equal(f->last_body, "hi");
	close(fd);
	fixture_free(f);
}

/* Shutdown serves connections made before it, also without a request yet. */
static void test_shutdown_serves_connected(void **state)
{
	struct fixture *f = fixture_new();
	int sent = connect_client(), late = connect_client(), idle;

	send_text(sent, GET);
	/* Both are in the accept queue when the listening socket is closed. */
	f->server.disable_keep_alive = true;
	http_server_stop_listening(&f->server);
	http_server_close_idle(&f->server);
	run_ms(f, 10);
	send_text(late, GET);
	http_server_close_idle(&f->server);
	run_ms(f, 10);
	assert_int_equal(count(receive_text(sent), "Connection: close"), 1);
	char *answer = receive_text(late);

	assert_non_null(answer);
	assert_int_equal(count(answer, "200 OK"), 1);
	idle = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in sa;

	socket_parse_addr(ADDR, &sa);
	assert_int_equal(connect(idle, (struct sockaddr *)&sa, sizeof(sa)), -1);
	close(idle);
	close(sent);
	close(late);
	fixture_free(f);
}

/* A connection without a request delays shutdown only briefly. */
static void test_shutdown_closes_silent(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client();

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

/* A request that crosses the close of its idle connection isn't lost. */
static void test_shutdown_answers_what_has_arrived(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client();

	send_text(fd, "GET /a HTTP/1.1\r\n\r\n");
	run_ms(f, 10);
	assert_non_null(strstr(receive_text(fd), "200 OK"));
	run_ms(f, 250);
	send_text(fd, "GET /b HTTP/1.1\r\n\r\n");
	http_server_stop_listening(&f->server);
	http_server_close_idle(&f->server);
	assert_true(http_server_busy(&f->server));
	run_ms(f, 10);
	assert_string_equal(f->last_target, "/b");
	assert_non_null(strstr(receive_text(fd), "200 OK"));
	close(fd);
	fixture_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_keep_alive_and_pipelining),
		cmocka_unit_test(test_pipelined_after_close),
		cmocka_unit_test(test_rejected_requests),
		cmocka_unit_test(test_connect_hides_no_request),
		cmocka_unit_test(test_upgrade_is_not_taken),
		cmocka_unit_test(test_timeouts),
		cmocka_unit_test(test_caller_disconnects),
		cmocka_unit_test(test_head_and_continue),
		cmocka_unit_test(test_shutdown_serves_connected),
		cmocka_unit_test(test_shutdown_closes_silent),
		cmocka_unit_test(test_shutdown_answers_what_has_arrived),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
