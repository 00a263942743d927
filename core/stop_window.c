#include <sys/param.h>

#include "core/stop_window.h"

enum {
	/*
	 * Before the end of the grace time all requests have their responses;
	 * these and the exit itself take the rest.
	 */
	RESPONSES_MS = 400,
	EXIT_MS = 200,
	/* Between the last connection and the responses to its request. */
	LAST_CONNECTION_MS = 300,
	/*
	 * For how long a response that is expected in time, but not certain,
	 * is enough to take a request. Callers hear of the stop meanwhile.
	 */
	EXPECT_MS = 2500,
};

/* Returns a time before the end of the grace time, not before the stop. */
static int64_t before_kill(const struct stop_window *w, int64_t ms)
{
	return w->begin_ms + MAX(w->grace_ms - ms, 0);
}

/*
 * stop_window_listen_until_ms() returns until when new connections are
 * accepted: as long as callers connect that keep an older directory response.
 */
int64_t stop_window_listen_until_ms(const struct stop_window *w)
{
	return MIN(w->begin_ms + w->keep_ms,
		   before_kill(w, RESPONSES_MS + LAST_CONNECTION_MS));
}

/* stop_window_end_ms() returns when each request must have its response. */
int64_t stop_window_end_ms(const struct stop_window *w)
{
	return before_kill(w, RESPONSES_MS);
}

/* stop_window_exit_ms() returns when the process exits at the latest. */
int64_t stop_window_exit_ms(const struct stop_window *w)
{
	return before_kill(w, EXIT_MS);
}

/*
 * stop_window_has_time() returns whether a request gets its response before the
 * end. Only its deadline makes that certain: servers may be slower than ever
 * before. Early in the stop it is enough if the response is expected in time.
 */
bool stop_window_has_time(const struct stop_window *w,
			  const struct stop_request *r, int64_t now_ms)
{
	int64_t end_ms = stop_window_end_ms(w);
	int64_t expect_until_ms = w->begin_ms + MIN(EXPECT_MS, w->grace_ms / 2);

	if (r->deadline_ms <= end_ms)
		return true;
	return r->usual_ms && now_ms < expect_until_ms &&
	       now_ms + r->usual_ms <= end_ms;
}
