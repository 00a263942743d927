/* Tests of platform/records and platform/directory. */
#include "tests/unit.h"

#include <errno.h>

#include "misc/codec.h"
#include "platform/directory.h"
#include "platform/records.h"
#include "tests/pack.h"

/* Fields of a configuration that tests vary. */
struct variant {
	const char *version, *kind, *service;
	uint64_t timeout, attempts;
	bool no_timeout, same_path, split;
};

static const struct variant valid_config = {
	.version = "0000000c",
	.kind = "idempotent",
	.service = "harta",
	.timeout = 1200,
	.attempts = 2,
};

static void pack_split(msgpack_packer *pk)
{
	codec_pack_cstr(pk, "trafficSplit");
	msgpack_pack_array(pk, 2);
	msgpack_pack_map(pk, 2);
	pack_pair(pk, "service", "harta");
	pack_number(pk, "weight", 90);
	msgpack_pack_map(pk, 2);
	pack_pair(pk, "service", "avize");
	pack_number(pk, "weight", 10);
}

static void pack_route(msgpack_packer *pk, const char *name, const char *prefix,
		       const struct variant *v)
{
	codec_pack_cstr(pk, name);
	msgpack_pack_map(pk, 7 - v->no_timeout);
	pack_pair(pk, "host", "one.example");
	pack_pair(pk, "pathPrefix", prefix);
	pack_pair(pk, "kind", v->kind);
	if (!v->no_timeout)
		pack_number(pk, "timeoutMs", v->timeout);
	pack_number(pk, "targetLatencyMs", 200);
	pack_number(pk, "maxAttempts", v->attempts);
	if (v->split)
		pack_split(pk);
	else
		pack_pair(pk, "service", v->service);
}

static void pack_version(struct buf *out, const struct variant *v)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_map(&pk, 4);
	pack_pair(&pk, "configVersion", v->version);
	codec_pack_cstr(&pk, "routes");
	msgpack_pack_map(&pk, 2);
	pack_route(&pk, "r-1", "/a/", v);
	pack_route(&pk, "r-2", v->same_path ? "/a/" : "/b/", &valid_config);
	codec_pack_cstr(&pk, "services");
	msgpack_pack_map(&pk, 2);
	codec_pack_cstr(&pk, "harta");
	msgpack_pack_map(&pk, 4);
	pack_pair(&pk, "healthPath", "/health");
	pack_number(&pk, "maxConnections", 220);
	pack_number(&pk, "warmupS", 3);
	codec_pack_cstr(&pk, "warmupPerS");
	msgpack_pack_double(&pk, 6.6);
	codec_pack_cstr(&pk, "avize");
	msgpack_pack_map(&pk, 0);
	codec_pack_cstr(&pk, "limits");
	msgpack_pack_map(&pk, 1);
	pack_number(&pk, "idleTimeoutMs", 15000);
}

static struct config *decode(const struct variant *v, guint *findings)
{
	struct findings f;
	struct buf b = {0};
	struct config *c;

	findings_init(&f);
	pack_version(&b, v);
	c = records_decode_config(buf_lstr(&b), &f);
	*findings = f.list->len;
	findings_clear(&f);
	buf_free(&b);
	return c;
}

static void test_config(void **state)
{
	guint n;
	struct config *c = decode(&valid_config, &n);
	const struct route *r;

	assert_int_equal(n, 0);
	assert_int_equal(c->version, 12);
	r = config_match(c, LSTR("one.example"), LSTR("/a/x"));
	assert_true(r->idempotent);
	assert_int_equal(r->timeout_ms, 1200);
	assert_int_equal(r->target_ms, 200);
	assert_int_equal(r->max_attempts, 2);
	assert_int_equal(c->limits.idle_timeout_ms, 15000);
	assert_true(lstr_eq(config_service(c, LSTR("harta"))->health_path,
			    LSTR("/health")));
	assert_int_equal(config_service(c, LSTR("harta"))->slow_start_ms, 3000);
	assert_float_equal(config_service(c, LSTR("harta"))->slow_start_per_s,
			   6.6, 1e-9);
	assert_float_equal(config_service(c, LSTR("avize"))->slow_start_per_s,
			   0, 0);
	config_unref(c);
}

