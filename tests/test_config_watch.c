/*
 * Tests of control/config_watch: what an instance makes of what its peers say
 * of the configuration. No store answers here; its calls are not played.
 */
#include "tests/unit.h"

#include <errno.h>

#include "control/config_watch.h"

static unsigned taken;
static struct store_endpoint store;

/* What a peer says that knows the records before `offset`, of age_ms ago. */
static struct config_mark mark(uint64_t version, uint64_t offset,
			       uint32_t age_ms)
{
	return (struct config_mark){.pos = {store.era, offset},
				    .age_ms = age_ms,
				    .version = version,
				    .digest = (uint32_t)version};
}

static enum config_need hear(struct config_watch *w, uint64_t version,
			     uint64_t offset, uint32_t age_ms, int64_t now_ms)
{
	struct config_mark m = mark(version, offset, age_ms);

	return config_watch_heard(w, &m, now_ms);
}

static struct store_position at(uint64_t offset)
{
	return (struct store_position){store.era, offset};
}

static void on_changed(void *priv, struct config *c)
{
	taken++;
	config_unref(c);
}

/* A record is its version's number as text. */
static struct config *decode(void *priv, struct lstr value, struct findings *f)
{
	struct config *c = config_new();

	c->version = (uint64_t)g_ascii_strtoull(value.ptr, NULL, 10);
	return c;
}

/* An instance that has read the records before `offset` and holds `record`. */
static void init(struct config_watch *w, const char *record, uint64_t offset)
{
	memset(w, 0, sizeof(*w));
	w->source = (struct config_source){.key = "config", .decode = decode};
	w->changed = on_changed;
	w->store.store = &store;
	w->listed = true;
	w->pos = (struct store_position){0, offset};
	w->version = (uint64_t)g_ascii_strtoull(record, NULL, 10);
	w->digest = (uint32_t)w->version;
	buf_add_lstr(&w->record, lstr0(record));
	taken = 0;
}

static void test_heard(void **state)
{
	struct config_watch w;

	init(&w, "5", 10);
	/* A peer that knows as much: there was nothing newer 300 ms ago. */
	assert_int_equal(hear(&w, 5, 10, 300, 10000), CONFIG_KNOWN);
	assert_int_equal(config_watch_age_ms(&w, 0, 10100), 400);
	/* Older news doesn't make it older, nor does one that knows less. */
	assert_int_equal(hear(&w, 5, 10, 2000, 10100), CONFIG_KNOWN);
	assert_int_equal(hear(&w, 5, 9, 0, 10200), CONFIG_KNOWN);
	assert_int_equal(config_watch_age_ms(&w, 0, 10200), 500);
	/* One that knows more. */
	assert_int_equal(hear(&w, 6, 12, 0, 10300), CONFIG_READ);
	/* While nothing is known yet the start decides. */
	w.listed = false;
	assert_int_equal(hear(&w, 6, 12, 0, 10300), CONFIG_KNOWN);
	buf_free(&w.record);
}

static void test_update(void **state)
{
	struct config_watch w;

	init(&w, "5", 10);
	assert_int_equal(config_watch_update(&w, LSTR("7"), at(12), 10000), 0);
	assert_int_equal(taken, 1);
	assert_int_equal(w.version, 7);
	assert_int_equal(w.pos.offset, 12);
	/* A repeat, and a record that was unfit: the newest stays. */
	assert_int_equal(config_watch_update(&w, LSTR("7"), at(12), 10000), 0);
	assert_int_equal(config_watch_update(&w, LSTR("7"), at(13), 10100), 0);
	assert_int_equal(taken, 1);
	assert_int_equal(w.pos.offset, 13);
	/* A peer with an older version can't be right: the store decides. */
	assert_int_equal(config_watch_update(&w, LSTR("6"), at(14), 10200),
			 -ESTALE);
	assert_int_equal(taken, 1);
	assert_int_equal(w.pos.offset, 13);
	buf_free(&w.record);
}

