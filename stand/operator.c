/*
 * Simulated operator: writes a configuration version with a route for each
 * service of the deployment (host SERVICE.example, path prefix /work/) and one
 * that only this version has (host newest.example, path prefix /vVERSION/). With
 * workspaces, given as NAME:RATE:BURST:KEY,KEY.., callers need their keys, and
 * a route for uploads is added (host uploads.example).
 */
#include <errno.h>
#include <stdio.h>

#include "http/socket.h"
#include "misc/codec.h"
#include "stand/stand.h"

enum {
	TIMEOUT_MS = 1000,
	TARGET_MS = 200,
	MAX_ATTEMPTS = 2,
	SLOW_START_S = 3,
};

/* Fields of a workspace on the command line. */
enum {
	WORKSPACE_NAME,
	WORKSPACE_RATE,
	WORKSPACE_BURST,
	WORKSPACE_KEYS,
	WORKSPACE_FIELDS
};

/* What a version contains beside the deployment's services. */
struct version_content {
	uint64_t version;
	char **workspaces; /* NULL-terminated; none: callers need no keys */
	guint nworkspaces;
};

/* Packs a field with a number. */
static void pack_number(msgpack_packer *pk, const char *name, uint64_t v)
{
	codec_pack_cstr(pk, name);
	msgpack_pack_uint64(pk, v);
}

/* Packs one route under its name. */
static void pack_route(msgpack_packer *pk, const char *name, const char *prefix,
		       const struct service_opts *s, const char *kind)
{
	char host[BACKEND_NAME_MAX + 16];

	snprintf(host, sizeof(host), "%s.example", name);
	codec_pack_cstr(pk, name);
	msgpack_pack_map(pk, 8);
	codec_pack_cstr(pk, "host");
	codec_pack_cstr(pk, host);
	codec_pack_cstr(pk, "pathPrefix");
	codec_pack_cstr(pk, prefix);
	codec_pack_cstr(pk, "kind");
	codec_pack_cstr(pk, kind);
	pack_number(pk, "timeoutMs", TIMEOUT_MS);
	pack_number(pk, "targetLatencyMs", TARGET_MS);
	pack_number(pk, "priority", s->protected_action ? 1 : 2);
	codec_pack_cstr(pk, "service");
	codec_pack_cstr(pk, s->name);
	pack_number(pk, "maxAttempts", MAX_ATTEMPTS);
}

/* Returns the kind of a service's routes. */
static const char *service_kind(const struct service_opts *s)
{
	return s->protected_action ? "non_idempotent" : "idempotent";
}

/* Packs all routes of a version. */
static void pack_routes(msgpack_packer *pk, const struct deploy *d,
			const struct version_content *v)
{
	const struct service_opts *first = d->services->pdata[0];
	char prefix[32];

	msgpack_pack_map(pk, d->services->len + 1 + (v->nworkspaces ? 1 : 0));
	for (guint i = 0; i < d->services->len; i++) {
		const struct service_opts *s = d->services->pdata[i];

		pack_route(pk, s->name, "/work/", s, service_kind(s));
	}
	snprintf(prefix, sizeof(prefix), "/v%llu/",
		 (unsigned long long)v->version);
	pack_route(pk, "newest", prefix, first, service_kind(first));
	if (v->nworkspaces)
		pack_route(pk, "uploads", "/work/", first, "upload");
}

/* Packs the services of the deployment. */
static void pack_services(msgpack_packer *pk, const struct deploy *d)
{
	msgpack_pack_map(pk, d->services->len);
	for (guint i = 0; i < d->services->len; i++) {
		const struct service_opts *s = d->services->pdata[i];

		codec_pack_cstr(pk, s->name);
		msgpack_pack_map(pk, s->cold_per_s ? 4 : 2);
		codec_pack_cstr(pk, "healthPath");
		codec_pack_cstr(pk, STAND_HEALTH_PATH);
		pack_number(pk, "maxConnections", (uint64_t)s->connections);
		if (!s->cold_per_s)
			continue;
		pack_number(pk, "warmupS", SLOW_START_S);
		pack_number(pk, "warmupPerS", (uint64_t)s->cold_per_s);
	}
}

/* Packs one workspace from its text, which has all fields. */
static void pack_workspace(msgpack_packer *pk, const char *text)
{
	char **field = g_strsplit(text, ":", WORKSPACE_FIELDS);
	char **keys = g_strsplit(field[WORKSPACE_KEYS], ",", -1);

	codec_pack_cstr(pk, field[WORKSPACE_NAME]);
	msgpack_pack_map(pk, 3);
	codec_pack_cstr(pk, "ratePerS");
	msgpack_pack_double(pk, g_ascii_strtod(field[WORKSPACE_RATE], NULL));
	codec_pack_cstr(pk, "burstSize");
	msgpack_pack_double(pk, g_ascii_strtod(field[WORKSPACE_BURST], NULL));
	codec_pack_cstr(pk, "apiKeys");
	msgpack_pack_array(pk, g_strv_length(keys));
	for (char **k = keys; *k; k++)
		codec_pack_cstr(pk, *k);
	g_strfreev(keys);
	g_strfreev(field);
}

