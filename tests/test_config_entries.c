/*
 * Tests of configurations that are decoded by platform/records: workspaces, and
 * what one route or workspace that can't be read costs.
 */
#include "tests/unit.h"

#include "core/access.h"
#include "platform/records.h"
#include "tests/json_pack.h"

enum { CURRENT_MS = 100, FUZZ_RUNS = 20000, FUZZ_CHANGES_MAX = 6 };

#define ROUTE(path, more)                                          \
	"{'host': 'one.example', 'pathPrefix': '" path             \
	"', 'kind': 'idempotent', 'timeoutMs': 900, 'maxAttempts'" \
	": 2, 'service': 'a'" more "}"
#define CONFIG(routes, workspaces)                                         \
	"{'configVersion': '0000000c', 'services': {'a': {}},"             \
	" 'routes': {'good': " ROUTE(                                      \
		"/good/",                                                  \
		"") "," routes                                             \
		    "}, 'tenants': {'first': {'apiKeys': ['k-1', 'k-2'], " \
		    "'ratePerS': 2.5, 'burstSize': 7, 'priority': "        \
		    "3}, " workspaces "}}"

/* Decodes JSON; returns NULL if the version is unusable. */
static struct config *decode(const char *json, guint *nfindings)
{
	struct findings f;
	struct buf b = {0};
	struct config *c;

	findings_init(&f);
	json_write(&b, json);
	c = records_decode_config(buf_lstr(&b), &f);
	*nfindings = f.list->len;
	/* They are logged, so they must not have keys, which begin with k-. */
	for (guint i = 0; i < f.list->len; i++) {
		const struct finding *x = g_ptr_array_index(f.list, i);

		assert_null(strstr(x->message, "k-"));
	}
	findings_clear(&f);
	buf_free(&b);
	return c;
}

static enum access_status status(const struct config *c, const char *path,
				 const char *key)
{
	struct access_query q = {.host = LSTR("one.example"),
				 .path = lstr0(path),
				 .key = lstr0(key)};

	return access_decide(c, &q, CURRENT_MS).status;
}

static void test_workspaces(void **state)
{
	guint n;
	struct config *c = decode(
		CONFIG("'up': {'host': 'one.example', 'pathPrefix': '/up/', "
		       "'kind': 'upload', 'timeoutMs': 900, 'maxAttempts': 2, "
		       "'service': 'a', 'authExempt': true}",
		       "'second': {'apiKeys': ['k-3']}, 'third': {}"),
		&n);
	const struct workspace *w;
	const struct route *r;

	assert_int_equal(n, 0);
	w = workspaces_find(&c->workspaces, LSTR("k-2"));
	assert_true(lstr_eq(w->name, LSTR("first")));
	assert_float_equal(w->rate_s, 2.5, 0);
	assert_float_equal(w->burst, 7, 0);
	assert_true(w->has_priority);
	assert_int_equal(w->priority, 3);
	assert_int_equal(w->nkeys, 2);
	w = workspaces_find(&c->workspaces, LSTR("k-3"));
	assert_true(lstr_eq(w->name, LSTR("second")));
	assert_float_equal(w->rate_s, 0, 0);
	assert_false(w->has_priority);
	r = config_match(c, LSTR("one.example"), LSTR("/up/x"));
	assert_true(r->upload && r->auth_exempt && !r->idempotent);
	assert_int_equal(status(c, "/up/x", ""), ACCESS_GRANTED);
	assert_int_equal(status(c, "/good/x", ""), ACCESS_UNKNOWN_KEY);
	config_unref(c);
}

static void test_without_workspaces(void **state)
{
	static const char *const texts[] = {"", ", 'tenants': null"};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		char *json = g_strconcat(
			"{'configVersion': '1', 'services': {'a': {}}, "
			"'routes': {'good': " ROUTE("/good/", "") "}",
			texts[i], "}", NULL);
		guint n;
		struct config *c = decode(json, &n);

		assert_int_equal(n, 0);
		assert_false(c->workspaces.required);
		assert_int_equal(status(c, "/good/x", ""), ACCESS_GRANTED);
		config_unref(c);
		g_free(json);
	}
}

