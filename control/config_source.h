/*
 * Where the configuration stands in the store, and which of its records count
 * more than what is in force. Decisions on values only.
 */
#ifndef MP_CONTROL_CONFIG_SOURCE_H
#define MP_CONTROL_CONFIG_SOURCE_H

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

/* What an instance has when it reads a record. */
struct config_current {
	uint64_t version;	   /* in force; 0: none */
	struct lstr record;	   /* of that version */
	struct store_position pos; /* records before it are taken in */
	bool listed;		   /* pos is a bookmark already */
};

struct config *config_source_decode_newer(const struct config_source *s,
					  const struct store_record *rec,
					  const struct config_current *held);

#endif
