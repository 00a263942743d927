#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/own_records.h"
#include "control/record_check.h"
#include "misc/backoff.h"
#include "misc/clock.h"

enum {
	/*
	 * By then an instance that starts knows which one is first, and
	 * repeated broadcasts of verdicts have reached all.
	 */
	CHECK_DELAY_MS = 2000,
	/*
	 * An instance that is alone writes its record after a random time below
	 * this, so that of those that start together few write.
	 */
	ALONE_SPREAD_MS = 500,
	/* Delay in which newly found members may answer before a write. */
	FOUND_DELAY_MS = 500,
	/* Instances that are new are written together. */
	NEW_DELAY_MS = 1000,
	/*
	 * Parts of a deployment that started apart find each other by their
	 * records.
	 */
	REPEAT_MS = 10 * 1000,
	/*
	 * The same for an instance that is alone: others may have written at
	 * the same time, without having seen its record.
	 */
	REPEAT_ALONE_MS = 500,
	REPEAT_ALONE_MAX_MS = 8000,
	RETRY_MS = 1000,
	RETRY_MAX_MS = 4000,
	/*
	 * Limit of bytes in one write; the rest is found missing by the next
	 * check.
	 */
	BATCH_MAX = 1 << 20,
};

/* Drops what is known of the stored records. */
static void clear_listing(struct record_check *r)
{
	r->found = 0;
	g_hash_table_remove_all(r->stored);
	g_array_set_size(r->verdicts, 0);
}

/* What is known of an instance's record in the store. */
struct stored_record {
	struct sockaddr_in addr;
	uint64_t boot_id;
};

/* record_check_note() notes that an instance's record is stored. */
void record_check_note(struct record_check *r, const struct peer_info *p)
{
	struct stored_record s = {p->addr, p->boot_id};

	g_hash_table_replace(r->stored, g_strdup(p->name),
			     g_memdup2(&s, sizeof(s)));
}

/*
 * Returns whether an instance's record is known to be stored, so that others
 * find it; `exact`: also that of its present lifetime.
 */
static bool is_stored(const struct record_check *r, const struct peer_info *p,
		      bool exact)
{
	const struct stored_record *s = g_hash_table_lookup(r->stored, p->name);

	return s && !memcmp(&s->addr, &p->addr, sizeof(s->addr)) &&
	       (!exact || s->boot_id == p->boot_id);
}

/* Applies one record; members that were unknown are added. */
static void apply_record(struct record_check *r, const struct store_record *rec)
{
	struct gossip_message m;

	if (!own_record_read(rec, &m)) {
		gossip_message_clear(&m);
		return;
	}
	if (m.kind == GOSSIP_CRASHES) {
		g_array_append_vals(r->verdicts, m.crashes->data,
				    m.crashes->len);
	} else {
		unsigned before = r->peers->peers->len;

		peers_add(r->peers, &m.sender, clock_boot_ms());
		r->found += r->peers->peers->len - before;
		record_check_note(r, &m.sender);
	}
	gossip_message_clear(&m);
}

/* Adds an instance's record to the batch unless it is stored. */
static unsigned add_member(struct record_check *r, const struct peer_info *p,
			   struct buf *batch)
{
	struct buf value = {0};

	if (is_stored(r, p, true) || batch->len > BATCH_MAX)
		return 0;
	gossip_write_heartbeat(&value, p);
	store_batch_add(batch, lstr0(p->name), buf_lstr(&value));
	buf_free(&value);
	record_check_note(r, p);
	return 1;
}

