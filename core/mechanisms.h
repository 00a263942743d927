/*
 * Switches for the mechanisms that handle requests, on by default unless noted.
 * Operators switch one off to see its effect on their traffic;
 * scripts/ablate.sh does so to measure its benefit.
 */
#ifndef MP_CORE_MECHANISMS_H
#define MP_CORE_MECHANISMS_H

#include <stdbool.h>

struct mechanisms {
	bool ask;	  /* probe servers for their load before a send */
	bool learn;	  /* correct reported load by observed latency */
	bool shortage;	  /* shorter waits while many requests find no room */
	bool wait;	  /* queue requests until a server has capacity */
	bool quick_only;  /* avoid servers that are too slow for the request */
	bool late_yield;  /* late requests leave capacity to others */
	bool second;	  /* hedges: second sends that can meet the target */
	bool rescue;	  /* second sends of late requests */
	bool outliers;	  /* deprioritize servers that failed recently */
	bool idle_first;  /* prefer servers with an idle connection */
	bool own_dc;	  /* prefer servers in the own data centre */
	bool spill;	  /* look for idle servers where there are most; off */
	bool reserve;	  /* keep retries for more urgent requests */
	bool spent;	  /* count the time of a caller's earlier attempts */
	bool return_time; /* derive Retry-After from the caller's time left */
	bool quarantine;  /* refuse requests that crash servers */
	bool tunnel;	  /* reach servers through peers if links fail */
};

/* Of this process; set before its threads start. */
extern struct mechanisms mechanisms;

#endif
