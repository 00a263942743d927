/*
 * Tests of control/list_cover: removals of backend servers are deferred if the
 * store may have been away, and only then, on each of several instances.
 */
#include "tests/unit.h"

#include "tests/backend_lists.h"

enum {
	INSTANCES = 3,
	READ_MS = 450,
	GRACE_MS = 2200, /* servers are back within 2 s after an outage */
};

struct instance {
	struct backend_list list;
	struct seen seen;
};

struct deployment {
	struct instance i[INSTANCES];
	GArray *log; /* struct backend_change */
};

/* Appends a record to the store. */
static void store_write(struct deployment *d, const char *id, const char *what)
{
	struct backend_change c = change(d->log->len, id, what);

	g_array_append_val(d->log, c);
}

/* Instance k reads the store. */
static void read_store(struct deployment *d, int k, int64_t now)
{
	struct backend_list *l = &d->i[k].list;

	backend_list_read_begin(l, now);
	for (guint at = (guint)l->pos.offset; at < d->log->len; at++) {
		struct backend_change c =
			g_array_index(d->log, struct backend_change, at);

		backend_list_apply_record(l, &c, now);
	}
	backend_list_advance(l, at(d->log->len), now, now);
}

/* Instance `from` feeds instance `to`. */
static void feed(struct deployment *d, int from, int to, int64_t now)
{
	send_feed(&d->i[from].list, &d->i[to].list, true, now);
}

static const char *state_at(struct deployment *d, int k, int64_t now)
{
	backend_list_apply_deferred(&d->i[k].list, now);
	return state_of(&d->i[k].seen, "a");
}

/* Instance k reads and feeds the others at each interval, up to `until`. */
static int64_t run_reader(struct deployment *d, int k, int64_t now,
			  int64_t until, unsigned asleep)
{
	for (; now < until; now += READ_MS) {
		read_store(d, k, now);
		for (int to = 0; to < INSTANCES; to++) {
			if (to != k && !(asleep & 1u << to))
				feed(d, k, to, now + 5);
		}
	}
	return now;
}

/* Starts instances that all know the servers a and b, as of 1 s. */
static void start(struct deployment *d)
{
	d->log = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	for (int k = 0; k < INSTANCES; k++) {
		init(&d->i[k].list, &d->i[k].seen);
		read_empty_listing(&d->i[k].list, 0, 1000);
	}
	store_write(d, "a", "ready");
	store_write(d, "b", "ready");
	for (int k = 0; k < INSTANCES; k++)
		read_store(d, k, 1000);
}

static void stop(struct deployment *d)
{
	for (int k = 0; k < INSTANCES; k++)
		g_hash_table_unref(d->i[k].seen.ids);
	g_array_unref(d->log);
}

/* When the server leaves, relative to the reader's stall from 4 to 6 s. */
struct stall_case {
	const char *name;
	int64_t removed_ms;
	bool takeover_reads_last; /* once more, after the woken reader */
	bool feed_twice;
	unsigned asleep; /* instances that stand still, a bit each */
};

static const struct stall_case stall_cases[] = {
	{"before the stall", 3900, false, false, 1},
	{"during the stall", 5000, false, false, 1},
	{"as it wakes", 6000, false, false, 1},
	{"after it woke", 6300, false, false, 1},
	{"takeover reads last", 6000, true, false, 1},
	{"the feed comes twice", 6000, false, true, 1},
	{"two of three stand still", 6000, false, false, 3},
};

static void run_stall(const struct stall_case *s)
{
	int64_t now, gone = 0, start_ms = 1450;
	struct deployment d;
	int calm = 2;

	start(&d);
	now = run_reader(&d, 0, start_ms, 4000, 0);
	/* Instance 0, which reads for all, stands still; the last one reads. */
	if (s->removed_ms < 4000)
		store_write(&d, "a", "gone");
	now = run_reader(&d, calm, now + 700, s->removed_ms, s->asleep);
	if (s->removed_ms >= 4000)
		store_write(&d, "a", "gone");
	now = MAX(now, run_reader(&d, calm, now, 6000, s->asleep));
	/* It goes on, reads and feeds the others. */
	for (now = MAX(now, 6000); now < 9000; now += READ_MS) {
		if (s->takeover_reads_last && now < 6400)
			feed(&d, calm, 0, now);
		read_store(&d, 0, now);
		for (int to = 1; to < INSTANCES; to++)
			feed(&d, 0, to, now + 5);
		if (s->feed_twice)
			feed(&d, 0, calm, now + 20);
		if (s->takeover_reads_last)
			read_store(&d, calm, now + 10);
		if (!gone && !strcmp(state_at(&d, calm, now + 20), "gone"))
			gone = now;
	}
	/* Two reads at most, where nothing happened to the instance. */
	if (!gone || gone - s->removed_ms >
			     MAX(2 * READ_MS, 6000 - s->removed_ms + READ_MS))
		fail_msg("%s: dropped at %d ms", s->name, (int)gone);
	assert_string_equal(state_of(&d.i[calm].seen, "b"), "ready");
	stop(&d);
}

