#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/record_check.h"
#include "misc/clock.h"

enum {
	/*
	 * By then an instance that starts knows who is first, and verdicts that
	 * are told repeatedly are known everywhere.
	 */
	SETTLE_MS = 2000,
	RETRY_MS = 1000,
	/* Bytes of one write; what doesn't fit is found missing once more. */
	BATCH_MAX = 1 << 20,
};

static void forget_listing(struct record_check *r)
{
	g_hash_table_remove_all(r->boots);
	g_array_set_size(r->verdicts, 0);
}

/* Takes in one record; members that were unknown are known from then on. */
static void take_record(struct record_check *r, const struct store_record *rec)
{
	struct gossip_message m;

	if (gossip_read(rec->value, &m) != 0) {
		mp_event(EV_PEER_INVALID_DATAGRAM, G_LOG_LEVEL_WARNING,
			 "record %.*s is none of ours", (int)rec->key.len,
			 rec->key.ptr);
	} else if (m.kind == GOSSIP_CRASH) {
		g_array_append_vals(r->verdicts, m.crashes->data,
				    m.crashes->len);
	} else {
		peers_add(r->peers, &m.sender, clock_ms());
		g_hash_table_replace(
			r->boots, g_strdup(m.sender.name),
			g_memdup2(&m.sender.boot, sizeof(m.sender.boot)));
	}
	gossip_message_clear(&m);
}

/* Adds the record of an instance unless it stands there. */
static unsigned add_member(const struct record_check *r,
			   const struct peer_info *p, struct buf *batch)
{
	const uint64_t *boot = g_hash_table_lookup(r->boots, p->name);
	struct buf value = {0};

	if ((boot && *boot == p->boot) || batch->len > BATCH_MAX)
		return 0;
	gossip_write_beat(&value, p);
	store_batch_add(batch, lstr0(p->name), buf_lstr(&value));
	buf_free(&value);
	return 1;
}

static unsigned add_members(const struct record_check *r, struct buf *batch,
			    int64_t now_ms)
{
	unsigned n = add_member(r, &r->peers->self, batch);

	for (guint i = 0; i < r->peers->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(r->peers->peers, i);

		if (peer_alive(p, now_ms) && !p->info.leaving)
			n += add_member(r, &p->info, batch);
	}
	return n;
}

static bool holds(const GArray *all, uint64_t digest)
{
	for (guint i = 0; i < all->len; i++) {
		if (g_array_index(all, struct crash_news, i).digest == digest)
			return true;
	}
	return false;
}

/* Adds the verdicts that are held here and don't stand there. */
static unsigned add_verdicts(const struct record_check *r, const GArray *held,
			     struct buf *batch)
{
	unsigned n = 0;

	for (guint i = 0; i < held->len; i++) {
		const struct crash_news *news =
			&g_array_index(held, struct crash_news, i);

		if (holds(r->verdicts, news->digest) || batch->len > BATCH_MAX)
			continue;
		crash_record_batch(batch, &r->peers->self, news);
		n++;
	}
	return n;
}

/*
 * Drops verdicts that the copy has and nobody holds any more. One that wasn't here
 * in the era before may only not know them yet.
 */
static unsigned drop_verdicts(const struct record_check *r, const GArray *held,
			      struct buf *batch)
{
	unsigned n = 0;

	for (guint i = 0; i < r->verdicts->len; i++) {
		struct crash_news news =
			g_array_index(r->verdicts, struct crash_news, i);

		if (holds(held, news.digest) || batch->len > BATCH_MAX)
			continue;
		news.kind = CRASH_NEWS_ANSWERED;
		crash_record_batch(batch, &r->peers->self, &news);
		n++;
	}
	return n;
}

/* The listing is whole: writes what is lost. */
static void compare(struct record_check *r, int64_t now_ms)
{
	GArray *held = crash_watch_verdicts(r->crashes);
	uint64_t era = r->store.listing_era;
	unsigned members, verdicts, dropped = 0;
	struct buf batch = {0};

	members = add_members(r, &batch, now_ms);
	verdicts = add_verdicts(r, held, &batch);
	if (era > r->first_era)
		dropped = drop_verdicts(r, held, &batch);
	mp_event(EV_RECORDS_RESTORED, G_LOG_LEVEL_MESSAGE,
		 "era=%" G_GUINT64_FORMAT
		 " members=%u verdicts=%u dropped=%u found=%u",
		 era, members, verdicts, dropped,
		 g_hash_table_size(r->boots) + r->verdicts->len);
	r->wrote = batch.len > 0;
	r->whole = batch.len <= BATCH_MAX;
	if (r->wrote)
		store_append_batch(&r->store, STORE_TOPIC_MEMBERS,
				   buf_lstr(&batch), NULL);
	else
		r->checked_era = era;
	buf_free(&batch);
	g_array_unref(held);
	forget_listing(r);
}

static void on_listed(struct record_check *r, const struct store_result *res)
{
	for (size_t i = 0; i < res->nrecords; i++)
		take_record(r, &res->records[i]);
	if (res->more)
		store_newest(&r->store, STORE_TOPIC_MEMBERS, res->last_key);
	else
		compare(r, clock_ms());
}

static void on_done(void *priv, const struct store_result *res)
{
	struct record_check *r = priv;

	if (res->err) {
		mp_event(EV_PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING,
			 "what=records err=%s", g_strerror(-res->err));
		forget_listing(r);
		r->wrote = false;
		r->due_ms = clock_ms() + RETRY_MS;
		return;
	}
	if (r->wrote) {
		r->wrote = false;
		/* What didn't fit, or was lost again, is found missing. */
		if (res->end.era == r->store.listing_era && r->whole)
			r->checked_era = res->end.era;
		return;
	}
	on_listed(r, res);
}

/*
 * record_check_tick() checks when it is due; `first`: it is this instance's turn.
 * Call it every 0.1 s or so.
 */
void record_check_tick(struct record_check *r, bool first, int64_t now_ms)
{
	uint64_t era = r->store.store->era;

	if (era != r->seen_era) {
		r->seen_era = era;
		r->due_ms = now_ms + SETTLE_MS;
		if (!r->first_era)
			r->first_era = era;
	}
	if (!first || now_ms < r->due_ms || r->store.call != STORE_NO_CALL)
		return;
	if (MAX(r->checked_era, peers_records_era(r->peers)) >= era)
		return;
	store_newest(&r->store, STORE_TOPIC_MEMBERS, LSTR(""));
}

/* record_check_init() prepares the channel; it connects when needed. */
void record_check_init(struct record_check *r, struct ev_loop *loop,
		       struct store_endpoint *store, struct peer_table *peers,
		       struct crash_watch *crashes)
{
	memset(r, 0, sizeof(*r));
	r->peers = peers;
	r->crashes = crashes;
	r->boots =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->verdicts = g_array_new(FALSE, FALSE, sizeof(struct crash_news));
	store_open(&r->store, loop, store, on_done, r);
}
