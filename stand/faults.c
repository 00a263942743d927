#include <stddef.h>

#include <glib.h>

#include "stand/faults.h"

/* faults_init() sets no faults. */
void faults_init(struct faults *f)
{
	*f = (struct faults){.limit_milli = -1, .backoff_milli = -1};
}

/* faults_set() sets the parameters that the query has. */
void faults_set(struct faults *f, const struct query *q)
{
	static const struct {
		const char *name;
		size_t at;
	} all[] = {
		{"shed_pct", offsetof(struct faults, shed_pct)},
		{"backoff_milli", offsetof(struct faults, backoff_milli)},
		{"backoff_odd", offsetof(struct faults, backoff_odd)},
		{"late_ms", offsetof(struct faults, late_ms)},
		{"draining", offsetof(struct faults, draining)},
		{"unlisted", offsetof(struct faults, unlisted)},
		{"hang_pct", offsetof(struct faults, hang_pct)},
		{"lost_pct", offsetof(struct faults, lost_pct)},
		{"cut_pct", offsetof(struct faults, cut_pct)},
		{"extra_pct", offsetof(struct faults, extra_pct)},
		{"unframed_pct", offsetof(struct faults, unframed_pct)},
		{"long_pct", offsetof(struct faults, long_pct)},
		{"limit_milli", offsetof(struct faults, limit_milli)},
		{"limit_odd", offsetof(struct faults, limit_odd)},
		{"limit_asked", offsetof(struct faults, limit_asked)},
		{"quiet", offsetof(struct faults, quiet)},
		{"cold_ms", offsetof(struct faults, cold_ms)},
		{"body_kb", offsetof(struct faults, body_kb)},
		{"chunked", offsetof(struct faults, chunked)},
		{"bad_head_pct", offsetof(struct faults, bad_head_pct)},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
		int *value = (int *)(void *)((char *)f + all[i].at);

		*value = (int)query_int(q, all[i].name, *value);
	}
	if (query_text(q, "shed"))
		f->shed_pct = query_int(q, "shed", 0) ? 100 : 0;
}
