/*
 * Tests of platform/store against a store whose responses never end: each call
 * ends in its time, and all that an instance has in progress together take a
 * part of its memory.
 */
#include "tests/unit.h"

#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "misc/clock.h"
#include "platform/store.h"
#include "tests/peak_memory.h"

#define OK    "HTTP/1.1 200 X\r\n"
#define A20   "AAAAAAAAAAAAAAAAAAAA"
#define A100  A20 A20 A20 A20 A20
#define TOPIC "keyed.servers"

enum {
	CHANNELS = 6,		       /* of an instance */
	MEMORY_MAX = 64 * 1000 * 1000, /* half of the smallest machine's */
	CALL_MS = 1000,		       /* limit of a call */
	LATE_MS = 700,
	PIECE_BYTES = 64 * 1024,
};

struct form {
	const char *name, *begin, *again;
};

static const struct form forms[] = {
	{"head", OK "Name: ", A100},
	{"headers", OK, "Name: value\r\n"},
	{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"body to the close", OK "\r\n", A100},
	{"body of a huge length", OK "Content-Length: 99999999999999\r\n\r\n",
	 A100},
	{"chunks", OK "Transfer-Encoding: chunked\r\n\r\n",
	 "64\r\n" A100 "\r\n"},
	{"trailers", OK "Transfer-Encoding: chunked\r\n\r\n0\r\n",
	 "Name: value\r\n"},
	{"no HTTP", "\x01\x02", A100},
};

static unsigned failed;

static void on_done(void *priv, const struct store_result *r)
{
	assert_int_not_equal(r->err, 0);
	failed++;
}

/* Runs in a child: answers in a form until the connection is closed. */
static void send_without_end(int fd, const struct form *form)
{
	GString *piece = g_string_new(NULL);

	while (piece->len < PIECE_BYTES)
		g_string_append(piece, form->again);
	send(fd, form->begin, strlen(form->begin), MSG_NOSIGNAL);
	while (send(fd, piece->str, piece->len, MSG_NOSIGNAL) > 0)
		;
	_exit(0);
}

/* Runs in a child: serves some connections, each in a process. */
static void serve(int listener, const struct form *form)
{
	for (int i = 0; i < CHANNELS; i++) {
		int fd = accept(listener, NULL, NULL);

		if (fork() == 0)
			send_without_end(fd, form);
		close(fd);
	}
	while (wait(NULL) > 0)
		;
	_exit(0);
}

/* Makes one call on each channel of an instance, and awaits their ends. */
static void run(const struct form *form)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct store_channel channels[CHANNELS];
	struct ev_loop *loop = ev_loop_new(EVFLAG_NOENV);
	struct store_endpoint store;
	socklen_t len = sizeof(sa);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int64_t start_ms;
	pid_t pid;

	assert_int_equal(bind(listener, (struct sockaddr *)&sa, len), 0);
	assert_int_equal(listen(listener, CHANNELS), 0);
	getsockname(listener, (struct sockaddr *)&sa, &len);
	pid = fork();
	if (pid == 0)
		serve(listener, form);
	store_endpoint_init(&store, &sa, NULL, NULL);
	failed = 0;
	start_ms = clock_ms();
	for (int i = 0; i < CHANNELS; i++) {
		store_open(&channels[i], loop, &store, on_done, NULL);
		if (i % 2)
			store_list(&channels[i], TOPIC, LSTR(""));
		else
			store_read(&channels[i], TOPIC,
				   (struct store_position){0, 0}, 0);
	}
	while (failed < CHANNELS && clock_ms() - start_ms < CALL_MS + LATE_MS)
		ev_run(loop, EVRUN_ONCE);
	if (failed < CHANNELS)
		fail_msg("%s: %u of %d calls ended", form->name, failed,
			 CHANNELS);
	for (int i = 0; i < CHANNELS; i++) {
		store_cancel(&channels[i]);
		buf_free(&channels[i].request);
		buf_free(&channels[i].after);
	}
	close(listener);
	waitpid(pid, NULL, 0);
	ev_loop_destroy(loop);
}

/* Guards against a store that fills the memory of all instances. */
static void test_calls_end_within_memory(void **state)
{
	size_t before = peak_memory();

	for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
		run(&forms[i]);
		if (peak_memory() - before > MEMORY_MAX)
			fail_msg("%s: %zu bytes", forms[i].name,
				 peak_memory() - before);
	}
	print_message("%zu bytes at most\n", peak_memory() - before);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_calls_end_within_memory),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
