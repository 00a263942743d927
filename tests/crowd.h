/*
 * A system of separate processes on loopback, and crowds of connections to one
 * of its ports: the store behind a proxy, two servers, and one or two instances
 * with lowered limits. Everything is started and ended here, by pid.
 */
#ifndef MP_TESTS_CROWD_H
#define MP_TESTS_CROWD_H

#include "tests/unit.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "http/message.h"
#include "http/socket.h"
#include "misc/clock.h"

enum {
	CROWD_BASE = 15700, /* the store; proxy and servers follow */
	CROWD_STORE_PROXY = CROWD_BASE + 2,
	CROWD_SERVERS = CROWD_BASE + 50,
	CROWD_ENTRY = CROWD_BASE + 10,
	SERVERS = 2,
	ENTRIES_MAX = 2,
	WAIT_MS = 20 * 1000,   /* for a process to be ready, or to end */
	ANSWER_MS = 3000,      /* for one answer */
	ATTEMPTS = 3,	       /* of a request, as callers make them */
	RECEIVE_BUFFER = 4096, /* of a client that reads slowly */
	CLOCK_TICKS = 100,     /* a second, in /proc */
};

/* Ports of an instance, as offsets from its own interface. */
enum crowd_port {
	PORT_OWN = 0,
	PORT_CALLERS = 1000,
	PORT_READY = 2000,
	PORT_DIRECTORY = 3000,
	PORT_METRICS = 4000,
	PORT_PEERS = 5000,
	PORT_TUNNELS = 6000,
};

struct system_options {
	int entries;
	int memory_mb;	 /* of each instance; 0: unknown */
	int descriptors; /* limit of each instance; 0: as here */
	bool cut_off;	 /* the first instance reaches no server itself */
	/* Of protected calls on the own interface, in place of the platform. */
	bool own_interface;
};

struct system {
	char dir[64];
	struct system_options options;
	GArray *pids;		    /* of all processes */
	pid_t entries[ENTRIES_MAX]; /* of the instances */
	unsigned version;	    /* of the configuration */
	unsigned requests;
	bool passed; /* the logs aren't needed */
};

static struct system sys;

static inline const char *entry_host(int i)
{
	return i ? "127.0.0.72" : "127.0.0.71";
}

/* Formats the address of a port of an instance. */
static inline const char *entry_addr(int i, enum crowd_port port)
{
	static char addr[32];

	g_snprintf(addr, sizeof(addr), "%s:%d", entry_host(i),
		   CROWD_ENTRY + (int)port);
	return addr;
}

static inline void write_deployment(void)
{
	const struct system_options *o = &sys.options;
	char *path = g_build_filename(sys.dir, "deployment.ini", NULL);
	struct buf b = {0};

	buf_printf(&b,
		   "[platform]\nlisten = 127.0.0.1:%d\n"
		   "append_limit_per_s = 1000\nmember_ttl_ms = 3000\n"
		   "[entry]\nplatform = 127.0.0.1:%d\nmemory_mb = %d\n"
		   "[service.harta]\ntenant = strada\nworkers = %d\n"
		   "slots = 8\nbase_port = %d\nwork_ms = 2\nprotected = %s\n",
		   CROWD_BASE, CROWD_STORE_PROXY, o->memory_mb, SERVERS,
		   CROWD_SERVERS, o->own_interface ? "true" : "false");
	for (int i = 0; i < o->entries; i++)
		buf_printf(&b,
			   "[entry.e%d]\nlisten = %s\ndc = hala-cluj\n"
			   "server_host = %s\n",
			   i + 1, entry_addr(i, PORT_OWN),
			   o->cut_off && !i ? "127.0.0.79" : "");
	assert_true(g_file_set_contents(path, b.ptr, (gssize)b.len, NULL));
	buf_free(&b);
	g_free(path);
}

/* Runs in the child: the role's output goes to its log. */
static inline void exec_role(char **words, const char *log, int descriptors)
{
	struct rlimit files = {(rlim_t)descriptors, (rlim_t)descriptors};
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	for (fd = STDERR_FILENO + 1; fd < 1024; fd++)
		close(fd);
	if (descriptors && setrlimit(RLIMIT_NOFILE, &files))
		_exit(1);
	execv("target/mimosapitch", words);
	_exit(1);
}

