#include "base/listen.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections that wait to be accepted; enough for a burst through the load balancer. */
#define BACKLOG 1024

int
kq_listen (const char *ip, int port, int *bound)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  socklen_t len = sizeof sa;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (inet_pton (AF_INET, ip, &sa.sin_addr) != 1
      || bind (fd, (struct sockaddr *)&sa, sizeof sa) < 0 || listen (fd, BACKLOG) < 0
      || getsockname (fd, (struct sockaddr *)&sa, &len) < 0)
    {
      close (fd);
      return -1;
    }
  *bound = ntohs (sa.sin_port);
  return fd;
}
