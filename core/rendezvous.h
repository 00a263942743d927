/*
 * Rendezvous hashing: each resource has an order of the instances of its own,
 * in which all instances that know the same ones agree. When one joins or
 * leaves, the order of the others stays.
 */
#ifndef MP_CORE_RENDEZVOUS_H
#define MP_CORE_RENDEZVOUS_H

#include <stdint.h>

/*
 * Hashes an instance and a resource, with the same result on all instances. The
 * instance with the highest weight is the resource's first one.
 */
static inline uint64_t rendezvous_weight(uint32_t instance, uint32_t resource)
{
	uint64_t x = (uint64_t)resource << 32 | instance;

	x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9;
	x = (x ^ x >> 27) * 0x94d049bb133111eb;
	return x ^ x >> 31;
}

#endif
