/*
 * Tests of tunnels: requests of an instance without links to its servers, and
 * the tunnels that an instance serves.
 */
#include "tests/unit.h"

#include "tests/tunnel_peer.h"

#include "common/event.h"
#include "traffic/upstream.h"

enum { SERVERS = 4 };

/* Makes calls until their number has been served; returns how many were. */
static unsigned count_served(struct bench *b, const char *method, unsigned n)
{
	unsigned served = 0;

	for (unsigned i = 0; i < n; i++) {
		struct caller *c = bench_call(b, method, 500);

		bench_run_until(b, c);
		served += c->status == 200 && caller_got_own_body(c) &&
			  bench_runs(b, c) == 1;
	}
	return served;
}

static void first_attempts_are_served_without_links_to_servers(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct scripted_peer *p = bench_add_peer(b, "e2");

	assert_int_equal(count_served(b, "GET", 5), 5);
	bench_break_links(b);
	assert_int_equal(count_served(b, "POST", 10), 10);
	assert_int_equal(count_served(b, "GET", 10), 10);
	assert_in_range(p->asked, 1, 20);
	http_server_close(&p->http);
	bench_free(b);
}

static void direct_connections_are_used_again_after_the_heal(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct scripted_peer *p = bench_add_peer(b, "e2");
	unsigned asked;

	bench_break_links(b);
	assert_int_equal(count_served(b, "GET", 5), 5);
	for (int i = 0; i < SERVERS; i++)
		bench_set_link(b, i, true);
	bench_run_ms(b, 600);
	asked = p->asked;
	assert_int_equal(count_served(b, "GET", 10), 10);
	assert_int_equal(p->asked, asked);
	assert_false(reach_is_lost(
		&backend_set_service(&b->traffic.backends, LSTR("harta"))
			 ->reach));
	http_server_close(&p->http);
	bench_free(b);
}

static void gone_servers_are_refused_and_get_few_tunnels(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct scripted_peer *p = bench_add_peer(b, "e2");

	p->status = TUNNEL_SERVER_REFUSES;
	bench_break_links(b);
	for (int i = 0; i < 20; i++) {
		struct caller *c = bench_call(b, "POST", 500);

		bench_run_until(b, c);
		assert_int_equal(c->status, 503);
		assert_true(c->retry_after > 0);
		assert_int_equal(bench_runs(b, c), 0);
	}
	assert_in_range(p->asked, 1, 30);
	http_server_close(&p->http);
	bench_free(b);
}

static void a_peer_whose_tunnels_stay_mute_is_left(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct scripted_peer *mute = bench_add_peer(b, "e2");
	struct scripted_peer *p = bench_add_peer(b, "e3");

	mute->mute = true;
	bench_break_links(b);
	count_served(b, "GET", 3);
	assert_int_equal(count_served(b, "GET", 10), 10);
	http_server_close(&p->http);
	http_server_close(&mute->http);
	bench_free(b);
}

static void a_peer_that_leaves_gets_no_more_tunnels(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct scripted_peer *p = bench_add_peer(b, "e2");

	bench_break_links(b);
	assert_int_equal(count_served(b, "GET", 5), 5);
	g_array_set_size(b->traffic.peers.named, 0);
	tunnel_peers_update(&b->traffic.tunnel_peers, b->traffic.peers.named);
	bench_run_ms(b, 600);
	for (int i = 0; i < SERVERS; i++) {
		struct backend *k = g_hash_table_lookup(
			b->traffic.backends.by_id, b->servers[i].id);

		for (struct upstream *u = k->idle_conns; u; u = u->next)
			assert_null(u->peer);
	}
	http_server_close(&p->http);
	bench_free(b);
}

/* A client of the tunnels that the bench itself serves. */
struct tunnel_client {
	struct http_client http;
	unsigned status, tunnel_status;
	char body[64];
	bool done;
};

static enum http_match take(void *priv, const struct http_message *m)
{
	return HTTP_MATCHED;
}

