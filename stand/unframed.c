#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "stand/unframed.h"

enum { CHUNK_BYTES = 16 * 1024 };

/* Between the two halves of a body. */
static const double PAUSE_S = 0.1;

/* The second half of a body, and the connection that it goes to. */
struct rest {
	int fd;
	ev_timer timer;
	struct buf bytes;
};

/*
 * Sets whether the kernel resets the connection when it is closed. Without a
 * reset the death of this process would look like the end of the body.
 */
static void set_reset(int fd, bool reset)
{
	struct linger l = {reset, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

/* Sends the second half and ends the connection. */
static void on_pause_over(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct rest *r = t->data;

	ev_timer_stop(loop, t);
	/* A peer that has closed needs no response. */
	(void)!send(r->fd, r->bytes.ptr, r->bytes.len, MSG_NOSIGNAL);
	set_reset(r->fd, false);
	close(r->fd);
	buf_free(&r->bytes);
	g_free(r);
}

/*
 * unframed_reply() responds without a length: the first half of the body follows
 * the head at once, the second half after a pause, then the connection ends.
 * Frees the connection.
 */
void unframed_reply(struct http_conn *c, struct ev_loop *loop,
		    struct lstr headers, struct lstr body)
{
	struct rest *r = g_new0(struct rest, 1);
	struct buf unread = {0}, first = {0};
	size_t half = body.len / 2;

	buf_printf(&first, "HTTP/1.1 200 OK\r\n%.*sConnection: close\r\n\r\n",
		   (int)headers.len, headers.ptr);
	buf_add(&first, body.ptr, half);
	buf_add(&r->bytes, body.ptr + half, body.len - half);
	r->fd = http_conn_detach(c, &unread);
	set_reset(r->fd, true);
	(void)!send(r->fd, first.ptr, first.len, MSG_NOSIGNAL);
	ev_timer_init(&r->timer, on_pause_over, PAUSE_S, 0);
	r->timer.data = r;
	ev_timer_start(loop, &r->timer);
	buf_free(&unread);
	buf_free(&first);
}

/* chunked_reply() responds with the body in chunks. */
void chunked_reply(struct http_conn *c, struct lstr headers, struct lstr body)
{
	struct buf out = {0};

	buf_printf(&out,
		   "HTTP/1.1 200 OK\r\n%.*sTransfer-Encoding: chunked\r\n\r\n",
		   (int)headers.len, headers.ptr);
	for (size_t at = 0, n; at < body.len; at += n) {
		n = MIN(CHUNK_BYTES, body.len - at);
		buf_printf(&out, "%zx\r\n", n);
		buf_add(&out, body.ptr + at, n);
		buf_add_lstr(&out, LSTR("\r\n"));
	}
	buf_add_lstr(&out, LSTR("0\r\n\r\n"));
	http_conn_reply_raw(c, buf_lstr(&out), false);
	buf_free(&out);
}

/* bad_head_reply() responds with a head of some kind that breaks the grammar. */
void bad_head_reply(struct http_conn *c, unsigned kind, struct lstr headers,
		    struct lstr body)
{
	static const char *const lines[] = {
		"HTTP/1.1 000 OK\r\n",
		"HTTP/1.1 999 OK\r\n",
		"HTTP/1.1 200 OK\r\nX Y: z\r\n",
		"HTTP/1.1 200 OK\r\nX-Y : z\r\n",
		"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n",
	};
	struct buf out = {0};

	buf_printf(&out, "%s%.*sContent-Length: %zu\r\n\r\n",
		   lines[kind % G_N_ELEMENTS(lines)], (int)headers.len,
		   headers.ptr, body.len);
	buf_add_lstr(&out, body);
	http_conn_reply_raw(c, buf_lstr(&out), false);
	buf_free(&out);
}
