/*
 * Follows the configuration in the platform's store, and the evacuations of
 * data centres, whose records are in the same topic. The first instances keep a
 * long poll open; the others learn from them which records exist, read those
 * that are new, and poll as well if they receive no reports. Versions are
 * ordered by their number alone. A position is valid in one era of the store,
 * which may be restored from a backup that lacks versions known here.
 */
#ifndef MP_CONTROL_CONFIG_WATCH_H
#define MP_CONTROL_CONFIG_WATCH_H

#include "control/config_listing.h"
#include "control/config_source.h"
#include "control/evacuation_records.h"
#include "member/peers.h"

/*
 * A long poll costs one call and is answered when a version is written. A poll
 * that the store has lost is never answered, so each is short.
 */
enum { CONFIG_POLL_WAIT_MAX_MS = 2500 };

/* How to get a version that a peer has reported. */
enum config_action {
	CONFIG_NO_ACTION,	/* nothing to do */
	CONFIG_READ_STORE,	/* the store has a record that is new here */
	CONFIG_FETCH_FROM_PEER, /* it has one that the store may have lost */
};

struct config_watch {
	struct ev_loop *loop;
	struct config_source source;
	struct store_channel store;
	ev_timer retry;
	struct buf record; /* of the newest valid version, for peers */
	struct evacuations evacuations; /* by the records before `pos` */
	uint32_t digest;		/* of both */
	bool listed; /* the newest version was read at least once */
	bool relist; /* the store no longer has `pos` */
	struct store_position pos;   /* records before it are applied */
	uint64_t version;	     /* the newest valid one; 0: none */
	uint32_t invalid_digest;     /* of a peer with an invalid record */
	bool listing;		     /* the pending call is a listing */
	struct config_listing pages; /* that it has had so far */
	struct config_progress newest_progress; /* supersedes `version` */
	unsigned failures;			/* consecutive */
	int64_t call_sent_ms; /* when the pending call was sent */
	bool behind_hubs;     /* the hubs detect when the store is back */
	int spread_ms;	      /* delay of the next read, see backoff_spread() */
	bool polls;	      /* a poll is to be pending at all times */
	int64_t attempt_ms;   /* when a read last failed that is not retried */
	int64_t fresh_ms; /* when the store last returned the newest record */
	int64_t peer_confirmed_ms; /* a peer confirmed it as newest */
	int64_t era_ms; /* when the store's present era was learned */
	struct store_position peer_pos; /* known to a peer */
	int64_t behind_ms; /* since when records are known to be missing here */
	struct store_position behind_pos; /* `pos` at that time */
	void (*changed)(void *priv, struct config *c);
	/* The set of evacuated data centres has changed; may be NULL. */
	void (*evacuated)(void *priv, const struct evacuations *e);
	void *priv;
};

void config_watch_start(struct config_watch *w, struct ev_loop *loop,
			struct store_endpoint *store,
			const struct config_source *source,
			void (*changed)(void *priv, struct config *c),
			void *priv);
void config_watch_import(struct config_watch *w, struct lstr record,
			 const struct evacuations *e, struct store_position pos,
			 int64_t confirmed_ms);
void config_watch_tick(struct config_watch *w, bool may_poll, bool first,
		       int64_t now_ms);
void config_watch_read(struct config_watch *w);
int config_watch_apply_peer(struct config_watch *w, struct lstr record,
			    const struct evacuations *e,
			    struct store_position pos, int64_t confirmed_ms);
enum config_action config_watch_on_progress(struct config_watch *w,
					    const struct config_progress *m,
					    int64_t now_ms);
bool config_watch_is_behind(const struct config_watch *w);
void config_watch_new_era(struct config_watch *w, int64_t now_ms);
struct config_progress config_watch_progress(const struct config_watch *w,
					     int64_t store_ms, int64_t now_ms);
uint32_t config_watch_age_ms(const struct config_watch *w, int64_t store_ms,
			     int64_t now_ms);
void config_watch_restart(struct config_watch *w);
int config_poll_wait_ms(double random);
int config_poll_pause_ms(double random);

#endif
