/*
 * Decides whether one more request or response body fits into an instance's
 * memory; each kind has a share of its own. An instance answers many large
 * bodies at once: more are refused before they are received, so that the
 * process isn't ended for its memory with all of its requests.
 *
 * A body is counted from the moment its length is known, in full, until it is
 * freed; a body of unknown length as it grows. Small bodies always fit: small
 * requests aren't refused because of large ones.
 */
#ifndef MP_CORE_BODY_MEMORY_H
#define MP_CORE_BODY_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct body_memory {
	size_t limit; /* bytes of all bodies; 0: no limit */
	size_t used, peak;
	uint64_t refused;
};

size_t body_memory_limit(double machine_mb);
size_t response_memory_limit(double machine_mb);
size_t connection_memory_limit(double machine_mb);
size_t peer_memory_limit(double machine_mb);
size_t tunnel_memory_limit(double machine_mb);
size_t kept_memory_limit(double machine_mb);
bool body_memory_reserve(struct body_memory *m, size_t held, size_t total);
void body_memory_release(struct body_memory *m, size_t held);

#endif
