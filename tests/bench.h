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
	SCRIPT_REFUSE,		   /* responds "not executed" */
	SCRIPT_RUN_RESET,	   /* executes and resets the connection */
	SCRIPT_RUN_CUT,		   /* executes and truncates the response */
	SCRIPT_RUN_GARBAGE,	   /* executes and sends invalid bytes */
	SCRIPT_RUN_ERROR,	   /* executes and responds 500 */
	SCRIPT_HANG,		   /* never responds */
	SCRIPT_TWICE,		   /* sends the response twice */
	SCRIPT_TWICE_LATE,	   /* sends it again some ms later */
	SCRIPT_UNSEALED,	   /* responds without the receipt */
	SCRIPT_REFUSE_LATE,	   /* responds "not executed" after work_ms */
	SCRIPT_COUNT,		   /* number of randomly chosen scripts */
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

/* Responds "not executed". */
static inline void server_refuse(struct server *s, struct http_conn *c)
{
	char headers[256];

	snprintf(headers, sizeof(headers), "Not-Executed: 1\r\n%s",
		 s->extra_headers ? s->extra_headers : "");
	http_conn_reply(c, &(struct http_reply){.status = 503,
						.headers = lstr0(headers)});
}

/* Bytes sent some time after a response, whatever happens to its connection. */
struct delayed_bytes {
	ev_timer timer;
	int fd;
	struct buf bytes;
};

static inline void on_delayed_bytes(struct ev_loop *loop, ev_timer *t,
				    int revents)
{
	struct delayed_bytes *l = t->data;

	ev_timer_stop(loop, t);
	(void)!send(l->fd, l->bytes.ptr, l->bytes.len, MSG_NOSIGNAL);
	close(l->fd);
	buf_free(&l->bytes);
	g_free(l);
}

static inline void send_delayed(struct bench *b, int fd, struct lstr bytes,
				int ms)
{
	struct delayed_bytes *l = g_new0(struct delayed_bytes, 1);

	l->fd = dup(fd);
	buf_add_lstr(&l->bytes, bytes);
	ev_timer_init(&l->timer, on_delayed_bytes, ms / 1000.0, 0);
	l->timer.data = l;
	ev_timer_start(b->loop, &l->timer);
}

static inline void job_reply(struct job *j)
{
	struct server *s = j->server;
	char text[512], body[64], load[64] = "", limit[64] = "";
	struct http_conn *c = j->conn;
	int n, copies = s->script == SCRIPT_TWICE ? 2 : 1;
	bool error = s->script == SCRIPT_RUN_ERROR;

	snprintf(body, sizeof(body), "body of %s", j->id);
	if (s->reports_load)
		snprintf(load, sizeof(load), "Server-Load: %u,0,2,100\r\n",
			 s->busy_slots + s->running);
	if (s->limit)
		snprintf(limit, sizeof(limit), "Server-Limit: %s\r\n",
			 s->limit);
	n = snprintf(text, sizeof(text),
		     "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\n%s%s%s%s"
		     "Content-Length: %zu\r\n\r\n%s",
		     error ? 500 : 200, j->id,
		     s->script == SCRIPT_UNSEALED ? ""
						  : "Response-Seal: x.1\r\n",
		     load, limit, s->extra_headers ? s->extra_headers : "",
		     strlen(body), body);
	http_conn_set_user(c, NULL);
	if (s->script == SCRIPT_END) {
		s->dead = true;
		http_server_close(&s->http);
		return;
	}
	if (j->refuse)
		server_refuse(s, c);
	else if (s->script == SCRIPT_RUN_RESET)
		http_conn_abort(c);
	else if (s->script == SCRIPT_RUN_CUT)
		http_conn_reply_raw(c, (struct lstr){text, (size_t)n - 3},
				    true);
	else if (s->script == SCRIPT_RUN_GARBAGE)
		http_conn_reply_raw(c, LSTR("\x01\x02 no answer\r\n\r\n"),
				    true);
	else {
		struct buf b = {0};

		for (int i = 0; i < copies; i++)
			buf_add(&b, text, (size_t)n);
		if (s->script == SCRIPT_TWICE_LATE)
			send_delayed(s->bench, c->fd,
				     (struct lstr){text, (size_t)n}, 3);
		if (s->tail && s->tail_ms)
			send_delayed(s->bench, c->fd, lstr0(s->tail),
				     s->tail_ms);
		else if (s->tail)
			buf_add_lstr(&b, lstr0(s->tail));
		http_conn_reply_raw(c, buf_lstr(&b), false);
		buf_free(&b);
	}
}

