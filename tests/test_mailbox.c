/* Tests of misc/mailbox: message order, a full ring, two threads. */
#include "tests/unit.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <unistd.h>

#include "misc/mailbox.h"

enum { MESSAGES = 20000 };

struct receiver {
	struct mailbox mb;
	struct ev_loop *loop;
	int next;
	bool in_order;
};

/* Checks the order; ends the loop after the last message. */
static void on_message(void *priv, struct mailbox_msg *m)
{
	struct receiver *r = priv;

	r->in_order = r->in_order && m->kind == r->next;
	if (++r->next == MESSAGES)
		ev_break(r->loop, EVBREAK_ALL);
}

static void receiver_init(struct receiver *r)
{
	memset(r, 0, sizeof(*r));
	r->in_order = true;
	r->loop = ev_loop_new(EVFLAG_NOENV);
	mailbox_init(&r->mb, r->loop, on_message, r);
}

/* A full ring rejects messages until it is read. */
static void test_full(void **state)
{
	static struct receiver r;
	int sent = 0;

	receiver_init(&r);
	while (mailbox_send(&r.mb, sent, NULL) == 0)
		sent++;
	assert_in_range(sent, MAILBOX_SLOTS - 2, MAILBOX_SLOTS);
	assert_int_equal(mailbox_send(&r.mb, sent, NULL), -ENOBUFS);
	ev_run(r.loop, EVRUN_ONCE);
	assert_int_equal(r.next, sent);
	assert_int_equal(mailbox_send(&r.mb, sent, NULL), 0);
	ev_run(r.loop, EVRUN_ONCE);
	assert_int_equal(r.next, sent + 1);
	assert_true(r.in_order);
	ev_loop_destroy(r.loop);
}

/* Sends MESSAGES messages, retrying while the ring is full. */
static void *sender(void *arg)
{
	struct receiver *r = arg;

	for (int i = 0; i < MESSAGES; i++) {
		while (mailbox_send(&r->mb, i, NULL))
			usleep(100);
	}
	return NULL;
}

static void test_two_threads(void **state)
{
	static struct receiver r;
	pthread_t t;

	receiver_init(&r);
	pthread_create(&t, NULL, sender, &r);
	ev_run(r.loop, 0);
	pthread_join(t, NULL);
	assert_int_equal(r.next, MESSAGES);
	assert_true(r.in_order);
	ev_loop_destroy(r.loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_full),
		cmocka_unit_test(test_two_threads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
