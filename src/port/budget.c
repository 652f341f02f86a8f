#include "port/budget.h"

#include <assert.h>

#define CALL ((int64_t)1000000)

void
kq_budget_init (KqBudget *b, int64_t per_second, int64_t burst, int64_t reserve,
                KqTime now)
{
  assert (per_second >= 1 && burst >= 1);
  assert (reserve >= 0 && reserve < burst);
  *b = (KqBudget){ per_second, burst, reserve, burst * CALL, now };
}

/* A span of a second per call of burst fills the bucket whatever the rate, and bounds
 * the product below. */
static int64_t
level_at (const KqBudget *b, KqTime now)
{
  KqTime span = now - b->filled_at;
  int64_t level;
  if (span <= 0)
    return b->level;
  if (span > b->burst * KQ_SEC)
    span = b->burst * KQ_SEC;
  level = b->level + span * b->per_second; /* calls a second = millionths a us */
  return level < b->burst * CALL ? level : b->burst * CALL;
}

static int64_t
floor_of (const KqBudget *b, bool urgent)
{
  return urgent ? 0 : b->reserve * CALL;
}

bool
kq_budget_take (KqBudget *b, bool urgent, KqTime now)
{
  b->level = level_at (b, now);
  if (now > b->filled_at)
    b->filled_at = now;
  if (b->level - floor_of (b, urgent) < CALL)
    return false;
  b->level -= CALL;
  assert (b->level >= 0);
  return true;
}

KqTime
kq_budget_next (const KqBudget *b, bool urgent, KqTime now)
{
  int64_t missing = floor_of (b, urgent) + CALL - level_at (b, now);
  if (missing <= 0)
    return now;
  return now + (missing + b->per_second - 1) / b->per_second;
}

int64_t
kq_budget_left (const KqBudget *b, bool urgent, KqTime now)
{
  int64_t left = level_at (b, now) - floor_of (b, urgent);
  return left > 0 ? left / CALL : 0;
}
