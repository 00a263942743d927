#include "misc/clock.h"
#include "misc/codec.h"
#include "stand/server.h"

enum { REGISTER_INTERVAL_MS = 500 };

/* server_cold_ms() returns for how much longer the server is cold. */
int64_t server_cold_ms(const struct server *s)
{
	int64_t left_ms = s->cold_until_ms - clock_ms();

	return left_ms > 0 ? left_ms : 0;
}

/* Writes the entry of this server in the list of backend servers. */
static void write_registration(struct server *s, struct buf *value)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, value, codec_buf_write);
	msgpack_pack_map(&pk, 3);
	codec_pack_cstr(&pk, "address");
	codec_pack_cstr(&pk, s->advertised_addr);
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
	codec_pack_cstr(&pk, s->drain_start_ms ? "draining" : "ready");
	codec_pack_cstr(&pk, "sequenceNumber");
	msgpack_pack_uint32(&pk, s->registrations++);
	codec_pack_cstr(&pk, "warmupLeftMs");
	msgpack_pack_uint32(&pk, (uint32_t)server_cold_ms(s));
}

/* server_register() writes the entry, unless a fault lets its lease expire. */
void server_register(struct server *s)
{
	struct buf value = {0};

	if (s->faults.unlisted)
		return;
	write_registration(s, &value);
	stand_put(&s->store, s->loop, &s->store_addr, STORE_TOPIC_BACKENDS,
		  lstr0(s->id), buf_lstr(&value));
	buf_free(&value);
}

/* Renews the entry. */
static void on_register_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	server_register(t->data);
}

/* server_register_start() starts to write the entry periodically. */
void server_register_start(struct server *s)
{
	ev_timer_init(&s->register_timer, on_register_timer, 0,
		      REGISTER_INTERVAL_MS / 1000.0);
	s->register_timer.data = s;
	ev_timer_start(s->loop, &s->register_timer);
}
