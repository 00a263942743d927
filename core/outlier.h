/*
 * Failure memory of one backend server. Each bad outcome adds weight that
 * halves every OUTLIER_HALF_LIFE_MS, so a server that recovers is used again
 * without anybody having to say so.
 */
#ifndef MP_CORE_OUTLIER_H
#define MP_CORE_OUTLIER_H

#include "core/backend.h"

void outlier_record(struct backend *b, double weight, int64_t now_ms);
double outlier_score(const struct backend *b, int64_t now_ms);
bool outlier_is_deprioritized(const struct backend *b, int64_t now_ms);

#endif
