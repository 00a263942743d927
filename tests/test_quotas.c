/*
 * Tests of traffic/quotas, traffic/quota_holder and the messages on quotas: the
 * traffic thread with callers, a server, and holders that the test plays.
 */
#include "tests/unit.h"

#include "core/quota_message.h"
#include "member/gossip.h"
#include "tests/bench.h"

enum {
	SELF_ID = 76,
	OTHERS = 20,
	STAMP = 41,
	WINDOW_MS = 50, /* of the quota rule */
};

static struct quota_message sent[64]; /* to peers */
static unsigned nsent;

static enum quota_op reply; /* of holders to asks; 0: they don't answer */

/* Answers an ask as its recipient. */
static void answer(struct bench *b, const struct quota_message *ask,
		   enum quota_op op)
{
	struct quota_message *m = g_new0(struct quota_message, 1);

	*m = (struct quota_message){
		.from = ask->to,
		.op = op,
		.workspace = ask->workspace,
		.serial = ask->serial,
		.stamp = STAMP,
		.wait_ms = 1500,
		.turn_ms = 1600,
	};
	mailbox_send(&b->traffic.inbox, TO_TRAFFIC_QUOTA_ANSWER, m);
}

/* Takes the place of the control thread. */
static void on_control(void *priv, struct mailbox_msg *m)
{
	struct quota_message *q = m->data;

	if (m->kind == FROM_TRAFFIC_QUOTA_ASK ||
	    m->kind == FROM_TRAFFIC_QUOTA_ANSWER) {
		assert_true(nsent < G_N_ELEMENTS(sent));
		sent[nsent++] = *q;
	}
	if (m->kind == FROM_TRAFFIC_QUOTA_ASK && q->op != QUOTA_GIVE_BACK &&
	    reply)
		answer(priv, q, reply);
	g_free(m->data);
}

static void set_instances(struct bench *b, unsigned others)
{
	struct peer_view *v = g_new0(struct peer_view, 1);

	v->instances = others + 1;
	v->participants =
		g_array_new(FALSE, FALSE, sizeof(struct limit_instance));
	for (unsigned i = 0; i <= others; i++) {
		struct limit_instance s = {SELF_ID + i, 1};

		g_array_append_val(v->participants, s);
	}
	mailbox_send(&b->traffic.inbox, TO_TRAFFIC_PEERS, v);
	bench_run_ms(b, 5);
}

/* Applies a configuration with one workspace. */
static void configure(struct bench *b, const char *name, double rate_s,
		      double burst)
{
	struct config *c = bench_config();
	struct workspace *w = arena_alloc(&c->arena, sizeof(*w));

	*w = (struct workspace){.name = lstr0(name),
				.id = workspace_id(lstr0(name)),
				.rate_s = rate_s,
				.burst = burst};
	for (size_t i = 0; i < c->nroutes; i++) {
		c->routes[i].target_ms = 2000;
		c->routes[i].timeout_ms = 2500;
	}
	workspaces_init(&c->workspaces, w, 1);
	workspaces_add_key(&c->workspaces, w, LSTR("k1"));
	mailbox_send(&b->traffic.inbox, TO_TRAFFIC_CONFIG, c);
	bench_run_ms(b, 5);
}

/* Returns the name of a workspace whose quota this instance holds, or not. */
static const char *workspace_name(unsigned others, bool held)
{
	static char name[16];
	struct limit_instance list[OTHERS + 1];
	struct limit_instances all = {list, others + 1};

	for (unsigned i = 0; i <= others; i++)
		list[i] = (struct limit_instance){SELF_ID + i, 1};
	for (unsigned i = 0;; i++) {
		struct quota_holders h = {.n = 0};

		g_snprintf(name, sizeof(name), "w%u", i);
		quota_holders_set(&h, workspace_id(lstr0(name)), 8, &all);
		if (held == (quota_holders_find(&h, SELF_ID) != NULL))
			return name;
	}
}

/*
 * Creates a bench whose configuration gets a workspace after a while, so that
 * its bucket here, if any, starts full.
 */
