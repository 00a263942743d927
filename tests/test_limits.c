/*
 * Tests of traffic/limits, traffic/limit_sends and traffic/request_wait: the
 * traffic side with servers that name limits, and what it and its peers tell each
 * other.
 */
#include "tests/unit.h"

#include "tests/bench.h"

enum { OTHER = 77 }; /* id of a peer */

/* The traffic side learns who shares; itself first, `others` besides. */
static void tell_sharers(struct bench *b, unsigned others)
{
	struct peer_view *v = g_new0(struct peer_view, 1);

	v->instances = others + 1;
	v->sharers = g_array_new(FALSE, FALSE, sizeof(struct limit_sharer));
	for (unsigned i = 0; i <= others; i++) {
		struct limit_sharer s = {OTHER - 1 + i, 1};

		g_array_append_val(v->sharers, s);
	}
	assert_int_equal(mailbox_send(&b->traffic.in, TO_TRAFFIC_PEERS, v), 0);
	bench_run_ms(b, 5);
}

static struct backend *backend_of(struct bench *b, int i)
{
	return g_hash_table_lookup(b->traffic.backends.by_id, b->servers[i].id);
}

/* One call after the other; returns how many were served. */
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

/* Sees to it that each server has answered, so that it is known what it names. */
static void acquaint(struct bench *b)
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

/* It gets what was saved and is earned; the other serves the rest. */
static void test_one_in_need(void **state)
{
	struct bench *b = bench_new(2);

	tell_sharers(b, 0);
	acquaint(b);
	b->servers[0].limit = "1";
	/* Until it is heard it goes on; then floor(1.5 + 3) may be saved. */
	assert_int_equal(call_times(b, 60), 60);
	assert_true(backend_is_limited(backend_of(b, 0)));
	assert_true(b->servers[0].received >= 1);
	assert_true(b->servers[0].received <= 1 + 4 + 1);
	assert_true(b->servers[1].received >= 54);
	bench_free(b);
}

/* Who shares isn't known: nothing is held, and the server gets nothing more. */
static void test_sharers_unknown(void **state)
{
	struct bench *b = bench_new(2);

	acquaint(b);
	b->servers[0].limit = "100";
	call_times(b, 20);
	b->servers[0].received = 0;
	assert_int_equal(call_times(b, 20), 20);
	assert_int_equal(b->servers[0].received, 0);
	bench_free(b);
}

/* It says so no more: it gets its part at once. */
static void test_ends(void **state)
{
	struct bench *b = bench_new(2);

	tell_sharers(b, 0);
	acquaint(b);
	b->servers[0].limit = "50";
	call_times(b, 20);
	assert_true(backend_is_limited(backend_of(b, 0)));
	b->servers[0].limit = NULL;
	call_times(b, 40);
	assert_false(backend_is_limited(backend_of(b, 0)));
	bench_free(b);
}

