/* Tests of core/path: when a connection is opened through a peer's tunnel. */
#include "tests/unit.h"

#include <errno.h>

#include "common/event.h"
#include "core/backend.h"
#include "core/outlier.h"

enum { SERVERS = 4 };

struct system {
	struct backend_set set;
	struct service *service;
	struct backend *servers[SERVERS];
};

static void ignore_gone(void *priv, struct backend *b, bool ended)
{
}

static void start(struct system *s)
{
	backend_set_init(&s->set, ignore_gone, NULL);
	for (unsigned i = 0; i < SERVERS; i++) {
		struct backend_entry e = {.slots = 1, .service = "harta"};

		g_snprintf(e.id, sizeof(e.id), "i-%u", i);
		backend_set_put(&s->set, &e, 0);
		s->servers[i] = g_hash_table_lookup(s->set.by_id, e.id);
	}
	s->service = backend_set_service(&s->set, LSTR("harta"));
}

/* A direct connection to server i fails. */
static void fail_direct(struct system *s, int i, int64_t now_ms)
{
	reach_record(s->servers[i], REACH_OPEN_FAILED, -ECONNREFUSED, now_ms);
	path_direct_failed(s->servers[i], now_ms);
}

static void open_direct(struct system *s, int i, int64_t now_ms)
{
	reach_record(s->servers[i], REACH_OPENED, 0, now_ms);
	path_direct_opened(s->servers[i], now_ms);
}

static void lose_service(struct system *s, int64_t now_ms)
{
	for (int i = 0; i < 3; i++)
		fail_direct(s, i, now_ms);
}

static void failure_of_one_server_opens_no_tunnel(void **state)
{
	struct system s;

	start(&s);
	fail_direct(&s, 0, 10);
	assert_false(path_use_tunnel(s.servers[0], 11));
}

static void lost_service_is_reached_by_tunnels(void **state)
{
	struct system s;

	start(&s);
	lose_service(&s, 10);
	for (int i = 0; i < SERVERS; i++)
		assert_true(path_use_tunnel(s.servers[i], 11));
}

static void server_that_only_a_peer_reaches_keeps_its_tunnel(void **state)
{
	struct system s;

	start(&s);
	lose_service(&s, 10);
	path_tunnel_opened(s.servers[0], 20);
	open_direct(&s, 3, 30);
	assert_true(path_use_tunnel(s.servers[0], 31));
	assert_false(path_use_tunnel(s.servers[1], 31));
	assert_false(path_use_tunnel(s.servers[3], 31));
}

static void all_go_direct_once_a_tunneled_server_is_reached(void **state)
{
	struct system s;

	start(&s);
	lose_service(&s, 10);
	for (int i = 0; i < SERVERS; i++)
		path_tunnel_opened(s.servers[i], 20);
	open_direct(&s, 0, 30);
	for (int i = 0; i < SERVERS; i++)
		assert_false(path_use_tunnel(s.servers[i], 31));
	fail_direct(&s, 1, 40);
	assert_true(path_use_tunnel(s.servers[1], 41));
}

static void gone_servers_get_few_tunnels(void **state)
{
	struct system s;
	unsigned tunnels = 0;

	start(&s);
	lose_service(&s, 1);
	for (int64_t now_ms = 1; now_ms < 10000; now_ms++) {
		if (!path_use_tunnel(s.servers[0], now_ms))
			continue;
		tunnels++;
		path_tunnel_failed(s.service, now_ms);
	}
	assert_in_range(tunnels, 6, 20);
	assert_false(path_may_be_found(s.service));
}

static void a_tunnel_that_answers_clears_failures_of_the_link(void **state)
{
	struct system s;

	start(&s);
	lose_service(&s, 1);
	outlier_record(s.servers[0], 3, 0);
	path_tunnel_opened(s.servers[0], 2);
	assert_false(outlier_is_deprioritized(s.servers[0], 1));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(failure_of_one_server_opens_no_tunnel),
		cmocka_unit_test(lost_service_is_reached_by_tunnels),
		cmocka_unit_test(
			server_that_only_a_peer_reaches_keeps_its_tunnel),
		cmocka_unit_test(
			all_go_direct_once_a_tunneled_server_is_reached),
		cmocka_unit_test(gone_servers_get_few_tunnels),
		cmocka_unit_test(
			a_tunnel_that_answers_clears_failures_of_the_link),
	};

	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
