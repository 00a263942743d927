/*
 * Whether a backend server has ended, when a connection broke under a request.
 * A connection may break for many reasons; a process that has ended refuses
 * new ones, or another start answers at its address.
 */
#ifndef MP_TRAFFIC_CRASH_CHECK_H
#define MP_TRAFFIC_CRASH_CHECK_H

#include "traffic/traffic.h"

void crash_check_begin(struct traffic *t, struct backend *b, uint64_t digest);
void crash_check_answered(struct traffic *t, uint64_t digest);

#endif
