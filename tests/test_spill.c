/*
 * Tests of core/spill and its use in core/place: requests of a data centre with
 * too few servers find idle ones nearby, by degree, and not far away.
 */
#include "tests/unit.h"

#include "core/mechanisms.h"
#include "core/place.h"
#include "core/spill.h"
#include "tests/servers.h"

enum {
	DCS = 4,
	SLOTS = 2,
	PROBES = 3,
	STEP_MS = 5,
	WORK_MS = 160,
	SPARE_MS = 240, /* target less the work */
	SERVERS = 15,	/* of each data centre */
};

/* Service time on the second slot, as a multiple of that on the first. */
static const double SECOND_SLOT = 1.7;

/* The way within a data centre, and by how much it is longer to another one. */
static const double OWN_MS = 0.2;
static const double NEAR_MS = 1.8;
static const double REGION_MS = 7;
static const double FAR_MS = 110;

/* Records reports, of which some out of ten show an idle server. */
static struct spill_dc *report(struct spill *s, const char *name,
			       int idle_of_10, double rtt_ms)
{
	struct spill_dc *d = &s->dcs[spill_index(s, name)];

	for (int i = 0; i < 100; i++)
		spill_record_report(d, i % 10 < idle_of_10, i);
	spill_record_rtt(d, rtt_ms);
	return d;
}

/*
 * Returns the weight of another data centre relative to the own one, with 50
 * servers in each.
 */
static double weight(int own_idle, int idle, double way_ms, double spare_ms)
{
	struct spill s = {0};
	struct spill_dc *own = report(&s, "dc-0", own_idle, OWN_MS);
	struct spill_dc *d = report(&s, "dc-1", idle, OWN_MS + way_ms);

	return spill_weight(d, own, 50, spare_ms, 100) /
	       spill_weight(own, own, 50, spare_ms, 100);
}

/* The more idle servers it has, the larger its part, without a step. */
static void test_by_degree(void **state)
{
	double last = weight(3, 3, NEAR_MS, SPARE_MS);

	assert_true(last < 0.01);
	assert_true(weight(6, 3, NEAR_MS, SPARE_MS) < 0.01);
	for (int i = 5; i <= 10; i++) {
		double w = weight(3, i, NEAR_MS, SPARE_MS);

		assert_true(w > last);
		assert_true(w - last < 0.5);
		last = w;
	}
	assert_true(last > 1);
}

/* A short way costs little, a long one leaves the minimum. */
static void test_way(void **state)
{
	double here = weight(2, 8, 0, SPARE_MS);

	assert_true(weight(2, 8, 1, SPARE_MS) > 0.9 * here);
	assert_true(weight(2, 8, NEAR_MS, SPARE_MS) > 0.9 * here);
	assert_true(weight(2, 8, REGION_MS, SPARE_MS) > 0.6 * here);
	assert_true(weight(2, 8, REGION_MS, 650) > 0.85 * here);
	assert_true(weight(2, 8, FAR_MS, SPARE_MS) < 0.02 * here);
	assert_true(weight(2, 8, FAR_MS, 650) < 0.02 * here);
	/* A request with seconds to spare may go there. */
	assert_true(weight(2, 8, FAR_MS, 2800) > 0.5 * here);
	/* Where the own one is full, the far one is looked at as well. */
	assert_true(weight(0, 8, FAR_MS, SPARE_MS) >= 0.05);
	/* A request without time to spare stays. */
	assert_true(weight(2, 8, NEAR_MS, 0) < 0.02 * here);
}

/* Without reports a data centre is looked at again after seconds. */
static void test_forgets(void **state)
{
	struct spill s = {0};
	struct spill_dc *d = &s.dcs[spill_index(&s, "dc-1")];

	assert_int_equal(spill_index(&s, "dc-1"), 0);
	assert_int_equal(spill_index(&s, "dc-2"), 1);
	for (int i = 0; i < 200; i++)
		spill_record_report(d, false, i);
	assert_true(spill_weight(d, d, 10, SPARE_MS, 200) < 0.1);
	assert_true(spill_weight(d, d, 10, SPARE_MS, 10000) > 5);
}

/*
 * A data centre whose first probes time out counts as far, and as near as it is
 * once probes are answered.
 */
