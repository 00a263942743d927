/*
 * What instances tell each other of the limits that backend servers name. It
 * passes on the servers' own words, so that those know them to whom a server has
 * not said so, and hear of the end who may not send there; no instance depends on
 * it to keep to a limit that it knows.
 */
#ifndef MP_CORE_LIMIT_NEWS_H
#define MP_CORE_LIMIT_NEWS_H

#include <stdbool.h>
#include <stdint.h>

/* So many fit one datagram, 25 bytes each. */
enum { LIMIT_NEWS_MAX = 48 };

struct limit_item {
	uint32_t backend; /* backend_start_hash() of the server */
	bool named;
	double per_s; /* if named */
	/* The server said so between these two moments. */
	uint32_t asked_ago_ms, heard_ago_ms;
};

struct limit_news {
	uint32_t peer; /* peer_id() of the instance that tells */
	unsigned n;
	struct limit_item items[LIMIT_NEWS_MAX];
};

#endif