static void on_response(void *priv, struct http_message *m)
{
	struct tunnel_client *c = priv;

	c->status = m->status;
	g_snprintf(c->body, sizeof(c->body), "%.*s", (int)m->body.len,
		   m->body.ptr);
	c->done = true;
	http_message_free(m);
}

static void on_failed(void *priv, int err, bool sent)
{
	struct tunnel_client *c = priv;

	c->tunnel_status = c->http.tunnel_status;
	c->done = true;
}

static bool is_framed(void *priv, const struct http_message *m)
{
	return tunnel_answer_is_framed(m);
}

static const struct http_client_ops client_ops = {.match = take,
						  .response = on_response,
						  .failed = on_failed,
						  .is_framed = is_framed};

/* Sends a request to a server through the bench's tunnels. */
static void ask_through(struct bench *b, struct tunnel_client *c,
			const char *backend)
{
	struct http_limits none = {0, 0};
	struct sockaddr_in sa;
	struct buf head = {0};

	memset(c, 0, sizeof(*c));
	socket_parse_addr(b->settings.tunnels, &sa);
	tunnel_request_write(&head,
			     &(struct tunnel_request){.backend = lstr0(backend),
						      .from = LSTR("e9"),
						      .id = 7,
						      .framed = true});
	assert_int_equal(http_client_open_tunnel(&c->http, b->loop, &sa,
						 buf_lstr(&head), 1, none,
						 &client_ops, c),
			 0);
	http_client_send(&c->http,
			 LSTR("GET /GET/x HTTP/1.1\r\nHost: x\r\nAttempt-Id: "
			      "a1\r\nTarget-Instance: i-0\r\n\r\n"),
			 1, false);
	buf_free(&head);
	for (int i = 0; i < 1000 && !c->done; i++)
		bench_run_ms(b, 1);
}

static void requests_pass_a_served_tunnel(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct tunnel_client c;

	ask_through(b, &c, "i-0");
	assert_int_equal(c.status, 200);
	assert_string_equal(c.body, "body of a1");
	assert_int_equal(b->traffic.tunnels, 1);
	http_client_close(&c.http);
	bench_run_ms(b, 50);
	assert_int_equal(b->traffic.tunnels, 0);
	bench_free(b);
}

static void tunnels_to_servers_that_take_nothing_are_refused(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct tunnel_client c;

	bench_drain(b, 0);
	ask_through(b, &c, "i-0");
	assert_int_equal(c.tunnel_status, TUNNEL_UNKNOWN_SERVER);
	ask_through(b, &c, "i-99");
	assert_int_equal(c.tunnel_status, TUNNEL_UNKNOWN_SERVER);
	b->traffic.stopping = true;
	ask_through(b, &c, "i-1");
	assert_int_equal(c.tunnel_status, TUNNEL_UNAVAILABLE);
	bench_free(b);
}

static void a_peer_without_links_says_so_and_tunnels_no_further(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct scripted_peer *p = bench_add_peer(b, "e2");
	struct tunnel_client c;

	bench_break_links(b);
	ask_through(b, &c, "i-0");
	assert_int_equal(c.tunnel_status, TUNNEL_SERVER_REFUSES);
	ask_through(b, &c, "i-1");
	ask_through(b, &c, "i-2");
	assert_int_equal(c.tunnel_status, TUNNEL_SERVICE_REFUSES);
	assert_int_equal(p->asked, 0);
	http_server_close(&p->http);
	bench_free(b);
}

static void the_server_hears_of_a_caller_that_leaves(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct scripted_peer *p = bench_add_peer(b, "e2");
	struct caller *c;
	unsigned running = 0;

	bench_break_links(b);
	assert_int_equal(count_served(b, "GET", 3), 3);
	for (int i = 0; i < SERVERS; i++)
		bench_script(b, i, SCRIPT_HANG);
	c = bench_call(b, "GET", 500);
	bench_run_ms(b, 60);
	caller_disconnect(c);
	bench_run_ms(b, 60);
	for (int i = 0; i < SERVERS; i++)
		running += b->servers[i].running;
	assert_int_equal(running, 0);
	http_server_close(&p->http);
	bench_free(b);
}