/* Adds the records of live instances that aren't stored. */
static unsigned add_members(struct record_check *r, struct buf *batch,
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

static bool contains(const GArray *all, uint64_t digest)
{
	for (guint i = 0; i < all->len; i++) {
		if (g_array_index(all, struct crash_notice, i).digest == digest)
			return true;
	}
	return false;
}

/* Adds the verdicts that are in force here but not stored. */
static unsigned add_verdicts(const struct record_check *r,
			     const GArray *verdicts_here, struct buf *batch)
{
	unsigned n = 0;

	for (guint i = 0; i < verdicts_here->len; i++) {
		const struct crash_notice *notice =
			&g_array_index(verdicts_here, struct crash_notice, i);

		if (contains(r->verdicts, notice->digest) ||
		    batch->len > BATCH_MAX)
			continue;
		crash_record_batch(batch, &r->peers->self, notice);
		n++;
	}
	return n;
}

/*
 * Deletes stored verdicts that are no longer in force, as a backup may hold
 * them. An instance that has not seen the previous era skips this, since it may
 * not have received those verdicts yet.
 */
static unsigned drop_verdicts(const struct record_check *r,
			      const GArray *verdicts_here, struct buf *batch)
{
	unsigned n = 0;

	for (guint i = 0; i < r->verdicts->len; i++) {
		struct crash_notice notice =
			g_array_index(r->verdicts, struct crash_notice, i);

		if (contains(verdicts_here, notice.digest) ||
		    batch->len > BATCH_MAX)
			continue;
		notice.kind = CRASH_NOTICE_ANSWERED;
		crash_record_batch(batch, &r->peers->self, &notice);
		n++;
	}
	return n;
}

/* Notes that all records are stored. */
static void note_checked(struct record_check *r, uint64_t era)
{
	int repeat_ms = REPEAT_MS;

	if (peers_count_alive(r->peers, clock_boot_ms()))
		r->alone = 0;
	else
		repeat_ms = backoff_ms(++r->alone, REPEAT_ALONE_MS,
				       REPEAT_ALONE_MAX_MS, g_random_double());
	r->checked_era = era;
	r->checked = true;
	r->repeat_ms = clock_boot_ms() + repeat_ms;
}

/* Compares the complete listing with what is known, and writes what is lost. */
static void compare(struct record_check *r, int64_t now_ms)
{
	GArray *verdicts_here = crash_watch_verdicts(r->crashes);
	uint64_t era = r->store.listing_era;
	unsigned members, verdicts, dropped = 0;
	struct buf batch = {0};

	if (r->found) {
		r->found = 0;
		r->due_ms = now_ms + FOUND_DELAY_MS;
		g_array_unref(verdicts_here);
		g_array_set_size(r->verdicts, 0);
		return;
	}
	members = add_members(r, &batch, now_ms);
	verdicts = add_verdicts(r, verdicts_here, &batch);
	if (era > r->first_era)
		dropped = drop_verdicts(r, verdicts_here, &batch);
	mp_event(EV_RECORDS_RESTORED, G_LOG_LEVEL_MESSAGE,
		 "era=%" G_GUINT64_FORMAT
		 " members=%u verdicts=%u dropped=%u found=%u",
		 era, members, verdicts, dropped,
		 g_hash_table_size(r->stored) + r->verdicts->len);
	r->writing = batch.len > 0;
	r->complete = batch.len <= BATCH_MAX;
	if (r->writing)
		store_append_batch(&r->store, STORE_TOPIC_MEMBERS,
				   buf_lstr(&batch), NULL);
	else
		note_checked(r, era);
	buf_free(&batch);
	g_array_unref(verdicts_here);
	g_array_set_size(r->verdicts, 0);
}

/* Applies one page of the listing and compares after the last one. */
static void on_listed(struct record_check *r, const struct store_result *res)
{
	for (size_t i = 0; i < res->nrecords; i++)
		apply_record(r, &res->records[i]);
	if (res->more)
		store_list(&r->store, STORE_TOPIC_MEMBERS, res->last_key);
	else
		compare(r, clock_boot_ms());
}

/* Handles the result of the listing or of the write. */
static void on_done(void *priv, const struct store_result *res)
{
	struct record_check *r = priv;

	if (res->err) {
		mp_event(EV_PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING,
			 "what=records err=%s", g_strerror(-res->err));
		clear_listing(r);
		r->writing = false;
		r->failures++;
		r->due_ms = clock_boot_ms() + backoff_ms(r->failures, RETRY_MS,
							 RETRY_MAX_MS,
							 g_random_double());
		return;
	}
	r->failures = 0;
	if (r->writing) {
		r->writing = false;
		/*
		 * What didn't fit, or was lost again, is found by the next
		 * check.
		 */
		if (res->end.era == r->store.listing_era && r->complete)
			note_checked(r, res->end.era);
		return;
	}
	on_listed(r, res);
}

/* Returns whether a live member's record isn't known to be stored. */
static bool has_new_member(const struct record_check *r, int64_t now_ms)
{
	if (!is_stored(r, &r->peers->self, false))
		return true;
	for (guint i = 0; i < r->peers->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(r->peers->peers, i);

		if (peer_alive(p, now_ms) && !p->info.leaving &&
		    !is_stored(r, &p->info, false))
			return true;
	}
	return false;
}

/* Notes all members as stored: another instance has checked the records. */
static void take_over(struct record_check *r, int64_t now_ms)
{
	record_check_note(r, &r->peers->self);
	for (guint i = 0; i < r->peers->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(r->peers->peers, i);

		record_check_note(r, &p->info);
	}
	r->checked = true;
	r->repeat_ms = now_ms + REPEAT_MS;
}

/*
 * Returns whether records of live members may be missing for long enough. Few
 * of the instances that start together and know of no other one write.
 */
static bool is_member_due(struct record_check *r, int64_t now_ms)
{
	if (!has_new_member(r, now_ms)) {
		r->new_due_ms = 0;
		return false;
	}
	if (!r->new_due_ms) {
		bool alone = peers_count_alive(r->peers, now_ms) == 0;

		r->new_due_ms =
			now_ms +
			(alone ? (int64_t)(g_random_double() * ALONE_SPREAD_MS)
			       : NEW_DELAY_MS);
	}
	return now_ms >= r->new_due_ms;
}

/* Returns whether a check is due, for the first instance. */
static bool is_due(struct record_check *r, int64_t now_ms)
{
	uint64_t era = r->store.store->era;
	uint64_t checked_era = MAX(r->checked_era, peers_records_era(r->peers));

	if (now_ms < r->due_ms)
		return false;
	if (era > checked_era)
		return true;
	if (!r->checked && era)
		take_over(r, now_ms);
	return (r->checked && now_ms >= r->repeat_ms) ||
	       is_member_due(r, now_ms);
}

/*
 * record_check_tick() runs a check when due. `first`: it is this instance's
 * turn. Call it about every 0.1 s.
 */
void record_check_tick(struct record_check *r, bool first, int64_t now_ms)
{
	uint64_t era = r->store.store->era;

	if (era != r->seen_era) {
		r->seen_era = era;
		r->due_ms = now_ms + CHECK_DELAY_MS;
		if (!r->first_era)
			r->first_era = era;
	}
	if (!first || r->store.call != STORE_IDLE || !is_due(r, now_ms))
		return;
	clear_listing(r);
	r->new_due_ms = 0;
	store_list(&r->store, STORE_TOPIC_MEMBERS, LSTR(""));
}

/*
 * record_check_init() initializes the channel; it connects on the first check.
 */
void record_check_init(struct record_check *r, struct ev_loop *loop,
		       struct store_endpoint *store, struct peer_table *peers,
		       struct crash_watch *crashes)
{
	memset(r, 0, sizeof(*r));
	r->peers = peers;
	r->crashes = crashes;
	r->stored =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->verdicts = g_array_new(FALSE, FALSE, sizeof(struct crash_notice));
	store_open(&r->store, loop, store, on_done, r);
}
