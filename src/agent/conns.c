#include "agent/conns.h"

#include <assert.h>

int
kq_conns_call_began (KqConns *c)
{
  return ++c->in_use;
}

void
kq_conns_call_ended (KqConns *c, KqConnEnd end)
{
  assert (c->in_use > 0);
  c->in_use--;
  switch (end)
    {
    case KQ_CONN_KEPT:
      break;
    case KQ_CONN_CLOSED:
      if (c->verified > 0)
        c->verified--;
      break;
    case KQ_CONN_UNSENT:
      if (c->verified > c->in_use)
        c->verified = c->in_use;
      break;
    }
}

void
kq_conns_verified (KqConns *c, int in_use, KqTime sent_at)
{
  if (in_use > c->verified)
    c->verified = in_use;
  if (sent_at > c->verified_at)
    c->verified_at = sent_at;
}

void
kq_conns_runner_restarted (KqConns *c)
{
  c->verified = 0;
  c->verified_at = 0;
}

bool
kq_conns_start_allowed (const KqConns *c)
{
  return c->verified_at != 0 && c->in_use < c->verified;
}
