#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http/client.h"
#include "http/socket.h"
#include "misc/clock.h"
#include "platform/exchange.h"
#include "tools/load.h"

enum {
	DEADLINE_MS = 1000,
	PATIENT_DEADLINE_MS = 8000, /* of patient calls */
	DEADLINE_SLACK_MS = 500,    /* wait this much longer for a response */
	TICK_MS = 1,
};

/* A call in flight; each call has a connection of its own. */
struct call {
	struct load *load;
	struct http_client http;
	struct service_load *service;
	char id[48], key[48];
	int64_t start_us;
	int deadline_ms;
	bool busy;
};

/* Accepts any response head. */
static enum http_match judge(void *priv, const struct http_message *m)
{
	return HTTP_MATCHED;
}

/* Counts a response by its outcome. */
static void count_response(struct call *c, const struct http_message *m)
{
	struct service_load *s = c->service;
	struct lstr id = http_find_header(m, LSTR("X-Request-Id"));
	struct lstr outcome = http_find_header(m, LSTR("X-Outcome"));
	char *body = g_strndup(m->body.ptr, m->body.len);
	bool direct = c->load->args->direct;

	hist_record(&s->hist, (uint64_t)(clock_us() - c->start_us));
	bool whole = m->body.len && m->body.ptr[m->body.len - 1] == '}';
	bool foreign = (!direct && !lstr_eq(id, lstr0(c->id))) ||
		       (m->status == 200 && !c->key[0] && !strstr(body, c->id));

	if (foreign || (m->status == 200 && !whole))
		s->foreign++; /* of another call, or a part: a fault */
	else if (m->status == 200)
		s->done++;
	else if (lstr_eq(outcome, LSTR("not-run")) && m->status >= 500) {
		s->not_run++;
		if (c->key[0])
			g_hash_table_add(s->reported_not_run, g_strdup(c->key));
	} else if (lstr_eq(outcome, LSTR("unknown"))) {
		s->unknown++;
	} else {
		s->refused++;
	}
	g_free(body);
}

/* Frees the slot of a call. */
static void finish_call(struct call *c)
{
	c->service->calls++;
	c->busy = false;
	c->load->in_flight--;
}

/* Handles the response of a call. */
static void on_response(void *priv, struct http_message *m)
{
	struct call *c = priv;

	count_response(c, m);
	http_message_free(m);
	http_client_close(&c->http);
	finish_call(c);
}

/* Handles a call that ended without a response. */
static void on_failed(void *priv, int err, bool sent)
{
	struct call *c = priv;

	/* Bytes that are no response, or the connection was closed. */
	if (sent && err == -EPROTO)
		c->service->foreign++;
	else if (sent && err != -ETIMEDOUT)
		c->service->cut++;
	else
		c->service->refused++;
	finish_call(c);
}

static const struct http_client_ops ops = {
	.match = judge, .response = on_response, .failed = on_failed};

/* Picks a service at random, weighted by its worker slots. */
static struct service_load *pick_service(struct load *l)
{
	int x = g_rand_int_range(l->rand, 0, l->total_weight);

	for (unsigned i = 0; i < l->nservices; i++) {
		x -= l->services[i].weight;
		if (x < 0)
			return &l->services[i];
	}
	return &l->services[l->nservices - 1];
}

/* Writes the request of a call, in the format of the call interface. */
static void write_request(struct call *c, struct buf *b)
{
	const struct service_opts *o = c->service->opts;

	buf_printf(b,
		   "POST /v1/call/%s HTTP/1.1\r\nHost: calls\r\n"
		   "X-Request-Id: %s\r\nX-Tenant: %s\r\nX-Deadline-Ms: %d\r\n",
		   o->name, c->id, o->tenant, c->deadline_ms);
	if (c->load->args->direct)
		exchange_write_attempt_id(b, lstr0(c->id));
	if (c->key[0])
		buf_printf(b, "Idempotency-Key: %s\r\n", c->key);
	buf_add_lstr(b, LSTR("Content-Length: 2\r\n\r\n{}"));
}

/* Returns the address to call: an entry instance or a backend server. */
static int call_addr(struct load *l, const struct service_opts *o,
		     struct sockaddr_in *sa)
{
	char addr[32];

	if (!l->args->direct)
		return socket_parse_addr(l->entries[l->seq % l->nentries], sa);
	deploy_worker_addr(o, g_rand_int_range(l->rand, 0, o->workers), addr,
			   sizeof(addr));
	return socket_parse_addr(addr, sa);
}

/* Chooses whether a call has a long time limit. */
static bool is_patient(struct load *l)
{
	return l->args->patient_pct &&
	       g_rand_int_range(l->rand, 0, 100) < l->args->patient_pct;
}

/* Starts a call to a random service. */
static void start_call(struct load *l, struct call *c)
{
	struct http_limits limits = {.head_max = 65536, .body_max = 1 << 20};
	struct buf b = {0};
	struct sockaddr_in sa;
	double timeout_s;

	c->load = l;
	c->service = pick_service(l);
	c->deadline_ms = is_patient(l) ? PATIENT_DEADLINE_MS : DEADLINE_MS;
	timeout_s = (c->deadline_ms + DEADLINE_SLACK_MS) / 1000.0;
	snprintf(c->id, sizeof(c->id), "L%u-%" PRIx64 "-%" PRIu64,
		 l->args->seed, l->run_id, l->seq);
	c->key[0] = '\0';
	if (c->service->opts->protected_action)
		snprintf(c->key, sizeof(c->key), "K%u-%" PRIx64 "-%" PRIu64,
			 l->args->seed, l->run_id, l->seq);
	c->start_us = clock_us();
	c->busy = true;
	l->in_flight++;
	if (call_addr(l, c->service->opts, &sa) ||
	    http_client_open(&c->http, l->loop, &sa, timeout_s, limits, &ops,
			     c)) {
		c->service->refused++;
		finish_call(c);
		return;
	}
	write_request(c, &b);
	http_client_send(&c->http, buf_lstr(&b), timeout_s, false);
	buf_free(&b);
	l->seq++;
}

/* Starts the calls that are due by the open-loop schedule, in free slots. */
static void on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct load *l = t->data;
	int64_t now = clock_us();
	double gap_us = 1e6 / l->args->rate;

	if (now >= l->end_us) {
		if (l->in_flight == 0)
			ev_break(loop, EVBREAK_ALL);
		return;
	}
	for (int i = 0; i < l->args->concurrency; i++) {
		if ((double)(now - l->start_us) < (double)l->started * gap_us)
			return;
		if (l->calls[i].busy)
			continue;
		l->started++;
		start_call(l, &l->calls[i]);
	}
}

/* load_run() makes calls at the configured rate and for the configured time. */
void load_run(struct load *l)
{
	ev_timer tick;

	l->loop = ev_loop_new(EVFLAG_NOENV);
	l->calls = g_new0(struct call, l->args->concurrency);
	l->start_us = clock_us();
	l->end_us = l->start_us + (int64_t)l->args->seconds * 1000000;
	ev_timer_init(&tick, on_tick, 0, TICK_MS / 1000.0);
	tick.data = l;
	ev_timer_start(l->loop, &tick);
	ev_run(l->loop, 0);
	ev_timer_stop(l->loop, &tick);
	ev_loop_destroy(l->loop);
	g_free(l->calls);
}
