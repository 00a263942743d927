/* Tests of http/splice: bytes forwarded between two sockets. */
#include "tests/unit.h"

#include <errno.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/frames.h"
#include "http/splice.h"

enum { BULK_BYTES = 3 << 20, CHUNK = 1 << 16, PIECE = 1 << 14 };

struct pair {
	struct ev_loop *loop;
	struct splice splice;
	struct http_pool pool;
	int ends[2]; /* the far ends of the spliced sockets */
	bool closed;
	int err;
};

static void on_closed(void *priv, int err)
{
	struct pair *p = priv;

	p->closed = true;
	p->err = err;
}

static void start(struct pair *p, struct lstr to_fd1)
{
	int a[2], b[2];

	memset(p, 0, sizeof(*p));
	p->loop = ev_loop_new(EVFLAG_NOENV);
	assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, a),
			 0);
	assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, b),
			 0);
	p->ends[0] = a[0];
	p->ends[1] = b[0];
	p->splice.closed = on_closed;
	p->splice.priv = p;
	p->splice.pool = &p->pool;
	splice_start(&p->splice, p->loop, a[1], b[1], to_fd1);
}

static void finish(struct pair *p)
{
	close(p->ends[0]);
	close(p->ends[1]);
	for (int i = 0; i < 100 && !p->closed; i++)
		ev_run(p->loop, EVRUN_NOWAIT);
	assert_true(p->closed);
	ev_loop_destroy(p->loop);
}

static void run(struct pair *p)
{
	for (int i = 0; i < 10; i++)
		ev_run(p->loop, EVRUN_NOWAIT);
}

static void bulk_arrives_whole_at_a_slow_reader(void **state)
{
	static char out[CHUNK], in[1000];
	size_t sent = 0, received = 0;
	struct pair p;

	start(&p, LSTR(""));
	while (received < BULK_BYTES) {
		size_t left = BULK_BYTES - sent;
		ssize_t n;

		for (size_t i = 0; i < sizeof(out); i++)
			out[i] = (char)((sent + i) % 251);
		n = send(p.ends[0], out, left < CHUNK ? left : CHUNK, 0);
		sent += n > 0 ? (size_t)n : 0;
		ev_run(p.loop, EVRUN_NOWAIT);
		n = recv(p.ends[1], in, sizeof(in), 0);
		for (ssize_t i = 0; i < n; i++)
			assert_int_equal(in[i], (char)((received + i) % 251));
		received += n > 0 ? (size_t)n : 0;
		/* What the reader hasn't taken is held back at the sender. */
		assert_true(p.splice.ends[1].out.len <= CHUNK * 2);
	}
	assert_int_equal(p.splice.ends[0].received, BULK_BYTES);
	finish(&p);
}

/* Guards against an end that takes nothing and keeps both for ever. */
static void an_end_that_takes_nothing_is_closed_after_a_time(void **state)
{
	static char bytes[CHUNK];
	struct pair p;

	start(&p, LSTR(""));
	p.splice.stall_s = 0.1;
	p.splice.min_rate = 1000;
	for (int i = 0; i < 1000 && !p.closed; i++) {
		(void)!send(p.ends[0], bytes, sizeof(bytes), MSG_NOSIGNAL);
		ev_run(p.loop, EVRUN_NOWAIT);
		usleep(1000);
	}
	assert_true(p.closed);
	assert_int_equal(p.err, -ETIMEDOUT);
	assert_int_equal(p.pool.bytes, 0);
	assert_true(p.pool.bytes_peak > 0);
	finish(&p);
}

/* While memory is short one piece at a time is buffered. */
static void little_is_buffered_while_memory_is_short(void **state)
{
	static char bytes[CHUNK];
	struct pair p;

	start(&p, LSTR(""));
	p.pool.bytes_max = 1;
	for (int i = 0; i < 1000; i++) {
		(void)!send(p.ends[0], bytes, sizeof(bytes), MSG_NOSIGNAL);
		ev_run(p.loop, EVRUN_NOWAIT);
	}
	assert_true(p.splice.ends[1].out.len > 0);
	assert_true(p.splice.ends[1].out.len <= PIECE);
	finish(&p);
}

static void first_bytes_go_before_all_others(void **state)
{
	char in[16] = "";
	struct pair p;

	start(&p, LSTR("head "));
	assert_int_equal(send(p.ends[0], "body", 4, 0), 4);
	run(&p);
	assert_int_equal(recv(p.ends[1], in, sizeof(in), 0), 9);
	assert_string_equal(in, "head body");
	finish(&p);
}

static void an_end_of_stream_is_passed_on_and_answered(void **state)
{
	char in[16] = "";
	struct pair p;

	start(&p, LSTR(""));
	assert_int_equal(send(p.ends[0], "ask", 3, 0), 3);
	shutdown(p.ends[0], SHUT_WR);
	run(&p);
	assert_int_equal(recv(p.ends[1], in, sizeof(in), 0), 3);
	assert_int_equal(recv(p.ends[1], in, sizeof(in), 0), 0);
	assert_int_equal(send(p.ends[1], "told", 4, 0), 4);
	run(&p);
	assert_int_equal(recv(p.ends[0], in, sizeof(in), 0), 4);
	assert_false(p.closed);
	shutdown(p.ends[1], SHUT_WR);
	run(&p);
	assert_true(p.closed);
	assert_int_equal(p.err, 0);
	finish(&p);
}

static void an_end_that_stays_open_is_closed_after_a_time(void **state)
{
	struct pair p;

	start(&p, LSTR(""));
	shutdown(p.ends[0], SHUT_WR);
	while (!p.closed)
		ev_run(p.loop, EVRUN_ONCE);
	assert_int_equal(p.err, -ETIMEDOUT);
	finish(&p);
}

static void an_end_of_stream_is_marked_by_a_frame(void **state)
{
	struct frame_reader r = {0};
	struct buf out = {0};
	char in[64] = "";
	struct pair p;
	ssize_t n;

	start(&p, LSTR(""));
	p.splice.framed = true;
	assert_int_equal(send(p.ends[0], "ask", 3, 0), 3);
	assert_int_equal(send(p.ends[1], "told", 4, 0), 4);
	run(&p);
	assert_int_equal(recv(p.ends[1], in, sizeof(in), 0), 3);
	shutdown(p.ends[1], SHUT_WR);
	run(&p);
	n = recv(p.ends[0], in, sizeof(in), 0);
	assert_true(n > 0);
	assert_int_equal(frame_read(&r, (struct lstr){in, (size_t)n}, &out), 0);
	assert_true(lstr_eq(buf_lstr(&out), LSTR("told")));
	assert_true(r.ended);
	assert_int_equal(recv(p.ends[0], in, sizeof(in), 0), 0);
	frame_reader_free(&r);
	buf_free(&out);
	finish(&p);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bulk_arrives_whole_at_a_slow_reader),
		cmocka_unit_test(
			an_end_that_takes_nothing_is_closed_after_a_time),
		cmocka_unit_test(little_is_buffered_while_memory_is_short),
		cmocka_unit_test(first_bytes_go_before_all_others),
		cmocka_unit_test(an_end_of_stream_is_passed_on_and_answered),
		cmocka_unit_test(an_end_that_stays_open_is_closed_after_a_time),
		cmocka_unit_test(an_end_of_stream_is_marked_by_a_frame),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