/* A failed read waits before the next; a peer's news end that. */
static void test_heard_after_failure(void **state)
{
	struct config_watch w;

	init(&w, "5", 10);
	w.loop = ev_default_loop(0);
	ev_init(&w.retry, NULL);
	ev_timer_set(&w.retry, 3, 0);
	ev_timer_start(w.loop, &w.retry);
	w.failures = 4;
	assert_int_equal(hear(&w, 5, 10, 300, 10000), CONFIG_KNOWN);
	assert_true(ev_is_active(&w.retry));
	assert_int_equal(hear(&w, 6, 11, 300, 10000), CONFIG_READ);
	assert_false(ev_is_active(&w.retry));
	/* The pause after a version is kept. */
	ev_timer_start(w.loop, &w.retry);
	w.failures = 0;
	assert_int_equal(hear(&w, 6, 12, 300, 10000), CONFIG_KNOWN);
	ev_timer_stop(w.loop, &w.retry);
	buf_free(&w.record);
}

/*
 * A peer tells of a record again and again while its bytes arrive slowly: the
 * call that brings it is not broken off. One that was lost is.
 */
static void test_slow_answer(void **state)
{
	struct config_watch w;

	init(&w, "5", 10);
	w.loop = ev_default_loop(0);
	ev_init(&w.retry, NULL);
	/* The poll was sent before; its answer may be on the way. */
	w.store.call = STORE_READ;
	w.asked_ms = 9000;
	for (int64_t now = 10000; now <= 10700; now += 100)
		assert_int_equal(hear(&w, 6, 12, 0, now), CONFIG_KNOWN);
	assert_int_equal(w.store.call, STORE_READ);
	/* It doesn't come: asked anew on another connection. */
	assert_int_equal(hear(&w, 6, 12, 0, 10800), CONFIG_KNOWN);
	assert_int_equal(w.store.call, STORE_IDLE);
	assert_true(ev_is_active(&w.retry));
	ev_timer_stop(w.loop, &w.retry);
	/* This one is from after the news, and takes two seconds. */
	w.store.call = STORE_READ;
	w.asked_ms = 10800;
	for (int64_t now = 10900; now <= 12900; now += 100)
		assert_int_equal(hear(&w, 6, 12, 0, now), CONFIG_KNOWN);
	assert_int_equal(w.store.call, STORE_READ);
	buf_free(&w.record);
}

/* While a poll waits, the store's other answers vouch for it, for a time. */
static void test_age_of_poll(void **state)
{
	struct config_watch w;

	init(&w, "5", 10);
	w.fresh_ms = 10000;
	w.asked_ms = 10000;
	w.store.call = STORE_READ;
	assert_int_equal(config_watch_age_ms(&w, 11000, 11100), 100);
	/* The poll should have been answered by now. */
	assert_int_equal(config_watch_age_ms(&w, 13900, 14000), 4000);
	w.store.call = STORE_IDLE;
	assert_int_equal(config_watch_age_ms(&w, 11000, 11100), 1100);
	buf_free(&w.record);
}

static uint64_t offset_told;

static void tell_offset(void *priv, struct config *c)
{
	const struct config_watch *w = priv;

	offset_told = w->pos.offset;
	config_unref(c);
}

/*
 * Whoever is told of a version at once is told by the offset behind it. It was
 * the one before: 16 instances had a version 0.48 s after the one that polled,
 * and one of them once 2.05 s after its confirmation (2 s are allowed).
 */
static void test_told_with_version(void **state)
{
	struct store_record rec = {
		.pos = at(10), .key = LSTR("config"), .value = LSTR("6")};
	struct store_result r = {.end = at(11), .records = &rec, .nrecords = 1};
	struct config_source source = {.key = "config", .decode = decode};
	struct store_endpoint nobody = {.addr.sin_family = AF_INET};
	struct config_watch w;

	config_watch_start(&w, ev_default_loop(0), &nobody, &source,
			   tell_offset, &w);
	w.listed = true;
	w.pos = at(10);
	w.store.done(w.store.priv, &r);
	assert_int_equal(w.version, 6);
	assert_int_equal(offset_told, 11);
	buf_free(&w.record);
}

/* The store is back from a copy, and the instance has heard so. */
static void rise(struct config_watch *w, uint64_t era)
{
	store.era = era;
	config_watch_new_era(w, 20000);
}

