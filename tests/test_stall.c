/*
 * Tests of control/stall: what waited in the sockets of an instance that stood
 * still is not taken for news.
 */
#include "tests/unit.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "control/peer_channel.h"
#include "control/stall.h"
#include "misc/clock.h"
#include "tests/peer_info.h"

enum { STALL_MS = 1800 };

static void test_length(void **state)
{
	static const struct {
		int64_t turn_ms, now_ms, stalled_ms;
	} cases[] = {
		{1000, 1000, 0},    {1000, 1100, 0},	      {1000, 2699, 0},
		{1000, 2700, 1700}, {1000, 3601000, 3600000},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(
			stall_length_ms(cases[i].turn_ms, cases[i].now_ms),
			cases[i].stalled_ms);
}

struct fixture {
	struct peer_channel channel;
	struct stall stall;
	ev_timer tick, end;
	int64_t stalled_ms;
	unsigned discarded, ticks;
};

static void on_received(void *priv, const struct gossip_message *m)
{
}

/* Sends the instance a heartbeat of e1. */
static void send_heartbeat(const struct sockaddr_in *to)
{
	struct peer_info e1 = info("e1", 1);
	struct buf b = {0};
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	gossip_write_heartbeat(&b, &e1);
	assert_int_equal(sendto(fd, b.ptr, b.len, 0,
				(const struct sockaddr *)to, sizeof(*to)),
			 b.len);
	close(fd);
	buf_free(&b);
}

static void on_ended(void *priv, int64_t stalled_ms)
{
	struct fixture *f = priv;

	f->stalled_ms = stalled_ms;
	f->discarded = peer_channel_discard(&f->channel);
}

/* In the second turn the process stands still; a heartbeat arrives. */
static void on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct fixture *f = t->data;

	if (++f->ticks != 2)
		return;
	send_heartbeat(&f->channel.peers.self.addr);
	usleep(STALL_MS * 1000);
}

static void on_end(struct ev_loop *loop, ev_timer *t, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

/* Guards against taking a sign of life that waited for a present one. */
static void test_old_signs_dropped(void **state)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct peer_info self = info("e3", 1);
	struct fixture f = {0};

	assert_int_equal(peer_channel_open(&f.channel, loop, "127.0.0.1:17290",
					   &self, on_received, &f),
			 0);
	stall_start(&f.stall, loop, on_ended, &f);
	ev_timer_init(&f.tick, on_tick, 0.02, 0.02);
	f.tick.data = &f;
	ev_timer_start(loop, &f.tick);
	ev_timer_init(&f.end, on_end, STALL_MS / 1000.0 + 0.3, 0);
	ev_timer_start(loop, &f.end);
	ev_run(loop, 0);
	assert_in_range(f.stalled_ms, STALL_MS, STALL_MS + 1000);
	assert_int_equal(f.discarded, 1);
	assert_null(peers_find(&f.channel.peers, "e1"));
	/* What arrives from now on counts. */
	send_heartbeat(&f.channel.peers.self.addr);
	ev_run(loop, EVRUN_ONCE);
	ev_run(loop, EVRUN_ONCE);
	assert_true(peer_alive(peers_find(&f.channel.peers, "e1"),
			       clock_boot_ms()));
	ev_loop_destroy(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_length),
		cmocka_unit_test(test_old_signs_dropped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
