#include "fleet/batch.h"

#include "base/log.h"
#include "election/election.h"
#include "fleet/keys.h"

#include <stdlib.h>

#define PART "batch"
#define CALL_TIMEOUT_MS 1200
/* Delay after a refusal or no answer; meanwhile progress is kept in memory. */
#define RETRY_DELAY (200 * KQ_MS)
/* Progress rows of one transaction. The other 6 operations are the two checks, the
 * sequence key, the lists of runners and of agents and one value of learned data. */
#define ROWS_MAX (KQ_KV_TXN_MAX - 6)
/* How often a transaction includes the learned data (which tasks disturb which), and how
 * often the learned run times: a few kilobytes each that change slowly. */
#define LEARNED_PERIOD (4 * KQ_SEC)

typedef enum
{
  IDLE,
  READING, /* reading the sequence key, whose revision isn't known */
  WRITING
} Phase;

struct KqBatch
{
  KqBatchConfig config;
  Phase phase;
  bool freed;
  bool sequence_known;
  uint64_t sequence;       /* revision of the sequence key; 0: it doesn't exist */
  bool last_write_unknown; /* the last write got no answer */
  /* `rows`, `runners` and `estimates` hold what is to be stored, and don't change until
   * it is: an earlier write of them may be carried out late, and then counts for all of
   * them. */
  bool batch_open;
  KqProgress rows[ROWS_MAX];
  size_t n_rows;
  KqBuf runners;       /* the list of runners in the open batch; empty: none */
  KqBuf agents;        /* the list of agents in it, with that of runners */
  KqBuf estimates;     /* the learned run times in it; empty: none */
  KqTime estimates_at; /* when they were packed last */
  KqBuf learned;       /* the learned data as last written */
  KqTime learned_at;   /* when `learned` was written */
  KqTime retry_at;
  uint64_t *writes;
  uint64_t *conflicts;
};

static void
destroy (KqBatch *b)
{
  kq_buf_free (&b->runners);
  kq_buf_free (&b->agents);
  kq_buf_free (&b->learned);
  kq_buf_free (&b->estimates);
  free (b);
}

KqBatch *
kq_batch_new (const KqBatchConfig *c)
{
  KqBatch *b = kq_alloc (sizeof *b);
  b->config = *c;
  b->writes = kq_counter (c->counters, "kq_progress_writes_total", "",
                          "Transactions with progress sent to the store.");
  b->conflicts = kq_counter (c->counters, "kq_progress_conflicts_total", "",
                             "Transactions with progress that the store refused.");
  return b;
}

void
kq_batch_free (KqBatch *b)
{
  if (b == NULL)
    return;
  b->freed = true;
  if (b->phase == IDLE)
    destroy (b);
}

KqTime
kq_batch_due (const KqBatch *b)
{
  KqTime due;
  if (b->phase != IDLE)
    return KQ_TIME_NEVER;
  if (b->batch_open || !b->sequence_known)
    return b->retry_at;
  due = kq_sched_used_runners_pending (b->config.sched)
            ? 0
            : kq_sched_store_due (b->config.sched);
  return due > b->retry_at ? due : b->retry_at;
}

static void
finish_write (KqBatch *b, KqTime now)
{
  b->last_write_unknown = false;
  b->batch_open = false;
  b->n_rows = 0;
  if (b->runners.len > 0)
    {
      kq_buf_clear (&b->runners);
      kq_sched_used_runners_stored (b->config.sched);
    }
  if (b->estimates.len > 0)
    {
      kq_buf_clear (&b->estimates);
      kq_sched_estimates_stored (b->config.sched);
    }
  kq_sched_stored (b->config.sched, true, now);
}

/* Records the sequence key's present revision. After a write without an answer, a changed
 * revision means that the write was carried out: only the leader of this epoch writes it.
 */
static void
set_sequence (KqBatch *b, uint64_t revision, KqTime now)
{
  bool changed = b->sequence_known && revision != b->sequence;
  b->sequence = revision;
  b->sequence_known = true;
  if (b->last_write_unknown && changed)
    finish_write (b, now);
  b->last_write_unknown = false;
}

static void
on_read (void *arg, const KqKvReply *r, KqTime now)
{
  KqBatch *b = arg;
  b->phase = IDLE;
  if (b->freed)
    {
      destroy (b);
      return;
    }
  if (r->result != KQ_KV_OK && r->result != KQ_KV_NOT_FOUND)
    {
      b->retry_at = now + RETRY_DELAY;
      return;
    }
  b->config.answered (b->config.arg, r->called_at, now);
  set_sequence (b, r->n_items == 1 ? r->items[0].revision : 0, now);
  kq_batch_write (b, now);
}

/* A check failed: the reply holds the checked keys' present state. */
static void
handle_conflict (KqBatch *b, const KqKvReply *r, KqTime now)
{
  uint64_t leader_revision = 0;
  uint64_t sequence = 0;
  ++*b->conflicts;
  for (size_t i = 0; i < r->n_items; i++)
    if (kq_str_eq (r->items[i].key, kq_leader_key))
      leader_revision = r->items[i].revision;
    else if (kq_str_eq (r->items[i].key, KQ_STR (KQ_KEY_SEQUENCE)))
      sequence = r->items[i].revision;
  if (leader_revision != b->config.epoch)
    {
      b->config.deposed (b->config.arg, "the store has another leader", now);
      return;
    }
  kq_log (KQ_LOG_WARN, PART,
          "An earlier write was carried out late. sequence=%llu was=%llu",
          (unsigned long long)sequence, (unsigned long long)b->sequence);
  b->last_write_unknown = true;
  set_sequence (b, sequence, now);
}

