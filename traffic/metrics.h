/* Writes counters and histograms as text, one 'name{labels} value' per line. */
#ifndef MP_TRAFFIC_METRICS_H
#define MP_TRAFFIC_METRICS_H

#include "misc/buf.h"
#include "traffic/traffic.h"

void metrics_write(struct buf *out, const struct traffic *t);

#endif
