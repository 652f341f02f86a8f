#ifndef KQ_SHARD_OWNER_H
#define KQ_SHARD_OWNER_H

/* owner: takes and releases the ownership of this region's shards, by compare-and-swap in
 * the store.
 *
 * own/<shard> holds the owner's node id and name, its incarnation, the shard's epoch
 * (raised at each change of owner) and the owner's lease id. The ownership is
 * valid while the owner's node key exists. The wanted owner of a shard is chosen by
 * rendezvous hashing over the live members of the region that aren't draining, weighted
 * by depot size; only a few shards are moved at a time. A node takes a shard that has no
 * live owner or that its owner has released. A process that was suspended finds out in
 * kq_owner_is_mine that its lease has expired, before it sends anything. */

#include "member/member.h"
#include "port/outbox.h"

typedef enum
{
  KQ_OWN_NONE,
  KQ_OWN_TAKING,   /* reading own/<shard> or writing ourselves into it */
  KQ_OWN_MINE,     /* own/<shard> names us; the journal may be opened */
  KQ_OWN_RELEASING /* a handover is in progress, or own/<shard> is being released */
} KqOwnState;

typedef enum
{
  KQ_OWNER_TAKEN,   /* open the shard's journal under `epoch` */
  KQ_OWNER_LOST,    /* drop the shard's state at once */
  KQ_OWNER_HANDOVER /* planned move: commit what is pending, then kq_owner_released */
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
  KqTime lease;      /* duration of the lease of the node's key */
  KqTime outage_max; /* longest store outage in which ownership stays valid without a live
                       lease; see kq_owner_valid_in_outage */
} KqOwnerTimes;

/* Totals since kq_owner_new. */
typedef struct
{
  uint64_t taken;
  uint64_t released;
  uint64_t lost;
  uint64_t read_backs; /* reads of own/<shard> after a write without an answer */
} KqOwnerCount;

/* Shards first .. first + n - 1 are those of this node's region. */
KqOwner *kq_owner_new (const KqNodeInfo *self, uint32_t first, uint32_t n, uint64_t seed);
void kq_owner_free (KqOwner *o);
/* Defaults: lease 10 s, outage_max 10 minutes. */
void kq_owner_set_times (KqOwner *o, const KqOwnerTimes *t);
/* Chooses the wanted owners, starts takeovers and moves, and sends the store calls that
 * are due. */
void kq_owner_tick (KqOwner *o, const KqMember *m, KqTime now, KqOutbox *out);
/* Handles the reply to a store call; false: not a call of this module. Tokens are
 * shard << 32 | call number, with call numbers from 2^31 up. */
bool kq_owner_reply (KqOwner *o, const KqStoreReply *r, const KqMember *m, KqTime now,
                     KqOutbox *out);
/* Takes the oldest event; false when there is none. */
bool kq_owner_event (KqOwner *o, KqOwnerEvent *e);
/* Gives up the shard at once and adds the event LOST. For a shard that can't be served,
 * because its journal is FENCED or DAMAGED, its state can't be rebuilt, or
 * kq_owner_is_mine is false. */
void kq_owner_step_down (KqOwner *o, uint32_t shard, KqTime now);
/* Ends a handover by writing the release to own/<shard>. Must be called after the event
 * HANDOVER, once the shard's records are committed and its state is dropped. */
void kq_owner_released (KqOwner *o, uint32_t shard, KqTime now, KqOutbox *out);
/* For a planned stop: from now on the node takes no shard and hands over all it has. */
void kq_owner_drain (KqOwner *o);

KqOwnState kq_owner_state (const KqOwner *o, uint32_t shard);
/* The epoch under which this node owns the shard; 0: it doesn't. The lease isn't checked;
 * see kq_owner_is_mine. */
uint64_t kq_owner_epoch (const KqOwner *o, uint32_t shard);
/* Whether this node still owns the shard at `now`: it has taken it, and its lease is
 * certainly live or kq_owner_valid_in_outage holds. Must be checked before every send. */
bool kq_owner_is_mine (const KqOwner *o, uint32_t shard, const KqMember *m, KqTime now);
/* Whether ownership continues without a live lease because the store is away: the lease
 * has expired, the store has been silent for at least half a lease and at most
 * outage_max, no peer of the region reaches it either, and a peer was heard within a
 * fifth of a lease (or this is the region's only node). Always false for a fifth of a
 * lease after this process was suspended. */
bool kq_owner_valid_in_outage (const KqOwner *o, const KqMember *m, KqTime now);
/* The owner of a shard of any region as far as this node knows, by the highest epoch in
 * the peers' digests and its own state. 0: none known. */
KqNodeId kq_owner_of (const KqOwner *o, const KqMember *m, uint32_t shard);
/* The node that should own a shard of our region, chosen from the members that this node
 * knows. 0: none. */
KqNodeId kq_owner_wanted (const KqOwner *o, uint32_t shard);
const KqOwnerCount *kq_owner_count (const KqOwner *o);

#endif
