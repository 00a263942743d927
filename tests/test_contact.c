/*
 * Tests of member/contact: which instances callers are given when an instance
 * hears no peer any more.
 */
#include "tests/unit.h"

#include "member/contact.h"
#include "member/hubs.h"
#include "tests/peer_info.h"

/* Bound for instances that are gone: stability window and 3 s more. */
enum { NAMED_MAX_MS = 6000, TICK_MS = 100 };

static void heartbeat(struct peer_table *t, const char *name, bool leaving,
		      int64_t now)
{
	struct peer_info p = info(name, 1);

	p.ready = true;
	p.leaving = leaving;
	peers_note_heartbeat(t, &p, now);
}

/* Initializes the table of an instance that has just joined by the store. */
static void join(struct peer_table *t, const char *name, int64_t now)
{
	struct peer_info self = info(name, 1);

	memset(t, 0, sizeof(*t));
	self.ready = true;
	peers_init(t, &self);
	t->joined_ms = t->listening_ms = now;
	t->joined_by_store = true;
}

/* Adds an instance that is only known by its record in the store. */
static void add_record(struct peer_table *t, const char *name, int64_t now)
{
	struct peer_info p = info(name, 1);

	peers_add(t, &p, now);
}

/* Returns whether callers are told of an instance. */
static bool is_named(const struct peer_table *t, const char *name, int64_t now)
{
	GArray *out = peers_for_callers(t, now);
	bool found = false;

	for (guint i = 0; i < out->len; i++)
		found |= !strcmp(
			g_array_index(out, struct peer_endpoint, i).name, name);
	g_array_unref(out);
	return found;
}

/* Returns the number of instances that callers are told of. */
static guint count_named(const struct peer_table *t, int64_t now)
{
	GArray *out = peers_for_callers(t, now);
	guint n = out->len;

	g_array_unref(out);
	return n;
}

/* Guards against the last instance left naming those that were removed. */
static void test_last_one_left(void **state)
{
	struct peer_table t;
	int64_t now = 1000;

	join(&t, "e3", now);
	for (; now < 5000; now += 500) {
		heartbeat(&t, "e1", false, now);
		heartbeat(&t, "e2", false, now);
	}
	/* Both are removed here; the store answers throughout. */
	for (now = 4500; now < 4500 + 3600 * 1000; now += TICK_MS) {
		contact_update(&t, now - 450, now);
		assert_true(is_named(&t, "e3", now));
		if (now - 4500 >= NAMED_MAX_MS)
			assert_int_equal(count_named(&t, now), 1);
	}
	assert_int_equal(t.contact, CONTACT_ALONE);
	/* The store fails later: that doesn't bring them back. */
	contact_update(&t, now - 3600 * 1000, now);
	assert_int_equal(count_named(&t, now), 1);
	/* One of them is back. */
	heartbeat(&t, "e2", false, now);
	assert_int_equal(contact_update(&t, now, now), CONTACT_HEARD);
	assert_int_equal(count_named(&t, now), 2);
}

/*
 * Guards against naming instances of which the last one left has long lost
 * sight when the others were removed one after the other.
 */
static void test_removed_in_turn(void **state)
{
	struct peer_table t;
	int64_t now;

	join(&t, "e3", 1000);
	/* e1 is removed at 3.0 s, e2 at 6.0 s. */
	for (now = 1000; now < 20000; now += TICK_MS) {
		if (now < 3000 && now % 500 == 0)
			heartbeat(&t, "e1", false, now);
		if (now < 6000 && now % 500 == 0)
			heartbeat(&t, "e2", false, now);
		contact_update(&t, now - 450, now);
		if (now >= 3000 + 2000)
			assert_false(is_named(&t, "e1", now));
		if (now >= 6000 + NAMED_MAX_MS)
			assert_false(is_named(&t, "e2", now));
	}
}

/* Guards against naming an instance that announced its stop. */
static void test_left(void **state)
{
	struct peer_table t;

	join(&t, "e3", 1000);
	heartbeat(&t, "e1", false, 3000);
	heartbeat(&t, "e1", true, 3100);
	for (int64_t now = 3100; now < 15000; now += TICK_MS) {
		contact_update(&t, now < 9000 ? now : 9000, now);
		assert_int_equal(count_named(&t, now), 1);
	}
}

/* Guards against losing the others while an instance is only cut off. */
static void test_cut_off(void **state)
{
	struct peer_table t;
	int64_t now, hour = 3600 * 1000;

	join(&t, "e3", 1000);
	/* e4 was removed long before the cut. */
	heartbeat(&t, "e4", false, 1000);
	heartbeat(&t, "e1", false, 9000);
	heartbeat(&t, "e2", false, 9000);
	for (now = 9000; now < 9000 + hour; now += TICK_MS) {
		contact_update(&t, 9000, now);
		assert_int_equal(count_named(&t, now), 3);
		assert_false(is_named(&t, "e4", now));
	}
	assert_int_equal(t.contact, CONTACT_CUT_OFF);
	/* The store is back, the others aren't: they are gone. */
	contact_update(&t, now, now);
	assert_int_equal(count_named(&t, now), 1);
	/* Cut off for longer than partitions last. */
	heartbeat(&t, "e1", false, now);
	contact_update(&t, now, now);
	assert_int_equal(count_named(&t, now), 2);
	now += 3 * hour;
	contact_update(&t, now - 3 * hour, now);
	assert_int_equal(count_named(&t, now), 1);
}

