/*
 * What a stand-in has asked of instances in its answers, and what it got from them
 * all the same. It judges by what arrives alone: requests name the lifetime of the
 * instance that sends them. One that was frozen or cut off isn't to be judged.
 */
#ifndef MP_STAND_PROMISES_H
#define MP_STAND_PROMISES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "misc/lstr.h"

struct promises {
	unsigned off; /* so many disturbances last in which nothing is judged */
	GHashTable *by_instance; /* its name -> struct instance_promises * */
	uint64_t rests;		 /* asked for */
	uint64_t rest_got;	 /* requests within some rest */
	uint64_t rest_questions; /* questions within some rest */
	unsigned rest_worst;	 /* requests of one instance in one rest */
	uint64_t leaving_told;	 /* answers that said so */
	uint64_t leaving_got;	 /* requests long after its instance was told */
};

void promises_init(struct promises *p);
void promises_rest(struct promises *p, struct lstr instance, int64_t rest_ms,
		   int64_t now_ms);
void promises_leaving(struct promises *p, struct lstr instance, int64_t now_ms);
void promises_arrived(struct promises *p, struct lstr instance, bool question,
		      int64_t now_ms);
void promises_judge_off(struct promises *p);
void promises_judge_on(struct promises *p);
void promises_excuse(struct promises *p, const char *instance);

#endif
