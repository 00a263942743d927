/* Parts of the quotas that this instance grants; see traffic/quotas.h. */
#ifndef MP_TRAFFIC_QUOTA_HOLDER_H
#define MP_TRAFFIC_QUOTA_HOLDER_H

#include "control/control.h"
#include "traffic/quotas.h"

struct quota_use *quota_use_find(const struct traffic *t, uint32_t workspace);
void quota_holder_send(struct traffic *t, enum from_traffic kind,
		       const struct quota_message *m);
void quota_holder_receive(struct traffic *t, const struct quota_message *m);
void quota_holder_update(struct traffic *t, struct quota_use *u);

#endif
