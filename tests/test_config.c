/* Tests of core/config: route matching, weights, checks, drained servers. */
#include "tests/unit.h"

#include "core/config.h"

struct sample {
	const char *name, *host, *prefix, *service;
};

/* Returns a version with services a and b and a route per sample. */
static struct config *make(const struct sample *s, size_t n, struct findings *f)
{
	struct config *c = config_new();

	c->version = 1;
	c->nservices = 2;
	c->services = arena_alloc(&c->arena, 2 * sizeof(*c->services));
	c->services[0].name = LSTR("a");
	c->services[1].name = LSTR("b");
	c->nroutes = n;
	c->routes = arena_alloc(&c->arena, n * sizeof(*c->routes));
	for (size_t i = 0; i < n; i++) {
		struct route *r = &c->routes[i];

		r->name = lstr0(s[i].name);
		r->host = lstr0(s[i].host);
		r->path_prefix = lstr0(s[i].prefix);
		r->timeout_ms = r->target_ms = 100;
		r->max_attempts = 1;
		r->nsplits = 1;
		r->splits = arena_alloc(&c->arena, sizeof(*r->splits));
		r->splits[0].service = lstr0(s[i].service);
		r->splits[0].weight = 1;
	}
	config_finalize(c, f);
	return c;
}

/* Returns the name of the matching route, or NULL. */
static const char *match(const struct config *c, const char *host,
			 const char *path)
{
	const struct route *r = config_match(c, lstr0(host), lstr0(path));

	return r ? r->name.ptr : NULL;
}

/* The longest matching prefix of whole path segments wins. */
static void test_longest_prefix(void **state)
{
	static const struct sample s[] = {
		{"all", "one.example", "/", "a"},
		{"deep", "one.example", "/x/y/", "a"},
		{"mid", "one.example", "/x/", "b"},
		{"other", "two.example", "/x/", "b"},
	};
	struct findings f;
	struct config *c;

	findings_init(&f);
	c = make(s, 4, &f);
	assert_int_equal(f.list->len, 0);
	assert_string_equal(match(c, "one.example", "/x/y/z"), "deep");
	assert_string_equal(match(c, "one.example", "/x/yz"), "mid");
	assert_string_equal(match(c, "one.example", "/x"), "all");
	assert_string_equal(match(c, "ONE.example:8080", "/x/q?a=/x/y/"),
			    "mid");
	assert_string_equal(match(c, "one.example", "/?p=/x/y/"), "all");
	assert_string_equal(match(c, "two.example", "/x/"), "other");
	assert_null(match(c, "two.example", "/y/"));
	assert_null(match(c, "three.example", "/x/"));
	config_unref(c);
	findings_clear(&f);
}

/* Each invalid route adds one finding and can't be used. */
static void test_findings(void **state)
{
	static const struct sample twice[] = {
		{"r1", "one.example", "/x/", "a"},
		{"r2", "ONE.example", "/x/", "b"},
	};
	static const struct sample unknown[] = {
		{"r1", "one.example", "/x/", "nobody"}};
	static const struct sample prefix[] = {
		{"r1", "one.example", "x/", "a"}};
	struct findings f;
	struct config *c;

	findings_init(&f);
	c = make(twice, 2, &f);
	assert_int_equal(f.list->len, 1);
	assert_false(config_has_usable_route(c));
	assert_false(c->routes_incomplete);
	config_unref(c);
	c = make(unknown, 1, &f);
	assert_int_equal(f.list->len, 2);
	assert_false(config_has_usable_route(c));
	config_unref(c);
	c = make(prefix, 1, &f);
	assert_int_equal(f.list->len, 3);
	assert_false(config_has_usable_route(c));
	assert_true(c->routes_incomplete);
	config_unref(c);
	findings_clear(&f);
}

/* Services are picked by weight, also at both ends of the random range. */
static void test_weights(void **state)
{
	struct route_split splits[] = {
		{LSTR("a"), 90}, {LSTR("b"), 10}, {LSTR("c"), 0}};
	struct route r = {.splits = splits, .nsplits = 3};
	GRand *rand = g_rand_new_with_seed(1);
	int b = 0;

	for (int i = 0; i < 10000; i++) {
		struct lstr s = route_pick(&r, g_rand_int(rand));

		assert_false(lstr_eq(s, LSTR("c")));
		b += lstr_eq(s, LSTR("b"));
	}
	assert_in_range(b, 900, 1100);
	assert_true(lstr_eq(route_pick(&r, 0), LSTR("a")));
	assert_true(lstr_eq(route_pick(&r, UINT32_MAX), LSTR("b")));
	g_rand_free(rand);
}

/* Draining applies to an id and to all starts of a server. */
static void test_drained(void **state)
{
	struct lstr names[] = {LSTR("harta-1"), LSTR("i-77")};
	struct config c = {.drained = names, .ndrained = 2};

	assert_true(config_drains(&c, "harta-1-a0b1"));
	assert_true(config_drains(&c, "i-77"));
	assert_false(config_drains(&c, "harta-10-a0b1"));
	assert_false(config_drains(&c, "i-7"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_longest_prefix),
		cmocka_unit_test(test_findings),
		cmocka_unit_test(test_weights),
		cmocka_unit_test(test_drained),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
