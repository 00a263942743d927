/*
 * Which way a new connection to a backend server takes: directly, or through a
 * tunnel of another instance while this one's own links to the server are down.
 */
#ifndef MP_CORE_PATH_H
#define MP_CORE_PATH_H

#include <stdbool.h>
#include <stdint.h>

struct backend;
struct service;

/* Of a server. */
struct server_path {
	int64_t failed_ms; /* the last direct connection failed then; 0: not */
	bool tunneled;	   /* it has answered through a tunnel since */
};

/* Of all servers of a service. */
struct service_paths {
	unsigned failed_tunnels; /* in a row */
	int64_t retry_ms;	 /* no tunnels until then, as these fail too */
	/* A server that had answered through a tunnel was reached directly. */
	int64_t reopened_ms;
};

bool path_is_broken(const struct backend *b);
bool path_use_tunnel(const struct backend *b, int64_t now_ms);
bool path_may_be_found(const struct service *s);
void path_direct_opened(struct backend *b, int64_t now_ms);
void path_direct_failed(struct backend *b, int64_t now_ms);
void path_tunnel_opened(struct backend *b, int64_t now_ms);
void path_tunnel_refused(struct backend *b);
void path_tunnel_failed(struct service *s, int64_t now_ms);

#endif
