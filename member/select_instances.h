/*
 * Which entry instances a caller is told of: those of its own data centre
 * where there are enough, as what crosses data centres is slower and paid for;
 * and others each time when there are more than fit an answer, so that all
 * get callers. Decisions on values only.
 */
#ifndef MP_MEMBER_SELECT_INSTANCES_H
#define MP_MEMBER_SELECT_INSTANCES_H

#include "member/peers.h"

size_t select_instances(const struct peer_endpoint *all, size_t n,
			const char *dc, GRand *rand,
			const struct peer_endpoint **out, size_t max);

#endif
