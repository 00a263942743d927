/*
 * Seeded histories of a store that comes back from copies: lists that read or are fed,
 * with feeds lost, end with what is true of each server.
 */
#include "tests/unit.h"

#include "tests/backend_lists.h"

enum { COPIED_HISTORIES = 200, STEPS = 400, INSTANCES = 4, IDS = 6 };

/* A store that comes back from copies, and the servers that write to it. */
struct copied_world {
	GArray *log, *copy; /* struct backend_change, at their offsets */
	uint64_t era;
	struct backend_change truth[IDS]; /* the last word of each server */
	int64_t write_ms[IDS]; /* it writes again then; 0: it needn't */
	GArray *ghosts;	       /* struct backend_change, at their lapse */
	struct backend_list lists[INSTANCES];
	struct seen seen[INSTANCES];
	GRand *rand;
	int64_t now;
};

static void write_truth(struct copied_world *w, int i)
{
	struct backend_change c = w->truth[i];

	c.pos = in_era(w->era, w->log->len);
	g_array_append_val(w->log, c);
	w->write_ms[i] = 0;
}

/* A server goes on in its life; one that has left is followed by another. */
static void live(struct copied_world *w, int i)
{
	struct backend_change *c = &w->truth[i];
	static unsigned lives;

	c->entry.sequence++;
	if (c->removed && w->write_ms[i]) {
		/* Its lost removal is made good by the lease's end. */
		c->pos.offset = (uint64_t)w->now + 4500;
		g_array_append_val(w->ghosts, *c);
	}
	if (c->removed) {
		*c = change(0, "", "ready");
		g_snprintf(c->entry.id, sizeof(c->entry.id), "i-%d-%u", i,
			   ++lives);
		c->entry.server_start_ms = (uint64_t)w->now;
	} else if (c->entry.draining) {
		c->removed = true;
	} else {
		c->entry.draining = true;
	}
	write_truth(w, i);
}

/* Whether the log's last word of a server is its own last word. */
static bool is_written(const struct copied_world *w, int i)
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

/* The entries of those that are gone lapse once more. */
static void plan_lapses(struct copied_world *w)
{
	g_array_set_size(w->ghosts, 0);
	for (guint k = 0; k < w->log->len; k++) {
		struct backend_change c =
			g_array_index(w->log, struct backend_change, k);
		bool lives = c.removed;

		for (int i = 0; i < IDS; i++)
			lives = lives ||
				!strcmp(w->truth[i].entry.id, c.entry.id);
		if (lives)
			continue;
		c.removed = true;
		c.pos.offset = (uint64_t)w->now + 4500;
		g_array_append_val(w->ghosts, c);
	}
}

static void write_lapses(struct copied_world *w, bool all)
{
	for (guint i = w->ghosts->len; i > 0; i--) {
		struct backend_change c =
			g_array_index(w->ghosts, struct backend_change, i - 1);

		if (!all && (int64_t)c.pos.offset > w->now)
			continue;
		c.pos = in_era(w->era, w->log->len);
		g_array_append_val(w->log, c);
		g_array_remove_index(w->ghosts, i - 1);
	}
}

static void copied_restore(struct copied_world *w)
{
	g_array_set_size(w->log, 0);
	g_array_append_vals(w->log, w->copy->data, w->copy->len);
	w->era++;
	for (guint k = 0; k < w->log->len; k++)
		g_array_index(w->log, struct backend_change, k).pos.era =
			w->era;
	plan_lapses(w);
	for (int i = 0; i < IDS; i++) {
		if (!is_written(w, i))
			w->write_ms[i] =
				w->now + g_rand_int_range(w->rand, 0, 1500);
	}
}

/* The newest record of each key that has a value, as a listing has them. */
static void copied_list(struct copied_world *w, struct backend_list *l)
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
			backend_list_record(l, c, w->now);
	}
	backend_list_replace_end(l, in_era(w->era, w->log->len), w->now,
				 w->now);
}