static inline void on_job_done(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct job *j = t->data;

	ev_timer_stop(loop, t);
	j->server->running--;
	job_reply(j);
	g_free(j);
}

static inline void server_connection_closed(void *priv, struct http_conn *c)
{
	struct server *s = priv;
	struct job *j = http_conn_user(c);

	if (!j)
		return;
	ev_timer_stop(s->bench->loop, &j->timer);
	s->running--;
	g_free(j);
}

static inline void server_answer_probe(struct server *s, struct http_conn *c)
{
	char headers[256];

	s->probes++;
	if (s->reset_probes) {
		http_conn_abort(c);
		return;
	}
	snprintf(headers, sizeof(headers), "Instance-Id: %s\r\n", s->id);
	if (s->reports_load && !s->unhealthy)
		snprintf(headers + strlen(headers), 80,
			 "Server-Load: %u,0,2,100\r\n",
			 s->busy_slots + s->running);
	if (s->probe_headers)
		strcat(headers, s->probe_headers);
	http_conn_reply(c,
			&(struct http_reply){.status = s->unhealthy ? 503 : 200,
					     .headers = lstr0(headers)});
}

static inline void server_request(void *priv, struct http_conn *c,
				  struct http_message *m)
{
	struct server *s = priv;
	struct lstr id = http_find_header(m, LSTR("Attempt-Id"));
	struct lstr wanted_id = http_find_header(m, LSTR("Target-Instance"));
	bool health = lstr_eq(m->target, LSTR("/health"));
	struct job *j;

	if (health) {
		http_message_free(m);
		server_answer_probe(s, c);
		return;
	}
	s->received++;
	for (size_t i = 0; i < m->nheaders; i++)
		buf_printf(&s->heads, "%s: %s\n", m->headers[i].name.ptr,
			   m->headers[i].value.ptr);
	if (s->http.nconns > s->connections)
		s->connections = s->http.nconns;
	if (s->script == SCRIPT_REFUSE || !lstr_eq(wanted_id, lstr0(s->id))) {
		http_message_free(m);
		server_refuse(s, c);
		return;
	}
	j = g_new0(struct job, 1);
	j->server = s;
	j->conn = c;
	g_snprintf(j->id, sizeof(j->id), "%.*s", (int)id.len, id.ptr);
	http_message_free(m);
	if (s->script != SCRIPT_REFUSE_LATE)
		g_hash_table_replace(
			s->bench->executions, g_strdup(j->id),
			GINT_TO_POINTER(1 +
					GPOINTER_TO_INT(g_hash_table_lookup(
						s->bench->executions, j->id))));
	j->refuse = s->script == SCRIPT_REFUSE_LATE;
	s->running++;
	http_conn_set_user(c, j);
	ev_timer_init(&j->timer, on_job_done, s->work_ms / 1000.0, 0);
	j->timer.data = j;
	if (s->script != SCRIPT_HANG)
		ev_timer_start(s->bench->loop, &j->timer);
}

static const struct http_server_ops server_ops = {server_request,
						  server_connection_closed};

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

/* Creates a bench with n healthy servers. */
static inline struct bench *bench_new(int n)
{
	struct bench *b = g_new0(struct bench, 1);
	struct instance_settings *s = &b->settings;

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
}

#endif
