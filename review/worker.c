/*
 * Stand-in backend server for the cases of the review: HTTP/1.1 with a thread
 * for each connection, independent of the project's code. It answers probes and
 * runs every other request that names it. The names of the headers are read
 * from a file of NAME=HEADER lines.
 *
 *   worker WIRE_FILE IP PORT ID [OPTION=VALUE ...]
 *
 *   load=0       the server doesn't report its load
 *   work_ms=N    how long a request runs
 *   halves_ms=N  answers have no length and end with their connection; the
 *                second half of the body follows the first after this time
 *   pids=FILE    pids of the instances, one a line, to name them in the log
 *   cut=FILE     resets connections from the N-th of them while the file holds N
 *
 * After SIGUSR1 the server is leaving: probes get 503, and answers end their
 * connection.
 *
 * Prints a line for each request that it begins to run: the time in ms since
 * the epoch, "run", the id of the attempt, the method, the target, the length
 * of the body and the number of the instance; and one when the answer is out.
 */
#include <arpa/inet.h>
#include <dirent.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
	HEAD_MAX = 32 * 1024,
	HALF_BYTES = 1000, /* of an answer's body */
	NAMES_MAX = 16,
	NAME_MAX_BYTES = 64,
	INSTANCES_MAX = 16,
	BACKLOG = 128,
	VALUE_MAX_BYTES = 256,
	PATH_BYTES = 300,
	IDLE_S = 2, /* idle connections are closed */
};

struct wire_name {
	char key[NAME_MAX_BYTES], header[NAME_MAX_BYTES];
};

static struct wire_name names[NAMES_MAX];
static unsigned nnames;
static const char *server_id, *pids_file = "", *cut_file = "";
static bool reports_load = true;
static long work_ms, halves_ms;
static uint16_t own_port;
static uint32_t own_ip; /* network byte order */
static volatile sig_atomic_t leaving;

/* A connection and the head of the request that is being read. */
struct peer {
	int fd;
	unsigned instance; /* 0: unknown */
	char head[HEAD_MAX + 1];
	size_t len; /* bytes read, of the head and beyond */
};

static long long now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void sleep_ms(long ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	nanosleep(&ts, NULL);
}

/* Returns the header that a key of the file stands for. */
static const char *wire(const char *key)
{
	for (unsigned i = 0; i < nnames; i++) {
		if (!strcmp(names[i].key, key))
			return names[i].header;
	}
	fprintf(stderr, "worker: no name for %s\n", key);
	exit(2);
}

static void read_names(const char *path)
{
	FILE *f = fopen(path, "r");
	char line[2 * NAME_MAX_BYTES];

	if (!f) {
		perror(path);
		exit(2);
	}
	while (nnames < NAMES_MAX && fgets(line, sizeof(line), f)) {
		struct wire_name *n = &names[nnames];
		char *eq = strchr(line, '=');

		if (!eq)
			continue;
		*eq = '\0';
		snprintf(n->key, sizeof(n->key), "%.60s", line);
		snprintf(n->header, sizeof(n->header), "%.60s", eq + 1);
		n->header[strcspn(n->header, "\r\n")] = '\0';
		nnames++;
	}
	fclose(f);
}

/*
 * Returns the inode of the socket that connected to us from this address, or 0.
 * The kernel is asked for this one socket, as the list of all of them is long
 * on a busy machine.
 */
