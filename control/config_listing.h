/*
 * The records of a listing that concern the configuration, collected from its
 * pages: a version and the evacuations are put into force together.
 */
#ifndef MP_CONTROL_CONFIG_LISTING_H
#define MP_CONTROL_CONFIG_LISTING_H

#include "control/config_source.h"

struct config_listing {
	GArray *records;	   /* struct store_record, copied; NULL: none */
	struct store_position end; /* from which to read on */
};

void config_listing_begin(struct config_listing *l, struct store_position end);
void config_listing_add(struct config_listing *l,
			const struct config_source *source,
			const struct store_result *page);
bool config_listing_has_config(const struct config_listing *l,
			       const struct config_source *source);
struct store_result config_listing_result(const struct config_listing *l,
					  const struct store_result *last);
void config_listing_clear(struct config_listing *l);

#endif
