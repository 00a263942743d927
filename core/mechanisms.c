#include "core/mechanisms.h"

struct mechanisms mechanisms = {
	.ask = true,
	.learn = true,
	.shortage = true,
	.wait = true,
	.quick_only = true,
	.late_yield = true,
	.second = true,
	.rescue = true,
	.outliers = true,
	.idle_first = true,
	.own_dc = true,
	.spill = false,
	.reserve = true,
	.spent = true,
	.return_time = true,
	.quarantine = true,
	.tunnel = true,
};
