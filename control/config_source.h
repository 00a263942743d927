/*
 * Where the configuration is kept in the store, and which of its records
 * replace the current one. Pure logic without I/O.
 */
#ifndef MP_CONTROL_CONFIG_SOURCE_H
#define MP_CONTROL_CONFIG_SOURCE_H

#include "core/config.h"
#include "platform/store.h"

/*
 * The location of the versions and their decoder, which returns NULL on
 * findings.
 */
struct config_source {
	const char *topic, *key;
	/* Of the keys of evacuations in the topic; NULL: none. */
	const char *evacuation_prefix;
	struct config *(*decode)(void *priv, struct lstr value,
				 struct findings *f);
	void *priv;
	bool usable_when_absent; /* an empty value is the first version */
};

/* The state of an instance when it reads a record. */
struct config_current {
	uint64_t version;	   /* current version; 0: none */
	struct lstr record;	   /* of that version */
	struct store_position pos; /* records before it are applied */
	bool listed;		   /* pos comes from a listing or a read */
};

struct config *config_source_decode_newer(const struct config_source *s,
					  const struct store_record *rec,
					  const struct config_current *held);

#endif