static unsigned long peer_inode(const struct sockaddr_in *from)
{
	struct {
		struct nlmsghdr head;
		struct inet_diag_req_v2 body;
	} ask = {
		.head = {.nlmsg_len = sizeof(ask),
			 .nlmsg_type = SOCK_DIAG_BY_FAMILY,
			 .nlmsg_flags = NLM_F_REQUEST},
		.body = {.sdiag_family = AF_INET,
			 .sdiag_protocol = IPPROTO_TCP,
			 .idiag_states = ~0U},
	};
	struct {
		struct nlmsghdr head;
		struct inet_diag_msg body;
		char rest[1024];
	} answer = {0};
	int fd = socket(AF_NETLINK, SOCK_DGRAM, NETLINK_SOCK_DIAG);
	ssize_t n;

	ask.body.id.idiag_sport = from->sin_port;
	ask.body.id.idiag_src[0] = from->sin_addr.s_addr;
	ask.body.id.idiag_dport = htons(own_port);
	ask.body.id.idiag_dst[0] = own_ip;
	ask.body.id.idiag_cookie[0] = ~0U;
	ask.body.id.idiag_cookie[1] = ~0U;
	n = send(fd, &ask, sizeof(ask), 0);
	if (n > 0)
		n = recv(fd, &answer, sizeof(answer), 0);
	close(fd);
	if (n < (ssize_t)(sizeof(answer.head) + sizeof(answer.body)) ||
	    answer.head.nlmsg_type != SOCK_DIAG_BY_FAMILY)
		return 0;
	return answer.body.idiag_inode;
}

/* The same from the list of all sockets, if the kernel isn't to be asked. */
static unsigned long listed_inode(const struct sockaddr_in *from)
{
	FILE *f = fopen("/proc/net/tcp", "r");
	unsigned long inode, found = 0;
	char line[512], ends[64], wanted[64];

	snprintf(wanted, sizeof(wanted), "%08X:%04X %08X:%04X",
		 from->sin_addr.s_addr, ntohs(from->sin_port), own_ip,
		 own_port);
	while (f && !found && fgets(line, sizeof(line), f)) {
		/* NOLINTNEXTLINE(cert-err34-c): the count is checked */
		if (sscanf(line,
			   " %*s %27[0-9A-F: ] %*s %*s %*s %*s %*s %*s %lu",
			   ends, &inode) == 2 &&
		    !strncmp(ends, wanted, strlen(wanted)))
			found = inode;
	}
	if (f)
		fclose(f);
	return found;
}

/* Returns whether a process has the socket with this inode. */
static bool has_socket(long pid, unsigned long inode)
{
	char path[PATH_BYTES], link[64], wanted[64];
	const struct dirent *e;
	bool found = false;
	DIR *d;

	snprintf(wanted, sizeof(wanted), "socket:[%lu]", inode);
	snprintf(path, sizeof(path), "/proc/%ld/fd", pid);
	d = opendir(path);
	while (d && !found && (e = readdir(d))) {
		ssize_t n;

		snprintf(path, sizeof(path), "/proc/%ld/fd/%.20s", pid,
			 e->d_name);
		n = readlink(path, link, sizeof(link) - 1);
		if (n <= 0)
			continue;
		link[n] = '\0';
		found = !strcmp(link, wanted);
	}
	if (d)
		closedir(d);
	return found;
}

/* Returns the number of the instance that connected from here, from 1. */
static unsigned find_instance(const struct sockaddr_in *from)
{
	unsigned long inode = 0;
	unsigned n = 0, found = 0;
	char line[32];
	FILE *f;

	if (*pids_file)
		inode = peer_inode(from);
	if (*pids_file && !inode)
		inode = listed_inode(from);
	f = inode ? fopen(pids_file, "r") : NULL;
	while (f && !found && n < INSTANCES_MAX &&
	       fgets(line, sizeof(line), f)) {
		n++;
		if (has_socket(strtol(line, NULL, 10), inode))
			found = n;
	}
	if (f)
		fclose(f);
	return found;
}

/* Copies the value of a header of the request; "" if it has none. */
static void find_header(const struct peer *p, const char *name, char *out)
{
	size_t n = strlen(name);

	*out = '\0';
	for (const char *l = strstr(p->head, "\r\n"); l;
	     l = strstr(l + 2, "\r\n")) {
		const char *v = l + 2 + n;

		if (strncasecmp(l + 2, name, n) || *v != ':')
			continue;
		v += 1 + strspn(v + 1, " ");
		snprintf(out, VALUE_MAX_BYTES, "%.*s", (int)strcspn(v, "\r"),
			 v);
		return;
	}
}

