/*
 * An instance that starts while the store does not answer is introduced by a
 * peer: it asks one that can serve for a snapshot of what that one knows, and
 * reads on in the store when that returns. Peers send their heartbeats to the
 * address they know, so a restarted instance hears of them within seconds.
 */
#ifndef MP_CONTROL_INTRODUCE_H
#define MP_CONTROL_INTRODUCE_H

#include "control/backend_watch.h"
#include "control/config_watch.h"
#include "http/server.h"
#include "member/snapshot.h"

struct introduce {
	struct ev_loop *loop;
	struct peer_table *peers;
	struct config_watch *config;
	struct backend_watch *backends;
	struct http_server server; /* answers others */
	struct http_client client; /* asks */
	struct peer_info asked;
	int64_t asked_ms;
	unsigned turn;
};

int introduce_init(struct introduce *in, struct ev_loop *loop,
		   const char *listen, struct peer_table *peers,
		   struct config_watch *config, struct backend_watch *backends);
void introduce_tick(struct introduce *in, int64_t now_ms);

#endif
