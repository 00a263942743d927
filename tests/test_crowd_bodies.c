/*
 * Memory that a crowd takes by other ways than answers of the callers' port:
 * bodies that are announced and don't come, answers through tunnels that nobody
 * reads, and answers that are kept for repetitions of a call.
 */
#include "tests/crowd.h"

enum {
	MEMORY_MB = 64,
	CROWD = 64,
	ANNOUNCED_BYTES = 399 * 1000, /* nearly all that bodies may take */
	BODY_BYTES = 500 * 1000,      /* of an ordinary upload */
	PATIENCE_MS = 3600 * 1000,
	STAY_MS = 4000,
	TRICKLE_MS = 500,
	TUNNELS = 480,
	CALLS = 30,
};

static int fds[TUNNELS];

static int end(void **state)
{
	for (int i = 0; i < TUNNELS; i++) {
		if (fds[i] > 0)
			close(fds[i]);
		fds[i] = 0;
	}
	return system_stop(state);
}

static void check_memory(const char *name)
{
	if (!entry_lives(0))
		fail_msg("%s: has ended; logs in %s", name, sys.dir);
	print_message("%s: %zu bytes at most\n", name, entry_peak_memory(0));
	if (entry_peak_memory(0) >= (size_t)MEMORY_MB * 1000 * 1000)
		fail_msg("%s: %zu bytes; logs in %s", name,
			 entry_peak_memory(0), sys.dir);
}

/* Writes the head of an upload. */
static void write_upload(struct buf *out, size_t bytes, int patience_ms)
{
	buf_printf(out,
		   "POST /work/x HTTP/1.1\r\nHost: harta.example\r\n"
		   "Attempt-Id: up-%d-%u\r\nDeadline-Remaining-Ms: %d\r\n"
		   "Content-Length: %zu\r\n\r\n",
		   (int)getpid(), sys.requests++, patience_ms, bytes);
}

/* Returns whether an ordinary upload is answered, after a few attempts. */
static bool upload(void)
{
	for (int i = 0; i < ATTEMPTS; i++) {
		struct buf b = {0}, answer = {0};
		unsigned status;

		write_upload(&b, BODY_BYTES, ANSWER_MS);
		memset(buf_reserve(&b, BODY_BYTES), 'u', BODY_BYTES);
		b.len += BODY_BYTES;
		status = exchange(entry_addr(0, PORT_CALLERS), buf_lstr(&b),
				  &answer);
		buf_free(&answer);
		buf_free(&b);
		if (status == 200)
			return true;
		usleep(500 * 1000);
	}
	return false;
}

/* The crowd announces bodies and sends a byte of them now and then. */
static void test_bodies_that_do_not_come(void **state)
{
	system_start(
		&(struct system_options){.entries = 1, .memory_mb = MEMORY_MB});
	for (int i = 0; i < CROWD; i++) {
		struct buf b = {0};

		fds[i] = client_connect(entry_addr(0, PORT_CALLERS), false);
		write_upload(&b, ANNOUNCED_BYTES, PATIENCE_MS);
		send_all(fds[i], buf_lstr(&b), clock_ms() + ANSWER_MS);
		buf_free(&b);
	}
	for (int ms = 0; ms < STAY_MS; ms += TRICKLE_MS) {
		for (int i = 0; i < CROWD; i++)
			(void)!send(fds[i], "u", 1, MSG_NOSIGNAL);
		usleep(TRICKLE_MS * 1000);
	}
	if (!upload())
		fail_msg("an upload isn't answered; logs in %s", sys.dir);
	assert_true(call_once(0) > 0);
	check_memory("bodies");
	sys.passed = true;
}

/* Returns the id of a listed server, from the log of an instance. */
static char *server_id(void)
{
	char *path = g_build_filename(sys.dir, "e1.log", NULL);
	char *text = NULL, *id;
	const char *at;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	at = strstr(text, "last=harta-");
	assert_non_null(at);
	at += strlen("last=");
	id = g_strndup(at, strcspn(at, " "));
	g_free(text);
	g_free(path);
	return id;
}

/* Asks for a tunnel to a server, and for a long answer through it. */
static int open_tunnel(const char *id)
{
	int64_t until_ms = clock_ms() + ANSWER_MS;
	struct buf b = {0};
	int fd = client_connect(entry_addr(0, PORT_TUNNELS), true);

	buf_printf(&b,
		   "CONNECT %s HTTP/1.1\r\nHost: x\r\n"
		   "Tunnel-Id: %016x\r\nTunnel-From: crowd\r\n\r\n",
		   id, sys.requests);
	send_all(fd, buf_lstr(&b), until_ms);
	(void)wait_for(fd, POLLIN, until_ms);
	b.len = 0;
	write_request(&b, "harta", "/work/x");
	send_all(fd, buf_lstr(&b), until_ms);
	buf_free(&b);
	return fd;
}

static void test_answers_of_tunnels_not_read(void **state)
{
	char *id;

	system_start(
		&(struct system_options){.entries = 1, .memory_mb = MEMORY_MB});
	id = server_id();
	set_server_faults("body_kb=3800");
	for (int i = 0; i < TUNNELS; i++)
		fds[i] = open_tunnel(id);
	g_free(id);
	usleep(STAY_MS * 1000);
	set_server_faults("body_kb=0");
	if (!call_once(0))
		fail_msg("a request isn't answered; logs in %s", sys.dir);
	check_memory("tunnels");
	sys.passed = true;
}

/* Calls the own interface with a key of its own each time. */
static unsigned call_with_key(int i)
{
	struct buf b = {0}, answer = {0};
	unsigned status;

	buf_printf(&b,
		   "POST /v1/call/harta HTTP/1.1\r\nHost: calls\r\n"
		   "X-Request-Id: key-%d-%d\r\nX-Tenant: strada\r\n"
		   "X-Deadline-Ms: %d\r\nIdempotency-Key: k-%d-%d\r\n"
		   "Content-Length: 2\r\n\r\n{}",
		   (int)getpid(), i, ANSWER_MS, (int)getpid(), i);
	status = exchange(entry_addr(0, PORT_OWN), buf_lstr(&b), &answer);
	buf_free(&answer);
	buf_free(&b);
	return status;
}

static void test_answers_kept_for_repetitions(void **state)
{
	unsigned answered = 0;

	system_start(&(struct system_options){
		.entries = 1, .memory_mb = MEMORY_MB, .own_interface = true});
	set_server_faults("body_kb=3800");
	for (int i = 0; i < CALLS; i++)
		answered += call_with_key(i) == 200;
	if (answered < CALLS / 2)
		fail_msg("%u calls answered; logs in %s", answered, sys.dir);
	check_memory("keys");
	sys.passed = true;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_bodies_that_do_not_come, end),
		cmocka_unit_test_teardown(test_answers_of_tunnels_not_read,
					  end),
		cmocka_unit_test_teardown(test_answers_kept_for_repetitions,
					  end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
