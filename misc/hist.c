#include <ck_pr.h>

#include "misc/hist.h"

/*
 * hist_bucket_index() maps a value to its bucket: each value below HIST_SUB has
 * its own bucket, larger ones are indexed by their top bit and the
 * HIST_SUB_BITS bits below it. Values out of range go to the last bucket.
 */
unsigned hist_bucket_index(uint64_t us)
{
	if (us < HIST_SUB)
		return (unsigned)us;
	unsigned top = 63 - (unsigned)__builtin_clzll(us);
	unsigned shift = top - HIST_SUB_BITS;
	unsigned sub = (unsigned)(us >> shift) & (HIST_SUB - 1);
	unsigned b = (shift + 1) * HIST_SUB + sub;

	return b < HIST_BUCKETS ? b : HIST_BUCKETS - 1;
}

/* hist_bucket_max_us() returns the largest value of bucket b. */
uint64_t hist_bucket_max_us(unsigned b)
{
	if (b < HIST_SUB)
		return b;
	unsigned shift = b / HIST_SUB - 1;
	uint64_t sub = b % HIST_SUB;

	return (((uint64_t)HIST_SUB + sub + 1) << shift) - 1;
}

/* hist_record() adds a sample. */
void hist_record(struct hist *h, uint64_t us)
{
	ck_pr_inc_64(&h->counts[hist_bucket_index(us)]);
	ck_pr_inc_64(&h->total);
	ck_pr_add_64(&h->sum_us, us);
}

/*
 * hist_quantile() returns the upper bound in microseconds of the bucket that
 * holds the q-quantile, 0 <= q <= 1, or 0 for an empty histogram.
 */
uint64_t hist_quantile(const struct hist *h, double q)
{
	uint64_t total = ck_pr_load_64(&h->total);

	if (total == 0)
		return 0;
	uint64_t rank = (uint64_t)(q * (double)total);

	if (rank >= total)
		rank = total - 1;
	uint64_t seen = 0;

	for (unsigned b = 0; b < HIST_BUCKETS; b++) {
		seen += ck_pr_load_64(&h->counts[b]);
		if (seen > rank)
			return hist_bucket_max_us(b);
	}
	return hist_bucket_max_us(HIST_BUCKETS - 1);
}

/* hist_merge() adds the counts of src to dst. */
void hist_merge(struct hist *dst, const struct hist *src)
{
	for (unsigned b = 0; b < HIST_BUCKETS; b++)
		dst->counts[b] += ck_pr_load_64(&src->counts[b]);
	dst->total += ck_pr_load_64(&src->total);
	dst->sum_us += ck_pr_load_64(&src->sum_us);
}
