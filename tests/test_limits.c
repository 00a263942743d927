/*
 * Tests of traffic/limits, traffic/limit_sends and traffic/request_queue_wait:
 * the traffic thread with servers that set limits, and its messages to and from
 * peers.
 */
#include "tests/unit.h"

#include "tests/bench.h"

enum { PEER_ID = 77 }; /* id of a peer */

/*
 * Sets the instances that share limits in the traffic thread: itself and
 * `others` more.
 */
static void set_participants(struct bench *b, unsigned others)
{
	struct peer_view *v = g_new0(struct peer_view, 1);

	v->instances = others + 1;
	v->participants =
		g_array_new(FALSE, FALSE, sizeof(struct limit_instance));
	for (unsigned i = 0; i <= others; i++) {
		struct limit_instance s = {PEER_ID - 1 + i, 1};

		g_array_append_val(v->participants, s);
	}
	assert_int_equal(mailbox_send(&b->traffic.inbox, TO_TRAFFIC_PEERS, v),
			 0);
	bench_run_ms(b, 5);
}

static struct backend *backend_of(struct bench *b, int i)
{
	return g_hash_table_lookup(b->traffic.backends.by_id, b->servers[i].id);
}

/* Makes calls one after the other; returns how many were served. */
static int call_times(struct bench *b, int n)
{
	int served = 0;

	for (int i = 0; i < n; i++) {
		struct caller *c = bench_call(b, "POST", 1000);

		bench_run_until(b, c);
		served += c->status == 200;
	}
	return served;
}

/*
 * Calls until each server has responded, so that its limit or lack of one is
 * known.
 */
static void warm_up(struct bench *b)
{
	bool all = false;

	for (int i = 0; i < 50 && !all; i++) {
		call_times(b, 1);
		all = true;
		for (int k = 0; k < b->n; k++)
			all = all && b->servers[k].received;
	}
	assert_true(all);
	for (int k = 0; k < b->n; k++)
		b->servers[k].received = 0;
}

/* Calls until the limits of all servers are known. */
static void call_until_limited(struct bench *b)
{
	bool all = false;

	for (int i = 0; i < 50 && !all; i++) {
		call_times(b, 1);
		all = true;
		for (int k = 0; k < b->n; k++)
			all = all && backend_is_limited(backend_of(b, k));
	}
	assert_true(all);
}

/*
 * A limited server gets its saved-up and newly earned sends; the other server
 * serves the rest.
 */
static void test_one_limited(void **state)
{
	struct bench *b = bench_new(2);

	set_participants(b, 0);
	warm_up(b);
	b->servers[0].limit = "1";
	/*
	 * Sends continue until the limit is received; then floor(1.5 + 3) may
	 * be saved up.
	 */
	assert_int_equal(call_times(b, 60), 60);
	assert_true(backend_is_limited(backend_of(b, 0)));
	assert_true(b->servers[0].received >= 1);
	assert_true(b->servers[0].received <= 1 + 4 + 1);
	assert_true(b->servers[1].received >= 54);
	bench_free(b);
}

/*
 * While the participants are unknown this instance holds no share, so the
 * server gets nothing more.
 */
static void test_sharers_unknown(void **state)
{
	struct bench *b = bench_new(2);

	warm_up(b);
	b->servers[0].limit = "100";
	call_times(b, 20);
	b->servers[0].received = 0;
	assert_int_equal(call_times(b, 20), 20);
	assert_int_equal(b->servers[0].received, 0);
	bench_free(b);
}

/* A server that stops setting a limit gets its normal part at once. */
static void test_limit_ends(void **state)
{
	struct bench *b = bench_new(2);

	set_participants(b, 0);
	warm_up(b);
	b->servers[0].limit = "50";
	call_times(b, 20);
	assert_true(backend_is_limited(backend_of(b, 0)));
	b->servers[0].limit = NULL;
	call_times(b, 40);
	assert_false(backend_is_limited(backend_of(b, 0)));
	bench_free(b);
}

