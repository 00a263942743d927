/*
 * Tests of http/client against servers that send without end: each form ends
 * within a bound of bytes, memory and processor, and by the time limit if it
 * comes slowly.
 */
#include "tests/unit.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/body_memory.h"
#include "http/client.h"
#include "misc/clock.h"

#define OK	"HTTP/1.1 200 X\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"
#define SHORT	OK "Content-Length: 1\r\n\r\nA"
#define FOREIGN OK "Foreign: 1\r\nContent-Length: 1\r\n\r\nA"
#define A10	"AAAAAAAAAA"
#define A100	A10 A10 A10 A10 A10 A10 A10 A10 A10 A10

enum {
	HEAD_MAX = 64 * 1024,
	BODY_MAX = 1000 * 1000,
	MEMORY_MAX = 2 * BODY_MAX,
	/* Eight bytes of framing for each of a body, and heads. */
	BYTES_MAX = 9 * BODY_MAX + 512 * 1024,
	SOCKET_BYTES = 64 * 1024, /* of either end */
	FRAME_BYTES = 4096,
	QUICK_MS = 3000, /* limit of a request to a quick server */
	SLOW_MS = 300,
	LATE_MS = 300,
	CPU_MAX_MS = 1500, /* of both ends */
};

struct form {
	const char *name, *begin, *again;
	bool answered; /* a complete response precedes the rest */
};

static const struct form forms[] = {
	{"status line", "HTTP/1.1 200 ", A100, false},
	{"one header", OK "Name: ", A100, false},
	{"one header name", OK, A100, false},
	{"many headers", OK, "Name: value\r\n", false},
	{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
	{"interim answers with headers", "",
	 "HTTP/1.1 103 X\r\nLink: " A100 "\r\n\r\n", false},
	{"body to the close", OK "\r\n", A100, false},
	{"body of a huge length", OK "Content-Length: 99999999999999\r\n\r\n",
	 A100, false},
	{"chunks", CHUNKED, "a\r\n" A10 "\r\n", false},
	{"chunks of one byte", CHUNKED, "1\r\nA\r\n", false},
	{"one chunk", CHUNKED "fffffffffff\r\n", A100, false},
	{"chunk size", CHUNKED, "0000000000", false},
	{"chunk extension", CHUNKED "1;", "a=b;", false},
	{"chunks with extensions", CHUNKED, "1;x=" A100 A100 A100 "\r\nA\r\n",
	 false},
	{"trailers", CHUNKED "0\r\n", "Name: value\r\n", false},
	{"one trailer", CHUNKED "0\r\nName: ", A100, false},
	{"bytes after an answer", SHORT, A100, true},
	{"answers", "", SHORT, true},
	{"answers to other requests", "", FOREIGN, false},
	{"empty lines", "", "\r\n\r\n", false},
	{"no HTTP", "\x01\x02", "\x01\x02", false},
};

struct fixture {
	struct ev_loop *loop;
	struct http_client client;
	struct body_memory memory;
	struct http_body_gate gate;
	int listener, server;
	ev_io writable;
	ev_timer trickle;
	struct buf pattern; /* repeated without end */
	size_t at, sent;
	bool done;
	unsigned status; /* of the response; 0: none */
	int err;
};

static bool reserve(void *priv, size_t held, size_t total)
{
	return body_memory_reserve(priv, held, total);
}

static void release(void *priv, size_t held)
{
	body_memory_release(priv, held);
}

static enum http_match match(void *priv, const struct http_message *m)
{
	return http_find_header(m, LSTR("Foreign")).ptr ? HTTP_UNMATCHED
							: HTTP_MATCHED;
}

static void on_response(void *priv, struct http_message *m)
{
	struct fixture *f = priv;

	f->done = true;
	f->status = m->status;
	http_message_free(m);
	/* What follows the response ends the connection. */
	if (!f->client.reusable)
		http_client_close(&f->client);
}

static void on_failed(void *priv, int err, bool sent)
{
	struct fixture *f = priv;

	f->done = true;
	f->err = err;
}

static const struct http_client_ops ops = {
	.match = match, .response = on_response, .failed = on_failed};

/* Sends at most `max` bytes of the pattern, as far as the socket takes them. */
static void send_some(struct fixture *f, size_t max)
{
	size_t n = MIN(max, f->pattern.len - f->at);
	ssize_t sent = send(f->server, f->pattern.ptr + f->at, n, MSG_NOSIGNAL);

	if (sent < 0)
		return;
	f->sent += (size_t)sent;
	f->at += (size_t)sent;
}

static void on_writable(struct ev_loop *loop, ev_io *io, int revents)
{
	struct fixture *f = io->data;

	send_some(f, SIZE_MAX);
}

static void on_trickle(struct ev_loop *loop, ev_timer *t, int revents)
{
	send_some(t->data, 10);
}

/*
 * Fills the pattern: the begin once, then the rest again and again; in frames as
 * a tunnel has them, if `framed`.
 */
static void fill_pattern(struct fixture *f, const struct form *form,
			 bool framed)
{
	struct buf plain = {0};

	buf_add_lstr(&plain, lstr0(form->begin));
	while (plain.len < 4 * BYTES_MAX)
		buf_add_lstr(&plain, lstr0(form->again));
	for (size_t at = 0; framed && at < plain.len; at += FRAME_BYTES)
		frame_write(&f->pattern,
			    (struct lstr){plain.ptr + at,
					  MIN(FRAME_BYTES, plain.len - at)});
	if (!framed)
		buf_add_lstr(&f->pattern, buf_lstr(&plain));
	buf_free(&plain);
}

static void set_buffers(int fd)
{
	int bytes = SOCKET_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

/* Sends a request to a server that begins to answer in this form. */
static struct fixture *fixture_new(const struct form *form, bool quick,
				   bool framed)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sa);

	f->loop = ev_loop_new(EVFLAG_NOENV);
	f->memory.limit = MEMORY_MAX;
	f->gate = (struct http_body_gate){
		.reserve = reserve, .release = release, .priv = &f->memory};
	fill_pattern(f, form, framed);
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	set_buffers(f->listener);
	assert_int_equal(bind(f->listener, (struct sockaddr *)&sa, len), 0);
	assert_int_equal(listen(f->listener, 1), 0);
	getsockname(f->listener, (struct sockaddr *)&sa, &len);
	assert_int_equal(
		http_client_open(&f->client, f->loop, &sa, 1,
				 (struct http_limits){HEAD_MAX, BODY_MAX}, &ops,
				 f),
		0);
	f->client.reader.gate = &f->gate;
	f->client.framed = framed;
	set_buffers(f->client.fd);
	http_client_send(&f->client, LSTR("GET /x HTTP/1.1\r\nHost: x\r\n\r\n"),
			 (quick ? QUICK_MS : SLOW_MS) / 1000.0, false);
	f->server = accept(f->listener, NULL, NULL);
	fcntl(f->server, F_SETFL, O_NONBLOCK);
	ev_io_init(&f->writable, on_writable, f->server, EV_WRITE);
	f->writable.data = f;
	ev_timer_init(&f->trickle, on_trickle, 0.02, 0.02);
	f->trickle.data = f;
	if (quick)
		ev_io_start(f->loop, &f->writable);
	else
		ev_timer_start(f->loop, &f->trickle);
	return f;
}