static int calm(void **state)
{
	store.era = 0;
	return 0;
}

/* A version that is confirmed again stands below what was read of the old log. */
static void test_version_below_the_old_bookmark(void **state)
{
	struct config_watch w;

	init(&w, "19", 7);
	rise(&w, 1);
	/* Peers that know no more have a bookmark in the new log. */
	assert_int_equal(hear(&w, 19, 4, 10, 20100), CONFIG_KNOWN);
	assert_int_equal(w.pos.offset, 4);
	assert_int_equal(hear(&w, 21, 5, 10, 20200), CONFIG_READ);
	/* Without one the peer is asked, as it is when the store hasn't it. */
	w.pos = (struct store_position){0, 7};
	assert_int_equal(hear(&w, 21, 5, 10, 20200), CONFIG_ASK);
	assert_int_equal(config_watch_update(&w, LSTR("21"), at(5), 20200), 0);
	assert_int_equal(w.version, 21);
	assert_int_equal(store_position_cmp(w.pos, at(5)), 0);
	buf_free(&w.record);
}

/* A peer that still lives in the old era knows a version that the copy lacks. */
static void test_version_that_the_copy_lacks(void **state)
{
	struct config_watch w;
	struct config_mark old = mark(21, 9, 10);

	init(&w, "19", 7);
	rise(&w, 1);
	assert_int_equal(hear(&w, 19, 4, 10, 20100), CONFIG_KNOWN);
	assert_false(config_watch_is_behind(&w));
	assert_int_equal(config_watch_heard(&w, &old, 20200), CONFIG_ASK);
	assert_true(config_watch_is_behind(&w));
	assert_int_equal(config_watch_update(&w, LSTR("21"), old.pos, 20200),
			 0);
	assert_int_equal(w.version, 21);
	assert_false(config_watch_is_behind(&w));
	/* Its bookmark marks nothing any more. */
	assert_int_equal(store_position_cmp(w.pos, at(4)), 0);
	buf_free(&w.record);
}

static void answer(struct config_watch *w, uint64_t offset, const char *value)
{
	struct store_record rec = {.pos = at(offset),
				   .key = LSTR("config"),
				   .value = lstr0(value)};
	struct store_result r = {
		.end = at(offset + 1), .records = &rec, .nrecords = 1};

	w->store.done(w->store.priv, &r);
}

static void start(struct config_watch *w)
{
	static const struct config_source source = {.key = "config",
						    .decode = decode};

	config_watch_start(w, ev_default_loop(0), &store, &source, on_changed,
			   NULL);
	taken = 0;
}

static void test_copy_never_takes_a_version_back(void **state)
{
	struct config_watch w;

	start(&w);
	answer(&w, 6, "21");
	rise(&w, 1);
	answer(&w, 3, "19");
	assert_int_equal(w.version, 21);
	assert_int_equal(taken, 1);
	/* What follows is read from the copy's end on. */
	assert_int_equal(store_position_cmp(w.pos, at(4)), 0);
	answer(&w, 4, "25");
	assert_int_equal(w.version, 25);
	buf_free(&w.record);
}

/* Of two contents under one number the one that stands later counts. */
static void test_same_number_other_content(void **state)
{
	struct config_mark m;
	struct config_watch w;

	start(&w);
	answer(&w, 6, "21 a");
	answer(&w, 6, "21 b");
	assert_int_equal(taken, 1);
	rise(&w, 1);
	answer(&w, 2, "21 b");
	assert_int_equal(taken, 2);
	assert_true(lstr_eq(buf_lstr(&w.record), LSTR("21 b")));
	/* Peers learn of it by the record's digest. */
	m = config_watch_mark(&w, 0, 20100);
	buf_free(&w.record);
	init(&w, "21", 1);
	w.pos = at(1);
	assert_int_equal(config_watch_heard(&w, &m, 20100), CONFIG_READ);
	m.pos = at(0);
	assert_int_equal(config_watch_heard(&w, &m, 20100), CONFIG_KNOWN);
	buf_free(&w.record);
}

