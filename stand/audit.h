/*
 * Checks whether instances comply with what a stand-in asks for in its responses: a
 * backoff, or no requests as it drains. It goes by what arrives; requests name the
 * lifetime of their instance. Instances that were frozen or cut off are exempt.
 */
#ifndef MP_STAND_AUDIT_H
#define MP_STAND_AUDIT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "misc/lstr.h"

struct audit {
	unsigned
		suspended; /* so many disturbances last in which nothing is judged */
	GHashTable *by_instance;    /* its name -> struct audit_instance * */
	uint64_t backoffs;	    /* asked for */
	uint64_t backoff_got;	    /* requests within a backoff */
	uint64_t backoff_questions; /* questions within a backoff */
	unsigned backoff_worst; /* requests of one instance in one backoff */
	uint64_t draining_told; /* answers that said so */
	uint64_t draining_got;	/* requests long after its instance was told */
};

void audit_init(struct audit *p);
void audit_backoff(struct audit *p, struct lstr instance, int64_t backoff_ms,
		   int64_t now_ms);
void audit_draining(struct audit *p, struct lstr instance, int64_t now_ms);
void audit_request(struct audit *p, struct lstr instance, bool question,
		   int64_t now_ms);
void audit_suspend(struct audit *p);
void audit_resume(struct audit *p);
void audit_excuse(struct audit *p, const char *instance);

#endif
