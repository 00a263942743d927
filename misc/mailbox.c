#include <errno.h>
#include <stdlib.h>

#include "misc/mailbox.h"

/* Passes all queued messages to the receiver. */
static void on_wake(struct ev_loop *loop, ev_async *w, int revents)
{
	struct mailbox *mb = w->data;
	struct mailbox_msg *m;

	while (ck_ring_dequeue_spsc(&mb->ring, mb->buffer, &m)) {
		mb->receive(mb->priv, m);
		free(m);
	}
}

/*
 * mailbox_init() sets up a mailbox whose messages are passed to receive() on
 * loop. It must be called before either thread uses the mailbox.
 */
void mailbox_init(struct mailbox *mb, struct ev_loop *loop,
		  void (*receive)(void *priv, struct mailbox_msg *m),
		  void *priv)
{
	ck_ring_init(&mb->ring, MAILBOX_SLOTS);
	mb->loop = loop;
	mb->receive = receive;
	mb->priv = priv;
	ev_async_init(&mb->wake, on_wake);
	mb->wake.data = mb;
	ev_async_start(loop, &mb->wake);
}

/*
 * mailbox_send() queues a message and wakes the receiver. Returns -ENOBUFS
 * when the ring is full; the sender then still owns data.
 */
int mailbox_send(struct mailbox *mb, int kind, void *data)
{
	struct mailbox_msg *m = malloc(sizeof(*m));

	if (!m)
		abort();
	*m = (struct mailbox_msg){kind, data};
	if (!ck_ring_enqueue_spsc(&mb->ring, mb->buffer, m)) {
		free(m);
		return -ENOBUFS;
	}
	ev_async_send(mb->loop, &mb->wake);
	return 0;
}