/* Decodes a version of one service with two values that tests vary. */
static struct config *decode_values(struct lstr health_path, uint64_t number,
				    guint *findings)
{
	struct findings f;
	struct buf b = {0};
	struct config *c;
	msgpack_packer pk;

	findings_init(&f);
	msgpack_packer_init(&pk, &b, codec_buf_write);
	msgpack_pack_map(&pk, 4);
	pack_pair(&pk, "configVersion", "0000000c");
	codec_pack_cstr(&pk, "routes");
	msgpack_pack_map(&pk, 0);
	codec_pack_cstr(&pk, "services");
	msgpack_pack_map(&pk, 1);
	codec_pack_cstr(&pk, "harta");
	msgpack_pack_map(&pk, 2);
	codec_pack_cstr(&pk, "healthPath");
	codec_pack_lstr(&pk, health_path);
	pack_number(&pk, "maxConnections", number);
	codec_pack_cstr(&pk, "limits");
	msgpack_pack_map(&pk, 2);
	pack_number(&pk, "maxHeaderBytes", number);
	pack_number(&pk, "idleTimeoutMs", number);
	c = records_decode_config(buf_lstr(&b), &f);
	*findings = f.list->len;
	findings_clear(&f);
	buf_free(&b);
	return c;
}

/* Guards against limits of 2^32 + 1 bytes that are one byte. */
static void test_large_limits(void **state)
{
	guint n;
	struct config *c =
		decode_values(LSTR("/h"), (UINT64_C(1) << 32) + 1, &n);

	assert_int_equal(n, 0);
	assert_int_equal(c->limits.head_max, UINT32_MAX);
	assert_int_equal(c->limits.idle_timeout_ms, UINT32_MAX);
	assert_int_equal(config_service(c, LSTR("harta"))->max_connections,
			 UINT32_MAX);
	config_unref(c);
}

/* Guards against probes with a header of the path's own. */
static void test_health_paths(void **state)
{
	static const struct lstr bad[] = {
		{"", 0},     {"health", 6},
		{"/a b", 4}, {"/a HTTP/1.1\r\nX: y", 17},
		{"/\0", 2},  {"/\xff", 2},
	};
	struct config *c;
	guint n;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		c = decode_values(bad[i], 7, &n);
		assert_int_equal(n, 1);
		assert_true(
			lstr_eq(config_service(c, LSTR("harta"))->health_path,
				LSTR("/")));
		config_unref(c);
	}
	c = decode_values(LSTR("/h?full=1"), 7, &n);
	assert_int_equal(n, 0);
	assert_true(lstr_eq(config_service(c, LSTR("harta"))->health_path,
			    LSTR("/h?full=1")));
	config_unref(c);
	/* A service without one is probed at the root. */
	c = decode(&valid_config, &n);
	assert_true(lstr_eq(config_service(c, LSTR("avize"))->health_path,
			    LSTR("/")));
	config_unref(c);
}

static void test_split(void **state)
{
	struct variant v = valid_config;
	struct config *c;
	guint n;

	v.split = true;
	v.kind = "non_idempotent";
	c = decode(&v, &n);
	assert_int_equal(n, 0);
	const struct route *r =
		config_match(c, LSTR("one.example"), LSTR("/a/"));

	assert_false(r->idempotent);
	assert_int_equal(r->nsplits, 2);
	assert_int_equal(r->splits[0].weight, 90);
	config_unref(c);
}

