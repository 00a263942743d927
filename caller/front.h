/*
 * The callers' side of an entry instance: the HTTP interface callers use
 * to learn which entry addresses to use and to send their calls, plus the
 * admin endpoints (metrics, live version). See docs/OPERATORS.md.
 */
#ifndef MP_CALLER_FRONT_H
#define MP_CALLER_FRONT_H

#include "entry/core.h"
#include "misc/httpd.h"

struct front {
	struct entry *entry;
	struct httpd http;
};

int front_start(struct front *f, struct entry *e);
void front_drain(struct front *f, int wait_ms);

#endif
