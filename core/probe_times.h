/*
 * How long servers of a service that report no load take to answer a probe. A
 * probe waits for a slot and takes some work, like a request, so its time shows
 * how slow the server is at the moment.
 */
#ifndef MP_CORE_PROBE_TIMES_H
#define MP_CORE_PROBE_TIMES_H

#include <stdbool.h>

/* Typical times of servers of normal speed, in ms; 0: none known yet. */
struct probe_times {
	double kept_ms; /* on a connection that was used before */
	double new_ms;	/* on a new one, with its handshake */
};

unsigned probe_times_record(struct probe_times *t, double ms,
			    bool new_connection);

#endif
