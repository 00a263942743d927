/*
 * Simulates many instances, each with its own peer table, on a simulated clock.
 * Instances are killed, partitioned and restarted and datagrams are lost; all
 * must soon agree on who is alive, with few datagrams.
 */
#include "tests/unit.h"

#include <glib.h>

#include "member/hubs.h"

enum {
	LARGE = 60,
	SMALL = 12,
	TICK_MS = 100,
	SETTLE_MS = 4000, /* longest that a view may be wrong */
	ROUNDS = 6,
	RUNS = 12,
};

struct node {
	struct peer_table t;
	int64_t roster_sent_ms;
	bool up, cut;
	unsigned sent;
};

struct cluster {
	struct node nodes[LARGE];
	int n;
	int64_t now;
	int loss_pct;
	GRand *rand;
};

static int index_of(const char *name)
{
	return atoi(name + 1);
}

/* (Re)starts an instance, which knows the others from the store's records. */
static void start(struct cluster *c, int i)
{
	struct node *node = &c->nodes[i];
	struct peer_info self = {.boot_id = g_rand_int(c->rand), .ready = true};

	g_snprintf(self.name, sizeof(self.name), "e%03d", i);
	if (node->t.peers)
		g_ptr_array_unref(node->t.peers);
	peers_init(&node->t, &self);
	node->t.roster_received_ms = 0;
	node->t.joined_ms = c->now;
	node->t.joined_by_store = true;
	node->roster_sent_ms = 0;
	node->up = true;
	for (int k = 0; k < c->n; k++) {
		struct peer_info p = {.boot_id = 0};

		g_snprintf(p.name, sizeof(p.name), "e%03d", k);
		peers_add(&node->t, &p, c->now);
	}
}

static struct cluster *cluster_new(int n, guint32 seed)
{
	struct cluster *c = g_new0(struct cluster, 1);

	c->n = n;
	c->now = 100000;
	c->rand = g_rand_new_with_seed(seed);
	for (int i = 0; i < n; i++)
		start(c, i);
	return c;
}

static void cluster_free(struct cluster *c)
{
	for (int i = 0; i < c->n; i++)
		g_ptr_array_unref(c->nodes[i].t.peers);
	g_rand_free(c->rand);
	g_free(c);
}

/* Counts a datagram from a to b; returns whether it arrives. */
static bool send_datagram(struct cluster *c, int a, int b)
{
	const struct node *x = &c->nodes[a], *y = &c->nodes[b];

	c->nodes[a].sent++;
	return y->up && !x->cut && !y->cut &&
	       g_rand_int_range(c->rand, 0, 100) >= c->loss_pct;
}

/*
 * Sends a heartbeat from a to b, with a roster if `r` is set. A new peer
 * replies at once.
 */
static void deliver(struct cluster *c, int a, int b, const struct roster *r)
{
	struct node *x = &c->nodes[a], *y = &c->nodes[b];
	struct peer *to = peers_find(&x->t, y->t.self.name);
	GArray *unknown;

	to->sent_ms = c->now;
	if (!send_datagram(c, a, b))
		return;
	if (peers_note_heartbeat(&y->t, &x->t.self, c->now) &&
	    send_datagram(c, b, a)) {
		peers_find(&y->t, x->t.self.name)->sent_ms = c->now;
		peers_note_heartbeat(&x->t, &y->t.self, c->now);
	}
	if (!r)
		return;
	unknown = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	hubs_apply_roster(&y->t, r, unknown, c->now);
	assert_int_equal(unknown->len, 0);
	g_array_unref(unknown);
}

/* Sends the roster of instance i to all live peers. */
static void send_roster(struct cluster *c, int i)
{
	struct node *node = &c->nodes[i];
	struct roster r;

	node->roster_sent_ms = c->now;
	roster_init(&r);
	hubs_build_roster(&node->t, &r, c->now);
	for (guint k = 0; k < node->t.peers->len; k++) {
		struct peer *p = g_ptr_array_index(node->t.peers, k);

		if (peer_alive(p, c->now))
			deliver(c, i, index_of(p->info.name), &r);
	}
	roster_clear(&r);
}

/* Runs instance i for one tick. */
static void tick(struct cluster *c, int i)
{
	struct node *node = &c->nodes[i];

	hubs_assign(&node->t, c->now);
	if (hubs_roster_due(&node->t, node->roster_sent_ms, c->now))
		send_roster(c, i);
	for (guint k = 0; k < node->t.peers->len; k++) {
		struct peer *p = g_ptr_array_index(node->t.peers, k);

		if (hubs_heartbeat_due(&node->t, p, c->now))
			deliver(c, i, index_of(p->info.name), NULL);
	}
}

