#include "misc/codec.h"
#include "stand/server.h"

enum { BEAT_MS = 500 };

/* The record by which the system finds this server. */
static void write_record(struct server *s, struct buf *value)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, value, codec_buf_write);
	msgpack_pack_map(&pk, 3);
	codec_pack_cstr(&pk, "address");
	codec_pack_cstr(&pk, s->told);
	codec_pack_cstr(&pk, "info");
	msgpack_pack_map(&pk, 4);
	codec_pack_cstr(&pk, "service");
	codec_pack_cstr(&pk, s->service->name);
	codec_pack_cstr(&pk, "configVersion");
	codec_pack_cstr(&pk, "v1");
	codec_pack_cstr(&pk, "zone");
	codec_pack_cstr(&pk, s->dc);
	codec_pack_cstr(&pk, "slots");
	msgpack_pack_uint32(&pk, s->work.slots);
	codec_pack_cstr(&pk, "status");
	msgpack_pack_map(&pk, 3);
	codec_pack_cstr(&pk, "state");
	codec_pack_cstr(&pk, s->leaving_ms ? "draining" : "ready");
	codec_pack_cstr(&pk, "sequenceNumber");
	msgpack_pack_uint32(&pk, s->beats++);
	codec_pack_cstr(&pk, "warmupLeftMs");
	msgpack_pack_uint32(&pk, 0);
}

/* server_list_write() writes the entry now, unless it is to lapse. */
void server_list_write(struct server *s)
{
	struct buf value = {0};

	if (s->faults.unlisted)
		return;
	write_record(s, &value);
	stand_put(&s->store, s->loop, &s->store_addr, STORE_TOPIC_BACKENDS,
		  lstr0(s->id), buf_lstr(&value));
	buf_free(&value);
}

static void on_beat(struct ev_loop *loop, ev_timer *t, int revents)
{
	server_list_write(t->data);
}

/* server_list_start() writes it now and from time to time. */
void server_list_start(struct server *s)
{
	ev_timer_init(&s->beat, on_beat, 0, BEAT_MS / 1000.0);
	s->beat.data = s;
	ev_timer_start(s->loop, &s->beat);
}
