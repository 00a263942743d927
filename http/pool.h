/*
 * Memory and sockets that the connections of several servers share. If they run
 * short, connections are closed to make room. Sockets: of the server, or of the
 * other sockets, that hold most beyond their share, those that have been waiting
 * for longest. Memory: those that have held most for longest. A connection whose
 * request is being handled isn't closed, unless its peer sends on regardless.
 * Each shortage is logged, at most once a second.
 */
#ifndef MP_HTTP_POOL_H
#define MP_HTTP_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_conn;
struct http_server;

enum http_shortage {
	SHORT_OF_SOCKETS,
	SHORT_OF_MEMORY,  /* for what connections hold */
	SHORT_OF_REPLIES, /* of memory for replies that peers don't take */
	SHORT_OF_BODIES,  /* of memory for bodies that don't come */
	SLOW_REPLY,	  /* none: a reply wasn't taken in time */
	HTTP_SHORTAGES
};

struct http_pool_ops {
	/* Returns the number of sockets besides those of connections. */
	unsigned (*count_others)(void *priv);
	/* Closes one of these that is idle; returns false if there is none. */
	bool (*close_other)(void *priv);
};

struct http_shortage_log {
	uint64_t closed; /* connections, since the start */
	uint64_t logged; /* of them */
	double at;	 /* of the last line */
};

struct http_pool {
	const struct http_pool_ops *ops; /* NULL: there are no other sockets */
	void *priv;
	struct http_server *servers;
	unsigned nconns;
	unsigned sockets_max; /* 0: no limit */
	double others_share;  /* of the sockets, beside those of the servers */
	size_t bytes, bytes_peak;
	size_t bytes_max; /* 0: no limit */
	struct http_shortage_log shortages[HTTP_SHORTAGES];
	uint64_t open_failures; /* of sockets, for want of descriptors */
};

void http_pool_add(struct http_pool *p, struct http_server *s, const char *name,
		   double share);
void http_pool_account(struct http_pool *p, size_t *held, size_t now);
unsigned http_pool_sockets(const struct http_pool *p);
bool http_pool_close_socket(struct http_pool *p);
bool http_pool_limit_sockets(struct http_pool *p, unsigned more);
void http_pool_open_failed(struct http_pool *p, const char *name, int err);
bool http_pool_limit_memory(struct http_pool *p,
			    const struct http_conn *except);
bool http_pool_is_short(const struct http_pool *p);
bool http_pool_close_slowest(struct http_pool *p, double min_stall_s);
bool http_pool_end_slowest_body(struct http_pool *p, double grace_s);

#endif
