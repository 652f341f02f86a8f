#include "request/retry.h"

#include <math.h>

/* Time constant of the decay of unused tokens: an hour without failures must not allow a
 * burst of retries later. */
#define BUDGET_DECAY (10 * KQ_SEC)
/* A budget below MIN_TOKENS is refilled at this rate (in tokens per second), so that a
 * service with few requests can retry too. */
#define MIN_REFILL_PER_S 1.0
#define MIN_TOKENS 3.0
#define BACKOFF_MIN (20 * KQ_MS)
#define BACKOFF_MAX KQ_SEC
#define SUCCESSOR_RETRY_INTERVAL (200 * KQ_MS)
/* The retries that fit into KQ_RETRY_SUCCESSOR_WAIT plus the tries that came before them.
 * Must be less than KQ_TRY_IDS. */
#define SUCCESSOR_TRIES_MAX 13

static void
update_tokens (KqRetryBudget *b, KqTime now)
{
  double s = (double)(now - b->updated_at) / KQ_SEC;
  if (b->updated_at == 0)
    b->tokens = MIN_TOKENS;
  else if (s > 0)
    {
      b->tokens *= exp (-s * KQ_SEC / BUDGET_DECAY);
      if (b->tokens < MIN_TOKENS)
        b->tokens = fmin (MIN_TOKENS, b->tokens + s * MIN_REFILL_PER_S);
    }
  b->updated_at = now;
}

void
kq_retry_count_first_try (KqRetryBudget *b, int64_t percent, KqTime now)
{
  update_tokens (b, now);
  b->tokens += (double)percent / 100;
}

bool
kq_retry_take (KqRetryBudget *b, KqTime now)
{
  update_tokens (b, now);
  if (b->tokens < 1)
    return false;
  b->tokens -= 1;
  return true;
}

KqTime
kq_retry_successor_time (KqTime handed_back_at, int tries, KqTime now)
{
  if (handed_back_at == 0 || tries >= SUCCESSOR_TRIES_MAX
      || now - handed_back_at >= KQ_RETRY_SUCCESSOR_WAIT)
    return 0;
  return now + SUCCESSOR_RETRY_INTERVAL;
}

KqTime
kq_retry_backoff (KqRand *rand, int n)
{
  KqTime wait = BACKOFF_MIN;
  while (n > 1 && wait < BACKOFF_MAX)
    {
      wait *= 2;
      n--;
    }
  if (wait > BACKOFF_MAX)
    wait = BACKOFF_MAX;
  return wait / 2 + (KqTime)kq_rand_below (rand, (uint64_t)(wait / 2) + 1);
}
