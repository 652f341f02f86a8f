#include "request/retry.h"

#include <math.h>

/* Tokens fade with this time constant: the unused budget of an hour without
 * failures must not allow a burst of retries later. */
#define FADE (10 * KQ_SEC)
/* One retry a second is always allowed. */
#define FLOOR_PER_S 1.0
#define FLOOR_MAX 3.0
#define BACKOFF_FIRST (20 * KQ_MS)
#define BACKOFF_MAX KQ_SEC
#define SUCCESSOR_GAP (200 * KQ_MS)
/* What the gap allows within the wait, and the tries before: below the numbers that one
 * request has for its tries. */
#define SUCCESSOR_TRIES 13

static void
advance (KqRetryBudget *b, KqTime now)
{
  double s = (double)(now - b->at) / KQ_SEC;
  if (b->at == 0)
    b->tokens = FLOOR_MAX;
  else if (s > 0)
    {
      b->tokens *= exp (-s * KQ_SEC / FADE);
      if (b->tokens < FLOOR_MAX)
        b->tokens = fmin (FLOOR_MAX, b->tokens + s * FLOOR_PER_S);
    }
  b->at = now;
}

void
kq_retry_first (KqRetryBudget *b, int64_t percent, KqTime now)
{
  advance (b, now);
  b->tokens += (double)percent / 100;
}

bool
kq_retry_take (KqRetryBudget *b, KqTime now)
{
  advance (b, now);
  if (b->tokens < 1)
    return false;
  b->tokens -= 1;
  return true;
}

KqTime
kq_retry_for_successor (KqTime handed_back_at, int tries, KqTime now)
{
  if (handed_back_at == 0 || tries >= SUCCESSOR_TRIES
      || now - handed_back_at >= KQ_RETRY_SUCCESSOR_WAIT)
    return 0;
  return now + SUCCESSOR_GAP;
}

KqTime
kq_retry_backoff (KqRand *rand, int n)
{
  KqTime wait = BACKOFF_FIRST;
  while (n > 1 && wait < BACKOFF_MAX)
    {
      wait *= 2;
      n--;
    }
  if (wait > BACKOFF_MAX)
    wait = BACKOFF_MAX;
  return wait / 2 + (KqTime)kq_rand_below (rand, (uint64_t)(wait / 2) + 1);
}
