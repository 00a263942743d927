/*
 * One caller's request from its arrival to its answer: match, place, send,
 * wait, perhaps send once more, answer. A state machine on the traffic
 * thread's loop; the decisions are those of core/.
 */
#ifndef MP_TRAFFIC_REQUEST_H
#define MP_TRAFFIC_REQUEST_H

#include "common/event.h"
#include "core/place.h"
#include "platform/exchange.h"
#include "traffic/traffic.h"
#include "traffic/upstream.h"

enum {
	REQUEST_ASKS_MAX = 8,  /* servers asked for one placement */
	REQUEST_SENDS_MAX = 4, /* servers that one request may be sent to */
};

struct request;

/*
 * How an interface speaks to callers. The platform's is the standard one;
 * the product's own is in caller/.
 */
struct caller_protocol {
	/* Headers of an answer of the instance's own. */
	void (*write_own)(struct buf *out, struct lstr call_id, unsigned status,
			  double retry_after_s);
	/* Headers of a backend server's answer. */
	void (*write_answer)(struct buf *out, struct lstr call_id,
			     const struct http_message *answer);
	/* The outcome is settled; optional. */
	void (*settled)(struct request *r, unsigned status, struct lstr body);
};

struct ask;

/* What decided for a server, for the log. */
struct send_basis {
	struct load_report load;
	int64_t load_age_ms;	  /* -1: the server has told none */
	double trouble;		  /* remembered failures */
	double spent_ms;	  /* by the caller, with its earlier attempts */
	double retries_left;	  /* in the service's retry budget */
	int64_t left_ms;	  /* until the request is due */
	unsigned asked, answered; /* questions for load before */
	bool pressed;		  /* others miss room */
};

/* The request at one backend server. */
struct send {
	struct request *request;
	struct backend *backend;
	struct upstream *upstream; /* NULL once it has ended */
	int64_t sent_ms;
	struct server_view start; /* how the server stood then */
	bool extra;		  /* beyond the first: from the budget */
	enum extra_cause cause;	  /* if it is */
	enum limit_payer payer;	  /* of what it takes of the server's limit */
	double estimate_ms;	  /* expected of the server then */
	struct send_basis basis;
};

/* Why a request is being placed. */
enum placement { PLACE_NONE, PLACE_FIRST, PLACE_RETRY, PLACE_HEDGE };

struct request {
	struct traffic *traffic;
	struct http_conn *conn; /* NULL: the caller left */
	struct http_message *message;
	const struct caller_protocol *protocol;
	struct request_info call;
	uint64_t digest; /* the same for all attempts, see request_digest() */
	struct config *config;
	const struct route *route;
	struct service *service;
	struct class_stats *stats;
	int64_t start_ms;
	int64_t due_ms;		/* a final answer goes out by then */
	double spent_before_ms; /* by earlier attempts of the caller */
	ev_timer timer;
	enum placement placement;
	unsigned round;		  /* of questions in this placement */
	int64_t placing_since_ms; /* begin of this placement */
	int64_t round_ends_ms;	  /* no later than this a choice is made */
	int64_t wait_until_ms;	  /* no room: ask again then; 0: not so */
	unsigned asked, answered; /* questions of all placements so far */
	unsigned waits;		  /* so far in this placement */
	bool queued;		  /* stands in the service's queue */
	int64_t grant_until_ms;	  /* it waits for peers' grants; 0: not yet */
	bool yielded;		  /* it has let the first there go before */
	bool reserved;		  /* holds an extra send of the budget */
	bool rescue;	  /* the second send is no longer to be on time */
	int64_t hedge_ms; /* send a second time then; 0: never */
	struct ask *asks[REQUEST_ASKS_MAX];
	unsigned nasks;
	struct send sends[REQUEST_SENDS_MAX];
	unsigned nsends;
	unsigned undenied; /* sends that may have run it */
	bool trial;	   /* the one copy of a quarantined one that is tried */
	bool untold;	   /* its lines are held back until it ends */
};

void request_begin(void *priv, struct http_conn *c, struct http_message *m);
void request_start(struct traffic *t, struct http_conn *c,
		   struct http_message *m, const struct request_info *call,
		   const struct route *route,
		   const struct caller_protocol *protocol);
void request_gone(void *priv, struct http_conn *c);

/* Between the parts of the state machine. */
void request_place(struct request *r, enum placement why);
void request_place_decide(struct request *r, int64_t now_ms);
void request_place_tick(struct request *r, int64_t now_ms);
void request_place_end(struct request *r);
void request_use_room(struct traffic *t, struct backend *b);
void request_send(struct request *r, struct backend *b, struct upstream *u);
void request_sends_end(struct request *r);
struct admit_request request_view(const struct request *r, int64_t now_ms);
bool request_is_pressed(const struct request *r, int64_t now_ms);
bool request_is_out(const struct request *r);
bool request_may_send_again(const struct request *r);
enum extra_cause request_extra_cause(const struct request *r);
bool request_is_barred(const struct request *r);
void request_bar(struct request *r);
void request_arm(struct request *r);
void request_refuse(struct request *r, const char *why);
void request_fail(struct request *r, unsigned status, const char *why);
void request_answer(struct request *r, struct http_message *answer);
double request_retries_left(const struct request *r);

/* The log lines of a request. */
void request_log_sent(struct request *r, struct send *s, int64_t now_ms);
void request_log_retry(struct request *r, const char *why);
void request_log_extra(struct request *r, enum extra_cause cause,
		       int64_t now_ms);
void request_log_broken(struct request *r, const struct send *s, int err);
void request_log_withdrawn(struct request *r, const struct send *s,
			   int64_t now_ms);
void request_log_foreign(struct request *r, const struct send *s,
			 struct lstr answered);
void request_log_outcome(struct request *r, enum mp_event ev, unsigned status,
			 const char *why, double retry_s);

#endif
