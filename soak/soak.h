#ifndef KQ_SOAK_SOAK_H
#define KQ_SOAK_SOAK_H

/* soak: a fleet of kumquatd processes on one machine under random faults.
 *
 * Nodes reach the store through relays, so that their connections can be stalled, delayed
 * or refused. Nodes are paused, killed, stopped by SIGTERM and started again; the store
 * is unreachable, slow, loses answers or carries writes out late; runners crash and start
 * again, and other writers put entries under their keys; configurations change the
 * figures of the advice service, which is slower than they say or doesn't answer. Clients
 * submit, query and cancel jobs through any node. The checks use what clients and runners
 * observe. */

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const char *build; /* where the programs are */
  uint64_t seed;
  int seconds; /* with faults */
  int nodes;
  int runners;
  bool keep; /* keep the processes' output */
} KqSoakPlan;

/* Returns the number of breached invariants, each printed to stdout; -1: the start
 * failed. */
int kq_soak_run (const KqSoakPlan *p);

#endif
