/*
 * Follows the configuration in the platform's store. The first instances keep
 * a long poll there; the others hear from them which records there are, read
 * those that are new to them, and poll as well when they hear nothing.
 */
#ifndef MP_CONTROL_CONFIG_WATCH_H
#define MP_CONTROL_CONFIG_WATCH_H

#include "core/config.h"
#include "platform/store.h"

/* Where versions stand and how they are read; NULL on findings. */
struct config_source {
	const char *topic, *key;
	struct config *(*decode)(void *priv, struct lstr value,
				 struct findings *f);
	void *priv;
	bool usable_when_absent; /* decode no value as the first version */
};

struct config_watch {
	struct ev_loop *loop;
	struct config_source source;
	struct store_channel store;
	ev_timer retry;
	struct buf record;    /* of the newest usable version, for peers */
	bool listed;	      /* the newest version was asked for once */
	uint64_t offset;      /* records before it are taken in */
	uint64_t version;     /* the newest usable one; 0: none */
	unsigned failures;    /* in a row */
	int64_t asked_ms;     /* the call under way was sent then */
	bool patient;	      /* others find out when the store is back */
	bool polls;	      /* a poll is to be under way all the time */
	int64_t fresh_ms;     /* the store told of the newest record then */
	int64_t told_ms;      /* a peer knew that there is nothing newer */
	uint64_t told_offset; /* records before it are known to a peer */
	int64_t behind_ms;    /* since then it is known that some are missing */
	uint64_t behind_at;   /* from this offset on */
	void (*changed)(void *priv, struct config *c);
	void *priv;
};

void config_watch_start(struct config_watch *w, struct ev_loop *loop,
			struct store_endpoint *store,
			const struct config_source *source,
			void (*changed)(void *priv, struct config *c),
			void *priv);
void config_watch_introduce(struct config_watch *w, struct lstr record,
			    uint64_t offset, int64_t told_ms);
void config_watch_tick(struct config_watch *w, bool may_ask, bool first,
		       int64_t now_ms);
void config_watch_read(struct config_watch *w);
int config_watch_update(struct config_watch *w, struct lstr record,
			uint64_t offset, int64_t told_ms);
bool config_watch_heard(struct config_watch *w, uint64_t offset,
			uint32_t age_ms, int64_t now_ms);
uint32_t config_watch_age_ms(const struct config_watch *w, int64_t store_ms,
			     int64_t now_ms);
void config_watch_restart(struct config_watch *w);
int config_poll_wait_ms(double random);
int config_poll_pause_ms(double random);

#endif
