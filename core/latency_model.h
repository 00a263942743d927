/*
 * Service time model of a service's backend servers, learned from their
 * answers: the typical service time of each class of requests, and the factors
 * by which it grows with a server's concurrency, with the slowdown that it
 * reports and after a start. Pure functions; the time is an argument.
 *
 * Priors are weak: each mean counts its prior as a few answers and forgets
 * samples within seconds, so that a wrong, outdated or false report has little
 * effect, and not for long. Without answers, servers are expected to be as they
 * report.
 */
#ifndef MP_CORE_LATENCY_MODEL_H
#define MP_CORE_LATENCY_MODEL_H

#include <stdbool.h>
#include <stdint.h>

enum {
	LATENCY_LOAD_STEPS = 16,    /* load steps from idle to full */
	LATENCY_SLOWDOWN_STEPS = 4, /* steps of reported slowdown */
};

/* A geometric mean whose samples decay exponentially. */
struct decayed_mean {
	double log_sum, weight;
	int64_t at_ms; /* when both were computed */
};

/* Learned factors of the servers of one service. */
struct service_model {
	struct decayed_mean by_load[LATENCY_LOAD_STEPS];
	/* Actual slowdown as a multiple of the reported one. */
	struct decayed_mean by_slowdown[LATENCY_SLOWDOWN_STEPS];
	struct decayed_mean warm_up; /* of new servers, beyond their report */
	/* Lower quartile of the factors of recently seen servers; 0: none. */
	double typical_factor;
	double full_share; /* share of recently seen servers without capacity */
};

/* Learned service time of one class of requests. */
struct work_model {
	double median_ms; /* on an otherwise idle server of normal speed */
	double p75_ms;	  /* 75th percentile */
	double mean_ms;	  /* geometric mean, the base of all factors */
	unsigned samples;
};

/* State of a server at the start of a request. */
struct server_view {
	unsigned active_requests; /* this one included */
	unsigned slots;
	unsigned slowdown_pct; /* as reported; 0: none */
	bool warming_up;       /* it has announced that it is still slow */
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
