/*
 * Follows the configuration in the platform's store by a long poll of its
 * own on each instance: versions are rare, and an instance that hears from
 * nobody must still have the newest one in force in time.
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
	struct buf record; /* of the newest usable version, for peers */
	bool listed;	   /* the newest version was asked for once */
	uint64_t offset;   /* records before it are taken in */
	uint64_t version;  /* the newest usable one; 0: none */
	unsigned failures; /* in a row */
	int64_t asked_ms;  /* the call under way was sent then */
	bool short_waits;  /* poll in short spells; see WAIT_SHORT_MS */
	void (*changed)(void *priv, struct config *c);
	void *priv;
};

void config_watch_start(struct config_watch *w, struct ev_loop *loop,
			const struct sockaddr_in *store,
			const struct config_source *source,
			void (*changed)(void *priv, struct config *c),
			void *priv);
void config_watch_introduce(struct config_watch *w, struct lstr record,
			    uint64_t offset);
void config_watch_restart(struct config_watch *w);

#endif
