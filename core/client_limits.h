/*
 * Divides the sockets that a process may open among those who need them: the
 * traffic thread with its servers and connections to backend servers, the peers'
 * requests, and the control thread's own connections, so that a crowd of
 * connections takes none of those that the instance itself depends on.
 */
#ifndef MP_CORE_CLIENT_LIMITS_H
#define MP_CORE_CLIENT_LIMITS_H

struct socket_limits {
	unsigned traffic; /* of the traffic thread; 0: no limit */
	unsigned peers;	  /* connections of peers; 0: no limit */
	unsigned tunnels; /* tunnels that peers may use; 0: no limit */
};

/* Shares of the traffic thread's sockets; they matter once these run short. */
#define SHARE_CALLERS	0.45
#define SHARE_OWN	0.05
#define SHARE_DIRECTORY 0.1
#define SHARE_READINESS 0.05
#define SHARE_METRICS	0.05
#define SHARE_TUNNELS	0.05
#define SHARE_SERVERS	0.25 /* to backend servers, and through tunnels */

struct socket_limits socket_limits_divide(double descriptors,
					  double kept_for_files);

#endif
