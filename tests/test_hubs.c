/*
 * Tests of member/hubs: many instances of one system, each with its table, on
 * a clock of their own. They are killed, cut off and started again, datagrams
 * get lost, and yet each soon knows who lives, with few datagrams.
 */
#include "tests/unit.h"

#include <glib.h>

#include "member/hubs.h"

enum {
	MANY = 60,
	FEW = 12,
	TICK_MS = 100,
	SETTLE_MS = 4000, /* longest that somebody may be wrong */
	ROUNDS = 6,
	HISTORIES = 12,
};

struct node {
	struct peer_table t;
	int64_t rolled_ms;
	bool up, cut;
	unsigned sent;
};

struct world {
	struct node nodes[MANY];
	int n;
	int64_t now;
	int loss_pct;
	GRand *rand;
};

static int index_of(const char *name)
{
	return atoi(name + 1);
}

static void start(struct world *w, int i)
{
	struct node *d = &w->nodes[i];
	struct peer_info self = {.boot_id = g_rand_int(w->rand), .ready = true};

	g_snprintf(self.name, sizeof(self.name), "e%03d", i);
	if (d->t.peers)
		g_ptr_array_unref(d->t.peers);
	peers_init(&d->t, &self);
	d->t.roster_received_ms = 0;
	d->rolled_ms = 0;
	d->up = true;
	/* What the members' records in the store tell. */
	for (int k = 0; k < w->n; k++) {
		struct peer_info p = {.boot_id = 0};

		g_snprintf(p.name, sizeof(p.name), "e%03d", k);
		peers_add(&d->t, &p, w->now);
	}
}

static struct world *world_new(int n, guint32 seed)
{
	struct world *w = g_new0(struct world, 1);

	w->n = n;
	w->now = 100000;
	w->rand = g_rand_new_with_seed(seed);
	for (int i = 0; i < n; i++)
		start(w, i);
	return w;
}

static void world_free(struct world *w)
{
	for (int i = 0; i < w->n; i++)
		g_ptr_array_unref(w->nodes[i].t.peers);
	g_rand_free(w->rand);
	g_free(w);
}

/* Whether a datagram from a reaches b. */
static bool passes(struct world *w, int a, int b)
{
	const struct node *x = &w->nodes[a], *y = &w->nodes[b];

	w->nodes[a].sent++;
	return y->up && !x->cut && !y->cut &&
	       g_rand_int_range(w->rand, 0, 100) >= w->loss_pct;
}

static void deliver(struct world *w, int a, int b, const struct roster *r)
{
	struct node *x = &w->nodes[a], *y = &w->nodes[b];
	struct peer *to = peers_find(&x->t, y->t.self.name);
	GArray *unknown;

	to->sent_ms = w->now;
	if (!passes(w, a, b))
		return;
	if (peers_note_heartbeat(&y->t, &x->t.self, w->now) &&
	    passes(w, b, a)) {
		peers_find(&y->t, x->t.self.name)->sent_ms = w->now;
		peers_note_heartbeat(&x->t, &y->t.self, w->now);
	}
	if (!r)
		return;
	unknown = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	hubs_apply_roster(&y->t, r, unknown, w->now);
	assert_int_equal(unknown->len, 0);
	g_array_unref(unknown);
}

static void send_roll(struct world *w, int i)
{
	struct node *d = &w->nodes[i];
	struct roster r;

	d->rolled_ms = w->now;
	roster_init(&r);
	hubs_build_roster(&d->t, &r, w->now);
	for (guint k = 0; k < d->t.peers->len; k++) {
		struct peer *p = g_ptr_array_index(d->t.peers, k);

		if (peer_alive(p, w->now))
			deliver(w, i, index_of(p->info.name), &r);
	}
	roster_clear(&r);
}

