/*
 * Settings: INI files read with GLib's GKeyFile and validated against option
 * tables, each defined next to the struct it fills. Every error becomes a
 * finding with file, line and key; a process starts only without findings, so
 * it never runs partially configured.
 */
#ifndef MP_OPTIONS_SETTINGS_H
#define MP_OPTIONS_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#include "misc/findings.h"

enum opt_type {
	OPT_STR,
	OPT_INT,
	OPT_REAL, /* a non-negative number, stored as double */
	OPT_BOOL,
	OPT_ADDR, /* IPv4 address and port, stored as char * */
	OPT_LIST, /* comma-separated, stored as char ** (NULL-terminated) */
};

struct opt_def {
	const char *key;
	enum opt_type type;
	size_t offset;
	const char *def; /* NULL: the key is required */
	long min, max;	 /* for OPT_INT */
};

#define OPT_END                              \
	{                                    \
		NULL, OPT_STR, 0, NULL, 0, 0 \
	}

struct settings {
	GKeyFile *kf;
	char *path; /* file name in findings */
	char *text; /* content, for line numbers */
};

int settings_open(struct settings *s, const char *path, const char *text,
		  struct findings *f);
void settings_read_group(const struct settings *s, const char *group,
			 const struct opt_def *defs, void *out,
			 struct findings *f);
void settings_check_keys(const struct settings *s, const char *group,
			 const struct opt_def *defs, struct findings *f);
int settings_find_line(const char *text, const char *group, const char *key);
void settings_close(struct settings *s);

int addr_split(const char *addr, char *host, size_t host_len, int *port);

extern const char settings_default_ini[];

#endif
