/*
 * Randomized test of a store that is restored from backups: lists that read the
 * store or are fed, with some feeds lost, must all end with the true state of
 * each server.
 */
#include "tests/unit.h"

#include "tests/backend_lists.h"

enum { HISTORIES = 200, STEPS = 400, INSTANCES = 4, IDS = 6 };

/* A store that is restored from backups, and the servers that write to it. */
struct simulation {
	GArray *log, *backup; /* struct backend_change, indexed by offset */
	uint64_t era;
	struct backend_change truth[IDS]; /* the last state of each server */
	int64_t write_ms[IDS]; /* time of its next write; 0: none needed */
	GArray *expiries;      /* struct backend_change; offset is the time */
	struct backend_list lists[INSTANCES];
	struct seen seen[INSTANCES];
	GRand *rand;
	int64_t now;
};

static void write_truth(struct simulation *w, int i)
{
	struct backend_change c = w->truth[i];

	c.pos = in_era(w->era, w->log->len);
	g_array_append_val(w->log, c);
	w->write_ms[i] = 0;
}

/*
 * Advances a server to its next state; a removed one is replaced by a new one.
 */
static void advance_server(struct simulation *w, int i)
{
	struct backend_change *c = &w->truth[i];
	static unsigned alive;

	c->entry.sequence++;
	if (c->removed && w->write_ms[i]) {
		/* The expiry of its lease replaces the lost removal. */
		c->pos.offset = (uint64_t)w->now + 4500;
		g_array_append_val(w->expiries, *c);
	}
	if (c->removed) {
		*c = change(0, "", "ready");
		g_snprintf(c->entry.id, sizeof(c->entry.id), "i-%d-%u", i,
			   ++alive);
		c->entry.server_start_ms = (uint64_t)w->now;
	} else if (c->entry.draining) {
		c->removed = true;
	} else {
		c->entry.draining = true;
	}
	write_truth(w, i);
}

/* Returns whether the log's last record of a server is its last state. */
static bool is_written(const struct simulation *w, int i)
{
	for (guint k = w->log->len; k > 0; k--) {
		const struct backend_change *c =
			&g_array_index(w->log, struct backend_change, k - 1);

		if (!strcmp(c->entry.id, w->truth[i].entry.id))
			return c->removed == w->truth[i].removed &&
			       c->entry.draining == w->truth[i].entry.draining;
	}
	return w->truth[i].removed;
}

/* Schedules the expiry of entries whose servers are gone. */
static void schedule_expiries(struct simulation *w)
{
	g_array_set_size(w->expiries, 0);
	for (guint k = 0; k < w->log->len; k++) {
		struct backend_change c =
			g_array_index(w->log, struct backend_change, k);
		bool alive = c.removed;

		for (int i = 0; i < IDS; i++)
			alive = alive ||
				!strcmp(w->truth[i].entry.id, c.entry.id);
		if (alive)
			continue;
		c.removed = true;
		c.pos.offset = (uint64_t)w->now + 4500;
		g_array_append_val(w->expiries, c);
	}
}

static void write_expiries(struct simulation *w, bool all)
{
	for (guint i = w->expiries->len; i > 0; i--) {
		struct backend_change c = g_array_index(
			w->expiries, struct backend_change, i - 1);

		if (!all && (int64_t)c.pos.offset > w->now)
			continue;
		c.pos = in_era(w->era, w->log->len);
		g_array_append_val(w->log, c);
		g_array_remove_index(w->expiries, i - 1);
	}
}

static void restore_backup(struct simulation *w)
{
	g_array_set_size(w->log, 0);
	g_array_append_vals(w->log, w->backup->data, w->backup->len);
	w->era++;
	for (guint k = 0; k < w->log->len; k++)
		g_array_index(w->log, struct backend_change, k).pos.era =
			w->era;
	schedule_expiries(w);
	for (int i = 0; i < IDS; i++) {
		if (!is_written(w, i))
			w->write_ms[i] =
				w->now + g_rand_int_range(w->rand, 0, 1500);
	}
}

/* Lists the newest record of each key that has a value. */
static void read_listing(struct simulation *w, struct backend_list *l)
{
	backend_list_replace_begin(l, w->era, w->now);
	for (guint k = 0; k < w->log->len; k++) {
		const struct backend_change *c =
			&g_array_index(w->log, struct backend_change, k);
		bool newest = true;

		for (guint n = k + 1; n < w->log->len && newest; n++)
			newest = strcmp(g_array_index(w->log,
						      struct backend_change, n)
						.entry.id,
					c->entry.id) != 0;
		if (newest && !c->removed)
			backend_list_apply_record(l, c, w->now);
	}
	backend_list_replace_end(l, in_era(w->era, w->log->len), w->now,
				 w->now);
}

