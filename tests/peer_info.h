/* Sample peer_info for tests. */
#ifndef MP_TESTS_PEER_INFO_H
#define MP_TESTS_PEER_INFO_H

#include <arpa/inet.h>

#include "member/peers.h"

/* Returns the info of instance "eN" in data centre dc-1. */
static inline struct peer_info info(const char *name, uint64_t boot)
{
	struct peer_info p = {.boot_id = boot,
			      .store_era = 3,
			      .records_era = 2,
			      .config = {.pos = {3, 7},
					 .age_ms = 5,
					 .version = 21,
					 .digest = 99}};

	g_strlcpy(p.name, name, sizeof(p.name));
	g_strlcpy(p.dc, "dc-1", sizeof(p.dc));
	g_snprintf(p.caller_addr, sizeof(p.caller_addr), "10.0.0.%s:80",
		   name + 1);
	p.addr.sin_family = AF_INET;
	p.addr.sin_port = htons(7200);
	p.addr.sin_addr.s_addr = htonl(0x0a000001);
	return p;
}

#endif
