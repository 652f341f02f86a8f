/* progress: the stored format of a job's progress. It holds what runners no longer list
 * after their ends have been acknowledged: tasks that are done, failures, checkpoints of
 * waiting tasks, and which lasting tasks have run. It doesn't hold where tasks run: a new
 * leader learns that from the runners' lists. */

#include "sched/gangs.h"

#include "wire/pack.h"

#include <stdlib.h>
#include <string.h>

/* Version of the stored format, its first field. */
#define FORMAT_VERSION 1

/* Whether the task has failures or a checkpoint to be stored. */
static bool
needs_row (const KqTaskState *t)
{
  return t->phase != KQ_TASK_DONE && (t->failures > 0 || t->checkpoint.len > 0);
}

static bool
is_done (const KqTaskState *t)
{
  return t->phase == KQ_TASK_DONE;
}

static bool
has_run (const KqTaskState *t)
{
  return t->has_run;
}

/* Appends a bit for each task, set if `holds` does; an empty string if none is set. */
static void
pack_bits (KqPacker *p, const KqStepState *st, int32_t width,
           bool (*holds) (const KqTaskState *t))
{
  size_t n = ((size_t)width + 7) / 8;
  char *bits = kq_alloc (n);
  bool any = false;
  for (int32_t i = 0; i < width; i++)
    if (holds (&st->tasks[i]))
      {
        bits[i / 8] |= (char)(1 << (i % 8));
        any = true;
      }
  kq_pack_str (p, any ? kq_str_n (bits, n) : KQ_STR (""));
  free (bits);
}

static bool
read_bit (KqStr bits, int32_t i)
{
  return (size_t)(i / 8) < bits.len && (bits.ptr[i / 8] >> (i % 8) & 1) != 0;
}

static void
pack_step (KqPacker *p, const KqStepState *st, int32_t width)
{
  size_t rows = 0;
  for (int32_t i = 0; i < width; i++)
    rows += needs_row (&st->tasks[i]);
  kq_pack_array (p, 3);
  pack_bits (p, st, width, is_done);
  kq_pack_array (p, rows);
  for (int32_t i = 0; i < width; i++)
    if (needs_row (&st->tasks[i]))
      {
        const KqTaskState *t = &st->tasks[i];
        kq_pack_array (p, 3);
        kq_pack_i64 (p, i);
        kq_pack_array (p, t->failures);
        for (int k = 0; k < t->failures; k++)
          kq_pack_u64 (p, t->failed_runs[k]);
        kq_pack_str (p, t->checkpoint);
      }
  pack_bits (p, st, width, has_run);
}

void
kq_progress_pack (const KqJob *j, KqBuf *out)
{
  KqPacker p;
  size_t n = 0;
  for (KqOccurrence *o = j->occurrences; o != NULL; o = o->next)
    n++;
  kq_packer_init (&p, out);
  kq_pack_array (&p, 5);
  kq_pack_i64 (&p, FORMAT_VERSION);
  kq_pack_i64 (&p, j->state >= KQ_JOB_COMPLETED ? (int64_t)j->state : KQ_JOB_RUNNING);
  kq_pack_i64 (&p, j->created);
  kq_pack_i64 (&p, j->finished);
  kq_pack_array (&p, n);
  for (KqOccurrence *o = j->occurrences; o != NULL; o = o->next)
    {
      kq_pack_array (&p, 2);
      kq_pack_i64 (&p, o->number);
      kq_pack_array (&p, (size_t)j->spec.n_steps);
      for (int32_t i = 0; i < j->spec.n_steps; i++)
        pack_step (&p, &o->steps[i], j->spec.steps[i].width);
    }
}

static void
read_task_row (KqReader *r, KqStepState *st, int32_t width)
{
  int64_t i = kq_read_i64 (r);
  KqReader runs;
  KqStr checkpoint;
  kq_read_array (r, &runs);
  while (!runs.bad && runs.left > 0 && i >= 0 && i < width)
    kq_book_add_failure (&st->tasks[i], (uint32_t)kq_read_u64 (&runs));
  kq_read_array_end (r, &runs);
  checkpoint = kq_read_str (r);
  if (r->bad || i < 0 || i >= width)
    return;
  if (checkpoint.len > 0)
    st->tasks[i].checkpoint = kq_str_own (checkpoint);
}

