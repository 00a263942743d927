/*
 * Message queue from one thread to another thread's event loop: a lock-free
 * single-producer, single-consumer ring (Concurrency Kit) and an ev_async that
 * wakes the receiver.
 */
#ifndef MP_MISC_MAILBOX_H
#define MP_MISC_MAILBOX_H

#include <stdbool.h>

#include <ck_ring.h>
#include <ev.h>

enum { MAILBOX_SLOTS = 1024 }; /* a power of two */

struct mailbox_msg {
	int kind;
	void *data; /* owned by the receiver */
};

struct mailbox {
	ck_ring_t ring;
	ck_ring_buffer_t buffer[MAILBOX_SLOTS];
	ev_async wake;
	struct ev_loop *loop; /* the receiver's */
	void (*receive)(void *priv, struct mailbox_msg *m);
	void *priv;
};

void mailbox_init(struct mailbox *mb, struct ev_loop *loop,
		  void (*receive)(void *priv, struct mailbox_msg *m),
		  void *priv);
int mailbox_send(struct mailbox *mb, int kind, void *data);

#endif
