#ifndef KQ_BENCH_CROWD_H
#define KQ_BENCH_CROWD_H

/* crowd: many clients that don't behave, for tests of what a process holds for them.
 *
 * Each client connects to a port on loopback, sends a part of its bytes whenever the
 * socket takes some, and then stays open. It reads answers only if told to. */

#include "base/str.h"
#include "base/time.h"

#include <sys/types.h>

typedef struct
{
  int port;
  int clients;  /* connections that are open at the same time */
  KqStr head;   /* what each client sends first */
  size_t id_at; /* where 16 digits in the head are replaced by the connection's number; 0:
                   nowhere */
  KqStr fill;   /* repeated behind the head; "": nothing */
  size_t total; /* bytes that a client sends, head included */
  size_t piece; /* the most that it sends at a time; 0: no limit */
  KqTime pause; /* between two pieces of a client */
  int reopens;  /* how many connections are opened again after they were closed, in all */
  int receive_buffer; /* of its sockets; 0: the kernel's default */
  bool reads;         /* it reads answers, and drops them */
  bool leaves;        /* it closes its connection once it has sent all */
} CrowdPlan;

typedef struct Crowd Crowd;

/* What a process uses, at its most. */
typedef struct
{
  pid_t pid;
  int ports[6];   /* on which it listens; 0: none */
  long memory_kb; /* resident, and received bytes that it hasn't read */
  int fds;
  bool ended; /* the process has ended */
} CrowdUse;

Crowd *crowd_open (const CrowdPlan *plan);
/* Lets the clients send, and samples `use`, until all have sent their bytes or none has
 * made progress for a second; at most for `limit`. */
void crowd_send (Crowd *c, CrowdUse *use, KqTime limit);
/* The same until the process has closed all connections. False: not within `limit`. */
bool crowd_wait_closed (Crowd *c, CrowdUse *use, KqTime limit);
int crowd_n_open (const Crowd *c);
void crowd_close (Crowd *c);
/* Takes a sample. */
void crowd_sample (CrowdUse *use);

#endif
