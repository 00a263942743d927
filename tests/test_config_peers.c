/*
 * Tests of control/config_peers: what an instance takes over from its peers'
 * reports of the configuration and the evacuations.
 */
#include "tests/unit.h"

#include <errno.h>

#include "tests/watched_config.h"

static void test_peer_progress(void **state)
{
	struct config_watch w;

	init(&w, "5", 10);
	/*
	 * A peer that knows as much confirms that nothing was newer 300 ms ago.
	 */
	assert_int_equal(receive_progress(&w, 5, 10, 300, 10000),
			 CONFIG_NO_ACTION);
	assert_int_equal(config_watch_age_ms(&w, 0, 10100), 400);
	/*
	 * Neither an older report nor a peer that knows less changes the age.
	 */
	assert_int_equal(receive_progress(&w, 5, 10, 2000, 10100),
			 CONFIG_NO_ACTION);
	assert_int_equal(receive_progress(&w, 5, 9, 0, 10200),
			 CONFIG_NO_ACTION);
	assert_int_equal(config_watch_age_ms(&w, 0, 10200), 500);
	/* A peer that knows more. */
	assert_int_equal(receive_progress(&w, 6, 12, 0, 10300),
			 CONFIG_READ_STORE);
	/* Before the first read, the startup decides what to do. */
	w.listed = false;
	assert_int_equal(receive_progress(&w, 6, 12, 0, 10300),
			 CONFIG_NO_ACTION);
	buf_free(&w.record);
}

static void test_peer_record(void **state)
{
	struct config_watch w;

	init(&w, "5", 10);
	assert_int_equal(apply_peer(&w, LSTR("7"), at(12), 10000), 0);
	assert_int_equal(applied, 1);
	assert_int_equal(w.version, 7);
	assert_int_equal(w.pos.offset, 12);
	/* After a repeat or an invalid record the newest version stays. */
	assert_int_equal(apply_peer(&w, LSTR("7"), at(12), 10000), 0);
	assert_int_equal(apply_peer(&w, LSTR("7"), at(13), 10100), 0);
	assert_int_equal(applied, 1);
	assert_int_equal(w.pos.offset, 13);
	/*
	 * A later record with an older version is inconsistent, so the store is
	 * read.
	 */
	assert_int_equal(apply_peer(&w, LSTR("6"), at(14), 10200), -ESTALE);
	assert_int_equal(applied, 1);
	assert_int_equal(w.pos.offset, 13);
	buf_free(&w.record);
}

/* The set that was last put into force. */
static struct evacuations in_force;

static void on_evacuated(void *priv, const struct evacuations *e)
{
	in_force = *e;
}

/*
 * A peer that knows of an evacuation has the same version but another digest:
 * its position is only taken over with its evacuations.
 */
static void test_peer_evacuations(void **state)
{
	struct config_watch w;
	struct evacuations e = {.n = 0};
	struct config_progress m = progress(5, 12, 10);

	init(&w, "5", 10);
	w.evacuated = on_evacuated;
	m.digest = 4711;
	assert_int_equal(config_watch_on_progress(&w, &m, 10000),
			 CONFIG_READ_STORE);
	assert_int_equal(w.pos.offset, 10);
	evacuations_add(&e, LSTR("dc-1"), store.era);
	assert_int_equal(
		config_watch_apply_peer(&w, LSTR("5"), &e, at(12), 10100), 0);
	assert_true(evacuations_contains(&in_force, "dc-1"));
	assert_int_equal(w.pos.offset, 12);
	assert_int_equal(applied, 0);
	/* A peer that knows less changes nothing. */
	assert_int_equal(apply_peer(&w, LSTR("5"), at(11), 10200), 0);
	assert_true(evacuations_contains(&in_force, "dc-1"));
	assert_int_equal(apply_peer(&w, LSTR("5"), at(13), 10300), 0);
	assert_false(evacuations_contains(&in_force, "dc-1"));
	buf_free(&w.record);
}

/* An instance that starts gets the evacuations with the configuration. */
static void test_import_evacuations(void **state)
{
	struct config_watch w;
	struct evacuations e = {.n = 0};

	init(&w, "0", 0);
	w.evacuated = on_evacuated;
	in_force.n = 0;
	evacuations_add(&e, LSTR("dc-2"), store.era);
	config_watch_import(&w, LSTR("5"), &e, at(9), 10000);
	assert_int_equal(w.version, 5);
	assert_true(evacuations_contains(&in_force, "dc-2"));
	buf_free(&w.record);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_peer_progress),
		cmocka_unit_test(test_peer_record),
		cmocka_unit_test(test_peer_evacuations),
		cmocka_unit_test(test_import_evacuations),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
