/* Paged listing of the newest record of each key, for the simulated store. */
#ifndef MP_STAND_LISTING_H
#define MP_STAND_LISTING_H

#include "stand/log.h"

void listing_write(const struct log_part *p, const char *after,
		   struct buf *body);

#endif
