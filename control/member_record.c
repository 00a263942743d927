#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/member_record.h"
#include "member/gossip.h"
#include "misc/clock.h"

enum { RETRY_MS = 300, RETRY_MAX_MS = 1500 };

/* Writes this instance's record, then lists all. */
static void next_call(struct member_record *m)
{
	struct buf value = {0};

	if (!m->written) {
		/* A record is encoded as a heartbeat. */
		gossip_write_heartbeat(&value, &m->peers->self);
		store_append(&m->store, STORE_TOPIC_MEMBERS,
			     lstr0(m->peers->self.name), buf_lstr(&value),
			     NULL);
		buf_free(&value);
	} else if (!m->listed) {
		store_list(&m->store, STORE_TOPIC_MEMBERS, LSTR(""));
	}
}

static void on_retry(struct ev_loop *loop, ev_timer *t, int revents)
{
	next_call(t->data);
}

static void call_later(struct member_record *m, int ms)
{
	ev_timer_set(&m->retry, ms / 1000.0, 0);
	ev_timer_start(m->loop, &m->retry);
}

/* Applies one page of the listing. */
static void apply_members(struct member_record *m, const struct store_result *r)
{
	for (size_t i = 0; i < r->nrecords; i++) {
		struct gossip_message msg;

		if (gossip_read(r->records[i].value, &msg) != 0)
			mp_event(EV_PEER_INVALID_DATAGRAM, G_LOG_LEVEL_WARNING,
				 "record '%.*s' can't be decoded",
				 (int)r->records[i].key.len,
				 r->records[i].key.ptr);
		else if (msg.kind == GOSSIP_CRASHES)
			m->on_verdicts(m->priv, msg.crashes);
		else
			peers_add(m->peers, &msg.sender, clock_ms());
		gossip_message_clear(&msg);
	}
}

/* Continues with the next step, or retries this one after a failure. */
static void on_done(void *priv, const struct store_result *r)
{
	struct member_record *m = priv;
	int wait = RETRY_MS << (m->failures < 3 ? m->failures : 3);

	if (r->err) {
		if (m->failures++ == 0)
			mp_event(EV_PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING,
				 "what=members err=%s", g_strerror(-r->err));
		call_later(m, wait < RETRY_MAX_MS ? wait : RETRY_MAX_MS);
		return;
	}
	if (m->failures)
		mp_event(EV_PLATFORM_RECOVERED, G_LOG_LEVEL_MESSAGE,
			 "what=members failures=%u", m->failures);
	m->failures = 0;
	if (!m->written) {
		m->written = true;
		call_later(m, 0);
		return;
	}
	apply_members(m, r);
	if (r->more)
		store_list(&m->store, STORE_TOPIC_MEMBERS, r->last_key);
	else {
		m->listed = true;
		m->listed_ms = clock_ms();
		m->on_members(m->priv);
	}
}

/*
 * member_record_start() writes this instance's record, then reads the others'.
 * `on_members` is called when they are read, `on_verdicts` with each record of
 * verdicts stored with them.
 */
void member_record_start(struct member_record *m, struct ev_loop *loop,
			 struct store_endpoint *store, struct peer_table *peers,
			 void (*on_members)(void *priv),
			 void (*on_verdicts)(void *priv, const GArray *notices),
			 void *priv)
{
	memset(m, 0, sizeof(*m));
	m->on_verdicts = on_verdicts;
	m->on_members = on_members;
	m->priv = priv;
	m->loop = loop;
	m->peers = peers;
	ev_init(&m->retry, on_retry);
	m->retry.data = m;
	store_open(&m->store, loop, store, on_done, m);
	next_call(m);
}
