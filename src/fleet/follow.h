#ifndef KQ_FLEET_FOLLOW_H
#define KQ_FLEET_FOLLOW_H

/* follow: a copy of the keys under a prefix, kept up by listing and then watching.
 *
 * After a gap in the store's history the keys are listed anew, and what has gone
 * meanwhile is told as gone. A key is told once for each revision. */

#include "base/rand.h"
#include "port/kv.h"

typedef struct KqFollow KqFollow;

typedef struct
{
  void *arg;
  void (*item) (void *arg, const KqKvItem *i, KqTime now);
  /* The key wasn't there at that revision. May be NULL. */
  void (*gone) (void *arg, KqStr key, uint64_t revision, KqTime now);
  /* All keys have been told once; called after each listing. May be NULL. */
  void (*synced) (void *arg, KqTime now);
  /* The store has answered. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
  /* It has not, or has refused. May be NULL. */
  void (*failed) (void *arg, KqTime sent_at);
} KqFollowOwner;

/* pause_ms: changes are collected for so long before the next call; 0: none. */
KqFollow *kq_follow_new (KqLoop *loop, KqKv *kv, KqStr prefix, int wait_ms, int pause_ms,
                         const KqFollowOwner *owner);
/* May be called from within the owner's functions. */
void kq_follow_free (KqFollow *f);

/* How long to wait after `failures` calls in a row that failed, 1 or more. cut: the last
 * one's answer had begun. Spread at random, so that many nodes don't call at once. */
int kq_follow_retry_ms (KqRand *rand, int failures, bool cut);

#endif
