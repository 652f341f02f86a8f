#include "node/shard.h"

#include "base/log.h"

#include <assert.h>
#include <stdlib.h>

#define PART "shard"
/* The first record type of jobs; lower ones belong to claims (see shard/journal.h). */
#define JOB_RECORD_TYPE_MIN 200
/* How long an idempotency key is remembered if the table has no row for its service. */
#define CLAIM_TTL_DEFAULT (24 * 3600 * KQ_SEC)

struct KqShard
{
  uint32_t shard;
  KqNodeId self;
  uint64_t epoch;
  KqShardState state;
  KqJobsConfig jobs_config;
  KqJournal *journal;
  KqJobs *jobs;
  KqClaims *claims;
  KqHold hold;
  KqOutbox immediate; /* items that needn't wait for a commit */
  KqTable *table;
};

KqShard *
kq_shard_new (uint32_t shard, uint32_t all_shards, KqNodeId self,
              const KqJobsConfig *jobs)
{
  KqShard *h = kq_alloc (sizeof *h);
  h->shard = shard;
  h->self = self;
  h->jobs_config = *jobs;
  h->jobs_config.shard = shard;
  h->journal = kq_journal_new (shard, self, jobs->seed ^ shard);
  kq_journal_set_share (h->journal, all_shards);
  kq_hold_init (&h->hold);
  return h;
}

void
kq_shard_drop (KqShard *h)
{
  kq_hold_free (&h->hold);
  kq_outbox_free (&h->immediate);
  kq_jobs_free (h->jobs);
  kq_claims_free (h->claims);
  h->jobs = NULL;
  h->claims = NULL;
  kq_journal_close (h->journal);
  h->state = KQ_SHARD_IDLE;
}

void
kq_shard_free (KqShard *h)
{
  if (h == NULL)
    return;
  kq_shard_drop (h);
  kq_journal_free (h->journal);
  if (h->table != NULL)
    kq_table_unref (h->table);
  free (h);
}

KqShardState
kq_shard_state (const KqShard *h)
{
  return h->state;
}

uint64_t
kq_shard_epoch (const KqShard *h)
{
  return h->epoch;
}

void
kq_shard_open (KqShard *h, uint64_t epoch, KqTable *table, KqTime now, KqOutbox *out)
{
  KqLogPort log = { .kind = KQ_LOG_PORT_JOURNAL, .u.journal = h->journal };
  kq_shard_drop (h);
  h->epoch = epoch;
  h->state = KQ_SHARD_RECOVERING;
  h->jobs = kq_jobs_new (&h->jobs_config, log);
  h->claims = kq_claims_new (h->shard, log);
  if (table != NULL)
    kq_shard_set_table (h, table, now);
  kq_journal_open (h->journal, epoch, now, out);
}

/* Whether an item can be sent without waiting for the commits before it. Renewals of
 * worker leases acknowledge only what is committed already, and must not wait: with a
 * slow store the leases would expire and every task would be started again. */
static bool
needs_no_wait (const KqOut *item, KqSeq after)
{
  if (item->kind == KQ_OUT_WORKER)
    return item->u.worker.kind == KQ_WORKER_LEASE;
  /* A reply that needs no record, such as a refusal, is sent at once. Behind the held
   * items its caller would wait for "not run" as long as the store is unreachable. */
  return item->kind == KQ_OUT_SEND && after == 0;
}

/* Keeps the items that a call produced until its record is in the store. */
static void
hold_until_committed (KqShard *h, KqSeq after, KqOutbox *items)
{
  KqOutbox held = { 0 };
  KqOut item;
  while (kq_outbox_take (items, &item))
    kq_outbox_move (needs_no_wait (&item, after) ? &h->immediate : &held, &item);
  kq_hold_add (&h->hold, after, &held);
  kq_outbox_free (&held);
}

static void
release_committed (KqShard *h, KqOutbox *out)
{
  KqOut item;
  while (kq_outbox_take (&h->immediate, &item))
    kq_outbox_move (out, &item);
  kq_hold_release (&h->hold, kq_journal_committed (h->journal), out);
}

/* Applies the recovered records. A record that can't be read marks the journal as
 * damaged: skipping it could run a request or a task twice. This shard then stays without
 * an owner until an operator has intervened; other shards aren't affected. */
