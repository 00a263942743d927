#include "core/body_memory.h"

enum { SMALL_BODY_BYTES = 16 * 1024 };

/*
 * The shares of a machine's memory for the bodies of requests, for those of
 * responses until callers have taken them, for what connections hold besides,
 * for answers to peers and for their tunnels, and for answers kept for
 * repetitions. The rest is for the process itself.
 */
static const double BODY_SHARE = 0.4;
static const double RESPONSE_SHARE = 0.25;
static const double CONNECTION_SHARE = 0.1;
static const double PEER_SHARE = 0.03;
static const double TUNNEL_SHARE = 0.05;
static const double KEPT_SHARE = 0.05;

static const double BYTES_PER_MB = 1e6;

/*
 * body_memory_limit() returns the limit for a machine with this much memory; 0:
 * unknown, no limit.
 */
size_t body_memory_limit(double machine_mb)
{
	return (size_t)(machine_mb * BYTES_PER_MB * BODY_SHARE);
}

/* response_memory_limit() returns the same for the bodies of responses. */
size_t response_memory_limit(double machine_mb)
{
	return (size_t)(machine_mb * BYTES_PER_MB * RESPONSE_SHARE);
}

/* connection_memory_limit() returns the same for what connections hold. */
size_t connection_memory_limit(double machine_mb)
{
	return (size_t)(machine_mb * BYTES_PER_MB * CONNECTION_SHARE);
}

/* peer_memory_limit() returns the same for answers to peers. */
size_t peer_memory_limit(double machine_mb)
{
	return (size_t)(machine_mb * BYTES_PER_MB * PEER_SHARE);
}

/* tunnel_memory_limit() returns the same for what peers' tunnels hold. */
size_t tunnel_memory_limit(double machine_mb)
{
	return (size_t)(machine_mb * BYTES_PER_MB * TUNNEL_SHARE);
}

/* kept_memory_limit() returns the same for answers kept for repetitions. */
size_t kept_memory_limit(double machine_mb)
{
	return (size_t)(machine_mb * BYTES_PER_MB * KEPT_SHARE);
}

/*
 * body_memory_reserve() lets a body that holds `held` bytes grow to `total`.
 * Returns false if it doesn't fit; it still holds what it held then.
 */
bool body_memory_reserve(struct body_memory *m, size_t held, size_t total)
{
	size_t others = m->used - held;

	if (m->limit && total > SMALL_BODY_BYTES &&
	    (others > m->limit || total > m->limit - others)) {
		m->refused++;
		return false;
	}
	m->used = others + total;
	if (m->used > m->peak)
		m->peak = m->used;
	return true;
}

/* body_memory_release() gives back what a body held. */
void body_memory_release(struct body_memory *m, size_t held)
{
	m->used -= held;
}
