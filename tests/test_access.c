/* Tests of core/access: which requests may run, and which refusals are final. */
#include "tests/unit.h"

#include "core/access.h"

enum { CURRENT_MS = 100, OLD_MS = 4000, NEVER_MS = INT32_MAX };

struct sample {
	struct config *config;
	struct workspace list[2];
};

/*
 * Routes: /open/ needs no key, /closed/ does, /broken/ is unusable. The key
 * "k-b" belongs to a workspace that is unusable, "k-s" to both.
 */
static void setup(struct sample *s)
{
	static const char *const prefixes[] = {"/open/", "/closed/",
					       "/broken/"};
	struct config *c = config_new();
	struct findings f;

	memset(s, 0, sizeof(*s));
	c->services = arena_alloc(&c->arena, sizeof(*c->services));
	c->services[c->nservices++].name = LSTR("a");
	c->routes = arena_alloc(&c->arena, 3 * sizeof(*c->routes));
	for (; c->nroutes < 3; c->nroutes++) {
		struct route *r = &c->routes[c->nroutes];

		r->host = LSTR("one.example");
		r->path_prefix = lstr0(prefixes[c->nroutes]);
		r->timeout_ms = r->max_attempts = 1;
		r->splits = arena_alloc(&c->arena, sizeof(*r->splits));
		r->splits[0] = (struct route_split){LSTR("a"), 1};
		r->nsplits = 1;
	}
	c->routes[0].auth_exempt = true;
	c->routes[2].unusable = true;
	s->list[0].name = LSTR("first");
	s->list[1].name = LSTR("second");
	s->list[1].unusable = true;
	workspaces_init(&c->workspaces, s->list, 2);
	workspaces_add_key(&c->workspaces, &s->list[0], LSTR("k-a"));
	workspaces_add_key(&c->workspaces, &s->list[1], LSTR("k-b"));
	workspaces_add_key(&c->workspaces, &s->list[0], LSTR("k-s"));
	workspaces_add_key(&c->workspaces, &s->list[1], LSTR("k-s"));
	findings_init(&f);
	assert_int_equal(config_finalize(c, &f), 0);
	findings_clear(&f);
	s->config = c;
}

static void teardown(struct sample *s)
{
	config_unref(s->config);
}

static struct access ask(const struct sample *s, const char *path,
			 const char *key, int64_t age_ms)
{
	struct access_query q = {.host = LSTR("one.example"),
				 .path = lstr0(path),
				 .key = lstr0(key)};

	return access_decide(s->config, &q, age_ms);
}

static enum access_status status(const struct sample *s, const char *path,
				 const char *key, int64_t age_ms)
{
	return ask(s, path, key, age_ms).status;
}

static void test_granted(void **state)
{
	struct sample s;
	struct access a;

	setup(&s);
	a = ask(&s, "/closed/x", "k-a", CURRENT_MS);
	assert_int_equal(a.status, ACCESS_GRANTED);
	assert_ptr_equal(a.workspace, &s.list[0]);
	assert_ptr_equal(a.route, &s.config->routes[1]);
	/* What is known stays in force at an instance that is cut off. */
	assert_int_equal(status(&s, "/closed/x", "k-a", NEVER_MS),
			 ACCESS_GRANTED);
	/* An exempt route asks for no key, and a key makes no difference. */
	a = ask(&s, "/open/x", "", CURRENT_MS);
	assert_int_equal(a.status, ACCESS_GRANTED);
	assert_null(a.workspace);
	assert_null(ask(&s, "/open/x", "k-a", CURRENT_MS).workspace);
	assert_int_equal(status(&s, "/open/x", "k-x", CURRENT_MS),
			 ACCESS_GRANTED);
	teardown(&s);
}

