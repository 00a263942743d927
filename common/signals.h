/*
 * Stop signals. Each role blocks SIGTERM and SIGINT in every thread at
 * start, and its main thread waits for one: a planned stop is then handled
 * in order (stop taking work, finish what is in flight, leave).
 */
#ifndef MP_COMMON_SIGNALS_H
#define MP_COMMON_SIGNALS_H

void signals_block(void);
int signals_wait_stop(void);

#endif
