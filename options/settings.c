#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "options/settings.h"

/*
 * settings_open() reads an INI file, or the given text if path is NULL. Returns
 * 0, or -EINVAL after adding a finding if the file can't be read or parsed.
 */
int settings_open(struct settings *s, const char *path, const char *text,
		  struct findings *f)
{
	GError *err = NULL;
	gsize len = 0;

	memset(s, 0, sizeof(*s));
	s->kf = g_key_file_new();
	s->path = g_strdup(path ? path : "(embedded default)");
	if (path) {
		if (!g_file_get_contents(path, &s->text, &len, &err)) {
			findings_add(f, s->path, 0, NULL, "%s", err->message);
			g_error_free(err);
			return -EINVAL;
		}
	} else {
		s->text = g_strdup(text);
	}
	if (!g_key_file_load_from_data(s->kf, s->text, (gsize)-1,
				       G_KEY_FILE_NONE, &err)) {
		findings_add(f, s->path, 0, NULL, "not an INI file: %s",
			     err->message);
		g_error_free(err);
		return -EINVAL;
	}
	return 0;
}

/* Skips spaces and tabs. */
static const char *skip_blanks(const char *p)
{
	while (*p == ' ' || *p == '\t')
		p++;
	return p;
}

/*
 * settings_find_line() returns the 1-based line of key in [group], or of the
 * group header if key is NULL or absent, or 0 if the group is absent. GKeyFile
 * keeps no line numbers, so this scans the text.
 */
int settings_find_line(const char *text, const char *group, const char *key)
{
	size_t glen = strlen(group), klen = key ? strlen(key) : 0;
	int line = 1, group_line = 0;
	bool in_group = false;

	for (const char *p = text; *p; line++) {
		const char *q = skip_blanks(p);

		if (*q == '[') {
			in_group = !strncmp(q + 1, group, glen) &&
				   q[1 + glen] == ']';
			if (in_group && !group_line)
				group_line = line;
		} else if (in_group && key && !strncmp(q, key, klen)) {
			const char *r = skip_blanks(q + klen);

			if (*r == '=')
				return line;
		}
		p = strchr(p, '\n');
		if (!p)
			break;
		p++;
	}
	return group_line;
}

/*
 * addr_split() parses "a.b.c.d:port". Returns 0 or -EINVAL. Host names are
 * rejected: instances address each other by IP address, and a name would need
 * a resolver at startup.
 */
int addr_split(const char *addr, char *host, size_t host_len, int *port)
{
	const char *colon = strrchr(addr, ':');
	struct in_addr ia;
	char *end;

	if (!colon || (size_t)(colon - addr) >= host_len ||
	    !g_ascii_isdigit(colon[1]))
		return -EINVAL;
	memcpy(host, addr, (size_t)(colon - addr));
	host[colon - addr] = '\0';
	if (inet_pton(AF_INET, host, &ia) != 1)
		return -EINVAL;
	long p = strtol(colon + 1, &end, 10);

	if (*end || p < 1 || p > 65535)
		return -EINVAL;
	*port = (int)p;
	return 0;
}

/* Parses a value into its field; adds a finding if it is invalid. */
static void parse_value(const struct settings *s, const char *group,
			const struct opt_def *d, const char *raw, void *out,
			struct findings *f)
{
	char *field = (char *)out + d->offset;
	int line = settings_find_line(s->text, group, d->key);
	char *end, host[64];
	long v;
	int port;

	switch (d->type) {
	case OPT_STR:
		*(char **)field = g_strdup(raw);
		break;
	case OPT_INT:
		v = strtol(raw, &end, 10);
		if (*raw == '\0' || *end != '\0') {
			findings_add(f, s->path, line, d->key,
				     "'%s' is not an integer", raw);
		} else if (v < d->min || v > d->max) {
			findings_add(f, s->path, line, d->key,
				     "%ld is outside %ld..%ld", v, d->min,
				     d->max);
		}
		*(int *)field = (int)v;
		break;
	case OPT_REAL:
		*(double *)(void *)field = g_ascii_strtod(raw, &end);
		if (*raw == '\0' || *end != '\0' ||
		    *(double *)(void *)field < 0)
			findings_add(f, s->path, line, d->key,
				     "'%s' is not a non-negative number", raw);
		break;
	case OPT_BOOL:
		if (*raw == '\0' && d->def)
			raw = d->def; /* unset template variable */
		if (!strcmp(raw, "true") || !strcmp(raw, "false"))
			*(bool *)field = !strcmp(raw, "true");
		else
			findings_add(f, s->path, line, d->key,
				     "'%s' is neither true nor false", raw);
		break;
	case OPT_ADDR:
		if (*raw == '\0' && d->def)
			break; /* optional: stays NULL */
		if (addr_split(raw, host, sizeof(host), &port))
			findings_add(f, s->path, line, d->key,
				     "'%s' is not an address a.b.c.d:port",
				     raw);
		*(char **)field = g_strdup(raw);
		break;
	case OPT_LIST:
		*(char ***)field = g_strsplit(raw, ",", -1);
		for (char **it = *(char ***)field; *it; it++)
			g_strstrip(*it);
		break;
	}
}

/*
 * settings_read_group() fills the struct at out, as described by defs, from
 * [group]. Missing keys get their default; missing required keys, invalid
 * values and unknown keys become findings.
 */
void settings_read_group(const struct settings *s, const char *group,
			 const struct opt_def *defs, void *out,
			 struct findings *f)
{
	for (const struct opt_def *d = defs; d->key; d++) {
		char *raw = g_key_file_get_value(s->kf, group, d->key, NULL);

		if (raw)
			g_strstrip(raw);
		if (!raw && !d->def) {
			findings_add(f, s->path,
				     settings_find_line(s->text, group, NULL),
				     d->key, "required in [%s]", group);
			continue;
		}
		/* Numbers are empty if the template variable was unset. */
		bool unset =
			!raw || (*raw == '\0' && d->type == OPT_REAL && d->def);

		parse_value(s, group, d, unset ? d->def : raw, out, f);
		g_free(raw);
	}
	settings_check_keys(s, group, defs, f);
}

/* settings_check_keys() adds a finding for every key that defs lacks. */
void settings_check_keys(const struct settings *s, const char *group,
			 const struct opt_def *defs, struct findings *f)
{
	gchar **keys = g_key_file_get_keys(s->kf, group, NULL, NULL);

	for (gchar **k = keys; k && *k; k++) {
		const struct opt_def *d = defs;

		while (d->key && strcmp(d->key, *k))
			d++;
		if (!d->key)
			findings_add(f, s->path,
				     settings_find_line(s->text, group, *k), *k,
				     "unknown key in [%s]", group);
	}
	g_strfreev(keys);
}

/* settings_close() frees what settings_open() allocated. */
void settings_close(struct settings *s)
{
	if (s->kf)
		g_key_file_free(s->kf);
	g_free(s->path);
	g_free(s->text);
	memset(s, 0, sizeof(*s));
}