/* Starts a role with more words of its command line. */
static inline pid_t start_role(const char *words, const char *log,
			       int descriptors)
{
	char *ini = g_build_filename(sys.dir, "deployment.ini", NULL);
	char *path = g_build_filename(sys.dir, log, NULL);
	char *line =
		g_strdup_printf("mimosapitch %s --deployment %s", words, ini);
	char **argv = g_strsplit(line, " ", -1);
	pid_t pid = fork();

	if (pid == 0)
		exec_role(argv, path, descriptors);
	assert_true(pid > 0);
	g_strfreev(argv);
	g_free(line);
	g_free(path);
	g_free(ini);
	return pid;
}

static inline pid_t start_kept(const char *words, const char *log,
			       int descriptors)
{
	pid_t pid = start_role(words, log, descriptors);

	g_array_append_val(sys.pids, pid);
	return pid;
}

/* Opens a connection; a small receive buffer leaves the bytes to the peer. */
static inline int client_connect(const char *addr, bool small_buffer)
{
	struct sockaddr_in sa;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int bytes = RECEIVE_BUFFER;

	if (fd < 0 || socket_parse_addr(addr, &sa))
		fail_msg("no socket for %s: %s", addr, strerror(errno));
	if (small_buffer)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	fcntl(fd, F_SETFL, O_NONBLOCK);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Writes a request of the platform's protocol. */
static inline void write_request(struct buf *out, const char *host,
				 const char *path)
{
	buf_printf(out,
		   "GET %s HTTP/1.1\r\nHost: %s.example\r\n"
		   "Attempt-Id: crowd-%d-%u\r\n"
		   "Deadline-Remaining-Ms: %d\r\n\r\n",
		   path, host, (int)getpid(), sys.requests++, ANSWER_MS);
}

static inline bool wait_for(int fd, short events, int64_t until_ms)
{
	struct pollfd p = {.fd = fd, .events = events};
	int64_t left_ms = until_ms - clock_ms();

	return left_ms > 0 && poll(&p, 1, (int)left_ms) == 1;
}

/* Sends all bytes as far as the peer takes them in time. */
static inline void send_all(int fd, struct lstr bytes, int64_t until_ms)
{
	while (bytes.len && wait_for(fd, POLLOUT, until_ms)) {
		ssize_t n = send(fd, bytes.ptr, bytes.len, MSG_NOSIGNAL);

		if (n < 0)
			return;
		bytes.ptr += n;
		bytes.len -= (size_t)n;
	}
}

/* Returns the status of a complete answer to a request; 0: none. */
static inline unsigned exchange(const char *addr, struct lstr request,
				struct buf *body)
{
	int64_t until_ms = clock_ms() + ANSWER_MS;
	struct http_limits none = {0, 0};
	int fd = client_connect(addr, false);
	struct http_reader r;
	unsigned status = 0;
	char chunk[65536];
	ssize_t n;

	if (fd < 0)
		return 0;
	http_reader_init(&r, HTTP_RESPONSE, none);
	send_all(fd, request, until_ms);
	while (!status && wait_for(fd, POLLIN, until_ms)) {
		n = recv(fd, chunk, sizeof(chunk), 0);
		if (n <= 0 || http_reader_feed(&r, chunk, (size_t)n) < 0)
			break;
		if (r.msg->done) {
			status = r.msg->status;
			buf_add_lstr(body, buf_lstr(&r.msg->body));
		}
	}
	http_reader_free(&r);
	close(fd);
	return status;
}

/* Returns the status of GET without a body; 0: no answer. */
static inline unsigned get_status(const char *addr, const char *target)
{
	struct buf b = {0}, body = {0};
	unsigned status;

	buf_printf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, addr);
	status = exchange(addr, buf_lstr(&b), &body);
	buf_free(&body);
	buf_free(&b);
	return status;
}

static inline bool is_ready(int entry)
{
	return get_status(entry_addr(entry, PORT_READY), "/readiness") == 200;
}

/*
 * Makes an ordinary request, again a few times if it isn't answered, as callers
 * do. Returns the length of the complete body of its answer; 0: none.
 */
static inline size_t call_path(int entry, const char *host, const char *path)
{
	for (int i = 0; i < ATTEMPTS; i++) {
		struct buf b = {0}, body = {0};
		size_t len;

		write_request(&b, host, path);
		if (exchange(entry_addr(entry, PORT_CALLERS), buf_lstr(&b),
			     &body) != 200)
			body.len = 0;
		len = body.len;
		buf_free(&body);
		buf_free(&b);
		if (len)
			return len;
		usleep(500 * 1000);
	}
	return 0;
}

static inline size_t call_once(int entry)
{
	return call_path(entry, "harta", "/work/x");
}

