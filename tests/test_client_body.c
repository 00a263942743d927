/*
 * Tests of http/client with bodies that don't fit into the socket: servers that
 * respond before they have read the body, that break off, and that stop reading.
 */
#include "tests/unit.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client.h"
#include "http/socket.h"

#define HEAD "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\n"

enum { BODY_BYTES = 8000000, CHUNK = 65536, LONG_MS = 10000 };

/* A client whose request a server has accepted. */
struct fixture {
	struct ev_loop *loop;
	struct http_client client;
	int listener, server;
	char *body;
	unsigned status; /* of the response; 0: none */
	int err;	 /* of the failure; 0: none */
	bool sent;
	bool kept; /* the connection after the response */
};

static enum http_match match(void *priv, const struct http_message *m)
{
	return HTTP_MATCHED;
}

static void on_response(void *priv, struct http_message *m)
{
	struct fixture *f = priv;

	f->status = m->status;
	http_message_free(m);
	f->kept = f->client.reusable;
	if (!f->kept)
		http_client_close(&f->client);
}

static void on_failed(void *priv, int err, bool sent)
{
	struct fixture *f = priv;

	f->err = err;
	f->sent = sent;
}

static const struct http_client_ops ops = {
	.match = match, .response = on_response, .failed = on_failed};

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

/* Connects and sends the head and as much of the body as the socket takes. */
static struct fixture *fixture_new(int timeout_ms)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sa);

	f->loop = ev_loop_new(EVFLAG_NOENV);
	f->body = g_malloc(BODY_BYTES);
	for (size_t i = 0; i < BODY_BYTES; i++)
		f->body[i] = (char)('a' + i % 23);
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(f->listener, (struct sockaddr *)&sa, len), 0);
	assert_int_equal(listen(f->listener, 1), 0);
	getsockname(f->listener, (struct sockaddr *)&sa, &len);
	assert_int_equal(http_client_open(&f->client, f->loop, &sa, 1,
					  (struct http_limits){0, 0}, &ops, f),
			 0);
	http_client_send_body(&f->client, LSTR(HEAD),
			      (struct lstr){f->body, BODY_BYTES},
			      timeout_ms / 1000.0, false);
	f->server = accept(f->listener, NULL, NULL);
	fcntl(f->server, F_SETFL, O_NONBLOCK);
	run_ms(f, 20);
	assert_true(f->client.sent);
	assert_true(f->client.body.len > 0);
	return f;
}

static void fixture_free(struct fixture *f)
{
	http_client_close(&f->client);
	close(f->server);
	close(f->listener);
	ev_loop_destroy(f->loop);
	g_free(f->body);
	g_free(f);
}

static void respond(struct fixture *f, const char *text)
{
	assert_int_equal(send(f->server, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
}

/* Reads what has arrived; returns the number of bytes. */
static size_t read_all(struct fixture *f, char *to)
{
	size_t n = 0;
	ssize_t got;

	while ((got = recv(f->server, to + n, CHUNK, 0)) > 0)
		n += (size_t)got;
	return n;
}

static void test_body_arrives_whole(void **state)
{
	struct fixture *f = fixture_new(LONG_MS);
	char *got = g_malloc(sizeof(HEAD) + BODY_BYTES + CHUNK);
	size_t n = 0;

	for (int i = 0; i < 1000 && f->client.body.len; i++) {
		n += read_all(f, got + n);
		run_ms(f, 1);
	}
	n += read_all(f, got + n);
	assert_int_equal(n, strlen(HEAD) + BODY_BYTES);
	assert_memory_equal(got, HEAD, strlen(HEAD));
	assert_memory_equal(got + strlen(HEAD), f->body, BODY_BYTES);
	respond(f, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	run_ms(f, 5);
	assert_int_equal(f->status, 200);
	assert_true(f->kept);
	g_free(got);
	fixture_free(f);
}

/* The rest of the body stays unsent, so nothing else may be sent there. */
static void test_early_response_ends_connection(void **state)
{
	struct fixture *f = fixture_new(LONG_MS);

	respond(f, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	run_ms(f, 5);
	assert_int_equal(f->status, 200);
	assert_false(f->kept);
	assert_int_equal(f->client.body.len, 0);
	fixture_free(f);
}

/* A response that was sent before the server closed its end isn't lost. */
static void test_response_before_reset(void **state)
{
	struct fixture *f = fixture_new(LONG_MS);

	respond(f, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
	close(f->server);
	f->server = -1;
	run_ms(f, 20);
	assert_int_equal(f->status, 503);
	assert_int_equal(f->err, 0);
	assert_false(f->kept);
	fixture_free(f);
}

/* The kernel reports a reset once: a write that meets it hides it from reads. */
static void test_reset_met_by_a_write_ends_no_response(void **state)
{
	struct fixture *f = fixture_new(LONG_MS);

	respond(f, "HTTP/1.1 200 OK\r\n\r\na part of the body");
	run_ms(f, 5);
	/* With unread bytes this resets the connection. */
	close(f->server);
	f->server = -1;
	ev_invoke(f->loop, &f->client.io, EV_WRITE);
	run_ms(f, 20);
	assert_int_equal(f->status, 0);
	assert_int_equal(f->err, -EPIPE);
	fixture_free(f);
}

static void test_server_breaks_off(void **state)
{
	struct fixture *f = fixture_new(LONG_MS);

	close(f->server);
	f->server = -1;
	run_ms(f, 20);
	assert_int_equal(f->status, 0);
	assert_true(f->err < 0);
	assert_true(f->sent);
	assert_int_equal(f->client.state, CLIENT_CLOSED);
	fixture_free(f);
}

static void test_server_stops_reading(void **state)
{
	struct fixture *f = fixture_new(100);

	run_ms(f, 150);
	assert_int_equal(f->err, -ETIMEDOUT);
	assert_true(f->sent);
	fixture_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_body_arrives_whole),
		cmocka_unit_test(test_early_response_ends_connection),
		cmocka_unit_test(test_response_before_reset),
		cmocka_unit_test(test_reset_met_by_a_write_ends_no_response),
		cmocka_unit_test(test_server_breaks_off),
		cmocka_unit_test(test_server_stops_reading),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
