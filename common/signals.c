#include <pthread.h>
#include <signal.h>
#include <stddef.h>

#include "common/signals.h"

/* signals_block() blocks the stop signals; call before any thread starts. */
void signals_block(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

/* signals_wait_stop() waits for SIGTERM or SIGINT and returns it. */
int signals_wait_stop(void)
{
	sigset_t set;
	int sig = 0;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigwait(&set, &sig);
	return sig;
}
