/*
 * Fetches state from peers. An instance that starts in a large system, or while
 * the store doesn't answer, gets a snapshot from a peer that can serve, and
 * continues reading the store from there. In a large system new versions of the
 * configuration are fetched from peers as well.
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
	struct http_server server; /* answers peers */
	struct http_client client; /* sends requests to peers */
	struct peer_info target;
	bool config_only;      /* the pending request is for a version only */
	bool config_too_large; /* read the configuration from the store */
	unsigned failures;     /* failed requests */
	int64_t request_sent_ms;
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
