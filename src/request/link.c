#include "request/link.h"

void
kq_link_init (KqLinkBudget *b, int64_t bytes_per_s)
{
  *b = (KqLinkBudget){ .bytes_per_s = bytes_per_s, .available = bytes_per_s };
}

static void
refill (KqLinkBudget *b, KqTime now)
{
  KqTime span = now - b->refilled_at < 10 * KQ_SEC ? now - b->refilled_at : 10 * KQ_SEC;
  int64_t added = span > 0 ? b->bytes_per_s * span / KQ_SEC : 0;
  /* A time too short for one byte is left to the next call: with a small rate, frequent
   * calls would otherwise round every refill down to 0. */
  if (added > 0)
    {
      b->available += added;
      b->refilled_at = now;
    }
  if (b->available > b->bytes_per_s)
    b->available = b->bytes_per_s;
}

/* A request larger than the bucket needs a full bucket. */
static int64_t
required_bytes (const KqLinkBudget *b, int64_t bytes)
{
  return bytes < b->bytes_per_s ? bytes : b->bytes_per_s;
}

bool
kq_link_allows (KqLinkBudget *b, int64_t bytes, KqTime now)
{
  refill (b, now);
  return b->bytes_per_s > 0 && b->available >= required_bytes (b, bytes);
}

void
kq_link_spend (KqLinkBudget *b, int64_t bytes, KqTime now)
{
  refill (b, now);
  b->available -= bytes;
  b->spent += bytes;
}

KqTime
kq_link_wait (KqLinkBudget *b, int64_t bytes, KqTime now)
{
  int64_t missing;
  refill (b, now);
  missing = required_bytes (b, bytes) - b->available;
  if (missing <= 0)
    return 0;
  return b->bytes_per_s > 0 ? missing * KQ_SEC / b->bytes_per_s + 1 : KQ_TIME_NEVER;
}
