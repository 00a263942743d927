/*
 * What callers of each workspace got at this instance: for `ctl workspaces`,
 * which adds up the instances, and, bounded in number, for the metrics.
 */
#ifndef MP_TRAFFIC_WORKSPACE_METRICS_H
#define MP_TRAFFIC_WORKSPACE_METRICS_H

#include "misc/buf.h"

struct request;
struct traffic;

void workspace_metrics_configured(struct traffic *t);
void workspace_metrics_ended(const struct request *r, unsigned status);
void workspace_metrics_write(struct buf *out, const struct traffic *t);
void workspace_metrics_write_table(struct buf *out, const struct traffic *t);

#endif
