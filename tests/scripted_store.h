/* A store on loopback that sends the answers queued by a test, in order. */
#ifndef MP_TESTS_SCRIPTED_STORE_H
#define MP_TESTS_SCRIPTED_STORE_H

#include <ev.h>
#include <glib.h>

#include "http/server.h"
#include "http/socket.h"
#include "misc/codec.h"
#include "platform/store.h"

struct scripted_answer {
	unsigned status;
	const char *era; /* value of the header; NULL: no header */
	struct buf body;
};

struct scripted_store {
	struct ev_loop *loop;
	struct http_server server;
	struct store_endpoint endpoint;
	GQueue answers; /* struct scripted_answer *; if empty, requests wait */
	struct http_conn
		*held;	  /* connection whose request waits for an answer */
	char target[256]; /* of the last request */
	struct buf body;  /* of the last request that had one */
	unsigned requests;
};

static inline void scripted_reply(struct scripted_store *s)
{
	struct scripted_answer *a = g_queue_pop_head(&s->answers);
	struct http_conn *c = s->held;
	struct buf headers = {0};

	if (a->era)
		buf_printf(&headers, "Store-Era: %s\r\n", a->era);
	s->held = NULL;
	http_conn_reply(c, &(struct http_reply){.status = a->status,
						.headers = buf_lstr(&headers),
						.body = buf_lstr(&a->body)});
	buf_free(&headers);
	buf_free(&a->body);
	g_free(a);
}

static inline void scripted_request(void *priv, struct http_conn *c,
				    struct http_message *m)
{
	struct scripted_store *s = priv;

	g_snprintf(s->target, sizeof(s->target), "%.*s", (int)m->target.len,
		   m->target.ptr);
	if (m->body.len) {
		s->body.len = 0;
		buf_add_lstr(&s->body, buf_lstr(&m->body));
	}
	http_message_free(m);
	s->requests++;
	s->held = c;
	if (!g_queue_is_empty(&s->answers))
		scripted_reply(s);
}

static inline void scripted_closed(void *priv, struct http_conn *c)
{
	((struct scripted_store *)priv)->held = NULL;
}

/* Queues an answer; takes ownership of the body. */
static inline void scripted_answer(struct scripted_store *s, unsigned status,
				   const char *era, struct buf body)
{
	struct scripted_answer *a = g_new0(struct scripted_answer, 1);

	*a = (struct scripted_answer){status, era, body};
	g_queue_push_tail(&s->answers, a);
	if (s->held)
		scripted_reply(s);
}

static inline struct scripted_store *scripted_store_new(const char *addr)
{
	static const struct http_server_ops ops = {scripted_request,
						   scripted_closed};
	struct scripted_store *s = g_new0(struct scripted_store, 1);
	struct sockaddr_in sa;

	s->loop = ev_loop_new(EVFLAG_NOENV);
	s->server.limits = (struct http_limits){4096, 1 << 20};
	s->server.head_timeout_s = 5;
	s->server.idle_timeout_s = 5;
	assert_int_equal(http_server_open(&s->server, s->loop, addr, &ops, s),
			 0);
	socket_parse_addr(addr, &sa);
	store_endpoint_init(&s->endpoint, &sa, NULL, NULL);
	g_queue_init(&s->answers);
	return s;
}

static inline void scripted_store_free(struct scripted_store *s)
{
	http_server_close(&s->server);
	buf_free(&s->body);
	ev_loop_destroy(s->loop);
	g_free(s);
}

/*
 * Encodes a page of a listing without values; each letter of `keys` is a key.
 */
static inline struct buf scripted_page(const char *keys, uint64_t end,
				       bool more)
{
	struct buf out = {0};
	msgpack_packer pk;

	msgpack_packer_init(&pk, &out, codec_buf_write);
	msgpack_pack_map(&pk, 3);
	codec_pack_cstr(&pk, "items");
	msgpack_pack_array(&pk, strlen(keys));
	for (const char *k = keys; *k; k++) {
		char key[] = {*k, '\0'};

		msgpack_pack_map(&pk, 3);
		codec_pack_cstr(&pk, "key");
		codec_pack_cstr(&pk, key);
		codec_pack_cstr(&pk, "value");
		codec_pack_cstr(&pk, "");
		codec_pack_cstr(&pk, "offset");
		msgpack_pack_uint64(&pk, (uint64_t)(k - keys));
	}
	codec_pack_cstr(&pk, "more");
	if (more)
		msgpack_pack_true(&pk);
	else
		msgpack_pack_false(&pk);
	codec_pack_cstr(&pk, "endOffset");
	msgpack_pack_uint64(&pk, end);
	return out;
}

/* Encodes the answer of a read that returns no records. */
static inline struct buf scripted_no_records(void)
{
	static const char offsets[16];
	struct buf out = {0};

	buf_add(&out, offsets, sizeof(offsets));
	return out;
}

#endif