static struct bench *quota_bench(unsigned others, bool held, double rate_s,
				 double burst)
{
	struct bench *b = bench_new(1);

	nsent = 0;
	reply = 0;
	b->call_headers = "Api-Key: k1\r\n";
	mailbox_init(&b->control, b->loop, on_control, b);
	b->traffic.bounds.quota_window_s = WINDOW_MS / 1000.0;
	b->traffic.bounds.quota_slack = 20;
	set_instances(b, others);
	/* All instances are known. */
	b->traffic.quotas.open_ms = clock_ms();
	configure(b, "another", 0, 0);
	bench_run_ms(b, 2 * WINDOW_MS);
	configure(b, workspace_name(others, held), rate_s, burst);
	return b;
}

static void end(struct bench *b)
{
	ev_async_stop(b->loop, &b->control.wake);
	bench_free(b);
}

/* Sends this instance a message of a peer. */
static void from_peer(struct bench *b, enum quota_op op, const char *workspace,
		      uint32_t stamp)
{
	struct quota_message *m = g_new0(struct quota_message, 1);

	*m = (struct quota_message){.from = SELF_ID + 1,
				    .op = op,
				    .workspace = workspace_id(lstr0(workspace)),
				    .serial = 9,
				    .stamp = stamp};
	mailbox_send(&b->traffic.inbox, TO_TRAFFIC_QUOTA_ASK, m);
	bench_run_ms(b, 5);
}

/* A lone instance grants the burst; then callers are told when to return. */
static void test_own_part(void **state)
{
	struct bench *b = quota_bench(0, true, 0.5, 3);
	unsigned served = 0;
	struct caller *c = NULL;

	for (int i = 0; i < 6; i++) {
		c = bench_call(b, "POST", 1000);
		bench_run_until(b, c);
		served += c->status == 200;
	}
	assert_in_range(served, 3, 4);
	assert_int_equal(c->status, 429);
	assert_true(c->retry_after > 0.5 && c->retry_after < 2.1);
	assert_int_equal(b->servers[0].received, served);
	assert_int_equal(nsent, 0);
	end(b);
}

/* Without a quota nothing is asked and all is served. */
static void test_no_quota(void **state)
{
	struct bench *b = quota_bench(OTHERS, false, 0, 0);
	struct caller *c = bench_call(b, "POST", 1000);

	bench_run_until(b, c);
	assert_int_equal(c->status, 200);
	assert_int_equal(nsent, 0);
	end(b);
}

/* A request waits for the grant of a holder, and keeps it after it ran. */
static void test_granted_by_holder(void **state)
{
	struct bench *b = quota_bench(OTHERS, false, 10, 10);
	struct caller *c = bench_call(b, "POST", 1000);

	bench_run_ms(b, 5);
	assert_true(nsent > 0);
	assert_int_equal(sent[0].op, QUOTA_ASK);
	assert_int_equal(b->servers[0].received, 0);
	answer(b, &sent[nsent - 1], QUOTA_GRANT);
	bench_run_until(b, c);
	assert_int_equal(c->status, 200);
	bench_run_ms(b, 5);
	assert_int_equal(b->traffic.counters.quota_given_back, 0);
	end(b);
}

/* Holders that have none are asked one after the other, then no more. */
static void test_all_holders_empty(void **state)
{
	struct bench *b = quota_bench(OTHERS, false, 10, 10);
	struct caller *c = bench_call(b, "POST", 1000);

	reply = QUOTA_EMPTY;
	bench_run_until(b, c);
	assert_int_equal(c->status, 429);
	assert_true(c->retry_after >= 1.6 && c->retry_after < 1.7);
	assert_int_equal(nsent, QUOTA_ASKS_MAX);
	c = bench_call(b, "POST", 1000);
	bench_run_until(b, c);
	assert_int_equal(c->status, 429);
	assert_int_equal(nsent, 8);
	c = bench_call(b, "POST", 1000);
	bench_run_until(b, c);
	assert_int_equal(c->status, 429);
	assert_int_equal(nsent, 8);
	for (unsigned i = 0; i < nsent; i++) {
		for (unsigned k = 0; k < i; k++)
			assert_int_not_equal(sent[i].to, sent[k].to);
	}
	assert_int_equal(b->servers[0].received, 0);
	assert_int_equal(b->traffic.counters.quota_refused, 3);
	end(b);
}

