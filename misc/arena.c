#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/arena.h"

enum { ARENA_BLOCK_MIN = 4096, ARENA_ALIGN = 16 };

struct arena_block {
	struct arena_block *next;
	size_t used;
	size_t size;
	_Alignas(16) unsigned char data[]; /* as malloc aligns */
};

/*
 * arena_alloc() returns size bytes aligned to 16, zeroed, valid until
 * arena_free(). An allocation larger than a block gets its own block. Aborts
 * when out of memory, since callers have no way to continue.
 */
void *arena_alloc(struct arena *a, size_t size)
{
	struct arena_block *b = a->head;
	size_t need = (size + ARENA_ALIGN - 1) & ~(size_t)(ARENA_ALIGN - 1);

	if (!b || b->size - b->used < need) {
		size_t bsize = need > ARENA_BLOCK_MIN ? need : ARENA_BLOCK_MIN;

		b = malloc(sizeof(*b) + bsize);
		if (!b)
			abort();
		b->next = a->head;
		b->used = 0;
		b->size = bsize;
		a->head = b;
		a->total_bytes += bsize;
	}
	void *p = b->data + b->used;

	b->used += need;
	memset(p, 0, size);
	return p;
}

/* arena_strndup() copies len bytes of s and adds a terminating NUL. */
char *arena_strndup(struct arena *a, const char *s, size_t len)
{
	char *p = arena_alloc(a, len + 1);

	memcpy(p, s, len);
	p[len] = '\0';
	return p;
}

/* arena_lstr() copies a length-counted string into the arena. */
struct lstr arena_lstr(struct arena *a, struct lstr s)
{
	return (struct lstr){arena_strndup(a, s.ptr, s.len), s.len};
}

/* arena_printf() formats into a NUL-terminated string in the arena. */
char *arena_printf(struct arena *a, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	int n = vsnprintf(NULL, 0, fmt, ap);

	va_end(ap);
	char *p = arena_alloc(a, (size_t)n + 1);

	va_start(ap, fmt);
	vsnprintf(p, (size_t)n + 1, fmt, ap);
	va_end(ap);
	return p;
}

/* arena_free() releases every block; the arena may be reused. */
void arena_free(struct arena *a)
{
	struct arena_block *b = a->head;

	while (b) {
		struct arena_block *next = b->next;

		free(b);
		b = next;
	}
	a->head = NULL;
	a->total_bytes = 0;
}
