#include <errno.h>
#include <pthread.h>

#include "app/instance.h"
#include "common/event.h"
#include "conf/build.h"
#include "control/control.h"
#include "platform/records.h"
#include "traffic/traffic.h"

/* Decodes a record of the users' operator. */
static struct config *decode_operator_config(void *priv, struct lstr value,
					     struct findings *f)
{
	return records_decode_config(value, f);
}

/*
 * Selects the configuration: written by the users' operator, or the settings
 * of a local deployment with the patches made by `mimosapitch ctl`.
 */
static struct config_source config_source_for(const struct deploy *conf_deploy)
{
	if (!conf_deploy)
		return (struct config_source){
			.topic = STORE_TOPIC_CONFIG,
			.key = STORE_KEY_CONFIG,
			.evacuation_prefix = STORE_KEY_EVACUATION,
			.decode = decode_operator_config,
		};
	return (struct config_source){
		.topic = CONF_TOPIC,
		.key = CONF_KEY,
		.decode = conf_decode,
		.priv = (void *)conf_deploy,
		.usable_when_absent = true,
	};
}

/*
 * instance_run() runs an entry instance until its graceful shutdown. The
 * calling thread becomes the control thread; traffic gets its own thread. On
 * SIGHUP the settings are reloaded from `settings_source`. `conf_deploy` is the
 * deployment whose configuration operators patch (NULL: the users' operator
 * writes it), `api_deploy` the one that the native API serves (NULL: none).
 * Returns 0 or a negative errno.
 */
int instance_run(const struct instance_settings *s,
		 const struct settings_source *settings_source,
		 const struct deploy *conf_deploy,
		 const struct deploy *api_deploy)
{
	static struct control control;
	static struct traffic traffic;
	struct config_source source = config_source_for(conf_deploy);
	pthread_t thread;
	int rc;

	rc = mp_log_set_level(s->log_level);
	if (rc)
		return rc;
	rc = control_init(&control, s, settings_source, &source,
			  &traffic.inbox);
	if (!rc)
		rc = traffic_init(&traffic, s, api_deploy, &control.view,
				  &control.in);
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