static void
read_step (KqReader *r, KqStepState *st, int32_t width)
{
  KqStr bits = kq_read_str (r);
  KqReader rows;
  for (int32_t i = 0; i < width; i++)
    if (read_bit (bits, i))
      {
        st->tasks[i].phase = KQ_TASK_DONE;
        st->done++;
      }
  kq_read_array (r, &rows);
  while (!rows.bad && rows.left > 0)
    {
      KqReader row;
      kq_read_array (&rows, &row);
      read_task_row (&row, st, width);
      kq_read_array_end (&rows, &row);
    }
  kq_read_array_end (r, &rows);
  if (r->left == 0)
    return; /* written by an older version, without the has_run bits */
  bits = kq_read_str (r);
  for (int32_t i = 0; i < width; i++)
    st->tasks[i].has_run = read_bit (bits, i);
}

static void
read_occurrence (KqReader *r, KqJob *j, KqTime now, int64_t wall_ms)
{
  int64_t number = kq_read_i64 (r);
  KqReader steps;
  KqOccurrence *o;
  KqTime due = j->accepted_at;
  kq_read_array (r, &steps);
  if (r->bad || steps.left != (uint32_t)j->spec.n_steps)
    {
      r->bad = true;
      return;
    }
  if (j->spec.n_occurrences > 0)
    due = now - (wall_ms - j->spec.first_ms - number * j->spec.interval_ms) * KQ_MS;
  o = kq_book_add_occurrence (j, (int32_t)number, due);
  for (int32_t i = 0; i < j->spec.n_steps; i++)
    {
      KqReader step;
      kq_read_array (&steps, &step);
      read_step (&step, &o->steps[i], j->spec.steps[i].width);
      kq_read_array_end (&steps, &step);
      if (j->spec.steps[i].gang)
        kq_gangs_restore (&o->steps[i], j->spec.steps[i].width);
      if (o->steps[i].done == j->spec.steps[i].width)
        o->steps_done++;
    }
  kq_read_array_end (r, &steps);
  kq_book_open_steps (o);
}

/* Whether the restored progress shows that some task was started. */
static bool
has_started (const KqJob *j)
{
  for (KqOccurrence *o = j->occurrences; o != NULL; o = o->next)
    for (int32_t i = 0; i < j->spec.n_steps; i++)
      {
        if (o->steps[i].done > 0)
          return true;
        for (int32_t k = 0; k < j->spec.steps[i].width; k++)
          if (needs_row (&o->steps[i].tasks[k]))
            return true;
      }
  return j->finished > 0;
}

bool
kq_progress_apply (KqSched *s, KqJob *j, KqStr stored, KqTime now)
{
  KqUnpacked u;
  KqReader r;
  KqReader list;
  int64_t state;
  if (!kq_unpacked_open (&u, stored, &r))
    return false;
  r.bad = kq_read_i64 (&r) != FORMAT_VERSION || r.bad;
  state = kq_read_i64 (&r);
  if (!r.bad && state >= KQ_JOB_COMPLETED && state <= KQ_JOB_CANCELLED)
    {
      kq_book_end_job (s, j, (KqJobState)state, now);
      j->stored_state = j->state;
      j->dirty = false;
    }
  j->created = (int32_t)kq_read_i64 (&r);
  j->finished = (int32_t)kq_read_i64 (&r);
  kq_read_array (&r, &list);
  while (!list.bad && list.left > 0)
    {
      KqReader one;
      kq_read_array (&list, &one);
      read_occurrence (&one, j, now, s->wall_minus_now_ms + now / KQ_MS);
      kq_read_array_end (&list, &one);
    }
  kq_read_array_end (&r, &list);
  j->begun = j->begun || has_started (j);
  kq_unpacked_close (&u);
  return !r.bad;
}

KqJobState
kq_sched_stored_state (KqStr stored)
{
  KqUnpacked u;
  KqReader r;
  int64_t state;
  bool good;
  if (!kq_unpacked_open (&u, stored, &r))
    return KQ_JOB_UNKNOWN;
  good = kq_read_i64 (&r) == FORMAT_VERSION;
  state = kq_read_i64 (&r);
  good = good && !r.bad && state >= KQ_JOB_WAITING && state < KQ_JOB_UNKNOWN;
  kq_unpacked_close (&u);
  return good ? (KqJobState)state : KQ_JOB_UNKNOWN;
}
