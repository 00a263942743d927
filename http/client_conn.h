/* Parts of http/client.h that its files share; private to http/. */
#ifndef MP_HTTP_CLIENT_CONN_H
#define MP_HTTP_CLIENT_CONN_H

#include "http/client.h"

enum { HTTP_READ_CHUNK_BYTES = 8192 }; /* most responses fit into one read */

/* In http/client.c. */
void http_client_set_timer(struct http_client *c, double timeout_s);
void http_client_watch(struct http_client *c, int events);
void http_client_watch_pending(struct http_client *c);
bool http_client_is_unsent(const struct http_client *c);
void http_client_drop_unsent(struct http_client *c);
void http_client_fail(struct http_client *c, int err);

/* In http/client_read.c. */
void http_client_init_reading(struct http_client *c);
void http_client_readable(struct http_client *c);
size_t http_client_body_length(const struct http_client *c);

#endif
