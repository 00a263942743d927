/*
 * Strict validation of the raw heads of HTTP/1.1 messages (RFC 9112, 2 to 6). The
 * parser library (http-parser as built by Debian) accepts bare line feeds, blanks
 * in the names of headers, folded lines and any number as a status; what is
 * passed on then may be read as another message. These are rejected, as are
 * control characters, a repeated Host, Content-Length or Transfer-Encoding, the
 * two together, a length that isn't a number, and codings other than chunked.
 */
#ifndef MP_HTTP_HEAD_H
#define MP_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>

ptrdiff_t head_find_end(const char *p, size_t n, size_t from);
int head_check_request(const char *p, size_t n);
int head_check_response(const char *p, size_t n);
bool head_may_be_response(const char *p, size_t n);
bool head_is_token(const char *p, size_t n);
bool head_is_text(const char *p, size_t n);

#endif
