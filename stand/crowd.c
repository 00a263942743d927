/*
 * Simulated clients that don't behave: a crowd of connections to one port of an
 * instance, all of which do the same thing that ordinary clients don't do. Those
 * that the instance closes come back, a few at a time.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conf/build.h"
#include "http/socket.h"
#include "options/instance.h"
#include "stand/stand.h"

enum {
	TICK_MS = 100,
	RETURNS_PER_TICK = 10, /* connections that come back */
	SLOW_BYTES = 1000,     /* read in a tick */
	ROW = 30,	       /* requests in a row */
	RECEIVE_BUFFER = 4096,
	BODY_BYTES = 300 * 1000, /* that are announced */
};

/* What the connections do. */
enum behaviour {
	CROWD_IDLE,   /* nothing */
	CROWD_HEAD,   /* a head without end, a byte a tick */
	CROWD_BODY,   /* a body that doesn't come, a byte a tick */
	CROWD_UNREAD, /* ask and read nothing */
	CROWD_SLOW,   /* ask and read slowly */
	CROWD_ROW,    /* ask many times in a row and read nothing */
	CROWD_LEAVE,  /* ask and leave at once, over and over */
	CROWD_BEHAVIOURS
};

static const char *const names[CROWD_BEHAVIOURS] = {
	[CROWD_IDLE] = "idle",	   [CROWD_HEAD] = "head", [CROWD_BODY] = "body",
	[CROWD_UNREAD] = "unread", [CROWD_SLOW] = "slow", [CROWD_ROW] = "row",
	[CROWD_LEAVE] = "leave",
};

struct crowd {
	struct ev_loop *loop;
	struct sockaddr_in addr;
	enum behaviour behaviour;
	char target[64]; /* of its requests */
	int *fds;	 /* -1: not connected */
	int n;
	uint64_t requests;
	ev_timer tick, end;
};

/* Formats what a connection sends at first. */
static void write_begin(struct crowd *c, struct buf *out)
{
	bool body = c->behaviour == CROWD_BODY;
	int n = c->behaviour == CROWD_ROW ? ROW : 1;

	for (int i = 0; i < n && c->behaviour != CROWD_IDLE; i++) {
		buf_printf(out,
			   "%s %s HTTP/1.1\r\nHost: " CONF_NATIVE_HOST "\r\n"
			   "Attempt-Id: crowd-%d-%" G_GUINT64_FORMAT "\r\n"
			   "Deadline-Remaining-Ms: 3000\r\n",
			   body ? "POST" : "GET", c->target, (int)getpid(),
			   c->requests++);
		if (body)
			buf_printf(out, "Content-Length: %d\r\n", BODY_BYTES);
		if (c->behaviour != CROWD_HEAD)
			buf_printf(out, "\r\n");
	}
}

/* Connects and sends the begin; bytes that don't fit are left out. */
static int join(struct crowd *c)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int bytes = RECEIVE_BUFFER;
	struct buf b = {0};

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	if (connect(fd, (const struct sockaddr *)&c->addr, sizeof(c->addr))) {
		close(fd);
		return -1;
	}
	write_begin(c, &b);
	(void)!send(fd, b.ptr, b.len, MSG_NOSIGNAL | MSG_DONTWAIT);
	buf_free(&b);
	return fd;
}

/* Returns whether the instance has closed a connection. */
static bool is_closed(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/* Does with a connection what is due at a tick. */
static void act(struct crowd *c, int fd)
{
	char bytes[SLOW_BYTES];

	if (c->behaviour == CROWD_HEAD || c->behaviour == CROWD_BODY)
		(void)!send(fd, "X", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
	else if (c->behaviour == CROWD_SLOW)
		(void)!recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
}

static void on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct crowd *c = t->data;
	int returns = RETURNS_PER_TICK;

	for (int i = 0; i < c->n; i++) {
		bool leaves = c->behaviour == CROWD_LEAVE && returns > 0;

		if (c->fds[i] >= 0 && (leaves || is_closed(c->fds[i]))) {
			close(c->fds[i]);
			c->fds[i] = -1;
		}
		if (c->fds[i] < 0 && returns-- > 0)
			c->fds[i] = join(c);
		else if (c->fds[i] >= 0)
			act(c, c->fds[i]);
	}
}

static void on_end(struct ev_loop *loop, ev_timer *t, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

/* Sets the address and the requests by the port's name. */
static int choose_port(struct crowd *c, const struct deploy *d,
		       const struct instance_settings *s, const char *port)
{
	const struct service_opts *first = d->services->pdata[0];
	char path[64];
	const struct {
		const char *name, *addr, *target;
	} ports[] = {
		{"callers", s->callers, path},
		{"ready", s->ready, "/readiness"},
		{"directory", s->directory,
		 "/resolution?name=x&region=r&zone=z"},
		{"metrics", s->metrics, "/metrics"},
		{"peers", s->peers, "/snapshot/whole"},
		{"tunnels", s->tunnels, "/x"},
		{"own", s->own, "/admin/metrics"},
	};

	g_snprintf(path, sizeof(path), CONF_NATIVE_PREFIX "%s/x", first->name);
	for (size_t i = 0; i < G_N_ELEMENTS(ports); i++) {
		if (strcmp(ports[i].name, port))
			continue;
		g_strlcpy(c->target, ports[i].target, sizeof(c->target));
		return socket_parse_addr(ports[i].addr, &c->addr);
	}
	return -EINVAL;
}

/*
 * stand_crowd_main() keeps a crowd at a port of an instance for some seconds.
 * Returns 0 or a negative errno.
 */
int stand_crowd_main(const struct deploy *d, const struct crowd_args *a)
{
	struct crowd c = {.loop = ev_default_loop(EVFLAG_NOENV),
			  .n = a->connections,
			  .behaviour = CROWD_BEHAVIOURS};
	struct instance_settings s;

	for (int i = 0; i < CROWD_BEHAVIOURS; i++) {
		if (!strcmp(names[i], a->behaviour))
			c.behaviour = (enum behaviour)i;
	}
	if (c.behaviour == CROWD_BEHAVIOURS ||
	    instance_settings_from_deploy(d, a->entry, &s) ||
	    choose_port(&c, d, &s, a->port))
		return -EINVAL;
	c.fds = g_new(int, c.n);
	for (int i = 0; i < c.n; i++)
		c.fds[i] = join(&c);
	ev_timer_init(&c.tick, on_tick, 0, TICK_MS / 1000.0);
	c.tick.data = &c;
	ev_timer_start(c.loop, &c.tick);
	ev_timer_init(&c.end, on_end, a->seconds, 0);
	ev_timer_start(c.loop, &c.end);
	ev_run(c.loop, 0);
	for (int i = 0; i < c.n; i++) {
		if (c.fds[i] >= 0)
			close(c.fds[i]);
	}
	g_free(c.fds);
	return 0;
}
