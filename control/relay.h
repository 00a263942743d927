/* Forwards messages between the traffic threads of instances as datagrams. */
#ifndef MP_CONTROL_RELAY_H
#define MP_CONTROL_RELAY_H

#include "control/control.h"

bool relay_from_peer(struct control *c, const struct gossip_message *m);
void relay_from_traffic(struct control *c, enum from_traffic kind, void *data);

#endif
