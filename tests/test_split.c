/*
 * Tests of routes with several services: each part of the traffic keeps its
 * weight when one of the services can't take its part, and that is refused
 * instead of being moved to the others.
 */
#include "tests/unit.h"

#include <string.h>

#include <glib.h>

#include "misc/clock.h"
#include "tests/bench.h"

enum { REQUESTS = 200, FIRST_WEIGHT = 70, SECOND_WEIGHT = 30 };

/* Lists server i as one of another service. */
static void move_to(struct bench *b, int i, const char *service)
{
	struct backend_entry e = {.slots = 2};
	char addr[32];

	backend_set_remove(&b->traffic.backends, b->servers[i].id);
	snprintf(addr, sizeof(addr), "127.0.0.1:%d", BENCH_PORT + i);
	socket_parse_addr(addr, &e.addr);
	g_strlcpy(e.id, b->servers[i].id, sizeof(e.id));
	g_strlcpy(e.service, service, sizeof(e.service));
	strcpy(e.dc, "dc-1");
	backend_set_put(&b->traffic.backends, &e, clock_ms());
}

/* Splits all routes over two services. */
static void split_routes(struct bench *b)
{
	struct config *c = b->traffic.config;
	struct service_config *services =
		arena_alloc(&c->arena, 2 * sizeof(*services));

	memcpy(services, c->services, sizeof(*services));
	services[1] = services[0];
	services[1].name = LSTR("vara");
	c->services = services;
	c->nservices = 2;
	for (size_t i = 0; i < c->nroutes; i++) {
		struct route *r = &c->routes[i];

		r->nsplits = 2;
		r->splits = arena_alloc(&c->arena, 2 * sizeof(*r->splits));
		r->splits[0] =
			(struct route_split){LSTR("harta"), FIRST_WEIGHT};
		r->splits[1] =
			(struct route_split){LSTR("vara"), SECOND_WEIGHT};
	}
}

/* The second service is full: its part is refused, the other one is served. */
static void test_full_part_is_refused(void **state)
{
	struct bench *b = bench_new(3);
	int served = 0, refused = 0;

	split_routes(b);
	move_to(b, 2, "vara");
	b->servers[2].busy_slots = 2;
	for (int i = 0; i < REQUESTS; i++) {
		struct caller *c = bench_call(b, i % 2 ? "GET" : "POST", 1000);

		bench_run_until(b, c);
		served += c->status == 200;
		refused += c->status == 503;
		assert_int_equal(bench_runs(b, c), c->status == 200);
	}
	print_message("served %d, refused %d of %d\n", served, refused,
		      REQUESTS);
	assert_int_equal(served + refused, REQUESTS);
	/* Three standard deviations of the drawn parts. */
	assert_in_range(served, REQUESTS * FIRST_WEIGHT / 100 - 20,
			REQUESTS * FIRST_WEIGHT / 100 + 20);
	assert_int_equal(b->servers[2].received, 0);
	assert_int_equal(b->servers[0].received + b->servers[1].received,
			 served);
	bench_free(b);
}

/* Turned away by the second service: retried there only. */
static void test_refused_part_is_not_moved(void **state)
{
	struct bench *b = bench_new(3);
	int served = 0;

	split_routes(b);
	move_to(b, 1, "vara");
	move_to(b, 2, "vara");
	bench_script(b, 1, SCRIPT_REFUSE);
	bench_script(b, 2, SCRIPT_REFUSE);
	for (int i = 0; i < REQUESTS; i++) {
		struct caller *c = bench_call(b, i % 2 ? "GET" : "POST", 1000);

		bench_run_until(b, c);
		served += c->status == 200;
		assert_int_equal(bench_runs(b, c), c->status == 200);
	}
	assert_in_range(served, REQUESTS * FIRST_WEIGHT / 100 - 20,
			REQUESTS * FIRST_WEIGHT / 100 + 20);
	assert_int_equal(b->servers[0].received, served);
	assert_true(b->servers[1].received > 0);
	assert_true(b->servers[2].received > 0);
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_full_part_is_refused),
		cmocka_unit_test(test_refused_part_is_not_moved),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