/* What is no number changes nothing. */
static void test_bad_value(void **state)
{
	struct bench *b = bench_new(1);

	tell_sharers(b, 0);
	acquaint(b);
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

/* All in need and nothing left: refused at once, with the time of a turn. */
static void test_all_in_need(void **state)
{
	struct bench *b = bench_new(2);
	double last = 0;

	tell_sharers(b, 0);
	acquaint(b);
	b->servers[0].limit = b->servers[1].limit = "1";
	call_times(b, 30);
	b->servers[0].received = b->servers[1].received = 0;
	for (int i = 0; i < 5; i++) {
		int64_t t0 = clock_ms();
		struct caller *c = bench_call(b, "POST", 20000);

		bench_run_until(b, c);
		assert_int_equal(c->status, 503);
		assert_int_equal(bench_runs(b, c), 0);
		/* Two questions to peers' time at most. */
		assert_true(clock_ms() - t0 < 60);
		/* Turns are earned at two a second, each is promised once. */
		if (i)
			assert_true(c->retry_after > last + 0.3);
		last = c->retry_after;
	}
	assert_int_equal(b->servers[0].received + b->servers[1].received, 0);
	bench_free(b);
}

/* The server's word through a peer counts where the server hasn't said it. */
static void test_told_by_a_peer(void **state)
{
	struct bench *b = bench_new(2);
	struct limit_news *news = g_new0(struct limit_news, 1);

	tell_sharers(b, 0);
	acquaint(b);
	*news = (struct limit_news){.peer = OTHER, .n = 2};
	news->items[0] = (struct limit_item){backend_of(b, 0)->start_hash, true,
					     0, 20, 10};
	news->items[1] = (struct limit_item){12345, true, 0, 20, 10};
	mailbox_send(&b->traffic.in, TO_TRAFFIC_LIMITS, news);
	bench_run_ms(b, 5);
	assert_true(backend_is_limited(backend_of(b, 0)));
	assert_false(backend_is_limited(backend_of(b, 1)));
	b->servers[0].limit = "0";
	assert_int_equal(call_times(b, 20), 20);
	assert_true(b->servers[0].received <= 3);
	/* The first answer that names none is of after what the peer heard. */
	b->servers[0].limit = NULL;
	backend_of(b, 0)->state->limit->probe_allowed = true;
	call_times(b, 10);
	assert_false(backend_is_limited(backend_of(b, 0)));
	bench_free(b);
}

static void list(struct bench *b, int i, bool removed)
{
	struct backend_change *c = g_new0(struct backend_change, 1);

	c->removed = removed;
	c->entry = backend_of(b, 1)->entry;
	g_strlcpy(c->entry.id, b->servers[i].id, sizeof(c->entry.id));
	c->entry.addr.sin_port = htons((uint16_t)(BENCH_PORT + i));
	mailbox_send(&b->traffic.in, TO_TRAFFIC_BACKEND, c);
	bench_run_ms(b, 5);
}

static void test_limit_lost_with_the_entry(void **state)
{
	struct bench *b = bench_new(2);
	struct limit_part before;

	tell_sharers(b, 0);
	acquaint(b);
	b->servers[0].limit = "1";
	call_times(b, 40);
	before = backend_of(b, 0)->state->limit->share.part;
	list(b, 0, true);
	assert_null(backend_of(b, 0));
	/* Others share it by the time it is back: this one holds less, or nothing. */
	tell_sharers(b, 300);
	list(b, 0, false);
	assert_true(backend_is_limited(backend_of(b, 0)));
	assert_true(backend_of(b, 0)->state->limit->share.part.rate_s <
		    before.rate_s);
	bench_free(b);
}

/* A second send doesn't go to a server in need. */
static void test_no_second_send(void **state)
{
	struct bench *b = bench_new(2);
	struct caller *c;

	tell_sharers(b, 0);
	acquaint(b);
	b->servers[0].limit = "100";
	b->servers[1].limit = "100";
	call_times(b, 10);
	b->servers[0].script = b->servers[1].script = SCRIPT_HANG;
	b->servers[0].received = b->servers[1].received = 0;
	c = bench_call(b, "GET", 1000);
	bench_run_ms(b, 500);
	assert_int_equal(b->servers[0].received + b->servers[1].received, 1);
	assert_int_equal(c->status, 0);
	bench_run_until(b, c);
	bench_free(b);
}

/* A grant serves one request, and only as an answer to a question. */
static void test_grant(void **state)
{
	struct bench *b = bench_new(1);
	struct limit_call *grant;
	struct service *s;
	struct caller *c;

	acquaint(b);
	b->servers[0].limit = "5";
	call_times(b, 1);
	b->servers[0].received = 0;
	s = backend_of(b, 0)->service;
	for (int asked = 0; asked < 2; asked++) {
		c = bench_call(b, "POST", 1000);
		bench_run_ms(b, 5);
		assert_true(c->open);
		grant = g_new0(struct limit_call, 1);
		*grant = (struct limit_call){true, OTHER, 0,
					     backend_of(b, 0)->start_hash,
					     s->want.serial - !asked};
		mailbox_send(&b->traffic.in, TO_TRAFFIC_LIMIT_CALL, grant);
		bench_run_until(b, c);
		assert_int_equal(c->status, asked ? 200 : 503);
	}
	assert_int_equal(b->servers[0].received, 1);
	assert_int_equal(b->traffic.counters.limits_granted, 1);
	bench_free(b);
}

static void ask_for_one(struct bench *b)
{
	struct limit_call *q = g_new0(struct limit_call, 1);

	*q = (struct limit_call){
		.from = OTHER, .what = g_str_hash("harta"), .serial = 9};
	mailbox_send(&b->traffic.in, TO_TRAFFIC_LIMIT_CALL, q);
	bench_run_ms(b, 5);
}

/* What is given up is gone here; who is short himself gives nothing. */
static void test_gives_up(void **state)
{
	struct bench *b = bench_new(1);
	const struct limit_share *share;
	double before;

	tell_sharers(b, 0);
	acquaint(b);
	b->servers[0].limit = "20";
	call_times(b, 1);
	share = &backend_of(b, 0)->state->limit->share;
	before = share->tokens;
	assert_true(before >= 2);
	ask_for_one(b);
	assert_int_equal(b->traffic.counters.limits_given, 1);
	assert_true(share->tokens < before - 0.9);
	/* There is more, but a request of its own callers has just missed some. */
	assert_true(share->tokens >= 1);
	backend_of(b, 0)->service->capacity_missed_ms = clock_ms();
	ask_for_one(b);
	assert_int_equal(b->traffic.counters.limits_given, 1);
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_in_need),
		cmocka_unit_test(test_sharers_unknown),
		cmocka_unit_test(test_ends),
		cmocka_unit_test(test_bad_value),
		cmocka_unit_test(test_all_in_need),
		cmocka_unit_test(test_told_by_a_peer),
		cmocka_unit_test(test_limit_lost_with_the_entry),
		cmocka_unit_test(test_no_second_send),
		cmocka_unit_test(test_grant),
		cmocka_unit_test(test_gives_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
