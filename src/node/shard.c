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
  KqShard *s = kq_alloc (sizeof *s);
  s->shard = shard;
  s->self = self;
  s->jobs_config = *jobs;
  s->jobs_config.shard = shard;
  s->journal = kq_journal_new (shard, self, jobs->seed ^ shard);
  kq_journal_set_share (s->journal, all_shards);
  kq_hold_init (&s->hold);
  return s;
}

void
kq_shard_drop (KqShard *s)
{
  kq_hold_free (&s->hold);
  kq_outbox_free (&s->immediate);
  kq_jobs_free (s->jobs);
  kq_claims_free (s->claims);
  s->jobs = NULL;
  s->claims = NULL;
  kq_journal_close (s->journal);
  s->state = KQ_SHARD_IDLE;
}

void
kq_shard_free (KqShard *s)
{
  if (s == NULL)
    return;
  kq_shard_drop (s);
  kq_journal_free (s->journal);
  if (s->table != NULL)
    kq_table_unref (s->table);
  free (s);
}

KqShardState
kq_shard_state (const KqShard *s)
{
  return s->state;
}

uint64_t
kq_shard_epoch (const KqShard *s)
{
  return s->epoch;
}

void
kq_shard_open (KqShard *s, uint64_t epoch, KqTable *table, KqTime now, KqOutbox *out)
{
  KqLogPort log = { .kind = KQ_LOG_PORT_JOURNAL, .u.journal = s->journal };
  kq_shard_drop (s);
  s->epoch = epoch;
  s->state = KQ_SHARD_RECOVERING;
  s->jobs = kq_jobs_new (&s->jobs_config, log);
  s->claims = kq_claims_new (s->shard, log);
  if (table != NULL)
    kq_shard_set_table (s, table, now);
  kq_journal_open (s->journal, epoch, now, out);
}

/* Whether an item can be sent without waiting for the commits before it. after: number of
 * the record that the item's call wrote; 0: none. Renewals of worker leases
 * acknowledge only what is committed already, and must not wait: with a slow store the
 * leases would expire and every task would be started again. */
static bool
needs_no_wait (const KqOut *item, KqSeq after)
{
  if (item->kind == KQ_OUT_WORKER)
    return item->u.worker.kind == KQ_WORKER_LEASE;
  /* A reply that needs no record, such as a refusal, is sent at once. Behind the held
   * items its caller would wait for "not run" as long as the store is unreachable. */
  return item->kind == KQ_OUT_SEND && after == 0;
}

/* Keeps the items that a call produced until its record is in the store. after: number of
 * that record; 0: the call wrote none. */
static void
hold_until_committed (KqShard *s, KqSeq after, KqOutbox *items)
{
  KqOutbox held = { 0 };
  KqOut item;
  while (kq_outbox_take (items, &item))
    kq_outbox_move (needs_no_wait (&item, after) ? &s->immediate : &held, &item);
  kq_hold_add (&s->hold, after, &held);
  kq_outbox_free (&held);
}

/* Moves the items that can be sent now to `out`. */
static void
send_committed (KqShard *s, KqOutbox *out)
{
  KqOut item;
  while (kq_outbox_take (&s->immediate, &item))
    kq_outbox_move (out, &item);
  kq_hold_release (&s->hold, kq_journal_committed (s->journal), out);
}

/* Applies the recovered records. A record that can't be read marks the journal as
 * damaged: skipping it could run a request or a task twice. This shard then stays without
 * an owner until an operator has intervened; other shards aren't affected. */
static void
apply_recovered (KqShard *s, KqTime now)
{
  KqRecord r;
  while (kq_journal_next_record (s->journal, &r))
    {
      KqResult read = r.type >= JOB_RECORD_TYPE_MIN
                          ? kq_jobs_apply (s->jobs, &r, now)
                          : kq_claims_apply (s->claims, &r, now);
      if (read == KQ_OK)
        continue;
      kq_log (KQ_LOG_ERROR, PART,
              "Record can't be read. shard=%u type=%u code=%d name=%s", s->shard, r.type,
              read, kq_result_name (read));
      kq_journal_refuse (s->journal, &r, read);
      return;
    }
}

