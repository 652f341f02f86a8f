#ifndef KQ_SHARD_OWNER_STATE_H
#define KQ_SHARD_OWNER_STATE_H

/* owner_state: declarations shared by the files of the owner module. Internal to it.
 *
 * Each shard of the region has an entry. Its step says which store call is in flight or
 * next. In the steady state no entry calls the store: the owners of other shards are
 * known from the peers' digests. */

#include "base/rand.h"
#include "shard/backoff.h"
#include "shard/owner.h"

/* How many planned moves a node may have in progress. A move stops its shard for a few
 * store calls; without a limit a node that joins would stop most shards of the region at
 * once. */
#define KQ_OWNER_MOVES_MAX 2
/* The same limit at a planned stop of the node, where a long wait costs more than the
 * short stops. */
#define KQ_OWNER_DRAIN_MOVES_MAX 4
/* Delay before the first move of a planned stop: two heartbeats, so that the next owners
 * know of the stop and watch for the releases. Without it the first shards released would
 * have no owner until those nodes hear of the stop. */
#define KQ_OWNER_DRAIN_WAIT (1 * KQ_SEC)
/* How many shards a node may be taking at a time. A takeover needs about six store calls
 * (owner key, node key, swap, two lists, fence); after the loss of a depot all takeovers
 * at once would overload the store. */
#define KQ_OWNER_TAKES_MAX 4
/* Planned moves wait until the members haven't changed for this long. Otherwise a node
 * that flaps would move shards back and forth. */
#define KQ_OWNER_SETTLE_TIME (3 * KQ_SEC)
/* Delay before another try at a shard that can't be taken at present. */
#define KQ_OWNER_RECHECK (1 * KQ_SEC)
/* Duration of one watch for a shard's release, and how many such watches a node may have
 * open. Without the watch the next owner learns of a release only by the next heartbeat.
 * Only the wanted owner watches, and only while the present owner's digest lists the
 * shard. */
#define KQ_OWNER_WATCH_MS 10000
#define KQ_OWNER_WATCHES_MAX 4
/* A journal that can't be opened makes each owner step down right after taking the shard.
 * The delay before the next try is KQ_OWNER_RECHECK, doubled at most this many times
 * (64 s); it starts again at KQ_OWNER_RECHECK once a shard was held for
 * KQ_OWNER_STABLE_TIME. */
#define KQ_OWNER_STEP_DOWN_DOUBLINGS 6
#define KQ_OWNER_STABLE_TIME (60 * KQ_SEC)
/* Times relative to the lease time (a fifth of it is four heartbeats by default).
 *
 * KQ_OWNER_STORE_REACH_AGE: a peer that the store answered within half a lease counts as
 * reaching the store. Every node renews about every third of a lease. When our own lease
 * has expired because of a store outage, the last answer to any node is older than half a
 * lease.
 *
 * KQ_OWNER_HEARD_AGE: a node whose heartbeat is younger than a fifth of a lease is still
 * heard.
 *
 * KQ_OWNER_GRACE: an owner whose key is gone but which is still heard keeps its shards
 * for another half of a lease. The store may have dropped all leases in an outage, and
 * owners that register again at once should keep their shards. The grace also gives an
 * owner that is cut off from the store the time to learn from our heartbeats that we
 * reach the store, and to stop. */
#define KQ_OWNER_STORE_REACH_AGE(o) ((o)->times.lease / 2)
#define KQ_OWNER_HEARD_AGE(o) ((o)->times.lease / 5)
#define KQ_OWNER_GRACE(o) ((o)->times.lease / 2)
/* After this time a call without a reply counts as unreachable; see
 * KQ_JOURNAL_REPLY_TIMEOUT. */
#define KQ_OWNER_REPLY_TIMEOUT (30 * KQ_SEC)

typedef enum
{
  KQ_OWNER_IDLE,
  KQ_OWNER_READ,      /* GET own/<shard>, in order to take it */
  KQ_OWNER_WATCH,     /* WATCH own/<shard> until its present owner releases it */
  KQ_OWNER_READ_NODE, /* GET the named owner's node key, to see whether it is gone */
  KQ_OWNER_SWAP,      /* PUT own/<shard> with ourselves as owner */
  KQ_OWNER_READ_BACK, /* GET after a SWAP without an answer */
  KQ_OWNER_RELEASE,   /* PUT own/<shard> without an owner */
  KQ_OWNER_RELEASE_READ_BACK /* GET after a RELEASE without an answer, or while
                                `uncertain` */
} KqOwnerStep;

