#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "member/tunnel_request.h"

#define H_TUNNEL_ID   LSTR("Tunnel-Id")
#define H_TUNNEL_FROM LSTR("Tunnel-From")
/* In both directions: the server's bytes are sent in frames. */
#define H_TUNNEL_FRAMES LSTR("Tunnel-Frames")

/* Ends a head, with the offer or the promise of frames. */
static void write_end(struct buf *out, bool framed)
{
	if (framed)
		buf_printf(out, "%s: 1\r\n", H_TUNNEL_FRAMES.ptr);
	buf_add_lstr(out, LSTR("\r\n"));
}

static bool has_frames(const struct http_message *m)
{
	return http_find_header(m, H_TUNNEL_FRAMES).len > 0;
}

/* tunnel_request_write() writes the head of the request; it has no body. */
void tunnel_request_write(struct buf *out, const struct tunnel_request *r)
{
	buf_printf(out,
		   "CONNECT %.*s HTTP/1.1\r\nHost: %.*s\r\n"
		   "%s: %016" PRIx64 "\r\n%s: %.*s\r\n",
		   (int)r->backend.len, r->backend.ptr, (int)r->backend.len,
		   r->backend.ptr, H_TUNNEL_ID.ptr, r->id, H_TUNNEL_FROM.ptr,
		   (int)r->from.len, r->from.ptr);
	write_end(out, r->framed);
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
	    m->body.len || id.len != sizeof(text) - 1)
		return -EINVAL;
	memcpy(text, id.ptr, id.len);
	out->backend = m->target;
	out->from = http_find_header(m, H_TUNNEL_FROM);
	out->framed = has_frames(m);
	/* NOLINTNEXTLINE(cert-err34-c): the result is checked */
	return sscanf(text, "%16" SCNx64, &out->id) == 1 ? 0 : -EINVAL;
}

/*
 * tunnel_answer_write() writes the answer to a request whose tunnel is open; the
 * server's bytes follow, in frames if the request offers them.
 */
void tunnel_answer_write(struct buf *out, const struct tunnel_request *r)
{
	buf_add_lstr(out, LSTR("HTTP/1.1 200 OK\r\n"));
	write_end(out, r->framed);
}

/* tunnel_answer_is_framed() returns whether an answer promises frames. */
bool tunnel_answer_is_framed(const struct http_message *m)
{
	return has_frames(m);
}