static void read_and_feed(struct simulation *w, int i)
{
	struct backend_list *l = &w->lists[i];
	struct backend_feed f;

	if (l->pos.era != w->era) {
		read_listing(w, l);
	} else {
		backend_list_read_begin(l, w->now);
		for (guint k = (guint)l->pos.offset; k < w->log->len; k++)
			backend_list_apply_record(
				l,
				&g_array_index(w->log, struct backend_change,
					       k),
				w->now);
		backend_list_advance(l, in_era(w->era, w->log->len), w->now,
				     w->now);
	}
	for (int k = 0; k < INSTANCES; k++) {
		if (k == i || g_rand_int_range(w->rand, 0, 4) == 0)
			continue;
		backend_list_build_feed(l, &f, w->now);
		if (!backend_list_apply_feed(&w->lists[k], &f, w->now))
			read_listing(w, &w->lists[k]);
	}
}

static void simulation_step(struct simulation *w)
{
	w->now += g_rand_int_range(w->rand, 1, 100);
	for (int i = 0; i < IDS; i++) {
		if (w->write_ms[i] && w->write_ms[i] <= w->now)
			write_truth(w, i);
	}
	write_expiries(w, false);
	switch (g_rand_int_range(w->rand, 0, 40)) {
	case 0:
		g_array_set_size(w->backup, 0);
		g_array_append_vals(w->backup, w->log->data, w->log->len);
		break;
	case 1:
		restore_backup(w);
		break;
	case 2:
	case 3:
	case 4:
		advance_server(w, g_rand_int_range(w->rand, 0, IDS));
		break;
	default:
		read_and_feed(w, g_rand_int_range(w->rand, 0, INSTANCES));
		break;
	}
	for (int k = 0; k < INSTANCES; k++)
		backend_list_apply_deferred(&w->lists[k], w->now);
}

static void expect_truth(struct simulation *w, guint32 seed)
{
	for (int i = 0; i < INSTANCES; i++) {
		guint n = 0;

		for (int k = 0; k < IDS; k++) {
			const struct backend_change *c = &w->truth[k];
			const char *truth = c->removed		? "gone"
					    : c->entry.draining ? "draining"
								: "ready";
			const char *known = state_of(&w->seen[i], c->entry.id);

			n += !c->removed;
			if (strcmp(known, truth))
				fail_msg("seed %u: instance %d has server %s "
					 "as %s, expected %s",
					 seed, i, c->entry.id, known, truth);
		}
		/* Entries of replaced servers must be gone too. */
		if (g_hash_table_size(w->seen[i].ids) != n)
			fail_msg("seed %u: instance %d has %u servers, "
				 "expected %u",
				 seed, i, g_hash_table_size(w->seen[i].ids), n);
	}
}

static void run_history(guint32 seed)
{
	struct simulation w = {
		.rand = g_rand_new_with_seed(seed), .era = 1, .now = 1000};

	w.log = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	w.backup = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	w.expiries = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	for (int i = 0; i < IDS; i++)
		w.truth[i] = change(0, "none", "gone");
	for (int i = 0; i < IDS; i++)
		advance_server(&w, i);
	for (int i = 0; i < INSTANCES; i++) {
		init(&w.lists[i], &w.seen[i]);
		read_listing(&w, &w.lists[i]);
	}
	for (int i = 0; i < STEPS; i++)
		simulation_step(&w);
	/*
	 * All lost records are written again, and deferred changes are applied.
	 */
	for (int i = 0; i < IDS; i++) {
		if (w.write_ms[i])
			write_truth(&w, i);
	}
	write_expiries(&w, true);
	for (int i = 0; i < 3 * INSTANCES; i++) {
		read_and_feed(&w, i % INSTANCES);
		w.now += 1000;
		for (int k = 0; k < INSTANCES; k++)
			backend_list_apply_deferred(&w.lists[k], w.now);
	}
	expect_truth(&w, seed);
	g_rand_free(w.rand);
	g_array_unref(w.log);
	g_array_unref(w.backup);
	g_array_unref(w.expiries);
}

static void test_histories_with_restores(void **state)
{
	const char *env = g_getenv("MP_SEED");
	guint32 seed =
		env ? (guint32)g_ascii_strtoull(env, NULL, 10) : 20261203;

	print_message("seed %u\n", seed);
	for (guint32 i = 0; i < HISTORIES; i++)
		run_history(seed + i);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_histories_with_restores),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
