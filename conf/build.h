/*
 * Builds a configuration version from the deployment's settings and the
 * operators' patched values. Keys:
 *   policy, policy.SERVICE       how servers are chosen
 *   drain.SERVER = true          no new work to this server
 *   timeout_ms.SERVICE, target_ms.SERVICE, attempts.SERVICE
 * A caller's request for a service goes to the route /v1/call/SERVICE/.
 */
#ifndef MP_CONF_BUILD_H
#define MP_CONF_BUILD_H

#include "conf/values.h"
#include "core/config.h"
#include "options/deploy.h"

/* The host of the routes that the product's own interface uses. */
#define CONF_NATIVE_HOST   "calls"
#define CONF_NATIVE_PREFIX "/v1/call/"

struct config *conf_build(const struct deploy *d, const struct conf_values *v,
			  struct findings *f);
struct config *conf_decode(void *deploy, struct lstr record,
			   struct findings *f);

#endif
