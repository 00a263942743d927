/*
 * Findings: validation errors collected with their location (file, line, key)
 * and reported together, so that an operator sees every error of a settings
 * file at once.
 */
#ifndef MP_MISC_FINDINGS_H
#define MP_MISC_FINDINGS_H

#include <glib.h>

struct finding {
	char *file;
	int line;
	char *key;
	char *message;
};

struct findings {
	GPtrArray *list;
};

void findings_init(struct findings *f);
void findings_add(struct findings *f, const char *file, int line,
		  const char *key, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
int findings_report(const struct findings *f);
void findings_clear(struct findings *f);

#endif
