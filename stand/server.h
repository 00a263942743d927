/* A stand-in of a backend server, between the parts of its program. */
#ifndef MP_STAND_SERVER_H
#define MP_STAND_SERVER_H

#include "http/server.h"
#include "stand/faults.h"
#include "stand/limit_check.h"
#include "stand/audit.h"
#include "stand/stand.h"
#include "stand/work.h"

struct server {
	struct ev_loop *loop;
	const struct service_opts *service;
	struct http_server http;
	struct work work;
	struct faults faults;
	struct limit_check limit_check;
	struct audit audit;
	char id[BACKEND_NAME_MAX], addr[32], dc[BACKEND_NAME_MAX];
	struct http_client store;
	struct sockaddr_in store_addr;
	ev_timer register_timer, drain_timer;
	char advertised_addr[64]; /* where others reach it */
	unsigned registrations;
	int64_t leaving_ms; /* 0: not leaving */
};

/* A request that runs or waits. */
struct job {
	struct server *server;
	struct http_conn *conn; /* NULL: the sender has left */
	struct http_message *message;
	ev_timer timer;
	bool waiting;
	bool rejected; /* it is turned away when its timer ends */
};

void server_write_stats(struct buf *out, const struct server *s);
void server_register_start(struct server *s);
void server_register(struct server *s);

#endif
