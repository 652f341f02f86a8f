#ifndef KQ_CREW_GATE_H
#define KQ_CREW_GATE_H

/* gate: when a start may leave for its runner, by the connections that are open to it.
 *
 * A start that reaches its runner's next life begins there with a lease of that life,
 * which nobody counts on: its task would run twice. Connections end with the life that
 * they lead to. So a start leaves only on a connection that was open when a question left
 * that the runner has answered: it reaches that life, or nobody.
 *
 * Load pattern: tasks of a step come to a runner several at a time. Connections are
 * proven one after the other, as far as starts wait, and used again. Pure. */

#include "base/time.h"

#include <stdbool.h>

typedef struct
{
  int in_use;       /* calls under way, each on a connection of its own */
  int proven;       /* connections known to lead to the life that was listed */
  KqTime proven_at; /* that were open then; 0: none */
} KqGate;

/* A call is made; returns how many are under way then. */
int kq_gate_called (KqGate *g);

typedef enum
{
  KQ_GATE_KEPT,  /* answered: the connection can be used again */
  KQ_GATE_LOST,  /* the connection is closed */
  KQ_GATE_UNSENT /* the call found no connection that it could use */
} KqGateEnd;

void kq_gate_ended (KqGate *g, KqGateEnd end);
/* The runner has answered a question that left at left_at, with so many calls under way.
 */
void kq_gate_proven (KqGate *g, int in_use, KqTime left_at);
/* The runner is in a new life. */
void kq_gate_new_life (KqGate *g);
/* Whether a start may leave now. */
bool kq_gate_open (const KqGate *g);

#endif
