/*
 * Finds out whether a backend server has ended after a connection broke during
 * a request. Connections break for many reasons; if the process has ended,
 * either new connections are refused or another start of the server responds at
 * its address.
 */
#ifndef MP_TRAFFIC_CRASH_CHECK_H
#define MP_TRAFFIC_CRASH_CHECK_H

#include "traffic/traffic.h"

void crash_check_begin(struct traffic *t, struct backend *b, uint64_t digest);
void crash_check_answered(struct traffic *t, uint64_t digest);

#endif