static void
apply_recovered (KqShard *h, KqTime now)
{
  KqRecord r;
  while (kq_journal_next_record (h->journal, &r))
    {
      KqResult read = r.type >= JOB_RECORD_TYPE_MIN
                          ? kq_jobs_apply (h->jobs, &r, now)
                          : kq_claims_apply (h->claims, &r, now);
      if (read == KQ_OK)
        continue;
      kq_log (KQ_LOG_ERROR, PART,
              "Record can't be read. shard=%u type=%u code=%d name=%s", h->shard, r.type,
              read, kq_result_name (read));
      kq_journal_refuse (h->journal, &r, read);
      return;
    }
}

static void
become_active (KqShard *h, KqTime now)
{
  KqOutbox items = { 0 };
  KqSeq after;
  h->state = KQ_SHARD_ACTIVE;
  kq_claims_recovered (h->claims, now);
  after = kq_jobs_recovered (h->jobs, h->epoch, now, &items);
  hold_until_committed (h, after, &items);
  kq_outbox_free (&items);
  kq_log (KQ_LOG_INFO, PART, "Shard recovered. shard=%u epoch=%llu", h->shard,
          (unsigned long long)h->epoch);
}

static void
add_snapshot_record (void *arg, const KqRecord *r)
{
  kq_journal_snapshot_add (arg, r);
}

static void
write_snapshot (KqShard *h, KqTime now, KqOutbox *out)
{
  kq_journal_snapshot_begin (h->journal);
  kq_claims_snapshot (h->claims, now, add_snapshot_record, h->journal);
  kq_jobs_snapshot (h->jobs, add_snapshot_record, h->journal);
  kq_journal_snapshot_end (h->journal, now, out);
}

static KqResult
check_journal (KqShard *h, KqTime now, KqOutbox *out)
{
  switch (kq_journal_state (h->journal))
    {
    case KQ_JOURNAL_FENCED:
      return KQ_ERR_FENCED;
    case KQ_JOURNAL_DAMAGED:
      return KQ_ERR_JOURNAL_DAMAGED;
    case KQ_JOURNAL_OPEN:
      apply_recovered (h, now);
      if (kq_journal_state (h->journal) == KQ_JOURNAL_DAMAGED)
        return KQ_ERR_JOURNAL_DAMAGED;
      if (h->state == KQ_SHARD_RECOVERING)
        become_active (h, now);
      if (kq_journal_snapshot_due (h->journal))
        write_snapshot (h, now, out);
      return KQ_OK;
    case KQ_JOURNAL_CLOSED:
    case KQ_JOURNAL_RECOVERING:
    case KQ_JOURNAL_FENCING:
      apply_recovered (h, now);
      return KQ_OK;
    }
  return KQ_OK;
}

KqResult
kq_shard_tick (KqShard *h, bool store_ok, KqTime now, KqOutbox *out)
{
  KqResult r;
  if (h->state == KQ_SHARD_IDLE)
    return KQ_OK;
  r = check_journal (h, now, out);
  if (r != KQ_OK)
    return r;
  if (h->state == KQ_SHARD_ACTIVE)
    {
      KqOutbox items = { 0 };
      KqSeq after = kq_jobs_tick (h->jobs, store_ok, now, &items);
      hold_until_committed (h, after, &items);
      after = kq_claims_tick (h->claims, now, &items);
      hold_until_committed (h, after, &items);
      kq_outbox_free (&items);
    }
  kq_journal_tick (h->journal, now, out);
  release_committed (h, out);
  return KQ_OK;
}

bool
kq_shard_store_reply (KqShard *h, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  return kq_journal_reply (h->journal, r, now, out);
}

void
kq_shard_worker_reply (KqShard *h, const KqWorkerReply *r, KqTime now, KqOutbox *out)
{
  KqOutbox items = { 0 };
  /* A reply to a call of an earlier epoch concerns a lease that is no longer valid. */
  if (h->state != KQ_SHARD_ACTIVE || r->epoch != h->epoch)
    return;
  hold_until_committed (h, kq_jobs_worker_reply (h->jobs, r, now, &items), &items);
  kq_outbox_free (&items);
  kq_journal_tick (h->journal, now, out);
  release_committed (h, out);
}

static KqTime
claim_ttl (const KqShard *h, KqStr service)
{
  const KqRow *row = NULL;
  if (h->table != NULL)
    row = kq_table_find (h->table, KQ_ROW_SERVICE, service);
  return row != NULL ? row->u.service.claim_ttl_s * KQ_SEC : CLAIM_TTL_DEFAULT;
}

