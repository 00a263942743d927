/*
 * Tests of core/shortage, and of the decisions in a shortage with a load: many
 * instances with few callers each, servers with a knee of which some are slow
 * at any moment, and a burst of more requests than they can run.
 */
#include "tests/unit.h"

#include "member/gossip.h"
#include "tests/shortage_play.h"

enum { SEEDS = 3 };

/* Services: short work with two slots a server, long work with four. */
static const struct play_load two_slots = {
	.slots = 2,
	.work_ms = 160,
	.target_ms = 400,
	.noise_share = 0.3,
	.noise_factor = 4,
	.rate_s = 144, /* 0.7 of what the quick servers can run */
};

static const struct play_load four_slots = {
	.slots = 4,
	.work_ms = 350,
	.target_ms = 1000,
	.noise_share = 0.3,
	.noise_factor = 4,
	.rate_s = 168,
};

/* Plays a load with several seeds. `burst`: in multiples of the room. */
static struct play_result play_seeds(const struct play_load *load, double burst,
				     bool shortage, bool spread)
{
	struct play_result sum = {0};

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct play_load l = *load;
		struct play_result r;

		l.burst_factor = burst / 0.7;
		l.shortage = shortage;
		l.spread = spread;
		l.seed = seed;
		r = play(&l);
		sum.asked += r.asked;
		sum.on_time += r.on_time;
		sum.late += r.late;
		sum.refused += r.refused;
	}
	return sum;
}

/* Where servers have room nothing is refused or late. */
static void assert_room(const struct play_load *load)
{
	struct play_result r = play_seeds(load, 0.7, true, true);

	assert_int_equal(r.refused, 0);
	assert_true(r.late <= r.asked / 200);
	assert_int_equal(r.on_time + r.late, r.asked);
}

static void test_room(void **state)
{
	assert_room(&two_slots);
	assert_room(&four_slots);
}

/*
 * In a burst of twice the room more are served on time than with the oldest
 * first and usual waits.
 */
static void assert_overload(const struct play_load *load)
{
	struct play_result before = play_seeds(load, 2, false, false);
	struct play_result r = play_seeds(load, 2, true, false);

	print_message("on time %u late %u refused %u; before %u %u %u\n",
		      r.on_time, r.late, r.refused, before.on_time, before.late,
		      before.refused);
	assert_true(1.0 * r.on_time * before.asked >
		    1.0 * before.on_time * r.asked);
	assert_true(3 * r.late < before.late);
}

static void test_overload(void **state)
{
	assert_overload(&two_slots);
	assert_overload(&four_slots);
}

/*
 * Callers that are refused at once return over a longer time: fewer are refused
 * in the end, of which most are served, if late.
 */
static void assert_return(const struct play_load *load)
{
	struct play_result soon = play_seeds(load, 2, true, false);
	struct play_result r = play_seeds(load, 2, true, true);

	print_message("on time %u late %u refused %u; soon %u %u %u\n",
		      r.on_time, r.late, r.refused, soon.on_time, soon.late,
		      soon.refused);
	assert_true(r.refused < 0.9 * soon.refused);
	assert_true(r.on_time + r.late > soon.on_time + soon.late);
}

static void test_return(void **state)
{
	assert_return(&two_slots);
	assert_return(&four_slots);
}

/* Waits keep their length at a usual load and end in a shortage. */
static void test_wait_cut(void **state)
{
	assert_true(shortage_wait_cut(0) == 0);
	assert_true(shortage_wait_cut(0.2) == 0);
	assert_true(shortage_wait_cut(0.4) > 0);
	assert_true(shortage_wait_cut(0.4) < 1);
	assert_true(shortage_wait_cut(0.6) == 1);
}

/* A few requests of one instance without news are no shortage. */
static void test_few_requests(void **state)
{
	struct shortage s = {0};

	shortage_record(&s, (struct shortage_counts){2, 2}, 1000);
	assert_true(shortage_wait_cut(shortage_share(&s, 1000)) < 0.5);
}

