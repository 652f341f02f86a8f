#ifndef KQ_FLEET_FOLLOW_H
#define KQ_FLEET_FOLLOW_H

/* follow: follows the keys under a prefix by listing them once and then watching.
 *
 * When the store has compacted the history that the watch needs, the keys are listed
 * again and those that have disappeared are reported as gone. Each revision of a key is
 * reported once. */

#include "base/rand.h"
#include "port/kv.h"

typedef struct KqFollow KqFollow;

typedef struct
{
  void *arg;
  /* A key was listed or written. */
  void (*item) (void *arg, const KqKvItem *i, KqTime now);
  /* The key doesn't exist at that revision. May be NULL. */
  void (*gone) (void *arg, KqStr key, uint64_t revision, KqTime now);
  /* A listing is complete: all keys have been reported. May be NULL. */
  void (*synced) (void *arg, KqTime now);
  /* The store has answered a call that was sent at sent_at. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
  /* A call sent at sent_at got no answer or was refused. May be NULL. */
  void (*failed) (void *arg, KqTime sent_at);
} KqFollowOwner;

/* wait_ms: longest time that a watch waits for a change. pause_ms: delay between an
 * answer with changes and the next watch, so that changes are collected; 0: none. */
KqFollow *kq_follow_new (KqLoop *loop, KqKv *kv, KqStr prefix, int wait_ms, int pause_ms,
                         const KqFollowOwner *owner);
/* May be called from the owner's callbacks. */
void kq_follow_free (KqFollow *f);

/* Sets the longest wait of later watches. */
void kq_follow_set_wait (KqFollow *f, int wait_ms);
/* Suspended, it makes no further call once the present one has ended; the changes are to
 * be passed in by kq_follow_apply. Resumed, it goes on with what it hasn't been told. */
void kq_follow_suspend (KqFollow *f, bool suspended);
/* Takes a change that was heard from elsewhere; reports it unless it is known. */
void kq_follow_apply (KqFollow *f, const KqKvItem *i, KqTime now);
/* Notes that all changes up to the revision have been applied. */
void kq_follow_applied_to (KqFollow *f, uint64_t revision);
/* The revision up to which all changes have been reported; 0: the keys aren't listed yet.
 */
uint64_t kq_follow_known_to (const KqFollow *f);
/* Whether the keys are being listed: those reported aren't of one moment. */
bool kq_follow_is_listing (const KqFollow *f);
/* When the last answer arrived; 0: none has. */
KqTime kq_follow_answered_at (const KqFollow *f);

/* Delay before the next try after `failures` (1 or more) consecutive failed calls. cut:
 * the last answer was cut off after its beginning. Randomized, so that many nodes don't
 * retry at once. */
int kq_follow_retry_ms (KqRand *rand, int failures, bool cut);

#endif
