/* The deployment's own records in the store, beside the platform's. */
#ifndef MP_CONTROL_OWN_RECORDS_H
#define MP_CONTROL_OWN_RECORDS_H

#include "member/gossip.h"
#include "platform/store.h"

bool own_record_read(const struct store_record *rec, struct gossip_message *m);

#endif
