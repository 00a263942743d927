/*
 * Strictness checks on the raw head of an HTTP/1.1 request. The parser
 * library (http-parser as Debian builds it) accepts bare line feeds and
 * blanks before a colon; two programs that read such a head differently can
 * be made to see two different requests, so an entry refuses it.
 */
#ifndef MP_HTTP_HEAD_H
#define MP_HTTP_HEAD_H

#include <stddef.h>

ptrdiff_t head_find_end(const char *p, size_t n, size_t from);
int head_check(const char *p, size_t n);

#endif