static void run_ms(struct cluster *c, int ms)
{
	for (int64_t end = c->now + ms; c->now < end; c->now += TICK_MS) {
		for (int i = 0; i < c->n; i++) {
			if (c->nodes[i].up)
				tick(c, i);
		}
	}
}

/*
 * Checks that every instance that is up and not cut off has the right view of
 * who is alive.
 */
static void check(const struct cluster *c, guint32 seed, int round)
{
	for (int i = 0; i < c->n; i++) {
		const struct node *node = &c->nodes[i];

		for (guint k = 0;
		     node->up && !node->cut && k < node->t.peers->len; k++) {
			const struct peer *p =
				g_ptr_array_index(node->t.peers, k);
			const struct node *o =
				&c->nodes[index_of(p->info.name)];

			if (peer_alive(p, c->now) != (o->up && !o->cut))
				fail_msg("seed %u round %d: %s considers %s "
					 "%s",
					 seed, round, node->t.self.name,
					 p->info.name,
					 o->up && !o->cut ? "gone" : "alive");
		}
	}
}

/* Returns the number of datagrams that all instances send within `ms`. */
static unsigned count_sent(struct cluster *c, int ms)
{
	unsigned n = 0;

	for (int i = 0; i < c->n; i++)
		c->nodes[i].sent = 0;
	run_ms(c, ms);
	for (int i = 0; i < c->n; i++)
		n += c->nodes[i].sent;
	return n;
}

/* Few instances send heartbeats to each other; many use the hubs. */
static void test_steady_state(void **state)
{
	struct cluster *c = cluster_new(SMALL, 1);

	run_ms(c, 2000);
	check(c, 1, 0);
	assert_in_range(count_sent(c, 1000), SMALL * (SMALL - 1) * 2,
			SMALL * (SMALL - 1) * 2);
	cluster_free(c);
	c = cluster_new(LARGE, 1);
	run_ms(c, 2000);
	check(c, 1, 0);
	/*
	 * All send heartbeats to three hubs twice a second, and one hub sends
	 * the roster to all.
	 */
	assert_in_range(count_sent(c, 1000), LARGE * 4, LARGE * 8 + 10);
	cluster_free(c);
}

/* All hubs fail at once: the next instances take over. */
static void test_hubs_killed(void **state)
{
	struct cluster *c = cluster_new(LARGE, 2);

	run_ms(c, 2000);
	for (int i = 0; i < 5; i++)
		c->nodes[i].up = false;
	run_ms(c, SETTLE_MS);
	check(c, 2, 0);
	assert_true(count_sent(c, 1000) < LARGE * 12);
	cluster_free(c);
}

/* Random kills, partitions and restarts, with lossy links. */
static void run_random_failures(guint32 seed)
{
	struct cluster *c = cluster_new(LARGE, seed);

	c->loss_pct = g_rand_int_range(c->rand, 0, 4);
	run_ms(c, 2000);
	for (int round = 0; round < ROUNDS; round++) {
		int kill_pct = g_rand_int_range(c->rand, 0, 70);
		int cut_pct = g_rand_int_range(c->rand, 0, 30);

		for (int i = 0; i < c->n; i++) {
			struct node *node = &c->nodes[i];
			bool up = g_rand_int_range(c->rand, 0, 100) >= kill_pct;

			if (up && !node->up)
				start(c, i);
			node->up = up;
			node->cut = g_rand_int_range(c->rand, 0, 100) < cut_pct;
		}
		run_ms(c, g_rand_int_range(c->rand, 0, 2000));
		run_ms(c, SETTLE_MS);
		/*
		 * With loss, some heartbeats missing in a row make a live peer
		 * look dead for a moment.
		 */
		if (c->loss_pct == 0)
			check(c, seed, round);
	}
	c->loss_pct = 0;
	run_ms(c, SETTLE_MS);
	check(c, seed, ROUNDS);
	cluster_free(c);
}

static void test_random_failures(void **state)
{
	const char *env = g_getenv("MP_SEED");
	guint32 seed =
		env ? (guint32)g_ascii_strtoull(env, NULL, 10) : 20261202;

	print_message("seed %u\n", seed);
	for (guint32 i = 0; i < RUNS; i++)
		run_random_failures(seed + i);
}

