/* Compression of data between instances, in zlib's format. */
#ifndef MP_MISC_DEFLATE_H
#define MP_MISC_DEFLATE_H

#include "misc/buf.h"
#include "misc/lstr.h"

int deflate_write(struct buf *out, struct lstr data);
int deflate_read(struct lstr packed, size_t max, struct buf *out);

#endif
