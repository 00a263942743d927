/* Tests of member/tunnel_peers: through which peer a tunnel is opened. */
#include "tests/unit.h"

#include <arpa/inet.h>

#include "member/tunnel_peers.h"

static const char *const service = "harta", *const other_service = "avize";

struct table {
	struct tunnel_peers peers;
	GArray *named;
	GRand *rand;
};

static void name_peer(struct table *t, const char *name, const char *dc)
{
	struct peer_endpoint e = {
		.peer_addr = {.sin_family = AF_INET, .sin_port = htons(7200)}};

	g_strlcpy(e.name, name, sizeof(e.name));
	g_strlcpy(e.dc, dc, sizeof(e.dc));
	g_array_append_val(t->named, e);
}

/* Instance a1 with peers a2 to a4 in its data centre, b1 and b2 elsewhere. */
static void start(struct table *t)
{
	tunnel_peers_init(&t->peers, "a1", "a", 15);
	t->named = g_array_new(FALSE, TRUE, sizeof(struct peer_endpoint));
	t->rand = g_rand_new_with_seed(1);
	name_peer(t, "a1", "a");
	name_peer(t, "a2", "a");
	name_peer(t, "a3", "a");
	name_peer(t, "a4", "a");
	name_peer(t, "b1", "b");
	name_peer(t, "b2", "b");
	tunnel_peers_update(&t->peers, t->named);
}

static struct tunnel_peer *pick(struct table *t, int64_t now_ms)
{
	return tunnel_peers_pick(&t->peers, service, TUNNEL_NEAR, t->rand,
				 now_ms);
}

static void peers_of_the_own_data_centre_come_first(void **state)
{
	struct table t;

	start(&t);
	tunnel_peer_worked(t.peers.list->pdata[0], service, 1);
	for (int i = 0; i < 50; i++) {
		struct tunnel_peer *p = pick(&t, 2);

		assert_string_equal(p->dc, "a");
		assert_string_not_equal(p->name, "a1");
		assert_int_equal(ntohs(p->addr.sin_port), 7215);
	}
}

static void a_data_centre_that_failed_is_left(void **state)
{
	struct table t;

	start(&t);
	for (guint i = 0; i < t.peers.list->len; i++)
		tunnel_peer_worked(t.peers.list->pdata[i], service, 1);
	tunnel_peer_failed(pick(&t, 2), service, 2);
	assert_string_equal(pick(&t, 3)->dc, "b");
	assert_string_equal(tunnel_peers_pick(&t.peers, other_service,
					      TUNNEL_NEAR, t.rand, 3)
				    ->dc,
			    "a");
	assert_string_equal(pick(&t, 5000)->dc, "a");
}

static void unproven_peers_are_asked_in_all_data_centres(void **state)
{
	struct table t;

	start(&t);
	for (int i = 0; i < 5; i++) {
		assert_string_equal(pick(&t, 0)->dc, "a");
		assert_string_equal(pick(&t, 0)->dc, "b");
	}
}

static void no_peer_is_left_when_all_failed(void **state)
{
	struct table t;

	start(&t);
	for (int i = 0; i < 5; i++)
		tunnel_peer_failed(pick(&t, 0), service, 0);
	assert_null(pick(&t, 1));
	tunnel_peer_worked(t.peers.list->pdata[4], service, 1);
	assert_ptr_equal(pick(&t, 1), t.peers.list->pdata[4]);
}

static void connections_are_spread_over_the_peers(void **state)
{
	struct table t;

	start(&t);
	tunnel_peer_worked(t.peers.list->pdata[0], service, 1);
	for (int i = 0; i < 60; i++)
		tunnel_peer_ref(pick(&t, 2));
	for (guint i = 0; i < t.peers.list->len; i++) {
		const struct tunnel_peer *p = t.peers.list->pdata[i];

		if (*p->dc == 'a')
			assert_in_range(p->refs, 15, 27);
	}
}

static void an_unlisted_peer_lives_as_long_as_its_connections(void **state)
{
	struct table t;
	struct tunnel_peer *p;

	start(&t);
	p = pick(&t, 0);
	tunnel_peer_ref(p);
	g_array_set_size(t.named, 0);
	tunnel_peers_update(&t.peers, t.named);
	assert_false(p->listed);
	assert_null(pick(&t, 0));
	tunnel_peer_unref(p);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(peers_of_the_own_data_centre_come_first),
		cmocka_unit_test(a_data_centre_that_failed_is_left),
		cmocka_unit_test(unproven_peers_are_asked_in_all_data_centres),
		cmocka_unit_test(no_peer_is_left_when_all_failed),
		cmocka_unit_test(connections_are_spread_over_the_peers),
		cmocka_unit_test(
			an_unlisted_peer_lives_as_long_as_its_connections),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
