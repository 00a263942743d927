/* A page of the store stand-in's listing of the newest record of each key. */
#ifndef MP_STAND_LISTING_H
#define MP_STAND_LISTING_H

#include "stand/log.h"

void listing_write(const struct log_part *p, const char *after,
		   struct buf *body);

#endif
