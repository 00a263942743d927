/*
 * What an instance concludes when it hears no peer, and which instances it
 * names to callers. No I/O; times are passed in.
 */
#ifndef MP_MEMBER_CONTACT_H
#define MP_MEMBER_CONTACT_H

#include "member/peers.h"

enum contact_state contact_update(struct peer_table *t, int64_t store_ms,
				  int64_t now_ms);
GArray *peers_for_callers(const struct peer_table *t, int64_t now_ms);

#endif
