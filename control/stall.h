/*
 * Notices that the control thread stood still: the process was suspended, or
 * it got no processor. What waits in its sockets then is of unknown age.
 */
#ifndef MP_CONTROL_STALL_H
#define MP_CONTROL_STALL_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

struct stall {
	ev_check check;
	int64_t turn_ms; /* of clock_boot_ms(), of the loop's last turn */
	void (*ended)(void *priv, int64_t stalled_ms);
	void *priv;
};

int64_t stall_length_ms(int64_t turn_ms, int64_t now_ms);
void stall_start(struct stall *s, struct ev_loop *loop,
		 void (*ended)(void *priv, int64_t stalled_ms), void *priv);

#endif