/* One invalid route costs its own requests; they get no final refusal. */
static void test_invalid_route(void **state)
{
	static const struct {
		const char *route;
		enum access_status bad, other; /* for its path, for no route */
	} samples[] = {
		{"5", ACCESS_UNCERTAIN, ACCESS_UNCERTAIN},
		{"[]", ACCESS_UNCERTAIN, ACCESS_UNCERTAIN},
		{"{'pathPrefix': '/bad/', 'kind': 'idempotent', 'timeoutMs': 9"
		 ", 'maxAttempts': 2, 'service': 'a'}",
		 ACCESS_UNCERTAIN, ACCESS_UNCERTAIN},
		{"{'host': 'one.example', 'pathPrefix': 7, 'timeoutMs': 9, "
		 "'kind': 'idempotent', 'maxAttempts': 2, 'service': 'a'}",
		 ACCESS_UNCERTAIN, ACCESS_UNCERTAIN},
		{ROUTE("/bad", ""), ACCESS_UNCERTAIN, ACCESS_UNCERTAIN},
		{ROUTE("/bad/", ", 'targetLatencyMs': 'soon'"),
		 ACCESS_UNCERTAIN, ACCESS_NO_ROUTE},
		{ROUTE("/bad/", ", 'trafficSplit': [{'service': 'a'}]"),
		 ACCESS_UNCERTAIN, ACCESS_NO_ROUTE},
		{ROUTE("/bad/",
		       ", 'trafficSplit': [{'service': 'b', 'weight': 1}]"),
		 ACCESS_UNCERTAIN, ACCESS_NO_ROUTE},
		{"{'host': 'one.example', 'pathPrefix': '/bad/', 'kind': "
		 "'idempotent', 'timeoutMs': -4, 'maxAttempts': 2, 'service': "
		 "'a'}",
		 ACCESS_UNCERTAIN, ACCESS_NO_ROUTE},
		/* Either of two may be meant. */
		{ROUTE("/bad/", "") ", 'same': " ROUTE("/bad/", ""),
		 ACCESS_UNCERTAIN, ACCESS_NO_ROUTE},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
		char *text = g_strdup(CONFIG("'bad': @@", ""));
		char **parts = g_strsplit(text, "@@", 2);
		char *json =
			g_strconcat(parts[0], samples[i].route, parts[1], NULL);
		guint n;
		struct config *c = decode(json, &n);

		if (!c || !n)
			fail_msg("sample %zu", i);
		assert_int_equal(status(c, "/bad/x", "k-1"), samples[i].bad);
		assert_int_equal(status(c, "/other/x", "k-1"),
				 samples[i].other);
		assert_int_equal(status(c, "/good/x", "k-1"), ACCESS_GRANTED);
		config_unref(c);
		g_strfreev(parts);
		g_free(json);
		g_free(text);
	}
}

/* Requests of an unknown kind run at most once. */
static void test_unknown_kind(void **state)
{
	static const char *const kinds[] = {"'stream'", "7", "null"};

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		char *json = g_strconcat(
			"{'configVersion': '1', 'services': {'a': {}}, "
			"'routes': {'new': {'host': 'one.example', "
			"'pathPrefix': '/new/', 'timeoutMs': 900, "
			"'maxAttempts': 2, 'service': 'a', 'kind': ",
			kinds[i], "}}}", NULL);
		const struct route *r;
		guint n;
		struct config *c = decode(json, &n);

		assert_non_null(c);
		assert_int_equal(n, 1);
		r = config_match(c, LSTR("one.example"), LSTR("/new/x"));
		assert_false(r->idempotent);
		assert_false(r->unusable);
		config_unref(c);
		g_free(json);
	}
}

/* One invalid workspace costs its own callers; they get no final refusal. */
static void test_invalid_workspace(void **state)
{
	static const struct {
		const char *workspace;
		enum access_status own, unknown; /* for its key, for no key */
	} samples[] = {
		{"'bad': 7", ACCESS_UNCERTAIN, ACCESS_UNCERTAIN},
		{"'bad': null", ACCESS_UNCERTAIN, ACCESS_UNCERTAIN},
		{"'bad': {'apiKeys': 'k-9'}", ACCESS_UNCERTAIN,
		 ACCESS_UNCERTAIN},
		{"'bad': {'apiKeys': ['k-9', 5]}", ACCESS_GRANTED,
		 ACCESS_UNCERTAIN},
		{"'bad': {'apiKeys': ['k-9', '']}", ACCESS_GRANTED,
		 ACCESS_UNCERTAIN},
		{"'bad': {'apiKeys': ['k-9'], 'ratePerS': 'many'}",
		 ACCESS_UNCERTAIN, ACCESS_UNKNOWN_KEY},
		{"'bad': {'apiKeys': ['k-9'], 'ratePerS': -1}",
		 ACCESS_UNCERTAIN, ACCESS_UNKNOWN_KEY},
		{"'bad': {'apiKeys': ['k-9'], 'ratePerS': nan}",
		 ACCESS_UNCERTAIN, ACCESS_UNKNOWN_KEY},
		{"'bad': {'apiKeys': ['k-9'], 'ratePerS': 1, 'burstSize': inf}",
		 ACCESS_UNCERTAIN, ACCESS_UNKNOWN_KEY},
		{"'bad': {'apiKeys': ['k-9'], 'priority': 'high'}",
		 ACCESS_GRANTED, ACCESS_UNKNOWN_KEY},
		/* A name that would end the header and begin another one. */
		{"'b\r\nX-Other: 1': {'apiKeys': ['k-9']}", ACCESS_UNCERTAIN,
		 ACCESS_UNKNOWN_KEY},
		{"'': {'apiKeys': ['k-9']}", ACCESS_UNCERTAIN,
		 ACCESS_UNKNOWN_KEY},
		{"7: {'apiKeys': ['k-9']}", ACCESS_UNCERTAIN,
		 ACCESS_UNKNOWN_KEY},
		{"'bad': {'apiKeys': ['k-9']}, 'same': {'apiKeys': ['k-9']}",
		 ACCESS_UNCERTAIN, ACCESS_UNKNOWN_KEY},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
		char **parts = g_strsplit(CONFIG("", "@@"), "@@", 2);
		char *json = g_strconcat(parts[0], samples[i].workspace,
					 parts[1], NULL);
		guint n;
		struct config *c = decode(json, &n);

		if (!c || !n)
			fail_msg("sample %zu", i);
		if (status(c, "/good/x", "k-9") != samples[i].own ||
		    status(c, "/good/x", "k-x") != samples[i].unknown)
			fail_msg("sample %zu: %d, %d", i,
				 status(c, "/good/x", "k-9"),
				 status(c, "/good/x", "k-x"));
		assert_int_equal(status(c, "/good/x", "k-1"), ACCESS_GRANTED);
		config_unref(c);
		g_strfreev(parts);
		g_free(json);
	}
}

