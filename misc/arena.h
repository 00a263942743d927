/*
 * Arena allocator: bump allocation for objects of the same lifetime, such as
 * everything that belongs to one message or one configuration version. Single
 * objects aren't freed; arena_free() releases the whole arena.
 */
#ifndef MP_MISC_ARENA_H
#define MP_MISC_ARENA_H

#include <stddef.h>

#include "misc/lstr.h"

struct arena_block;

struct arena {
	struct arena_block *head;
	size_t total_bytes;
};

void *arena_alloc(struct arena *a, size_t size);
char *arena_strndup(struct arena *a, const char *s, size_t len);
struct lstr arena_lstr(struct arena *a, struct lstr s);
char *arena_printf(struct arena *a, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void arena_free(struct arena *a);

#endif