/* An invalid limit changes nothing. */
static void test_invalid_limit(void **state)
{
	struct bench *b = bench_new(1);

	set_participants(b, 0);
	warm_up(b);
	b->servers[0].limit = "plenty";
	assert_int_equal(call_times(b, 10), 10);
	assert_null(backend_of(b, 0)->state->limit);
	assert_int_equal(b->traffic.counters.limits_bad, 10);
	b->servers[0].limit = "0.5";
	call_times(b, 1);
	assert_true(backend_is_limited(backend_of(b, 0)));
	b->servers[0].limit = "-1";
	call_times(b, 1);
	assert_true(backend_is_limited(backend_of(b, 0)));
	bench_free(b);
}

/*
 * All servers are limited and no sends are left: refused at once, with a time
 * to retry.
 */
static void test_all_limited(void **state)
{
	struct bench *b = bench_new(2);
	double last = 0;

	set_participants(b, 0);
	warm_up(b);
	b->servers[0].limit = b->servers[1].limit = "1";
	call_times(b, 30);
	b->servers[0].received = b->servers[1].received = 0;
	for (int i = 0; i < 5; i++) {
		int64_t t0 = clock_ms();
		struct caller *c = bench_call(b, "POST", 20000);

		bench_run_until(b, c);
		assert_int_equal(c->status, 503);
		assert_int_equal(bench_runs(b, c), 0);
		/* Two requests for grants at most. */
		assert_true(clock_ms() - t0 < 60);
		/*
		 * Two sends are earned per second, and each is promised to one
		 * caller.
		 */
		if (i)
			assert_true(c->retry_after > last + 0.3);
		last = c->retry_after;
	}
	assert_int_equal(b->servers[0].received + b->servers[1].received, 0);
	bench_free(b);
}

/*
 * A limit that a peer has passed on applies if the server has not sent it here.
 */
static void test_limit_from_peer(void **state)
{
	struct bench *b = bench_new(2);
	struct limit_gossip *news = g_new0(struct limit_gossip, 1);

	set_participants(b, 0);
	warm_up(b);
	*news = (struct limit_gossip){.peer = PEER_ID, .n = 2};
	news->items[0] = (struct limit_gossip_item){
		backend_of(b, 0)->start_hash, true, 0, 20, 10};
	news->items[1] = (struct limit_gossip_item){12345, true, 0, 20, 10};
	mailbox_send(&b->traffic.inbox, TO_TRAFFIC_LIMITS, news);
	bench_run_ms(b, 5);
	assert_true(backend_is_limited(backend_of(b, 0)));
	assert_false(backend_is_limited(backend_of(b, 1)));
	b->servers[0].limit = "0";
	assert_int_equal(call_times(b, 20), 20);
	assert_true(b->servers[0].received <= 3);
	/*
	 * The first response without a limit was requested after the peer
	 * received the limit.
	 */
	b->servers[0].limit = NULL;
	backend_of(b, 0)->state->limit->probe_allowed = true;
	call_times(b, 10);
	assert_false(backend_is_limited(backend_of(b, 0)));
	bench_free(b);
}

/* Adds or removes the list entry of server i. */
static void list_server(struct bench *b, int i, bool removed)
{
	struct backend_change *c = g_new0(struct backend_change, 1);

	c->removed = removed;
	c->entry = backend_of(b, 1)->entry;
	g_strlcpy(c->entry.id, b->servers[i].id, sizeof(c->entry.id));
	c->entry.addr.sin_port = htons((uint16_t)(BENCH_PORT + i));
	mailbox_send(&b->traffic.inbox, TO_TRAFFIC_BACKEND, c);
	bench_run_ms(b, 5);
}

