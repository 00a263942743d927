#include "core/backend.h"
#include "core/mechanisms.h"
#include "core/outlier.h"
#include "core/path.h"

enum {
	/*
	 * Tunnels that may fail in a row without a pause: some peers may have
	 * lost the same links. Beyond that the servers themselves are likely
	 * gone.
	 */
	FAILED_TUNNELS_MAX = 6,
	PAUSE_MS = 50,		 /* doubled with each further failure */
	PAUSE_DOUBLINGS_MAX = 5, /* limit of the doubling */
	/* Failures later than this after the links are back are new ones. */
	HEALED_MS = 3000,
};

/*
 * path_is_broken() returns whether b isn't reached directly although it may be
 * well: no server of its service is, or it has answered through a tunnel.
 */
bool path_is_broken(const struct backend *b)
{
	const struct service *s = b->service;

	return reach_is_lost(&s->reach) ||
	       (b->path.tunneled && b->path.failed_ms > s->paths.reopened_ms);
}

/* path_use_tunnel() returns whether to open a new connection by a tunnel. */
bool path_use_tunnel(const struct backend *b, int64_t now_ms)
{
	return mechanisms.tunnel && path_is_broken(b) &&
	       now_ms >= b->service->paths.retry_ms;
}

/*
 * path_may_be_found() returns whether servers that don't answer may be reached
 * by a tunnel: it isn't known that tunnels fail as well.
 */
bool path_may_be_found(const struct service *s)
{
	return mechanisms.tunnel &&
	       s->paths.failed_tunnels <= FAILED_TUNNELS_MAX;
}

/* path_direct_opened() handles a direct connection that was answered. */
void path_direct_opened(struct backend *b, int64_t now_ms)
{
	if (b->path.tunneled)
		b->service->paths.reopened_ms = now_ms;
	b->service->paths.failed_tunnels = 0;
	b->path = (struct server_path){0};
}

/*
 * path_direct_failed() handles a direct connection that failed. Once the links
 * are back, that a tunnel was needed earlier says nothing about this failure.
 */
void path_direct_failed(struct backend *b, int64_t now_ms)
{
	if (!path_is_broken(b) &&
	    now_ms - b->service->paths.reopened_ms > HEALED_MS)
		b->path.tunneled = false;
	b->path.failed_ms = now_ms;
}

/*
 * path_tunnel_opened() handles the first answer through a tunnel: it shows that
 * the failures of direct connections weren't the server's.
 */
void path_tunnel_opened(struct backend *b, int64_t now_ms)
{
	b->service->paths.failed_tunnels = 0;
	b->service->paths.retry_ms = 0;
	if (!b->path.failed_ms)
		b->path.failed_ms = now_ms;
	if (!b->path.tunneled)
		outlier_forget(b, now_ms);
	b->path.tunneled = true;
}

/* path_tunnel_refused() handles a server that a peer doesn't reach either. */
void path_tunnel_refused(struct backend *b)
{
	b->path.tunneled = false;
}

/* path_tunnel_failed() handles a tunnel that could not be opened. */
void path_tunnel_failed(struct service *s, int64_t now_ms)
{
	struct service_paths *p = &s->paths;

	if (++p->failed_tunnels > FAILED_TUNNELS_MAX)
		p->retry_ms =
			now_ms +
			(PAUSE_MS << MIN(p->failed_tunnels - FAILED_TUNNELS_MAX,
					 PAUSE_DOUBLINGS_MAX));
}
