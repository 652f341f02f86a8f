#ifndef KQ_NODE_SHARD_H
#define KQ_NODE_SHARD_H

/* shard: one shard at its owner: the journal, the jobs, the claims, and the outgoing
 * items that wait for a commit.
 *
 * Does no I/O: store calls, worker calls and messages go to an outbox. The caller checks
 * before each call that the node still owns the shard, and uses kq_shard_drop if it
 * doesn't. */

#include "job/jobs.h"
#include "request/claims.h"
#include "shard/hold.h"
#include "shard/journal.h"

typedef enum
{
  KQ_SHARD_IDLE,       /* this node doesn't own the shard */
  KQ_SHARD_RECOVERING, /* reading the journal */
  KQ_SHARD_ACTIVE,
  KQ_SHARD_RELEASING /* accepts nothing new; ends when all is committed and sent */
} KqShardState;

typedef struct KqShard KqShard;

/* all_shards: the number of shards of all regions, which share the store's write rate. */
KqShard *kq_shard_new (uint32_t shard, uint32_t all_shards, KqNodeId self,
                       const KqJobsConfig *jobs);
void kq_shard_free (KqShard *s);
KqShardState kq_shard_state (const KqShard *s);
uint64_t kq_shard_epoch (const KqShard *s);

/* This node has acquired the shard in `epoch`: starts recovery. `table` may be NULL. */
void kq_shard_open (KqShard *s, uint64_t epoch, KqTable *table, KqTime now,
                    KqOutbox *out);
/* Discards the shard's state and all items that wait for a commit; IDLE afterwards. */
void kq_shard_drop (KqShard *s);
/* Starts the release of the shard: RELEASING. */
void kq_shard_release (KqShard *s);
/* Whether the shard is idle, or RELEASING with nothing left to commit or send. */
bool kq_shard_released (const KqShard *s, KqTime now);
/* Does everything that is due at `now`. store_ok: the store has answered this node
 * recently. Returns KQ_OK, or the reason why the caller must drop the shard:
 * KQ_ERR_FENCED or KQ_ERR_JOURNAL_DAMAGED. */
KqResult kq_shard_tick (KqShard *s, bool store_ok, KqTime now, KqOutbox *out);
/* Passes a reply of the store to the shard's journal. False: the reply isn't for it. */
bool kq_shard_store_reply (KqShard *s, const KqStoreReply *r, KqTime now, KqOutbox *out);
void kq_shard_worker_reply (KqShard *s, const KqWorkerReply *r, KqTime now,
                            KqOutbox *out);
/* Handles a JOB_SUBMIT, JOB_CALL, JOB_MOVE, JOB_MOVED, CLAIM_BEGIN or CLAIM_DONE for this
 * shard, which must be active. */
void kq_shard_message (KqShard *s, const KqMsg *m, KqTime now, KqOutbox *out);
void kq_shard_set_table (KqShard *s, KqTable *table, KqTime now);
void kq_shard_set_hosts (KqShard *s, const KqHostList *l, KqTime now, KqOutbox *out);
/* Sets the digests of the other shards. Copies them. */
void kq_shard_set_other_digests (KqShard *s, const KqShardDigest *d, size_t n,
                                 KqTime now);
/* Records that the process of the node with this incarnation has ended: the outcome of
 * the claims that it opened is unknown. */
void kq_shard_node_gone (KqShard *s, KqNodeId node, uint64_t incarnation, KqTime now,
                         KqOutbox *out);
/* Writes the shard's digest to *out. False: the shard isn't active. */
bool kq_shard_digest (KqShard *s, KqTime now, KqShardDigest *out);
/* The shard's jobs, and its claims; both NULL unless the shard is active. */
const KqJobs *kq_shard_jobs (const KqShard *s);
const KqClaims *kq_shard_claims (const KqShard *s);
/* How long the oldest uncommitted record has been waiting; 0: there is none. */
KqTime kq_shard_journal_lag (const KqShard *s, KqTime now);

#endif
