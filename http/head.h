/*
 * Strict validation of the raw head of an HTTP/1.1 request, against request
 * smuggling. The parser library (http-parser as built by Debian) accepts bare
 * line feeds and whitespace before a colon, which a backend server may parse as
 * a different request; an entry instance rejects them.
 */
#ifndef MP_HTTP_HEAD_H
#define MP_HTTP_HEAD_H

#include <stddef.h>

ptrdiff_t head_find_end(const char *p, size_t n, size_t from);
int head_check(const char *p, size_t n);

#endif
