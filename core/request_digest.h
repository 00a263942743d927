/*
 * Identity of a request by its content: callers repeat a request under a new id
 * and at any instance, so its repetitions are recognized by their content.
 */
#ifndef MP_CORE_REQUEST_DIGEST_H
#define MP_CORE_REQUEST_DIGEST_H

#include <stddef.h>
#include <stdint.h>

#include "misc/lstr.h"

uint64_t request_digest(const struct lstr *parts, size_t n);

#endif
