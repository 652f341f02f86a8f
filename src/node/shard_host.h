#ifndef KQ_NODE_SHARD_HOST_H
#define KQ_NODE_SHARD_HOST_H

/* shard_host: one shard at its owner: the journal, the jobs, the claims, and the outgoing
 * items that wait for a commit.
 *
 * Does no I/O: store calls, worker calls and messages go to an outbox. The caller checks
 * before each call that the node still owns the shard, and uses kq_shard_host_drop if it
 * doesn't. */

#include "job/jobs.h"
#include "request/claims.h"
#include "shard/hold.h"
#include "shard/journal.h"

typedef enum
{
  KQ_HOST_IDLE,       /* this node doesn't own the shard */
  KQ_HOST_RECOVERING, /* reading the journal */
  KQ_HOST_ACTIVE,
  KQ_HOST_GIVING_UP /* accepts nothing new; ends when all is committed and sent */
} KqShardHostState;

typedef struct KqShardHost KqShardHost;

/* all_shards: the number of shards of all regions, which share the store's write rate. */
KqShardHost *kq_shard_host_new (uint32_t shard, uint32_t all_shards, KqNodeId self,
                                const KqJobsConfig *jobs);
void kq_shard_host_free (KqShardHost *h);
KqShardHostState kq_shard_host_state (const KqShardHost *h);
uint64_t kq_shard_host_epoch (const KqShardHost *h);

/* This node has acquired the shard in `epoch`: starts recovery. `table` may be NULL. */
void kq_shard_host_open (KqShardHost *h, uint64_t epoch, KqTable *table, KqTime now,
                         KqOutbox *out);
/* Discards the shard's state and all items that wait for a commit; IDLE afterwards. */
void kq_shard_host_drop (KqShardHost *h);
/* Starts the release of the shard: GIVING_UP. */
void kq_shard_host_give_up (KqShardHost *h);
/* Whether the shard is idle, or GIVING_UP with nothing left to commit or send. */
bool kq_shard_host_given_up (const KqShardHost *h, KqTime now);
/* Returns KQ_OK, or the reason why the caller must drop the shard: KQ_ERR_FENCED or
 * KQ_ERR_JOURNAL_DAMAGED. */
KqResult kq_shard_host_tick (KqShardHost *h, bool store_ok, KqTime now, KqOutbox *out);
/* False when the reply isn't for the shard's journal. */
bool kq_shard_host_store_reply (KqShardHost *h, const KqStoreReply *r, KqTime now,
                                KqOutbox *out);
void kq_shard_host_worker_reply (KqShardHost *h, const KqWorkerReply *r, KqTime now,
                                 KqOutbox *out);
/* JOB_SUBMIT, JOB_CALL, JOB_MOVE, JOB_MOVED, CLAIM_BEGIN or CLAIM_DONE,
 * each for this shard. */
void kq_shard_host_message (KqShardHost *h, const KqMsg *m, KqTime now, KqOutbox *out);
void kq_shard_host_set_table (KqShardHost *h, KqTable *table, KqTime now);
void kq_shard_host_set_hosts (KqShardHost *h, const KqHostList *l, KqTime now,
                              KqOutbox *out);
/* The digests of the other shards; copied. */
void kq_shard_host_set_other_digests (KqShardHost *h, const KqShardDigest *d, size_t n,
                                      KqTime now);
/* The process of the node with this incarnation has ended: the outcome of the claims that
 * it opened is unknown. */
void kq_shard_host_node_gone (KqShardHost *h, KqNodeId node, uint64_t incarnation,
                              KqTime now, KqOutbox *out);
/* False when the shard isn't active. */
bool kq_shard_host_digest (KqShardHost *h, KqTime now, KqShardDigest *out);
/* NULL unless the shard is active. */
const KqJobs *kq_shard_host_jobs (const KqShardHost *h);
const KqClaims *kq_shard_host_claims (const KqShardHost *h);
/* How long the oldest uncommitted record has been waiting; 0: there is none. */
KqTime kq_shard_host_journal_lag (const KqShardHost *h, KqTime now);

#endif
