#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "member/tunnel_request.h"

#define H_TUNNEL_ID   LSTR("Tunnel-Id")
#define H_TUNNEL_FROM LSTR("Tunnel-From")

/* tunnel_request_write() writes the head of the request; it has no body. */
void tunnel_request_write(struct buf *out, const struct tunnel_request *r)
{
	buf_printf(out,
		   "CONNECT %.*s HTTP/1.1\r\nHost: %.*s\r\n"
		   "%s: %016" PRIx64 "\r\n%s: %.*s\r\n\r\n",
		   (int)r->backend.len, r->backend.ptr, (int)r->backend.len,
		   r->backend.ptr, H_TUNNEL_ID.ptr, r->id, H_TUNNEL_FROM.ptr,
		   (int)r->from.len, r->from.ptr);
}

/*
 * tunnel_request_read() decodes a request; its strings point into m. Returns 0
 * or -EINVAL.
 */
int tunnel_request_read(const struct http_message *m,
			struct tunnel_request *out)
{
	struct lstr id = http_find_header(m, H_TUNNEL_ID);
	char text[17] = "";

	if (!lstr_eq(m->method, LSTR("CONNECT")) || !m->target.len ||
	    id.len != sizeof(text) - 1)
		return -EINVAL;
	memcpy(text, id.ptr, id.len);
	out->backend = m->target;
	out->from = http_find_header(m, H_TUNNEL_FROM);
	/* NOLINTNEXTLINE(cert-err34-c): the result is checked */
	return sscanf(text, "%16" SCNx64, &out->id) == 1 ? 0 : -EINVAL;
}
