#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/member_join.h"
#include "control/own_records.h"
#include "misc/clock.h"

/* Each time another seed, since one may be down or cut off. */
enum { ASK_INTERVAL_MS = 80 };

/* Adds one record of the listing. */
static void apply_record(struct member_join *m, const struct store_record *rec)
{
	struct gossip_message msg;

	if (own_record_read(rec, &msg)) {
		if (msg.kind == GOSSIP_CRASHES) {
			m->on_verdicts(m->priv, msg.crashes);
		} else {
			peers_add(&m->channel->peers, &msg.sender,
				  clock_boot_ms());
			m->on_record(m->priv, &msg.sender);
		}
	}
	gossip_message_clear(&msg);
}

/* Ends the joining; called once. */
static void joined(struct member_join *m, bool by_store, int64_t now_ms)
{
	struct peer_table *t = &m->channel->peers;

	t->joined_ms = t->listening_ms = now_ms;
	t->joined_by_store = by_store;
	mp_event(EV_JOINED, G_LOG_LEVEL_MESSAGE,
		 "by=%s members=%u alive=%u failures=%u",
		 by_store ? "store" : "peer", t->peers->len + 1,
		 peers_count_ready(t, now_ms), m->failures);
	m->on_members(m->priv);
}

/* Handles one page of the listing. */
static void on_done(void *priv, const struct store_result *r)
{
	struct member_join *m = priv;

	if (r->err) {
		if (m->failures++ == 0)
			mp_event(EV_PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING,
				 "what=members err=%s", g_strerror(-r->err));
		join_list_failed(&m->plan, g_random_double(), clock_boot_ms());
		return;
	}
	if (m->failures)
		mp_event(EV_PLATFORM_RECOVERED, G_LOG_LEVEL_MESSAGE,
			 "what=members failures=%u", m->failures);
	m->failures = 0;
	for (size_t i = 0; i < r->nrecords; i++)
		apply_record(m, &r->records[i]);
	if (r->more)
		store_list(&m->store, STORE_TOPIC_MEMBERS, r->last_key);
	else if (!m->channel->peers.joined_ms)
		joined(m, true, clock_boot_ms());
}

/* Asks the next seed, if the last one was asked long enough ago. */
static void ask_seed(struct member_join *m, int64_t now_ms)
{
	struct sockaddr_in *seed;

	if (!m->seeds->len || now_ms - m->asked_ms < ASK_INTERVAL_MS)
		return;
	m->asked_ms = now_ms;
	seed = &g_array_index(m->seeds, struct sockaddr_in,
			      m->plan.turn++ % m->seeds->len);
	peer_channel_send_join(m->channel, seed);
}

/*
 * member_join_tick() asks the seeds or lists the store when due, until the
 * instance has joined. `fetching`: a fetch from a peer is pending. Returns
 * whether to fetch the state from a peer now. Call it about every 0.1 s.
 */
bool member_join_tick(struct member_join *m, bool fetching, int64_t now_ms)
{
	struct peer_table *t = &m->channel->peers;
	struct join_view v = {
		.members = peers_count_alive(t, now_ms),
		.sources = peers_count_ready(t, now_ms),
		.listing = m->store.call != STORE_IDLE,
		.fetching = fetching,
	};

	if (t->joined_ms)
		return false;
	switch (join_next(&m->plan, &v, now_ms)) {
	case JOIN_LIST:
		store_list(&m->store, STORE_TOPIC_MEMBERS, LSTR(""));
		return false;
	case JOIN_FETCH:
		ask_seed(m, now_ms);
		return true;
	case JOIN_ASK:
		ask_seed(m, now_ms);
		break;
	}
	return false;
}

/* member_join_apply() takes over the members that a peer has sent. */
void member_join_apply(struct member_join *m, const struct snapshot *s,
		       int64_t now_ms)
{
	struct peer_table *t = &m->channel->peers;

	if (t->joined_ms || !s->members->len)
		return;
	for (guint i = 0; i < s->members->len; i++) {
		const struct peer_report *r =
			&g_array_index(s->members, struct peer_report, i);

		peers_note_report(t, r, now_ms);
	}
	m->on_verdicts(m->priv, s->verdicts);
	joined(m, false, now_ms);
}

/* member_join_fetch_failed() handles a failed fetch from a peer. */
void member_join_fetch_failed(struct member_join *m)
{
	m->plan.fetch_failed = true;
}

/*
 * member_join_start() begins to join. `seeds` are addresses of instances that
 * may be members; takes ownership. `is_seed`: others have this instance's
 * address as one. `on_members` is called when the members are known,
 * `on_record` with each instance whose record is in the store, and `on_verdicts` with
 * verdicts stored with them.
 */
void member_join_start(struct member_join *m, struct ev_loop *loop,
		       struct store_endpoint *store,
		       struct peer_channel *channel, GArray *seeds,
		       bool is_seed, bool first_start,
		       void (*on_members)(void *priv),
		       void (*on_record)(void *priv, const struct peer_info *p),
		       void (*on_verdicts)(void *priv, const GArray *notices),
		       void *priv)
{
	int64_t now_ms = clock_boot_ms();

	memset(m, 0, sizeof(*m));
	m->on_verdicts = on_verdicts;
	m->on_members = on_members;
	m->on_record = on_record;
	m->priv = priv;
	m->loop = loop;
	m->channel = channel;
	m->seeds = seeds;
	store_open(&m->store, loop, store, on_done, m);
	join_init(&m->plan, first_start, seeds->len > 0, is_seed,
		  g_random_double(), now_ms);
	m->plan.turn = g_random_int();
	member_join_tick(m, false, now_ms);
}
