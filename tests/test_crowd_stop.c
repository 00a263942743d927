/*
 * SIGTERM in the midst of a crowd: an instance ends in order and in its grace
 * time, while clients don't read, send heads without end, or keep connecting.
 */
#include "tests/crowd.h"

enum {
	MEMORY_MB = 64,
	CROWD = 64,
	GRACE_S = 6, /* as in a local deployment */
	MARGIN_S = 6,
	FLOOD_S = 30, /* longer than the stop may take */
	FLOODERS = 4,
};

static int fds[CROWD];
static pid_t flooders[FLOODERS];

static int end(void **state)
{
	for (int i = 0; i < FLOODERS; i++) {
		if (flooders[i] > 0) {
			kill(flooders[i], SIGKILL);
			waitpid(flooders[i], NULL, 0);
		}
		flooders[i] = 0;
	}
	for (int i = 0; i < CROWD; i++) {
		if (fds[i] > 0)
			close(fds[i]);
		fds[i] = 0;
	}
	return system_stop(state);
}

/* Connects and closes at once, over and over, until the port is closed. */
static void flood(void)
{
	int64_t until_ms = clock_ms() + FLOOD_S * 1000;

	while (clock_ms() < until_ms) {
		int fd = client_connect(entry_addr(0, PORT_CALLERS), false);

		if (fd >= 0)
			close(fd);
	}
	_exit(0);
}

/* Sends SIGTERM, and fails if the instance doesn't end in order in time. */
static void check_stop(const char *name)
{
	int64_t until_ms = clock_ms() + (GRACE_S + MARGIN_S) * 1000;
	int status = 0;

	kill(sys.entries[0], SIGTERM);
	while (waitpid(sys.entries[0], &status, WNOHANG) == 0) {
		if (clock_ms() > until_ms)
			fail_msg("%s: the instance doesn't end; logs in %s",
				 name, sys.dir);
		usleep(50 * 1000);
	}
	if (!WIFEXITED(status) || WEXITSTATUS(status))
		fail_msg("%s: status %d; logs in %s", name, status, sys.dir);
	sys.passed = true;
}

static void test_stop_while_clients_do_not_read(void **state)
{
	system_start(
		&(struct system_options){.entries = 1, .memory_mb = MEMORY_MB});
	set_server_faults("body_kb=3800");
	for (int i = 0; i < CROWD; i++) {
		struct buf b = {0};

		fds[i] = client_connect(entry_addr(0, PORT_CALLERS), true);
		write_request(&b, "harta", "/work/x");
		/* Every other head has no end. */
		if (i % 2)
			b.len -= 2;
		send_all(fds[i], buf_lstr(&b), clock_ms() + ANSWER_MS);
		buf_free(&b);
	}
	check_stop("not read");
}

static void test_stop_while_clients_keep_connecting(void **state)
{
	system_start(&(struct system_options){.entries = 1});
	for (int i = 0; i < FLOODERS; i++) {
		flooders[i] = fork();
		if (flooders[i] == 0)
			flood();
	}
	usleep(500 * 1000);
	check_stop("keep connecting");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_stop_while_clients_do_not_read,
					  end),
		cmocka_unit_test_teardown(
			test_stop_while_clients_keep_connecting, end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
