/*
 * Checks that instances comply with the responses of a simulated backend
 * server: no requests during a backoff or after it announced that it drains.
 * Requests name the lifetime of the instance that sends them. Instances that
 * were paused or partitioned are exempt, as they may not have got the response.
 */
#ifndef MP_STAND_AUDIT_H
#define MP_STAND_AUDIT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "misc/lstr.h"

/* Compliance of all instances with one server. */
struct audit {
	unsigned suspended;	    /* nesting depth; no checks if > 0 */
	GHashTable *by_instance;    /* lifetime -> struct audit_instance * */
	uint64_t backoffs;	    /* responses that asked for one */
	uint64_t backoff_got;	    /* requests during a backoff */
	uint64_t backoff_questions; /* probes during a backoff */
	unsigned backoff_worst;	    /* most requests in one backoff */
	uint64_t draining_told;	    /* responses that announced it */
	uint64_t draining_got;	    /* requests in spite of the announcement */
};

void audit_init(struct audit *p);
void audit_backoff(struct audit *p, struct lstr instance, int64_t backoff_ms,
		   int64_t now_ms);
void audit_draining(struct audit *p, struct lstr instance, int64_t now_ms);
void audit_request(struct audit *p, struct lstr instance, bool probe,
		   int64_t now_ms);
void audit_suspend(struct audit *p);
void audit_resume(struct audit *p);
void audit_excuse(struct audit *p, const char *instance);

#endif
