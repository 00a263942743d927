#include <errno.h>
#include <stdarg.h>

#include "common/event.h"
#include "misc/findings.h"

/* Frees a finding, as the list's element destructor. */
static void finding_free(gpointer p)
{
	struct finding *fd = p;

	g_free(fd->file);
	g_free(fd->key);
	g_free(fd->message);
	g_free(fd);
}

/* findings_init() creates an empty list. */
void findings_init(struct findings *f)
{
	f->list = g_ptr_array_new_with_free_func(finding_free);
}

/*
 * findings_add() records one error. line is 0 when there is none, as for a
 * missing key; key is NULL for errors of a whole file or section.
 */
void findings_add(struct findings *f, const char *file, int line,
		  const char *key, const char *fmt, ...)
{
	struct finding *fd = g_new0(struct finding, 1);
	va_list ap;

	fd->file = g_strdup(file);
	fd->line = line;
	fd->key = g_strdup(key);
	va_start(ap, fmt);
	fd->message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(f->list, fd);
}

/*
 * findings_report() logs every finding as event 111 and their number as event
 * 110. Returns 0 if there are none, -EINVAL otherwise.
 */
int findings_report(const struct findings *f)
{
	if (f->list->len == 0)
		return 0;
	for (guint i = 0; i < f->list->len; i++) {
		const struct finding *fd = g_ptr_array_index(f->list, i);

		mp_event(EV_SETTINGS_FINDING, G_LOG_LEVEL_WARNING,
			 "%s:%d: %s: %s", fd->file, fd->line,
			 fd->key ? fd->key : "-", fd->message);
	}
	mp_event(EV_SETTINGS_INVALID, G_LOG_LEVEL_CRITICAL,
		 "%u problem(s) in the settings", f->list->len);
	return -EINVAL;
}

/* findings_clear() frees the list. */
void findings_clear(struct findings *f)
{
	g_ptr_array_unref(f->list);
	f->list = NULL;
}
