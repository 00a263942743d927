/*
 * Decides from where this instance gets the members, the configuration and the
 * list of backend servers: from its peers or from the store.
 */
#ifndef MP_CONTROL_SOURCES_H
#define MP_CONTROL_SOURCES_H

#include "control/control.h"

void sources_join(struct control *c, int64_t now_ms);
void sources_set_delays(struct control *c, bool large, unsigned rank,
			int64_t now_ms);
void sources_get_config(struct control *c, const struct peer_info *peer,
			enum config_action need, int64_t now_ms);
void sources_tick(struct control *c, int64_t now_ms);

#endif