static void test_age_is_unknown_until_confirmed_in_this_era(void **state)
{
	struct config_mark old = mark(5, 10, 10);
	struct config_watch w;

	init(&w, "5", 10);
	w.fresh_ms = 19990;
	assert_int_equal(config_watch_age_ms(&w, 0, 20000), 10);
	/* A poll that waits vouches for nothing any more either. */
	w.store.call = STORE_READ;
	w.asked_ms = 19990;
	rise(&w, 1);
	assert_int_equal(w.store.call, STORE_IDLE);
	assert_int_equal(config_watch_age_ms(&w, 19999, 20000), AGE_UNKNOWN);
	/* Nor does a peer that still lives in the old era. */
	assert_int_equal(config_watch_heard(&w, &old, 20000), CONFIG_KNOWN);
	assert_int_equal(hear(&w, 5, 3, AGE_UNKNOWN, 20100), CONFIG_KNOWN);
	assert_true(config_watch_age_ms(&w, 0, 20100) > 10000);
	assert_int_equal(hear(&w, 5, 3, 40, 20100), CONFIG_KNOWN);
	assert_int_equal(config_watch_age_ms(&w, 0, 20100), 40);
	buf_free(&w.record);
}

/* Those that don't read the store aren't all to do so when its era rises. */
static void test_rise_is_no_reason_to_poll(void **state)
{
	struct config_watch w;

	init(&w, "5", 10);
	w.told_ms = 19900;
	rise(&w, 1);
	config_watch_tick(&w, true, false, 20900);
	assert_false(w.polls);
	buf_free(&w.record);
}

enum {
	PLAY_POLLERS = 2,
	PLAY_VERSIONS = 10000,
	MISSED_MS =
		10, /* a version this soon after a poll began wakes it not */
};

/*
 * Two instances that began to poll together, and versions at random moments:
 * returns how many versions both have missed.
 */
static int play_polls(bool in_step)
{
	GRand *rand = g_rand_new_with_seed(11);
	double began[PLAY_POLLERS] = {0}, ends[PLAY_POLLERS] = {0}, at = 0;
	int missed = 0;

	for (int v = 0; v < PLAY_VERSIONS; v++) {
		int by = 0;

		at += 500 + 9000 * g_rand_double(rand);
		for (int i = 0; i < PLAY_POLLERS; i++) {
			while (ends[i] <= at) {
				double r = in_step ? 1 : g_rand_double(rand);

				began[i] = ends[i];
				ends[i] += config_poll_wait_ms(r);
			}
			by += at - began[i] < MISSED_MS;
		}
		missed += by == PLAY_POLLERS;
		/* Whoever was woken polls again after its pause. */
		for (int i = 0; i < PLAY_POLLERS; i++) {
			double r = in_step ? 1 : g_rand_double(rand);

			ends[i] = at + config_poll_pause_ms(r);
		}
	}
	g_rand_free(rand);
	return missed;
}

/*
 * A version that is written in the moment in which both instances ask anew was
 * told to neither before their polls ended, 2.5 s later (a day on which store
 * and pollers were in step, seed 358826578945: in force after 2.5 s of 2).
 */
static void test_polls_differ(void **state)
{
	assert_int_equal(config_poll_wait_ms(1), 2500);
	assert_in_range(config_poll_wait_ms(0), 1000, 2000);
	assert_in_range(config_poll_pause_ms(0), 100, 300);
	assert_true(play_polls(true) > 10);
	assert_int_equal(play_polls(false), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_version_below_the_old_bookmark,
					  calm),
		cmocka_unit_test_teardown(test_version_that_the_copy_lacks,
					  calm),
		cmocka_unit_test_teardown(test_copy_never_takes_a_version_back,
					  calm),
		cmocka_unit_test_teardown(test_same_number_other_content, calm),
		cmocka_unit_test_teardown(
			test_age_is_unknown_until_confirmed_in_this_era, calm),
		cmocka_unit_test_teardown(test_rise_is_no_reason_to_poll, calm),
		cmocka_unit_test(test_told_with_version),
		cmocka_unit_test(test_polls_differ),
		cmocka_unit_test(test_heard),
		cmocka_unit_test(test_update),
		cmocka_unit_test(test_heard_after_failure),
		cmocka_unit_test(test_slow_answer),
		cmocka_unit_test(test_age_of_poll),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
