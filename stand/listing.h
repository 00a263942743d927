/* Paged listing of the newest record of each key, for the simulated store. */
#ifndef MP_STAND_LISTING_H
#define MP_STAND_LISTING_H

#include "stand/log.h"

enum { LISTING_ITEMS_MAX = 500 }; /* per page */

void listing_write(const struct log_part *p, struct lstr after,
		   unsigned items_max, struct buf *body);

#endif
