/*
 * Retry-After values for refused requests. Callers respect them up to a third
 * of their remaining time, and retry on a new connection.
 */
#ifndef MP_CORE_RETRY_AFTER_H
#define MP_CORE_RETRY_AFTER_H

#include "core/admit.h"
#include "core/limit_capacity.h"

enum { RETRY_AFTER_DEFAULT_MS = 1000 };

double retry_after_s(const struct admit_request *r, int64_t left_ms,
		     double random);
double retry_after_resume_s(const struct admit_request *r, int64_t resume_in_ms,
			    double random);
double retry_after_turn_s(int64_t *last_turn_ms,
			  const struct limit_capacity *capacity,
			  unsigned waiting, int64_t left_ms, int64_t now_ms);
double retry_after_elsewhere_s(double random);
double retry_after_default_s(double random);

#endif
