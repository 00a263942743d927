/*
 * Tests of answers whose heads break the grammar (RFC 9112, 2.2, 4 and 5; RFC
 * 9110, 15): wherever answers are read they are errors, and callers get a 502.
 */
#include "tests/unit.h"

#include <errno.h>
#include <fcntl.h>

#include "tests/bench.h"

#define OK	"HTTP/1.1 200 OK\r\n"
#define ONE	"Content-Length: 1\r\n\r\nA"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

enum { LIMIT_MS = 1500, SERVERS = 2 };

struct head {
	const char *name;
	struct lstr text;
};

#define HEAD(name, text)                       \
	{                                      \
		name,                          \
		{                              \
			text, sizeof(text) - 1 \
		}                              \
	}

static const struct head invalid[] = {
	HEAD("status 000", "HTTP/1.1 000 X\r\n" ONE),
	HEAD("status 001", "HTTP/1.1 001 X\r\n" ONE),
	HEAD("status 099", "HTTP/1.1 099 X\r\n" ONE),
	HEAD("status 600", "HTTP/1.1 600 X\r\n" ONE),
	HEAD("status 999", "HTTP/1.1 999 X\r\n" ONE),
	HEAD("two digits", "HTTP/1.1 20 X\r\n" ONE),
	HEAD("four digits", "HTTP/1.1 0200 X\r\n" ONE),
	HEAD("no status", "HTTP/1.1 \r\n" ONE),
	HEAD("status with a letter", "HTTP/1.1 2x0 X\r\n" ONE),
	HEAD("status with a sign", "HTTP/1.1 +20 X\r\n" ONE),
	HEAD("two blanks before the status", "HTTP/1.1  200 X\r\n" ONE),
	HEAD("tab after the status", "HTTP/1.1 200\tX\r\n" ONE),
	HEAD("blank before the status line", " HTTP/1.1 200 X\r\n" ONE),
	HEAD("empty line before the status line", "\r\n" OK ONE),
	HEAD("version 2", "HTTP/2.0 200 X\r\n" ONE),
	HEAD("version 0.9", "HTTP/0.9 200 X\r\n" ONE),
	HEAD("version without digits", "HTTP/1.x 200 X\r\n" ONE),
	HEAD("lower case", "http/1.1 200 X\r\n" ONE),
	HEAD("control byte in the reason", "HTTP/1.1 200 \x01\r\n" ONE),
	HEAD("carriage return in the reason", "HTTP/1.1 200 A\rB\r\n" ONE),
	HEAD("blank in a name", OK "X Y: z\r\n" ONE),
	HEAD("blank before the colon", OK "X-Y : z\r\n" ONE),
	HEAD("tab before the colon", OK "X-Y\t: z\r\n" ONE),
	HEAD("blank before the first name", OK " X-Y: z\r\n" ONE),
	HEAD("control byte in a name", OK "X\x01Y: z\r\n" ONE),
	HEAD("zero byte in a name", OK "X\0Y: z\r\n" ONE),
	HEAD("delete in a name", OK "X\x7fY: z\r\n" ONE),
	HEAD("byte beyond ASCII in a name", OK "X\x80Y: z\r\n" ONE),
	HEAD("slash in a name", OK "X/Y: z\r\n" ONE),
	HEAD("no name", OK ": z\r\n" ONE),
	HEAD("no colon", OK "X-Y\r\n" ONE),
	HEAD("folded line", OK "X-Y: a\r\n b\r\n" ONE),
	HEAD("control byte in a value", OK "X-Y: a\x01z\r\n" ONE),
	HEAD("zero byte in a value", OK "X-Y: a\0z\r\n" ONE),
	HEAD("carriage return in a value", OK "X-Y: a\rz\r\n" ONE),
	HEAD("line feed alone", "HTTP/1.1 200 OK\nContent-Length: 1\n\nA"),
	HEAD("line feed alone in a head", OK "X-Y: z\n" ONE),
	HEAD("blank before the colon of a length",
	     OK "Content-Length : 1\r\n\r\nA"),
	HEAD("blank before the colon of a coding",
	     OK "Transfer-Encoding : chunked\r\n\r\n1\r\nA\r\n0\r\n\r\n"),
	HEAD("two lengths", OK "Content-Length: 1\r\n" ONE),
	HEAD("length without a value", OK "Content-Length: \r\n\r\nA"),
	HEAD("length with a sign", OK "Content-Length: +1\r\n\r\nA"),
	HEAD("list of lengths", OK "Content-Length: 1, 1\r\n\r\nA"),
	HEAD("length and coding", OK CHUNKED ONE),
	HEAD("another coding", OK "Transfer-Encoding: gzip\r\n\r\nA"),
	HEAD("two codings",
	     OK "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\nA\r\n0\r\n\r\n"),
	HEAD("blank in a name of an interim answer",
	     "HTTP/1.1 103 X\r\nX Y: z\r\n\r\n" OK ONE),
	HEAD("interim answer of status 000", "HTTP/1.1 000 X\r\n\r\n" OK ONE),
	HEAD("blank in a name of a trailer",
	     OK CHUNKED "\r\n1\r\nA\r\n0\r\nX Y: z\r\n\r\n"),
	HEAD("blank before the colon of a trailer",
	     OK CHUNKED "\r\n1\r\nA\r\n0\r\nX-Y : z\r\n\r\n"),
	HEAD("control byte in a name of a trailer",
	     OK CHUNKED "\r\n1\r\nA\r\n0\r\nX\x01: z\r\n\r\n"),
};

