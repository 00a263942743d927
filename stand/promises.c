#include <string.h>

#include "stand/promises.h"

/* What was on its way when an answer left may still arrive for so long. */
enum { ON_ITS_WAY_MS = 500 };

/* One answer that asked for rest. */
struct rest {
	int64_t from_ms, until_ms;
	unsigned got;
};

struct instance_promises {
	GArray *rests;	    /* struct rest */
	int64_t leaving_ms; /* first told that the server leaves; 0: not yet */
};

static void free_instance(gpointer data)
{
	struct instance_promises *i = data;

	g_array_unref(i->rests);
	g_free(i);
}

/* promises_init() begins with nothing asked. */
void promises_init(struct promises *p)
{
	*p = (struct promises){.rests = 0};
	p->by_instance = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_instance);
}

static struct instance_promises *find(struct promises *p, struct lstr name)
{
	char *key = g_strndup(name.ptr ? name.ptr : "", name.len);
	struct instance_promises *i = g_hash_table_lookup(p->by_instance, key);

	if (i) {
		g_free(key);
		return i;
	}
	i = g_new0(struct instance_promises, 1);
	i->rests = g_array_new(FALSE, FALSE, sizeof(struct rest));
	g_hash_table_insert(p->by_instance, key, i);
	return i;
}

/* promises_rest() notes that an answer asks the instance for rest. */
void promises_rest(struct promises *p, struct lstr instance, int64_t rest_ms,
		   int64_t now_ms)
{
	struct rest r = {now_ms + ON_ITS_WAY_MS, now_ms + rest_ms, 0};

	p->rests++;
	if (p->off)
		return;
	g_array_append_val(find(p, instance)->rests, r);
}

/* promises_leaving() notes that an answer says that the server leaves. */
void promises_leaving(struct promises *p, struct lstr instance, int64_t now_ms)
{
	struct instance_promises *i;

	p->leaving_told++;
	if (p->off)
		return;
	i = find(p, instance);
	if (!i->leaving_ms)
		i->leaving_ms = now_ms;
}

/* Counts one more in each rest that lasts; forgets those that are over. */
static void count_in_rests(struct promises *p, struct instance_promises *i,
			   bool question, int64_t now_ms)
{
	bool within = false;

	for (guint k = i->rests->len; k > 0; k--) {
		struct rest *r = &g_array_index(i->rests, struct rest, k - 1);

		if (now_ms >= r->until_ms) {
			g_array_remove_index_fast(i->rests, k - 1);
			continue;
		}
		if (now_ms <= r->from_ms)
			continue;
		within = true;
		r->got += !question;
		p->rest_worst = MAX(p->rest_worst, r->got);
	}
	p->rest_got += within && !question;
	p->rest_questions += within && question;
}

/* promises_arrived() judges a request, or a question for health and load. */
void promises_arrived(struct promises *p, struct lstr instance, bool question,
		      int64_t now_ms)
{
	struct instance_promises *i;

	if (p->off)
		return;
	i = find(p, instance);
	count_in_rests(p, i, question, now_ms);
	if (!question && i->leaving_ms &&
	    now_ms > i->leaving_ms + ON_ITS_WAY_MS)
		p->leaving_got++;
}

/* promises_judge_off() forgets what was asked; nothing counts from now on. */
void promises_judge_off(struct promises *p)
{
	p->off++;
	g_hash_table_remove_all(p->by_instance);
}

/* promises_judge_on() ends one disturbance. */
void promises_judge_on(struct promises *p)
{
	if (p->off)
		p->off--;
	g_hash_table_remove_all(p->by_instance);
}

static gboolean is_of(gpointer key, gpointer value, gpointer instance)
{
	return strstr(key, instance) != NULL;
}

/* promises_excuse() forgets what one instance was asked so far. */
void promises_excuse(struct promises *p, const char *instance)
{
	g_hash_table_foreach_remove(p->by_instance, is_of, (gpointer)instance);
}
