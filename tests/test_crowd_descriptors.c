/*
 * Crowds of connections on one port of an instance with few descriptors:
 * ordinary requests, the other ports, sends to servers, the store and peers
 * work on, nothing spins, the shortage is logged, and the sockets stay within
 * the limit less the descriptors that are kept for files.
 */
#include "tests/crowd.h"

enum {
	DESCRIPTORS = 320,
	KEPT_FOR_FILES = 200,
	CROWD = 400, /* more than all descriptors */
	CALLS = 5,
	CPU_WINDOW_S = 2,
	EVENT_DESCRIPTORS_SHORT = 130,
};

/* What the connections of a crowd send. */
enum behaviour {
	SENDS_NOTHING,
	SENDS_HEAD_WITHOUT_END,
	ASKS_ONCE, /* a complete request; the connection stays open */
};

static const double CPU_MAX_S = 1; /* in the window; a loop would take all */

struct crowd {
	const char *name;
	enum crowd_port port;
	enum behaviour behaviour;
	const char *target; /* of its requests */
};

static int fds[CROWD];

/* Closes the crowd's connections; those of a failed test too. */
static int crowd_leave(void **state)
{
	for (int i = 0; i < CROWD; i++) {
		if (fds[i] > 0)
			close(fds[i]);
		fds[i] = 0;
	}
	return system_stop(state);
}

/* Opens a connection as soon as the peer's queue has room. */
static int join(const struct crowd *c)
{
	const char *addr = entry_addr(0, c->port);
	int fd = client_connect(addr, false);
	struct buf b = {0};

	if (fd < 0)
		return -1;
	if (!wait_for(fd, POLLOUT, clock_ms() + ANSWER_MS))
		return fd;
	if (c->behaviour != SENDS_NOTHING)
		buf_printf(&b,
			   "GET %s HTTP/1.1\r\nHost: x\r\nAttempt-Id: c\r\n",
			   c->target);
	if (c->behaviour == ASKS_ONCE)
		buf_printf(&b, "\r\n");
	(void)!send(fd, b.ptr, b.len, MSG_NOSIGNAL);
	buf_free(&b);
	return fd;
}

/* Adds a byte to the heads that have no end. */
static void trickle(const struct crowd *c)
{
	for (int i = 0; i < CROWD; i++) {
		if (c->behaviour == SENDS_HEAD_WITHOUT_END && fds[i] > 0)
			(void)!send(fds[i], "X", 1, MSG_NOSIGNAL);
	}
}

static void check(const struct crowd *c, bool ok, const char *what)
{
	if (!ok)
		fail_msg("%s: %s; logs in %s", c->name, what, sys.dir);
}

/* Checks that the instance doesn't spin, and counts its sockets meanwhile. */
static void check_usage(const struct crowd *c)
{
	double before_s = entry_cpu_s(0);
	unsigned sockets = 0;

	for (int i = 0; i < CPU_WINDOW_S * 4; i++) {
		sockets = MAX(sockets, entry_sockets(0));
		trickle(c);
		usleep(250 * 1000);
	}
	print_message("%s: %u sockets, %.2f s of processor time in %d s\n",
		      c->name, sockets, entry_cpu_s(0) - before_s,
		      CPU_WINDOW_S);
	check(c, entry_cpu_s(0) - before_s < CPU_MAX_S, "spins");
	check(c, sockets <= DESCRIPTORS - KEPT_FOR_FILES, "too many sockets");
}

/* Checks that each port answers, each request after a few attempts at most. */
static void check_ports(const struct crowd *c)
{
	static const struct {
		enum crowd_port port;
		const char *target;
	} ports[] = {
		{PORT_READY, "/readiness"},
		{PORT_DIRECTORY, "/resolution?name=x&region=r&zone=z"},
		{PORT_METRICS, "/metrics"},
		{PORT_OWN, "/v1/entries"},
		{PORT_PEERS, "/snapshot"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(ports); i++) {
		const char *addr = entry_addr(0, ports[i].port);
		unsigned status = 0;

		for (int k = 0; k < ATTEMPTS && status != 200; k++)
			status = get_status(addr, ports[i].target);
		check(c, status == 200, ports[i].target);
	}
}

static void run(const struct crowd *c)
{
	system_start(&(struct system_options){.entries = 2,
					      .descriptors = DESCRIPTORS});
	for (int i = 0; i < CROWD; i++)
		fds[i] = join(c);
	check_usage(c);
	for (int i = 0; i < CALLS; i++) {
		trickle(c);
		check(c, call_once(0), "a request isn't answered");
	}
	check_ports(c);
	/* The connection to the store has to be opened anew. */
	set_faults(CROWD_STORE_PROXY - 1, "reset=1");
	write_version();
	check(c, serves_newest(0), "a new version isn't in force");
	check(c, entry_events(0, EVENT_DESCRIPTORS_SHORT) > 0, "not logged");
	for (int i = 0; i < CROWD; i++) {
		close(fds[i]);
		fds[i] = 0;
	}
	check(c, call_once(0), "a request isn't answered afterwards");
	check(c, entry_lives(0), "has ended");
	sys.passed = true;
}

static void test_idle_at_callers(void **state)
{
	run(&(struct crowd){"callers, idle", PORT_CALLERS, SENDS_NOTHING, ""});
}

static void test_heads_at_callers(void **state)
{
	run(&(struct crowd){"callers, heads", PORT_CALLERS,
			    SENDS_HEAD_WITHOUT_END, "/work/x"});
}

static void test_kept_at_callers(void **state)
{
	run(&(struct crowd){"callers, kept", PORT_CALLERS, ASKS_ONCE, "/x"});
}

static void test_idle_at_readiness(void **state)
{
	run(&(struct crowd){"readiness", PORT_READY, SENDS_NOTHING, ""});
}

static void test_kept_at_directory(void **state)
{
	run(&(struct crowd){"directory", PORT_DIRECTORY, ASKS_ONCE,
			    "/resolution?name=x&region=r&zone=z"});
}

static void test_heads_at_metrics(void **state)
{
	run(&(struct crowd){"metrics", PORT_METRICS, SENDS_HEAD_WITHOUT_END,
			    "/metrics"});
}

static void test_idle_at_peers(void **state)
{
	run(&(struct crowd){"peers", PORT_PEERS, SENDS_NOTHING, ""});
}

static void test_heads_at_tunnels(void **state)
{
	run(&(struct crowd){"tunnels", PORT_TUNNELS, SENDS_HEAD_WITHOUT_END,
			    "/x"});
}

static void test_idle_at_own(void **state)
{
	run(&(struct crowd){"own", PORT_OWN, SENDS_NOTHING, ""});
}

#define CROWD_TEST(f) cmocka_unit_test_teardown(f, crowd_leave)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CROWD_TEST(test_idle_at_callers),
		CROWD_TEST(test_heads_at_callers),
		CROWD_TEST(test_kept_at_callers),
		CROWD_TEST(test_idle_at_readiness),
		CROWD_TEST(test_kept_at_directory),
		CROWD_TEST(test_heads_at_metrics),
		CROWD_TEST(test_idle_at_peers),
		CROWD_TEST(test_heads_at_tunnels),
		CROWD_TEST(test_idle_at_own),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
