#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/buf.h"

/* Most message heads fit into the initial allocation. */
enum { BUF_INITIAL_BYTES = 512 };

/* Changes the memory of the buffer; aborts when out of memory. */
static void set_capacity(struct buf *b, size_t cap)
{
	b->ptr = realloc(b->ptr, cap);
	if (!b->ptr)
		abort();
	b->cap = cap;
}

/*
 * buf_grown() returns the capacity that the buffer has once n more bytes have
 * been reserved.
 */
size_t buf_grown(const struct buf *b, size_t n)
{
	size_t cap = b->cap ? b->cap : BUF_INITIAL_BYTES;

	while (cap - b->len < n)
		cap *= 2;
	return cap;
}

/*
 * buf_reserve() makes room for n more bytes and returns a pointer to it; the
 * caller adds to len what it wrote. Aborts when out of memory.
 */
char *buf_reserve(struct buf *b, size_t n)
{
	if (b->cap - b->len < n)
		set_capacity(b, buf_grown(b, n));
	return b->ptr + b->len;
}

/*
 * buf_reserve_exactly() makes room for n bytes in all, and no more. Aborts when
 * out of memory.
 */
void buf_reserve_exactly(struct buf *b, size_t n)
{
	if (b->cap < n)
		set_capacity(b, n);
}

/* buf_add() appends n bytes. */
void buf_add(struct buf *b, const void *p, size_t n)
{
	if (n == 0)
		return;
	memcpy(buf_reserve(b, n), p, n);
	b->len += n;
}

/* buf_add_lstr() appends a length-counted string. */
void buf_add_lstr(struct buf *b, struct lstr s)
{
	buf_add(b, s.ptr, s.len);
}

/* buf_printf() appends formatted text, without its NUL. */
void buf_printf(struct buf *b, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	int n = vsnprintf(NULL, 0, fmt, ap);

	va_end(ap);
	buf_reserve(b, (size_t)n + 1);
	va_start(ap, fmt);
	vsnprintf(b->ptr + b->len, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)n;
}

/* buf_consume() removes the first n bytes. */
void buf_consume(struct buf *b, size_t n)
{
	if (n >= b->len) {
		b->len = 0;
		return;
	}
	memmove(b->ptr, b->ptr + n, b->len - n);
	b->len -= n;
}

/* buf_free() releases the memory; the buffer may be reused. */
void buf_free(struct buf *b)
{
	free(b->ptr);
	*b = (struct buf){0};
}
