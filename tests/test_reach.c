/* Tests of core/reach: when a service counts as lost. */
#include "tests/unit.h"

#include <errno.h>

#include "common/event.h"
#include "tests/servers.h"

enum { SERVERS = 4 };

static void fail_open(struct servers *s, int i, int64_t now_ms)
{
	reach_record(s->list[i], REACH_OPEN_FAILED, -ECONNREFUSED, now_ms);
}

static bool is_lost(const struct servers *s)
{
	return reach_is_lost(&s->service->reach);
}

static void lost_after_several_servers_failed_in_a_row(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);

	fail_open(s, 0, 10);
	fail_open(s, 1, 20);
	assert_false(is_lost(s));
	fail_open(s, 2, 30);
	assert_true(is_lost(s));
	reach_record(s->list[3], REACH_OPENED, 0, 40);
	assert_false(is_lost(s));
	servers_free(s);
}

static void one_server_that_fails_often_is_no_lost_service(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);

	for (int i = 0; i < 10; i++)
		fail_open(s, 0, i);
	assert_false(is_lost(s));
	servers_free(s);
}

static void a_service_with_one_server_is_lost_with_it(void **state)
{
	struct servers *s = servers_new(1, 1);

	fail_open(s, 0, 10);
	assert_true(is_lost(s));
	servers_free(s);
}

static void an_old_connection_does_not_show_that_new_ones_open(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);

	for (int i = 0; i < 3; i++) {
		fail_open(s, i, 10 * i);
		reach_record(s->list[3], REACH_ANSWERED, 0, 10 * i + 5);
	}
	assert_true(is_lost(s));
	servers_free(s);
}

static void hung_probes_lose_a_service_until_one_is_answered(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);

	for (int i = 0; i < 3; i++)
		reach_record(s->list[i], REACH_HUNG, -ETIMEDOUT, i);
	assert_true(is_lost(s));
	reach_record(s->list[3], REACH_ANSWERED, 0, 10);
	assert_false(is_lost(s));
	servers_free(s);
}

static void failures_far_apart_do_not_add_up(void **state)
{
	struct servers *s = servers_new(SERVERS, 1);

	for (int i = 0; i < 3; i++)
		fail_open(s, i, 10000 * (i + 1));
	assert_false(is_lost(s));
	servers_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(lost_after_several_servers_failed_in_a_row),
		cmocka_unit_test(
			one_server_that_fails_often_is_no_lost_service),
		cmocka_unit_test(a_service_with_one_server_is_lost_with_it),
		cmocka_unit_test(
			an_old_connection_does_not_show_that_new_ones_open),
		cmocka_unit_test(
			hung_probes_lose_a_service_until_one_is_answered),
		cmocka_unit_test(failures_far_apart_do_not_add_up),
	};

	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
