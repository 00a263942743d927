#include <errno.h>

#include "traffic/clients.h"
#include "traffic/responses.h"

enum {
	BODY_MAX = 64 << 20, /* of a response, whatever the memory, bytes */
	/* One response may take at most this part of the memory for all. */
	PARTS = 4,
	/* The answer to a probe is in its head. */
	PROBE_BODY_MAX = 16 * 1024,
};

/* A body that holds `held` bytes grows to `total`. */
static bool reserve(void *priv, size_t held, size_t total)
{
	struct traffic *t = priv;

	while (!body_memory_reserve(&t->responses, held, total)) {
		if (!clients_free_replies(t))
			return false;
	}
	return true;
}

static void release(void *priv, size_t held)
{
	struct traffic *t = priv;

	body_memory_release(&t->responses, held);
}

/* responses_init() limits the memory of responses by the machine's. */
void responses_init(struct traffic *t)
{
	size_t limit = response_memory_limit(t->settings->memory_mb);

	t->responses.limit = limit;
	t->response_max = limit ? MIN(BODY_MAX, limit / PARTS) : BODY_MAX;
	t->response_gate = (struct http_body_gate){.reserve = reserve,
						   .release = release,
						   .waits = true,
						   .priv = t};
}

/*
 * responses_bound() sets the bounds of the next response on a connection, to a
 * request or to a probe.
 */
void responses_bound(const struct traffic *t, struct upstream *u, bool probe)
{
	u->http.reader.gate = &t->response_gate;
	u->http.reader.limits.body_max =
		probe ? PROBE_BODY_MAX : t->response_max;
}

/*
 * responses_is_server_alive() returns whether a failed response comes from a
 * process that is alive: its bytes are invalid or too many, or don't fit into
 * the memory here.
 */
bool responses_is_server_alive(int err)
{
	return err == -EPROTO || err == -EMSGSIZE || err == -EFBIG ||
	       err == -ENOBUFS;
}

/* responses_write_metrics() writes the memory that responses take. */
void responses_write_metrics(struct buf *out, const struct body_memory *m)
{
	buf_printf(out,
		   "response_bytes %zu\nresponse_bytes_peak %zu\n"
		   "response_bytes_limit %zu\nresponses_refused "
		   "%" G_GUINT64_FORMAT "\n",
		   m->used, m->peak, m->limit, m->refused);
}
