#include "port/budget.h"

#include <assert.h>

/* The token of one call, in the unit of `level`. */
#define TOKEN ((int64_t)1000000)

void
kq_budget_init (KqBudget *b, int64_t per_second, int64_t burst, int64_t reserve,
                KqTime now)
{
  assert (per_second >= 1 && burst >= 1);
  assert (reserve >= 0 && reserve < burst);
  *b = (KqBudget){ per_second, burst, reserve, burst * TOKEN, now };
}

/* The tokens in the bucket at `now`. The time since filled_at is limited to `burst`
 * seconds so that the product doesn't overflow; this fills the bucket at any rate. */
static int64_t
level_at (const KqBudget *b, KqTime now)
{
  KqTime span = now - b->filled_at;
  int64_t level;
  if (span <= 0)
    return b->level;
  if (span > b->burst * KQ_SEC)
    span = b->burst * KQ_SEC;
  level = b->level + span * b->per_second; /* 1 call/s is 1 millionth of a call per us */
  return level < b->burst * TOKEN ? level : b->burst * TOKEN;
}

static int64_t
min_level (const KqBudget *b, bool urgent)
{
  return urgent ? 0 : b->reserve * TOKEN;
}

bool
kq_budget_take (KqBudget *b, bool urgent, KqTime now)
{
  b->level = level_at (b, now);
  if (now > b->filled_at)
    b->filled_at = now;
  if (b->level - min_level (b, urgent) < TOKEN)
    return false;
  b->level -= TOKEN;
  assert (b->level >= 0);
  return true;
}

KqTime
kq_budget_next_time (const KqBudget *b, bool urgent, KqTime now)
{
  int64_t missing = min_level (b, urgent) + TOKEN - level_at (b, now);
  if (missing <= 0)
    return now;
  return now + (missing + b->per_second - 1) / b->per_second;
}

int64_t
kq_budget_available (const KqBudget *b, bool urgent, KqTime now)
{
  int64_t left = level_at (b, now) - min_level (b, urgent);
  return left > 0 ? left / TOKEN : 0;
}
