/*
 * Simulated backend server, over the published protocol: it registers in the
 * store, runs requests on its slots, reports its load, rejects requests or
 * hangs when it is full, responds with 421 to requests for another start of the
 * server, and drains on SIGTERM. A request whose path or body contains the
 * service's fatal_word crashes the process. POST /stand/faults injects faults,
 * see stand/faults.h.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/event.h"
#include "http/socket.h"
#include "misc/clock.h"
#include "stand/query.h"
#include "stand/server.h"
#include "stand/unframed.h"

enum {
	DRAIN_MS = 5000,       /* time from SIGTERM to the stop, at least */
	LEAVE_GRACE_MS = 3000, /* requests after this count as late */
	HEAD_MAX = 16384,
	BODY_MAX = 1 << 20,
	FATAL_DELAY_MS = 40, /* run time of a fatal request before the crash */
	EXIT_FATAL = 70,
	LONG_WORK_MS = 3000,
};

/* The users' rules for servers with a limit, and for cold ones. */
static const struct limit_check_rule limit_rule_of_servers = {
	.factor = 1.5, .slack = 5, .window_ms = 4000, .grace_ms = 3000};
static const struct limit_check_rule cold_rule = {
	.factor = 1.5, .slack = 8, .window_ms = 1000};

/* Whether a fault with this chance per request occurs now. */
static bool fault_occurs(struct server *s, int pct)
{
	return pct && g_rand_int_range(s->work.rand, 0, 100) < pct;
}

/* Sends a response; closes the connection after it if the server drains. */
static void reply(struct server *s, struct http_conn *c, unsigned status,
		  const struct buf *headers, struct lstr body)
{
	http_conn_reply(c,
			&(struct http_reply){.status = status,
					     .headers = buf_lstr(headers),
					     .body = body,
					     .close = s->drain_start_ms != 0});
}

/* Rejects a request, with the header that guarantees that it did not run. */
static void reply_not_run(struct server *s, struct http_conn *c,
			  const struct http_message *m, unsigned status)
{
	struct buf h = {0};

	buf_printf(&h, "Not-Executed: 1\r\nInstance-Id: %s\r\n", s->id);
	server_add_load(s, &h);
	server_add_limit(s, &h);
	server_add_draining(s, server_sender(m), &h);
	if (status == 503)
		server_add_backoff(s, server_sender(m), &h);
	reply(s, c, status, &h, LSTR(""));
	buf_free(&h);
}

/* Frees a job and its request. */
static void job_free(struct job *j)
{
	ev_timer_stop(j->server->loop, &j->timer);
	http_message_free(j->message);
	g_free(j);
}

/* Writes headers and body of the response to a request that ran. */
static void write_response(struct job *j, struct buf *headers, struct buf *body)
{
	struct server *s = j->server;
	struct lstr id = http_find_header(j->message, LSTR("Attempt-Id"));

	buf_printf(headers, "Attempt-Id: %.*s\r\nResponse-Seal: stand.%.*s\r\n",
		   (int)id.len, id.ptr, (int)id.len, id.ptr);
	server_add_load(s, headers);
	server_add_limit(s, headers);
	server_add_draining(s, server_sender(j->message), headers);
	for (int i = 0; i < s->faults.body_kb; i++)
		buf_printf(body, "%1000d", i);
	buf_printf(body,
		   "{\"req\":\"%.*s\",\"backend\":\"%s\","
		   "\"service\":\"%s\"}",
		   (int)id.len, id.ptr, s->id, s->service->name);
}