static void
on_written (void *arg, const KqKvReply *r, KqTime now)
{
  KqBatch *b = arg;
  b->phase = IDLE;
  if (b->freed)
    {
      destroy (b);
      return;
    }
  if (r->result != KQ_KV_UNKNOWN && r->result != KQ_KV_REFUSED)
    b->config.answered (b->config.arg, r->called_at, now);
  switch (r->result)
    {
    case KQ_KV_OK:
      b->sequence = r->revision;
      finish_write (b, now);
      break;
    case KQ_KV_CONFLICT:
      handle_conflict (b, r, now);
      break;
    case KQ_KV_UNKNOWN:
      kq_log (KQ_LOG_WARN, PART, "No answer to a write of progress. rows=%zu", b->n_rows);
      b->last_write_unknown = true;
      b->retry_at = now + RETRY_DELAY;
      break;
    default:
      kq_log (KQ_LOG_WARN, PART, "Progress was not written. rows=%zu result=%d",
              b->n_rows, r->result);
      b->retry_at = now + RETRY_DELAY;
      break;
    }
}

static void
write_rows (KqBatch *b, KqTime now)
{
  KqKvCheck checks[2]
      = { { kq_leader_key, b->config.epoch }, { KQ_STR (KQ_KEY_SEQUENCE), b->sequence } };
  KqKvPut puts[ROWS_MAX + 4];
  KqStr keys[ROWS_MAX];
  KqStr removes[ROWS_MAX];
  KqKvTxn t = { checks, 2, puts, 0, removes, 0 };
  size_t n_keys = 0;
  puts[t.n_puts++] = (KqKvPut){ KQ_STR (KQ_KEY_SEQUENCE), KQ_STR ("1"), 0 };
  if (b->runners.len > 0)
    {
      puts[t.n_puts++]
          = (KqKvPut){ KQ_STR (KQ_KEY_RUNNERS), kq_buf_str (&b->runners), 0 };
      puts[t.n_puts++] = (KqKvPut){ KQ_STR (KQ_KEY_AGENTS), kq_buf_str (&b->agents), 0 };
    }
  if (b->estimates.len > 0)
    puts[t.n_puts++]
        = (KqKvPut){ KQ_STR (KQ_KEY_ESTIMATES), kq_buf_str (&b->estimates), 0 };
  else if (now - b->learned_at >= LEARNED_PERIOD)
    {
      b->learned_at = now;
      kq_buf_clear (&b->learned);
      kq_sched_learned_pack (b->config.sched, &b->learned);
      puts[t.n_puts++]
          = (KqKvPut){ KQ_STR (KQ_KEY_LEARNED), kq_buf_str (&b->learned), 0 };
    }
  for (size_t i = 0; i < b->n_rows; i++)
    {
      const KqProgress *p = &b->rows[i];
      if (!p->remove)
        {
          keys[n_keys] = kq_key_of (KQ_KEY_PROGRESS, p->id);
          puts[t.n_puts++] = (KqKvPut){ keys[n_keys++], p->value, 0 };
          continue;
        }
      removes[t.n_removes++] = keys[n_keys++] = kq_key_of (KQ_KEY_JOB, p->id);
      removes[t.n_removes++] = keys[n_keys++] = kq_key_of (KQ_KEY_CANCEL, p->id);
      removes[t.n_removes++] = keys[n_keys++] = kq_key_of (KQ_KEY_PROGRESS, p->id);
    }
  ++*b->writes;
  b->phase = WRITING;
  kq_kv_txn (b->config.kv, &t, CALL_TIMEOUT_MS, (KqKvCallback){ on_written, b });
  for (size_t i = 0; i < n_keys; i++)
    free ((char *)keys[i].ptr);
}

void
kq_batch_write (KqBatch *b, KqTime now)
{
  if (b->phase != IDLE || now < b->retry_at)
    return;
  if (!b->sequence_known || b->last_write_unknown)
    {
      b->phase = READING;
      kq_kv_get (b->config.kv, KQ_STR (KQ_KEY_SEQUENCE), CALL_TIMEOUT_MS,
                 (KqKvCallback){ on_read, b });
      return;
    }
  if (!b->batch_open)
    {
      if (kq_sched_used_runners_pack (b->config.sched, &b->runners))
        {
          kq_buf_clear (&b->agents);
          kq_sched_used_agents_pack (b->config.sched, &b->agents);
        }
      b->n_rows = kq_sched_store_begin (b->config.sched, b->rows, ROWS_MAX, now);
      b->batch_open = b->n_rows > 0 || b->runners.len > 0;
      if (b->batch_open && now - b->estimates_at >= LEARNED_PERIOD
          && kq_sched_estimates_pending (b->config.sched))
        {
          b->estimates_at = now;
          kq_sched_estimates_pack (b->config.sched, &b->estimates);
        }
    }
  if (b->batch_open)
    write_rows (b, now);
}
