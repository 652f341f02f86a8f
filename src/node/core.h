#ifndef KQ_NODE_CORE_H
#define KQ_NODE_CORE_H

/* core: the state of one node: membership, shard ownership, the table and the shards.
 *
 * Does no I/O: it is given replies, messages and the time, and puts store calls, worker
 * calls and messages into an outbox, and notices into a queue. The daemon's node task
 * connects it to sockets; the soak test and the fault matrix to fakes. */

#include "member/member.h"
#include "node/shard.h"
#include "settings/settings.h"
#include "shard/owner.h"
#include "table/dist.h"

typedef struct KqCore KqCore;

typedef struct
{
  const KqSettings *settings; /* outlives the core */
  KqNodeInfo self;
  uint64_t seed;
  KqCounters *counters; /* NULL: none */
} KqCoreConfig;

typedef enum
{
  KQ_NOTICE_TABLE,          /* a new table is in force */
  KQ_NOTICE_SHARD_HOSTS,    /* new list of the hosts of a shard that this node owns */
  KQ_NOTICE_SHARD_GONE,     /* this node no longer serves the shard's runners */
  KQ_NOTICE_NODE,           /* a node joined, changed or is gone */
  KQ_NOTICE_TABLE_RESULT,   /* a table change started here has ended */
  KQ_NOTICE_SHARDS_RELEASED /* planned stop: this node owns no shard any more */
} KqNoticeKind;

typedef struct
{
  KqNoticeKind kind;
  uint32_t shard;
  bool taken_over;  /* SHARD_HOSTS: the shard's first list since it became active here */
  KqHostList hosts; /* SHARD_HOSTS: the receiver frees it */
  KqNode node;      /* NODE: without its shards */
  KqTableResult result;
} KqNotice;

KqCore *kq_core_new (const KqCoreConfig *c);
void kq_core_free (KqCore *c);

/* Does everything that is due at `now`. Call it periodically, and after the functions
 * below. */
void kq_core_tick (KqCore *c, KqTime now, KqOutbox *out);
/* Handles the reply to a store call of the outbox. */
void kq_core_store_reply (KqCore *c, const KqStoreReply *r, KqTime now, KqOutbox *out);
/* Handles the reply to a worker call of the outbox. */
void kq_core_worker_reply (KqCore *c, const KqWorkerReply *r, KqTime now, KqOutbox *out);
/* Handles a HEARTBEAT, TABLE, TABLE_REQUEST, JOB_SUBMIT, JOB_CALL, JOB_MOVE, JOB_MOVED,
 * CLAIM_BEGIN or CLAIM_DONE. */
void kq_core_message (KqCore *c, KqNodeId from, const KqMsg *m, KqTime now,
                      KqOutbox *out);
/* Records that the mesh connection to a peer was made (up) or lost. */
void kq_core_peer_changed (KqCore *c, KqNodeId peer, bool up, KqTime now);
/* Sets the dispatcher's service digests, which are sent with this node's heartbeats.
 * Copies them. */
void kq_core_set_services (KqCore *c, const KqServiceDigest *s, size_t n);
/* Starts a table change; its result comes as KQ_NOTICE_TABLE_RESULT. */
void kq_core_change_table (KqCore *c, uint64_t call, const KqRowChange *ch, size_t n,
                           KqTime now, KqOutbox *out);
/* Planned stop: releases all shards, then emits KQ_NOTICE_SHARDS_RELEASED. */
void kq_core_drain (KqCore *c);
/* Deletes the node's key in the store. Call it after KQ_NOTICE_SHARDS_RELEASED. */
void kq_core_leave (KqCore *c, KqTime now, KqOutbox *out);

/* Takes the next notice from the queue; false if it is empty. */
bool kq_core_notice (KqCore *c, KqNotice *n);
/* Whether a worker call may be sent now: this node still owns its shard in the same
 * epoch. */
bool kq_core_may_call (const KqCore *c, const KqWorkerCall *call, KqTime now);
/* Whether a table is in force and the node's lease is valid, or the store can't be
 * reached. *why is set to the reason if not, otherwise to "". */
bool kq_core_ready (KqCore *c, KqTime now, const char **why);

/* The table in force; NULL: none yet. */
KqTable *kq_core_table (KqCore *c);
const KqMember *kq_core_member (const KqCore *c);
const KqOwner *kq_core_owner (const KqCore *c);
bool kq_core_draining (const KqCore *c);
/* The lowest number of the shards of this node's region. */
uint32_t kq_core_first_shard (const KqCore *c);
/* How many shards this node's region has; their numbers are consecutive. */
uint32_t kq_core_shards (const KqCore *c);
/* The state of one shard; NULL if the shard isn't of this node's region. */
KqShard *kq_core_shard (KqCore *c, uint32_t shard);

#endif