/* Sends the response, unless a fault loses, truncates or duplicates it. */
static void job_respond(struct job *j)
{
	struct server *s = j->server;
	struct http_conn *c = j->conn;
	struct buf headers = {0}, body = {0}, raw = {0};

	write_response(j, &headers, &body);
	http_conn_set_user(c, NULL);
	buf_printf(&raw, "HTTP/1.1 200 OK\r\n%.*sContent-Length: %zu\r\n\r\n",
		   (int)headers.len, headers.ptr, body.len);
	buf_add_lstr(&raw, buf_lstr(&body));
	if (fault_occurs(s, s->faults.lost_pct)) {
		http_conn_abort(c);
	} else if (fault_occurs(s, s->faults.cut_pct)) {
		raw.len -= body.len / 2;
		http_conn_reply_raw(c, buf_lstr(&raw), true);
	} else if (fault_occurs(s, s->faults.extra_pct)) {
		size_t n = raw.len;

		buf_reserve(&raw, n);
		buf_add(&raw, raw.ptr, n);
		http_conn_reply_raw(c, buf_lstr(&raw), false);
	} else if (fault_occurs(s, s->faults.unframed_pct)) {
		unframed_reply(c, s->loop, buf_lstr(&headers), buf_lstr(&body));
	} else if (fault_occurs(s, s->faults.bad_head_pct)) {
		bad_head_reply(c, g_rand_int(s->work.rand), buf_lstr(&headers),
			       buf_lstr(&body));
	} else if (s->faults.chunked) {
		chunked_reply(c, buf_lstr(&headers), buf_lstr(&body));
	} else {
		reply(s, c, 200, &headers, buf_lstr(&body));
	}
	buf_free(&headers);
	buf_free(&body);
	buf_free(&raw);
}

static void job_run(struct job *j);

/* Ends a job, sends its response and starts the next one in the queue. */
static void job_end(struct job *j)
{
	struct job *next = work_finish(&j->server->work);

	if (j->conn)
		job_respond(j);
	job_free(j);
	if (next)
		job_run(next);
}

/* The run time of a job has passed. */
static void on_work_done(struct ev_loop *loop, ev_timer *t, int revents)
{
	job_end(t->data);
}

/* Exits at once, as in a crash. */
static void on_fatal_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct job *j = t->data;

	mp_event(EV_STOPPED, G_LOG_LEVEL_CRITICAL, "backend %s ends under %.*s",
		 j->server->id, (int)j->message->target.len,
		 j->message->target.ptr);
	_exit(EXIT_FATAL);
}

/* Whether the text contains a word that isn't empty. */
static bool contains(struct lstr text, const char *word)
{
	return *word && text.len &&
	       memmem(text.ptr, text.len, word, strlen(word)) != NULL;
}

/* Whether a request crashes the server. */
static bool is_fatal(const struct job *j)
{
	const char *word = j->server->service->fatal_word;

	return contains(j->message->target, word) ||
	       contains(buf_lstr(&j->message->body), word);
}

/* Runs a job for a random time. */
static void job_run(struct job *j)
{
	struct server *s = j->server;
	struct lstr key = http_find_header(j->message, LSTR("Idempotency-Key"));
	double ms = work_duration_ms(&s->work, clock_ms());
	char *key_text;

	if (fault_occurs(s, s->faults.long_pct))
		ms += LONG_WORK_MS;

	if (!key.ptr)
		key = http_find_header(j->message, LSTR("Attempt-Id"));
	key_text = g_strndup(key.ptr, key.len);
	work_record_run(&s->work, key_text);
	g_free(key_text);
	server_log_run(j->message);
	j->waiting = false;
	ev_timer_init(&j->timer, is_fatal(j) ? on_fatal_timer : on_work_done,
		      (is_fatal(j) ? FATAL_DELAY_MS : ms) / 1000, 0);
	j->timer.data = j;
	ev_timer_start(s->loop, &j->timer);
}

/* The sender closed its connection: drops its request. */
static void on_gone(void *priv, struct http_conn *c)
{
	struct job *j = http_conn_user(c);

	if (!j)
		return;
	j->conn = NULL;
	if (j->rejected) {
		job_free(j);
	} else if (j->waiting) {
		work_cancel(&j->server->work, j);
		job_free(j);
	} else if (ev_is_active(&j->timer)) {
		job_end(j);
	}
}

/* Rejects a job. */
static void job_reject(struct job *j)
{
	if (j->conn) {
		http_conn_set_user(j->conn, NULL);
		reply_not_run(j->server, j->conn, j->message, 503);
	}
	job_free(j);
}

/* Sends a delayed rejection. */
static void on_reject_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	job_reject(t->data);
}

/* Rejects a job after a delay; 0: at once. */
static void job_reject_after(struct job *j, int ms)
{
	if (!ms) {
		job_reject(j);
		return;
	}
	j->rejected = true;
	ev_timer_init(&j->timer, on_reject_timer, ms / 1000.0, 0);
	j->timer.data = j;
	ev_timer_start(j->server->loop, &j->timer);
}

