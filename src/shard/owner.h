#ifndef KQ_SHARD_OWNER_H
#define KQ_SHARD_OWNER_H

/* owner: which shards of its region this node owns, by compare-and-swap in the store.
 *
 * own/<shard> holds owner, incarnation, epoch and lease id; it is valid while the
 * owner's lease key lives. The wanted owner is chosen by rendezvous hashing over live
 * members of the region that aren't draining, weighed by depot; moves are paced. A node
 * takes a shard that has no live owner, and one that its owner released. A paused
 * process finds its lease gone in kq_owner_is_mine before it does anything else. */

#include "member/member.h"
#include "port/outbox.h"

typedef enum
{
  KQ_OWN_NONE,
  KQ_OWN_TAKING, /* the swap is under way */
  KQ_OWN_MINE,   /* epoch is ours; the journal may be opened */
  KQ_OWN_RELEASING
} KqOwnState;

typedef enum
{
  KQ_OWNER_TOOK,   /* open the shard's journal under `epoch` */
  KQ_OWNER_LOST,   /* drop the shard's memory at once */
  KQ_OWNER_GIVE_UP /* planned: finish commits, then call kq_owner_released */
} KqOwnerEventKind;

typedef struct
{
  KqOwnerEventKind kind;
  uint32_t shard;
  uint64_t epoch;
} KqOwnerEvent;

typedef struct KqOwner KqOwner;

typedef struct
{
  KqTime lease;     /* of the node's key: how long a node that hears no peer goes on */
  KqTime blind_max; /* without the store at most; see kq_owner_blind */
} KqOwnerTimes;

/* Work done since the start; for counters and benches. */
typedef struct
{
  uint64_t taken;
  uint64_t released;
  uint64_t lost;
  uint64_t checks; /* read-backs after a lost answer */
} KqOwnerCount;

/* Shards first .. first + n - 1 belong to our region. */
KqOwner *kq_owner_new (const KqNodeInfo *self, uint32_t first, uint32_t n, uint64_t seed);
void kq_owner_free (KqOwner *o);
/* Defaults: 10 s and 10 minutes. */
void kq_owner_set_times (KqOwner *o, const KqOwnerTimes *t);
void kq_owner_tick (KqOwner *o, const KqMember *m, KqTime now, KqOutbox *out);
/* Token: shard << 32 | number from 2^31 up; false: not ours. */
bool kq_owner_reply (KqOwner *o, const KqStoreReply *r, const KqMember *m, KqTime now,
                     KqOutbox *out);
bool kq_owner_event (KqOwner *o, KqOwnerEvent *e);
/* The journal found a successor: step down at once. */
void kq_owner_fenced (KqOwner *o, uint32_t shard, KqTime now);
/* After GIVE_UP: everything is committed and dropped. */
void kq_owner_released (KqOwner *o, uint32_t shard, KqTime now, KqOutbox *out);
/* Planned stop: wants no shard any more and gives up all. */
void kq_owner_drain (KqOwner *o);

KqOwnState kq_owner_state (const KqOwner *o, uint32_t shard);
uint64_t kq_owner_epoch (const KqOwner *o, uint32_t shard);
/* "Am I still owner at now": state MINE and our lease certainly alive, or the bounded
 * blind time of a store outage (kq_owner_blind). Asked before every send. */
bool kq_owner_is_mine (const KqOwner *o, uint32_t shard, const KqMember *m, KqTime now);
/* Store outage: our lease can't be renewed, but no peer of the region reaches the store
 * either and at least one was heard within a fifth of a lease (or we are the region's
 * only node). Never for a fifth of a lease after this process has slept. */
bool kq_owner_blind (const KqOwner *o, const KqMember *m, KqTime now);
/* Who owns a shard as far as this node knows, any region (digests first). 0: nobody. */
KqNodeId kq_owner_of (const KqOwner *o, const KqMember *m, uint32_t shard);
/* Who should own a shard of our region by what this node knows. 0: nobody. */
KqNodeId kq_owner_wanted (const KqOwner *o, uint32_t shard);
const KqOwnerCount *kq_owner_count (const KqOwner *o);

#endif
