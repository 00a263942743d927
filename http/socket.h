/* Non-blocking IPv4 sockets. */
#ifndef MP_HTTP_SOCKET_H
#define MP_HTTP_SOCKET_H

#include <netinet/in.h>

/*
 * Large enough for all callers to reconnect at once after a fault without a SYN
 * being dropped and retransmitted.
 */
enum { SOCKET_LISTEN_BACKLOG = 1024 };

int socket_parse_addr(const char *addr, struct sockaddr_in *sa);
int socket_listen(const char *addr);
int socket_connect(const struct sockaddr_in *sa);
int socket_error(int fd);
void socket_set_nodelay(int fd);
void socket_limit_unsent(int fd, int bytes);
void socket_set_keepalive(int fd, int timeout_s);

#endif
