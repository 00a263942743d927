/*
 * Frames that carry a stream of bytes and mark its end, which a connection
 * alone doesn't: the kernel closes the sockets of a process that has died in
 * the same orderly way. Encoded with msgpack: a binary object for each piece of
 * the stream, then nil.
 */
#ifndef MP_HTTP_FRAMES_H
#define MP_HTTP_FRAMES_H

#include <stdbool.h>

#include "misc/buf.h"

struct frame_reader {
	struct buf in; /* an incomplete frame */
	bool ended;    /* the end of the stream has been read */
};

void frame_write(struct buf *out, struct lstr piece);
void frame_write_end(struct buf *out);
int frame_read(struct frame_reader *r, struct lstr input, struct buf *out);
void frame_reader_free(struct frame_reader *r);

#endif
