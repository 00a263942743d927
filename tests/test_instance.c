/*
 * Tests of options/instance: the template that the platform renders, variables
 * that it leaves unset, invalid settings and reloads.
 */
#include "tests/unit.h"

#include <arpa/inet.h>

#include <errno.h>
#include <unistd.h>

#include "common/event.h"
#include "options/deploy.h"
#include "options/instance.h"

/* A template variable and the value that the platform would render. */
struct value {
	const char *name, *text;
};

static const struct value values[] = {
	{"nodeName", "edge-1"},
	{"zone", "hala-cluj"},
	{"region", "ro-central"},
	{"ipAddress", "10.1.0.18"},
	{"firstStart", "true"},
	{"seedNodes", "10.1.0.18:8382,10.2.0.34:8382,10.3.0.12:8382"},
	{"listen.front", "10.1.0.18:8381"},
	{"listen.ready", "10.1.0.18:8388"},
	{"listen.directory", "10.1.0.18:8383"},
	{"internalPortRange.0", "7200"},
	{"internalPortRange.1", "7215"},
	{"platform.address", "10.200.1.7:8384"},
	{"heartbeatMs", "900"},
	{"limits.memoryMb", "160"},
	{"bounds.drainMs", "2000"},
	{"bounds.configApplyMs", "2500"},
	{"bounds.graceS", "6"},
	{"bounds.retryBudgetRatio", "0.2"},
	{"bounds.retrySlack", "56"},
	{"bounds.retryWindowS", "10"},
	{"bounds.ttl_max_s", "5"},
	{"bounds.probesPerS", "60"},
	{"bounds.warmupOvershoot", "1.5"},
	{"bounds.warmupSlack", "8"},
	{"bounds.quotaWindowS", "5"},
	{"bounds.quotaOvershoot", "0.1"},
	{"bounds.quotaSlack", "20"},
	{"limits.maxFds", "4100"},
};

/* Returns a variable's value, or "" for the one in `unset`. */
static const char *value_of(const char *name, size_t len, const char *unset)
{
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		if (strlen(values[i].name) == len &&
		    !strncmp(values[i].name, name, len))
			return unset && !strcmp(values[i].name, unset)
				       ? ""
				       : values[i].text;
	}
	fail_msg("unknown template variable %.*s", (int)len, name);
	return NULL;
}

/* Renders deploy/instance.ini, with `unset` empty. Returns its path. */
static char *render(const char *unset)
{
	char *text, *path = g_strdup("/tmp/mp-instance-XXXXXX");
	GString *out = g_string_new(NULL);
	int fd = g_mkstemp(path);

	assert_true(
		g_file_get_contents("deploy/instance.ini", &text, NULL, NULL));
	for (char *p = text, *end; *p; p = end + 2) {
		char *begin = strstr(p, "{{");

		if (!begin) {
			g_string_append(out, p);
			break;
		}
		end = strstr(begin, "}}");
		g_string_append_len(out, p, begin - p);
		g_string_append(
			out,
			value_of(begin + 2, (size_t)(end - begin - 2), unset));
	}
	assert_int_equal(write(fd, out->str, out->len), out->len);
	close(fd);
	g_string_free(out, TRUE);
	g_free(text);
	return path;
}

/* Values of the rendered template reach the settings. */
static void test_template(void **state)
{
	struct instance_settings s;
	char *path = render(NULL);

	assert_int_equal(instance_settings_load(path, &s), 0);
	assert_string_equal(s.name, "edge-1");
	assert_string_equal(s.dc, "hala-cluj");
	assert_string_equal(s.callers, "10.1.0.18:8381");
	assert_string_equal(s.peers, "10.1.0.18:7200");
	assert_null(s.own);
	GArray *seeds = instance_settings_seeds(&s);

	/* This instance is a seed itself; the port is that of its peers. */
	assert_true(instance_settings_is_seed(&s));
	assert_int_equal(seeds->len, 2);
	assert_int_equal(
		ntohs(g_array_index(seeds, struct sockaddr_in, 1).sin_port),
		7200);
	assert_int_equal(ntohl(g_array_index(seeds, struct sockaddr_in, 1)
				       .sin_addr.s_addr),
			 0x0a03000c);
	g_array_unref(seeds);
	assert_true(s.heartbeat_ms == 900);
	assert_true(s.bounds.config_ms == 2500);
	assert_true(s.bounds.retry_ratio == 0.2);
	assert_true(s.bounds.retry_slack == 56);
	assert_true(s.bounds.questions_per_s == 60);
	unlink(path);
	g_free(path);
}

/* Seeds that can't be read are left out; none is a valid setting. */
static void test_seeds(void **state)
{
	struct instance_settings s = {
		.seeds = "", .ip = "10.1.0.1", .peers = "10.1.0.1:7200"};
	GArray *seeds = instance_settings_seeds(&s);

	assert_int_equal(seeds->len, 0);
	assert_false(instance_settings_is_seed(&s));
	g_array_unref(seeds);
	s.seeds = "nowhere, 10.2.0.2, x.y:80, 10.2.0.3:8382";
	seeds = instance_settings_seeds(&s);
	assert_int_equal(seeds->len, 1);
	assert_false(instance_settings_is_seed(&s));
	g_array_unref(seeds);
}

