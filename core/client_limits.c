#include <sys/param.h>

#include "core/client_limits.h"

enum {
	SOCKETS_MIN = 64,
	SOCKETS_MAX = 1000 * 1000,
	/* Listening ones, the store's, those of fetches, and wake-ups. */
	CONTROL_SOCKETS = 32,
	/* One of so many for peers' requests, and for tunnels of two each. */
	PEERS_DIVISOR = 8,
	TUNNELS_DIVISOR = 16,
};

/*
 * socket_limits_divide() divides what is left of the process's descriptors
 * besides those kept for files.
 */
struct socket_limits socket_limits_divide(double descriptors,
					  double kept_for_files)
{
	double left = MAX(descriptors - kept_for_files, SOCKETS_MIN);
	unsigned sockets = (unsigned)MIN(left, SOCKETS_MAX);
	unsigned peers = sockets / PEERS_DIVISOR;

	return (struct socket_limits){
		.traffic = sockets - CONTROL_SOCKETS - peers,
		.peers = peers,
		.tunnels = sockets / TUNNELS_DIVISOR,
	};
}
