/*
 * Tests of requests with keys, from the caller's connection to the server:
 * workspaces are identified anew for each request, and no key leaves the
 * instance.
 */
#include "tests/unit.h"

#include <glib.h>

#include "misc/clock.h"
#include "tests/bench.h"
#include "traffic/metrics.h"

enum { STEPS_MAX = 2000 };

static struct workspace first[2] = {{.name = LSTR("one")},
				    {.name = LSTR("two")}};
static GString *logged; /* fields of all log events */

/* Collects all fields of a log event. */
static GLogWriterOutput collect(GLogLevelFlags level, const GLogField *fields,
				gsize n, gpointer data)
{
	for (gsize i = 0; i < n; i++) {
		if (fields[i].length < 0)
			g_string_append_printf(logged, "%s\n",
					       (const char *)fields[i].value);
		else
			g_string_append_len(logged, fields[i].value,
					    fields[i].length);
	}
	return G_LOG_WRITER_HANDLED;
}

/* Puts a version into force in which `key` belongs to a workspace. */
static void set_key(struct bench *b, const char *key, struct workspace *owner)
{
	struct config *c = bench_config();

	workspaces_init(&c->workspaces, first, 2);
	if (key)
		workspaces_add_key(&c->workspaces, owner, lstr0(key));
	c->version = b->traffic.config->version + 1;
	config_unref(b->traffic.config);
	b->traffic.config = c;
}

/* A caller that keeps its connection. */
struct kept {
	struct bench *bench;
	int fd;
	unsigned ids;
};

static void kept_open(struct kept *k, struct bench *b)
{
	struct sockaddr_in sa;

	*k = (struct kept){.bench = b};
	k->fd = socket(AF_INET, SOCK_STREAM, 0);
	socket_parse_addr(b->settings.callers, &sa);
	assert_int_equal(connect(k->fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
}

static void kept_send(struct kept *k, const char *path, const char *headers)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "GET %s HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: k-%u\r\n"
		 "%s\r\n",
		 path, k->ids++, headers);
	assert_int_equal(send(k->fd, text, strlen(text), 0), strlen(text));
}

/* Returns the status of the next response; its text must not have a key. */
static int kept_receive(struct kept *k)
{
	char text[4096] = "";
	ssize_t n = -1;

	for (int i = 0; i < STEPS_MAX && n <= 0; i++) {
		bench_run_ms(k->bench, 1);
		n = recv(k->fd, text, sizeof(text) - 1, MSG_DONTWAIT);
	}
	assert_true(n > 12);
	assert_null(strstr(text, "secret"));
	return atoi(text + strlen("HTTP/1.1 "));
}

static int kept_call(struct kept *k, const char *path, const char *headers)
{
	kept_send(k, path, headers);
	return kept_receive(k);
}

/* Each request of a kept connection is handled by the version then in force. */
static void test_kept_connection(void **state)
{
	struct bench *b = bench_new(1);
	struct buf *heads = &b->servers[0].heads;
	struct kept k;

	set_key(b, "secret-1", &first[0]);
	kept_open(&k, b);
	assert_int_equal(kept_call(&k, "/GET/x", "Api-Key: secret-1\r\n"), 200);
	assert_int_equal(kept_call(&k, "/GET/x", "Api-Key: secret-2\r\n"), 401);
	set_key(b, "secret-2", &first[0]);
	assert_int_equal(kept_call(&k, "/GET/x", "Api-Key: secret-1\r\n"), 401);
	assert_int_equal(kept_call(&k, "/GET/x", "Api-Key: secret-2\r\n"), 200);
	/* The key moves. */
	heads->len = 0;
	set_key(b, "secret-2", &first[1]);
	assert_int_equal(kept_call(&k, "/GET/x", "Api-Key: secret-2\r\n"), 200);
	buf_add(heads, "", 1);
	assert_non_null(strstr(heads->ptr, "Tenant-Name: two\n"));
	/* The last key goes. */
	set_key(b, NULL, NULL);
	assert_int_equal(kept_call(&k, "/GET/x", "Api-Key: secret-2\r\n"), 401);
	assert_int_equal(kept_call(&k, "/GET/x", ""), 401);
	/* While the configuration may be old, no refusal is final. */
	b->view.config_ms -= 60000;
	assert_int_equal(kept_call(&k, "/GET/x", "Api-Key: secret-2\r\n"), 503);
	assert_int_equal(kept_call(&k, "/none/", "Api-Key: secret-2\r\n"), 503);
	close(k.fd);
	bench_free(b);
}

/* A request that runs while its key is dropped, or its route, ends as usual. */
static void test_key_dropped_meanwhile(void **state)
{
	struct bench *b = bench_new(1);
	struct kept k;

	b->servers[0].work_ms = 60;
	set_key(b, "secret-1", &first[0]);
	kept_open(&k, b);
	kept_send(&k, "/GET/x", "Api-Key: secret-1\r\n");
	bench_run_ms(b, 20);
	assert_int_equal(b->servers[0].running, 1);
	set_key(b, NULL, NULL);
	assert_int_equal(kept_receive(&k), 200);
	assert_int_equal(kept_call(&k, "/GET/x", "Api-Key: secret-1\r\n"), 401);
	assert_int_equal(b->servers[0].received, 1);
	close(k.fd);
	bench_free(b);
}

/* A key is in no log event, metric, response or request to a server. */
static void test_keys_stay_secret(void **state)
{
	static const struct {
		const char *path, *headers;
		int status;
	} calls[] = {
		{"/GET/x", "Api-Key: secret-1\r\n", 200},
		{"/POST/x", "api-KEY:secret-1\r\nTENANT-NAME: forged\r\n", 200},
		{"/GET/x", "Api-Key: secret-1\r\nConnection: Api-Key\r\n", 200},
		{"/GET/x", "Api-Key: secret-9\r\n", 401},
		{"/GET/x", "Api-Key: secret-1\r\nApi-Key: secret-1\r\n", 401},
		{"/none/", "Api-Key: secret-1\r\n", 404},
	};
	struct bench *b = bench_new(1);
	struct buf metrics = {0};
	struct kept k;

	set_key(b, "secret-1", &first[0]);
	kept_open(&k, b);
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++)
		assert_int_equal(kept_call(&k, calls[i].path, calls[i].headers),
				 calls[i].status);
	metrics_write(&metrics, &b->traffic);
	buf_add(&metrics, "", 1);
	buf_add(&b->servers[0].heads, "", 1);
	assert_null(strstr(metrics.ptr, "secret"));
	assert_null(strstr(b->servers[0].heads.ptr, "secret"));
	assert_null(strstr(b->servers[0].heads.ptr, "forged"));
	assert_non_null(strstr(b->servers[0].heads.ptr, "Tenant-Name: one\n"));
	/* The log has the refusals, without keys. */
	assert_non_null(strstr(logged->str, "key=unknown"));
	assert_non_null(strstr(logged->str, "key=repeated"));
	assert_null(strstr(logged->str, "secret"));
	buf_free(&metrics);
	close(k.fd);
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_kept_connection),
		cmocka_unit_test(test_key_dropped_meanwhile),
		cmocka_unit_test(test_keys_stay_secret),
	};

	logged = g_string_new(NULL);
	g_log_set_writer_func(collect, NULL, NULL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
