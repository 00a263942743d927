/* Tests of options/settings and options/deploy: findings and locations. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "common/event.h"
#include "options/deploy.h"
#include "options/settings.h"

static void test_default_is_clean(void **state)
{
	struct deploy d;

	assert_int_equal(deploy_load(NULL, &d), 0);
	assert_int_equal(d.services->len, 6);
	assert_int_equal(d.entries->len, 3);
	assert_non_null(deploy_service(&d, "becas-pagos"));
	assert_true(deploy_service(&d, "rezervari")->protected_action);
}

/* Writes a temporary file and returns its path. */
static char *write_ini(const char *text)
{
	char *path = g_strdup("/tmp/mp-test-XXXXXX");
	int fd = g_mkstemp(path);

	assert_true(fd >= 0);
	assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	return path;
}

/* All errors are found in one pass, each with its line and key. */
static void test_all_findings_with_lines(void **state)
{
	const char *text = "[platform]\n"		/* 1 */
			   "listen = 127.0.0.1:99999\n" /* 2: bad port */
			   "member_ttl_ms = soon\n"	/* 3: not a number */
			   "[entry]\n"			/* 4 */
			   "policy = fastest\n"		/* 5: unknown policy */
			   "colour = blue\n"		/* 6: unknown key */
			   "[service.harta]\n"		/* 7: no tenant */
			   "workers = 0\n"		/* 8: out of range */
			   "base_port = 7300\n"		/* 9 */
			   "[entry.e1]\n"		/* 10 */
			   "listen = 127.0.0.1:7101\n"	/* 11: no dc */
			   "[mystery]\n";		/* 12 */
	char *path = write_ini(text);
	struct settings s;
	struct findings f;
	struct deploy d;

	findings_init(&f);
	assert_int_equal(settings_open(&s, path, NULL, &f), 0);
	assert_int_equal(
		settings_find_line(s.text, "platform", "member_ttl_ms"), 3);
	assert_int_equal(settings_find_line(s.text, "service.harta", "workers"),
			 8);
	assert_int_equal(settings_find_line(s.text, "mystery", NULL), 12);
	settings_close(&s);
	deploy_read(path, &d, &f);
	const struct {
		int line;
		const char *key;
	} want[] = {{2, "listen"}, {3, "member_ttl_ms"},
		    {5, "policy"}, {6, "colour"},
		    {7, "tenant"}, {8, "workers"},
		    {10, "dc"},	   {12, NULL}};
	for (size_t i = 0; i < G_N_ELEMENTS(want); i++) {
		bool hit = false;

		for (guint k = 0; k < f.list->len; k++) {
			const struct finding *fd = f.list->pdata[k];

			hit |= fd->line == want[i].line &&
			       !g_strcmp0(fd->key, want[i].key) &&
			       !strcmp(fd->file, path);
		}
		if (!hit)
			fail_msg("no finding at line %d key %s", want[i].line,
				 want[i].key ? want[i].key : "-");
	}
	findings_clear(&f);
	assert_int_equal(deploy_load(path, &d), -EINVAL);
	unlink(path);
	g_free(path);
}

static void test_missing_file(void **state)
{
	struct deploy d;

	assert_int_equal(deploy_load("/nonexistent/mp.ini", &d), -EINVAL);
}

static void test_addr_split(void **state)
{
	char host[64];
	int port;

	assert_int_equal(
		addr_split("127.0.0.1:7000", host, sizeof(host), &port), 0);
	assert_int_equal(port, 7000);
	assert_int_equal(
		addr_split("localhost:7000", host, sizeof(host), &port),
		-EINVAL);
	assert_int_equal(addr_split("127.0.0.1:", host, sizeof(host), &port),
			 -EINVAL);
	assert_int_equal(addr_split("127.0.0.1", host, sizeof(host), &port),
			 -EINVAL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_default_is_clean),
		cmocka_unit_test(test_all_findings_with_lines),
		cmocka_unit_test(test_missing_file),
		cmocka_unit_test(test_addr_split),
	};

	mp_log_init("test");
	return cmocka_run_group_tests(tests, NULL, NULL);
}
