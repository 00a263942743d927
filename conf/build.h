/*
 * Builds a configuration version from the deployment's settings and the values
 * that operators patched. Keys:
 *   policy, policy.SERVICE       load-balancing policy
 *   drain.SERVER = true          no new requests to this backend server
 *   timeout_ms.SERVICE, target_ms.SERVICE, attempts.SERVICE
 * A caller's request for a service goes to the route /v1/call/SERVICE/.
 */
#ifndef MP_CONF_BUILD_H
#define MP_CONF_BUILD_H

#include "conf/values.h"
#include "core/config.h"
#include "options/deploy.h"

/* Host and path prefix of the native API's routes. */
#define CONF_NATIVE_HOST   "calls"
#define CONF_NATIVE_PREFIX "/v1/call/"

struct config *conf_build(const struct deploy *d, const struct conf_values *v,
			  struct findings *f);
struct config *conf_decode(void *deploy, struct lstr record,
			   struct findings *f);

#endif