static void test_final_refusals(void **state)
{
	struct sample s;

	setup(&s);
	assert_int_equal(status(&s, "/closed/x", "", CURRENT_MS),
			 ACCESS_UNKNOWN_KEY);
	assert_int_equal(status(&s, "/closed/x", "k-x", CURRENT_MS),
			 ACCESS_UNKNOWN_KEY);
	assert_int_equal(status(&s, "/other/x", "k-a", CURRENT_MS),
			 ACCESS_NO_ROUTE);
	/* A route that doesn't exist tells nothing about keys. */
	assert_int_equal(status(&s, "/other/x", "k-x", CURRENT_MS),
			 ACCESS_NO_ROUTE);
	teardown(&s);
}

/*
 * Guards against 401 and 404 for a route or key that was added while the
 * instance was cut off or had just started.
 */
static void test_nothing_is_final_without_current_configuration(void **state)
{
	static const char *const paths[] = {"/closed/x", "/broken/x",
					    "/other/x"};
	static const char *const keys[] = {"", "k-x", "k-b", "k-s"};
	static const int64_t ages_ms[] = {OLD_MS, NEVER_MS};
	struct sample s, none = {.config = NULL};

	setup(&s);
	for (size_t p = 0; p < G_N_ELEMENTS(paths); p++) {
		for (size_t k = 0; k < G_N_ELEMENTS(keys); k++) {
			for (size_t a = 0; a < G_N_ELEMENTS(ages_ms); a++)
				assert_int_equal(status(&s, paths[p], keys[k],
							ages_ms[a]),
						 ACCESS_UNCERTAIN);
			assert_int_equal(
				status(&none, paths[p], keys[k], CURRENT_MS),
				ACCESS_UNCERTAIN);
		}
	}
	teardown(&s);
}

static void test_repeated_key(void **state)
{
	struct access_query q = {.host = LSTR("one.example"),
				 .path = LSTR("/closed/x"),
				 .key = LSTR("k-a"),
				 .key_repeated = true};
	struct sample s;

	setup(&s);
	assert_int_equal(access_decide(s.config, &q, CURRENT_MS).status,
			 ACCESS_UNKNOWN_KEY);
	assert_int_equal(access_decide(s.config, &q, OLD_MS).status,
			 ACCESS_UNCERTAIN);
	teardown(&s);
}

/* What exists but can't be used is refused, but never for good. */
static void test_unusable_entries(void **state)
{
	struct sample s;

	setup(&s);
	assert_int_equal(status(&s, "/broken/x", "k-a", CURRENT_MS),
			 ACCESS_UNCERTAIN);
	assert_int_equal(status(&s, "/closed/x", "k-b", CURRENT_MS),
			 ACCESS_UNCERTAIN);
	assert_int_equal(status(&s, "/closed/x", "k-s", CURRENT_MS),
			 ACCESS_UNCERTAIN);
	s.config->workspaces.incomplete = true;
	assert_int_equal(status(&s, "/closed/x", "k-x", CURRENT_MS),
			 ACCESS_UNCERTAIN);
	/* No key at all is none of those that can't be read. */
	assert_int_equal(status(&s, "/closed/x", "", CURRENT_MS),
			 ACCESS_UNKNOWN_KEY);
	s.config->routes_incomplete = true;
	assert_int_equal(status(&s, "/other/x", "k-a", CURRENT_MS),
			 ACCESS_UNCERTAIN);
	assert_int_equal(status(&s, "/closed/x", "k-a", CURRENT_MS),
			 ACCESS_GRANTED);
	teardown(&s);
}

/* Without workspaces nobody needs a key. */
static void test_no_workspaces(void **state)
{
	struct sample s;

	setup(&s);
	workspaces_clear(&s.config->workspaces);
	s.config->workspaces = (struct workspaces){.required = false};
	assert_int_equal(status(&s, "/closed/x", "", CURRENT_MS),
			 ACCESS_GRANTED);
	assert_int_equal(status(&s, "/closed/x", "k-x", NEVER_MS),
			 ACCESS_GRANTED);
	teardown(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_granted),
		cmocka_unit_test(test_final_refusals),
		cmocka_unit_test(
			test_nothing_is_final_without_current_configuration),
		cmocka_unit_test(test_repeated_key),
		cmocka_unit_test(test_unusable_entries),
		cmocka_unit_test(test_no_workspaces),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
