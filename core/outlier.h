/*
 * Outlier detection. Each failure of a backend server adds to its score, which
 * decays with a half-life of OUTLIER_HALF_LIFE_MS, so that a recovered server
 * is used again without a signal.
 */
#ifndef MP_CORE_OUTLIER_H
#define MP_CORE_OUTLIER_H

#include "core/backend.h"

void outlier_forget(struct backend *b, int64_t now_ms);
void outlier_record(struct backend *b, double weight, int64_t now_ms);
double outlier_score(const struct backend *b, int64_t now_ms);
bool outlier_is_deprioritized(const struct backend *b, int64_t now_ms);

#endif
