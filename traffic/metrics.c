#include <ck_pr.h>

#include "common/event.h"
#include "core/availability.h"
#include "core/outlier.h"
#include "misc/clock.h"
#include "traffic/clients.h"
#include "misc/text.h"
#include "traffic/metrics.h"
#include "traffic/upstream.h"
#include "traffic/responses.h"
#include "traffic/uploads.h"
#include "traffic/workspace_metrics.h"

static void write_class(struct buf *out, const struct class_stats *c)
{
	const struct {
		const char *name;
		uint64_t value;
	} counts[] = {
		{"requests", c->requests}, {"served", c->served},
		{"late", c->late},	   {"refused", c->refused},
		{"unknown", c->unknown},   {"failed", c->failed},
		{"gone", c->gone},	   {"sends", c->sends},
		{"retries", c->retries},   {"hedges", c->hedges},
		{"broken", c->broken},
	};
	static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};

	char *class = text_label(lstr0(c->name));

	for (size_t i = 0; i < sizeof(counts) / sizeof(*counts); i++)
		buf_printf(out,
			   "class_%s{class=\"%s\"} %" G_GUINT64_FORMAT "\n",
			   counts[i].name, class, counts[i].value);
	for (size_t i = 0; i < sizeof(quantiles) / sizeof(*quantiles); i++)
		buf_printf(out,
			   "class_latency_us{class=\"%s\",quantile=\"%g\"} "
			   "%" G_GUINT64_FORMAT "\n",
			   class, quantiles[i],
			   hist_quantile(&c->latency, quantiles[i]));
	buf_printf(out, "class_work_ms{class=\"%s\"} %.1f\n", class,
		   c->work.median_ms);
	g_free(class);
}

/* Writes the state of a backend server as this instance sees it. */
static void write_backend(struct buf *out, const struct backend *b,
			  int64_t now_ms)
{
	const struct load_report *l = &b->load;
	bool limited = backend_is_limited(b);
	const struct slow_start *slow = b->state->slow_start;
	bool cold = slow && now_ms < slow->cold_until_ms;
	int64_t backoff_left_ms = b->state->resume_ms - now_ms;
	const struct {
		const char *name;
		double value;
	} gauges[] = {
		{"draining", backend_is_draining(b) || b->excluded},
		{"in_flight", b->in_flight},
		{"running", l->running},
		{"waiting", l->waiting},
		{"slots", l->slots},
		{"slowdown_pct", l->slowdown_pct},
		{"load_age_ms", l->at_ms ? (double)(now_ms - l->at_ms) : -1},
		{"trouble", outlier_score(b, now_ms)},
		{"backoff_left_ms",
		 backoff_left_ms > 0 ? (double)backoff_left_ms : 0},
		{"limit_per_s",
		 limited ? b->state->limit->advertised.per_s : -1},
		{"limit_own_per_s",
		 limited ? b->state->limit->share.quota.rate_s : -1},
		{"evacuated", b->evacuated},
		{"cold_left_ms",
		 cold ? (double)(slow->cold_until_ms - now_ms) : 0},
		{"cold_own_per_s", cold ? slow->share.quota.rate_s : -1},
	};

	char *service = text_label(lstr0(b->service->name));

	for (size_t i = 0; i < sizeof(gauges) / sizeof(*gauges); i++)
		buf_printf(
			out, "backend_%s{service=\"%s\",backend=\"%s\"} %g\n",
			gauges[i].name, service, b->entry.id, gauges[i].value);
	g_free(service);
}

/*
 * Writes the extra sends of this process lifetime. The retry budget rule
 * applies to their sum over all lifetimes.
 */
static void write_account(struct buf *out, const struct service *s,
			  const char *name)
{
	const struct budget_stats *a = &s->retry_stats;

	buf_printf(out,
		   "service_requests{service=\"%s\"} %" G_GUINT64_FORMAT "\n",
		   name, a->requests);
	for (unsigned i = 0; i < EXTRA_CAUSES; i++) {
		const char *cause = extra_cause_name((enum extra_cause)i);

		buf_printf(out,
			   "service_extra_sends{service=\"%s\",cause=\"%s\"} "
			   "%" G_GUINT64_FORMAT "\n",
			   name, cause, a->spent[i]);
		buf_printf(out,
			   "service_extra_denied{service=\"%s\",cause=\"%s\"} "
			   "%" G_GUINT64_FORMAT "\n",
			   name, cause, a->denied[i]);
	}
}