static void tick(struct world *w, int i)
{
	struct node *d = &w->nodes[i];

	hubs_assign(&d->t, w->now);
	if (hubs_roster_due(&d->t, d->rolled_ms, w->now))
		send_roll(w, i);
	for (guint k = 0; k < d->t.peers->len; k++) {
		struct peer *p = g_ptr_array_index(d->t.peers, k);

		if (hubs_heartbeat_due(&d->t, p, w->now))
			deliver(w, i, index_of(p->info.name), NULL);
	}
}

static void run_ms(struct world *w, int ms)
{
	for (int64_t end = w->now + ms; w->now < end; w->now += TICK_MS) {
		for (int i = 0; i < w->n; i++) {
			if (w->nodes[i].up)
				tick(w, i);
		}
	}
}

/* Every instance that runs and isn't cut off knows exactly who lives. */
static void check(const struct world *w, guint32 seed, int round)
{
	for (int i = 0; i < w->n; i++) {
		const struct node *d = &w->nodes[i];

		for (guint k = 0; d->up && !d->cut && k < d->t.peers->len;
		     k++) {
			const struct peer *p = g_ptr_array_index(d->t.peers, k);
			const struct node *o =
				&w->nodes[index_of(p->info.name)];

			if (peer_alive(p, w->now) != (o->up && !o->cut))
				fail_msg("seed %u round %d: %s takes %s for "
					 "%s",
					 seed, round, d->t.self.name,
					 p->info.name,
					 o->up && !o->cut ? "gone" : "alive");
		}
	}
}

static unsigned sent_by_all(struct world *w, int ms)
{
	unsigned n = 0;

	for (int i = 0; i < w->n; i++)
		w->nodes[i].sent = 0;
	run_ms(w, ms);
	for (int i = 0; i < w->n; i++)
		n += w->nodes[i].sent;
	return n;
}

/* Few instances tell each other; many use the hubs. */
static void test_calm(void **state)
{
	struct world *w = world_new(FEW, 1);

	run_ms(w, 2000);
	check(w, 1, 0);
	assert_in_range(sent_by_all(w, 1000), FEW * (FEW - 1) * 2,
			FEW * (FEW - 1) * 2);
	world_free(w);
	w = world_new(MANY, 1);
	run_ms(w, 2000);
	check(w, 1, 0);
	/* Three hubs hear all twice a second, and one tells all. */
	assert_in_range(sent_by_all(w, 1000), MANY * 4, MANY * 8 + 10);
	world_free(w);
}

/* All hubs at once: the next ones take over. */
static void test_hubs_killed(void **state)
{
	struct world *w = world_new(MANY, 2);

	run_ms(w, 2000);
	for (int i = 0; i < 5; i++)
		w->nodes[i].up = false;
	run_ms(w, SETTLE_MS);
	check(w, 2, 0);
	assert_true(sent_by_all(w, 1000) < MANY * 12);
	world_free(w);
}

/* Random kills, cuts and starts, in series, with lossy links. */
static void run_history(guint32 seed)
{
	struct world *w = world_new(MANY, seed);

	w->loss_pct = g_rand_int_range(w->rand, 0, 4);
	run_ms(w, 2000);
	for (int round = 0; round < ROUNDS; round++) {
		int kill_pct = g_rand_int_range(w->rand, 0, 70);
		int cut_pct = g_rand_int_range(w->rand, 0, 30);

		for (int i = 0; i < w->n; i++) {
			struct node *d = &w->nodes[i];
			bool up = g_rand_int_range(w->rand, 0, 100) >= kill_pct;

			if (up && !d->up)
				start(w, i);
			d->up = up;
			d->cut = g_rand_int_range(w->rand, 0, 100) < cut_pct;
		}
		run_ms(w, g_rand_int_range(w->rand, 0, 2000));
		run_ms(w, SETTLE_MS);
		/* A few beats lost in a row are a peer lost for a moment. */
		if (w->loss_pct == 0)
			check(w, seed, round);
	}
	w->loss_pct = 0;
	run_ms(w, SETTLE_MS);
	check(w, seed, ROUNDS);
	world_free(w);
}

