#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/socket.h"
#include "options/settings.h"

/* socket_parse_addr() parses "a.b.c.d:port". Returns 0 or -EINVAL. */
int socket_parse_addr(const char *addr, struct sockaddr_in *sa)
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

/* socket_listen() opens a listening socket. Returns its fd or -errno. */
int socket_listen(const char *addr)
{
	struct sockaddr_in sa;
	int one = 1, fd, rc;

	rc = socket_parse_addr(addr, &sa);
	if (rc)
		return rc;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -errno;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(fd, SOCKET_LISTEN_BACKLOG)) {
		rc = -errno;
		close(fd);
		return rc;
	}
	return fd;
}

/* socket_connect() starts to connect. Returns the fd or -errno. */
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

/* socket_error() returns the result of a connection attempt: 0 or -errno. */
int socket_error(int fd)
{
	int err = 0;
	socklen_t len = sizeof(err);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len))
		return -errno;
	return -err;
}

/* socket_set_nodelay() disables Nagle's algorithm. */
void socket_set_nodelay(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

/*
 * socket_set_keepalive() makes a connection fail when nothing has been received
 * from the peer for about timeout_s seconds, idle or with unacknowledged data.
 * Otherwise a connection whose state a middlebox has dropped would stay open for
 * ever. TCP_USER_TIMEOUT alone decides, also when the keep-alive probes of an
 * idle connection give up; their number has no effect beside it.
 */
void socket_set_keepalive(int fd, int timeout_s)
{
	int one = 1, timeout_ms = timeout_s * 1000;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
}

/*
 * socket_limit_unsent() limits the bytes that the kernel keeps for a peer that
 * doesn't read. Accepted sockets inherit it from the listening one.
 */
void socket_limit_unsent(int fd, int bytes)
{
	setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof(bytes));
}
