/* Monotonic clocks for deadlines and intervals. */
#ifndef MP_MISC_CLOCK_H
#define MP_MISC_CLOCK_H

#include <stdint.h>
#include <time.h>

/* clock_us() returns microseconds of CLOCK_MONOTONIC. */
static inline int64_t clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* clock_ms() returns milliseconds of CLOCK_MONOTONIC. */
static inline int64_t clock_ms(void)
{
	return clock_us() / 1000;
}

/* clock_s() returns seconds of CLOCK_MONOTONIC. */
static inline double clock_s(void)
{
	return (double)clock_us() / 1e6;
}

/*
 * clock_boot_ms() returns milliseconds of CLOCK_BOOTTIME, which also counts
 * time in suspend: for the ages of what is known of others, and for time
 * windows shared by all instances.
 */
static inline int64_t clock_boot_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

#endif
