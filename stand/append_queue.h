/*
 * Limits of the simulated store on appends: a rate of calls, and a queue in
 * each partition, which processes its appends one at a time.
 */
#ifndef MP_STAND_APPEND_QUEUE_H
#define MP_STAND_APPEND_QUEUE_H

#include <stdint.h>

#include <glib.h>

struct append_queue {
	int limit_per_s;
	int append_ms;	 /* time that each append takes; 0: no queue */
	int64_t limit_s; /* second that `appends` counts */
	int appends;
	GHashTable *busy_until; /* struct log_part * -> int64_t *, ms */
};

void append_queue_init(struct append_queue *q, int limit_per_s);
unsigned append_queue_admit(struct append_queue *q, const void *part,
			    int64_t now_ms, int *delay_ms);

#endif
