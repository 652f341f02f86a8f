#include "fleet/batch.h"

#include "base/log.h"
#include "fleet/keys.h"
#include "lead/lead.h"

#include <stdlib.h>

#define PART "batch"
#define TIMEOUT_MS 1200
/* After a refusal or no answer: the store is in trouble, what waits is kept in memory. */
#define RETRY (200 * KQ_MS)
/* Rows of a transaction behind two checks, the sequence, the list of runners and what has
 * been learned. */
#define ROWS (KQ_KV_TXN_MAX - 5)
/* What has been learned goes along with progress this often: a few kilobytes that change
 * slowly. */
#define LEARNED_EVERY (4 * KQ_SEC)

typedef enum
{
  IDLE,
  READING, /* the sequence key's revision isn't known */
  WRITING
} Phase;

struct KqBatch
{
  KqBatchConfig config;
  Phase phase;
  bool dead;
  bool known_sequence;
  uint64_t sequence; /* revision of the sequence key; 0: not there */
  bool unsure;       /* the last write had no answer */
  bool open;         /* the scheduler's batch is with us */
  bool runners_sent;
  KqProgress rows[ROWS];
  size_t n;
  KqBuf runners;
  KqBuf learned; /* on its way; empty: none */
  KqTime learned_at;
  KqTime retry_at;
  uint64_t *writes;
  uint64_t *conflicts;
};

static void
destroy (KqBatch *b)
{
  kq_buf_free (&b->runners);
  kq_buf_free (&b->learned);
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
  b->dead = true;
  if (b->phase == IDLE)
    destroy (b);
}

KqTime
kq_batch_due (const KqBatch *b)
{
  KqTime due;
  if (b->phase != IDLE)
    return KQ_TIME_NEVER;
  if (b->open || !b->known_sequence || b->runners.len > 0)
    return b->retry_at;
  due = kq_sched_known_pending (b->config.sched) ? 0
                                                 : kq_sched_store_due (b->config.sched);
  return due > b->retry_at ? due : b->retry_at;
}

static void
finish (KqBatch *b, KqTime now)
{
  bool runners = b->runners_sent;
  b->unsure = false;
  b->open = false;
  b->n = 0;
  if (runners)
    {
      kq_buf_clear (&b->runners);
      b->runners_sent = false;
      kq_sched_known_stored (b->config.sched);
    }
  kq_sched_stored (b->config.sched, true, now);
}

/* The sequence key as the store has it now. After a write without an answer a change of
 * it means that the write was carried out: nobody else writes it in our epoch. */
static void
learn_sequence (KqBatch *b, uint64_t revision, KqTime now)
{
  bool changed = b->known_sequence && revision != b->sequence;
  b->sequence = revision;
  b->known_sequence = true;
  if (b->unsure && changed)
    finish (b, now);
  b->unsure = false;
}

static void
on_read (void *arg, const KqKvReply *r, KqTime now)
{
  KqBatch *b = arg;
  b->phase = IDLE;
  if (b->dead)
    {
      destroy (b);
      return;
    }
  if (r->result != KQ_KV_OK && r->result != KQ_KV_NOT_FOUND)
    {
      b->retry_at = now + RETRY;
      return;
    }
  b->config.answered (b->config.arg, r->sent_at, now);
  learn_sequence (b, r->n_items == 1 ? r->items[0].revision : 0, now);
  kq_batch_go (b, now);
}

/* A check failed: the reply has the checked keys as they are. */
static void
take_conflict (KqBatch *b, const KqKvReply *r, KqTime now)
{
  uint64_t lead = 0;
  uint64_t sequence = 0;
  ++*b->conflicts;
  for (size_t i = 0; i < r->n_items; i++)
    if (kq_str_eq (r->items[i].key, kq_lead_key))
      lead = r->items[i].revision;
    else if (kq_str_eq (r->items[i].key, KQ_STR (KQ_KEY_SEQUENCE)))
      sequence = r->items[i].revision;
  if (lead != b->config.epoch)
    {
      b->config.deposed (b->config.arg, "the store has another leader", now);
      return;
    }
  kq_log (KQ_LOG_WARN, PART,
          "An earlier write was carried out late. sequence=%llu was=%llu",
          (unsigned long long)sequence, (unsigned long long)b->sequence);
  b->unsure = true;
  learn_sequence (b, sequence, now);
}

static void
on_written (void *arg, const KqKvReply *r, KqTime now)
{
  KqBatch *b = arg;
  b->phase = IDLE;
  if (b->dead)
    {
      destroy (b);
      return;
    }
  if (r->result != KQ_KV_UNKNOWN && r->result != KQ_KV_REFUSED)
    b->config.answered (b->config.arg, r->sent_at, now);
  switch (r->result)
    {
    case KQ_KV_OK:
      b->sequence = r->revision;
      finish (b, now);
      break;
    case KQ_KV_CONFLICT:
      take_conflict (b, r, now);
      break;
    case KQ_KV_UNKNOWN:
      kq_log (KQ_LOG_WARN, PART, "No answer to a write of progress. rows=%zu", b->n);
      b->unsure = true;
      b->retry_at = now + RETRY;
      break;
    default:
      kq_log (KQ_LOG_WARN, PART, "Progress not written. rows=%zu result=%d", b->n,
              r->result);
      b->retry_at = now + RETRY;
      break;
    }
}

static void
write_rows (KqBatch *b, KqTime now)
{
  KqKvCheck checks[2]
      = { { kq_lead_key, b->config.epoch }, { KQ_STR (KQ_KEY_SEQUENCE), b->sequence } };
  KqKvPut puts[ROWS + 3];
  KqStr keys[ROWS];
  KqStr removes[ROWS];
  KqKvTxn t = { checks, 2, puts, 0, removes, 0 };
  size_t n_keys = 0;
  puts[t.n_puts++] = (KqKvPut){ KQ_STR (KQ_KEY_SEQUENCE), KQ_STR ("1"), 0 };
  if (b->runners.len > 0)
    {
      puts[t.n_puts++]
          = (KqKvPut){ KQ_STR (KQ_KEY_RUNNERS), kq_buf_str (&b->runners), 0 };
      b->runners_sent = true;
    }
  if (now - b->learned_at >= LEARNED_EVERY)
    {
      b->learned_at = now;
      kq_buf_clear (&b->learned);
      kq_sched_learned_pack (b->config.sched, &b->learned);
      puts[t.n_puts++]
          = (KqKvPut){ KQ_STR (KQ_KEY_LEARNED), kq_buf_str (&b->learned), 0 };
    }
  for (size_t i = 0; i < b->n; i++)
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
  kq_kv_txn (b->config.kv, &t, TIMEOUT_MS, (KqKvCallback){ on_written, b });
  for (size_t i = 0; i < n_keys; i++)
    free ((char *)keys[i].ptr);
}

void
kq_batch_go (KqBatch *b, KqTime now)
{
  if (b->phase != IDLE || now < b->retry_at)
    return;
  if (!b->known_sequence || b->unsure)
    {
      b->phase = READING;
      kq_kv_get (b->config.kv, KQ_STR (KQ_KEY_SEQUENCE), TIMEOUT_MS,
                 (KqKvCallback){ on_read, b });
      return;
    }
  if (!b->open)
    {
      if (b->runners.len == 0)
        kq_sched_known_pack (b->config.sched, &b->runners);
      b->n = kq_sched_store_begin (b->config.sched, b->rows, ROWS, now);
      b->open = b->n > 0;
    }
  if (b->n > 0 || b->runners.len > 0)
    write_rows (b, now);
}
