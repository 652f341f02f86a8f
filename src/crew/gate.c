#include "crew/gate.h"

#include <assert.h>

int
kq_gate_called (KqGate *g)
{
  return ++g->in_use;
}

void
kq_gate_ended (KqGate *g, KqGateEnd end)
{
  assert (g->in_use > 0);
  g->in_use--;
  switch (end)
    {
    case KQ_GATE_KEPT:
      break;
    case KQ_GATE_LOST:
      if (g->proven > 0)
        g->proven--;
      break;
    case KQ_GATE_UNSENT:
      if (g->proven > g->in_use)
        g->proven = g->in_use;
      break;
    }
}

void
kq_gate_proven (KqGate *g, int in_use, KqTime left_at)
{
  if (in_use > g->proven)
    g->proven = in_use;
  if (left_at > g->proven_at)
    g->proven_at = left_at;
}

void
kq_gate_new_life (KqGate *g)
{
  g->proven = 0;
  g->proven_at = 0;
}

bool
kq_gate_open (const KqGate *g)
{
  return g->proven_at != 0 && g->in_use < g->proven;
}
