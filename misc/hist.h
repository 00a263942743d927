/*
 * Log-linear latency histograms in microseconds. Buckets are atomic counters,
 * so several threads may record at once. Each power of two is split into
 * HIST_SUB linear buckets, so the relative error of a quantile is at most
 * 1/HIST_SUB (6.25%).
 */
#ifndef MP_MISC_HIST_H
#define MP_MISC_HIST_H

#include <stdint.h>

enum {
	HIST_SUB_BITS = 4,
	HIST_SUB = 1 << HIST_SUB_BITS,
	HIST_EXP = 32,
	HIST_BUCKETS = HIST_EXP * HIST_SUB,
};

struct hist {
	uint64_t counts[HIST_BUCKETS];
	uint64_t total;
	uint64_t sum_us;
};

void hist_record(struct hist *h, uint64_t us);
uint64_t hist_quantile(const struct hist *h, double q);
void hist_merge(struct hist *dst, const struct hist *src);
unsigned hist_bucket_index(uint64_t us);
uint64_t hist_bucket_max_us(unsigned b);

#endif
