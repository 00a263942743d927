/*
 * Decides from where a starting instance gets the configuration and the list of
 * backend servers: in a large system from a peer, since calls to the store are
 * expensive and limited; from the store if no peer answers in time.
 */
#ifndef MP_CONTROL_START_H
#define MP_CONTROL_START_H

#include <stdbool.h>
#include <stdint.h>

struct start_state {
	bool done;	   /* configuration and list were complete once */
	bool large;	   /* hubs are in use, see member/hubs.h */
	bool first_start;  /* the whole system starts for the first time */
	bool members_read; /* the members' records were read */
	int64_t members_read_ms;  /* when they were read */
	unsigned ready_peers;	  /* number of live peers that can serve */
	unsigned failed_fetches;  /* failed requests to peers */
	unsigned member_failures; /* consecutive failures to read the members */
	unsigned rank;	    /* number of instances ordered before this one */
	int64_t started_ms; /* time of the startup */
};

bool start_should_read_store(const struct start_state *v, int64_t now_ms);
bool start_should_fetch_from_peers(const struct start_state *v,
				   unsigned store_failures);

#endif
