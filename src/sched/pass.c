/* pass: one placing pass over all tasks whose turn has come.
 *
 * Load pattern: in a burst more work waits than the runners hold. First come jobs that
 * can still meet their objective, the earliest objective first, then tasks that last,
 * then late jobs. Tasks that last never give their room back: put first, they took what
 * short jobs live on, and 65% instead of 77% of these met their objective (simulation of
 * 48 runners whose room is nearly all reserved). A job that has become late steps behind
 * those that aren't: with the objective alone as order every job of a long burst would
 * end just too late. */

#include "sched/state.h"

#include <stdlib.h>
#include <string.h>

/* Ranks, lowest first. */
enum
{
  RANK_LOST, /* a lasting task that was running has waited for too long */
  RANK_IN_TIME,
  RANK_LASTING,
  RANK_LATE,    /* of some use up to LATE_TIMES the objective */
  RANK_HOPELESS /* still owed, behind all others */
};
#define LATE_TIMES 3
/* When hosts go down in numbers, short jobs in time took the room of the lasting tasks
 * that had to move, for 14 s on end; their users are without them all that while. */
#define LOST_FOR (2 * KQ_SEC)
/* What waits is looked at again after so long, even if nothing happens: ranks, and what a
 * task puts up with, change with the time that it has waited. */
#define AGAIN (500 * KQ_MS)
/* Run numbers of a term start here; a task isn't started so often in one term. */
#define RUNS_PER_TERM 1000

typedef struct
{
  KqOccurrence *occurrence;
  int32_t step;
  int rank;
  KqTime due; /* the objective's time */
  bool lost;  /* only of its lasting tasks those that have run */
} Turn;

/* How room is found for a task. */
typedef enum
{
  FOR_FILLING,
  FOR_RESERVED,
  FOR_LASTING, /* as RESERVED, but not in what is kept from them */
  FOR_ANY      /* wherever it fits, whatever is kept: found by none of the others */
} RoomKind;

/* What found no room in this pass: a larger one needn't look. */
typedef struct
{
  const KqPool *pool;
  RoomKind kind;
  int32_t cpu_milli;
  int32_t mem_mb;
} Misfit;
#define MISFITS_MAX 16

typedef struct
{
  Misfit list[MISFITS_MAX];
  int n;
} Misfits;

static RoomKind
room_kind (const Turn *t, KqTime now)
{
  const KqStep *p = &t->occurrence->job->spec.steps[t->step];
  bool idles = kq_place_idles (t->occurrence, t->step, now);
  if (p->filling)
    return idles ? FOR_ANY : FOR_FILLING;
  if (!p->lasting)
    return FOR_RESERVED;
  return idles || t->occurrence->steps[t->step].lost_at != 0 ? FOR_ANY : FOR_LASTING;
}

static bool
known_misfit (const Misfits *m, const Turn *t, KqTime now)
{
  const KqJob *j = t->occurrence->job;
  const KqStep *p = &j->spec.steps[t->step];
  RoomKind kind = room_kind (t, now);
  for (int i = 0; i < m->n; i++)
    if (m->list[i].kind == kind && m->list[i].pool == j->pool
        && p->cpu_milli >= m->list[i].cpu_milli && p->mem_mb >= m->list[i].mem_mb)
      return true;
  return false;
}

static void
note_misfit (Misfits *m, const Turn *t, KqTime now)
{
  const KqSpec *spec = &t->occurrence->job->spec;
  const KqStep *p = &spec->steps[t->step];
  RoomKind kind = room_kind (t, now);
  /* With limits of its own it says nothing about others; what waits for a ticket says
   * nothing about room. */
  if (m->n == MISFITS_MAX || p->label.len > 0 || p->per_runner_max > 0 || p->gpus > 0
      || p->gang || spec->advised || kind == FOR_ANY)
    return;
  m->list[m->n++] = (Misfit){ t->occurrence->job->pool, kind, p->cpu_milli, p->mem_mb };
}

static Turn
turn_of (KqOccurrence *o, int32_t step, KqTime now)
{
  const KqSpec *spec = &o->job->spec;
  KqTime objective = kq_spec_objective_ms (spec) * KQ_MS;
  KqTime end = now + o->chain_left_ms * KQ_MS;
  Turn t = { o, step, RANK_IN_TIME, o->due_at + objective, false };
  if (spec->steps[step].lasting)
    t.rank = RANK_LASTING;
  else if (end > o->due_at + LATE_TIMES * objective)
    t.rank = RANK_HOPELESS;
  else if (end > t.due)
    t.rank = RANK_LATE;
  return t;
}

