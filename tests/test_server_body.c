/*
 * Tests of http/server with large bodies: memory that is limited by a gate,
 * callers that trickle, stop or leave midway, and a shutdown midway.
 */
#include "tests/unit.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/body_memory.h"
#include "http/server.h"

enum {
	LIMIT = 100 * 1000,
	BODY = 60 * 1000,
	CHUNK = 20 * 1000,
	BODY_TIME_MS = 900,
	PAUSE_MS = 500, /* the longest between two parts of a body */
};

struct fixture {
	struct ev_loop *loop;
	struct http_server server;
	struct body_memory memory;
	struct http_body_gate gate;
	int requests, closed;
	size_t received; /* length of the last body */
	double body_s;	 /* for which it was received */
	char *data;
	struct sockaddr_in addr;
};

static bool reserve(void *priv, size_t held, size_t total)
{
	return body_memory_reserve(priv, held, total);
}

static void release(void *priv, size_t held)
{
	body_memory_release(priv, held);
}

static void on_request(void *priv, struct http_conn *c, struct http_message *m)
{
	struct fixture *f = priv;

	f->requests++;
	f->received = m->body.len;
	f->body_s = http_conn_body_s(c);
	http_message_free(m);
	http_conn_reply(c, &(struct http_reply){.status = 200});
}

static void on_closed(void *priv, struct http_conn *c)
{
	struct fixture *f = priv;

	f->closed++;
}

static void write_refusal(void *priv, const struct http_message *m,
			  struct buf *headers)
{
	struct lstr id = http_find_header(m, LSTR("Id"));

	buf_printf(headers, "Id: %.*s\r\nRetry-After: 1\r\n", (int)id.len,
		   id.ptr);
}

static double body_time_s(void *priv, const struct http_message *m)
{
	return BODY_TIME_MS / 1000.0;
}

static const struct http_server_ops ops = {on_request, on_closed};

/* Chooses a free port for the server. */
static void choose_address(struct fixture *f, char *text, size_t size)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	socklen_t len = sizeof(f->addr);

	f->addr =
		(struct sockaddr_in){.sin_family = AF_INET,
				     .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	assert_int_equal(bind(fd, (struct sockaddr *)&f->addr, len), 0);
	getsockname(fd, (struct sockaddr *)&f->addr, &len);
	close(fd);
	g_snprintf(text, size, "127.0.0.1:%d", ntohs(f->addr.sin_port));
}

static struct fixture *fixture_new(void)
{
	struct fixture *f = g_new0(struct fixture, 1);
	char addr[32];

	f->loop = ev_loop_new(EVFLAG_NOENV);
	f->data = g_malloc0(BODY + CHUNK);
	f->memory.limit = LIMIT;
	f->gate = (struct http_body_gate){.reserve = reserve,
					  .release = release,
					  .write_refusal = write_refusal,
					  .body_time_s = body_time_s,
					  .priv = &f->memory};
	f->server.body_gate = &f->gate;
	f->server.head_timeout_s = PAUSE_MS / 1000.0;
	f->server.idle_timeout_s = 10;
	choose_address(f, addr, sizeof(addr));
	assert_int_equal(http_server_open(&f->server, f->loop, addr, &ops, f),
			 0);
	return f;
}

