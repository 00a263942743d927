/*
 * An instance that starts in a large system, or while the store does not
 * answer, is introduced by a peer: it asks one that can serve for a snapshot of
 * what that one knows, and reads on in the store from there. In a large system
 * a new version of the configuration is asked of a peer as well.
 */
#ifndef MP_CONTROL_PEER_FETCH_H
#define MP_CONTROL_PEER_FETCH_H

#include "control/backend_watch.h"
#include "control/config_watch.h"
#include "http/server.h"
#include "member/snapshot.h"

struct peer_fetch {
	struct ev_loop *loop;
	struct peer_table *peers;
	struct config_watch *config;
	struct backend_watch *backends;
	struct http_server server; /* answers others */
	struct http_client client; /* asks */
	struct peer_info target;
	bool config_only;      /* the question under way is for a version */
	bool config_too_large; /* the configuration is large: read the store */
	unsigned refused;      /* questions that brought nothing */
	int64_t asked_ms;
	unsigned turn;
};

int peer_fetch_init(struct peer_fetch *in, struct ev_loop *loop,
		    const char *listen, struct peer_table *peers,
		    struct config_watch *config,
		    struct backend_watch *backends);
int peer_fetch_config(struct peer_fetch *in, const struct peer_info *peer,
		      bool whole);
void peer_fetch_tick(struct peer_fetch *in, bool whole, int64_t now_ms);

#endif
