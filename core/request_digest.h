/*
 * What tells one request from another: callers send a request again under a
 * new id, to any instance, so its attempts are known by what they ask for.
 */
#ifndef MP_CORE_REQUEST_DIGEST_H
#define MP_CORE_REQUEST_DIGEST_H

#include <stddef.h>
#include <stdint.h>

#include "misc/lstr.h"

uint64_t request_digest(const struct lstr *parts, size_t n);

#endif
