/*
 * Backend servers that have announced that they drain, as instances tell each other.
 * An announcement holds for all instances until the lifetime ends, so its age doesn't
 * matter.
 */
#ifndef MP_CORE_DRAIN_NEWS_H
#define MP_CORE_DRAIN_NEWS_H

#include "core/server_state.h"

enum { DRAIN_NEWS_MAX = 16 }; /* fit one datagram, 75 bytes each */

struct drain_item {
	char id[BACKEND_NAME_MAX];
	uint64_t server_start_ms;
};

struct drain_news {
	uint32_t peer; /* peer_id() of the sender */
	unsigned n;
	struct drain_item items[DRAIN_NEWS_MAX];
};

#endif