static void test_limit_survives_entry(void **state)
{
	struct bench *b = bench_new(2);
	struct limit_quota before;

	set_participants(b, 0);
	warm_up(b);
	b->servers[0].limit = "1";
	call_times(b, 40);
	before = backend_of(b, 0)->state->limit->share.quota;
	list_server(b, 0, true);
	assert_null(backend_of(b, 0));
	/*
	 * More instances share it by the time the server is back, so this one
	 * holds less, or nothing.
	 */
	set_participants(b, 300);
	list_server(b, 0, false);
	assert_true(backend_is_limited(backend_of(b, 0)));
	assert_true(backend_of(b, 0)->state->limit->share.quota.rate_s <
		    before.rate_s);
	bench_free(b);
}

/* No second send of a request goes to a limited server. */
static void test_no_second_send(void **state)
{
	struct bench *b = bench_new(2);
	struct caller *c;

	set_participants(b, 0);
	warm_up(b);
	b->servers[0].limit = "100";
	b->servers[1].limit = "100";
	call_until_limited(b);
	b->servers[0].script = b->servers[1].script = SCRIPT_HANG;
	b->servers[0].received = b->servers[1].received = 0;
	c = bench_call(b, "GET", 1000);
	bench_run_ms(b, 500);
	assert_int_equal(b->servers[0].received + b->servers[1].received, 1);
	assert_int_equal(c->status, 0);
	bench_run_until(b, c);
	bench_free(b);
}

/* A grant covers one request, and only if it replies to a request for one. */
static void test_grant(void **state)
{
	struct bench *b = bench_new(1);
	struct limit_borrow_msg *grant;
	struct service *s;
	struct caller *c;

	warm_up(b);
	b->servers[0].limit = "5";
	call_times(b, 1);
	b->servers[0].received = 0;
	s = backend_of(b, 0)->service;
	for (int asked = 0; asked < 2; asked++) {
		c = bench_call(b, "POST", 1000);
		bench_run_ms(b, 5);
		assert_true(c->open);
		grant = g_new0(struct limit_borrow_msg, 1);
		*grant = (struct limit_borrow_msg){true, PEER_ID, 0,
						   backend_of(b, 0)->start_hash,
						   s->borrow.serial - !asked};
		mailbox_send(&b->traffic.inbox, TO_TRAFFIC_LIMIT_CALL, grant);
		bench_run_until(b, c);
		assert_int_equal(c->status, asked ? 200 : 503);
	}
	assert_int_equal(b->servers[0].received, 1);
	assert_int_equal(b->traffic.counters.limits_granted, 1);
	bench_free(b);
}

static void request_grant(struct bench *b)
{
	struct limit_borrow_msg *q = g_new0(struct limit_borrow_msg, 1);

	*q = (struct limit_borrow_msg){
		.from = PEER_ID, .resource = g_str_hash("harta"), .serial = 9};
	mailbox_send(&b->traffic.inbox, TO_TRAFFIC_LIMIT_CALL, q);
	bench_run_ms(b, 5);
}

/*
 * A send given up is gone here; an instance that is short itself gives up
 * nothing.
 */
static void test_give_up_send(void **state)
{
	struct bench *b = bench_new(1);
	const struct limit_share *share;
	double before;

	set_participants(b, 0);
	warm_up(b);
	b->servers[0].limit = "20";
	call_times(b, 1);
	share = &backend_of(b, 0)->state->limit->share;
	before = share->tokens;
	assert_true(before >= 2);
	request_grant(b);
	assert_int_equal(b->traffic.counters.limits_given, 1);
	assert_true(share->tokens < before - 0.9);
	/* There are more, but a request of an own caller has just run short. */
	assert_true(share->tokens >= 1);
	backend_of(b, 0)->service->capacity_missed_ms = clock_ms();
	request_grant(b);
	assert_int_equal(b->traffic.counters.limits_given, 1);
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_limited),
		cmocka_unit_test(test_sharers_unknown),
		cmocka_unit_test(test_limit_ends),
		cmocka_unit_test(test_invalid_limit),
		cmocka_unit_test(test_all_limited),
		cmocka_unit_test(test_limit_from_peer),
		cmocka_unit_test(test_limit_survives_entry),
		cmocka_unit_test(test_no_second_send),
		cmocka_unit_test(test_grant),
		cmocka_unit_test(test_give_up_send),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
