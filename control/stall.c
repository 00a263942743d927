#include "control/stall.h"
#include "member/peers.h"
#include "misc/clock.h"

/*
 * stall_length_ms() returns for how long a loop stood still whose last two
 * turns were at these times, or 0 if it didn't. Peers are silent for longer
 * than they may be while alive, so no sign of life that is lost counts.
 */
int64_t stall_length_ms(int64_t turn_ms, int64_t now_ms)
{
	int64_t gap_ms = now_ms - turn_ms;

	return gap_ms >= PEER_ALIVE_MS ? gap_ms : 0;
}

/* Runs before all other watchers of a turn. */
static void on_turn(struct ev_loop *loop, ev_check *check, int revents)
{
	struct stall *s = check->data;
	int64_t now_ms = clock_boot_ms();
	int64_t stalled_ms = stall_length_ms(s->turn_ms, now_ms);

	s->turn_ms = now_ms;
	if (stalled_ms)
		s->ended(s->priv, stalled_ms);
}

/*
 * stall_start() begins to watch the loop, which must turn at least once a
 * second. `ended` is called before any other event is handled.
 */
void stall_start(struct stall *s, struct ev_loop *loop,
		 void (*ended)(void *priv, int64_t stalled_ms), void *priv)
{
	s->turn_ms = clock_boot_ms();
	s->ended = ended;
	s->priv = priv;
	ev_check_init(&s->check, on_turn);
	ev_set_priority(&s->check, EV_MAXPRI);
	s->check.data = s;
	ev_check_start(loop, &s->check);
}