/* A peer that dies within a response without a length ends it early. */
static void half_a_response_of_a_killed_peer_is_not_complete(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct scripted_peer *p = bench_add_peer(b, "e2");
	struct caller *c;

	bench_break_links(b);
	assert_int_equal(count_served(b, "GET", 3), 3);
	for (int i = 0; i < SERVERS; i++) {
		bench_script(b, i, SCRIPT_UNFRAMED);
		b->servers[i].pause_ms = 100;
	}
	c = bench_call(b, "POST", 500);
	bench_run_ms(b, 60);
	assert_int_equal(bench_runs(b, c), 1);
	peer_kill(p);
	bench_run_until(b, c);
	assert_int_equal(c->status, 502);
	bench_free(b);
}

static void a_response_without_length_passes_a_tunnel_whole(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct scripted_peer *p = bench_add_peer(b, "e2");

	bench_break_links(b);
	for (int i = 0; i < SERVERS; i++)
		bench_script(b, i, SCRIPT_UNFRAMED);
	assert_int_equal(count_served(b, "GET", 5), 5);
	assert_int_equal(count_served(b, "POST", 5), 5);
	assert_in_range(p->asked, 10, 20);
	http_server_close(&p->http);
	bench_free(b);
}

/* Only a length shows the end of a response through an older version. */
static void responses_through_a_peer_without_frames_need_a_length(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct scripted_peer *p = bench_add_peer(b, "e2");
	struct caller *c;

	p->unframed = true;
	bench_break_links(b);
	assert_int_equal(count_served(b, "GET", 5), 5);
	assert_int_equal(count_served(b, "POST", 5), 5);
	for (int i = 0; i < SERVERS; i++)
		bench_script(b, i, SCRIPT_UNFRAMED);
	c = bench_call(b, "POST", 500);
	bench_run_until(b, c);
	assert_int_equal(c->status, 502);
	assert_int_equal(bench_runs(b, c), 1);
	http_server_close(&p->http);
	bench_free(b);
}

static void a_served_tunnel_marks_only_an_orderly_end(void **state)
{
	struct bench *b = bench_new(SERVERS);
	struct tunnel_client c;

	bench_script(b, 0, SCRIPT_UNFRAMED);
	b->servers[0].pause_ms = 20;
	ask_through(b, &c, "i-0");
	assert_int_equal(c.status, 200);
	assert_string_equal(c.body, "body of a1");
	http_client_close(&c.http);
	b->servers[0].breaks_off = true;
	ask_through(b, &c, "i-0");
	assert_true(c.done);
	assert_int_equal(c.status, 0);
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			first_attempts_are_served_without_links_to_servers),
		cmocka_unit_test(
			direct_connections_are_used_again_after_the_heal),
		cmocka_unit_test(gone_servers_are_refused_and_get_few_tunnels),
		cmocka_unit_test(a_peer_whose_tunnels_stay_mute_is_left),
		cmocka_unit_test(a_peer_that_leaves_gets_no_more_tunnels),
		cmocka_unit_test(requests_pass_a_served_tunnel),
		cmocka_unit_test(
			tunnels_to_servers_that_take_nothing_are_refused),
		cmocka_unit_test(
			a_peer_without_links_says_so_and_tunnels_no_further),
		cmocka_unit_test(the_server_hears_of_a_caller_that_leaves),
		cmocka_unit_test(
			half_a_response_of_a_killed_peer_is_not_complete),
		cmocka_unit_test(
			a_response_without_length_passes_a_tunnel_whole),
		cmocka_unit_test(
			responses_through_a_peer_without_frames_need_a_length),
		cmocka_unit_test(a_served_tunnel_marks_only_an_orderly_end),
	};

	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