/* The value of own/<shard>. */
typedef struct
{
  KqNodeId owner; /* 0: released */
  KqName name;
  uint64_t incarnation;
  uint64_t lease;
  uint64_t epoch;
  uint64_t write_id;
} KqOwnValue;

typedef struct
{
  KqOwnState state;
  KqOwnerStep step;
  bool holding;       /* between the event TAKEN and LOST or kq_owner_released */
  bool handover_sent; /* the event HANDOVER was added for the present move */
  bool uncertain; /* own/<shard> may name us, or a write of ours may still take effect,
                     though we don't hold the shard */
  KqNodeId wanted;
  uint32_t call_number; /* of the call in flight; 0: none */
  KqTime sent_at;       /* when the call in flight was sent */
  KqTime wait_until;    /* the next call or take doesn't start before this time */
  KqTime backoff;       /* last delay after a failure; see kq_backoff_next */
  /* Backoff of reads at the end of a handover, while the owner is alive but its digest no
   * longer lists the shard. */
  KqTime handover_backoff;
  uint64_t revision;       /* of own/<shard> as last read */
  uint64_t watch_revision; /* store revision up to which the watch has reported */
  KqOwnValue stored;       /* value of own/<shard> as last read */
  KqOwnValue mine;         /* our last value for own/<shard>, being written or written */
  KqTime taken_at;
  int step_downs;    /* consecutive step-downs soon after taking the shard */
  KqTime gone_since; /* when the owner in `stored` was first found gone; 0: not gone */
} KqOwnEntry;

struct KqOwner
{
  KqNodeInfo self;
  uint32_t first;
  uint32_t n;
  KqOwnEntry *entries;
  KqRand rand;
  uint32_t next_call_number;
  KqOwnerTimes times;
  KqOwnerCount count;
  bool draining;
  bool picked;             /* wanted owners were chosen, for the members' `version` */
  uint64_t version;        /* kq_member_version at that time */
  KqTime ticked_at;        /* last tick */
  KqTime resumed_at;       /* the first tick after the last long gap between ticks */
  KqTime next_pick_at;     /* wanted owners are chosen again then at the latest */
  KqTime moves_allowed_at; /* planned moves wait until then; see KQ_OWNER_SETTLE_TIME */
  KqTime drain_at;         /* first move of a planned stop; 0: not set yet */
  KqOwnerEvent *events;
  size_t first_event, n_events, events_capacity;
};

/* Functions with a parameter `i` take the index of an entry: shard - first. */

/* owner.c */
void kq_owner_add_event (KqOwner *o, KqOwnerEventKind kind, uint32_t i);
/* Resets the entry to KQ_OWN_NONE; adds the event LOST if we held the shard. */
void kq_owner_reset_entry (KqOwner *o, uint32_t i);
/* The node, not gone, whose digest lists the shard with the highest epoch above *epoch,
 * and that epoch; 0: none. */
KqNodeId kq_owner_find_reported (const KqMember *m, uint32_t shard, uint64_t *epoch);
/* Whether this node may take shards now: its lease is live and the store's list of nodes
 * has its key. */
bool kq_owner_may_take_shards (const KqOwner *o, const KqMember *m, KqTime now);

/* owner_pick.c */
/* Chooses the wanted owner of every shard; true when any of them changed. */
bool kq_owner_pick_all (KqOwner *o, const KqMember *m);

/* owner_swap.c */
/* Sends the call of the entry's present step. */
void kq_owner_send (KqOwner *o, uint32_t i, KqTime now, KqOutbox *out);
/* Handles the reply to the call of the present step. */
void kq_owner_handle_reply (KqOwner *o, uint32_t i, const KqStoreReply *r,
                            const KqMember *m, KqTime now);
/* Begins to write own/<shard> without an owner. */
void kq_owner_start_release (KqOwner *o, uint32_t i);

#endif