/* A platform that guarantees less leaves optional variables unset. */
static void test_empty_optional_values(void **state)
{
	struct instance_settings s;
	char *path = render("bounds.probesPerS");

	assert_int_equal(instance_settings_load(path, &s), 0);
	assert_true(s.bounds.questions_per_s == 10);
	assert_true(s.first_start);
	unlink(path);
	g_free(path);
	path = render("heartbeatMs");
	assert_int_equal(instance_settings_load(path, &s), 0);
	assert_true(s.heartbeat_ms == 1500);
	unlink(path);
	g_free(path);
	/* The default is a restart, which must become ready sooner. */
	path = render("firstStart");
	assert_int_equal(instance_settings_load(path, &s), 0);
	assert_false(s.first_start);
	unlink(path);
	g_free(path);
	/* Addresses are required. */
	path = render("platform.address");
	assert_int_equal(instance_settings_load(path, &s), -EINVAL);
	unlink(path);
	g_free(path);
}

/* Loads the rendered template with extra lines appended. */
static int load_with(const char *lines, struct instance_settings *s)
{
	char *path = render(NULL);
	FILE *f = fopen(path, "a");
	int rc;

	assert_non_null(f);
	fputs(lines, f);
	fclose(f);
	rc = instance_settings_load(path, s);
	unlink(path);
	g_free(path);
	return rc;
}

/* Mechanisms are enabled by default; unknown ones and values are errors. */
static void test_policy(void **state)
{
	struct instance_settings s;

	assert_int_equal(load_with("[policy]\nrescue = false\n", &s), 0);
	assert_false(s.policy.rescue);
	assert_true(s.policy.ask && s.policy.learn && s.policy.outliers);
	assert_int_equal(load_with("[policy]\nrescue = perhaps\n", &s),
			 -EINVAL);
	assert_int_equal(load_with("[policy]\nmagic = true\n", &s), -EINVAL);
}

/* Differences between two loaded settings are listed. */
static void test_differences(void **state)
{
	struct instance_settings a, b;
	char *path = render(NULL);
	struct buf out = {0};

	assert_int_equal(instance_settings_load(path, &a), 0);
	assert_int_equal(instance_settings_load(path, &b), 0);
	instance_settings_diff(&a, &b, &out);
	assert_int_equal(out.len, 0);
	b.bounds.drain_ms = 2500;
	b.callers = "10.9.9.9:1";
	instance_settings_diff(&a, &b, &out);
	assert_true(lstr_eq(buf_lstr(&out),
			    LSTR(" callers=10.1.0.18:8381->10.9.9.9:1"
				 " drain_ms=2000->2500")));
	buf_free(&out);
	unlink(path);
	g_free(path);
}

/* A reload applies the bounds and the log level, and nothing else. */
static void test_apply_reload(void **state)
{
	struct instance_settings a, b;
	char *path = render(NULL);
	struct buf out = {0};

	assert_int_equal(instance_settings_load(path, &a), 0);
	assert_int_equal(instance_settings_load(path, &b), 0);
	b.bounds.retry_slack = 90;
	b.bounds.retry_window_s = 20;
	b.log_level = "notice";
	b.callers = "10.9.9.9:1";
	instance_settings_apply_reload(&a, &b);
	assert_true(a.bounds.retry_slack == 90);
	assert_string_equal(a.log_level, "notice");
	/* The remaining differences need a restart. */
	instance_settings_diff(&a, &b, &out);
	assert_true(lstr_eq(buf_lstr(&out),
			    LSTR(" callers=10.1.0.18:8381->10.9.9.9:1"
				 " retry_window_s=10->20")));
	buf_free(&out);
	unlink(path);
	g_free(path);
}

static void test_no_file(void **state)
{
	struct instance_settings s;

	assert_int_equal(instance_settings_load(NULL, &s), -EINVAL);
	assert_int_equal(instance_settings_load("/nonexistent.ini", &s),
			 -EINVAL);
}

/* Addresses of an instance of a local deployment. */
static void test_from_deploy(void **state)
{
	struct instance_settings s;
	struct deploy d;

	assert_int_equal(deploy_load(NULL, &d), 0);
	assert_int_equal(instance_settings_from_deploy(&d, "e2", &s), 0);
	assert_string_equal(s.own, "127.0.0.1:7102");
	assert_string_equal(s.callers, "127.0.0.1:8102");
	assert_int_equal(instance_settings_from_deploy(&d, "e9", &s), -ENOENT);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_template),
		cmocka_unit_test(test_seeds),
		cmocka_unit_test(test_empty_optional_values),
		cmocka_unit_test(test_policy),
		cmocka_unit_test(test_differences),
		cmocka_unit_test(test_apply_reload),
		cmocka_unit_test(test_no_file),
		cmocka_unit_test(test_from_deploy),
	};

	mp_log_init("test");
	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
