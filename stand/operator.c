/*
 * The users' operator as a stand-in: writes one whole configuration version
 * with a route for each service of the deployment. Host SERVICE.example,
 * path prefix /work/.
 */
#include <errno.h>
#include <stdio.h>

#include "http/socket.h"
#include "platform/codec.h"
#include "stand/stand.h"

enum { TIMEOUT_MS = 1000, TARGET_MS = 200, MAX_ATTEMPTS = 2 };

static void pack_number(msgpack_packer *pk, const char *name, uint64_t v)
{
	codec_pack_cstr(pk, name);
	msgpack_pack_uint64(pk, v);
}

static void pack_route(msgpack_packer *pk, const struct service_opts *s)
{
	char host[BACKEND_NAME_MAX + 16];

	snprintf(host, sizeof(host), "%s.example", s->name);
	codec_pack_cstr(pk, s->name);
	msgpack_pack_map(pk, 8);
	codec_pack_cstr(pk, "host");
	codec_pack_cstr(pk, host);
	codec_pack_cstr(pk, "pathPrefix");
	codec_pack_cstr(pk, "/work/");
	codec_pack_cstr(pk, "kind");
	codec_pack_cstr(pk,
			s->protected_action ? "non_idempotent" : "idempotent");
	pack_number(pk, "timeoutMs", TIMEOUT_MS);
	pack_number(pk, "targetLatencyMs", TARGET_MS);
	pack_number(pk, "priority", s->protected_action ? 1 : 2);
	codec_pack_cstr(pk, "service");
	codec_pack_cstr(pk, s->name);
	pack_number(pk, "maxAttempts", MAX_ATTEMPTS);
}

static void write_config(const struct deploy *d, uint64_t version,
			 struct buf *out)
{
	msgpack_packer pk;
	char text[17];

	snprintf(text, sizeof(text), "%08llx", (unsigned long long)version);
	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_map(&pk, 3);
	codec_pack_cstr(&pk, "configVersion");
	codec_pack_cstr(&pk, text);
	codec_pack_cstr(&pk, "routes");
	msgpack_pack_map(&pk, d->services->len);
	for (guint i = 0; i < d->services->len; i++)
		pack_route(&pk, d->services->pdata[i]);
	codec_pack_cstr(&pk, "services");
	msgpack_pack_map(&pk, d->services->len);
	for (guint i = 0; i < d->services->len; i++) {
		const struct service_opts *s = d->services->pdata[i];

		codec_pack_cstr(&pk, s->name);
		msgpack_pack_map(&pk, 2);
		codec_pack_cstr(&pk, "healthPath");
		codec_pack_cstr(&pk, STAND_HEALTH_PATH);
		pack_number(&pk, "maxConnections", (uint64_t)s->connections);
	}
}

/* stand_operator_main() writes the version and returns 0 or -errno. */
int stand_operator_main(const struct deploy *d, uint64_t version)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_NOENV);
	struct http_client http = {0};
	struct sockaddr_in store;
	struct buf value = {0};
	int rc = socket_addr(d->entry.platform, &store);

	if (rc)
		return rc;
	write_config(d, version, &value);
	stand_put(&http, loop, &store, STORE_TOPIC_CONFIG,
		  lstr0(STORE_KEY_CONFIG), buf_lstr(&value));
	buf_free(&value);
	while (http.state == CLIENT_CONNECTING || http.state == CLIENT_BUSY)
		ev_run(loop, EVRUN_ONCE);
	rc = http.served ? 0 : -EIO;
	http_client_close(&http);
	return rc;
}
