/*
 * Length-counted strings. A struct lstr borrows memory (of an arena, a buffer
 * or a literal) and need not be NUL-terminated.
 */
#ifndef MP_MISC_LSTR_H
#define MP_MISC_LSTR_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

struct lstr {
	const char *ptr;
	size_t len;
};

#define LSTR(lit) ((struct lstr){(lit), sizeof(lit) - 1})

/*
 * lstr0() wraps a NUL-terminated string without copying it; NULL becomes the
 * empty string.
 */
static inline struct lstr lstr0(const char *s)
{
	return (struct lstr){s ? s : "", s ? strlen(s) : 0};
}

/* lstr_eq() compares two strings byte for byte. */
static inline bool lstr_eq(struct lstr a, struct lstr b)
{
	return a.len == b.len &&
	       (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

/* lstr_cmp() orders two strings by their bytes, a prefix first. */
static inline int lstr_cmp(struct lstr a, struct lstr b)
{
	size_t n = a.len < b.len ? a.len : b.len;
	int c = n ? memcmp(a.ptr, b.ptr, n) : 0;

	return c ? c : (a.len > b.len) - (a.len < b.len);
}

/* lstr_starts_with() returns whether s begins with a prefix. */
static inline bool lstr_starts_with(struct lstr s, struct lstr prefix)
{
	return s.len >= prefix.len &&
	       lstr_eq((struct lstr){s.ptr, prefix.len}, prefix);
}

#endif
