/*
 * Test bench: the traffic thread's code with callers and scripted backend
 * servers, all on loopback and on one event loop.
 */
#ifndef MP_TESTS_BENCH_H
#define MP_TESTS_BENCH_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client.h"
#include "http/conn.h"
#include "http/server.h"
#include "http/socket.h"
#include "misc/clock.h"
#include "traffic/traffic.h"

enum {
	BENCH_SERVERS = 8,
	BENCH_PORT = 17300, /* first server port; the traffic ports follow */
	BENCH_TIMEOUT_MS = 600,
	BENCH_TARGET_MS = 200,
	BENCH_WORK_MS = 5,
};

enum script {
	SCRIPT_SERVE,
	SCRIPT_REFUSE,	    /* responds "not executed" */
	SCRIPT_RUN_RESET,   /* executes and resets the connection */
	SCRIPT_RUN_CUT,	    /* executes and truncates the response */
	SCRIPT_RUN_GARBAGE, /* executes and sends invalid bytes */
	SCRIPT_RUN_ERROR,   /* executes and responds 500 */
	SCRIPT_HANG,	    /* never responds */
	SCRIPT_TWICE,	    /* sends the response twice */
	SCRIPT_TWICE_LATE,  /* sends it again some ms later */
	SCRIPT_UNSEALED,    /* responds without the receipt */
	SCRIPT_REFUSE_LATE, /* responds "not executed" after work_ms */
	SCRIPT_UNFRAMED,    /* a response that ends with its connection */
	SCRIPT_COUNT,	    /* number of randomly chosen scripts */
	SCRIPT_END = SCRIPT_COUNT, /* the process exits during the request */
};

struct bench;

struct server {
	struct bench *bench;
	struct http_server http;
	char id[BACKEND_NAME_MAX];
	enum script script;
	int work_ms;
	unsigned busy_slots; /* reported as used by other instances */
	unsigned running, received, connections;
	bool reports_load, dead;
	bool reset_probes; /* reset connections of probes, as a relay may */
	bool unhealthy;	   /* respond 503 to probes, without a load */
	const char *limit; /* Server-Limit of responses, or NULL */
	const char *extra_headers; /* further lines of responses, or NULL */
	const char *tail;	   /* bytes after each response, or NULL */
	int tail_ms;		   /* their delay; 0: sent with the response */
	int pause_ms;	 /* between the halves of a body without a length */
	bool breaks_off; /* resets the connection in place of the second half */
	const char *probe_headers; /* further lines of probe responses */
	unsigned probes;	   /* probes received */
	struct buf heads;	   /* headers of all requests received */
};

/* A request being executed by a server. */
struct job {
	struct server *server;
	struct http_conn *conn;
	char id[32];
	ev_timer timer;
	bool refuse; /* not executed: respond so when done */
};

struct caller {
	struct bench *bench;
	struct http_client http;
	char id[32];
	const char *method;
	unsigned status;
	double retry_after;
	char body[64];
	bool open, disconnected;
};

struct bench {
	struct ev_loop *loop;
	struct instance_settings settings;
	struct traffic traffic;
	struct mailbox control; /* never read: messages stay queued */
	struct control_view view;
	struct server servers[BENCH_SERVERS];
	int n;
	GHashTable *executions; /* request id -> number of executions */
	GPtrArray *callers;
	unsigned ids;
	const char *call_headers; /* further lines of callers, or NULL */
	struct caller *until;
};

#include "tests/bench_servers.h"

static inline struct config *bench_config(void)
{
	static const char *const methods[] = {"GET", "POST"};
	struct config *c = config_new();
	struct findings f;

	c->version = 1;
	c->nservices = 1;
	c->services = arena_alloc(&c->arena, sizeof(*c->services));
	c->services[0].name = LSTR("harta");
	c->services[0].health_path = LSTR("/health");
	c->nroutes = 2;
	c->routes = arena_alloc(&c->arena, 2 * sizeof(*c->routes));
	for (int i = 0; i < 2; i++) {
		struct route *r = &c->routes[i];

		r->name = lstr0(methods[i]);
		r->host = LSTR("one.example");
		r->path_prefix = i ? LSTR("/POST/") : LSTR("/GET/");
		r->idempotent = i == 0;
		r->timeout_ms = BENCH_TIMEOUT_MS;
		r->target_ms = BENCH_TARGET_MS;
		r->max_attempts = 2;
		r->nsplits = 1;
		r->splits = arena_alloc(&c->arena, sizeof(*r->splits));
		r->splits[0] = (struct route_split){LSTR("harta"), 1};
	}
	findings_init(&f);
	if (config_finalize(c, &f))
		abort();
	findings_clear(&f);
	return c;
}

static inline void bench_put(struct bench *b, int i, bool draining)
{
	struct backend_entry e = {.slots = 2, .draining = draining};
	char addr[32];

	snprintf(addr, sizeof(addr), "127.0.0.1:%d", BENCH_PORT + i);
	socket_parse_addr(addr, &e.addr);
	snprintf(e.id, sizeof(e.id), "i-%d", i);
	strcpy(e.service, "harta");
	strcpy(e.dc, "dc-1");
	backend_set_put(&b->traffic.backends, &e, clock_ms());
}