static void
end_wait (KqJob *j, KqStepState *st, KqTime now)
{
  if (st->waits_since != 0)
    j->spent.waited += now - st->waits_since;
  st->lost_at = st->waits_since = 0;
}

/* A job that we hear of while another may lead can be stored after its epoch: it takes
 * the job for one that nobody else knows, and starts it. */
static bool
must_wait (KqSched *s, const KqJob *j)
{
  bool in_doubt = j->learned_at >= s->lead_until;
  s->held_back = s->held_back || in_doubt;
  return in_doubt || (!s->settled && j->revision < s->config.epoch);
}

static void
collect (KqSched *s, GArray *turns, KqTime now)
{
  for (KqJob *j = s->open; j != NULL; j = j->next)
    {
      if (j->state >= KQ_JOB_COMPLETED || must_wait (s, j))
        continue;
      for (KqOccurrence *o = j->occurrences; o != NULL; o = o->next)
        for (int32_t i = 0; i < j->spec.n_steps; i++)
          {
            KqStepState *st = &o->steps[i];
            Turn t;
            if (st->done + st->active >= j->spec.steps[i].width)
              end_wait (j, st, now);
            if (!st->open || st->done + st->active >= j->spec.steps[i].width)
              continue;
            if (st->waits_since == 0)
              st->waits_since = now;
            kq_pools_waiting (j->pool, &j->spec.steps[i],
                              j->spec.steps[i].width - st->done - st->active);
            t = turn_of (o, i, now);
            g_array_append_val (turns, t);
            if (st->lost_at != 0 && !kq_book_lost_waits (st, &j->spec.steps[i]))
              st->lost_at = 0;
            if (st->lost_at != 0 && now - st->lost_at >= LOST_FOR)
              {
                t.rank = RANK_LOST;
                t.lost = true;
                g_array_append_val (turns, t);
              }
          }
    }
}

static int
by_turn (const void *a, const void *b)
{
  const Turn *x = a;
  const Turn *y = b;
  if (x->rank != y->rank)
    return x->rank < y->rank ? -1 : 1;
  if (x->due != y->due)
    return x->due < y->due ? -1 : 1;
  if (x->occurrence->job->revision != y->occurrence->job->revision)
    return x->occurrence->job->revision < y->occurrence->job->revision ? -1 : 1;
  return x->step - y->step;
}

static uint32_t
next_run (const KqSched *s, const KqTaskState *t)
{
  uint32_t base = (s->config.term > 0 ? s->config.term - 1 : 0) * RUNS_PER_TERM;
  return (t->last_run > base ? t->last_run : base) + 1;
}

static KqRun *
start_task (KqSched *s, KqOccurrence *o, int32_t step, int32_t index, uint32_t number,
            KqRunnerState *r, KqTime now)
{
  KqStepState *st = &o->steps[step];
  KqRun *run = kq_run_new (s, o->job, o, step, index, r, number, now);
  if (o->job->spec.steps[step].one_rack && st->rack[0] == '\0')
    g_strlcpy (st->rack, r->rack, sizeof st->rack);
  if (o->job->spec.steps[step].lasting)
    {
      kq_pools_taken (r, o->job->spec.steps[step].cpu_milli);
      kq_runners_changed (s, r); /* it isn't kept from lasting tasks any more */
    }
  if (!o->job->begun)
    kq_histogram_add (&s->first_start, now - o->due_at);
  o->job->begun = true;
  if (o->job->state == KQ_JOB_WAITING)
    o->job->state = KQ_JOB_RUNNING;
  kq_run_send_start (s, run, now);
  return run;
}

/* Runs of one step that start in one pass share a line, as long as it is not longer. */
#define STARTS_LINE 1500

static void
tell_starts (const KqOccurrence *o, int32_t step, KqBuf *starts)
{
  if (starts->len > 0)
    kq_log (KQ_LOG_DEBUG, PART, "Starting runs. step=%.*s.%d.%d runs=%.*s",
            KQ_STR_ARG (o->job->spec.id), o->number, step,
            KQ_STR_ARG (kq_buf_str (starts)));
  kq_buf_clear (starts);
}

static void
note_start (const KqRun *run, KqBuf *starts, KqTime now)
{
  const KqRunnerState *r = run->runner;
  kq_buf_printf (starts, "%s%d:%u@%s/%lld/%lld", starts->len > 0 ? "," : "", run->index,
                 run->number, r->id, (long long)(r->room.cpu_milli - r->used.cpu_milli),
                 (long long)((now - r->heard_at) / KQ_MS));
  if (starts->len > STARTS_LINE)
    tell_starts (run->occurrence, run->step, starts);
}

