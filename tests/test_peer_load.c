/*
 * Tests of core/peer_load: what peers have out is added once, replaced and
 * forgotten, and is what a server without reports is judged by.
 */
#include "tests/unit.h"

#include "core/peer_load.h"
#include "core/place.h"
#include "member/peers.h"
#include "tests/servers.h"

static struct peer_load says(const char *peer, const char *id, uint32_t count)
{
	struct peer_load l = {.n = count ? 1 : 0};

	l.peer = peer_id(peer);
	l.items[0] = (struct peer_load_item){peer_load_hash(id), count};
	return l;
}

static void apply(struct peer_loads *p, struct servers *s, const char *peer,
		  const char *id, uint32_t count, int64_t now)
{
	struct peer_load l = says(peer, id, count);

	peer_loads_apply(p, &s->set, &l, now);
}

static void test_replace_and_expire(void **state)
{
	struct servers *s = servers_new(3, 4);
	struct peer_loads p;

	peer_loads_init(&p);
	apply(&p, s, "e1", "i-0", 2, 1000);
	apply(&p, s, "e2", "i-0", 1, 1000);
	assert_int_equal(s->list[0]->peers_in_flight, 3);
	/* What a peer says stands in the place of what it said before. */
	apply(&p, s, "e1", "i-1", 1, 1500);
	assert_int_equal(s->list[0]->peers_in_flight, 1);
	assert_int_equal(s->list[1]->peers_in_flight, 1);
	apply(&p, s, "e1", "i-1", 0, 1600);
	assert_int_equal(s->list[1]->peers_in_flight, 0);
	/* A peer that fell silent is forgotten. */
	peer_loads_expire(&p, &s->set, 2100);
	assert_int_equal(s->list[0]->peers_in_flight, 1);
	peer_loads_expire(&p, &s->set, 2300);
	assert_int_equal(s->list[0]->peers_in_flight, 0);
	/* Servers that are unknown here do no harm. */
	apply(&p, s, "e2", "i-77", 5, 2400);
	for (int i = 0; i < 3; i++)
		assert_int_equal(s->list[i]->peers_in_flight, 0);
	servers_free(s);
}

/* A server that comes after what was said of it never goes below zero. */
static void test_never_negative(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct peer_loads p;

	peer_loads_init(&p);
	apply(&p, s, "e1", "i-0", 3, 1000);
	s->list[0]->peers_in_flight = 0; /* as a new start has it */
	apply(&p, s, "e1", "i-0", 1, 1100);
	assert_int_equal(s->list[0]->peers_in_flight, 1);
	servers_free(s);
}

static void test_collect(void **state)
{
	struct servers *s = servers_new(3, 4);
	struct peer_load l;

	s->list[1]->in_flight = 2;
	/* Servers that tell their load need no telling. */
	s->service->load_support = LOAD_REPORTED;
	peer_loads_collect(&s->set, &l);
	assert_int_equal(l.n, 0);
	s->service->load_support = LOAD_NOT_REPORTED;
	peer_loads_collect(&s->set, &l);
	assert_int_equal(l.n, 1);
	assert_int_equal(l.items[0].backend, peer_load_hash("i-1"));
	assert_int_equal(l.items[0].count, 2);
	servers_free(s);
}

/* How many more requests of this instance b has room for. */
static unsigned room_left(struct backend *b, int64_t now_ms)
{
	struct load_report load = b->load;
	unsigned had = b->in_flight, n = 0;

	while (place_has_capacity(b, now_ms)) {
		b->in_flight++;
		b->load.running++;
		n++;
	}
	b->in_flight = had;
	b->load = load;
	return n;
}

static void test_judged_by_it(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct backend *b = s->list[0];
	int64_t now = 100000;
	double idle;

	servers_record_knee(s->service, 4);
	s->service->load_support = LOAD_NOT_REPORTED;
	idle = place_estimate_ms(b, 60, now);
	assert_int_equal(room_left(b, now), 3);
	b->in_flight = 1;
	b->peers_in_flight = 2;
	assert_false(place_has_capacity(b, now));
	assert_true(place_estimate_ms(b, 60, now) > 1.6 * idle);
	/* A report, where there is one, is all that counts. */
	s->service->load_support = LOAD_REPORTED;
	assert_int_equal(room_left(b, now), 3);
	servers_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_replace_and_expire),
		cmocka_unit_test(test_never_negative),
		cmocka_unit_test(test_collect),
		cmocka_unit_test(test_judged_by_it),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
