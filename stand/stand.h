/*
 * Simulators of the systems that entry instances work with, implemented by
 * this project from the published protocol: the platform's store
 * (stand/store.c), a backend server (stand/backend.c), the operator
 * (stand/operator.c), callers with keys (stand/callers.c), clients that don't
 * behave (stand/crowd.c) and a faulty network (stand/proxy.c). Tests and the local
 * run use them in place of the real systems.
 */
#ifndef MP_STAND_STAND_H
#define MP_STAND_STAND_H

#include "core/backend.h"
#include "http/client.h"
#include "options/deploy.h"
#include "platform/store.h"

#define STAND_HEALTH_PATH "/health"

/* Callers with keys of workspaces, see stand/callers.c. */
struct callers_args {
	int seconds, rate, connections;
	unsigned seed;
	char **keys; /* NULL-terminated; a key that is repeated is used more */
};

/* Clients that don't behave, see stand/crowd.c. */
struct crowd_args {
	const char *entry, *behaviour, *port;
	int seconds, connections;
};

int stand_crowd_main(const struct deploy *d, const struct crowd_args *a);
int stand_store_main(const struct deploy *d);
int stand_backend_main(const struct deploy *d, const char *service, int index,
		       unsigned seed);
int stand_operator_main(const struct deploy *d, uint64_t version,
			char **workspaces);
int stand_callers_main(const struct deploy *d, const struct callers_args *a);
int stand_evacuate_main(const struct deploy *d, const char *dc, bool evacuate);
int stand_proxy_main(const struct deploy *d, const char *service,
		     const char *entry);
int stand_fill_main(const struct deploy *d, int from, int to);
void stand_put(struct http_client *c, struct ev_loop *loop,
	       const struct sockaddr_in *store, const char *topic,
	       struct lstr key, struct lstr value);

#endif