/* Admits a job, or rejects it by a fault; counts both as calls. */
static enum work_admission admit_job(struct server *s, struct job *j)
{
	if (!fault_occurs(s, s->faults.shed_pct))
		return work_admit(&s->work, j);
	s->work.calls++;
	s->work.refused++;
	return WORK_FULL;
}

/* Handles a request for the service. */
static void handle_work(struct server *s, struct http_conn *c,
			struct http_message *m)
{
	struct lstr target_id = http_find_header(m, LSTR("Target-Instance"));
	struct job *j;

	if (!http_find_header(m, LSTR("Attempt-Id")).ptr) {
		reply_not_run(s, c, m, 400);
		http_message_free(m);
		return;
	}
	if (target_id.ptr && !lstr_eq(target_id, lstr0(s->id))) {
		reply_not_run(s, c, m, 421);
		http_message_free(m);
		return;
	}
	if (s->drain_start_ms &&
	    clock_ms() - s->drain_start_ms > LEAVE_GRACE_MS)
		s->work.late++;
	limit_check_request(&s->limit_check, clock_ms());
	if (server_cold_ms(s))
		limit_check_request(&s->cold_check, clock_ms());
	audit_request(&s->audit, server_sender(m), false, clock_ms());
	j = g_new0(struct job, 1);
	j->server = s;
	j->conn = c;
	j->message = m;
	ev_init(&j->timer, on_work_done);
	http_conn_set_user(c, j);
	if (fault_occurs(s, s->faults.hang_pct))
		return;
	switch (admit_job(s, j)) {
	case WORK_RUN:
		job_run(j);
		break;
	case WORK_WAIT:
		j->waiting = true;
		break;
	case WORK_FULL:
		/* Some services never respond to what they can't queue. */
		if (!s->service->hangs || s->faults.backoff_milli >= 0)
			job_reject_after(j, s->faults.late_ms);
		break;
	}
}

/* Handles a probe of health and load. */
static void handle_health(struct server *s, struct http_conn *c,
			  const struct http_message *m)
{
	struct buf h = {0};

	s->work.probes++;
	audit_request(&s->audit, server_sender(m), true, clock_ms());
	buf_printf(&h, "Instance-Id: %s\r\n", s->id);
	server_add_load(s, &h);
	if (s->faults.limit_asked)
		server_add_limit(s, &h);
	server_add_cold(s, &h);
	server_add_draining(s, server_sender(m), &h);
	reply(s, c, server_is_draining(s) ? 503 : 200, &h, LSTR(""));
	buf_free(&h);
}

/* Handles a request for the statistics. */
static void handle_stats(struct server *s, struct http_conn *c)
{
	struct buf b = {0}, none = {0};

	server_write_stats(&b, s);
	reply(s, c, 200, &none, buf_lstr(&b));
	buf_free(&b);
}

/* Turns the server cold for some time, and reports that in its entry. */
static void turn_cold(struct server *s, int for_ms)
{
	int64_t now_ms = clock_ms();

	s->cold_until_ms = now_ms + for_ms;
	work_turn_cold(&s->work, for_ms, now_ms);
	limit_check_set(&s->cold_check, true, s->service->cold_per_s, now_ms);
	server_register(s);
}

/* Handles a request that sets faults or controls the audit. */
static void handle_faults(struct server *s, struct http_conn *c,
			  const struct query *q)
{
	struct faults *f = &s->faults;
	struct buf none = {0};

	faults_set(f, q);
	if (query_text(q, "cold_ms"))
		turn_cold(s, f->cold_ms);
	if (query_text(q, "audit_off"))
		audit_suspend(&s->audit);
	if (query_text(q, "audit_on"))
		audit_resume(&s->audit);
	if (query_text(q, "excuse"))
		audit_excuse(&s->audit, query_text(q, "excuse"));
	/* A limit that is no number can't be complied with. */
	limit_check_set(&s->limit_check, f->limit_milli >= 0 && !f->limit_odd,
			f->limit_milli / 1000.0, clock_ms());
	s->work.quiet = f->quiet;
	reply(s, c, 200, &none, LSTR(""));
}