/* Writes a new version of the configuration. */
static inline void write_version(void)
{
	char *words =
		g_strdup_printf("operator --version %u", sys.version += 5);
	pid_t pid = start_role(words, "operator.log", 0);
	int status;

	waitpid(pid, &status, 0);
	assert_int_equal(status, 0);
	g_free(words);
}

/* Returns whether a route that only the newest version has is served. */
static inline bool serves_newest(int entry)
{
	int64_t until_ms = clock_ms() + WAIT_MS;
	char path[32];

	g_snprintf(path, sizeof(path), "/v%u/x", sys.version);
	while (clock_ms() < until_ms) {
		if (call_path(entry, "newest", path))
			return true;
	}
	return false;
}

/* Sets faults of a stand-in. */
static inline void set_faults(int port, const char *query)
{
	char *addr = g_strdup_printf("127.0.0.1:%d", port);
	struct buf b = {0}, body = {0};

	buf_printf(&b,
		   "POST /stand/faults?%s HTTP/1.1\r\nHost: x\r\n"
		   "Content-Length: 0\r\n\r\n",
		   query);
	assert_int_equal(exchange(addr, buf_lstr(&b), &body), 200);
	buf_free(&body);
	buf_free(&b);
	g_free(addr);
}

static inline void set_server_faults(const char *query)
{
	for (int i = 0; i < SERVERS; i++)
		set_faults(CROWD_SERVERS + i, query);
}

/* Waits until a check holds. */
static inline void await(bool (*check)(int entry), int entry, const char *what)
{
	int64_t until_ms = clock_ms() + WAIT_MS;

	while (!check(entry)) {
		if (clock_ms() > until_ms)
			fail_msg("instance %d isn't %s; logs in %s", entry,
				 what, sys.dir);
		usleep(100 * 1000);
	}
}

static inline bool is_serving(int entry)
{
	return call_once(entry) > 0;
}

/* Starts an instance, which isn't ready yet when this returns. */
static inline void entry_start(int i)
{
	char *words = g_strdup_printf(
		"entry --name e%d%s", i + 1,
		sys.options.own_interface ? "" : " --from-operator");
	char *log = g_strdup_printf("e%d.log", i + 1);

	sys.entries[i] = start_kept(words, log, sys.options.descriptors);
	g_free(log);
	g_free(words);
}

/* Ends an instance without a warning. */
static inline void entry_kill(int i)
{
	for (guint k = 0; k < sys.pids->len; k++) {
		if (g_array_index(sys.pids, pid_t, k) != sys.entries[i])
			continue;
		g_array_remove_index(sys.pids, k);
		break;
	}
	kill(sys.entries[i], SIGKILL);
	waitpid(sys.entries[i], NULL, 0);
}

static inline void system_start(const struct system_options *o)
{
	sys = (struct system){.options = *o, .version = 5};
	g_strlcpy(sys.dir, "/tmp/mp-crowd-XXXXXX", sizeof(sys.dir));
	assert_non_null(g_mkdtemp(sys.dir));
	sys.pids = g_array_new(FALSE, FALSE, sizeof(pid_t));
	write_deployment();
	start_kept("store", "store.log", 0);
	start_kept("proxy", "proxy.log", 0);
	usleep(300 * 1000);
	for (int i = 0; i < SERVERS; i++) {
		char *words = g_strdup_printf(
			"backend --service harta --index %d --seed 5", i);

		start_kept(words, "servers.log", 0);
		g_free(words);
	}
	write_version();
	for (int i = o->entries - 1; i >= 0; i--) {
		entry_start(i);
		await(is_ready, i, "ready");
	}
	for (int i = 0; i < o->entries && !o->own_interface; i++)
		await(is_serving, i, "serving");
}

static inline void remove_logs(void)
{
	GDir *d = g_dir_open(sys.dir, 0, NULL);

	for (const char *name; d && (name = g_dir_read_name(d));) {
		char *path = g_build_filename(sys.dir, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (d)
		g_dir_close(d);
	g_rmdir(sys.dir);
}

/* Ends all processes; those of a failed test too, whose logs stay. */
static inline int system_stop(void **state)
{
	for (guint i = 0; sys.pids && i < sys.pids->len; i++)
		kill(g_array_index(sys.pids, pid_t, i), SIGKILL);
	for (guint i = 0; sys.pids && i < sys.pids->len; i++)
		waitpid(g_array_index(sys.pids, pid_t, i), NULL, 0);
	if (sys.pids)
		g_array_unref(sys.pids);
	sys.pids = NULL;
	if (sys.passed)
		remove_logs();
	return 0;
}

#include "tests/crowd_usage.h"

#endif