/* What concerns the whole version keeps the one in force. */
static void test_unusable_versions(void **state)
{
#define REST \
	"'services': {'a': {}}, 'routes': {'good': " ROUTE("/good/", "") "}"
	static const char *const samples[] = {
		"7",
		"[]",
		"{}",
		"{" REST "}",
		"{'configVersion': 12, " REST "}",
		"{'configVersion': 'not hex', " REST "}",
		"{'configVersion': '', " REST "}",
		"{'configVersion': '1', 'services': {'a': {}}}",
		"{'configVersion': '1', 'services': {'a': {}}, 'routes': []}",
		"{'configVersion': '1', 'services': 'a', 'routes': {}}",
		"{'configVersion': '1', 'routes': {}}",
		/* Without workspaces, requests would run without a key. */
		"{'configVersion': '1', 'tenants': [], " REST "}",
		"{'configVersion': '1', 'tenants': 'first', " REST "}",
		/* Not one route can be used. */
		"{'configVersion': '1', 'services': {}, 'routes': "
		"{'good': " ROUTE("/good/", "") "}}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
		guint n;

		if (decode(samples[i], &n) || !n)
			fail_msg("sample %zu was accepted", i);
	}
}

/*
 * Random bytes changed, inserted or cut off, from a fixed seed. What is decoded
 * has valid names and quotas, and never runs a request without a key.
 */
static void test_fuzz(void **state)
{
	GRand *rand = g_rand_new_with_seed(430);
	struct buf valid = {0};
	unsigned decoded = 0, rejected = 0;

	json_write(&valid, CONFIG("'up': " ROUTE("/up/", ", 'priority': 4"),
				  "'second': {'apiKeys': ['k-3']}"));
	for (int i = 0; i < FUZZ_RUNS; i++) {
		int changes = g_rand_int_range(rand, 1, FUZZ_CHANGES_MAX);
		size_t len = valid.len;
		char *copy;
		struct findings f;
		struct config *c;

		if (i % 4 == 0)
			len = (size_t)g_rand_int_range(rand, 1, (gint32)len);
		copy = g_memdup2(valid.ptr, len);
		for (int k = 0; k < changes; k++)
			copy[g_rand_int_range(rand, 0, (gint32)len)] =
				(char)g_rand_int_range(rand, 0, 256);
		findings_init(&f);
		c = records_decode_config((struct lstr){copy, len}, &f);
		decoded += c != NULL;
		rejected += c == NULL;
		assert_true(c || f.list->len > 0);
		for (size_t w = 0; c && w < c->workspaces.n; w++) {
			const struct workspace *x = &c->workspaces.list[w];

			assert_true(x->unusable || x->name.len > 0);
			assert_true(x->unusable || x->rate_s >= 0);
		}
		if (c && c->workspaces.required)
			assert_int_not_equal(status(c, "/good/x", ""),
					     ACCESS_GRANTED);
		if (c)
			(void)status(c, "/up/x", "k-3");
		config_unref(c);
		findings_clear(&f);
		g_free(copy);
	}
	/* Both occur, or the changes don't test what they should. */
	assert_true(decoded > 1000 && rejected > 1000);
	buf_free(&valid);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_workspaces),
		cmocka_unit_test(test_without_workspaces),
		cmocka_unit_test(test_invalid_route),
		cmocka_unit_test(test_unknown_kind),
		cmocka_unit_test(test_invalid_workspace),
		cmocka_unit_test(test_unusable_versions),
		cmocka_unit_test(test_fuzz),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
