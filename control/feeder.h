/*
 * Sends recent changes of the list of backend servers to peers, after this
 * instance has read them or, on the first hub, after another instance has.
 */
#ifndef MP_CONTROL_FEEDER_H
#define MP_CONTROL_FEEDER_H

#include "control/backend_list.h"
#include "control/peer_channel.h"

enum feed_target { FEED_NONE, FEED_HUBS, FEED_ALL };

struct feeder {
	struct store_position sent_pos; /* changes before it were sent */
	int64_t fresh_ms; /* freshness of the list when it was last sent */
	int64_t sent_ms;
	unsigned turn; /* number of feeds sent */
};

enum feed_target feeder_target_after_read(bool large, unsigned rank);
enum feed_target feeder_target_after_feed(const struct feeder *f, bool large,
					  unsigned rank, int64_t list_fresh_ms,
					  int64_t now_ms);
void feeder_send(struct feeder *f, struct peer_channel *ch,
		 struct backend_list *list, enum feed_target to,
		 int64_t now_ms);

#endif
