#include <string.h>

#include "common/event.h"
#include "member/contact.h"

enum {
	/*
	 * Silence of all peers for this long isn't the loss of a hub any more.
	 * A peer that is gone may have been in rosters for 2 s, and must not be
	 * named for more than 6 s.
	 */
	SILENT_MAX_MS = 3500,
	/* An instance that begins to listen hears its live peers by then. */
	FIRST_SIGNS_MS = 1500,
	/* The store has answered within this time: it is reached. */
	STORE_REACHED_MS = 3000,
};

/* Names of the states for the log. */
static const char *const state_names[] = {
	[CONTACT_HEARD] = "heard",
	[CONTACT_SILENT] = "silent",
	[CONTACT_ALONE] = "alone",
	[CONTACT_CUT_OFF] = "cut-off",
};

/* Returns when the last sign of life of any peer arrived; 0: never. */
static int64_t last_sign_ms(const struct peer_table *t)
{
	int64_t last = 0;

	for (guint i = 0; i < t->peers->len; i++)
		last = MAX(last,
			   peer_last_sign_ms(g_ptr_array_index(t->peers, i)));
	return last;
}

/* Returns whether live peers may not have been heard yet. */
static bool has_just_begun(const struct peer_table *t, int64_t now_ms)
{
	return now_ms - t->listening_ms < FIRST_SIGNS_MS;
}

/* Judges the silence of all peers; see contact_update(). */
static enum contact_state judge_silence(const struct peer_table *t,
					int64_t store_ms, int64_t now_ms)
{
	int64_t sign_ms = last_sign_ms(t);

	if (t->contact == CONTACT_ALONE)
		return CONTACT_ALONE;
	if (has_just_begun(t, now_ms) ||
	    (sign_ms && now_ms - sign_ms < SILENT_MAX_MS))
		return CONTACT_SILENT;
	if (store_ms && now_ms - store_ms < STORE_REACHED_MS)
		return CONTACT_ALONE;
	return now_ms - MAX(sign_ms, t->listening_ms) < PEER_PARTITION_MAX_MS
		       ? CONTACT_CUT_OFF
		       : CONTACT_ALONE;
}

/*
 * contact_update() judges and returns the contact to the peers. `store_ms` is
 * when the store last answered this instance; 0: never. Silence of all peers
 * means at first that a hub is lost or that all are restarting. After that, an
 * instance that reaches the store is the last one left, and stays so until it
 * hears a peer; one that doesn't is cut off, at most for as long as partitions
 * last. Call it about every 0.1 s.
 */
enum contact_state contact_update(struct peer_table *t, int64_t store_ms,
				  int64_t now_ms)
{
	enum contact_state before = t->contact;

	if (!t->listening_ms)
		t->listening_ms = now_ms;
	t->contact = peers_count_alive(t, now_ms)
			     ? CONTACT_HEARD
			     : judge_silence(t, store_ms, now_ms);
	if (t->contact != before)
		mp_event(EV_CONTACT, G_LOG_LEVEL_MESSAGE,
			 "state=%s before=%s known=%u "
			 "sign_age_ms=%" G_GINT64_FORMAT
			 " store_age_ms=%" G_GINT64_FORMAT
			 " listening_ms=%" G_GINT64_FORMAT,
			 state_names[t->contact], state_names[before],
			 t->peers->len, now_ms - last_sign_ms(t),
			 now_ms - store_ms, now_ms - t->listening_ms);
	return t->contact;
}

/* What is asked of the instances that callers are told of. */
struct filter {
	int64_t alive_ms; /* alive at this time; 0: known at all */
	int64_t sign_ms;  /* with a sign of life since then */
	bool ready;	  /* can serve */
};

/* An instance that announced that it leaves never passes. */
static bool passes(const struct peer *p, const struct filter *f)
{
	if (p->info.leaving || (f->ready && !p->info.ready))
		return false;
	return !f->alive_ms || (peer_alive(p, f->alive_ms) &&
				peer_last_sign_ms(p) >= f->sign_ms);
}

static void add_endpoint(GArray *out, const struct peer_info *p)
{
	struct peer_endpoint b = {.peer_addr = {.sin_family = AF_INET}};

	memcpy(b.name, p->name, sizeof(b.name));
	memcpy(b.dc, p->dc, sizeof(b.dc));
	memcpy(b.caller_addr, p->caller_addr, sizeof(b.caller_addr));
	memcpy(b.own_addr, p->own_addr, sizeof(b.own_addr));
	b.peer_addr.sin_addr = p->addr.sin_addr;
	b.peer_addr.sin_port = p->addr.sin_port;
	g_array_append_val(out, b);
}

/* Lists the instances that pass and returns their number. */
static guint list_peers(const struct peer_table *t, const struct filter *f,
			GArray *out)
{
	g_array_set_size(out, 0);
	if (!t->self.leaving && (t->self.ready || !f->ready))
		add_endpoint(out, &t->self);
	for (guint i = 0; i < t->peers->len && t->contact != CONTACT_ALONE;
	     i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		if (passes(p, f))
			add_endpoint(out, &p->info);
	}
	return out->len;
}

/*
 * peers_for_callers() lists the instances that callers may connect to: the live
 * ones that can serve or, if none can, all live ones, which reply with a time to
 * retry. While no peer is heard but some may be running, those count as alive
 * that were so at the last sign of any peer; see contact_update(), which must
 * have been called. Returns an array of struct peer_endpoint; unref it after
 * use.
 */
GArray *peers_for_callers(const struct peer_table *t, int64_t now_ms)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct peer_endpoint));
	struct filter f = {.alive_ms = now_ms, .ready = true};

	if (t->contact != CONTACT_HEARD)
		f.alive_ms = last_sign_ms(t);
	if (t->contact == CONTACT_SILENT && !has_just_begun(t, now_ms))
		f.sign_ms = now_ms - SILENT_MAX_MS;
	/* Records of instances don't tell whether they can serve now. */
	f.ready = f.alive_ms != 0;
	if (list_peers(t, &f, out) == 0 && f.ready) {
		f.ready = false;
		list_peers(t, &f, out);
	}
	return out;
}