static void write_service(struct buf *out, const struct traffic *t,
			  const struct service *s)
{
	char *name = text_label(lstr0(s->name));

	buf_printf(out, "service_backends{service=\"%s\"} %u\n", name,
		   s->backends->len);
	buf_printf(
		out, "service_lost_ms{service=\"%s\"} %" G_GINT64_FORMAT "\n",
		name,
		reach_is_lost(&s->reach) ? clock_ms() - s->reach.lost_ms : 0);
	buf_printf(out, "service_waiting{service=\"%s\"} %u\n", name,
		   s->waiting.length);
	buf_printf(out, "service_retries_left{service=\"%s\"} %.1f\n", name,
		   budget_left(&s->budget, &t->budget_params, clock_boot_ms()));
	write_account(out, s, name);
	g_free(name);
}

/* Writes the data centres that are evacuated as known here. */
static void write_evacuations(struct buf *out, const struct evacuations *e)
{
	buf_printf(out, "evacuations %u\n", e->n);
	for (unsigned i = 0; i < e->n; i++) {
		char *dc = text_label(lstr0(e->list[i].dc));

		buf_printf(out, "evacuated_dc{dc=\"%s\"} 1\n", dc);
		g_free(dc);
	}
}

/* Writes what was refused because of quotas, and what that cost. */
static void write_quotas(struct buf *out, const struct traffic_counters *n)
{
	const struct {
		const char *name;
		uint64_t value;
	} lines[] = {
		{"quota_refused", n->quota_refused},
		{"quota_unreachable", n->quota_unreachable},
		{"quota_asks", n->quota_asks},
		{"quota_answers", n->quota_answers},
		{"quota_timeouts", n->quota_timeouts},
		{"quota_given_back", n->quota_given_back},
		{"quota_renewals", n->quota_renewals},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		buf_printf(out, "%s %" G_GUINT64_FORMAT "\n", lines[i].name,
			   lines[i].value);
}

/* Writes what the calls to the store were for. */
static void write_store_calls(struct buf *out, const struct control_view *v)
{
	static const char *const users[STORE_USERS] = {
		[STORE_USER_CONFIG] = "config",
		[STORE_USER_BACKENDS] = "backends",
		[STORE_USER_JOIN] = "join",
		[STORE_USER_VERDICTS] = "verdicts",
		[STORE_USER_RECORDS] = "records",
	};

	for (unsigned i = 0; i < STORE_USERS; i++)
		buf_printf(out,
			   "store_calls_by{what=\"%s\"} %" G_GUINT64_FORMAT
			   "\n",
			   users[i], ck_pr_load_64(&v->store_calls_by[i]));
}

/* Writes all metrics of the traffic thread. */
void metrics_write(struct buf *out, const struct traffic *t)
{
	const struct traffic_counters *n = &t->counters;
	const struct control_view *v = t->control_view;
	int64_t list_updated_ms =
		(int64_t)ck_pr_load_64((const uint64_t *)&v->fresh_ms);
	GHashTableIter it;
	gpointer item;

	buf_printf(out, "config_version %" G_GUINT64_FORMAT "\n",
		   t->config ? t->config->version : 0);
	buf_printf(out, "backend_list_age_ms %" G_GINT64_FORMAT "\n",
		   clock_ms() - list_updated_ms);
	buf_printf(out, "config_age_ms %" G_GINT64_FORMAT "\n",
		   clock_ms() - (int64_t)ck_pr_load_64(
					(const uint64_t *)&v->config_ms));
	buf_printf(out, "config_offset %" G_GUINT64_FORMAT "\n",
		   ck_pr_load_64(&v->config_offset));
	buf_printf(out, "config_era %" G_GUINT64_FORMAT "\n",
		   ck_pr_load_64(&v->config_era));
	buf_printf(out, "store_era %" G_GUINT64_FORMAT "\n",
		   ck_pr_load_64(&v->store_era));
	buf_printf(out, "control_cpu_us %" G_GUINT64_FORMAT "\n",
		   ck_pr_load_64(&v->cpu_us));
	buf_printf(out, "control_bytes_in %" G_GUINT64_FORMAT "\n",
		   ck_pr_load_64(&v->bytes_in));
	buf_printf(out, "control_bytes_out %" G_GUINT64_FORMAT "\n",
		   ck_pr_load_64(&v->bytes_out));
	buf_printf(out, "store_calls %" G_GUINT64_FORMAT "\n",
		   ck_pr_load_64(&v->store_calls));
	write_store_calls(out, v);
	buf_printf(out, "log_lines_lost %" G_GUINT64_FORMAT "\n",
		   mp_log_lines_lost());
	buf_printf(out, "lifetime{id=\"%08x\"} %" G_GINT64_FORMAT "\n",
		   t->lifetime, clock_ms() - t->started_ms);
	buf_printf(out, "instances %u\n", t->peers.instances);
	write_evacuations(out, &t->evacuations);
	buf_printf(out, "cold_sends %" G_GUINT64_FORMAT "\n", n->cold_sends);
	buf_printf(out, "open_requests %u\n", t->requests.length);
	buf_printf(out, "caller_connections %u\n", t->caller_server.nconns);
	buf_printf(out, "backend_connections_opened %u\n", upstream_opened());
	buf_printf(out, "asks %" G_GUINT64_FORMAT "\n", n->probes);
	buf_printf(out, "ask_failures %" G_GUINT64_FORMAT "\n",
		   n->probe_failures);
	buf_printf(out, "foreign_answers %" G_GUINT64_FORMAT "\n",
		   n->foreign_answers);
	buf_printf(out, "end_checks %" G_GUINT64_FORMAT "\n",
		   n->process_checks);
	buf_printf(out, "backend_ends %" G_GUINT64_FORMAT "\n",
		   n->process_ends);
	buf_printf(out, "limits_bad %" G_GUINT64_FORMAT "\n", n->limits_bad);
	buf_printf(out, "limits_given %" G_GUINT64_FORMAT "\n",
		   n->limits_given);
	buf_printf(out, "limits_granted %" G_GUINT64_FORMAT "\n",
		   n->limits_granted);
	write_quotas(out, n);
	buf_printf(out, "backoffs %" G_GUINT64_FORMAT "\n", n->backoffs);
	buf_printf(out, "sends_withdrawn %" G_GUINT64_FORMAT "\n",
		   n->withdrawn);
	buf_printf(out, "tunnels_open %u\n", t->tunnels);
	buf_printf(out, "tunnels_opened %" G_GUINT64_FORMAT "\n",
		   n->tunnels_opened);
	buf_printf(out, "tunnel_failures %" G_GUINT64_FORMAT "\n",
		   n->tunnel_failures);
	buf_printf(out, "tunnels_served %" G_GUINT64_FORMAT "\n",
		   n->tunnels_served);
	buf_printf(out, "tunnels_refused %" G_GUINT64_FORMAT "\n",
		   n->tunnels_refused);
	buf_printf(out, "invalid_values %" G_GUINT64_FORMAT "\n",
		   n->invalid_values);
	buf_printf(out, "quarantined %" G_GUINT64_FORMAT "\n", n->quarantined);
	buf_printf(out, "verdicts %u\n",
		   g_hash_table_size(t->quarantine.verdicts));
	buf_printf(out, "no_room %" G_GUINT64_FORMAT "\n", n->no_capacity);
	buf_printf(out, "no_config %" G_GUINT64_FORMAT "\n", n->no_config);
	buf_printf(out, "no_route %" G_GUINT64_FORMAT "\n", n->no_route);
	buf_printf(out, "directory_answers %" G_GUINT64_FORMAT "\n",
		   n->directory_answers);
	uploads_write_metrics(out, &t->bodies);
	responses_write_metrics(out, &t->responses);
	clients_write_metrics(out, t);
	workspace_metrics_write(out, t);
	g_hash_table_iter_init(&it, t->classes);
	while (g_hash_table_iter_next(&it, NULL, &item))
		write_class(out, item);
	g_hash_table_iter_init(&it, t->backends.services);
	while (g_hash_table_iter_next(&it, NULL, &item))
		write_service(out, t, item);
	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &item))
		write_backend(out, item, clock_ms());
}
