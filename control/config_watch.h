/*
 * Follows the configuration in the platform's store. The first instances keep
 * a long poll there; the others hear from them which records there are, read
 * those that are new to them, and poll as well when they hear nothing. Versions
 * are ordered by their number alone; a position is a bookmark in one era of the
 * store, which may come back from a copy that lacks versions known here.
 */
#ifndef MP_CONTROL_CONFIG_WATCH_H
#define MP_CONTROL_CONFIG_WATCH_H

#include "control/config_source.h"
#include "member/peers.h"

/* What is to be done about a peer's word. */
enum config_need {
	CONFIG_KNOWN, /* nothing */
	CONFIG_READ,  /* the store has a record that is new here */
	CONFIG_ASK,   /* the peer has one; the store may have lost it */
};

struct config_watch {
	struct ev_loop *loop;
	struct config_source source;
	struct store_channel store;
	ev_timer retry;
	struct buf record;	   /* of the newest usable version, for peers */
	uint32_t digest;	   /* of that record */
	bool listed;		   /* the newest version was asked for once */
	bool relist;		   /* the store has nothing at `pos` any more */
	struct store_position pos; /* records before it are taken in */
	uint64_t version;	   /* the newest usable one; 0: none */
	uint32_t unfit_digest;	   /* of a peer's record that can't be used */
	struct config_progress
		news;	   /* a peer's, that is newer than what is in force */
	unsigned failures; /* in a row */
	int64_t asked_ms;  /* the call under way was sent then */
	bool patient;	   /* others find out when the store is back */
	bool polls;	   /* a poll is to be under way all the time */
	int64_t fresh_ms;  /* the store told of the newest record then */
	int64_t told_ms;   /* a peer knew that there is nothing newer */
	int64_t era_ms;	   /* the store's present era was heard of then */
	struct store_position told; /* records before it are known to a peer */
	int64_t behind_ms; /* since then it is known that some are missing */
	struct store_position behind_at; /* from there on */
	void (*changed)(void *priv, struct config *c);
	void *priv;
};

void config_watch_start(struct config_watch *w, struct ev_loop *loop,
			struct store_endpoint *store,
			const struct config_source *source,
			void (*changed)(void *priv, struct config *c),
			void *priv);
void config_watch_introduce(struct config_watch *w, struct lstr record,
			    struct store_position pos, int64_t told_ms);
void config_watch_tick(struct config_watch *w, bool may_ask, bool first,
		       int64_t now_ms);
void config_watch_read(struct config_watch *w);
int config_watch_update(struct config_watch *w, struct lstr record,
			struct store_position pos, int64_t told_ms);
enum config_need config_watch_heard(struct config_watch *w,
				    const struct config_progress *m,
				    int64_t now_ms);
bool config_watch_is_behind(const struct config_watch *w);
void config_watch_new_era(struct config_watch *w, int64_t now_ms);
struct config_progress config_watch_mark(const struct config_watch *w,
					 int64_t store_ms, int64_t now_ms);
uint32_t config_watch_age_ms(const struct config_watch *w, int64_t store_ms,
			     int64_t now_ms);
void config_watch_restart(struct config_watch *w);
int config_poll_wait_ms(double random);
int config_poll_pause_ms(double random);

#endif
