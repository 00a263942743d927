/*
 * Simulated callers: each keeps a connection to one instance until it fails or
 * the instance closes it, and sends requests with keys of workspaces at random
 * times. Some leave before the response; some uploads stop midway. Each request
 * is reported in a line of its own, which tests/workspace_audit.awk compares
 * with what the servers ran.
 *
 * The id of an attempt is KEY.TIME_MS.NUMBER.KIND.LENGTH, so that a server's
 * record of it shows which key and body it was sent with and when.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "http/socket.h"
#include "options/instance.h"
#include "stand/stand.h"

enum {
	TIME_LEFT_MS = 900,
	ANSWER_TIMEOUT_MS = 1500,
	LEAVE_PCT = 3,	/* callers that leave before the response */
	LEAVE_MS = 40,	/* after which they do */
	UPLOAD_PCT = 8, /* of all requests */
	STOP_PCT = 20,	/* uploads that stop midway */
	UPLOAD_MIN_BYTES = 10 * 1000,
	UPLOAD_MAX_BYTES = 360 * 1000,
	HEAD_MAX = 16384,
	BODY_MAX = 65536,
	ID_MAX = 96,
};

struct callers {
	const struct deploy *deploy;
	const struct callers_args *args;
	struct ev_loop *loop;
	GRand *rand;
	GPtrArray *addrs; /* of the instances, "host:port" */
	guint nkeys;
	uint64_t sent;
	unsigned busy;
	bool ended;
	char *body; /* of uploads */
};

struct caller {
	struct callers *all;
	struct http_client http;
	ev_timer next, leave;
	const char *key;
	char id[ID_MAX];
	int64_t sent_ms;
	bool waiting;
};

static int64_t real_ms(void)
{
	return g_get_real_time() / 1000;
}

/* Reports the outcome of a request; status 0: no response. */
static void report(struct caller *c, unsigned status, const char *what)
{
	c->waiting = false;
	c->all->busy--;
	ev_timer_stop(c->all->loop, &c->leave);
	printf("call ms=%" PRId64 " took=%" PRId64 " id=%s key=%s status=%u "
	       "%s\n",
	       c->sent_ms, real_ms() - c->sent_ms, c->id, c->key, status, what);
	if (c->all->ended && !c->all->busy)
		ev_break(c->all->loop, EVBREAK_ALL);
}

/* A response for another request is reported, not skipped. */
static enum http_match match(void *priv, const struct http_message *m)
{
	return HTTP_MATCHED;
}

/* Whether a successful response is the server's own and for this request. */
static bool is_own(const struct caller *c, const struct http_message *m)
{
	struct lstr body = buf_lstr(&m->body);
	struct lstr id = {c->id, strlen(c->id)};

	return http_find_header(m, LSTR("Response-Seal")).ptr &&
	       lstr_eq(http_find_header(m, LSTR("Attempt-Id")), id) &&
	       memmem(body.ptr, body.len, id.ptr, id.len);
}

static void on_response(void *priv, struct http_message *m)
{
	struct caller *c = priv;

	report(c, m->status,
	       m->status / 100 == 2 && !is_own(c, m) ? "foreign" : "own");
	http_message_free(m);
	if (!c->http.reusable)
		http_client_close(&c->http);
}

static void on_failed(void *priv, int err, bool sent)
{
	struct caller *c = priv;

	if (c->waiting)
		report(c, 0, sent ? "cut" : "unsent");
}

static const struct http_client_ops client_ops = {
	.match = match, .response = on_response, .failed = on_failed};

/* The caller leaves: it closes its connection without a response. */
static void on_leave(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct caller *c = t->data;

	http_client_close(&c->http);
	report(c, 0, "left");
}

static bool chance(struct callers *all, int pct)
{
	return g_rand_int_range(all->rand, 0, 100) < pct;
}

/* Connects to a random instance, unless the caller is connected. */
static int connect_caller(struct caller *c)
{
	struct callers *all = c->all;
	struct http_limits limits = {HEAD_MAX, BODY_MAX};
	struct sockaddr_in sa;
	guint i = (guint)g_rand_int_range(all->rand, 0, (int)all->addrs->len);

	if (c->http.state == CLIENT_IDLE)
		return 0;
	http_client_close(&c->http);
	if (socket_parse_addr(all->addrs->pdata[i], &sa))
		return -EINVAL;
	return http_client_open(&c->http, all->loop, &sa,
				ANSWER_TIMEOUT_MS / 1000.0, limits, &client_ops,
				c);
}