static inline void server_open(struct bench *b, int i)
{
	struct server *s = &b->servers[i];
	char addr[32];

	s->bench = b;
	snprintf(s->id, sizeof(s->id), "i-%d", i);
	s->work_ms = BENCH_WORK_MS;
	s->reports_load = true;
	s->http.head_timeout_s = s->http.idle_timeout_s = 10;
	snprintf(addr, sizeof(addr), "127.0.0.1:%d", BENCH_PORT + i);
	if (http_server_open(&s->http, b->loop, addr, &server_ops, s))
		abort();
	bench_put(b, i, false);
}

static inline char *bench_addr(int i)
{
	return g_strdup_printf("127.0.0.1:%d", BENCH_PORT + 50 + i);
}

static inline void ignore_mail(void *priv, struct mailbox_msg *m)
{
}

/* The bench of the current test; a failed test leaves it open. */
static struct bench *bench_current;

static inline void bench_free(struct bench *b);

/* Creates a bench with n healthy servers. */
static inline struct bench *bench_new(int n)
{
	struct bench *b = g_new0(struct bench, 1);
	struct instance_settings *s = &b->settings;

	if (bench_current)
		bench_free(bench_current);
	bench_current = b;
	s->name = "e1";
	s->dc = "dc-1";
	s->callers = bench_addr(0);
	s->ready = bench_addr(1);
	s->directory = bench_addr(2);
	s->metrics = bench_addr(3);
	s->tunnels = bench_addr(4);
	s->peers = bench_addr(5);
	s->policy = mechanisms;
	s->bounds = (struct bounds){.grace_s = 6,
				    /* Ten extra sends a request at once. */
				    .retry_ratio = 30,
				    .retry_slack = 200,
				    .retry_window_s = 10,
				    .questions_per_s = 1000};
	b->view.fresh_ms = clock_ms();
	b->view.config_ms = clock_ms();
	if (traffic_init(&b->traffic, s, NULL, &b->view, &b->control))
		abort();
	b->loop = b->traffic.loop;
	b->traffic.probe_rate.instances = 1;
	b->traffic.config = bench_config();
	b->executions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->callers = g_ptr_array_new();
	b->n = n;
	for (int i = 0; i < n; i++)
		server_open(b, i);
	return b;
}

static inline void on_bench_timer(struct ev_loop *loop, ev_timer *t, int ev)
{
	ev_break(loop, EVBREAK_ALL);
}

/* Runs the event loop for some milliseconds. */
static inline void bench_run_ms(struct bench *b, int ms)
{
	ev_timer t;

	ev_now_update(b->loop);
	ev_timer_init(&t, on_bench_timer, ms / 1000.0, 0);
	ev_timer_start(b->loop, &t);
	ev_run(b->loop, 0);
	ev_timer_stop(b->loop, &t);
}

/* Runs the event loop until a caller has its response, at most 2000 steps. */
static inline void bench_run_until(struct bench *b, struct caller *c)
{
	for (int i = 0; i < 2000 && c->open; i++)
		bench_run_ms(b, 1);
}

#include "tests/bench_callers.h"

static inline unsigned bench_runs(const struct bench *b, const struct caller *c)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(b->executions, c->id));
}

static inline void bench_script(struct bench *b, int i, enum script script)
{
	b->servers[i].script = script;
}

static inline void bench_drain(struct bench *b, int i)
{
	bench_put(b, i, true);
}

/* Announces a restart of server i under the same id. */
static inline void bench_restart(struct bench *b, int i,
				 uint64_t server_start_ms)
{
	struct backend *known = g_hash_table_lookup(b->traffic.backends.by_id,
						    b->servers[i].id);
	struct backend_entry e = known->entry;

	e.server_start_ms = server_start_ms;
	e.sequence = 0;
	backend_set_put(&b->traffic.backends, &e, clock_ms());
}

static inline void bench_kill(struct bench *b, int i)
{
	b->servers[i].dead = true;
	http_server_close(&b->servers[i].http);
}

static inline void bench_free(struct bench *b)
{
	for (guint i = 0; i < b->callers->len; i++) {
		struct caller *c = b->callers->pdata[i];

		http_client_close(&c->http);
	}
	bench_run_ms(b, 20);
	for (int i = 0; i < b->n; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-%d", i);
		backend_set_remove(&b->traffic.backends, id);
	}
	bench_run_ms(b, 100);
	for (int i = 0; i < b->n; i++) {
		buf_free(&b->servers[i].heads);
		if (!b->servers[i].dead)
			http_server_close(&b->servers[i].http);
	}
	http_server_close(&b->traffic.caller_server);
	http_server_close(&b->traffic.readiness_server);
	http_server_close(&b->traffic.directory_server);
	http_server_close(&b->traffic.metrics_server);
	http_server_close(&b->traffic.tunnel_server);
	ev_loop_destroy(b->loop);
	g_ptr_array_unref(b->callers);
	g_hash_table_unref(b->executions);
	g_free(b);
	bench_current = NULL;
}

#endif
