/* Fixture: a service with a number of backend servers. */
#ifndef MP_TESTS_SERVERS_H
#define MP_TESTS_SERVERS_H

#include <stdlib.h>

#include "core/backend.h"

struct servers {
	struct backend_set set;
	struct service *service;
	struct backend **list;
	int n;
};

/* Ignores removals. */
static inline void servers_on_gone(void *priv, struct backend *b, bool ended)
{
}

/*
 * Server i is in data centre "dc-(i mod 2)" and has answered before without
 * advertising a limit.
 */
static inline struct servers *servers_new(int n, unsigned slots)
{
	struct servers *s = g_new0(struct servers, 1);

	s->n = n;
	s->list = g_new0(struct backend *, n);
	backend_set_init(&s->set, servers_on_gone, NULL);
	for (int i = 0; i < n; i++) {
		struct backend_entry e = {.slots = slots};

		g_snprintf(e.id, sizeof(e.id), "i-%d", i);
		g_strlcpy(e.service, "harta", sizeof(e.service));
		g_snprintf(e.dc, sizeof(e.dc), "dc-%d", i % 2);
		e.addr.sin_port = (in_port_t)(i + 1);
		backend_set_put(&s->set, &e, 0);
		s->list[i] = g_hash_table_lookup(s->set.by_id, e.id);
		s->list[i]->load.slots = slots;
		s->list[i]->load.slowdown_pct = 100;
		s->list[i]->state->seen_unlimited = true;
	}
	s->service = backend_set_service(&s->set, LSTR("harta"));
	return s;
}

/*
 * Records answers of servers whose service time grows to 1.7 times beyond 80%
 * of their slots.
 */
static inline void servers_record_knee(struct service *s, unsigned slots)
{
	struct work_model w;

	work_model_init(&w, 180);
	for (int i = 0; i < 200; i++) {
		for (unsigned n = 1; n <= slots; n++) {
			struct server_view v = {.active_requests = n,
						.slots = slots,
						.slowdown_pct = 100};

			latency_record(&s->model, &w, &v,
				       n > 0.8 * slots ? 102 : 60, 100000);
		}
	}
}

/* Removes the servers and frees the fixture. */
static inline void servers_free(struct servers *s)
{
	for (int i = 0; i < s->n; i++)
		backend_set_remove(&s->set, s->list[i]->entry.id);
	g_free(s->list);
	g_free(s);
}

#endif