/* A crowd that comes at an instance which hears of no other one may wait. */
static void test_crowd_at_one_instance_waits(void **state)
{
	struct shortage s = {0};

	shortage_record(&s, (struct shortage_counts){30, 25}, 1000);
	assert_true(shortage_share(&s, 1000) == 0);
}

/* What all instances counted together is; it is forgotten within seconds. */
static void test_peers_and_age(void **state)
{
	struct shortage s = {0};

	for (int i = 0; i < 16; i++)
		shortage_record_told(&s, (struct shortage_counts){3, 2}, 1000);
	assert_true(shortage_wait_cut(shortage_share(&s, 1000)) == 1);
	assert_true(shortage_wait_cut(shortage_share(&s, 3000)) == 0);
}

/* Nothing is told while requests find room, nor what was counted long ago. */
static void test_silent_without_shortage(void **state)
{
	struct shortage s = {0};

	for (int64_t ms = 1000; ms < 9000; ms += 10)
		shortage_record(&s, (struct shortage_counts){1, 0}, ms);
	assert_false(shortage_is_felt(&s, 9000));
	shortage_record(&s, (struct shortage_counts){0, 1}, 9000);
	assert_true(shortage_is_felt(&s, 9000));
	assert_true(shortage_take_untold(&s).asked <= 51);
	assert_false(shortage_is_felt(&s, 10000));
}

/* Only what this instance counted itself is told, and only once. */
static void test_told_once(void **state)
{
	struct shortage s = {0};
	struct shortage_counts c;

	shortage_record(&s, (struct shortage_counts){1, 0}, 1000);
	shortage_record(&s, (struct shortage_counts){0, 1}, 1000);
	shortage_record_told(&s, (struct shortage_counts){9, 9}, 1000);
	c = shortage_take_untold(&s);
	assert_int_equal(c.asked, 1);
	assert_int_equal(c.missed, 1);
	assert_int_equal(shortage_take_untold(&s).asked, 0);
}

/* A full report fits one datagram, survives a round trip, and no part does. */
static void test_report(void **state)
{
	struct shortage_gossip g = {.peer = 77, .n = SHORTAGE_GOSSIP_MAX};
	struct gossip_message m;
	struct buf b = {0};

	for (unsigned i = 0; i < g.n; i++)
		g.items[i] = (struct shortage_item){0xfffffff0 + i,
						    {SHORTAGE_COUNT_MAX, i}};
	gossip_write_shortage(&b, &g);
	assert_true(b.len <= GOSSIP_MAX);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_int_equal(m.kind, GOSSIP_SHORTAGE);
	assert_int_equal(m.shortage.peer, 77);
	assert_int_equal(m.shortage.n, SHORTAGE_GOSSIP_MAX);
	assert_memory_equal(m.shortage.items, g.items, sizeof(g.items));
	gossip_message_clear(&m);
	for (size_t n = 0; n < b.len; n++) {
		assert_int_not_equal(gossip_read((struct lstr){b.ptr, n}, &m),
				     0);
		gossip_message_clear(&m);
	}
	buf_free(&b);
}

/* A report with a count beyond any instance's is rejected. */
static void test_report_out_of_range(void **state)
{
	struct shortage_gossip g = {
		.n = 1, .items = {{1, {SHORTAGE_COUNT_MAX + 1, 0}}}};
	struct gossip_message m;
	struct buf b = {0};

	gossip_write_shortage(&b, &g);
	assert_int_not_equal(gossip_read(buf_lstr(&b), &m), 0);
	gossip_message_clear(&m);
	buf_free(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_room),
		cmocka_unit_test(test_overload),
		cmocka_unit_test(test_return),
		cmocka_unit_test(test_wait_cut),
		cmocka_unit_test(test_few_requests),
		cmocka_unit_test(test_crowd_at_one_instance_waits),
		cmocka_unit_test(test_peers_and_age),
		cmocka_unit_test(test_silent_without_shortage),
		cmocka_unit_test(test_told_once),
		cmocka_unit_test(test_report),
		cmocka_unit_test(test_report_out_of_range),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
