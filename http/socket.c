#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/socket.h"
#include "options/settings.h"

/* Callers reconnect in crowds after a fault; none is to wait for a resend. */
enum { LISTEN_BACKLOG = 1024 };

/* socket_addr() parses "a.b.c.d:port". Returns 0 or -EINVAL. */
int socket_addr(const char *addr, struct sockaddr_in *sa)
{
	char host[INET_ADDRSTRLEN];
	int port;

	memset(sa, 0, sizeof(*sa));
	if (addr_split(addr, host, sizeof(host), &port))
		return -EINVAL;
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &sa->sin_addr) == 1 ? 0 : -EINVAL;
}

/* socket_listen() opens a listening socket. Returns it or -errno. */
int socket_listen(const char *addr)
{
	struct sockaddr_in sa;
	int one = 1, fd, rc;

	rc = socket_addr(addr, &sa);
	if (rc)
		return rc;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -errno;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		rc = -errno;
		close(fd);
		return rc;
	}
	return fd;
}

/* socket_connect() begins a connection. Returns its descriptor or -errno. */
int socket_connect(const struct sockaddr_in *sa)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -errno;
	socket_set_nodelay(fd);
	if (connect(fd, (const struct sockaddr *)sa, sizeof(*sa)) &&
	    errno != EINPROGRESS) {
		int rc = -errno;

		close(fd);
		return rc;
	}
	return fd;
}

/* socket_error() fetches the outcome of a connection attempt as -errno. */
int socket_error(int fd)
{
	int err = 0;
	socklen_t len = sizeof(err);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len))
		return -errno;
	return -err;
}

/* socket_set_nodelay() sends small messages at once. */
void socket_set_nodelay(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

/*
 * socket_set_keepalive() makes a connection fail after about after_s + 2
 * seconds without any sign of the peer, by keep-alive probes while nothing
 * is sent and a time limit on sent bytes. A connection whose path lost track
 * of it stays open for ever otherwise.
 */
void socket_set_keepalive(int fd, int after_s)
{
	int one = 1, tries = 2, limit_ms = after_s * 1000;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &tries, sizeof(tries));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
		   sizeof(limit_ms));
}
