/*
 * Tests of traffic/ against servers whose responses never end: an instance
 * stays within its machine's memory, and callers get an error in time.
 */
#include "tests/unit.h"

#include <fcntl.h>
#include <sys/socket.h>

#include "misc/clock.h"
#include "tests/bench.h"
#include "tests/peak_memory.h"
#include "traffic/responses.h"

enum {
	SERVERS = 8,
	CALLS = 24,
	MEMORY_MB = 160,
	LIMIT_MS = 2000,
	LATE_MS = 500,
};

/* A healthy server whose answers to requests have bodies without end. */
struct endless {
	struct bench *bench;
	int index, listener;
	ev_io io;
};

/* One of its connections. */
struct stream {
	const struct endless *server;
	ev_io io;
	bool began;
};

static char filler[256 * 1024];

static void stream_close(struct ev_loop *loop, struct stream *s)
{
	ev_io_stop(loop, &s->io);
	close(s->io.fd);
	g_free(s);
}

/* Answers a probe completely, and begins to answer a request. */
static void answer(struct stream *s, const char *request)
{
	const char *id = strstr(request, "Attempt-Id: ");
	struct buf b = {0};

	s->began = id != NULL;
	if (id)
		buf_printf(&b,
			   "HTTP/1.1 200 X\r\n%.*s\r\nResponse-Seal: x.1\r\n"
			   "\r\n",
			   (int)strcspn(id, "\r"), id);
	else
		buf_printf(
			&b,
			"HTTP/1.1 200 X\r\nInstance-Id: i-%d\r\n"
			"Server-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n",
			s->server->index);
	(void)!send(s->io.fd, b.ptr, b.len, MSG_NOSIGNAL);
	buf_free(&b);
}

static void on_stream_event(struct ev_loop *loop, ev_io *io, int revents)
{
	struct stream *s = io->data;
	char request[4096];
	ssize_t n;

	if (s->began) {
		if (send(io->fd, filler, sizeof(filler), MSG_NOSIGNAL) < 0)
			stream_close(loop, s);
		return;
	}
	n = recv(io->fd, request, sizeof(request) - 1, 0);
	if (n <= 0) {
		stream_close(loop, s);
		return;
	}
	request[n] = '\0';
	answer(s, request);
	if (!s->began)
		return;
	ev_io_stop(loop, io);
	ev_io_set(io, io->fd, EV_WRITE);
	ev_io_start(loop, io);
}

static void on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
	int fd = accept(io->fd, NULL, NULL);
	struct stream *s;

	if (fd < 0)
		return;
	fcntl(fd, F_SETFL, O_NONBLOCK);
	s = g_new0(struct stream, 1);
	s->server = io->data;
	ev_io_init(&s->io, on_stream_event, fd, EV_READ);
	s->io.data = s;
	ev_io_start(loop, &s->io);
}

/* Opens an endless server in the place of server i. */
static void endless_open(struct endless *e, struct bench *b, int i)
{
	struct sockaddr_in sa;
	char addr[32];
	int on = 1;

	snprintf(addr, sizeof(addr), "127.0.0.1:%d", BENCH_PORT + i);
	socket_parse_addr(addr, &sa);
	e->bench = b;
	e->index = i;
	e->listener = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(e->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	assert_int_equal(bind(e->listener, (struct sockaddr *)&sa, sizeof(sa)),
			 0);
	assert_int_equal(listen(e->listener, 64), 0);
	ev_io_init(&e->io, on_accept, e->listener, EV_READ);
	e->io.data = e;
	ev_io_start(b->loop, &e->io);
	bench_put(b, i, false);
}

static void endless_close(struct endless *e)
{
	ev_io_stop(e->bench->loop, &e->io);
	close(e->listener);
}

/* Guards against being ended for its memory by servers that never finish. */
static void test_within_memory(void **state)
{
	struct bench *b = bench_new(0);
	struct endless servers[SERVERS];
	struct caller *calls[CALLS];
	int64_t start_ms;

	b->settings.memory_mb = MEMORY_MB;
	responses_init(&b->traffic);
	for (int i = 0; i < SERVERS; i++)
		endless_open(&servers[i], b, i);
	start_ms = clock_ms();
	for (int i = 0; i < CALLS; i++)
		calls[i] = bench_call(b, i % 2 ? "GET" : "POST", LIMIT_MS);
	for (int i = 0; i < CALLS; i++) {
		while (calls[i]->open && clock_ms() - start_ms < 3 * LIMIT_MS)
			bench_run_ms(b, 5);
		assert_false(calls[i]->open);
		assert_true(calls[i]->status >= 500);
	}
	assert_true(clock_ms() - start_ms <= LIMIT_MS + LATE_MS);
	print_message("responses %zu of %zu, process %zu bytes at most\n",
		      b->traffic.responses.peak, b->traffic.responses.limit,
		      peak_memory());
	assert_true(b->traffic.responses.peak > 0);
	assert_true(b->traffic.responses.peak <= b->traffic.responses.limit);
	assert_true(peak_memory() < MEMORY_MB * 1000 * 1000);
	for (int i = 0; i < SERVERS; i++)
		endless_close(&servers[i]);
	bench_run_ms(b, LIMIT_MS);
	assert_int_equal(b->traffic.responses.used, 0);
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_within_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
