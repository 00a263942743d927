/*
 * When a request that may be repeated is sent to a second server, because
 * the first takes longer than it should.
 */
#ifndef MP_CORE_HEDGE_H
#define MP_CORE_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

int64_t hedge_delay_ms(double work_ms, uint32_t target_ms, int64_t spent_ms,
		       bool told);
int64_t rescue_delay_ms(double estimate_ms, uint32_t target_ms);

#endif
