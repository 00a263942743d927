/* Tests of traffic/workspace_metrics: counts, the quota's window, and bounds. */
#include "tests/unit.h"

#include "traffic/request.h"
#include "traffic/workspace_metrics.h"

enum { WORKSPACES = 81 };

struct fixture {
	struct traffic traffic;
	struct config *config;
	struct workspace list[WORKSPACES];
	char names[WORKSPACES][8];
};

static struct fixture *fixture_new(double window_s)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->traffic.bounds.quota_window_s = window_s;
	f->config = config_new();
	f->traffic.config = f->config;
	workspaces_init(&f->config->workspaces, f->list, WORKSPACES);
	for (int i = 0; i < WORKSPACES; i++) {
		g_snprintf(f->names[i], sizeof(f->names[i]), "w%d", i);
		f->list[i] = (struct workspace){
			.name = lstr0(f->names[i]), .rate_s = 4, .burst = 2};
	}
	workspaces_add_key(&f->config->workspaces, &f->list[0],
			   LSTR("secret-key"));
	return f;
}

static void fixture_free(struct fixture *f)
{
	if (f->traffic.workspace_stats)
		g_hash_table_unref(f->traffic.workspace_stats);
	config_unref(f->config);
	g_free(f);
}

static void end(struct fixture *f, int workspace, unsigned status, bool ran)
{
	struct request r = {.traffic = &f->traffic,
			    .workspace =
				    workspace < 0 ? NULL : &f->list[workspace],
			    .maybe_executed = ran};

	workspace_metrics_ended(&r, status);
}

/* Returns the written text; the next call overwrites it. */
static const char *text_of(const struct fixture *f,
			   void (*write)(struct buf *, const struct traffic *))
{
	static char text[65536];
	struct buf out = {0};

	write(&out, &f->traffic);
	assert_true(out.len < sizeof(text));
	memcpy(text, buf_lstr(&out).ptr, out.len);
	text[out.len] = '\0';
	buf_free(&out);
	assert_null(strstr(text, "secret-key"));
	return text;
}

static unsigned count_lines(const char *text)
{
	unsigned n = 0;

	while ((text = strchr(text, '\n'))) {
		text++;
		n++;
	}
	return n;
}

static void test_outcomes(void **state)
{
	struct fixture *f = fixture_new(5);
	const char *text;

	end(f, 0, 200, true);
	end(f, 0, 429, false);
	end(f, 0, 503, false);
	end(f, 0, 504, true);
	end(f, 0, 0, false);
	end(f, -1, 200, true);
	text = text_of(f, workspace_metrics_write_table);
	assert_non_null(
		strstr(text, "workspace\t4\t2\t1\t2\t5\t1\t1\t1\t2\tw0\n"));
	assert_non_null(
		strstr(text, "workspace\t4\t2\t0\t0\t0\t0\t0\t0\t0\tw1\n"));
	assert_int_equal(count_lines(text), 1 + WORKSPACES);
	text = text_of(f, workspace_metrics_write);
	assert_non_null(strstr(text,
			       "{workspace=\"w0\",outcome=\"beyond_quota\"}"
			       " 1\n"));
	fixture_free(f);
}

/* The metrics stay few however many workspaces there are. */
static void test_metrics_are_bounded(void **state)
{
	struct fixture *f = fixture_new(5);
	const char *text;

	for (int i = 0; i < WORKSPACES; i++) {
		for (int k = 0; k <= i; k++)
			end(f, i, 200, true);
	}
	text = text_of(f, workspace_metrics_write);
	assert_in_range(count_lines(text), 20, 60);
	assert_non_null(
		strstr(text, "{workspace=\"w80\",outcome=\"served\"} 81\n"));
	assert_null(strstr(text, "\"w0\""));
	/* 1 + 2 + .. + 71 requests of the others. */
	assert_non_null(strstr(
		text, "{workspace=\"(rest)\",outcome=\"served\"} 2556\n"));
	fixture_free(f);
}

static void test_use_leaves_the_window(void **state)
{
	struct fixture *f = fixture_new(0.2);

	for (int i = 0; i < 7; i++)
		end(f, 0, 200, true);
	assert_non_null(strstr(text_of(f, workspace_metrics_write_table),
			       "\t1\t7\t7\t7\t0\t0\t0\tw0\n"));
	g_usleep(250 * 1000);
	assert_non_null(strstr(text_of(f, workspace_metrics_write_table),
			       "\t1\t0\t7\t7\t0\t0\t0\tw0\n"));
	fixture_free(f);
}

static void test_removed_workspace_is_forgotten(void **state)
{
	struct fixture *f = fixture_new(5);

	end(f, 0, 200, true);
	end(f, WORKSPACES - 1, 200, true);
	f->config->workspaces.n--;
	workspace_metrics_configured(&f->traffic);
	assert_int_equal(g_hash_table_size(f->traffic.workspace_stats), 1);
	fixture_free(f);
}

/* A deployment without workspaces has nothing of this. */
static void test_without_workspaces(void **state)
{
	struct fixture *f = fixture_new(5);

	f->config->workspaces.required = false;
	assert_string_equal(text_of(f, workspace_metrics_write), "");
	assert_string_equal(text_of(f, workspace_metrics_write_table), "");
	fixture_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_outcomes),
		cmocka_unit_test(test_metrics_are_bounded),
		cmocka_unit_test(test_use_leaves_the_window),
		cmocka_unit_test(test_removed_workspace_is_forgotten),
		cmocka_unit_test(test_without_workspaces),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
