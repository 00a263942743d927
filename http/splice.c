#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/frames.h"
#include "http/splice.h"

enum {
	CHUNK = 16 * 1024,    /* bytes per recv() */
	BUFFERED_MAX = 65536, /* bytes that one end hasn't taken yet */
};

/*
 * How long the other end may still send once one has ended. Without a limit an
 * end that never closes would keep both sockets.
 */
static const double LINGER_S = 2.0;

/* Closes an end, with a TCP reset if the forwarding failed. */
static void end_close(struct splice_end *e, bool reset)
{
	struct linger reset_now = {1, 0};

	ev_io_stop(e->splice->loop, &e->io);
	if (reset)
		setsockopt(e->fd, SOL_SOCKET, SO_LINGER, &reset_now,
			   sizeof(reset_now));
	close(e->fd);
	buf_free(&e->out);
}

/* Closes both ends and reports it. */
static void finish(struct splice *s, int err)
{
	ev_timer_stop(s->loop, &s->linger);
	ev_timer_stop(s->loop, &s->stall);
	for (int i = 0; i < 2; i++)
		end_close(&s->ends[i], err != 0);
	if (s->pool)
		http_pool_account(s->pool, &s->held, 0);
	s->closed(s->priv, err);
}

/* Returns how many bytes may wait for an end before the other isn't read. */
static size_t buffered_max(const struct splice *s)
{
	return s->pool && http_pool_is_short(s->pool) ? 1 : BUFFERED_MAX;
}

/* Watches an end for what can be done with it. */
static void watch(struct splice_end *e)
{
	struct ev_loop *loop = e->splice->loop;
	bool reads = !e->ended && e->other->out.len < buffered_max(e->splice);
	int events = (reads ? EV_READ : 0) | (e->out.len ? EV_WRITE : 0);

	if (events == (ev_is_active(&e->io) ? e->io.events : 0))
		return;
	ev_io_stop(loop, &e->io);
	ev_io_set(&e->io, e->fd, events);
	if (events)
		ev_io_start(loop, &e->io);
}

/* Writes pending bytes, and the end of the stream after them. */
static int flush(struct splice_end *e)
{
	while (e->out.len) {
		ssize_t n = send(e->fd, e->out.ptr, e->out.len, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return 0;
		if (n < 0)
			return -errno;
		buf_consume(&e->out, (size_t)n);
		e->splice->taken += (size_t)n;
	}
	buf_free(&e->out);
	if (e->other->ended)
		shutdown(e->fd, SHUT_WR);
	return 0;
}

/* Sends n bytes to an end; buffers what it can't take yet. */
static int forward(struct splice_end *to, const char *bytes, size_t n)
{
	ssize_t sent = 0;

	if (!to->out.len)
		sent = send(to->fd, bytes, n, MSG_NOSIGNAL);
	if (sent < 0 && errno != EAGAIN && errno != EINTR)
		return -errno;
	if (sent < 0)
		sent = 0;
	if ((size_t)sent < n)
		buf_add(&to->out, bytes + sent, n - (size_t)sent);
	return 0;
}

/* Returns whether the bytes of an end are forwarded in frames. */
static bool is_framed(const struct splice_end *e)
{
	return e->splice->framed && e == &e->splice->ends[1];
}

/* Handles the last byte of an end. */
static void receive_end(struct splice_end *e)
{
	e->ended = true;
	if (is_framed(e))
		frame_write_end(&e->other->out);
}

/* Handles n bytes of an end. Returns 0 or -errno. */
static int receive_bytes(struct splice_end *e, const char *bytes, size_t n)
{
	struct splice *s = e->splice;

	if (!e->received && s->first_byte)
		s->first_byte(s->priv, e);
	e->received += n;
	if (!is_framed(e))
		return forward(e->other, bytes, n);
	frame_write(&e->other->out, (struct lstr){bytes, n});
	return 0;
}

/* Forwards what an end has sent. Returns 0 or -errno. */
static int receive(struct splice_end *e)
{
	struct splice *s = e->splice;
	char chunk[CHUNK];
	ssize_t n = recv(e->fd, chunk, sizeof(chunk), 0);
	int err = 0;

	if (n < 0)
		return errno == EAGAIN || errno == EINTR ? 0 : -errno;
	if (n == 0)
		receive_end(e);
	else
		err = receive_bytes(e, chunk, (size_t)n);
	if (e->ended || e->other->ended) {
		ev_timer_stop(s->loop, &s->linger);
		ev_timer_set(&s->linger, LINGER_S, 0);
		ev_timer_start(s->loop, &s->linger);
	}
	return err ? err : flush(e->other);
}

/* Returns whether both directions have ended. */
static bool is_done(const struct splice *s)
{
	return s->ends[0].ended && s->ends[1].ended && !s->ends[0].out.len &&
	       !s->ends[1].out.len;
}

/* Accounts the buffers, and limits the time for which they wait. */
static void update(struct splice *s)
{
	bool waits = s->ends[0].out.len || s->ends[1].out.len;

	if (s->pool)
		http_pool_account(s->pool, &s->held,
				  s->ends[0].out.cap + s->ends[1].out.cap);
	watch(&s->ends[0]);
	watch(&s->ends[1]);
	if (!waits || s->stall_s <= 0) {
		ev_timer_stop(s->loop, &s->stall);
	} else if (!ev_is_active(&s->stall)) {
		s->taken = 0;
		ev_timer_set(&s->stall, s->stall_s, 0);
		ev_timer_start(s->loop, &s->stall);
	}
}

/* Dispatches the events of an end. */
static void on_event(struct ev_loop *loop, ev_io *io, int revents)
{
	struct splice_end *e = io->data;
	struct splice *s = e->splice;
	int err = 0;

	if (revents & EV_WRITE)
		err = flush(e);
	if (!err && (revents & EV_READ))
		err = receive(e);
	if (err || is_done(s)) {
		finish(s, err);
		return;
	}
	update(s);
}

/* Bytes have been waiting for an end; it may not be too slow. */
static void on_stall(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct splice *s = t->data;

	if ((double)s->taken < s->stall_s * s->min_rate)
		finish(s, -ETIMEDOUT);
	else
		update(s);
}

/* The other end has neither ended nor sent anything since. */
static void on_linger(struct ev_loop *loop, ev_timer *t, int revents)
{
	finish(t->data, -ETIMEDOUT);
}

static void end_init(struct splice *s, int i, int fd)
{
	struct splice_end *e = &s->ends[i];

	e->splice = s;
	e->other = &s->ends[1 - i];
	e->fd = fd;
	ev_io_init(&e->io, on_event, fd, 0);
	e->io.data = e;
}

/*
 * splice_start() begins to forward between two nonblocking sockets, which it
 * takes over. `to_fd1` is written to the second one first. The callbacks and
 * priv must be set before, and all other fields be zero.
 */
void splice_start(struct splice *s, struct ev_loop *loop, int fd0, int fd1,
		  struct lstr to_fd1)
{
	s->loop = loop;
	end_init(s, 0, fd0);
	end_init(s, 1, fd1);
	ev_init(&s->linger, on_linger);
	ev_init(&s->stall, on_stall);
	s->linger.data = s->stall.data = s;
	buf_add_lstr(&s->ends[1].out, to_fd1);
	update(s);
}