static void
become_active (KqShard *s, KqTime now)
{
  KqOutbox items = { 0 };
  KqSeq after;
  s->state = KQ_SHARD_ACTIVE;
  kq_claims_recovered (s->claims, now);
  after = kq_jobs_recovered (s->jobs, s->epoch, now, &items);
  hold_until_committed (s, after, &items);
  kq_outbox_free (&items);
  kq_log (KQ_LOG_INFO, PART, "Shard recovered. shard=%u epoch=%llu", s->shard,
          (unsigned long long)s->epoch);
}

static void
add_snapshot_record (void *arg, const KqRecord *r)
{
  kq_journal_snapshot_add (arg, r);
}

static void
write_snapshot (KqShard *s, KqTime now, KqOutbox *out)
{
  kq_journal_snapshot_begin (s->journal);
  kq_claims_snapshot (s->claims, now, add_snapshot_record, s->journal);
  kq_jobs_snapshot (s->jobs, add_snapshot_record, s->journal);
  kq_journal_snapshot_end (s->journal, now, out);
}

static KqResult
check_journal (KqShard *s, KqTime now, KqOutbox *out)
{
  switch (kq_journal_state (s->journal))
    {
    case KQ_JOURNAL_FENCED:
      return KQ_ERR_FENCED;
    case KQ_JOURNAL_DAMAGED:
      return KQ_ERR_JOURNAL_DAMAGED;
    case KQ_JOURNAL_OPEN:
      apply_recovered (s, now);
      if (kq_journal_state (s->journal) == KQ_JOURNAL_DAMAGED)
        return KQ_ERR_JOURNAL_DAMAGED;
      if (s->state == KQ_SHARD_RECOVERING)
        become_active (s, now);
      if (kq_journal_snapshot_due (s->journal))
        write_snapshot (s, now, out);
      return KQ_OK;
    case KQ_JOURNAL_CLOSED:
    case KQ_JOURNAL_RECOVERING:
    case KQ_JOURNAL_FENCING:
      apply_recovered (s, now);
      return KQ_OK;
    }
  return KQ_OK;
}

KqResult
kq_shard_tick (KqShard *s, bool store_ok, KqTime now, KqOutbox *out)
{
  KqResult r;
  if (s->state == KQ_SHARD_IDLE)
    return KQ_OK;
  r = check_journal (s, now, out);
  if (r != KQ_OK)
    return r;
  if (s->state == KQ_SHARD_ACTIVE)
    {
      KqOutbox items = { 0 };
      KqSeq after = kq_jobs_tick (s->jobs, store_ok, now, &items);
      hold_until_committed (s, after, &items);
      after = kq_claims_tick (s->claims, now, &items);
      hold_until_committed (s, after, &items);
      kq_outbox_free (&items);
    }
  kq_journal_tick (s->journal, now, out);
  send_committed (s, out);
  return KQ_OK;
}

bool
kq_shard_store_reply (KqShard *s, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  return kq_journal_reply (s->journal, r, now, out);
}

void
kq_shard_worker_reply (KqShard *s, const KqWorkerReply *r, KqTime now, KqOutbox *out)
{
  KqOutbox items = { 0 };
  /* A reply to a call of an earlier epoch concerns a lease that is no longer valid. */
  if (s->state != KQ_SHARD_ACTIVE || r->epoch != s->epoch)
    return;
  hold_until_committed (s, kq_jobs_worker_reply (s->jobs, r, now, &items), &items);
  kq_outbox_free (&items);
  kq_journal_tick (s->journal, now, out);
  send_committed (s, out);
}

static KqTime
claim_ttl (const KqShard *s, KqStr service)
{
  const KqRow *row = NULL;
  if (s->table != NULL)
    row = kq_table_find (s->table, KQ_ROW_SERVICE, service);
  return row != NULL ? row->u.service.claim_ttl_s * KQ_SEC : CLAIM_TTL_DEFAULT;
}

