/*
 * An instance that starts in a large system, or while the store does not
 * answer, is introduced by a peer: it asks one that can serve for a snapshot of
 * what that one knows, and reads on in the store from there. In a large system
 * a new version of the configuration is asked of a peer as well.
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
	bool config_only; /* the question under way is for a version */
	bool config_left; /* the configuration is large: read the store */
	unsigned refused; /* questions that brought nothing */
	int64_t asked_ms;
	unsigned turn;
};

int introduce_init(struct introduce *in, struct ev_loop *loop,
		   const char *listen, struct peer_table *peers,
		   struct config_watch *config, struct backend_watch *backends);
int introduce_config(struct introduce *in, const struct peer_info *peer,
		     bool whole);
void introduce_tick(struct introduce *in, bool whole, int64_t now_ms);

#endif