static void test_timeout(void **state)
{
	struct spill s = {0};
	struct spill_dc *own = report(&s, "dc-0", 2, OWN_MS);
	struct spill_dc *d = &s.dcs[spill_index(&s, "dc-1")];
	double unknown = spill_weight(d, own, 50, SPARE_MS, 100);

	spill_record_timeout(d, 60);
	assert_true(spill_weight(d, own, 50, SPARE_MS, 100) < 0.02 * unknown);
	for (int i = 0; i < 50; i++)
		spill_record_rtt(d, NEAR_MS);
	spill_record_timeout(d, 60);
	assert_true(spill_weight(d, own, 50, SPARE_MS, 100) > 0.8 * unknown);
}

/* Requests that are late, or that a busy server serves on time, stay. */
static void test_spare_time(void **state)
{
	assert_true(spill_spare_ms(400, 0, WORK_MS) == SPARE_MS);
	assert_true(spill_spare_ms(1000, 0, 350) == 650);
	assert_true(spill_spare_ms(400, 100, WORK_MS) == SPARE_MS - 100);
	assert_true(spill_spare_ms(400, 300, WORK_MS) == 0);
	assert_true(spill_spare_ms(3000, 0, 190) == 0);
	assert_true(spill_spare_ms(3000, 2200, 190) > 0);
}

static void test_draw(void **state)
{
	double weights[] = {0, 3, 0, 1};

	assert_int_equal(spill_draw(weights, 4, 0), 1);
	assert_int_equal(spill_draw(weights, 4, 0.74), 1);
	assert_int_equal(spill_draw(weights, 4, 0.76), 3);
	assert_int_equal(spill_draw(weights, 4, 1), 3);
	assert_int_equal(spill_draw(weights, 1, 0.5), 1);
}

/* The view of an instance in one data centre. */
struct instance {
	char dc[BACKEND_NAME_MAX];
	struct backend_set set;
	struct service *service;
	struct backend *list[DCS * SERVERS];
	unsigned asked, second_slot, elsewhere;
};

/* A play of requests that each look for a server in two rounds of probes. */
struct play {
	struct instance at[DCS];
	int64_t end_ms[DCS * SERVERS][SLOTS];
	GRand *rand;
	int64_t now_ms;
	double way_ms;
};

static void instance_init(struct instance *in, int dc)
{
	g_snprintf(in->dc, sizeof(in->dc), "dc-%d", dc);
	backend_set_init(&in->set, servers_on_gone, NULL);
	for (int i = 0; i < DCS * SERVERS; i++) {
		struct backend_entry e = {.slots = SLOTS};

		g_snprintf(e.id, sizeof(e.id), "i-%d", i);
		g_strlcpy(e.service, "harta", sizeof(e.service));
		g_snprintf(e.dc, sizeof(e.dc), "dc-%d", i % DCS);
		backend_set_put(&in->set, &e, 0);
		in->list[i] = g_hash_table_lookup(in->set.by_id, e.id);
		in->list[i]->state->seen_unlimited = true;
	}
	in->service = backend_set_service(&in->set, LSTR("harta"));
}

static unsigned index_of(const struct instance *in, const struct backend *b)
{
	unsigned i = 0;

	while (in->list[i] != b)
		i++;
	return i;
}

/* Returns the requests that a server works on now. */
static unsigned running(const struct play *p, unsigned i)
{
	unsigned n = 0;

	for (unsigned k = 0; k < SLOTS; k++)
		n += p->end_ms[i][k] > p->now_ms;
	return n;
}

/* Probes up to `want` servers; returns the least loaded so far. */
static struct backend *probe(struct play *p, struct instance *in,
			     struct place_query *q, unsigned want,
			     struct backend **probed, struct backend *best)
{
	unsigned n = place_select_probes(q, want, probed);

	for (unsigned k = 0; k < n; k++) {
		struct backend *b = probed[k];
		bool own = !strcmp(b->entry.dc, q->dc);

		b->load = (struct load_report){
			.running = running(p, index_of(in, b)),
			.slots = SLOTS,
			.slowdown_pct = 100,
			.at_ms = p->now_ms};
		place_record_rtt(b, OWN_MS + (own ? 0 : p->way_ms));
		place_record_load(b, p->now_ms);
		if (b->load.running < SLOTS &&
		    (!best || b->load.running < best->load.running ||
		     (own && b->load.running == best->load.running)))
			best = b;
	}
	q->navoid += n;
	return best;
}