/*
 * Guards against removals that are deferred everywhere because the instance
 * that reads for all stood still.
 */
static void test_reader_stood_still(void **state)
{
	for (guint i = 0; i < G_N_ELEMENTS(stall_cases); i++)
		run_stall(&stall_cases[i]);
}

/*
 * Guards against an instance that was away deferring removals although a peer
 * tells it that the store was read throughout, before or after its own read.
 */
static void test_away_alone(void **state)
{
	for (int feed_first = 0; feed_first < 2; feed_first++) {
		struct deployment d;
		int64_t now;

		start(&d);
		now = run_reader(&d, 0, 1450, 4000, 0);
		/* Instance 1 is cut off; it misses the feeds. */
		now = run_reader(&d, 0, now, 8000, 1u << 1);
		store_write(&d, "a", "gone");
		if (feed_first) {
			read_store(&d, 0, now);
			feed(&d, 0, 1, now);
		} else {
			read_store(&d, 1, now);
			assert_string_equal(state_at(&d, 1, now), "ready");
			feed(&d, 0, 1, now + 50);
		}
		assert_string_equal(state_at(&d, 1, now + 50), "gone");
		stop(&d);
	}
}

/*
 * Guards against dropping servers whose leases lapsed while the store was away
 * for all, whichever instance reads first, and against each one adding its own
 * delay: a server that stays away is dropped by the time that counts from the
 * store's return, also where the first feed was lost.
 */
static void test_store_away_for_all(void **state)
{
	for (int first = 0; first < INSTANCES; first++) {
		int second = (first + 1) % INSTANCES;
		int third = (first + 2) % INSTANCES;
		struct deployment d;
		int64_t back = 12000;

		start(&d);
		run_reader(&d, 0, 1450, 4000, 0);
		store_write(&d, "a", "gone");
		store_write(&d, "b", "gone");
		read_store(&d, first, back);
		feed(&d, first, second, back + 5);
		store_write(&d, "b", "ready");
		read_store(&d, first, back + READ_MS);
		feed(&d, first, second, back + READ_MS + 5);
		feed(&d, first, third, back + READ_MS + 5);
		for (int64_t now = back + 500; now < back + 2000; now += 100) {
			for (int k = 0; k < INSTANCES; k++)
				assert_string_equal(state_at(&d, k, now),
						    "ready");
		}
		for (int k = 0; k < INSTANCES; k++) {
			assert_string_equal(
				state_at(&d, k, back + GRACE_MS + 20), "gone");
			assert_string_equal(state_of(&d.i[k].seen, "b"),
					    "ready");
		}
		stop(&d);
	}
}

/*
 * Guards against a reader that saw no gap itself, since it has just started,
 * making others drop servers whose leases lapsed.
 */
static void test_fresh_reader_after_outage(void **state)
{
	struct deployment d;
	int64_t back = 12000;

	start(&d);
	run_reader(&d, 1, 1450, 4000, 0);
	/* Instance 0 restarts and lists the store as it comes back. */
	g_hash_table_unref(d.i[0].seen.ids);
	init(&d.i[0].list, &d.i[0].seen);
	read_empty_listing(&d.i[0].list, 0, back);
	read_store(&d, 0, back);
	store_write(&d, "a", "gone");
	read_store(&d, 0, back + 300);
	feed(&d, 0, 1, back + 300);
	assert_string_equal(state_at(&d, 1, back + 2000), "ready");
	assert_string_equal(state_at(&d, 1, back + GRACE_MS + 20), "gone");
	stop(&d);
}

/*
 * Guards against an instance that joined just after an outage dropping servers
 * whose leases lapsed then.
 */
static void test_joined_after_outage(void **state)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	struct deployment d;
	int64_t back = 12000;
	struct backend_list *l;

	start(&d);
	run_reader(&d, 0, 1450, 4000, 0);
	read_store(&d, 0, back);
	g_hash_table_unref(d.i[1].seen.ids);
	init(&d.i[1].list, &d.i[1].seen);
	l = &d.i[0].list;
	backend_list_export(l, all);
	backend_list_import(&d.i[1].list, all, l->pos, back, back + 100);
	store_write(&d, "a", "gone");
	read_store(&d, 0, back + READ_MS);
	feed(&d, 0, 1, back + READ_MS + 5);
	assert_string_equal(state_at(&d, 1, back + 2000), "ready");
	assert_string_equal(state_at(&d, 1, back + GRACE_MS + 20), "gone");
	g_array_unref(all);
	stop(&d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reader_stood_still),
		cmocka_unit_test(test_away_alone),
		cmocka_unit_test(test_store_away_for_all),
		cmocka_unit_test(test_fresh_reader_after_outage),
		cmocka_unit_test(test_joined_after_outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
