#include <glib.h>

#include "control/list_cover.h"

/*
 * list_cover_begin() handles the first listing. It says nothing of the time
 * before, so an outage that a peer says has ended within `slack_ms`, one
 * heartbeat, after it may have ended before it.
 */
void list_cover_begin(struct list_cover *c, int64_t now_ms, int64_t slack_ms)
{
	*c = (struct list_cover){.since_ms = now_ms, .slack_ms = slack_ms};
}

/* list_cover_gap() handles a confirmation after a gap that began at from_ms. */
void list_cover_gap(struct list_cover *c, int64_t from_ms, int64_t now_ms)
{
	*c = (struct list_cover){now_ms, true, from_ms, 0};
}

/*
 * list_cover_extend() takes over what a peer says of its own list if that goes
 * further back. A gap here is explained if the peer's list had none; otherwise
 * the store may have been away until the peer's list begins. Returns whether
 * anything changed.
 */
bool list_cover_extend(struct list_cover *c, int64_t since_ms, bool after_gap)
{
	if (since_ms >= c->since_ms + c->slack_ms)
		return false;
	c->slack_ms = 0;
	c->since_ms = MIN(since_ms, c->since_ms);
	c->after_gap = after_gap || (c->after_gap && since_ms > c->gap_from_ms);
	return true;
}

/*
 * list_cover_settled_ms() returns the time from which on a missing entry means
 * that its server is gone; 0: at any time.
 */
int64_t list_cover_settled_ms(const struct list_cover *c)
{
	return c->after_gap ? c->since_ms + BACKEND_GRACE_MS : 0;
}
