/*
 * Tests of core/peer_load: peers' reports are added once, replaced and expire,
 * and they are the load of servers that don't report it.
 */
#include "tests/unit.h"

#include "core/peer_load.h"
#include "core/place.h"
#include "member/peers.h"
#include "tests/servers.h"

/* Returns a peer's report of `count` requests at one server. */
static struct peer_load report(const char *peer, const char *id, uint32_t count)
{
	struct peer_load l = {.n = count ? 1 : 0};

	l.peer = peer_id(peer);
	l.items[0] = (struct peer_load_item){peer_load_hash(id), count};
	return l;
}

/* Applies such a report. */
static void apply(struct peer_loads *p, struct servers *s, const char *peer,
		  const char *id, uint32_t count, int64_t now)
{
	struct peer_load l = report(peer, id, count);

	peer_loads_apply(p, &s->set, &l, now);
}

/* A report replaces the peer's previous one and expires. */
static void test_replace_and_expire(void **state)
{
	struct servers *s = servers_new(3, 4);
	struct peer_loads p;

	peer_loads_init(&p);
	apply(&p, s, "e1", "i-0", 2, 1000);
	apply(&p, s, "e2", "i-0", 1, 1000);
	assert_int_equal(s->list[0]->peers_in_flight, 3);
	/* A report replaces the previous one of the same peer. */
	apply(&p, s, "e1", "i-1", 1, 1500);
	assert_int_equal(s->list[0]->peers_in_flight, 1);
	assert_int_equal(s->list[1]->peers_in_flight, 1);
	apply(&p, s, "e1", "i-1", 0, 1600);
	assert_int_equal(s->list[1]->peers_in_flight, 0);
	/* The reports of a silent peer expire. */
	peer_loads_expire(&p, &s->set, 2100);
	assert_int_equal(s->list[0]->peers_in_flight, 1);
	peer_loads_expire(&p, &s->set, 2300);
	assert_int_equal(s->list[0]->peers_in_flight, 0);
	/* Unknown servers are ignored. */
	apply(&p, s, "e2", "i-77", 5, 2400);
	for (int i = 0; i < 3; i++)
		assert_int_equal(s->list[i]->peers_in_flight, 0);
	servers_free(s);
}

/* Replacing a report from before the server's restart doesn't go below zero. */
static void test_never_negative(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct peer_loads p;

	peer_loads_init(&p);
	apply(&p, s, "e1", "i-0", 3, 1000);
	s->list[0]->peers_in_flight = 0; /* as after a restart */
	apply(&p, s, "e1", "i-0", 1, 1100);
	assert_int_equal(s->list[0]->peers_in_flight, 1);
	servers_free(s);
}

/* Only servers that don't report their load are in the report. */
static void test_collect(void **state)
{
	struct servers *s = servers_new(3, 4);
	struct peer_load l;

	s->list[1]->in_flight = 2;
	/* Servers that report their load are left out. */
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

/* Returns how many more requests of this instance b has capacity for. */
static unsigned capacity_left(struct backend *b, int64_t now_ms)
{
	struct load_report load = b->load;
	unsigned in_flight = b->in_flight, n = 0;

	while (place_has_capacity(b, now_ms)) {
		b->in_flight++;
		b->load.running++;
		n++;
	}
	b->in_flight = in_flight;
	b->load = load;
	return n;
}

/* Peers' requests count as load, but only without load reports. */
static void test_load_from_peers(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct backend *b = s->list[0];
	int64_t now = 100000;
	double idle;

	servers_record_knee(s->service, 4);
	s->service->load_support = LOAD_NOT_REPORTED;
	idle = place_estimate_ms(b, 60, now);
	assert_int_equal(capacity_left(b, now), 3);
	b->in_flight = 1;
	b->peers_in_flight = 2;
	assert_false(place_has_capacity(b, now));
	assert_true(place_estimate_ms(b, 60, now) > 1.6 * idle);
	/* If the server reports its load, only that counts. */
	s->service->load_support = LOAD_REPORTED;
	assert_int_equal(capacity_left(b, now), 3);
	servers_free(s);
}

/* In a large system reports only come from the own data centre. */
static void test_local_reports(void **state)
{
	assert_false(peer_loads_are_local(1));
	assert_false(peer_loads_are_local(PEER_LOAD_GLOBAL_MAX));
	assert_true(peer_loads_are_local(PEER_LOAD_GLOBAL_MAX + 1));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_replace_and_expire),
		cmocka_unit_test(test_never_negative),
		cmocka_unit_test(test_collect),
		cmocka_unit_test(test_load_from_peers),
		cmocka_unit_test(test_local_reports),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
