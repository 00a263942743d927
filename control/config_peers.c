/*
 * The configuration as reported by peers: how far they have read it, and the
 * versions and evacuations that are fetched from them.
 */
#include <errno.h>

#include "control/config_watch_private.h"

enum {
	/*
	 * A poll sent before a peer reported a record may be lost, or its
	 * answer may be in transit: 500 KB take 0.4 s on a link of 10 Mbit/s.
	 */
	IN_TRANSIT_MS = 700,
};

/*
 * config_watch_import() applies a peer's newest record and evacuations. They
 * include the records before `pos` and were the newest at confirmed_ms; reading
 * continues from there.
 */
void config_watch_import(struct config_watch *w, struct lstr record,
			 const struct evacuations *e, struct store_position pos,
			 int64_t confirmed_ms)
{
	struct store_record rec = {
		.pos = pos, .key = lstr0(w->source.key), .value = record};
	struct config *c;

	if (!record.len && !w->source.usable_when_absent)
		return;
	c = config_watch_decode_newer(w, &rec, w->pos);
	if (!c)
		return;
	w->pos = pos;
	w->listed = true;
	config_watch_set_evacuations(w, e, "peer", pos);
	config_watch_apply(w, c, &rec, "peer");
	w->peer_confirmed_ms = confirmed_ms;
}

/* Takes over a peer's position, if it belongs to the present era. */
static void advance(struct config_watch *w, struct store_position pos,
		    int64_t confirmed_ms)
{
	if (pos.era != w->store.store->era)
		return;
	if (store_position_cmp(pos, w->pos) > 0) {
		w->pos = pos;
		w->relist = false;
	}
	if (store_position_cmp(pos, w->pos) == 0 &&
	    confirmed_ms > w->peer_confirmed_ms)
		w->peer_confirmed_ms = confirmed_ms;
}

/*
 * config_watch_apply_peer() applies a peer's newest valid record and its
 * evacuations, which supersede all records before `pos`. Returns 0, or -ESTALE if the peer knows
 * less than this instance, so that the store must be read.
 */
int config_watch_apply_peer(struct config_watch *w, struct lstr record,
			    const struct evacuations *e,
			    struct store_position pos, int64_t confirmed_ms)
{
	struct store_record rec = {
		.pos = pos, .key = lstr0(w->source.key), .value = record};
	bool ahead = store_position_cmp(pos, w->pos) > 0;
	struct config *c = config_watch_decode_newer(w, &rec, w->pos);

	if (!c && !lstr_eq(record, buf_lstr(&w->record))) {
		w->invalid_digest = config_watch_digest(record, e);
		if (ahead && pos.era == w->pos.era)
			return -ESTALE;
	}
	if (ahead)
		config_watch_set_evacuations(w, e, "peer", pos);
	if (c)
		config_watch_apply(w, c, &rec, "peer");
	advance(w, pos, confirmed_ms);
	return 0;
}

/* Records since when a peer is known to have read records that are new here. */
static void record_behind(struct config_watch *w, struct store_position pos,
			  int64_t now_ms)
{
	if (store_position_cmp(w->peer_pos, w->pos) <= 0 ||
	    store_position_cmp(w->behind_pos, w->pos) != 0) {
		w->behind_ms = now_ms;
		w->behind_pos = w->pos;
	}
	if (store_position_cmp(pos, w->peer_pos) > 0)
		w->peer_pos = pos;
}

/* Returns whether a peer's version supersedes the current one. */
static bool is_newer(const struct config_watch *w,
		     const struct config_progress *m)
{
	if (m->version != w->version)
		return m->version > w->version;
	return m->digest != w->digest && store_position_cmp(m->pos, w->pos) > 0;
}

/*
 * Decides how to get a peer's newer version. The store has it, unless it was
 * restored from a backup that lacks it.
 */
static enum config_action choose_action(struct config_watch *w,
					const struct config_progress *m,
					int64_t now_ms)
{
	bool ahead = store_position_cmp(m->pos, w->pos) > 0;

	w->newest_progress = *m;
	if (ahead)
		record_behind(w, m->pos, now_ms);
	if (!w->listed)
		return CONFIG_NO_ACTION;
	if (!ahead || m->pos.era != w->pos.era || !config_watch_has_bookmark(w))
		return w->invalid_digest == m->digest ? CONFIG_NO_ACTION
						      : CONFIG_FETCH_FROM_PEER;
	/* A call sent after that time returns it, however long it takes. */
	if (w->store.call != STORE_IDLE && w->call_sent_ms < w->behind_ms &&
	    now_ms - w->behind_ms > IN_TRANSIT_MS)
		config_watch_restart(w);
	/* A peer was able to read it, so the pause after a failure ends. */
	if (w->failures && ev_is_active(&w->retry))
		ev_timer_stop(w->loop, &w->retry);
	return config_watch_is_idle(w) ? CONFIG_READ_STORE : CONFIG_NO_ACTION;
}

/*
 * config_watch_on_progress() handles a peer's report of how far it knows the
 * configuration. Returns the action needed to get a version that is new here
 * and that no pending call will return.
 */
enum config_action config_watch_on_progress(struct config_watch *w,
					    const struct config_progress *m,
					    int64_t now_ms)
{
	if (is_newer(w, m))
		return choose_action(w, m, now_ms);
	/* With another digest it knows records that are unknown here. */
	if (w->listed && w->version &&
	    (m->digest == w->digest || store_position_cmp(m->pos, w->pos) <= 0))
		advance(w, m->pos,
			m->age_ms == AGE_UNKNOWN ? 0 : now_ms - m->age_ms);
	return CONFIG_NO_ACTION;
}

/* config_watch_is_behind() returns whether a peer has a newer valid version. */
bool config_watch_is_behind(const struct config_watch *w)
{
	return is_newer(w, &w->newest_progress) &&
	       w->newest_progress.digest != w->invalid_digest;
}
