#include <errno.h>
#include <pthread.h>

#include "app/instance.h"
#include "common/event.h"
#include "conf/build.h"
#include "control/control.h"
#include "platform/records.h"
#include "traffic/traffic.h"

static struct config *decode_operator_config(void *priv, struct lstr value,
					     struct findings *f)
{
	return record_config(value, f);
}

/*
 * The configuration is the users' operator's, or the product's own: the
 * settings of a deployment with the patches that operators made by ctl.
 */
static struct config_source config_source_for(const struct deploy *patched)
{
	if (!patched)
		return (struct config_source){
			.topic = STORE_TOPIC_CONFIG,
			.key = STORE_KEY_CONFIG,
			.decode = decode_operator_config,
		};
	return (struct config_source){
		.topic = CONF_TOPIC,
		.key = CONF_KEY,
		.decode = conf_decode,
		.priv = (void *)patched,
		.usable_when_absent = true,
	};
}

/*
 * instance_run() runs an entry instance until it was stopped as planned: the
 * control thread is the calling one, traffic has another. On SIGHUP the
 * settings come from `settings_source` anew. `patched` is the
 * deployment whose configuration operators patch (NULL: the users' operator
 * writes it), `own` the one that the product's own interface serves (NULL:
 * none). Returns 0 or a negative errno.
 */
int instance_run(const struct instance_settings *s,
		 const struct settings_source *settings_source,
		 const struct deploy *patched, const struct deploy *own)
{
	static struct control control;
	static struct traffic traffic;
	struct config_source source = config_source_for(patched);
	pthread_t thread;
	int rc;

	rc = mp_log_set_level(s->log_level);
	if (rc)
		return rc;
	rc = control_init(&control, s, settings_source, &source, &traffic.in);
	if (!rc)
		rc = traffic_init(&traffic, s, own, &control.view, &control.in);
	if (rc)
		return rc;
	mp_event(EV_STARTED, G_LOG_LEVEL_MESSAGE,
		 "instance=%s dc=%s callers=%s drain_ms=%g config_ms=%g "
		 "grace_s=%g retry=%gx+%g/%gs keep_s=%g asks_s=%g",
		 s->name, s->dc, s->callers, s->bounds.drain_ms,
		 s->bounds.config_ms, s->bounds.grace_s, s->bounds.retry_ratio,
		 s->bounds.retry_slack, s->bounds.retry_window_s,
		 s->bounds.directory_keep_s, s->bounds.questions_per_s);
	rc = pthread_create(&thread, NULL, traffic_run, &traffic);
	if (rc)
		return -rc;
	control_run(&control);
	pthread_join(thread, NULL);
	return 0;
}
