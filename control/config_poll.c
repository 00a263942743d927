#include "control/config_watch.h"

enum {
	/*
	 * A version written at the moment a poll arrives may not wake it; it is
	 * returned when the poll ends, too late for the limit of 2 s. Two
	 * instances poll, and random waits keep them from polling in step and
	 * both missing a version.
	 */
	POLL_WAIT_MIN_MS = 1750,
	/*
	 * Pause after a version, so that a series of versions costs few calls;
	 * a version must be in force 2 s after its confirmation.
	 */
	POLL_PAUSE_MAX_MS = 300,
	POLL_PAUSE_MIN_MS = 200,
};

/* config_poll_wait_ms() returns how long a poll waits; `random` is in 0..1. */
int config_poll_wait_ms(double random)
{
	return POLL_WAIT_MIN_MS +
	       (int)((CONFIG_POLL_WAIT_MAX_MS - POLL_WAIT_MIN_MS) * random);
}

/* config_poll_pause_ms() returns the pause after a version, likewise. */
int config_poll_pause_ms(double random)
{
	return POLL_PAUSE_MIN_MS +
	       (int)((POLL_PAUSE_MAX_MS - POLL_PAUSE_MIN_MS) * random);
}