/* Writes the record of a configuration version. */
static void write_config(const struct deploy *d,
			 const struct version_content *v, struct buf *out)
{
	msgpack_packer pk;
	char text[17];

	snprintf(text, sizeof(text), "%08llx", (unsigned long long)v->version);
	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_map(&pk, v->nworkspaces ? 4 : 3);
	codec_pack_cstr(&pk, "configVersion");
	codec_pack_cstr(&pk, text);
	codec_pack_cstr(&pk, "routes");
	pack_routes(&pk, d, v);
	codec_pack_cstr(&pk, "services");
	pack_services(&pk, d);
	if (!v->nworkspaces)
		return;
	codec_pack_cstr(&pk, "tenants");
	msgpack_pack_map(&pk, v->nworkspaces);
	for (guint i = 0; i < v->nworkspaces; i++)
		pack_workspace(&pk, v->workspaces[i]);
}

/* Waits for the response to a write. Returns 0 or -EIO. */
static int await_put(struct ev_loop *loop, struct http_client *http,
		     unsigned served)
{
	while (http->state == CLIENT_CONNECTING || http->state == CLIENT_BUSY)
		ev_run(loop, EVRUN_ONCE);
	return http->served > served ? 0 : -EIO;
}

/* Writes a record of the operator's topic. Returns 0 or a negative errno. */
static int put_record(const struct deploy *d, struct lstr key,
		      struct lstr value)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_NOENV);
	struct http_client http = {0};
	struct sockaddr_in store;
	int rc = socket_parse_addr(d->entry.platform, &store);

	if (rc)
		return rc;
	stand_put(&http, loop, &store, STORE_TOPIC_CONFIG, key, value);
	rc = await_put(loop, &http, 0);
	http_client_close(&http);
	return rc;
}

/* Returns whether the text of a workspace has all fields. */
static bool is_workspace(const char *text)
{
	char **field = g_strsplit(text, ":", WORKSPACE_FIELDS);
	bool complete = g_strv_length(field) == WORKSPACE_FIELDS;

	g_strfreev(field);
	return complete;
}

/*
 * stand_operator_main() writes the version, with the workspaces in the NULL
 * terminated list; NULL: none. Returns 0 or a negative errno.
 */
int stand_operator_main(const struct deploy *d, uint64_t version,
			char **workspaces)
{
	struct version_content v = {.version = version,
				    .workspaces = workspaces};
	struct buf value = {0};
	int rc;

	for (; workspaces && workspaces[v.nworkspaces]; v.nworkspaces++) {
		if (!is_workspace(workspaces[v.nworkspaces]))
			return -EINVAL;
	}
	write_config(d, &v, &value);
	rc = put_record(d, lstr0(STORE_KEY_CONFIG), buf_lstr(&value));
	buf_free(&value);
	return rc;
}

/*
 * stand_evacuate_main() evacuates a data centre, or takes that back. Returns 0
 * or a negative errno.
 */
int stand_evacuate_main(const struct deploy *d, const char *dc, bool evacuate)
{
	static const char empty_map[] = "\x80";
	char *key = g_strconcat(STORE_KEY_EVACUATION, dc, NULL);
	int rc = put_record(d, lstr0(key),
			    evacuate ? lstr0(empty_map) : LSTR(""));

	g_free(key);
	return rc;
}

/* Writes the entry of a nonexistent server; i selects the service in turn. */
static void write_fake_entry(const struct deploy *d, int i, struct buf *value)
{
	const struct service_opts *s =
		d->services->pdata[(guint)i % d->services->len];
	msgpack_packer pk;
	char addr[32];

	snprintf(addr, sizeof(addr), "127.0.0.1:%d", 1 + i % 1000);
	msgpack_packer_init(&pk, value, codec_buf_write);
	msgpack_pack_map(&pk, 3);
	codec_pack_cstr(&pk, "address");
	codec_pack_cstr(&pk, addr);
	codec_pack_cstr(&pk, "info");
	msgpack_pack_map(&pk, 3);
	codec_pack_cstr(&pk, "service");
	codec_pack_cstr(&pk, s->name);
	codec_pack_cstr(&pk, "zone");
	codec_pack_cstr(&pk, s->dcs[0]);
	pack_number(&pk, "slots", (uint64_t)s->slots);
	codec_pack_cstr(&pk, "status");
	msgpack_pack_map(&pk, 1);
	codec_pack_cstr(&pk, "state");
	codec_pack_cstr(&pk, "ready");
}

/*
 * stand_fill_main() writes entries of nonexistent servers `from` to `to` - 1,
 * to measure the cost of a long list. Returns 0 or a negative errno.
 */
int stand_fill_main(const struct deploy *d, int from, int to)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_NOENV);
	struct http_client http = {0};
	struct sockaddr_in store;
	int rc = socket_parse_addr(d->entry.platform, &store);

	for (int i = from; i < to && rc == 0; i++) {
		struct buf value = {0};
		unsigned served = http.served;
		char id[32];

		snprintf(id, sizeof(id), "fake-%d", i);
		write_fake_entry(d, i, &value);
		stand_put(&http, loop, &store, STORE_TOPIC_BACKENDS, lstr0(id),
			  buf_lstr(&value));
		buf_free(&value);
		rc = await_put(loop, &http, served);
	}
	http_client_close(&http);
	return rc;
}