/* When no holder answers, the caller soon tries another instance. */
static void test_no_holder_answers(void **state)
{
	struct bench *b = quota_bench(OTHERS, false, 10, 10);
	int64_t start_ms = clock_ms();
	struct caller *c = bench_call(b, "POST", 1000);

	bench_run_until(b, c);
	assert_int_equal(c->status, 503);
	assert_true(clock_ms() - start_ms < 400);
	assert_true(c->retry_after > 0 && c->retry_after <= 0.4);
	assert_int_equal(b->servers[0].received, 0);
	assert_int_equal(b->traffic.counters.quota_unreachable, 1);
	assert_true(nsent > 1);
	end(b);
}

/* Before the instances are known nothing is granted. */
static void test_instances_unknown(void **state)
{
	struct bench *b = bench_new(1);
	struct caller *c;

	nsent = 0;
	reply = 0;
	b->call_headers = "Api-Key: k1\r\n";
	mailbox_init(&b->control, b->loop, on_control, b);
	configure(b, "w1", 10, 10);
	c = bench_call(b, "POST", 1000);
	bench_run_until(b, c);
	assert_int_equal(c->status, 503);
	assert_int_equal(b->servers[0].received, 0);
	end(b);
}

/* A quota that is taken away while a request asks for it. */
static void test_quota_ends_while_asking(void **state)
{
	struct bench *b = quota_bench(OTHERS, false, 10, 10);
	struct caller *c = bench_call(b, "POST", 1000);

	bench_run_ms(b, 3);
	assert_int_equal(b->servers[0].received, 0);
	configure(b, workspace_name(OTHERS, false), 0, 0);
	bench_run_until(b, c);
	assert_int_equal(c->status, 200);
	end(b);
}

/* A grant that comes after its caller left goes back. */
static void test_late_grant_goes_back(void **state)
{
	struct bench *b = quota_bench(OTHERS, false, 10, 10);
	struct caller *c = bench_call(b, "POST", 1000);
	unsigned asks;

	bench_run_ms(b, 5);
	caller_disconnect(c);
	bench_run_ms(b, 10);
	assert_int_equal(b->traffic.requests.length, 0);
	asks = nsent;
	answer(b, &sent[0], QUOTA_GRANT);
	bench_run_ms(b, 10);
	assert_int_equal(nsent, asks + 1);
	assert_int_equal(sent[asks].op, QUOTA_GIVE_BACK);
	assert_int_equal(sent[asks].to, sent[0].to);
	assert_int_equal(sent[asks].stamp, STAMP);
	end(b);
}

/* What never ran is given back, once. */
static void test_not_executed_goes_back(void **state)
{
	struct bench *b = quota_bench(OTHERS, false, 10, 10);
	struct caller *c;

	reply = QUOTA_GRANT;
	bench_script(b, 0, SCRIPT_REFUSE);
	c = bench_call(b, "POST", 1000);
	bench_run_until(b, c);
	bench_run_ms(b, 5);
	assert_int_equal(c->status, 503);
	assert_int_equal(sent[nsent - 1].op, QUOTA_GIVE_BACK);
	assert_int_equal(b->traffic.counters.quota_given_back, 1);
	end(b);
}

/* Calls a busy server, which is free only when the grant is too old. */
static struct caller *call_with_old_grant(struct bench *b)
{
	struct caller *c;

	reply = QUOTA_GRANT;
	b->servers[0].busy_slots = 2;
	c = bench_call(b, "POST", 3000);
	bench_run_ms(b, QUOTA_GRANT_MS + 100);
	assert_true(c->open);
	assert_int_equal(b->traffic.counters.quota_renewals, 0);
	b->servers[0].busy_slots = 0;
	return c;
}

/* A request that waited long after its grant needs a new one. */
static void test_old_grant_is_renewed(void **state)
{
	struct bench *b = quota_bench(OTHERS, false, 10, 10);
	struct caller *c = call_with_old_grant(b);

	bench_run_until(b, c);
	assert_int_equal(c->status, 200);
	assert_int_equal(b->traffic.counters.quota_renewals, 1);
	assert_int_equal(b->traffic.counters.quota_given_back, 1);
	end(b);
}

