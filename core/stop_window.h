/*
 * Which requests a stopping instance still takes. It ends after a grace time,
 * and a request that is at a server then gets no response, so it takes those
 * only that it answers before. No I/O; the time is an argument.
 */
#ifndef MP_CORE_STOP_WINDOW_H
#define MP_CORE_STOP_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

struct stop_window {
	int64_t begin_ms;
	int64_t grace_ms; /* after it the process is killed */
	int64_t keep_ms;  /* for which callers keep a directory's response */
};

/* What is known of a request's end. */
struct stop_request {
	int64_t deadline_ms; /* it has its response by then */
	int64_t usual_ms; /* nearly all of its class take no longer; 0: unknown */
};

int64_t stop_window_listen_until_ms(const struct stop_window *w);
int64_t stop_window_end_ms(const struct stop_window *w);
int64_t stop_window_exit_ms(const struct stop_window *w);
bool stop_window_has_time(const struct stop_window *w,
			  const struct stop_request *r, int64_t now_ms);

#endif