/* Writes a request; `stops`: only half of its body. */
static void write_request(struct caller *c, const char *host, size_t body_len,
			  bool stops, struct buf *out)
{
	buf_printf(out,
		   "POST /work/x HTTP/1.1\r\nHost: %s.example\r\n"
		   "Attempt-Id: %s\r\nApi-Key: %s\r\nTenant-Name: forged\r\n"
		   "Deadline-Remaining-Ms: %d\r\nContent-Length: %zu\r\n\r\n",
		   host, c->id, c->key, TIME_LEFT_MS, body_len);
	buf_add(out, c->all->body, stops ? body_len / 2 : body_len);
}

/* Sends one request. */
static void send_request(struct caller *c)
{
	struct callers *all = c->all;
	GPtrArray *services = all->deploy->services;
	const struct service_opts *s = services->pdata[g_rand_int_range(
		all->rand, 0, (int)services->len)];
	bool upload = chance(all, UPLOAD_PCT);
	bool stops = upload && chance(all, STOP_PCT);
	size_t len =
		upload ? (size_t)g_rand_int_range(all->rand, UPLOAD_MIN_BYTES,
						  UPLOAD_MAX_BYTES)
		       : 2;
	struct buf bytes = {0};

	if (connect_caller(c))
		return;
	c->key =
		all->args
			->keys[g_rand_int_range(all->rand, 0, (int)all->nkeys)];
	c->sent_ms = real_ms();
	snprintf(c->id, sizeof(c->id), "%s.%" PRId64 ".%u-%" PRIu64 ".%s.%zu",
		 c->key, c->sent_ms, all->args->seed, all->sent++,
		 upload		       ? "upload"
		 : s->protected_action ? "once"
				       : "any",
		 len);
	write_request(c, upload ? "uploads" : s->name, len, stops, &bytes);
	c->waiting = true;
	all->busy++;
	http_client_send(&c->http, buf_lstr(&bytes), ANSWER_TIMEOUT_MS / 1000.0,
			 false);
	buf_free(&bytes);
	if (!stops && !chance(all, LEAVE_PCT))
		return;
	ev_timer_set(&c->leave, LEAVE_MS / 1000.0, 0);
	ev_timer_start(all->loop, &c->leave);
}

/* Sends the next request, if the last one has ended, and waits again. */
static void on_next(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct caller *c = t->data;
	struct callers *all = c->all;
	double mean_s = (double)all->args->connections / all->args->rate;

	if (all->ended)
		return;
	if (!c->waiting)
		send_request(c);
	ev_timer_set(t, mean_s * 2 * g_rand_double(all->rand), 0);
	ev_timer_start(loop, t);
}

static void on_end(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct callers *all = t->data;

	all->ended = true;
	if (!all->busy)
		ev_break(loop, EVBREAK_ALL);
}

/* Collects the addresses at which the instances take requests. */
static void add_addresses(struct callers *all)
{
	all->addrs = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < all->deploy->entries->len; i++) {
		const struct entry_opts *e = all->deploy->entries->pdata[i];
		struct instance_settings s;

		if (instance_settings_from_deploy(all->deploy, e->name, &s) ==
		    0)
			g_ptr_array_add(all->addrs, g_strdup(s.callers));
	}
}

static void start_caller(struct callers *all, struct caller *c)
{
	c->all = all;
	ev_init(&c->leave, on_leave);
	c->leave.data = c;
	ev_timer_init(&c->next, on_next, g_rand_double(all->rand), 0);
	c->next.data = c;
	ev_timer_start(all->loop, &c->next);
}

/*
 * stand_callers_main() sends requests for some seconds and reports them on
 * standard output. Returns 0 or a negative errno.
 */
int stand_callers_main(const struct deploy *d, const struct callers_args *a)
{
	struct callers all = {.deploy = d,
			      .args = a,
			      .loop = ev_default_loop(EVFLAG_NOENV),
			      .rand = g_rand_new_with_seed(a->seed),
			      .nkeys = g_strv_length(a->keys)};
	struct caller *list;
	ev_timer end;

	add_addresses(&all);
	if (!all.addrs->len)
		return -ENOENT;
	all.body = g_malloc0(UPLOAD_MAX_BYTES);
	list = g_new0(struct caller, a->connections);
	for (int i = 0; i < a->connections; i++)
		start_caller(&all, &list[i]);
	ev_timer_init(&end, on_end, a->seconds, 0);
	end.data = &all;
	ev_timer_start(all.loop, &end);
	ev_run(all.loop, 0);
	for (int i = 0; i < a->connections; i++)
		http_client_close(&list[i].http);
	g_ptr_array_unref(all.addrs);
	g_rand_free(all.rand);
	g_free(all.body);
	g_free(list);
	return 0;
}
