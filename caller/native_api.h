/*
 * Native HTTP API for callers:
 *   GET  /v1/entries        entry instances to use, and how long to cache them
 *   POST /v1/call/SERVICE   X-Tenant, X-Request-Id, X-Deadline-Ms,
 *                           Idempotency-Key (protected services)
 *   GET  /admin/metrics     counters and histograms
 * Responses to calls have an X-Outcome header: done, not-run or unknown.
 */
#ifndef MP_CALLER_NATIVE_API_H
#define MP_CALLER_NATIVE_API_H

#include "traffic/traffic.h"

void native_api_request(void *traffic, struct http_conn *c,
			struct http_message *m);

#endif