/* Plays one request of an instance. */
static void play_request(struct play *p, struct instance *in)
{
	struct backend *probed[2 + PROBES];
	struct place_query q = {.service = in->service,
				.dc = in->dc,
				.avoid = probed,
				.own_dc_only = true,
				.spare_ms = SPARE_MS,
				.now_ms = p->now_ms,
				.rand = p->rand};
	struct backend *best;
	unsigned i, k = 0;

	in->asked++;
	best = probe(p, in, &q, 2, probed, NULL);
	q.own_dc_only = false;
	if (!best || !place_is_good_enough(best, p->now_ms))
		best = probe(p, in, &q, PROBES, probed + q.navoid, best);
	if (!best)
		return;
	i = index_of(in, best);
	best->load.running++;
	in->second_slot += running(p, i) > 0;
	in->elsewhere += strcmp(best->entry.dc, in->dc) != 0;
	while (p->end_ms[i][k] > p->now_ms)
		k++;
	p->end_ms[i][k] =
		p->now_ms +
		(int64_t)((running(p, i) ? SECOND_SLOT : 1) * WORK_MS);
}

/*
 * Plays ten seconds in which dc-0 has twice the demand of the others for the
 * same number of servers.
 */
static void play(struct play *p, bool spill, double way_ms)
{
	static const double per_s[DCS] = {60, 30, 30, 30};

	*p = (struct play){.way_ms = way_ms, .now_ms = 100000};
	p->rand = g_rand_new_with_seed(11);
	for (int dc = 0; dc < DCS; dc++)
		instance_init(&p->at[dc], dc);
	mechanisms.spill = spill;
	for (int i = 0; i < 10000 / STEP_MS; i++, p->now_ms += STEP_MS) {
		for (int dc = 0; dc < DCS; dc++) {
			if (g_rand_double(p->rand) < per_s[dc] * STEP_MS / 1000)
				play_request(p, &p->at[dc]);
		}
	}
	mechanisms.spill = true;
	g_rand_free(p->rand);
	for (int dc = 0; dc < DCS; dc++) {
		struct instance *in = &p->at[dc];

		for (int i = 0; i < DCS * SERVERS; i++)
			backend_set_remove(&in->set, in->list[i]->entry.id);
		print_message("spill %d, way %.1f ms: %s second slot %u, "
			      "elsewhere %u of %u\n",
			      spill, way_ms, in->dc, in->second_slot,
			      in->elsewhere, in->asked);
	}
}

/* Returns the share of second slots among the requests of a data centre. */
static double second_slots(const struct play *p, int dc)
{
	return (double)p->at[dc].second_slot / p->at[dc].asked;
}

static double elsewhere(const struct play *p, int dc)
{
	return (double)p->at[dc].elsewhere / p->at[dc].asked;
}

/*
 * Callers of the data centre with twice the demand get slow second slots hardly
 * more often than the others, and those not much more than before.
 */
static void test_uneven_demand(void **state)
{
	struct play before, now;

	play(&before, false, NEAR_MS);
	for (int i = 0; i < 2; i++) {
		play(&now, true, i ? REGION_MS : NEAR_MS);
		assert_true(second_slots(&now, 0) <
			    0.6 * second_slots(&before, 0));
		assert_true(second_slots(&now, 0) <
			    second_slots(&now, 1) + 0.1);
		assert_true(second_slots(&now, 1) <
			    second_slots(&before, 1) + 0.05);
		/* Callers with enough servers near them mostly stay there. */
		assert_true(elsewhere(&now, 1) < 0.2);
	}
}

/* Callers aren't sent over a long way while servers near them have slots. */
static void test_far(void **state)
{
	struct play now;

	play(&now, true, FAR_MS);
	assert_true(elsewhere(&now, 0) < 0.1);
	assert_true(elsewhere(&now, 1) < 0.05);
}

/* Switches the mechanism on, as an operator may. */
static int setup(void **state)
{
	mechanisms.spill = true;
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_by_degree),
		cmocka_unit_test(test_way),
		cmocka_unit_test(test_forgets),
		cmocka_unit_test(test_timeout),
		cmocka_unit_test(test_spare_time),
		cmocka_unit_test(test_draw),
		cmocka_unit_test(test_uneven_demand),
		cmocka_unit_test(test_far),
	};

	return cmocka_run_group_tests(tests, setup, NULL);
}