/* Dispatches a request by its path. */
static void on_request(void *priv, struct http_conn *c, struct http_message *m)
{
	struct server *s = priv;
	struct query q;
	char *path = query_split(m->target, &q);
	bool handled = true;

	if (!strcmp(path, STAND_HEALTH_PATH))
		handle_health(s, c, m);
	else if (!strcmp(path, "/stand/stats"))
		handle_stats(s, c);
	else if (!strcmp(path, "/stand/faults"))
		handle_faults(s, c, &q);
	else
		handled = false;
	g_free(path);
	query_free(&q);
	if (handled)
		http_message_free(m);
	else
		handle_work(s, c, m);
}

static const struct http_server_ops ops = {on_request, on_gone};

/* Stops the server once DRAIN_MS have passed and no request is open. */
static void on_drained(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct server *s = t->data;

	if (http_server_busy(&s->http))
		return;
	mp_event(EV_STOPPED, G_LOG_LEVEL_MESSAGE,
		 "backend %s stopped: %" PRIu64 " calls, %" PRIu64
		 " late after leaving",
		 s->id, s->work.calls, s->work.late);
	ev_break(loop, EVBREAK_ALL);
}

/* SIGTERM: starts to drain. */
static void on_term(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct server *s = w->data;

	if (s->drain_start_ms)
		return;
	s->drain_start_ms = clock_ms();
	mp_event(EV_STOPPING, G_LOG_LEVEL_MESSAGE,
		 "backend %s draining for %d ms", s->id, DRAIN_MS);
	server_register(s);
	ev_timer_init(&s->drain_timer, on_drained, DRAIN_MS / 1000.0, 0.1);
	s->drain_timer.data = s;
	ev_timer_start(loop, &s->drain_timer);
}

/* Initializes the server from the deployment. Returns 0 or a negative errno. */
static int server_init(struct server *s, const struct deploy *d,
		       const char *service, int index, unsigned seed)
{
	s->service = deploy_service(d, service);
	if (!s->service ||
	    deploy_worker_addr(s->service, index, s->addr, sizeof(s->addr)) ||
	    deploy_worker_advertised_addr(s->service, index, s->advertised_addr,
					  sizeof(s->advertised_addr)))
		return -ENOENT;
	snprintf(s->id, sizeof(s->id), "%s-%d-%x", service, index,
		 g_random_int());
	g_strlcpy(s->dc,
		  s->service->dcs[index % (int)g_strv_length(s->service->dcs)],
		  sizeof(s->dc));
	work_init(&s->work, (unsigned)s->service->slots, s->service->work_ms,
		  seed ^ (unsigned)index * 2654435761U, clock_ms());
	limit_check_init(&s->limit_check, &limit_rule_of_servers);
	limit_check_init(&s->cold_check, &cold_rule);
	audit_init(&s->audit);
	faults_init(&s->faults);
	s->http.limits = (struct http_limits){HEAD_MAX, BODY_MAX};
	s->http.head_timeout_s = 5;
	s->http.idle_timeout_s = 10;
	return socket_parse_addr(d->entry.platform, &s->store_addr);
}

/*
 * stand_backend_main() runs server `index` of a service until SIGTERM. It then
 * announces that it drains, keeps running for DRAIN_MS and stops when every
 * request has its response. Returns 0 or a negative errno.
 */
int stand_backend_main(const struct deploy *d, const char *service, int index,
		       unsigned seed)
{
	struct server s = {.loop = ev_default_loop(EVFLAG_NOENV)};
	ev_signal term;
	int rc = server_init(&s, d, service, index, seed);

	if (rc)
		return rc;
	rc = http_server_open(&s.http, s.loop, s.addr, &ops, &s);
	if (rc) {
		mp_event(EV_LISTEN_FAILED, G_LOG_LEVEL_CRITICAL,
			 "addr=%s err=%s", s.addr, g_strerror(-rc));
		return rc;
	}
	mp_event(EV_STARTED, G_LOG_LEVEL_MESSAGE, "backend %s on %s in %s",
		 s.id, s.addr, s.dc);
	server_register_start(&s);
	ev_signal_init(&term, on_term, SIGTERM);
	term.data = &s;
	ev_signal_start(s.loop, &term);
	ev_run(s.loop, 0);
	return 0;
}