/*
 * Guards against an instance that stood still losing the others, or naming them
 * on and on if they are gone.
 */
static void test_stood_still(void **state)
{
	struct peer_table t;
	int64_t woke = 20000;

	join(&t, "e3", 1000);
	heartbeat(&t, "e1", false, 9000);
	heartbeat(&t, "e2", false, 9000);
	t.listening_ms = woke;
	contact_update(&t, 9000, woke);
	assert_int_equal(count_named(&t, woke), 3);
	contact_update(&t, woke + 1400, woke + 1500);
	assert_int_equal(count_named(&t, woke + 1500), 1);
}

/* Guards against a restarted instance naming those whose records it found. */
static void test_restarted_alone(void **state)
{
	struct peer_table t;

	join(&t, "e3", 1000);
	add_record(&t, "e1", 1000);
	add_record(&t, "e2", 1000);
	/* Those that restart with it will be heard within moments. */
	contact_update(&t, 1000, 1100);
	assert_int_equal(count_named(&t, 1100), 3);
	for (int64_t now = 3000; now < 60000; now += TICK_MS) {
		contact_update(&t, now - 450, now);
		assert_int_equal(count_named(&t, now), 1);
	}
	/* A later check of the records finds one more. */
	add_record(&t, "e4", 60000);
	contact_update(&t, 60000, 60000);
	assert_int_equal(count_named(&t, 60000), 1);
}

/* Applies a roster of the instances first..last to t. */
static void apply_roster(struct peer_table *t, int first, int last, int64_t now)
{
	GArray *unknown = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	struct roster r;

	roster_init(&r);
	for (int i = first; i <= last; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "e%02d", i);
		struct roster_entry e = {peer_id(name), true, false};

		g_array_append_val(r.entries, e);
	}
	hubs_apply_roster(t, &r, unknown, now);
	assert_int_equal(unknown->len, 0);
	roster_clear(&r);
	g_array_unref(unknown);
}

/*
 * Guards against naming instances that were removed long ago for as long as no
 * hub sends a roster: all peers fall silent at once then.
 */
static void test_first_hub_lost(void **state)
{
	struct peer_table t;
	int64_t now;

	join(&t, "e29", 1000);
	for (int i = 0; i < 30; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "e%02d", i);
		add_record(&t, name, 1000);
	}
	for (now = 1000; now < 3000; now += 450)
		apply_roster(&t, 0, 29, now);
	/* e20 to e29 are removed, then the first hub is lost at 12 s. */
	for (; now < 12000; now += 450)
		apply_roster(&t, 0, 19, now);
	/* The next hub's roster comes 2.5 s later. */
	for (int64_t lost = now; now < lost + 2500; now += TICK_MS) {
		contact_update(&t, 1000, now);
		assert_true(is_named(&t, "e05", now));
		assert_false(is_named(&t, "e20", now));
	}
	apply_roster(&t, 1, 19, now);
	contact_update(&t, 1000, now);
	assert_int_equal(t.contact, CONTACT_HEARD);
	assert_false(is_named(&t, "e00", now));
	assert_true(is_named(&t, "e05", now));
}

/* Sends the roster of one instance to another. */
static void send_roster(const struct peer_table *from, struct peer_table *to,
			int64_t now)
{
	GArray *unknown = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	struct roster r;

	peers_note_heartbeat(to, &from->self, now);
	roster_init(&r);
	hubs_build_roster(from, &r, now);
	hubs_apply_roster(to, &r, unknown, now);
	roster_clear(&r);
	g_array_unref(unknown);
}

/*
 * Guards against an instance that is gone staying alive for as long as hubs
 * take over from each other: each knows it by the one before only.
 */
static void test_hubs_in_turn(void **state)
{
	struct peer_table hubs[4], t;
	int64_t gone = 3000, now = gone;

	join(&t, "e9", 1000);
	add_record(&t, "e8", 1000);
	for (guint k = 0; k < G_N_ELEMENTS(hubs); k++) {
		char name[] = "e1";

		name[1] += (char)k;
		join(&hubs[k], name, 1000);
		add_record(&hubs[k], "e8", 1000);
	}
	/* Only the first hub hears e8, until it is gone. */
	heartbeat(&hubs[0], "e8", false, gone);
	for (guint k = 0; k < G_N_ELEMENTS(hubs); k++) {
		for (int64_t end = now + 1600; now < end; now += 400) {
			send_roster(&hubs[k], &t, now);
			for (guint i = k + 1; i < G_N_ELEMENTS(hubs); i++)
				send_roster(&hubs[k], &hubs[i], now);
			contact_update(&t, now, now);
			if (now - gone >= NAMED_MAX_MS)
				assert_false(is_named(&t, "e8", now));
		}
	}
	assert_true(now - gone >= NAMED_MAX_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_last_one_left),
		cmocka_unit_test(test_removed_in_turn),
		cmocka_unit_test(test_left),
		cmocka_unit_test(test_cut_off),
		cmocka_unit_test(test_stood_still),
		cmocka_unit_test(test_restarted_alone),
		cmocka_unit_test(test_first_hub_lost),
		cmocka_unit_test(test_hubs_in_turn),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
