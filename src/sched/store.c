/* store: packs progress in batches for the store, and acknowledges the ends of runs after
 * each batch.
 *
 * A runner forgets its ends once they are acknowledged. They are acknowledged only when
 * the progress that follows from them is stored; otherwise the next leader would start a
 * done task again. */

#include "sched/grantors.h"

#include "base/result.h"
#include "port/kv.h"
#include "wire/pack.h"

#include <stdlib.h>
#include <string.h>

/* Time from one batch to the next if only ends are to be acknowledged, or the last batch
 * left changes unstored. */
#define ACKNOWLEDGE_INTERVAL (70 * KQ_MS)
/* Number of a job's keys in the store, all removed with it: job, cancellation, progress.
 */
#define KEYS_PER_JOB 3
/* Bytes of a runner's row in the list beside its strings, at most. */
#define ROW_OVERHEAD 24

static bool
has_expired (const KqSched *s, const KqJob *j, KqTime now)
{
  return j->stored_state >= KQ_JOB_COMPLETED && !j->dirty && j->n_runs == 0
         && now - j->ended_at > s->config.keep_ms * KQ_MS;
}

/* Changed jobs before expired ones, and those first that changed first. */
static gint
compare_jobs (gconstpointer a, gconstpointer b)
{
  const KqJob *x = *(KqJob *const *)a;
  const KqJob *y = *(KqJob *const *)b;
  if (x->dirty != y->dirty)
    return x->dirty ? -1 : 1;
  return x->dirty_number < y->dirty_number ? -1 : x->dirty_number > y->dirty_number;
}

/* Notes which ends are covered by the batch or stored already. left: the dirty_number of
 * the first changed job that the batch leaves out; UINT64_MAX: it leaves none out. Under
 * load it always does. Then the present ends are marked, and covered by the first batch
 * that leaves out only jobs that changed later. */
static void
note_covered_ends (KqSched *s, uint64_t left)
{
  bool all = left == UINT64_MAX;
  bool marked = s->ends_mark != 0 && s->ends_mark < left;
  bool mark = s->ends_mark == 0 || marked;
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (all)
        r->ends_batch = r->ends_seen;
      else if (marked && r->ends_marked > r->ends_batch)
        r->ends_batch = r->ends_marked;
      if (mark)
        r->ends_marked = r->ends_seen;
    }
  if (all)
    s->ends_mark = 0;
  else if (mark)
    s->ends_mark = s->dirty_count;
  if (all)
    s->ends_dirty = false;
}

size_t
kq_sched_store_begin (KqSched *s, KqProgress *rows, size_t max, KqTime now)
{
  GPtrArray *jobs = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  size_t n = 0;
  size_t units = 0;
  uint64_t left = UINT64_MAX;
  s->store_due = KQ_TIME_NEVER;
  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((KqJob *)value)->dirty || has_expired (s, value, now))
      g_ptr_array_add (jobs, value);
  g_ptr_array_sort (jobs, compare_jobs);
  for (guint i = 0; i < jobs->len; i++)
    {
      KqJob *j = g_ptr_array_index (jobs, i);
      units += j->dirty ? 1 : KEYS_PER_JOB;
      if (units > max)
        {
          left = j->dirty ? j->dirty_number : UINT64_MAX;
          s->store_due = now + ACKNOWLEDGE_INTERVAL;
          break;
        }
      kq_buf_clear (&j->batch);
      if (j->dirty)
        kq_progress_pack (j, &j->batch);
      rows[n].id = j->spec.id;
      rows[n].value = kq_buf_str (&j->batch);
      rows[n++].remove = !j->dirty;
      j->dirty = false;
      g_ptr_array_add (s->batch, j);
    }
  g_ptr_array_free (jobs, TRUE);
  note_covered_ends (s, left);
  s->batch_open = true;
  s->stored_at = now;
  if (n == 0)
    kq_sched_stored (s, true, now);
  return n;
}

/* Acknowledges all ends whose effects are stored now. */
static void
acknowledge_stored_ends (KqSched *s)
{
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (r->ends_batch <= r->ends_stored)
        continue;
      r->ends_stored = r->ends_batch;
      kq_runners_acknowledge (s, r);
    }
}

