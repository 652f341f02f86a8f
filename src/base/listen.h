#ifndef KQ_BASE_LISTEN_H
#define KQ_BASE_LISTEN_H

/* listen: creates a listening TCP socket, non-blocking and close-on-exec.
 *
 * ip: a numeric IPv4 address. port: 0 lets the kernel choose. *bound receives the port.
 * Returns the socket, or -1 if the address can't be bound, for example because another
 * process listens on it. SO_REUSEPORT is not set: two processes that share a port would
 * each get a part of the connections without notice. (libmicrohttpd's option for address
 * reuse sets it, so two daemons with the same settings file would do so.) */
int kq_listen (const char *ip, int port, int *bound);

#endif
