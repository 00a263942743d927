/*
 * What the backend servers of a service are like, learned from their answers:
 * how long a class of requests works, and by which factors that grows with
 * the requests that a server has at work, with the slow-down that it reports
 * and after a start. Values in, values out; the time is an argument.
 *
 * Nothing is taken as given but weak priors: a mean counts them as a few
 * answers and forgets within seconds, so that a wrong, old or lying report
 * moves a decision little and not for long. A service never seen is expected
 * to be as its servers say.
 */
#ifndef MP_CORE_LEARN_H
#define MP_CORE_LEARN_H

#include <stdbool.h>
#include <stdint.h>

enum {
	LEARN_CROWD = 16, /* steps from an idle to a full server */
	LEARN_TOLD = 4,	  /* steps of reported slow-down */
};

/* A geometric mean whose samples fade. */
struct learn_mean {
	double log_sum, weight;
	int64_t at_ms; /* both are right as of then */
};

/* The servers of one service. */
struct service_model {
	struct learn_mean crowd[LEARN_CROWD]; /* by requests at work */
	struct learn_mean told[LEARN_TOLD];   /* actual by reported slow-down */
	struct learn_mean warm; /* beyond what a new one reports */
	double offer; /* a quarter of the servers seen offer less; 0: unseen */
	double full;  /* share of the servers seen that had no room, of late */
};

/* One class of requests. */
struct work_model {
	double usual_ms; /* median at a quick server with nothing else to do */
	double long_ms;	 /* a quarter of its requests take longer */
	double mean_ms;	 /* geometric mean: what factors are measured by */
	unsigned answers;
};

/* A server as it was, or is, when a request starts there. */
struct server_view {
	unsigned at_work; /* requests, this one included */
	unsigned slots;
	unsigned slowdown_pct; /* as reported; 0: none */
	bool warm;	       /* it has said that it is still slow */
};

void learn_work_init(struct work_model *w, uint32_t target_ms);
void learn_answer(struct service_model *m, struct work_model *w,
		  const struct server_view *v, double ms, int64_t now_ms);
double learn_factor(const struct service_model *m, const struct server_view *v,
		    int64_t now_ms);
void learn_offer(struct service_model *m, double factor, bool has_room);
bool learn_is_short(const struct service_model *m);
double learn_usual_factor(const struct service_model *m);
unsigned learn_best(const struct service_model *m, unsigned slots,
		    int64_t now_ms);
unsigned learn_room(const struct service_model *m, unsigned slots,
		    int64_t now_ms);

#endif
