/* Blocking HTTP request for the command line tools. */
#ifndef MP_TOOLS_FETCH_H
#define MP_TOOLS_FETCH_H

#include "misc/buf.h"

int fetch(const char *addr, const char *method, const char *target,
	  int timeout_ms, struct buf *body);

#endif
