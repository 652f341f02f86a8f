#include "election/handover.h"

/* A change of leader stops scheduling for some 0.6 s, so a slightly stronger node doesn't
 * justify one. */
#define MIN_CPU_RATIO 2
/* The other node must be able to win the election: the store has answered it within this
 * time. */
#define STORE_REACHED_WITHIN (900 * KQ_MS)
/* Keeps a leader from resigning again and again for a stronger node that doesn't win. */
#define MIN_INTERVAL (20 * KQ_SEC)

bool
kq_handover_due (const KqHandover *h, KqTime now)
{
  if (h->other_milli < MIN_CPU_RATIO * h->own_milli)
    return false;
  if (h->other_reached_store_at == 0
      || now - h->other_reached_store_at > STORE_REACHED_WITHIN)
    return false;
  return h->handed_over_at == 0 || now - h->handed_over_at > MIN_INTERVAL;
}
