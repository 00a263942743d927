/*
 * Fetches state from peers. An instance that starts gets the members and a
 * snapshot from a peer that can serve, and continues reading the store from
 * there. In a large system new versions of the configuration, and changes of
 * the list of backend servers that a feed lacked, are fetched from peers too.
 */
#ifndef MP_CONTROL_PEER_FETCH_H
#define MP_CONTROL_PEER_FETCH_H

#include "control/backend_watch.h"
#include "control/config_watch.h"
#include "control/crash_watch.h"
#include "control/member_join.h"
#include "http/pool.h"
#include "http/server.h"
#include "member/snapshot.h"
#include "options/instance.h"

/*
 * A configuration record up to this size is fetched from its reporter by all
 * instances at once; larger ones would fill the reporter's link for too long.
 */
enum { CONFIG_DIRECT_MAX = 8 * 1024 };

enum fetch_what { FETCH_SNAPSHOT, FETCH_CONFIG, FETCH_JOIN, FETCH_CHANGES };

struct peer_fetch {
	struct ev_loop *loop;
	struct peer_table *peers;
	struct config_watch *config;
	struct backend_watch *backends;
	struct member_join *join;
	const struct crash_watch *crashes;
	struct http_server server; /* answers peers */
	struct http_pool pool;	   /* of its connections */
	struct http_client client; /* sends requests to peers */
	struct peer_info target;
	enum fetch_what what;  /* of the pending request */
	bool read_on_failure;  /* if it fails, the store is read */
	bool config_too_large; /* read the configuration from the store */
	unsigned failures;     /* failed requests */
	int64_t request_sent_ms;
	unsigned turn;
	struct buf cache; /* the last answer to an instance that joined */
	int64_t cache_ms;
};

int peer_fetch_init(struct peer_fetch *in, struct ev_loop *loop,
		    const struct instance_settings *s, struct peer_table *peers,
		    struct config_watch *config, struct backend_watch *backends,
		    struct member_join *join,
		    const struct crash_watch *crashes);
bool peer_fetch_is_pending(const struct peer_fetch *in);
void peer_fetch_join(struct peer_fetch *in, int64_t now_ms);
void peer_fetch_changes(struct peer_fetch *in, bool from_hub, int64_t now_ms);
int peer_fetch_config(struct peer_fetch *in, const struct peer_info *peer,
		      bool whole, bool read_on_failure);
void peer_fetch_tick(struct peer_fetch *in, bool whole, int64_t now_ms);

#endif
