/*
 * What the traffic threads of instances tell each other: the control thread passes it
 * on as it is, in datagrams.
 */
#ifndef MP_CONTROL_RELAY_H
#define MP_CONTROL_RELAY_H

#include "control/control.h"

bool relay_from_peer(struct control *c, const struct gossip_message *m);
void relay_from_traffic(struct control *c, enum from_traffic kind, void *data);

#endif
