/*
 * A scripted peer for tests/bench.h: forwards tunnels to the bench's servers, or
 * refuses them. The bench's own links to its servers can be broken meanwhile.
 */
#ifndef MP_TESTS_TUNNEL_PEER_H
#define MP_TESTS_TUNNEL_PEER_H

#include "http/splice.h"
#include "member/tunnel_request.h"
#include "tests/bench.h"

enum { BROKEN_PORT = BENCH_PORT + 40 }; /* nobody listens there */

struct scripted_peer {
	struct bench *bench;
	struct http_server http;
	unsigned status; /* of its answers; 200: forward */
	bool mute;	 /* forwards nothing */
	bool unframed;	 /* of a version without frames */
	unsigned asked;
	GPtrArray *open; /* struct peer_tunnel * */
};

struct peer_tunnel {
	struct scripted_peer *peer;
	struct splice splice;
};

static inline void peer_tunnel_closed(void *priv, int err)
{
	struct peer_tunnel *n = priv;

	g_ptr_array_remove(n->peer->open, n);
	g_free(n);
}

/* Closes a peer's sockets as the kernel does for a process that is killed. */
static inline void peer_kill(struct scripted_peer *p)
{
	http_server_close(&p->http);
	while (p->open->len) {
		struct peer_tunnel *n = p->open->pdata[0];

		for (int i = 0; i < 2; i++) {
			ev_io_stop(p->bench->loop, &n->splice.ends[i].io);
			close(n->splice.ends[i].fd);
			buf_free(&n->splice.ends[i].out);
		}
		ev_timer_stop(p->bench->loop, &n->splice.linger);
		peer_tunnel_closed(n, 0);
	}
}

static inline void peer_request(void *priv, struct http_conn *c,
				struct http_message *m)
{
	struct scripted_peer *p = priv;
	struct tunnel_request r;
	struct sockaddr_in sa;
	struct buf input = {0}, answer = {0};
	struct peer_tunnel *n;
	char addr[32];
	int fd;

	p->asked++;
	if (tunnel_request_read(m, &r))
		abort();
	snprintf(addr, sizeof(addr), "127.0.0.1:%d",
		 BENCH_PORT + atoi(r.backend.ptr + 2));
	http_message_free(m);
	if (p->status != 200) {
		http_conn_reply(c, &(struct http_reply){.status = p->status,
							.close = true});
		return;
	}
	socket_parse_addr(addr, &sa);
	fd = http_conn_detach(c, &input);
	r.framed = r.framed && !p->unframed;
	tunnel_answer_write(&answer, &r);
	(void)!send(fd, answer.ptr, answer.len, MSG_NOSIGNAL);
	buf_free(&answer);
	if (p->mute)
		return;
	n = g_new0(struct peer_tunnel, 1);
	n->peer = p;
	n->splice.framed = r.framed;
	n->splice.closed = peer_tunnel_closed;
	n->splice.priv = n;
	g_ptr_array_add(p->open, n);
	splice_start(&n->splice, p->bench->loop, fd, socket_connect(&sa),
		     buf_lstr(&input));
	buf_free(&input);
}

static const struct http_server_ops peer_ops = {peer_request, NULL};

/* Starts a peer and makes it known to the bench's traffic thread. */
static inline struct scripted_peer *bench_add_peer(struct bench *b,
						   const char *name)
{
	struct scripted_peer *p = g_new0(struct scripted_peer, 1);
	struct peer_endpoint e = {.dc = "dc-1"};
	char *addr = bench_addr(10 + atoi(name + 1));

	g_strlcpy(e.name, name, sizeof(e.name));
	p->bench = b;
	p->status = 200;
	p->open = g_ptr_array_new();
	p->http.serves_connect = true;
	p->http.limits = (struct http_limits){4096, 4096};
	p->http.head_timeout_s = p->http.idle_timeout_s = 10;
	if (http_server_open(&p->http, b->loop, addr, &peer_ops, p))
		abort();
	socket_parse_addr(addr, &e.peer_addr);
	b->traffic.tunnel_peers.port_offset = 0;
	if (!b->traffic.peers.named)
		b->traffic.peers.named =
			g_array_new(FALSE, TRUE, sizeof(struct peer_endpoint));
	g_array_append_val(b->traffic.peers.named, e);
	tunnel_peers_update(&b->traffic.tunnel_peers, b->traffic.peers.named);
	g_free(addr);
	return p;
}

/* Sets whether the bench reaches server i itself. */
static inline void bench_set_link(struct bench *b, int i, bool up)
{
	struct backend *known = g_hash_table_lookup(b->traffic.backends.by_id,
						    b->servers[i].id);

	known->entry.addr.sin_port =
		htons((uint16_t)((up ? BENCH_PORT : BROKEN_PORT) + i));
}

/* Breaks the links to all servers, with the open connections. */
static inline void bench_break_links(struct bench *b)
{
	for (int i = 0; i < b->n; i++) {
		bench_set_link(b, i, false);
		for (struct http_conn *c = b->servers[i].http.conns, *next; c;
		     c = next) {
			next = c->next;
			if (!http_conn_user(c))
				http_conn_abort(c);
		}
	}
}

#endif
