/*
 * Quotas of workspaces on the traffic thread: before a request is sent for the
 * first time, one of the quota's holders grants it; see core/quota.h. This
 * instance asks holders on behalf of its callers, and answers as a holder.
 */
#ifndef MP_TRAFFIC_QUOTAS_H
#define MP_TRAFFIC_QUOTAS_H

#include "core/quota_message.h"
#include "core/quota_pick.h"
#include "core/workspace.h"

struct traffic;
struct request;

enum quota_result { QUOTA_GRANTED, QUOTA_REFUSED, QUOTA_PENDING };

/* One workspace's quota at this instance. */
struct quota_use {
	uint32_t id;
	char *name;
	struct quota_terms terms;
	struct quota_bucket bucket; /* of this instance, if it is a holder */
	struct quota_holders holders;
	bool starts_full;     /* nothing can have been granted before */
	int64_t turn_ms;      /* last time named to a refused caller */
	int64_t gone_ms;      /* since when it isn't configured; 0: it is */
	uint64_t granted;     /* requests of this instance's callers */
	uint64_t refused;     /* beyond the quota */
	uint64_t unreachable; /* no holder answered */
};

struct quotas {
	GHashTable *uses;   /* workspace id -> struct quota_use * */
	GHashTable *asking; /* serial -> struct request * */
	uint32_t serial;    /* of the last ask */
	int64_t open_ms; /* nothing is granted before; 0: no instances known */
	int64_t configured_ms; /* the first configuration; 0: none yet */
};

void quotas_init(struct traffic *t);
void quotas_configure(struct traffic *t);
void quotas_update(struct traffic *t);
const struct quota_use *quotas_use(const struct traffic *t, uint32_t workspace);
unsigned quotas_used_here(struct traffic *t, uint32_t workspace);
enum quota_result quotas_acquire(struct request *r);
bool quotas_allow_send(struct request *r);
void quotas_release(struct request *r);
void quotas_peer_message(struct traffic *t, const struct quota_message *m);

#endif
