/*
 * Clients that don't take their answers, against whole instances with little
 * memory: the process lives and stays within its machine's memory, and an
 * ordinary request is answered completely in the midst and afterwards.
 */
#include "tests/crowd.h"

enum {
	MEMORY_MB = 64,
	CROWD = 64,
	ANSWER_KB = 3800, /* of the 4,000 that one answer may have here */
	IN_A_ROW = 20,
	FLOOD_BYTES = 400 * 1000, /* of requests that follow the first */
	STAY_MS = 4000,
	SLOW_STEP_MS = 100,
	SLOW_STEP_BYTES = 1000, /* about 10 KB a second */
};

static int fds[CROWD];

struct crowd {
	const char *name;
	const char *faults; /* of the servers */
	bool cut_off;	    /* the answers come through a tunnel */
	bool slow;	    /* takes some bytes at times, else none */
	int in_a_row;	    /* requests of each client */
	size_t flood;	    /* bytes of requests behind these */
};

/* Sends the requests of one client, and waits for the begin of an answer. */
static int join(const struct crowd *c)
{
	int fd = client_connect(entry_addr(0, PORT_CALLERS), true);
	int64_t until_ms = clock_ms() + ANSWER_MS;
	struct buf b = {0};

	if (fd < 0)
		return -1;
	for (int i = 0; i < c->in_a_row; i++)
		write_request(&b, "harta", "/work/x");
	send_all(fd, buf_lstr(&b), until_ms);
	while (b.len < c->flood)
		write_request(&b, "harta", "/work/x");
	if (c->flood)
		(void)!send(fd, b.ptr, b.len, MSG_NOSIGNAL);
	buf_free(&b);
	(void)wait_for(fd, POLLIN, until_ms);
	return fd;
}

/* Stays for a while; slow clients read meanwhile. */
static void stay(const struct crowd *c, int ms)
{
	int64_t until_ms = clock_ms() + ms;
	char bytes[SLOW_STEP_BYTES];

	while (clock_ms() < until_ms) {
		for (int i = 0; c->slow && i < CROWD; i++)
			(void)!recv(fds[i], bytes, sizeof(bytes), 0);
		usleep(SLOW_STEP_MS * 1000);
	}
}

static void check_memory(const struct crowd *c)
{
	for (int i = 0; i < sys.options.entries; i++) {
		if (!entry_lives(i))
			fail_msg("%s: instance %d has ended; logs in %s",
				 c->name, i, sys.dir);
		print_message("%s: instance %d took %zu bytes at most\n",
			      c->name, i, entry_peak_memory(i));
		if (entry_peak_memory(i) >= (size_t)MEMORY_MB * 1000 * 1000)
			fail_msg("%s: instance %d took %zu bytes; logs in %s",
				 c->name, i, entry_peak_memory(i), sys.dir);
	}
}

/* Makes one ordinary request, whose answer is as long as those of the crowd. */
static void check_answer(const struct crowd *c, const char *when)
{
	size_t len = call_once(0);

	if (len <= ANSWER_KB * 1000)
		fail_msg("%s: %zu bytes answered %s; logs in %s", c->name, len,
			 when, sys.dir);
}

static void crowd_leave(void)
{
	for (int i = 0; i < CROWD; i++) {
		if (fds[i] > 0)
			close(fds[i]);
		fds[i] = 0;
	}
}

/* Ends the crowd and the system; those of a failed test too. */
static int end(void **state)
{
	crowd_leave();
	return system_stop(state);
}

static void run(const struct crowd *c)
{
	system_start(&(struct system_options){.entries = c->cut_off ? 2 : 1,
					      .memory_mb = MEMORY_MB,
					      .cut_off = c->cut_off});
	set_server_faults(c->faults);
	for (int i = 0; i < CROWD; i++)
		fds[i] = join(c);
	stay(c, STAY_MS);
	check_answer(c, "in the midst");
	check_memory(c);
	crowd_leave();
	check_answer(c, "afterwards");
	check_memory(c);
	sys.passed = true;
}

#define BODIES "body_kb=3800"

static void test_answers_not_read(void **state)
{
	run(&(struct crowd){
		.name = "not read", .faults = BODIES, .in_a_row = 1});
}

static void test_answers_read_slowly(void **state)
{
	run(&(struct crowd){.name = "read slowly",
			    .faults = BODIES,
			    .slow = true,
			    .in_a_row = 1});
}

static void test_answers_in_a_row_not_read(void **state)
{
	run(&(struct crowd){
		.name = "in a row", .faults = BODIES, .in_a_row = IN_A_ROW});
}

static void test_answers_in_chunks_not_read(void **state)
{
	run(&(struct crowd){.name = "in chunks",
			    .faults = BODIES "&chunked=1",
			    .in_a_row = IN_A_ROW});
}

static void test_answers_through_a_tunnel_not_read(void **state)
{
	run(&(struct crowd){.name = "through a tunnel",
			    .faults = BODIES,
			    .cut_off = true,
			    .in_a_row = IN_A_ROW});
}

static void test_requests_without_end_behind_answers(void **state)
{
	run(&(struct crowd){.name = "flood of requests",
			    .faults = BODIES,
			    .in_a_row = 1,
			    .flood = FLOOD_BYTES});
}

#define CROWD_TEST(f) cmocka_unit_test_teardown(f, end)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CROWD_TEST(test_answers_not_read),
		CROWD_TEST(test_answers_read_slowly),
		CROWD_TEST(test_answers_in_a_row_not_read),
		CROWD_TEST(test_answers_in_chunks_not_read),
		CROWD_TEST(test_answers_through_a_tunnel_not_read),
		CROWD_TEST(test_requests_without_end_behind_answers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