/* False: some waiting task of the step found no room. */
static bool
place_tasks (KqSched *s, KqOccurrence *o, int32_t step, bool lost, KqTime now)
{
  const KqStep *p = &o->job->spec.steps[step];
  KqPlacing placing;
  KqBuf starts = { 0 };
  /* Beside what fills already there is room for one, whatever its speed. */
  bool only_one = p->filling && kq_place_idles (o, step, now);
  bool whole = true;
  kq_placing_begin (&placing, s, o, step, now);
  for (int32_t i = 0; i < p->width && whole && kq_window_open (&s->window); i++)
    {
      KqTaskState *t = &o->steps[step].tasks[i];
      KqRunnerState *r;
      if (t->phase != KQ_TASK_WAITING || (lost && !t->has_run))
        continue;
      r = kq_placing_next (&placing, i);
      whole = r != NULL;
      if (whole)
        note_start (start_task (s, o, step, i, next_run (s, t), r, now), &starts, now);
      if (only_one)
        break;
    }
  kq_placing_end (&placing);
  tell_starts (o, step, &starts);
  kq_buf_free (&starts);
  if (!whole && o->job->spec.advised)
    kq_tickets_want (s, o, step, now);
  return whole;
}

/* A gang is placed whole or not at all: members that wait for others hold their room for
 * nothing. Placed tentatively first, so that the room of one member counts for the next.
 */
static bool
place_gang (KqSched *s, KqOccurrence *o, int32_t step, KqTime now)
{
  const KqStep *p = &o->job->spec.steps[step];
  KqRun **made = kq_alloc ((size_t)p->width * sizeof (KqRun *));
  KqPlacing placing;
  KqBuf starts = { 0 };
  uint32_t number = 0;
  int32_t n = 0;
  kq_placing_begin (&placing, s, o, step, now);
  if (o->steps[step].active > 0)
    goto out; /* the last run's members have yet to go */
  for (int32_t i = 0; i < p->width; i++)
    {
      uint32_t next = next_run (s, &o->steps[step].tasks[i]);
      number = next > number ? next : number;
    }
  for (; n < p->width; n++)
    {
      KqRunnerState *r = kq_placing_next (&placing, n);
      if (r == NULL)
        break;
      made[n] = kq_run_new (s, o->job, o, step, n, r, number, now);
      if (p->one_rack && o->steps[step].rack[0] == '\0')
        g_strlcpy (o->steps[step].rack, r->rack, sizeof o->steps[step].rack);
    }
  if (n < p->width && o->job->spec.advised)
    kq_tickets_want (s, o, step, now);
  for (int32_t i = 0; i < n; i++)
    {
      if (n == p->width)
        {
          note_start (made[i], &starts, now);
          kq_run_send_start (s, made[i], now);
        }
      else
        kq_run_over (s, made[i], now);
    }
  if (n == p->width)
    {
      o->job->begun = true;
      o->job->state = KQ_JOB_RUNNING;
    }
  else
    o->steps[step].rack[0] = '\0';
  tell_starts (o, step, &starts);
out:
  kq_placing_end (&placing);
  kq_buf_free (&starts);
  free (made);
  return n == p->width;
}

#define WINDOW_TOLD_GAP KQ_SEC

static void
tell_window (KqSched *s, KqTime now)
{
  if (kq_window_open (&s->window) || now - s->window_told_at < WINDOW_TOLD_GAP)
    return;
  s->window_told_at = now;
  kq_log (KQ_LOG_INFO, PART, "Starts wait for answers to others. under_way=%d window=%d",
          s->window.under_way, s->window.size);
}

void
kq_pass (KqSched *s, KqTime now)
{
  GArray *turns = g_array_new (FALSE, FALSE, sizeof (Turn));
  Misfits misfits = { 0 };
  s->passes++;
  s->passing = true;
  kq_pools_look (s);
  collect (s, turns, now);
  kq_pools_looked (s, now);
  if (turns->len > 0)
    qsort (turns->data, turns->len, sizeof (Turn), by_turn);
  for (guint i = 0; i < turns->len && kq_window_open (&s->window); i++)
    {
      const Turn *t = &g_array_index (turns, Turn, i);
      const KqSpec *spec = &t->occurrence->job->spec;
      const KqStep *p = &spec->steps[t->step];
      bool whole;
      if (known_misfit (&misfits, t, now))
        continue;
      whole = p->gang ? place_gang (s, t->occurrence, t->step, now)
                      : place_tasks (s, t->occurrence, t->step, t->lost, now);
      if (!whole)
        note_misfit (&misfits, t, now);
    }
  tell_window (s, now);
  if (turns->len > 0 && (s->work_at == 0 || s->work_at > now + AGAIN))
    s->work_at = now + AGAIN;
  g_array_free (turns, TRUE);
  s->passing = false;
  s->work = false;
}
