/*
 * How an instance that has just started comes to know the configuration and
 * the list of backend servers: in a large system from a peer, as the store's
 * calls are dear and limited; from the store when no peer helps in time.
 */
#ifndef MP_CONTROL_START_H
#define MP_CONTROL_START_H

#include <stdbool.h>
#include <stdint.h>

struct start_state {
	bool done;	   /* configuration and list were known: it has ended */
	bool many;	   /* the system is a large one */
	bool first;	   /* the whole system starts for the first time */
	bool listed;	   /* the members' records were read */
	int64_t listed_ms; /* when */
	unsigned ready;	   /* live peers that can serve */
	unsigned refused;  /* questions to peers that brought nothing */
	unsigned failures; /* of the calls that read them, in a row */
	unsigned rank;	   /* instances that stand before this one */
	int64_t since_ms;  /* the start */
};

bool start_should_read_store(const struct start_state *v, int64_t now_ms);
bool start_should_ask_peers(const struct start_state *v,
			    unsigned store_failures);

#endif
