/*
 * Messages by which instances agree on who is a member and alive: the roster of
 * the first hub, requests for members' details, and requests to join.
 */
#ifndef MP_CONTROL_MEMBERSHIP_H
#define MP_CONTROL_MEMBERSHIP_H

#include "control/peer_channel.h"

void membership_publish_roster(struct peer_channel *ch, int64_t now_ms);
void membership_on_message(struct peer_channel *ch,
			   const struct gossip_message *m, int64_t now_ms);

#endif