/* A route with an invalid field is unusable; the other one is as it was. */
static void test_invalid_routes(void **state)
{
	struct variant bad[6];
	const struct route *r;
	struct config *c;
	guint n;

	for (size_t i = 0; i < 6; i++)
		bad[i] = valid_config;
	bad[0].service = "nobody";
	bad[1].timeout = 0;
	bad[2].attempts = 0;
	bad[3].no_timeout = true;
	bad[4].timeout = 1000ULL * 3600 * 24;
	bad[5].kind = "sometimes";
	for (size_t i = 0; i < 6; i++) {
		bool unknown_kind = i == 5;

		c = decode(&bad[i], &n);
		if (!c || n == 0)
			fail_msg("variant %zu", i);
		r = config_match(c, LSTR("one.example"), LSTR("/a/x"));
		if (r->unusable != !unknown_kind ||
		    (unknown_kind && r->idempotent))
			fail_msg("variant %zu: route", i);
		r = config_match(c, LSTR("one.example"), LSTR("/b/x"));
		assert_true(!r->unusable && r->idempotent);
		config_unref(c);
	}
}

static void test_invalid_versions(void **state)
{
	struct variant bad[2] = {valid_config, valid_config};
	struct buf b = {0};
	struct findings f;
	guint n;

	bad[0].version = "not hex";
	/* Not one route is left that can be used. */
	bad[1].same_path = true;
	for (size_t i = 0; i < 2; i++) {
		if (decode(&bad[i], &n) || n == 0)
			fail_msg("variant %zu was accepted", i);
	}
	/* Every truncation of a valid version is rejected. */
	pack_version(&b, &valid_config);
	findings_init(&f);
	for (size_t k = 0; k < b.len; k++) {
		char *copy = g_memdup2(b.ptr, k ? k : 1);

		assert_null(records_decode_config((struct lstr){copy, k}, &f));
		g_free(copy);
	}
	findings_clear(&f);
	buf_free(&b);
}

static void test_directory(void **state)
{
	struct lstr addrs[] = {LSTR("10.0.0.1:80"), LSTR("10.0.0.2:80")};
	const msgpack_object *list;
	msgpack_unpacked u;
	struct buf b = {0};
	size_t off = 0;
	char dc[16];

	assert_true(directory_parse_target(LSTR("/resolution?name=x"), dc, 16));
	assert_string_equal(dc, "");
	assert_true(directory_parse_target(LSTR("/resolution"), dc, 16));
	assert_string_equal(dc, "");
	assert_true(directory_parse_target(
		LSTR("/resolution?name=x&region=r&zone=gt-a%2d1"), dc, 16));
	assert_string_equal(dc, "gt-a-1");
	/* A name that doesn't fit, and a malformed query. */
	assert_true(directory_parse_target(
		LSTR("/resolution?zone=0123456789abcdef"), dc, 16));
	assert_string_equal(dc, "");
	assert_true(directory_parse_target(LSTR("/resolution?&&=%zz"), dc, 16));
	assert_string_equal(dc, "");
	assert_false(directory_parse_target(LSTR("/resolutions"), dc, 16));
	assert_false(directory_parse_target(LSTR("/"), dc, 16));
	directory_write_response(&b, addrs, 2, 2.5);
	msgpack_unpacked_init(&u);
	assert_int_equal(msgpack_unpack_next(&u, b.ptr, b.len, &off),
			 MSGPACK_UNPACK_SUCCESS);
	list = codec_get(&u.data, "addresses");
	assert_int_equal(list->via.array.size, 2);
	assert_true(lstr_eq(codec_str(&list->via.array.ptr[1]), addrs[1]));
	assert_true(codec_get(&u.data, "ttlS")->via.f64 == 2.5);
	msgpack_unpacked_destroy(&u);
	buf_free(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_config),
		cmocka_unit_test(test_large_limits),
		cmocka_unit_test(test_health_paths),
		cmocka_unit_test(test_split),
		cmocka_unit_test(test_invalid_routes),
		cmocka_unit_test(test_invalid_versions),
		cmocka_unit_test(test_directory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
