/*
 * Growable byte buffers for socket input and output. A buffer owns its memory.
 * Idle connections call buf_free(), so that a keep-alive connection holds no
 * buffer memory.
 */
#ifndef MP_MISC_BUF_H
#define MP_MISC_BUF_H

#include <stddef.h>

#include "misc/lstr.h"

struct buf {
	char *ptr;
	size_t len, cap;
};

size_t buf_grown(const struct buf *b, size_t n);
char *buf_reserve(struct buf *b, size_t n);
void buf_reserve_exactly(struct buf *b, size_t n);
void buf_add(struct buf *b, const void *p, size_t n);
void buf_add_lstr(struct buf *b, struct lstr s);
void buf_printf(struct buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void buf_consume(struct buf *b, size_t n);
void buf_free(struct buf *b);

/* buf_lstr() returns the content as a string that borrows the memory. */
static inline struct lstr buf_lstr(const struct buf *b)
{
	return (struct lstr){b->ptr ? b->ptr : "", b->len};
}

#endif