static KqSeq
handle_message (KqShard *s, const KqMsg *m, KqTime now, KqOutbox *items)
{
  switch (m->kind)
    {
    case KQ_MSG_JOB_SUBMIT:
      return kq_jobs_submit (s->jobs, &m->u.job_submit, now, items);
    case KQ_MSG_JOB_CALL:
      return kq_jobs_call (s->jobs, &m->u.job_call, now, items);
    case KQ_MSG_JOB_MOVE:
      return kq_jobs_receive_move (s->jobs, &m->u.job_move, now, items);
    case KQ_MSG_JOB_MOVED:
      return kq_jobs_confirm_move (s->jobs, &m->u.job_moved, now);
    case KQ_MSG_CLAIM_BEGIN:
      return kq_claims_begin (s->claims, &m->u.claim_begin,
                              claim_ttl (s, m->u.claim_begin.service), now, items);
    case KQ_MSG_CLAIM_DONE:
      return kq_claims_done (s->claims, &m->u.claim_done, now, items);
    default:
      assert (!"message kind not handled by a shard");
      return 0;
    }
}

void
kq_shard_message (KqShard *s, const KqMsg *m, KqTime now, KqOutbox *out)
{
  KqOutbox items = { 0 };
  assert (s->state == KQ_SHARD_ACTIVE);
  hold_until_committed (s, handle_message (s, m, now, &items), &items);
  kq_outbox_free (&items);
  kq_journal_tick (s->journal, now, out);
  send_committed (s, out);
}

void
kq_shard_set_table (KqShard *s, KqTable *table, KqTime now)
{
  KqTable *old = s->table;
  s->table = kq_table_ref (table);
  if (old != NULL)
    kq_table_unref (old);
  if (s->jobs != NULL)
    kq_jobs_set_table (s->jobs, table, now);
}

void
kq_shard_set_hosts (KqShard *s, const KqHostList *l, KqTime now, KqOutbox *out)
{
  KqOutbox items = { 0 };
  if (s->state != KQ_SHARD_ACTIVE)
    return;
  hold_until_committed (s, kq_jobs_set_hosts (s->jobs, l->hosts, l->n_hosts, now, &items),
                        &items);
  kq_outbox_free (&items);
  send_committed (s, out);
}

void
kq_shard_set_other_digests (KqShard *s, const KqShardDigest *d, size_t n, KqTime now)
{
  if (s->state == KQ_SHARD_ACTIVE)
    kq_jobs_set_other_digests (s->jobs, d, n, now);
}

void
kq_shard_node_gone (KqShard *s, KqNodeId node, uint64_t incarnation, KqTime now,
                    KqOutbox *out)
{
  KqOutbox items = { 0 };
  if (s->state != KQ_SHARD_ACTIVE)
    return;
  hold_until_committed (
      s, kq_claims_node_gone (s->claims, node, incarnation, now, &items), &items);
  kq_outbox_free (&items);
  kq_journal_tick (s->journal, now, out);
  send_committed (s, out);
}

bool
kq_shard_digest (KqShard *s, KqTime now, KqShardDigest *out)
{
  *out = (KqShardDigest){ .shard = s->shard, .epoch = s->epoch };
  if (s->state != KQ_SHARD_ACTIVE)
    return false;
  kq_jobs_digest (s->jobs, now, out);
  return true;
}

void
kq_shard_release (KqShard *s)
{
  if (s->state == KQ_SHARD_ACTIVE || s->state == KQ_SHARD_RECOVERING)
    s->state = KQ_SHARD_RELEASING;
}

bool
kq_shard_released (const KqShard *s, KqTime now)
{
  if (s->state == KQ_SHARD_IDLE)
    return true;
  return s->state == KQ_SHARD_RELEASING && s->hold.first == s->hold.len
         && kq_journal_lag (s->journal, now) == 0;
}

const KqJobs *
kq_shard_jobs (const KqShard *s)
{
  return s->state == KQ_SHARD_ACTIVE ? s->jobs : NULL;
}

const KqClaims *
kq_shard_claims (const KqShard *s)
{
  return s->state == KQ_SHARD_ACTIVE ? s->claims : NULL;
}

KqTime
kq_shard_journal_lag (const KqShard *s, KqTime now)
{
  return kq_journal_lag (s->journal, now);
}