static void copied_read(struct copied_world *w, int i)
{
	struct backend_list *l = &w->lists[i];
	struct backend_feed f;

	if (l->pos.era != w->era) {
		copied_list(w, l);
	} else {
		backend_list_read_begin(l, w->now);
		for (guint k = (guint)l->pos.offset; k < w->log->len; k++)
			backend_list_record(
				l,
				&g_array_index(w->log, struct backend_change,
					       k),
				w->now);
		backend_list_caught_up(l, in_era(w->era, w->log->len), w->now,
				       w->now);
	}
	for (int k = 0; k < INSTANCES; k++) {
		if (k == i || g_rand_int_range(w->rand, 0, 4) == 0)
			continue;
		backend_list_outline(l, &f, w->now);
		if (!backend_list_feed(&w->lists[k], &f, w->now))
			copied_list(w, &w->lists[k]);
	}
}

static void copied_step(struct copied_world *w)
{
	w->now += g_rand_int_range(w->rand, 1, 100);
	for (int i = 0; i < IDS; i++) {
		if (w->write_ms[i] && w->write_ms[i] <= w->now)
			write_truth(w, i);
	}
	write_lapses(w, false);
	switch (g_rand_int_range(w->rand, 0, 40)) {
	case 0:
		g_array_set_size(w->copy, 0);
		g_array_append_vals(w->copy, w->log->data, w->log->len);
		break;
	case 1:
		copied_restore(w);
		break;
	case 2:
	case 3:
	case 4:
		live(w, g_rand_int_range(w->rand, 0, IDS));
		break;
	default:
		copied_read(w, g_rand_int_range(w->rand, 0, INSTANCES));
		break;
	}
	for (int k = 0; k < INSTANCES; k++)
		backend_list_settle(&w->lists[k], w->now);
}

static void expect_truth(struct copied_world *w, guint32 seed)
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
				fail_msg("seed %u: instance %d has %s %s, in "
					 "truth %s",
					 seed, i, c->entry.id, known, truth);
		}
		/* Nor does anybody hold one of an earlier life. */
		if (g_hash_table_size(w->seen[i].ids) != n)
			fail_msg("seed %u: instance %d has %u servers of %u",
				 seed, i, g_hash_table_size(w->seen[i].ids), n);
	}
}

static void run_copied_history(guint32 seed)
{
	struct copied_world w = {
		.rand = g_rand_new_with_seed(seed), .era = 1, .now = 1000};

	w.log = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	w.copy = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	w.ghosts = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	for (int i = 0; i < IDS; i++)
		w.truth[i] = change(0, "none", "gone");
	for (int i = 0; i < IDS; i++)
		live(&w, i);
	for (int i = 0; i < INSTANCES; i++) {
		init(&w.lists[i], &w.seen[i]);
		copied_list(&w, &w.lists[i]);
	}
	for (int i = 0; i < STEPS; i++)
		copied_step(&w);
	/* All that was lost is written again, and what is missing settles. */
	for (int i = 0; i < IDS; i++) {
		if (w.write_ms[i])
			write_truth(&w, i);
	}
	write_lapses(&w, true);
	for (int i = 0; i < 3 * INSTANCES; i++) {
		copied_read(&w, i % INSTANCES);
		w.now += 1000;
		for (int k = 0; k < INSTANCES; k++)
			backend_list_settle(&w.lists[k], w.now);
	}
	expect_truth(&w, seed);
	g_rand_free(w.rand);
	g_array_unref(w.log);
	g_array_unref(w.copy);
	g_array_unref(w.ghosts);
}

static void test_histories_with_copies(void **state)
{
	const char *env = g_getenv("MP_SEED");
	guint32 seed =
		env ? (guint32)g_ascii_strtoull(env, NULL, 10) : 20261203;

	print_message("seed %u\n", seed);
	for (guint32 i = 0; i < COPIED_HISTORIES; i++)
		run_copied_history(seed + i);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_histories_with_copies),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
