/*
 * Tests of traffic/crash_check where the instance's own links have failed: a
 * server that it doesn't reach hasn't crashed.
 */
#include "tests/unit.h"

#include "tests/tunnel_peer.h"

#include "common/event.h"
#include "control/control.h"

enum { SERVERS = 3, CHECK_MS = 2000 };

static unsigned crashes_reported;

static void on_notice(void *priv, struct mailbox_msg *m)
{
	const struct crash_notice *notice = m->data;

	if (m->kind == FROM_TRAFFIC_CRASH &&
	    notice->kind == CRASH_NOTICE_CRASHED)
		crashes_reported++;
}

/*
 * Makes a call whose connection breaks while its server has it, after which
 * direct connections are refused. Returns the number of reported crashes.
 */
static unsigned crashes_after_break(unsigned peer_status)
{
	struct bench *b = bench_new(SERVERS);
	struct scripted_peer *p = bench_add_peer(b, "e2");
	struct caller *c;

	crashes_reported = 0;
	mailbox_init(&b->control, b->loop, on_notice, NULL);
	p->status = peer_status;
	for (int i = 0; i < SERVERS; i++) {
		bench_script(b, i, SCRIPT_RUN_RESET);
		b->servers[i].work_ms = 30;
	}
	c = bench_call(b, "POST", 500);
	bench_run_ms(b, 15);
	for (int i = 0; i < SERVERS; i++)
		bench_set_link(b, i, false);
	bench_run_until(b, c);
	bench_run_ms(b, CHECK_MS);
	assert_in_range(p->asked, 1, 10);
	http_server_close(&p->http);
	bench_free(b);
	return crashes_reported;
}

static void server_behind_a_failed_link_is_not_reported(void **state)
{
	assert_int_equal(crashes_after_break(200), 0);
}

static void refusal_here_and_at_a_peer_is_reported(void **state)
{
	assert_int_equal(crashes_after_break(TUNNEL_SERVER_REFUSES), 1);
}

static void refusal_of_a_whole_service_needs_two_answers_of_peers(void **state)
{
	assert_int_equal(crashes_after_break(TUNNEL_SERVICE_REFUSES), 1);
}

static void refusal_here_alone_proves_nothing(void **state)
{
	assert_int_equal(crashes_after_break(TUNNEL_UNAVAILABLE), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(server_behind_a_failed_link_is_not_reported),
		cmocka_unit_test(refusal_here_and_at_a_peer_is_reported),
		cmocka_unit_test(
			refusal_of_a_whole_service_needs_two_answers_of_peers),
		cmocka_unit_test(refusal_here_alone_proves_nothing),
	};

	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