/* Sends all of a string; returns false if the peer is gone. */
static bool send_all(struct peer *p, const char *s, size_t n)
{
	while (n) {
		ssize_t sent = send(p->fd, s, n, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		s += sent;
		n -= (size_t)sent;
	}
	return true;
}

/* Reads a head; returns its length, or 0 if the connection has ended. */
static size_t read_head(struct peer *p)
{
	const char *end;

	p->head[p->len] = '\0';
	while (!(end = strstr(p->head, "\r\n\r\n"))) {
		ssize_t n;

		if (p->len == HEAD_MAX)
			return 0;
		n = recv(p->fd, p->head + p->len, HEAD_MAX - p->len, 0);
		if (n <= 0)
			return 0;
		p->len += (size_t)n;
		p->head[p->len] = '\0';
	}
	return (size_t)(end + 4 - p->head);
}

/* Drops the head and its body; returns false if the body doesn't come. */
static bool skip_request(struct peer *p, size_t head, size_t body)
{
	size_t have = p->len - head;
	char chunk[4096];

	if (have >= body) {
		p->len = have - body;
		memmove(p->head, p->head + head + body, p->len);
		return true;
	}
	p->len = 0;
	for (size_t left = body - have; left;) {
		size_t want = left < sizeof(chunk) ? left : sizeof(chunk);
		ssize_t n = recv(p->fd, chunk, want, 0);

		if (n <= 0)
			return false;
		left -= (size_t)n;
	}
	return true;
}

/* Answers a probe. */
static bool answer_probe(struct peer *p)
{
	char text[512], load[128] = "";

	if (reports_load)
		snprintf(load, sizeof(load), "%s: 0,0,8\r\n", wire("load"));
	snprintf(text, sizeof(text),
		 "HTTP/1.1 %s\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n",
		 leaving ? "503 Leaving" : "200 OK", wire("instance"),
		 server_id, load);
	return send_all(p, text, strlen(text));
}

/* Answers a request that another process should run. */
static bool answer_misdirected(struct peer *p)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 421 Misdirected\r\n%s: 1\r\n"
		 "Content-Length: 0\r\n\r\n",
		 wire("not_run"));
	return send_all(p, text, strlen(text));
}

/* Answers a request that has run; false if the connection ends with it. */
static bool answer_run(struct peer *p, const char *attempt)
{
	char text[1024], half[HALF_BYTES], framing[64], load[128] = "";
	bool ok;

	if (reports_load)
		snprintf(load, sizeof(load), "%s: 0,0,8\r\n", wire("load"));
	if (halves_ms)
		snprintf(framing, sizeof(framing), "Connection: close");
	else
		snprintf(framing, sizeof(framing), "Content-Length: %d%s",
			 2 * HALF_BYTES,
			 leaving ? "\r\nConnection: close" : "");
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: r.%s\r\n%s%s\r\n\r\n",
		 wire("attempt"), attempt, wire("seal"), server_id, load,
		 framing);
	memset(half, 'a', sizeof(half));
	ok = send_all(p, text, strlen(text)) && send_all(p, half, sizeof(half));
	if (halves_ms)
		sleep_ms(halves_ms);
	memset(half, 'b', sizeof(half));
	return ok && send_all(p, half, sizeof(half)) && !halves_ms && !leaving;
}

