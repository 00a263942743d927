/*
 * Switches for the mechanisms that decide about requests, all on by default.
 * Operators switch one off to find what it does to their load, and
 * scripts/ablate.sh to measure what it is worth.
 */
#ifndef MP_CORE_MECHANISMS_H
#define MP_CORE_MECHANISMS_H

#include <stdbool.h>

struct mechanisms {
	bool ask;	  /* servers are asked for their load before a send */
	bool learn;	  /* what answers show corrects what servers report */
	bool wait;	  /* requests wait here for room */
	bool quick_only;  /* no start where the request will be late or dear */
	bool late_yield;  /* late requests leave room to others */
	bool second;	  /* second sends that can still be on time */
	bool rescue;	  /* second sends of late requests */
	bool outliers;	  /* servers that failed lately come later */
	bool idle_first;  /* servers with an idle connection come first */
	bool own_dc;	  /* servers of the own data centre come first */
	bool spent;	  /* earlier attempts of a caller count */
	bool return_time; /* Retry-After by the time that a caller has left */
	bool quarantine;  /* requests that end servers are refused */
};

/* In force in this process; set before its threads start. */
extern struct mechanisms mechanisms;

#endif
