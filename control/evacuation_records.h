/*
 * Evacuations of data centres as records of the store: one for each evacuated
 * data centre, with its name in the key. Pure logic without I/O.
 */
#ifndef MP_CONTROL_EVACUATION_RECORDS_H
#define MP_CONTROL_EVACUATION_RECORDS_H

#include "core/evacuations.h"
#include "platform/store.h"

bool evacuation_records_apply(struct evacuations *e, const char *prefix,
			      const struct store_result *r, bool listing,
			      struct store_position known);
void evacuations_log_changes(const struct evacuations *before,
			     const struct evacuations *after, const char *by,
			     struct store_position pos);

#endif