/* A new grant that is refused ends the request. */
static void test_renewal_refused(void **state)
{
	struct bench *b = quota_bench(OTHERS, false, 10, 10);
	struct caller *c = call_with_old_grant(b);

	reply = QUOTA_EMPTY;
	bench_run_until(b, c);
	assert_int_equal(c->status, 429);
	assert_int_equal(b->servers[0].received, 0);
	assert_int_equal(b->traffic.requests.length, 0);
	end(b);
}

/* This instance as a holder: grants, refuses, takes back. */
static void test_answers_as_holder(void **state)
{
	/* Of 8 holders each has a depth of one request, and may owe one. */
	struct bench *b = quota_bench(OTHERS, true, 1, 8);
	const char *name = workspace_name(OTHERS, true);

	from_peer(b, QUOTA_ASK, name, 0);
	assert_int_equal(sent[0].op, QUOTA_GRANT);
	assert_int_equal(sent[0].to, SELF_ID + 1);
	assert_int_equal(sent[0].serial, 9);
	from_peer(b, QUOTA_ASK, name, 0);
	from_peer(b, QUOTA_ASK, name, 0);
	assert_int_equal(sent[nsent - 1].op, QUOTA_EMPTY);
	assert_true(sent[nsent - 1].wait_ms > 0);
	from_peer(b, QUOTA_GIVE_BACK, name, sent[0].stamp);
	from_peer(b, QUOTA_GIVE_BACK, name, sent[0].stamp);
	from_peer(b, QUOTA_ASK, name, 0);
	assert_int_equal(sent[nsent - 1].op, QUOTA_GRANT);
	from_peer(b, QUOTA_ASK, "unknown", 0);
	assert_int_equal(sent[nsent - 1].op, QUOTA_NOT_HELD);
	end(b);
}

/* A workspace that vanishes and comes back finds what it has used. */
static void test_workspace_comes_back(void **state)
{
	struct bench *b = quota_bench(0, true, 0.5, 3);
	struct caller *c;

	for (int i = 0; i < 5; i++) {
		c = bench_call(b, "POST", 1000);
		bench_run_until(b, c);
	}
	assert_int_equal(c->status, 429);
	configure(b, "another", 0, 0);
	configure(b, workspace_name(0, true), 0.5, 3);
	c = bench_call(b, "POST", 1000);
	bench_run_until(b, c);
	assert_int_equal(c->status, 429);
	end(b);
}

/* Messages are read as they were written; others are invalid. */
static void test_messages(void **state)
{
	static const enum quota_op ops[] = {QUOTA_ASK,	     QUOTA_ASK_LATE,
					    QUOTA_GIVE_BACK, QUOTA_GRANT,
					    QUOTA_EMPTY,     QUOTA_NOT_HELD};

	for (unsigned i = 0; i < G_N_ELEMENTS(ops); i++) {
		struct quota_message m = {.from = UINT32_MAX,
					  .op = ops[i],
					  .workspace = 3,
					  .serial = 4,
					  .stamp = 5,
					  .wait_ms = 6,
					  .turn_ms = 7};
		struct gossip_message out;
		struct buf b = {0};

		gossip_write_quota(&b, &m);
		assert_int_equal(gossip_read(buf_lstr(&b), &out), 0);
		assert_int_equal(out.kind, i < 3 ? GOSSIP_QUOTA_ASK
						 : GOSSIP_QUOTA_ANSWER);
		assert_memory_equal(&out.quota, &m, sizeof(m));
		gossip_message_clear(&out);
		assert_int_not_equal(
			gossip_read((struct lstr){b.ptr, b.len - 1}, &out), 0);
		gossip_message_clear(&out);
		buf_free(&b);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_own_part),
		cmocka_unit_test(test_no_quota),
		cmocka_unit_test(test_granted_by_holder),
		cmocka_unit_test(test_all_holders_empty),
		cmocka_unit_test(test_no_holder_answers),
		cmocka_unit_test(test_instances_unknown),
		cmocka_unit_test(test_quota_ends_while_asking),
		cmocka_unit_test(test_late_grant_goes_back),
		cmocka_unit_test(test_not_executed_goes_back),
		cmocka_unit_test(test_old_grant_is_renewed),
		cmocka_unit_test(test_renewal_refused),
		cmocka_unit_test(test_answers_as_holder),
		cmocka_unit_test(test_workspace_comes_back),
		cmocka_unit_test(test_messages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
