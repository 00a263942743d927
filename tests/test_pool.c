/* Tests of http/pool: which connections are closed when sockets run short. */
#include "tests/unit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "http/conn.h"
#include "http/pool.h"
#include "http/socket.h"

enum { CLIENTS = 100, LIMIT = 10 };

static const char *const addrs[] = {"127.0.0.1:17290", "127.0.0.1:17291"};

struct fixture {
	struct ev_loop *loop;
	struct http_pool pool;
	struct http_server servers[2];
	unsigned others, idle_others;
	size_t reserved; /* for bodies */
	int fds[CLIENTS];
	int n;
};

static unsigned count_others(void *priv)
{
	struct fixture *f = priv;

	return f->others;
}

static bool close_other(void *priv)
{
	struct fixture *f = priv;

	if (!f->idle_others)
		return false;
	f->idle_others--;
	f->others--;
	return true;
}

static const struct http_pool_ops pool_ops = {count_others, close_other};

/* The request is never answered. */
static void on_request(void *priv, struct http_conn *c, struct http_message *m)
{
	http_message_free(m);
}

static const struct http_server_ops ops = {on_request, NULL};

static void run(struct fixture *f)
{
	for (int i = 0; i < 10; i++)
		ev_run(f->loop, EVRUN_NOWAIT);
}

static void start(struct fixture *f, unsigned others)
{
	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(EVFLAG_NOENV);
	f->others = f->idle_others = others;
	f->pool.ops = &pool_ops;
	f->pool.priv = f;
	f->pool.others_share = 0.2;
	f->pool.sockets_max = LIMIT;
	for (int i = 0; i < 2; i++) {
		struct http_server *s = &f->servers[i];

		s->head_timeout_s = s->idle_timeout_s = 10;
		http_pool_add(&f->pool, s, i ? "second" : "first", 0.4);
		assert_int_equal(
			http_server_open(s, f->loop, addrs[i], &ops, f), 0);
	}
}

