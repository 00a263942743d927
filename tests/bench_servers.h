/* Scripted backend servers of a test bench; included by tests/bench.h. */
#ifndef MP_TESTS_BENCH_SERVERS_H
#define MP_TESTS_BENCH_SERVERS_H

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

/*
 * Responds without a length: the second half of the body follows after
 * pause_ms, then the end of the connection, or a reset of it.
 */
static inline void job_reply_unframed(struct job *j)
{
	struct server *s = j->server;
	struct buf head = {0}, body = {0}, unread = {0};
	int fd = http_conn_detach(j->conn, &unread);
	struct linger reset = {s->breaks_off, 0};
	struct lstr tail;

	buf_printf(&body, "body of %s", j->id);
	buf_printf(&head,
		   "HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nResponse-Seal: x.1\r\n"
		   "\r\n%.*s",
		   j->id, (int)body.len / 2, body.ptr);
	(void)!send(fd, head.ptr, head.len, MSG_NOSIGNAL);
	tail = (struct lstr){body.ptr + body.len / 2,
			     s->breaks_off ? 0 : body.len - body.len / 2};
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	send_delayed(s->bench, fd, tail, s->pause_ms);
	close(fd);
	buf_free(&head);
	buf_free(&body);
	buf_free(&unread);
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
	if (s->script == SCRIPT_UNFRAMED)
		job_reply_unframed(j);
	else if (j->refuse)
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

#endif
