/*
 * Forwards bytes between two connected sockets in both directions until both
 * have ended. What one side can't take yet is buffered up to a limit, beyond
 * which the other one isn't read. An end of stream is passed on as such; towards
 * the first socket it can be marked by frames as well. The buffers count as
 * memory of a pool; while that is short, little is buffered.
 */
#ifndef MP_HTTP_SPLICE_H
#define MP_HTTP_SPLICE_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/pool.h"
#include "misc/buf.h"

struct splice;

struct splice_end {
	struct splice *splice;
	struct splice_end *other;
	int fd;
	ev_io io;
	struct buf out;	   /* to be written to this end */
	uint64_t received; /* bytes */
	bool ended;	   /* has sent its last byte */
};

struct splice {
	struct ev_loop *loop;
	struct splice_end ends[2];
	ev_timer linger;
	/*
	 * While bytes wait for an end, at least min_rate of them a second must
	 * be taken in each stall_s; else both ends are closed. 0: no limit.
	 */
	double stall_s, min_rate;
	ev_timer stall;
	size_t taken; /* since it was started */
	bool framed;  /* ends[0] gets the bytes of ends[1] in frames */
	struct http_pool *pool; /* of the buffers' memory, or NULL */
	size_t held;		/* accounted to it */
	/* Optional: called with each first byte of an end. */
	void (*first_byte)(void *priv, const struct splice_end *end);
	/* Called when both sockets have been closed; err is 0 or -errno. */
	void (*closed)(void *priv, int err);
	void *priv;
};

void splice_start(struct splice *s, struct ev_loop *loop, int fd0, int fd1,
		  struct lstr to_fd1);

#endif
