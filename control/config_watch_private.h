/* Internal to the configuration watch: control/config_watch.c, config_peers.c */
#ifndef MP_CONTROL_CONFIG_WATCH_PRIVATE_H
#define MP_CONTROL_CONFIG_WATCH_PRIVATE_H

#include "control/config_watch.h"

uint32_t config_watch_digest(struct lstr record, const struct evacuations *e);
struct config *config_watch_decode_newer(struct config_watch *w,
					 const struct store_record *rec,
					 struct store_position known);
void config_watch_apply(struct config_watch *w, struct config *c,
			const struct store_record *rec, const char *by);
void config_watch_set_evacuations(struct config_watch *w,
				  const struct evacuations *e, const char *by,
				  struct store_position pos);
bool config_watch_is_idle(const struct config_watch *w);
bool config_watch_has_bookmark(const struct config_watch *w);

#endif
