/*
 * How short a service is: the share of its new requests that find no server
 * with room. Instances tell each other what they counted, since in a burst of a
 * few seconds over a hundred instances each of them sees a dozen requests.
 *
 * In a short lack of room waiting helps: the request that waits gets the next
 * slot. In a long one it harms: each request waits until there is only just
 * time left to serve it, and much of what is served so is late after all. Then
 * the requests that have just arrived get the slots, and the others are refused
 * at once.
 */
#ifndef MP_CORE_SHORTAGE_H
#define MP_CORE_SHORTAGE_H

#include <stdbool.h>
#include <stdint.h>

/* Requests that could be on time when they arrived. */
struct shortage_counts {
	unsigned asked;	 /* all of them */
	unsigned missed; /* those that found no server with room */
};

struct shortage {
	double asked, missed; /* of all instances, decaying */
	double heard;	      /* those of `asked` that peers told, decaying */
	int64_t at_ms;	      /* when these were computed */
	struct shortage_counts untold; /* counted since untold_ms */
	int64_t untold_ms;
};

void shortage_record(struct shortage *s, struct shortage_counts own,
		     int64_t now_ms);
void shortage_record_told(struct shortage *s, struct shortage_counts told,
			  int64_t now_ms);
struct shortage_counts shortage_take_untold(struct shortage *s);
bool shortage_is_felt(const struct shortage *s, int64_t now_ms);
double shortage_share(const struct shortage *s, int64_t now_ms);
double shortage_wait_cut(double share);

#endif
