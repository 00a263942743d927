/*
 * Selection of the entry instances that a caller is given. Instances of the
 * caller's own data centre are preferred where there are enough of them, since
 * traffic between data centres is slower and costs money. If more qualify than
 * fit a response, each call draws others, so that callers spread over all
 * instances. No I/O.
 */
#ifndef MP_MEMBER_SELECT_INSTANCES_H
#define MP_MEMBER_SELECT_INSTANCES_H

#include "member/peers.h"

size_t select_instances(const struct peer_endpoint *all, size_t n,
			const char *dc, GRand *rand,
			const struct peer_endpoint **out, size_t max);

#endif