static void test_histories(void **state)
{
	const char *env = g_getenv("MP_SEED");
	guint32 seed =
		env ? (guint32)g_ascii_strtoull(env, NULL, 10) : 20261202;

	print_message("seed %u\n", seed);
	for (guint32 i = 0; i < HISTORIES; i++)
		run_history(seed + i);
}

static void take(struct peer_table *t, const struct roster *r, int64_t now)
{
	GArray *unknown = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	hubs_apply_roster(t, r, unknown, now);
	g_array_unref(unknown);
}

/*
 * A digest is as good as the whole roster for who has that, and no good for
 * who missed a change: one that left, one that came, one that got ready.
 */
static void test_digest(void **state)
{
	struct world *w = world_new(MANY, 4);
	struct peer_table *hub = &w->nodes[0].t, *t;
	struct roster before, after;

	run_ms(w, 2000);
	roster_init(&before);
	hubs_build_roster(hub, &before, w->now);
	start(w, 30);
	t = &w->nodes[30].t;
	assert_false(hubs_apply_digest(t, roster_digest(&before), w->now));
	take(t, &before, w->now);
	assert_true(
		hubs_apply_digest(t, roster_digest(&before), w->now + 1000));
	/* It keeps all alive beyond the time of the roster itself. */
	assert_true(peer_alive(g_ptr_array_index(t->peers, 5), w->now + 2500));
	assert_false(peer_alive(g_ptr_array_index(t->peers, 5), w->now + 2800));
	for (int i = 0; i < 3; i++) {
		roster_init(&after);
		g_array_append_vals(after.entries, before.entries->data,
				    before.entries->len);
		if (i == 0)
			g_array_remove_index(after.entries, 7);
		else if (i == 1)
			g_array_index(after.entries, struct roster_entry, 7)
				.ready ^= true;
		else
			g_array_index(after.entries, struct roster_entry, 7)
				.id++;
		assert_false(
			hubs_apply_digest(t, roster_digest(&after), w->now));
		roster_clear(&after);
	}
	roster_clear(&before);
	world_free(w);
}

/* A roster in parts: each says of its ids who lives, and of no others. */
static void test_parts(void **state)
{
	struct world *w = world_new(MANY, 3);
	struct peer_table *t = &w->nodes[0].t;
	GArray *unknown = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	struct roster all, part;
	unsigned alive = 0;
	guint at = 0;

	run_ms(w, 2000);
	roster_init(&all);
	hubs_build_roster(t, &all, w->now);
	assert_int_equal(all.entries->len, MANY);
	/* Another table hears only of the first part. */
	start(w, 30);
	t = &w->nodes[30].t;
	roster_init(&part);
	at = roster_part(&all, 0, 25, &part);
	assert_int_equal(at, 25);
	assert_int_equal(part.lo, 0);
	hubs_apply_roster(t, &part, unknown, w->now);
	for (guint i = 0; i < t->peers->len; i++)
		alive += peer_alive(g_ptr_array_index(t->peers, i), w->now);
	assert_in_range(alive, 24, 25);
	roster_clear(&part);
	/* The rest, and an id that nobody told of. */
	while (at < all.entries->len) {
		roster_init(&part);
		at = roster_part(&all, at, 25, &part);
		hubs_apply_roster(t, &part, unknown, w->now);
		roster_clear(&part);
	}
	alive = 0;
	for (guint i = 0; i < t->peers->len; i++)
		alive += peer_alive(g_ptr_array_index(t->peers, i), w->now);
	assert_int_equal(alive, MANY - 1);
	assert_int_equal(unknown->len, 0);
	g_array_index(all.entries, struct roster_entry, 59).id = UINT32_MAX;
	hubs_apply_roster(t, &all, unknown, w->now);
	assert_int_equal(unknown->len, 1);
	roster_clear(&all);
	g_array_unref(unknown);
	world_free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_calm),
		cmocka_unit_test(test_hubs_killed),
		cmocka_unit_test(test_parts),
		cmocka_unit_test(test_digest),
		cmocka_unit_test(test_histories),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
