#include <errno.h>
#include <unistd.h>

#include "caller/front.h"
#include "common/event.h"
#include "common/signals.h"
#include "entry/run.h"

/*
 * entry_run() runs the named entry instance until SIGTERM or SIGINT, then
 * stops gracefully: it leaves the member list, serves on for drain_ms
 * while callers move away, stops taking connections, and waits for every
 * call in flight. Returns 0 or a negative errno.
 */
int entry_run(const struct deploy *d, const char *name)
{
	const struct entry_opts *me = deploy_entry(d, name);
	struct entry e;
	struct front f;
	int ret;

	if (!me) {
		mp_event(EV_SETTINGS_BAD, G_LOG_LEVEL_CRITICAL,
			 "no [entry.%s] in the settings", name);
		return -ENOENT;
	}
	ret = entry_init(&e, d, me);
	if (ret)
		return ret;
	ret = front_start(&f, &e);
	if (ret) {
		mp_event(EV_LISTEN_FAILED, G_LOG_LEVEL_CRITICAL,
			 "cannot listen on %s", me->listen);
		entry_free(&e);
		return ret;
	}
	ret = entry_start_control(&e);
	if (ret)
		return ret;
	mp_event(EV_STARTED, G_LOG_LEVEL_MESSAGE, "entry %s on %s in %s",
		 me->name, me->listen, me->dc);
	signals_wait_stop();
	mp_event(EV_STOPPING, G_LOG_LEVEL_MESSAGE,
		 "entry %s leaving; draining for %d ms", me->name,
		 d->entry.drain_ms);
	entry_leave(&e);
	usleep((useconds_t)d->entry.drain_ms * 1000);
	front_drain(&f, d->entry.deadline_ms * 2);
	mp_event(EV_STOPPED, G_LOG_LEVEL_MESSAGE, "entry %s stopped", me->name);
	entry_free(&e);
	return 0;
}
