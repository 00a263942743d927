/*
 * What instances tell each other of backend servers that have said that they leave:
 * true for all instances, however old it is, until the lifetime ends.
 */
#ifndef MP_CORE_LEAVING_NEWS_H
#define MP_CORE_LEAVING_NEWS_H

#include "core/server_memory.h"

enum { LEAVING_NEWS_MAX = 16 }; /* fit one datagram, 75 bytes each */

struct leaving_item {
	char id[BACKEND_NAME_MAX];
	uint64_t born_ms;
};

struct leaving_news {
	uint32_t peer; /* peer_id() of the instance that tells */
	unsigned n;
	struct leaving_item items[LEAVING_NEWS_MAX];
};

#endif
