/*
 * Spill: in which data centre to look for a server when the first ones of the
 * own were busy or slow. Demand and servers of a data centre differ, so some
 * are short while others, a few milliseconds away, have idle servers. The more
 * a data centre's servers are idle, and the more servers it has, the larger its
 * part of the probes; the part changes gradually with what the servers report,
 * so that many instances don't move to the same data centre at once.
 *
 * A way that is long against the time which a request has to spare makes a data
 * centre less useful, down to a minimum that is only of use where all others
 * are full.
 */
#ifndef MP_CORE_SPILL_H
#define MP_CORE_SPILL_H

#include <stdbool.h>
#include <stdint.h>

enum {
	SPILL_DCS_MAX = 16, /* further data centres share the last entry */
	SPILL_NAME_MAX = 64,
};

/* The servers of one service in one data centre, as last seen. */
struct spill_dc {
	char name[SPILL_NAME_MAX];
	double idle; /* share of the reporting servers with room, at at_ms */
	int64_t at_ms;
	double rtt_ms; /* moving average over probes */
};

struct spill {
	unsigned n;
	struct spill_dc dcs[SPILL_DCS_MAX];
};

unsigned spill_index(struct spill *s, const char *dc);
void spill_record_report(struct spill_dc *d, bool idle, int64_t now_ms);
void spill_record_rtt(struct spill_dc *d, double ms);
void spill_record_timeout(struct spill_dc *d, double ms);
double spill_spare_ms(double target_ms, double spent_ms, double work_ms);
double spill_weight(const struct spill_dc *d, const struct spill_dc *own,
		    unsigned servers, double spare_ms, int64_t now_ms);
unsigned spill_draw(const double *weights, unsigned n, double random);

#endif