static KqSeq
handle_message (KqShard *h, const KqMsg *m, KqTime now, KqOutbox *items)
{
  switch (m->kind)
    {
    case KQ_MSG_JOB_SUBMIT:
      return kq_jobs_submit (h->jobs, &m->u.job_submit, now, items);
    case KQ_MSG_JOB_CALL:
      return kq_jobs_call (h->jobs, &m->u.job_call, now, items);
    case KQ_MSG_JOB_MOVE:
      return kq_jobs_receive_move (h->jobs, &m->u.job_move, now, items);
    case KQ_MSG_JOB_MOVED:
      return kq_jobs_confirm_move (h->jobs, &m->u.job_moved, now);
    case KQ_MSG_CLAIM_BEGIN:
      return kq_claims_begin (h->claims, &m->u.claim_begin,
                              claim_ttl (h, m->u.claim_begin.service), now, items);
    case KQ_MSG_CLAIM_DONE:
      return kq_claims_done (h->claims, &m->u.claim_done, now, items);
    default:
      assert (!"message kind not handled by a shard");
      return 0;
    }
}

void
kq_shard_message (KqShard *h, const KqMsg *m, KqTime now, KqOutbox *out)
{
  KqOutbox items = { 0 };
  assert (h->state == KQ_SHARD_ACTIVE);
  hold_until_committed (h, handle_message (h, m, now, &items), &items);
  kq_outbox_free (&items);
  kq_journal_tick (h->journal, now, out);
  release_committed (h, out);
}

void
kq_shard_set_table (KqShard *h, KqTable *table, KqTime now)
{
  KqTable *old = h->table;
  h->table = kq_table_ref (table);
  if (old != NULL)
    kq_table_unref (old);
  if (h->jobs != NULL)
    kq_jobs_set_table (h->jobs, table, now);
}

void
kq_shard_set_hosts (KqShard *h, const KqHostList *l, KqTime now, KqOutbox *out)
{
  KqOutbox items = { 0 };
  if (h->state != KQ_SHARD_ACTIVE)
    return;
  hold_until_committed (h, kq_jobs_set_hosts (h->jobs, l->hosts, l->n_hosts, now, &items),
                        &items);
  kq_outbox_free (&items);
  release_committed (h, out);
}

void
kq_shard_set_other_digests (KqShard *h, const KqShardDigest *d, size_t n, KqTime now)
{
  if (h->state == KQ_SHARD_ACTIVE)
    kq_jobs_set_other_digests (h->jobs, d, n, now);
}

void
kq_shard_node_gone (KqShard *h, KqNodeId node, uint64_t incarnation, KqTime now,
                    KqOutbox *out)
{
  KqOutbox items = { 0 };
  if (h->state != KQ_SHARD_ACTIVE)
    return;
  hold_until_committed (
      h, kq_claims_node_gone (h->claims, node, incarnation, now, &items), &items);
  kq_outbox_free (&items);
  kq_journal_tick (h->journal, now, out);
  release_committed (h, out);
}

bool
kq_shard_digest (KqShard *h, KqTime now, KqShardDigest *out)
{
  *out = (KqShardDigest){ .shard = h->shard, .epoch = h->epoch };
  if (h->state != KQ_SHARD_ACTIVE)
    return false;
  kq_jobs_digest (h->jobs, now, out);
  return true;
}

void
kq_shard_release (KqShard *h)
{
  if (h->state == KQ_SHARD_ACTIVE || h->state == KQ_SHARD_RECOVERING)
    h->state = KQ_SHARD_RELEASING;
}

bool
kq_shard_released (const KqShard *h, KqTime now)
{
  if (h->state == KQ_SHARD_IDLE)
    return true;
  return h->state == KQ_SHARD_RELEASING && h->hold.first == h->hold.len
         && kq_journal_lag (h->journal, now) == 0;
}

const KqJobs *
kq_shard_jobs (const KqShard *h)
{
  return h->state == KQ_SHARD_ACTIVE ? h->jobs : NULL;
}

const KqClaims *
kq_shard_claims (const KqShard *h)
{
  return h->state == KQ_SHARD_ACTIVE ? h->claims : NULL;
}

KqTime
kq_shard_journal_lag (const KqShard *h, KqTime now)
{
  return kq_journal_lag (h->journal, now);
}
