#include <string.h>

#include "stand/query.h"

/* query_split() returns the path, to be freed, and parses the query into q. */
char *query_split(struct lstr target, struct query *q)
{
	char *text = g_strndup(target.ptr, target.len);
	char *separator = strchr(text, '?');

	q->params = NULL;
	if (separator) {
		*separator = '\0';
		q->params = g_uri_parse_params(separator + 1, -1, "&",
					       G_URI_PARAMS_NONE, NULL);
	}
	if (!q->params)
		q->params = g_hash_table_new(g_str_hash, g_str_equal);
	return text;
}

/* query_text() returns the value of a parameter, or NULL. */
const char *query_text(const struct query *q, const char *name)
{
	return g_hash_table_lookup(q->params, name);
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
