/*
 * Decides from where a starting instance gets the configuration and the list of
 * backend servers: from a peer, since calls to the store are expensive and
 * limited; from the store if no peer can serve.
 */
#ifndef MP_CONTROL_START_H
#define MP_CONTROL_START_H

#include <stdbool.h>
#include <stdint.h>

struct start_state {
	bool done;	      /* configuration and list were complete once */
	bool joined_by_store; /* or the members are being listed in the store */
	bool joined_by_peer;  /* the members came from a peer */
	unsigned member_failures; /* consecutive failures to list them */
	int64_t started_ms;	  /* time of the startup */
};

bool start_should_read_store(const struct start_state *v, int64_t now_ms);
bool start_should_fetch_from_peers(const struct start_state *v,
				   unsigned store_failures);

#endif
