#include <string.h>

#include "stand/query.h"

static void free_string(gpointer p)
{
	g_string_free(p, TRUE);
}

/*
 * Decodes a part of a form-encoded query: '+' is a blank, and %XX any byte, a
 * null byte too.
 */
static GString *decode(const char *text, size_t n)
{
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < n; i++) {
		bool escaped = text[i] == '%' && i + 2 < n &&
			       g_ascii_isxdigit(text[i + 1]) &&
			       g_ascii_isxdigit(text[i + 2]);

		if (escaped) {
			g_string_append_c(
				out,
				(char)(g_ascii_xdigit_value(text[i + 1]) << 4 |
				       g_ascii_xdigit_value(text[i + 2])));
			i += 2;
		} else {
			g_string_append_c(out, text[i] == '+' ? ' ' : text[i]);
		}
	}
	return out;
}

/* Adds the parameters of a query; the last one of a name counts. */
static void add_params(GHashTable *params, const char *text)
{
	char **parts = g_strsplit(text, "&", -1);

	for (char **p = parts; *p; p++) {
		size_t n = strcspn(*p, "=");
		const char *value = *p + n + ((*p)[n] == '=');
		GString *name = decode(*p, n);

		g_hash_table_replace(params, g_string_free(name, FALSE),
				     decode(value, strlen(value)));
	}
	g_strfreev(parts);
}

/*
 * query_split() returns the path, to be freed, and parses the query into q. A
 * fragment isn't part of either.
 */
char *query_split(struct lstr target, struct query *q)
{
	char *text = g_strndup(target.ptr, target.len);
	char *separator;

	text[strcspn(text, "#")] = '\0';
	separator = strchr(text, '?');
	q->params = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  free_string);
	if (separator) {
		*separator = '\0';
		add_params(q->params, separator + 1);
	}
	return text;
}

/* query_text() returns the value of a parameter, or NULL. */
const char *query_text(const struct query *q, const char *name)
{
	const GString *s = g_hash_table_lookup(q->params, name);

	return s ? s->str : NULL;
}

/* query_bytes() returns the value of a parameter with its length, or {NULL}. */
struct lstr query_bytes(const struct query *q, const char *name)
{
	const GString *s = g_hash_table_lookup(q->params, name);

	return s ? (struct lstr){s->str, s->len} : (struct lstr){NULL, 0};
}

/* query_int() returns the value of a parameter as an integer, or `fallback`. */
int64_t query_int(const struct query *q, const char *name, int64_t fallback)
{
	const char *s = query_text(q, name);

	return s ? g_ascii_strtoll(s, NULL, 10) : fallback;
}

/* query_free() frees the parameters. */
void query_free(struct query *q)
{
	g_hash_table_unref(q->params);
	q->params = NULL;
}