/* Connects n clients to a server, which send some text. */
static void join(struct fixture *f, int server, int n, const char *text)
{
	struct sockaddr_in sa;

	assert_int_equal(socket_parse_addr(addrs[server], &sa), 0);
	for (int i = 0; i < n; i++) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		assert_int_equal(
			connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
		(void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
		f->fds[f->n++] = fd;
		run(f);
	}
}

/* Returns whether the server has closed a client's connection. */
static bool is_closed(const struct fixture *f, int client)
{
	char byte;

	return recv(f->fds[client], &byte, 1, MSG_DONTWAIT) >= 0 ||
	       errno == ECONNRESET;
}

static void end(struct fixture *f)
{
	for (int i = 0; i < f->n; i++)
		close(f->fds[i]);
	http_server_close(&f->servers[0]);
	http_server_close(&f->servers[1]);
	assert_int_equal(f->pool.nconns, 0);
	assert_int_equal(f->pool.bytes, 0);
	ev_loop_destroy(f->loop);
}

static void test_nobody_is_closed_within_the_limit(void **state)
{
	struct fixture f;

	start(&f, 0);
	join(&f, 0, LIMIT, "");
	assert_int_equal(f.servers[0].nconns, LIMIT);
	end(&f);
}

static void test_oldest_of_the_largest_is_closed(void **state)
{
	struct fixture f;

	start(&f, 0);
	join(&f, 0, LIMIT - 1, "");
	join(&f, 1, 2, "");
	assert_int_equal(f.servers[0].nconns, LIMIT - 2);
	assert_int_equal(f.servers[1].nconns, 2);
	assert_true(is_closed(&f, 0));
	assert_false(is_closed(&f, 1));
	end(&f);
}

static void test_idle_others_are_closed_beyond_their_share(void **state)
{
	struct fixture f;

	start(&f, LIMIT - 2);
	join(&f, 0, 4, "");
	assert_int_equal(f.others, LIMIT - 4);
	assert_int_equal(f.servers[0].nconns, 4);
	end(&f);
}

/* Guards against requests that are cut to make room, and against a limit that
 * grows with them. */
static void test_requests_in_progress_are_kept(void **state)
{
	struct fixture f;

	start(&f, 0);
	f.pool.sockets_max = CLIENTS - 10;
	join(&f, 0, CLIENTS - 10, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	join(&f, 0, 5, "");
	assert_int_equal(f.servers[0].nconns, CLIENTS - 10);
	for (int i = 0; i < CLIENTS - 10; i++)
		assert_false(is_closed(&f, i));
	for (int i = CLIENTS - 10; i < f.n; i++)
		assert_true(is_closed(&f, i));
	assert_false(http_pool_limit_sockets(&f.pool, 1));
	end(&f);
}

static void test_memory_is_taken_from_those_that_hold_most(void **state)
{
	struct fixture f;
	char head[12000];

	start(&f, 0);
	memset(head, 'x', sizeof(head));
	memcpy(head, "GET / HTTP/1.1\r\nX: ", 19);
	head[sizeof(head) - 1] = '\0';
	join(&f, 0, 1, "GET");
	join(&f, 0, 3, head);
	f.pool.bytes_max = f.pool.bytes - 1;
	usleep(10 * 1000);
	join(&f, 1, 1, "G");
	assert_true(f.pool.bytes <= f.pool.bytes_max);
	assert_false(is_closed(&f, 0));
	assert_true(is_closed(&f, 1));
	end(&f);
}

/* Memory that suffices for one attempt; then the slowest body must go. */
static bool reserve_once(void *priv, size_t held, size_t total)
{
	struct fixture *f = priv;

	while (f->reserved) {
		if (!http_pool_end_slowest_body(&f->pool, 0))
			return false;
	}
	f->reserved = total;
	return true;
}

static void release(void *priv, size_t held)
{
	struct fixture *f = priv;

	f->reserved -= held;
}

static double body_time_s(void *priv, const struct http_message *head)
{
	return 10;
}

static void write_refusal(void *priv, const struct http_message *head,
			  struct buf *headers)
{
}

/*
 * Guards against a body that is ended for want of memory while it is being read
 * itself: it is the slowest, but gets the refusal.
 */
static void test_body_that_asks_for_memory_is_refused(void **state)
{
	struct http_body_gate gate = {.reserve = reserve_once,
				      .release = release,
				      .write_refusal = write_refusal,
				      .body_time_s = body_time_s};
	char answer[64] = "";
	struct buf chunk = {0};
	struct fixture f;

	start(&f, 0);
	gate.priv = &f;
	f.servers[0].body_gate = &gate;
	f.servers[0].transfer_time_s = 10;
	f.servers[0].transfer_min_rate = 1e9;
	join(&f, 0, 1,
	     "POST / HTTP/1.1\r\nHost: x\r\n"
	     "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
	assert_true(f.reserved > 0);
	usleep(10 * 1000);
	buf_printf(&chunk, "fff\r\n%3000d", 0);
	assert_int_equal(send(f.fds[0], chunk.ptr, chunk.len, 0), chunk.len);
	buf_free(&chunk);
	run(&f);
	assert_true(recv(f.fds[0], answer, sizeof(answer) - 1, 0) > 0);
	assert_memory_equal(answer, "HTTP/1.1 503", 12);
	assert_int_equal(f.reserved, 0);
	end(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nobody_is_closed_within_the_limit),
		cmocka_unit_test(test_oldest_of_the_largest_is_closed),
		cmocka_unit_test(
			test_idle_others_are_closed_beyond_their_share),
		cmocka_unit_test(test_requests_in_progress_are_kept),
		cmocka_unit_test(
			test_memory_is_taken_from_those_that_hold_most),
		cmocka_unit_test(test_body_that_asks_for_memory_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
