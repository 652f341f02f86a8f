#include "lead/doubt.h"

#include <stdbool.h>

/* A new leader waits for silent runners for about as long. */
#define LONGEST (9 * KQ_SEC)
/* What a peer has told counts for so long: a few of its beats. */
#define NEWS_COUNT (2700 * KQ_MS)
/* The store's answer takes a handshake and a call, 100 ms between regions. */
#define ANSWER_WITHIN (300 * KQ_MS)

static bool
peer_reaches_store (const KqLeadDoubt *d, KqTime now)
{
  return d->peer_reached_at > d->valid_until - d->length / 2
         && now - d->peer_reached_at < NEWS_COUNT;
}

KqDoubtNext
kq_lead_doubt (KqLeadDoubt *d, KqTime now, const char **why)
{
  if (now < d->valid_until)
    {
      d->asked_at = 0;
      return KQ_DOUBT_NONE;
    }
  if (now - d->valid_until > LONGEST)
    *why = "not renewed for too long";
  else if (d->peers == 0)
    *why = "not renewed and no other node heard";
  else if (!peer_reaches_store (d, now))
    return KQ_DOUBT_GO_ON;
  else if (d->asked_at == 0)
    {
      d->asked_at = now;
      return KQ_DOUBT_ASK;
    }
  else if (now - d->asked_at < ANSWER_WITHIN)
    return KQ_DOUBT_GO_ON;
  else
    *why = "not renewed while other nodes reach the store";
  return KQ_DOUBT_GIVE_UP;
}
