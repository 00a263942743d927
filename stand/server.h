/* A simulated backend server, shared by the files that implement it. */
#ifndef MP_STAND_SERVER_H
#define MP_STAND_SERVER_H

#include "http/server.h"
#include "stand/faults.h"
#include "stand/limit_check.h"
#include "stand/audit.h"
#include "stand/stand.h"
#include "stand/work.h"

/* State of the server process. */
struct server {
	struct ev_loop *loop;
	const struct service_opts *service;
	struct http_server http;
	struct work work;
	struct faults faults;
	struct limit_check limit_check;
	struct limit_check cold_check; /* while it is cold */
	int64_t cold_until_ms;
	struct audit audit;
	char id[BACKEND_NAME_MAX], addr[32], dc[BACKEND_NAME_MAX];
	struct http_client store;
	struct sockaddr_in store_addr;
	ev_timer register_timer, drain_timer;
	char advertised_addr[64]; /* its own or the proxy's */
	unsigned registrations;
	int64_t drain_start_ms; /* when it began to drain; 0: not draining */
};

/* A request that is running, waiting or about to be rejected. */
struct job {
	struct server *server;
	struct http_conn *conn; /* NULL: the sender disconnected */
	struct http_message *message;
	ev_timer timer;
	bool waiting;
	bool rejected; /* rejected when the timer expires */
};

int64_t server_cold_ms(const struct server *s);
bool server_is_draining(const struct server *s);
struct lstr server_sender(const struct http_message *m);
void server_add_load(struct server *s, struct buf *b);
void server_add_limit(struct server *s, struct buf *b);
void server_add_draining(struct server *s, struct lstr to, struct buf *b);
void server_add_backoff(struct server *s, struct lstr to, struct buf *b);
void server_add_cold(struct server *s, struct buf *b);
void server_log_run(const struct http_message *m);
void server_write_stats(struct buf *out, const struct server *s);
void server_register_start(struct server *s);
void server_register(struct server *s);

#endif
