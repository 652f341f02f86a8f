#include "agent/conns.h"

#include <assert.h>

int
kq_conns_call_began (KqConns *g)
{
  return ++g->in_use;
}

void
kq_conns_call_ended (KqConns *g, KqConnEnd end)
{
  assert (g->in_use > 0);
  g->in_use--;
  switch (end)
    {
    case KQ_CONN_KEPT:
      break;
    case KQ_CONN_CLOSED:
      if (g->verified > 0)
        g->verified--;
      break;
    case KQ_CONN_UNSENT:
      if (g->verified > g->in_use)
        g->verified = g->in_use;
      break;
    }
}

void
kq_conns_verified (KqConns *g, int in_use, KqTime sent_at)
{
  if (in_use > g->verified)
    g->verified = in_use;
  if (sent_at > g->verified_at)
    g->verified_at = sent_at;
}

void
kq_conns_runner_restarted (KqConns *g)
{
  g->verified = 0;
  g->verified_at = 0;
}

bool
kq_conns_start_allowed (const KqConns *g)
{
  return g->verified_at != 0 && g->in_use < g->verified;
}