/* All memory of bodies must have been given back. */
static void fixture_free(struct fixture *f)
{
	http_server_close(&f->server);
	assert_int_equal(f->memory.used, 0);
	ev_loop_destroy(f->loop);
	g_free(f->data);
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

/* Opens a non-blocking client connection. */
static int connect_client(struct fixture *f)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(
		connect(fd, (struct sockaddr *)&f->addr, sizeof(f->addr)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void send_text(struct fixture *f, int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
	run_ms(f, 10);
}

static void send_bytes(struct fixture *f, int fd, size_t n)
{
	assert_int_equal(send(fd, f->data, n, MSG_NOSIGNAL), n);
	run_ms(f, 10);
}

/* Sends the head of a request with a body of this length. */
static void send_head(struct fixture *f, int fd, size_t length)
{
	char *head = g_strdup_printf("POST /x HTTP/1.1\r\nHost: a\r\nId: 7\r\n"
				     "Content-Length: %zu\r\n\r\n",
				     length);

	send_text(f, fd, head);
	g_free(head);
}

/* Waits for a response and returns what has been received of it. */
static const char *receive_text(struct fixture *f, int fd)
{
	static char text[4096];
	ssize_t n;

	while ((n = recv(fd, text, sizeof(text) - 1, 0)) < 0 && errno == EAGAIN)
		run_ms(f, 5);
	assert_true(n > 0);
	text[n] = '\0';
	return text;
}

static void assert_status(struct fixture *f, int fd, const char *status)
{
	assert_non_null(strstr(receive_text(f, fd), status));
}

static void test_refused_before_the_body(void **state)
{
	struct fixture *f = fixture_new();
	int a = connect_client(f), b = connect_client(f);
	const char *got;

	send_head(f, a, BODY);
	assert_int_equal(f->memory.used, BODY);
	send_head(f, b, BODY);
	got = receive_text(f, b);
	assert_non_null(strstr(got, " 503 "));
	assert_non_null(strstr(got, "Id: 7\r\n"));
	assert_non_null(strstr(got, "Retry-After: 1\r\n"));
	assert_non_null(strstr(got, "Connection: close\r\n"));
	/* Small requests go on, and so does the first body. */
	close(b);
	b = connect_client(f);
	send_head(f, b, 1000);
	send_bytes(f, b, 1000);
	assert_status(f, b, " 200 ");
	send_bytes(f, a, BODY);
	assert_status(f, a, " 200 ");
	assert_int_equal(f->received, BODY);
	assert_int_equal(f->requests, 2);
	close(a);
	close(b);
	fixture_free(f);
}

static void test_refused_without_continue(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client(f);
	const char *got;

	send_text(f, fd,
		  "POST /x HTTP/1.1\r\nHost: a\r\nId: 7\r\n"
		  "Expect: 100-continue\r\nContent-Length: 200000\r\n\r\n");
	got = receive_text(f, fd);
	assert_non_null(strstr(got, " 503 "));
	assert_null(strstr(got, "100 Continue"));
	close(fd);
	fixture_free(f);
}

/* Without a length, a body is refused when it has grown too large. */
static void test_chunked_body_is_counted(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client(f);
	char size[16];

	g_snprintf(size, sizeof(size), "%x\r\n", CHUNK);
	send_text(f, fd,
		  "POST /x HTTP/1.1\r\nHost: a\r\nId: 7\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < LIMIT / CHUNK + 1; i++) {
		if (f->memory.refused)
			break;
		send_text(f, fd, size);
		send_bytes(f, fd, CHUNK);
		send_text(f, fd, "\r\n");
	}
	assert_status(f, fd, " 503 ");
	assert_int_equal(f->requests, 0);
	assert_true(f->memory.peak <= LIMIT);
	close(fd);
	fixture_free(f);
}

/* A caller that sends on after it was refused still gets the response. */
static void test_refused_caller_sends_on(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client(f);

	send_head(f, fd, 2 * LIMIT);
	for (int i = 0; i < 2 * LIMIT / CHUNK; i++)
		send_bytes(f, fd, CHUNK);
	assert_status(f, fd, " 503 ");
	close(fd);
	fixture_free(f);
}

static void test_caller_leaves_midway(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client(f);

	send_head(f, fd, BODY);
	send_bytes(f, fd, CHUNK);
	assert_int_equal(f->memory.used, BODY);
	close(fd);
	run_ms(f, 10);
	assert_int_equal(f->memory.used, 0);
	assert_int_equal(f->requests, 0);
	assert_int_equal(f->server.nconns, 0);
	fixture_free(f);
}

static void test_caller_stops_midway(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client(f);

	send_head(f, fd, BODY);
	send_bytes(f, fd, CHUNK);
	assert_status(f, fd, " 408 ");
	assert_int_equal(f->requests, 0);
	close(fd);
	fixture_free(f);
}

/* Never pausing for long isn't enough: the whole body has a time limit. */
static void test_caller_trickles(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client(f);
	char first;

	send_head(f, fd, BODY);
	while (recv(fd, &first, 1, MSG_PEEK) < 0) {
		assert_int_equal(send(fd, f->data, 1, MSG_NOSIGNAL), 1);
		run_ms(f, 20);
	}
	assert_status(f, fd, " 408 ");
	assert_int_equal(f->requests, 0);
	close(fd);
	fixture_free(f);
}

static void test_time_of_a_body(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client(f);

	send_head(f, fd, 2 * CHUNK);
	send_bytes(f, fd, CHUNK);
	run_ms(f, 60);
	send_bytes(f, fd, CHUNK);
	assert_int_equal(f->requests, 1);
	assert_true(f->body_s >= 0.06);
	assert_true(f->body_s < BODY_TIME_MS / 1000.0);
	close(fd);
	fixture_free(f);
}

/* A shutdown waits for a body that is on its way. */
static void test_shutdown_midway(void **state)
{
	struct fixture *f = fixture_new();
	int fd = connect_client(f);

	send_head(f, fd, 2 * CHUNK);
	send_bytes(f, fd, CHUNK);
	f->server.disable_keep_alive = true;
	http_server_stop_listening(&f->server);
	http_server_close_idle(&f->server);
	assert_true(http_server_busy(&f->server));
	send_bytes(f, fd, CHUNK);
	assert_status(f, fd, " 200 ");
	assert_int_equal(f->received, 2 * CHUNK);
	close(fd);
	fixture_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refused_before_the_body),
		cmocka_unit_test(test_refused_without_continue),
		cmocka_unit_test(test_chunked_body_is_counted),
		cmocka_unit_test(test_refused_caller_sends_on),
		cmocka_unit_test(test_caller_leaves_midway),
		cmocka_unit_test(test_caller_stops_midway),
		cmocka_unit_test(test_caller_trickles),
		cmocka_unit_test(test_time_of_a_body),
		cmocka_unit_test(test_shutdown_midway),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
