/*
 * When to send an idempotent request to a second server because the first one
 * takes too long: a hedge while it can still meet its target, a rescue later.
 */
#ifndef MP_CORE_HEDGE_H
#define MP_CORE_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

int64_t hedge_delay_ms(double work_ms, uint32_t target_ms, int64_t spent_ms,
		       bool load_reported);
int64_t rescue_delay_ms(double estimate_ms, uint32_t target_ms);

#endif