void
kq_sched_stored (KqSched *s, bool whole, KqTime now)
{
  bool again = false;
  for (guint i = 0; i < s->batch->len; i++)
    {
      KqJob *j = g_ptr_array_index (s->batch, i);
      if (!whole)
        j->dirty = true;
      else if (j->batch.len == 0)
        {
          kq_book_forget (s, j);
          continue;
        }
      else if (!j->dirty)
        j->stored_state = j->state;
      kq_buf_free (&j->batch);
      kq_buf_init (&j->batch);
      again = again || j->dirty;
    }
  g_ptr_array_set_size (s->batch, 0);
  s->batch_open = false;
  if (whole)
    acknowledge_stored_ends (s);
  else
    for (guint i = 0; i < s->runner_list->len; i++)
      {
        KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
        r->ends_batch = r->ends_stored;
        s->ends_dirty = true;
      }
  if (again && s->store_due > now + ACKNOWLEDGE_INTERVAL)
    s->store_due = now + ACKNOWLEDGE_INTERVAL;
}

KqTime
kq_sched_store_due (const KqSched *s)
{
  KqTime due = s->store_due;
  if (s->batch_open || !s->loaded)
    return KQ_TIME_NEVER;
  if (s->ends_dirty && s->stored_at + ACKNOWLEDGE_INTERVAL < due)
    due = s->stored_at + ACKNOWLEDGE_INTERVAL;
  return due;
}

bool
kq_sched_used_runners_pending (const KqSched *s)
{
  return s->used_runners_dirty && s->loaded;
}

/* The most bytes that the runner takes in the list. */
static size_t
row_bytes (const KqRunnerState *r)
{
  return ROW_OVERHEAD + strlen (r->id) + strlen (r->service) + strlen (r->address)
         + strlen (r->domain) + strlen (r->host);
}

/* Chooses the runners of the list, and returns their number. Those that are in the stored
 * list come first: runs may be there. The others, if they don't fit in one value of the
 * store, aren't used. */
static size_t
choose_listed (KqSched *s)
{
  size_t bytes = 0;
  size_t n = 0;
  size_t n_left_out = 0;
  for (int stored = 1; stored >= 0; stored--)
    for (guint i = 0; i < s->runner_list->len; i++)
      {
        KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
        bool may_run = kq_runners_may_run (r);
        bool fits = stored || bytes + row_bytes (r) <= KQ_KV_VALUE_MAX;
        if (r->in_stored_list != stored)
          continue;
        r->in_sent_list = may_run && fits;
        bytes += r->in_sent_list ? row_bytes (r) : 0;
        n += r->in_sent_list;
        n_left_out += may_run && !fits;
      }
  if (n_left_out > 0)
    kq_log (KQ_LOG_ERROR, PART,
            "The list of runners is full; the others aren't used. error=%d runners=%zu "
            "left_out=%zu bytes=%zu",
            KQ_ERR_STORE_TOO_LARGE, n, n_left_out, bytes);
  s->runners_left_out = n_left_out;
  return n;
}

bool
kq_sched_used_runners_pack (KqSched *s, KqBuf *out)
{
  KqPacker p;
  if (!kq_sched_used_runners_pending (s))
    return false;
  kq_packer_init (&p, out);
  kq_pack_array (&p, choose_listed (s));
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (!r->in_sent_list)
        continue;
      kq_pack_array (&p, 5);
      kq_pack_str (&p, kq_str (r->id));
      kq_pack_str (&p, kq_str (r->service));
      kq_pack_str (&p, kq_str (r->address));
      kq_pack_str (&p, kq_str (r->domain));
      kq_pack_str (&p, kq_str (r->host));
    }
  s->used_runners_dirty = false;
  return true;
}

void
kq_sched_used_runners_stored (KqSched *s)
{
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (r->in_sent_list && !r->in_stored_list)
        kq_runners_note_change (s, r);
      r->in_stored_list = r->in_sent_list;
    }
  kq_grantors_stored (s);
}