static void apply_roster(struct peer_table *t, const struct roster *r,
			 int64_t now)
{
	GArray *unknown = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	hubs_apply_roster(t, r, unknown, now);
	g_array_unref(unknown);
}

/*
 * A digest confirms the roster for an instance that has it, and is rejected by
 * one that missed a change: an instance that left, came or became ready.
 */
static void test_digest(void **state)
{
	struct cluster *c = cluster_new(LARGE, 4);
	struct peer_table *hub = &c->nodes[0].t, *t;
	struct roster before, after;

	run_ms(c, 2000);
	roster_init(&before);
	hubs_build_roster(hub, &before, c->now);
	start(c, 30);
	t = &c->nodes[30].t;
	assert_false(hubs_apply_digest(t, roster_digest(&before), c->now));
	apply_roster(t, &before, c->now);
	assert_true(
		hubs_apply_digest(t, roster_digest(&before), c->now + 1000));
	/* It keeps all alive for longer than the roster itself would. */
	assert_true(peer_alive(g_ptr_array_index(t->peers, 5), c->now + 2500));
	assert_false(peer_alive(g_ptr_array_index(t->peers, 5), c->now + 2800));
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
			hubs_apply_digest(t, roster_digest(&after), c->now));
		roster_clear(&after);
	}
	roster_clear(&before);
	cluster_free(c);
}

/*
 * Guards against parts of a deployment that stay apart: 24 instances started at
 * once, one knew them all and waited for a roster, but the first one knew too
 * few to send any.
 */
static void test_missing_roster(void **state)
{
	struct cluster *c = cluster_new(LARGE, 5);
	struct peer_table *first = &c->nodes[0].t, *t = &c->nodes[1].t;

	for (int i = 0; i < 2; i++) {
		struct peer_info seen = {.boot_id = 1};

		g_snprintf(seen.name, sizeof(seen.name), "e%03d", i);
		peers_note_heartbeat(t, &seen, c->now + 2900);
	}
	assert_false(hubs_roster_is_missing(t, c->now + 2900));
	assert_true(hubs_roster_is_missing(t, c->now + 3000));
	/* The first one sends the roster, and gets none. */
	assert_false(hubs_roster_is_missing(first, c->now + 3000));
	t->roster_received_ms = c->now + 2000;
	assert_false(hubs_roster_is_missing(t, c->now + 4900));
	cluster_free(c);
}

/* A roster in parts: each part decides only about the ids that it covers. */
static void test_roster_in_parts(void **state)
{
	struct cluster *c = cluster_new(LARGE, 3);
	struct peer_table *t = &c->nodes[0].t;
	GArray *unknown = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	struct roster all, part;
	unsigned alive = 0;
	guint at = 0;

	run_ms(c, 2000);
	roster_init(&all);
	hubs_build_roster(t, &all, c->now);
	assert_int_equal(all.entries->len, LARGE);
	/* A restarted instance receives only the first part. */
	start(c, 30);
	t = &c->nodes[30].t;
	roster_init(&part);
	at = roster_part(&all, 0, 25, &part);
	assert_int_equal(at, 25);
	assert_int_equal(part.lo, 0);
	hubs_apply_roster(t, &part, unknown, c->now);
	for (guint i = 0; i < t->peers->len; i++)
		alive += peer_alive(g_ptr_array_index(t->peers, i), c->now);
	assert_in_range(alive, 24, 25);
	roster_clear(&part);
	/* The remaining parts, then a roster with an unknown id. */
	while (at < all.entries->len) {
		roster_init(&part);
		at = roster_part(&all, at, 25, &part);
		hubs_apply_roster(t, &part, unknown, c->now);
		roster_clear(&part);
	}
	alive = 0;
	for (guint i = 0; i < t->peers->len; i++)
		alive += peer_alive(g_ptr_array_index(t->peers, i), c->now);
	assert_int_equal(alive, LARGE - 1);
	assert_int_equal(unknown->len, 0);
	g_array_index(all.entries, struct roster_entry, 59).id = UINT32_MAX;
	hubs_apply_roster(t, &all, unknown, c->now);
	assert_int_equal(unknown->len, 1);
	roster_clear(&all);
	g_array_unref(unknown);
	cluster_free(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_steady_state),
		cmocka_unit_test(test_hubs_killed),
		cmocka_unit_test(test_roster_in_parts),
		cmocka_unit_test(test_digest),
		cmocka_unit_test(test_missing_roster),
		cmocka_unit_test(test_random_failures),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