/* Runs a request; returns false if the connection ends. */
static bool run(struct peer *p, size_t head, size_t body)
{
	char target[VALUE_MAX_BYTES], attempt[VALUE_MAX_BYTES];
	char line[VALUE_MAX_BYTES];
	size_t method;
	bool more;

	find_header(p, wire("target"), target);
	find_header(p, wire("attempt"), attempt);
	/* "METHOD TARGET" of the request line. */
	method = strcspn(p->head, " ");
	snprintf(line, sizeof(line), "%.*s",
		 (int)(method + 1 + strcspn(p->head + method + 1, " ")),
		 p->head);
	if (!skip_request(p, head, body))
		return false;
	if (strcmp(target, server_id) != 0)
		return answer_misdirected(p);
	printf("%lld run %s %s %zu from %u\n", now_ms(), attempt, line, body,
	       p->instance);
	sleep_ms(work_ms);
	more = answer_run(p, attempt);
	printf("%lld answered %s from %u\n", now_ms(), attempt, p->instance);
	return more;
}

/* Returns whether the connection's instance is cut off now. */
static bool is_cut(const struct peer *p)
{
	FILE *f = *cut_file ? fopen(cut_file, "r") : NULL;
	char line[32] = "";
	bool cut;

	if (f && !fgets(line, sizeof(line), f))
		line[0] = '\0';
	cut = p->instance && strtoul(line, NULL, 10) == p->instance;
	if (f)
		fclose(f);
	return cut;
}

/* Closes the connection with a reset if its instance is cut off. */
static bool reset_if_cut(struct peer *p)
{
	struct linger reset = {1, 0};

	if (!is_cut(p))
		return false;
	setsockopt(p->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	return true;
}

/* Serves the requests of a connection. */
static void *serve(void *arg)
{
	struct peer *p = arg;
	struct timeval idle = {IDLE_S, 0};
	bool more = !reset_if_cut(p);
	size_t head;

	setsockopt(p->fd, SOL_SOCKET, SO_RCVTIMEO, &idle, sizeof(idle));
	while (more && (head = read_head(p)) && !reset_if_cut(p)) {
		char length[VALUE_MAX_BYTES];

		find_header(p, "Content-Length", length);
		if (!strncmp(p->head, "GET /health ", 12))
			more = skip_request(p, head, 0) && answer_probe(p);
		else
			more = run(p, head, strtoul(length, NULL, 10));
	}
	close(p->fd);
	free(p);
	return NULL;
}

/* Accepts connections for ever. */
static void accept_all(int fd)
{
	for (;;) {
		struct sockaddr_in sa = {0};
		socklen_t n = sizeof(sa);
		struct peer *p = calloc(1, sizeof(*p));
		pthread_t thread;

		if (!p)
			exit(2);
		p->fd = accept(fd, (struct sockaddr *)&sa, &n);
		if (p->fd < 0) {
			free(p);
			continue;
		}
		p->instance = find_instance(&sa);
		if (pthread_create(&thread, NULL, serve, p))
			exit(2);
		pthread_detach(thread);
	}
}

static void read_option(const char *text)
{
	const char *value = strchr(text, '=');
	long n;

	if (!value)
		exit(2);
	n = strtol(value + 1, NULL, 10);
	if (!strncmp(text, "load=", 5))
		reports_load = n != 0;
	else if (!strncmp(text, "work_ms=", 8))
		work_ms = n;
	else if (!strncmp(text, "halves_ms=", 10))
		halves_ms = n;
	else if (!strncmp(text, "cut=", 4))
		cut_file = value + 1;
	else if (!strncmp(text, "pids=", 5))
		pids_file = value + 1;
	else
		exit(2);
}

static void on_leave(int signum)
{
	leaving = 1;
}

int main(int argc, char **argv)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	if (argc < 5)
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_leave);
	read_names(argv[1]);
	server_id = argv[4];
	for (int i = 5; i < argc; i++)
		read_option(argv[i]);
	own_port = (uint16_t)strtoul(argv[3], NULL, 10);
	sa.sin_port = htons(own_port);
	if (!inet_aton(argv[2], &sa.sin_addr))
		return 2;
	own_ip = sa.sin_addr.s_addr;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(fd, BACKLOG)) {
		perror("worker");
		return 2;
	}
	accept_all(fd);
	return 0;
}