static void fixture_free(struct fixture *f)
{
	http_client_close(&f->client);
	assert_int_equal(f->memory.used, 0);
	close(f->server);
	close(f->listener);
	ev_loop_destroy(f->loop);
	buf_free(&f->pattern);
	g_free(f);
}

/* Returns the processor time that this process has used. */
static int64_t cpu_ms(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return (int64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1000 +
	       (u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1000;
}

/* Runs until the request ends and its connection is closed. */
static int64_t run(struct fixture *f, int max_ms)
{
	int64_t start_ms = clock_ms();

	while ((!f->done || f->client.state != CLIENT_CLOSED) &&
	       clock_ms() - start_ms < max_ms)
		ev_run(f->loop, EVRUN_ONCE);
	return clock_ms() - start_ms;
}

static void check(const struct form *form, const struct fixture *f)
{
	if (!f->done || f->client.state != CLIENT_CLOSED)
		fail_msg("%s: goes on after %zu bytes", form->name, f->sent);
	if ((f->status == 200) != form->answered)
		fail_msg("%s: status %u, error %d", form->name, f->status,
			 f->err);
	if (f->memory.peak > MEMORY_MAX)
		fail_msg("%s: %zu bytes of memory", form->name, f->memory.peak);
}

static void run_quick(bool framed)
{
	for (guint i = 0; i < G_N_ELEMENTS(forms); i++) {
		struct fixture *f = fixture_new(&forms[i], true, framed);
		int64_t before_ms = cpu_ms(), ms = run(f, QUICK_MS + LATE_MS);

		check(&forms[i], f);
		if (f->err == -ETIMEDOUT)
			fail_msg("%s: ended by the time limit only",
				 forms[i].name);
		if (f->sent > BYTES_MAX + 4 * SOCKET_BYTES)
			fail_msg("%s: %zu bytes", forms[i].name, f->sent);
		if (cpu_ms() - before_ms > CPU_MAX_MS)
			fail_msg("%s: %d ms of processor, %d ms in all",
				 forms[i].name, (int)(cpu_ms() - before_ms),
				 (int)ms);
		fixture_free(f);
	}
}

/* Guards against bytes without end filling the memory or the processor. */
static void test_quick(void **state)
{
	run_quick(false);
}

/* Guards against the same through a peer's tunnel. */
static void test_quick_tunnel(void **state)
{
	run_quick(true);
}

/* Guards against a trickle that keeps a request for longer than its limit. */
static void test_trickle(void **state)
{
	for (guint i = 0; i < G_N_ELEMENTS(forms); i++) {
		struct fixture *f = fixture_new(&forms[i], false, false);
		int64_t ms = run(f, SLOW_MS + LATE_MS);

		check(&forms[i], f);
		if (ms > SLOW_MS + LATE_MS / 2)
			fail_msg("%s: ended after %d ms", forms[i].name,
				 (int)ms);
		fixture_free(f);
	}
}

/* Guards against a body without end filling the memory after its request. */
static void test_lingering(void **state)
{
	const struct form *form = &forms[6];
	struct fixture *f = fixture_new(form, true, false);
	size_t sent;

	while (!f->client.reader.msg)
		ev_run(f->loop, EVRUN_ONCE);
	sent = f->sent;
	if (!http_client_linger(&f->client, QUICK_MS / 1000.0))
		http_client_close(&f->client);
	f->done = true;
	run(f, QUICK_MS);
	assert_int_equal(f->client.state, CLIENT_CLOSED);
	assert_true(f->sent - sent <= 8 * SOCKET_BYTES);
	fixture_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_quick),
		cmocka_unit_test(test_quick_tunnel),
		cmocka_unit_test(test_trickle),
		cmocka_unit_test(test_lingering),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
