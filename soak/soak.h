#ifndef KQ_SOAK_SOAK_H
#define KQ_SOAK_SOAK_H

/* soak: a fleet of real processes on one machine under random faults from outside.
 *
 * Nodes reach the store through relays, so that their connections can be silenced,
 * delayed or cut. Processes are paused, killed, stopped as planned and started again; the
 * store is away, slow or loses answers; runners die and come back. Clients submit, ask
 * and cancel through any node. What is checked is what clients and runners see. */

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const char *build; /* where the programs are */
  uint64_t seed;
  int seconds; /* of faults */
  int nodes;
  int runners;
  bool keep; /* keep the processes' output */
} KqSoakPlan;

/* Returns the number of breaches, each told on standard output; -1: it couldn't start. */
int kq_soak_run (const KqSoakPlan *p);

#endif