static const struct head valid[] = {
	HEAD("plain", OK ONE),
	HEAD("no reason", "HTTP/1.1 200 \r\n" ONE),
	HEAD("no blank behind the status", "HTTP/1.1 200\r\n" ONE),
	HEAD("reason beyond ASCII", "HTTP/1.1 200 \xc3\xa9 a\r\n" ONE),
	HEAD("tab in the reason", "HTTP/1.1 200 a\tb\r\n" ONE),
	HEAD("status 599", "HTTP/1.1 599 X\r\n" ONE),
	HEAD("status 299", "HTTP/1.1 299 X\r\n" ONE),
	HEAD("all bytes of a token", OK "!#$%&'*+-.^_`|~09azAZ: z\r\n" ONE),
	HEAD("empty value", OK "X-Y:\r\n" ONE),
	HEAD("blanks around a value", OK "X-Y: \t z \t\r\n" ONE),
	HEAD("byte beyond ASCII in a value", OK "X-Y: \x80\r\n" ONE),
	HEAD("length in capitals", OK "CONTENT-LENGTH:1 \r\n\r\nA"),
	HEAD("coding in capitals",
	     OK "Transfer-Encoding: Chunked\r\n\r\n1\r\nA\r\n0\r\n\r\n"),
	HEAD("trailer", OK CHUNKED "\r\n1\r\nA\r\n0\r\nX-Y: z\r\n\r\n"),
	HEAD("interim answer", "HTTP/1.1 103 X\r\nX-Y: z\r\n\r\n" OK ONE),
};

/*
 * Reads answers up to the final one in pieces of some bytes. Returns its status,
 * 0 if it is incomplete, or a negative errno.
 */
static int read_answer(struct lstr text, size_t piece)
{
	struct http_limits none = {0, 0};
	struct http_reader r;
	int result = 0;

	http_reader_init(&r, HTTP_RESPONSE, none);
	for (size_t at = 0, n; at < text.len && !result; at += n) {
		ssize_t used = http_reader_feed(&r, text.ptr + at,
						MIN(piece, text.len - at));

		n = used > 0 ? (size_t)used : 0;
		if (used < 0)
			result = (int)used;
		else if (r.msg->done && r.msg->status / 100 == 1)
			http_message_free(http_reader_take(&r));
		else if (r.msg->done)
			result = (int)r.msg->status;
	}
	http_reader_free(&r);
	return result;
}

static void test_invalid_heads_are_errors(void **state)
{
	unsigned bad = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		for (size_t piece = 1; piece <= 1000; piece *= 1000) {
			int rc = read_answer(invalid[i].text, piece);

			if (rc == -EPROTO)
				continue;
			print_error("%s, %zu bytes at once: %d\n",
				    invalid[i].name, piece, rc);
			bad++;
		}
	}
	assert_int_equal(bad, 0);
}

static void test_valid_heads_are_read(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(valid); i++) {
		for (size_t piece = 1; piece <= 1000; piece *= 1000) {
			int rc = read_answer(valid[i].text, piece);

			if (rc < 200)
				fail_msg("%s, %zu bytes at once: %d",
					 valid[i].name, piece, rc);
		}
	}
}

