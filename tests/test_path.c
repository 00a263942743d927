/* Tests of core/path: when a connection is opened through a peer's tunnel. */
#include "tests/unit.h"

#include <errno.h>

#include "common/event.h"
#include "core/outlier.h"
#include "tests/servers.h"

enum { SERVERS = 4 };

/* A direct connection to server i fails. */
static void fail_direct(struct servers *s, int i, int64_t now_ms)
{
	reach_record(s->list[i], REACH_OPEN_FAILED, -ECONNREFUSED, now_ms);
	path_direct_failed(s->list[i], now_ms);
}

static void open_direct(struct servers *s, int i, int64_t now_ms)
{
	reach_record(s->list[i], REACH_OPENED, 0, now_ms);
	path_direct_opened(s->list[i], now_ms);
}

static void lose_service(struct servers *s, int64_t now_ms)
{
	for (int i = 0; i < 3; i++)
		fail_direct(s, i, now_ms);
}

static void failure_of_one_server_opens_no_tunnel(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);

	fail_direct(s, 0, 10);
	assert_false(path_use_tunnel(s->list[0], 11));
	servers_free(s);
}

static void lost_service_is_reached_by_tunnels(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);

	lose_service(s, 10);
	for (int i = 0; i < SERVERS; i++)
		assert_true(path_use_tunnel(s->list[i], 11));
	servers_free(s);
}

static void server_that_only_a_peer_reaches_keeps_its_tunnel(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);

	lose_service(s, 10);
	path_tunnel_opened(s->list[0], 20);
	open_direct(s, 3, 30);
	assert_true(path_use_tunnel(s->list[0], 31));
	assert_false(path_use_tunnel(s->list[1], 31));
	assert_false(path_use_tunnel(s->list[3], 31));
	servers_free(s);
}

static void all_go_direct_once_a_tunneled_server_is_reached(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);

	lose_service(s, 10);
	for (int i = 0; i < SERVERS; i++)
		path_tunnel_opened(s->list[i], 20);
	open_direct(s, 0, 30);
	for (int i = 0; i < SERVERS; i++)
		assert_false(path_use_tunnel(s->list[i], 31));
	fail_direct(s, 1, 40);
	assert_true(path_use_tunnel(s->list[1], 41));
	servers_free(s);
}

static void a_server_that_fails_long_after_the_heal_gets_no_tunnel(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);

	lose_service(s, 10);
	for (int i = 0; i < SERVERS; i++)
		path_tunnel_opened(s->list[i], 20);
	open_direct(s, 0, 30);
	fail_direct(s, 1, 60 * 1000);
	assert_false(path_use_tunnel(s->list[1], 60 * 1000 + 1));
	servers_free(s);
}

static void a_server_that_no_peer_reaches_gets_no_tunnel(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);

	lose_service(s, 10);
	path_tunnel_opened(s->list[0], 20);
	open_direct(s, 3, 30);
	path_tunnel_refused(s->list[0]);
	assert_false(path_use_tunnel(s->list[0], 31));
	servers_free(s);
}

static void gone_servers_get_few_tunnels(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);
	unsigned tunnels = 0;

	lose_service(s, 1);
	for (int64_t now_ms = 1; now_ms < 10000; now_ms++) {
		if (!path_use_tunnel(s->list[0], now_ms))
			continue;
		tunnels++;
		path_tunnel_failed(s->service, now_ms);
	}
	assert_in_range(tunnels, 6, 20);
	assert_false(path_may_be_found(s->service));
	servers_free(s);
}

static void a_tunnel_that_answers_clears_failures_of_the_link(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);

	lose_service(s, 1);
	outlier_record(s->list[0], 3, 0);
	path_tunnel_opened(s->list[0], 2);
	assert_false(outlier_is_deprioritized(s->list[0], 1));
	servers_free(s);
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
		cmocka_unit_test(
			a_server_that_fails_long_after_the_heal_gets_no_tunnel),
		cmocka_unit_test(a_server_that_no_peer_reaches_gets_no_tunnel),
		cmocka_unit_test(gone_servers_get_few_tunnels),
		cmocka_unit_test(
			a_tunnel_that_answers_clears_failures_of_the_link),
	};

	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
