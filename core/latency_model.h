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
#ifndef MP_CORE_LATENCY_MODEL_H
#define MP_CORE_LATENCY_MODEL_H

#include <stdbool.h>
#include <stdint.h>

enum {
	LATENCY_LOAD_STEPS = 16,    /* steps from an idle to a full server */
	LATENCY_SLOWDOWN_STEPS = 4, /* steps of reported slow-down */
};

/* A geometric mean whose samples fade. */
struct decayed_mean {
	double log_sum, weight;
	int64_t at_ms; /* both are right as of then */
};

/* The servers of one service. */
struct service_model {
	struct decayed_mean
		by_load[LATENCY_LOAD_STEPS]; /* by requests at work */
	struct decayed_mean by_slowdown
		[LATENCY_SLOWDOWN_STEPS]; /* actual by reported slow-down */
	struct decayed_mean warm_up;	  /* beyond what a new one reports */
	double typical_factor; /* a quarter of the servers seen offer less; 0: unseen */
	double full_share; /* share of the servers seen that had no room, of late */
};

/* One class of requests. */
struct work_model {
	double median_ms; /* median at a quick server with nothing else to do */
	double p75_ms;	  /* a quarter of its requests take longer */
	double mean_ms;	  /* geometric mean: what factors are measured by */
	unsigned samples;
};

/* A server as it was, or is, when a request starts there. */
struct server_view {
	unsigned active_requests; /* requests, this one included */
	unsigned slots;
	unsigned slowdown_pct; /* as reported; 0: none */
	bool warming_up;       /* it has said that it is still slow */
};

void work_model_init(struct work_model *w, uint32_t target_ms);
void latency_record(struct service_model *m, struct work_model *w,
		    const struct server_view *v, double ms, int64_t now_ms);
double latency_factor(const struct service_model *m,
		      const struct server_view *v, int64_t now_ms);
void latency_record_server(struct service_model *m, double factor,
			   bool has_capacity);
bool latency_capacity_short(const struct service_model *m);
double latency_typical_factor(const struct service_model *m);
unsigned latency_best_concurrency(const struct service_model *m, unsigned slots,
				  int64_t now_ms);
unsigned latency_max_concurrency(const struct service_model *m, unsigned slots,
				 int64_t now_ms);

#endif
