#include <errno.h>

#include "http/frames.h"
#include "misc/codec.h"

enum {
	FRAME_MAX_BYTES = 256 * 1024, /* of one frame, to bound the buffer */
};

/* frame_write() adds a piece of the stream to `out`. */
void frame_write(struct buf *out, struct lstr piece)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_bin_with_body(&pk, piece.ptr, piece.len);
}

/* frame_write_end() adds the end of the stream to `out`. */
void frame_write_end(struct buf *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_nil(&pk);
}

/* Decodes a frame. Returns 0 or -EPROTO. */
static int take_frame(struct frame_reader *r, const msgpack_object *o,
		      struct buf *out)
{
	if (r->ended)
		return -EPROTO;
	if (o->type == MSGPACK_OBJECT_NIL)
		r->ended = true;
	else if (o->type == MSGPACK_OBJECT_BIN)
		buf_add_lstr(out, codec_str(o));
	else
		return -EPROTO;
	return 0;
}

/* Decodes the next frame. Returns its size, 0: incomplete, or -EPROTO. */
static ssize_t next_frame(struct frame_reader *r, struct buf *out)
{
	msgpack_unpacked frame;
	msgpack_unpack_return rc;
	size_t used = 0;
	int err = 0;

	msgpack_unpacked_init(&frame);
	rc = msgpack_unpack_next(&frame, r->in.ptr, r->in.len, &used);
	if (rc == MSGPACK_UNPACK_SUCCESS || rc == MSGPACK_UNPACK_EXTRA_BYTES)
		err = take_frame(r, &frame.data, out);
	else if (rc == MSGPACK_UNPACK_CONTINUE)
		used = 0;
	else
		err = -EPROTO;
	msgpack_unpacked_destroy(&frame);
	return err ? err : (ssize_t)used;
}

/*
 * frame_read() decodes input and adds the pieces of the stream to `out`; sets
 * r->ended after the last one. Returns 0, or -EPROTO for invalid input.
 */
int frame_read(struct frame_reader *r, struct lstr input, struct buf *out)
{
	ssize_t n;

	buf_add_lstr(&r->in, input);
	while (r->in.len && (n = next_frame(r, out))) {
		if (n < 0)
			return (int)n;
		buf_consume(&r->in, (size_t)n);
	}
	if (r->in.len > FRAME_MAX_BYTES)
		return -EPROTO;
	if (!r->in.len)
		buf_free(&r->in);
	return 0;
}

/* frame_reader_free() frees the buffer of a reader. */
void frame_reader_free(struct frame_reader *r)
{
	buf_free(&r->in);
}
