/* Tests of core/backend: adding, restarting and removing servers. */
#include "tests/unit.h"

#include "tests/servers.h"

#include "core/availability.h"
#include "core/backend.h"

struct removals {
	int gone, ended;
};

/* Counts removals. */
static void on_gone(void *priv, struct backend *b, bool ended)
{
	struct removals *r = priv;

	assert_true(b->gone);
	r->gone++;
	r->ended += ended;
}

/* Returns an entry of server i-1. */
static struct backend_entry entry(uint64_t server_start_ms, uint64_t sequence)
{
	struct backend_entry e = {.slots = 2,
				  .server_start_ms = server_start_ms,
				  .sequence = sequence};

	g_strlcpy(e.id, "i-1", sizeof(e.id));
	g_strlcpy(e.service, "harta", sizeof(e.service));
	g_strlcpy(e.dc, "dc-0", sizeof(e.dc));
	e.addr.sin_port = 80;
	return e;
}

/* Returns server i-1. */
static struct backend *find(struct backend_set *s)
{
	return g_hash_table_lookup(s->by_id, "i-1");
}

/* A restarted server has no state of its earlier start. */
static void test_restart(void **state)
{
	struct removals r = {0};
	struct backend_set s;
	struct backend_entry e = entry(1000, 5);
	struct backend *first;

	backend_set_init(&s, on_gone, &r);
	backend_set_put(&s, &e, 100);
	first = backend_ref(find(&s));
	first->in_flight = 2;
	first->peers_in_flight = 1;
	first->failure_score = 3;
	first->excluded = true;
	first->load.running = 2;
	first->warm_up_until_ms = 9000;
	first->entry.draining = true;
	e = entry(2000, 0);
	backend_set_put(&s, &e, 200);
	assert_int_equal(r.ended, 1);
	assert_true(first->gone);
	assert_ptr_not_equal(find(&s), first);
	assert_int_equal(find(&s)->in_flight, 0);
	assert_int_equal(find(&s)->peers_in_flight, 0);
	assert_int_equal(find(&s)->load.running, 0);
	assert_int_equal(find(&s)->warm_up_until_ms, 0);
	assert_true(find(&s)->failure_score == 0);
	assert_false(find(&s)->excluded);
	assert_false(find(&s)->entry.draining);
	assert_int_equal(find(&s)->service->backends->len, 1);
	/* A delayed entry of the earlier start is ignored. */
	e = entry(1000, 9);
	e.draining = true;
	backend_set_put(&s, &e, 210);
	assert_false(find(&s)->entry.draining);
	assert_int_equal(r.gone, 1);
	backend_unref(first);
	backend_set_remove(&s, "i-1");
	assert_int_equal(r.gone, 2);
	assert_int_equal(r.ended, 1);
}

/* An entry with a lower sequence number of the same start is ignored. */
static void test_entry_order(void **state)
{
	struct removals r = {0};
	struct backend_set s;
	struct backend_entry e = entry(1000, 5);

	backend_set_init(&s, on_gone, &r);
	e.draining = true;
	backend_set_put(&s, &e, 100);
	e = entry(1000, 4);
	backend_set_put(&s, &e, 110);
	assert_true(find(&s)->entry.draining);
	e = entry(1000, 6);
	backend_set_put(&s, &e, 120);
	assert_false(find(&s)->entry.draining);
	assert_int_equal(r.gone, 0);
	/*
	 * With another address it is another server; the first may still run.
	 */
	e.addr.sin_port = 81;
	backend_set_put(&s, &e, 130);
	assert_int_equal(r.gone, 1);
	assert_int_equal(r.ended, 0);
	backend_set_remove(&s, "i-1");
}

/* One request at a time until it is known whether the server has a limit. */
static void test_unknown_limit(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct backend *b = s->list[0];

	b->state->seen_unlimited = false;
	assert_true(backend_is_available(b, SEND_PRIMARY, 0));
	b->in_flight = 1;
	assert_false(backend_is_available(b, SEND_PRIMARY, 0));
	b->state->seen_unlimited = true;
	assert_true(backend_is_available(b, SEND_PRIMARY, 0));
	servers_free(s);
}

/* Sends under a limit need a share of it, or are an allowed probe. */
static void test_limit(void **state)
{
	struct servers *s = servers_new(1, 4);
	struct backend *b = s->list[0];
	struct limit_instance all[] = {{1, 1}};
	struct limit_instances participants = {all, 1};
	struct limit_quota part = limit_quota(&limit_rule_announced, 1,
					      b->start_hash, &participants);

	b->state->limit = g_new0(struct backend_limit, 1);
	b->state->limit->advertised =
		(struct server_limit){.limited = true, .per_s = 1};
	assert_true(backend_is_limited(b));
	assert_false(backend_is_available(b, SEND_PRIMARY, 0));
	b->state->limit->probe_allowed = true;
	assert_true(backend_is_available(b, SEND_PRIMARY, 0));
	b->state->limit->probe_allowed = false;
	limit_share_set_quota(&b->state->limit->share, &part, 0);
	assert_false(backend_is_available(b, SEND_PRIMARY, 900));
	assert_true(backend_is_available(b, SEND_PRIMARY, 1000));
	b->state->limit->advertised.limited = false;
	assert_true(backend_is_available(b, SEND_PRIMARY, 0));
	servers_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_restart),
		cmocka_unit_test(test_entry_order),
		cmocka_unit_test(test_unknown_limit),
		cmocka_unit_test(test_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
