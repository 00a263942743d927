#include "common/event.h"
#include "misc/clock.h"
#include "traffic/limits.h"
#include "traffic/quota_holder.h"
#include "traffic/traffic.h"

/* Passes a message to the control thread, which sends it. */
void quota_holder_send(struct traffic *t, enum from_traffic kind,
		       const struct quota_message *m)
{
	struct quota_message *copy = g_memdup2(m, sizeof(*m));

	/* If the queue is full it is lost, as a datagram may be. */
	if (mailbox_send(t->control_inbox, kind, copy))
		g_free(copy);
}

/* Grants a peer's request or says when it may ask again. */
static void answer(struct traffic *t, struct quota_use *u,
		   const struct quota_message *ask)
{
	int64_t now_ms = clock_ms();
	struct quota_message m = {
		.to = ask->from,
		.workspace = ask->workspace,
		.serial = ask->serial,
		.op = QUOTA_GRANT,
	};

	if (!u || (u->terms.rate_s > 0 && !u->bucket.held)) {
		m.op = QUOTA_NOT_HELD;
	} else if (u->terms.rate_s > 0 &&
		   !quota_bucket_grant(&u->bucket, ask->op == QUOTA_ASK_LATE,
				       now_ms, &m.stamp)) {
		m.op = QUOTA_EMPTY;
		m.wait_ms = quota_bucket_wait_ms(&u->bucket, now_ms);
		m.turn_ms = quota_bucket_turn_ms(&u->bucket, now_ms);
	}
	t->counters.quota_answers++;
	quota_holder_send(t, FROM_TRAFFIC_QUOTA_ANSWER, &m);
}

/* Handles a peer's message to this instance as a holder. */
void quota_holder_receive(struct traffic *t, const struct quota_message *m)
{
	struct quota_use *u = quota_use_find(t, m->workspace);

	if (m->op == QUOTA_ASK || m->op == QUOTA_ASK_LATE)
		answer(t, u, m);
	else if (m->op == QUOTA_GIVE_BACK && u && u->bucket.held)
		quota_bucket_give_back(&u->bucket, m->stamp, clock_ms());
}

/*
 * Determines the holders of a quota and this instance's part, after a change of
 * the configuration, the settings or the instances.
 */
void quota_holder_update(struct traffic *t, struct quota_use *u)
{
	struct limit_instances instances = limits_participants(t);
	struct quota_rule rule = {t->bounds.quota_window_s,
				  t->bounds.quota_overshoot,
				  t->bounds.quota_slack};
	unsigned k = 0;
	int64_t now_ms = clock_ms();
	struct quota_start start;
	struct quota_part part;

	if (u->terms.rate_s > 0 && instances.n)
		k = quota_holder_count(&rule, &u->terms, instances.n);
	quota_holders_set(&u->holders, u->id, k, &instances);
	if (!k || !quota_holders_find(&u->holders, u->holders.self)) {
		quota_bucket_lose(&u->bucket);
		return;
	}
	part = quota_part(&rule, &u->terms, k);
	start = (struct quota_start){.full = u->starts_full,
				     .from_ms = now_ms,
				     .open_ms = t->quotas.open_ms};
	/* This instance's last process had ended before this one started. */
	if (now_ms < t->quotas.open_ms)
		start.from_ms = t->started_ms;
	quota_bucket_hold(&u->bucket, &part, &start, now_ms);
}