/* A server that answers requests with a given head, and probes as usual. */
struct raw_server {
	struct lstr head;
	int index, listener;
	ev_io io;
	unsigned closed; /* connections that the instance has closed */
};

struct raw_conn {
	struct raw_server *server;
	ev_io io;
};

static void on_raw_request(struct ev_loop *loop, ev_io *io, int revents)
{
	struct raw_conn *c = io->data;
	char request[4096];
	ssize_t n = recv(io->fd, request, sizeof(request) - 1, 0);
	struct buf b = {0};
	const char *id, *rest;

	if (n <= 0) {
		c->server->closed++;
		ev_io_stop(loop, io);
		close(io->fd);
		g_free(c);
		return;
	}
	request[n] = '\0';
	id = strstr(request, "Attempt-Id: ");
	if (id) {
		/* The id follows the status line. */
		rest = strstr(c->server->head.ptr, "\r\n") + 2;
		buf_add(&b, c->server->head.ptr,
			(size_t)(rest - c->server->head.ptr));
		buf_printf(&b, "%.*s\r\nResponse-Seal: x.1\r\n",
			   (int)strcspn(id, "\r"), id);
		buf_add(&b, rest,
			c->server->head.len -
				(size_t)(rest - c->server->head.ptr));
	} else {
		buf_printf(
			&b,
			"HTTP/1.1 200 X\r\nInstance-Id: i-%d\r\n"
			"Server-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n",
			c->server->index);
	}
	(void)!send(io->fd, b.ptr, b.len, MSG_NOSIGNAL);
	buf_free(&b);
}

static void on_raw_accept(struct ev_loop *loop, ev_io *io, int revents)
{
	int fd = accept(io->fd, NULL, NULL);
	struct raw_conn *c;

	if (fd < 0)
		return;
	fcntl(fd, F_SETFL, O_NONBLOCK);
	c = g_new0(struct raw_conn, 1);
	c->server = io->data;
	ev_io_init(&c->io, on_raw_request, fd, EV_READ);
	c->io.data = c;
	ev_io_start(loop, &c->io);
}

static void raw_open(struct raw_server *s, struct bench *b, int i,
		     struct lstr head)
{
	char addr[32];

	*s = (struct raw_server){.head = head, .index = i};
	snprintf(addr, sizeof(addr), "127.0.0.1:%d", BENCH_PORT + i);
	s->listener = socket_listen(addr);
	assert_true(s->listener >= 0);
	ev_io_init(&s->io, on_raw_accept, s->listener, EV_READ);
	s->io.data = s;
	ev_io_start(b->loop, &s->io);
	bench_put(b, i, false);
}

/* Makes a call of a method to servers that all answer so. */
static void check_call(const struct head *h, const char *method)
{
	struct bench *b = bench_new(0);
	struct raw_server servers[SERVERS];
	struct caller *c;
	unsigned closed = 0;

	for (int i = 0; i < SERVERS; i++)
		raw_open(&servers[i], b, i, h->text);
	c = bench_call(b, method, LIMIT_MS);
	bench_run_until(b, c);
	bench_run_ms(b, 50);
	if (c->status != 502)
		fail_msg("%s, %s: the caller got %u", h->name, method,
			 c->status);
	for (int i = 0; i < SERVERS; i++)
		closed += servers[i].closed;
	assert_true(closed > 0);
	for (int i = 0; i < SERVERS; i++) {
		ev_io_stop(b->loop, &servers[i].io);
		close(servers[i].listener);
	}
	bench_free(b);
}

static const struct head answers[] = {
	HEAD("status 000", "HTTP/1.1 000 X\r\n" ONE),
	HEAD("status 999", "HTTP/1.1 999 X\r\n" ONE),
	HEAD("blank in a name", OK "X Y: z\r\n" ONE),
	HEAD("control byte in a name", OK "X\x01Y: z\r\n" ONE),
	HEAD("blank before the colon of a coding",
	     OK "Transfer-Encoding : chunked\r\n"
		"Connection: close\r\n\r\n1\r\nA\r\n0\r\n\r\n"),
};

static void test_callers_get_no_answer_with_an_invalid_head(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		check_call(&answers[i], "GET");
		check_call(&answers[i], "POST");
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invalid_heads_are_errors),
		cmocka_unit_test(test_valid_heads_are_read),
		cmocka_unit_test(
			test_callers_get_no_answer_with_an_invalid_head),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
