#include <errno.h>
#include <stdint.h>

#include <glib.h>
#include <zlib.h>

#include "misc/deflate.h"

/* The length of the data, big-endian, precedes the compressed bytes. */
enum { LENGTH_BYTES = 4 };

/*
 * deflate_write() appends compressed data. The fastest level makes the state of
 * an instance three times smaller. Returns 0 or -EIO.
 */
int deflate_write(struct buf *out, struct lstr data)
{
	unsigned char length[LENGTH_BYTES] = {data.len >> 24, data.len >> 16,
					      data.len >> 8, data.len};
	uLongf n = compressBound(data.len);
	Bytef *packed = g_malloc(n);
	int rc = compress2(packed, &n, (const Bytef *)data.ptr, data.len,
			   Z_BEST_SPEED);

	if (rc == Z_OK) {
		buf_add(out, length, sizeof(length));
		buf_add(out, packed, n);
	}
	g_free(packed);
	return rc == Z_OK ? 0 : -EIO;
}

/*
 * deflate_read() appends the data that was compressed. Returns 0, or -EPROTO if
 * it is invalid or longer than `max` bytes.
 */
int deflate_read(struct lstr packed, size_t max, struct buf *out)
{
	const unsigned char *p = (const unsigned char *)packed.ptr;
	uLongf n, length;
	Bytef *data;
	int rc;

	if (packed.len < LENGTH_BYTES)
		return -EPROTO;
	length = (uLongf)p[0] << 24 | (uLongf)p[1] << 16 | (uLongf)p[2] << 8 |
		 p[3];
	if (length > max)
		return -EPROTO;
	n = length;
	data = g_malloc(n + 1);
	rc = uncompress(data, &n, p + LENGTH_BYTES, packed.len - LENGTH_BYTES);
	if (rc == Z_OK && n == length)
		buf_add(out, data, n);
	else
		rc = Z_DATA_ERROR;
	g_free(data);
	return rc == Z_OK ? 0 : -EPROTO;
}
