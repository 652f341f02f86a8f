/* pass: one placing pass over all steps that have tasks waiting to run.
 *
 * In a burst more tasks wait than the runners can hold. First come jobs that can still
 * meet their objective, those with the earliest objective first, then lasting tasks, then
 * late jobs. Lasting tasks don't give their room back, so if they came first they would
 * take the room that short jobs need: in a simulation of 48 runners with nearly all room
 * reserved, 65% of the short jobs met their objective instead of 77%. Late jobs come
 * behind those in time: with the objective alone as order every job of a long burst would
 * end just too late. With order = "forecast" jobs are judged with the work ahead of them
 * as well, and ordered by that within these ranks (waiting_order.h). */

#include "sched/gangs.h"
#include "sched/load_pass.h"
#include "sched/place.h"
#include "sched/placing.h"
#include "sched/tickets.h"
#include "sched/wait_places.h"
#include "sched/waits.h"

#include <stdlib.h>
#include <string.h>

/* Ranks, served in this order. */
enum
{
  RANK_LOST, /* a lost lasting task that has waited for KQ_PLACE_LOST_WAIT_MAX */
  RANK_IN_TIME,
  /* Late reserved steps, with large_task_room: they give their room back within a second
   * or two, whereas a lasting task keeps it. Behind waiting lasting tasks, large tasks
   * that were late never found room. */
  RANK_LATE_RESERVED,
  RANK_HOPELESS_RESERVED,
  RANK_LASTING,
  RANK_LATE,    /* can end within HOPELESS_RATIO times the objective */
  RANK_HOPELESS /* must still be run, but after all others */
};
/* For operators. */
static const char *const rank_names[] = { [RANK_LOST] = "lost lasting task",
                                          [RANK_IN_TIME] = "in time",
                                          [RANK_LATE_RESERVED] = "late",
                                          [RANK_HOPELESS_RESERVED] = "of no use any more",
                                          [RANK_LASTING] = "lasting",
                                          [RANK_LATE] = "late",
                                          [RANK_HOPELESS] = "of no use any more" };
#define HOPELESS_RATIO 3
/* Which job is put behind when not all can be in time (waiting_order.h). */
#define DEFER_RULE KQ_DEFER_NEWEST
/* A pass follows at the latest after this time while tasks wait, even if nothing has
 * happened: ranks change with time, and so does what a waiting task accepts. */
#define PASS_INTERVAL_MAX (500 * KQ_MS)

/* Before all others: see kq_load_has_turn. */
#define PLACE_TURN (-1)

typedef struct
{
  KqOccurrence *occurrence;
  int32_t step;
  int rank;
  int place;  /* in the rank: see forecast_place, or PLACE_TURN */
  KqTime due; /* order in that place: when the objective ends, or kq_waiting_key */
  bool lost;  /* stands only for the step's lasting tasks that have run before */
} WaitingStep;

/* The room that a task may use. */
typedef enum
{
  FOR_FILLING,  /* cpu that other tasks leave unused */
  FOR_RESERVED, /* cpu that isn't reserved */
  FOR_LASTING,  /* as FOR_RESERVED, less what is kept free of lasting tasks */
  FOR_ANY       /* any room: for starved steps and lost lasting tasks */
} RoomKind;

/* The needs of a step that found no room in this pass: steps that need the same kind of
 * room, and at least as much, aren't tried. */
typedef struct
{
  const KqPool *pool;
  RoomKind kind;
  int32_t cpu_milli;
  int32_t mem_mb;
  /* Of a filling step, as its place depends on what it does to serving tasks: */
  int image;
  double speed; /* the share of its full speed that it asks for */
  /* Of a reserved step: the largest reservations that it may use. */
  int32_t size_usable;
} NoRoom;
#define NO_ROOM_MAX 16

typedef struct
{
  NoRoom list[NO_ROOM_MAX];
  int n;
} NoRoomList;

static RoomKind
room_kind (const WaitingStep *t, KqTime now)
{
  const KqStep *p = &t->occurrence->job->spec.steps[t->step];
  if (kq_place_is_starved (t->occurrence, t->step, t->lost, now))
    return FOR_ANY;
  if (p->filling)
    return FOR_FILLING;
  if (!p->lasting)
    return FOR_RESERVED;
  return t->occurrence->steps[t->step].lost_since != 0 ? FOR_ANY : FOR_LASTING;
}

static NoRoom
make_needs (const WaitingStep *t, KqTime now)
{
  const KqJob *j = t->occurrence->job;
  const KqStep *p = &j->spec.steps[t->step];
  NoRoom n = { .pool = j->pool,
               .kind = room_kind (t, now),
               .cpu_milli = p->cpu_milli,
               .mem_mb = p->mem_mb,
               .image = -1,
               .size_usable = kq_large_tasks_size_usable (j->pool, p) };
  if (p->filling)
    {
      n.image = j->images[t->step];
      n.speed = kq_place_speed_required (t->occurrence, t->step, t->lost, now);
    }
  return n;
}

/* Whether `a` needs the same kind of room as `b`, and at least as much. */
static bool
needs_as_much (const NoRoom *a, const NoRoom *b)
{
  return a->kind == b->kind && a->pool == b->pool && a->image == b->image
         && a->size_usable == b->size_usable && a->speed >= b->speed
         && a->cpu_milli >= b->cpu_milli && a->mem_mb >= b->mem_mb;
}

static bool
known_no_room (const NoRoomList *m, const WaitingStep *t, KqTime now)
{
  NoRoom needs = make_needs (t, now);
  for (int i = 0; i < m->n; i++)
    if (needs_as_much (&needs, &m->list[i]))
      return true;
  return false;
}

static void
note_no_room (NoRoomList *m, const WaitingStep *t, KqTime now)
{
  const KqSpec *spec = &t->occurrence->job->spec;
  const KqStep *p = &spec->steps[t->step];
  NoRoom needs = make_needs (t, now);
  /* Not recorded: a step with further limits, which other steps don't have; one that
   * waits for a ticket rather than for room; one that may use any room, as both filling
   * and lasting steps have that kind. */
  if (p->label.len > 0 || p->per_runner_max > 0 || p->gpus > 0 || p->gang || spec->advised
      || needs.kind == FOR_ANY)
    return;
  for (int i = 0; i < m->n; i++)
    if (needs_as_much (&m->list[i], &needs))
      {
        m->list[i] = needs; /* it covers what that one covers */
        return;
      }
  if (m->n < NO_ROOM_MAX)
    m->list[m->n++] = needs;
}

static KqTime
objective_end (const KqOccurrence *o, int ratio)
{
  return o->due_at + ratio * kq_book_objective_ms (o->job) * KQ_MS;
}

/* How the occurrence stands if it has all room to itself. */
static KqAlone
judge_alone (const KqOccurrence *o, KqTime now)
{
  KqTime end = now + o->critical_path_ms * KQ_MS;
  if (end > objective_end (o, HOPELESS_RATIO))
    return KQ_ALONE_NO_USE;
  return end > objective_end (o, 1) ? KQ_ALONE_LATE : KQ_ALONE_IN_TIME;
}

static WaitingStep
make_waiting_step (KqOccurrence *o, int32_t step, KqAlone alone)
{
  WaitingStep t = {
    .occurrence = o, .step = step, .rank = RANK_IN_TIME, .due = objective_end (o, 1)
  };
  if (o->job->spec.steps[step].lasting)
    t.rank = RANK_LASTING;
  else if (alone == KQ_ALONE_NO_USE)
    t.rank = RANK_HOPELESS;
  else if (alone == KQ_ALONE_LATE)
    t.rank = RANK_LATE;
  return t;
}

static int
forecast_place (const KqWaitingPlace *p)
{
  return 2 * (int)p->class + (p->ahead_of_class ? 0 : 1);
}

/* Sets the place of each step by what was decided on its job. */
static void
apply_forecast (GArray *waiting)
{
  for (guint i = 0; i < waiting->len; i++)
    {
      WaitingStep *t = &g_array_index (waiting, WaitingStep, i);
      const KqOccurrence *o = t->occurrence;
      if (o->job->spec.steps[t->step].lasting || o->place.forecast_end == 0)
        continue; /* nothing was decided */
      t->place = forecast_place (&o->place);
      if (o->place.class == KQ_WAITING_DEFERRED)
        t->due = objective_end (o, HOPELESS_RATIO);
      else if (o->place.class == KQ_WAITING_NO_USE)
        t->due = o->due_at;
      if (!kq_load_has_turn (o))
        continue;
      t->rank = RANK_IN_TIME;
      t->place = PLACE_TURN;
    }
}

static void
put_late_before_lasting (GArray *waiting)
{
  for (guint i = 0; i < waiting->len; i++)
    {
      WaitingStep *t = &g_array_index (waiting, WaitingStep, i);
      if (t->occurrence->job->spec.steps[t->step].filling)
        continue;
      if (t->rank == RANK_LATE)
        t->rank = RANK_LATE_RESERVED;
      else if (t->rank == RANK_HOPELESS)
        t->rank = RANK_HOPELESS_RESERVED;
    }
}

static void
end_wait (KqJob *j, KqStepState *st, KqTime now)
{
  if (st->waits_since != 0)
    j->spent.waited += now - st->waits_since;
  st->lost_since = st->waits_since = st->no_room_since = 0;
}

/* Returns whether the job's tasks may not be started yet, and notes in job_held_back if a
 * later exclusive_until would permit it. Either another leader may have taken
 * over when this one learned of the job: the job may then be stored after that leader's
 * epoch, and that leader would start it, certain that nobody else has. Or runs of an
 * earlier leader may still be unknown, and the job is old enough to have some. */
static bool
hold_back (KqSched *s, const KqJob *j)
{
  bool leader_uncertain = j->learned_at >= s->exclusive_until;
  s->job_held_back = s->job_held_back || leader_uncertain;
  return leader_uncertain || (!s->settled && j->revision < s->config.epoch);
}

static void
collect_occurrence (KqOccurrence *o, GArray *waiting, KqLoadPass *load, KqTime now)
{
  KqJob *j = o->job;
  KqAlone alone = judge_alone (o, now);
  kq_load_add (load, o, alone, objective_end (o, 1), objective_end (o, HOPELESS_RATIO));
  for (int32_t i = 0; i < j->spec.n_steps; i++)
    {
      KqStepState *st = &o->steps[i];
      WaitingStep t;
      if (st->done + st->active >= j->spec.steps[i].width)
        end_wait (j, st, now);
      if (!st->open || st->done + st->active >= j->spec.steps[i].width)
        continue;
      if (st->waits_since == 0)
        st->waits_since = now;
      kq_pools_add_waiting (j->pool, &j->spec.steps[i],
                            j->spec.steps[i].width - st->done - st->active);
      t = make_waiting_step (o, i, alone);
      g_array_append_val (waiting, t);
      if (st->lost_since != 0 && !kq_book_has_lost_waiting (st, &j->spec.steps[i]))
        st->lost_since = 0;
      if (st->lost_since != 0 && now - st->lost_since >= KQ_PLACE_LOST_WAIT_MAX)
        {
          t.rank = RANK_LOST;
          t.lost = true;
          g_array_append_val (waiting, t);
        }
    }
}

static void
collect_waiting_steps (KqSched *s, GArray *waiting, KqLoadPass *load, KqWaits *waits,
                       KqTime now)
{
  for (KqJob *j = s->open_jobs; j != NULL; j = j->next)
    {
      bool held_back = j->state < KQ_JOB_COMPLETED && hold_back (s, j);
      waits->n_held_back += held_back;
      if (j->state >= KQ_JOB_COMPLETED || held_back)
        continue;
      kq_book_update_estimates (j);
      for (KqOccurrence *o = j->occurrences; o != NULL; o = o->next)
        collect_occurrence (o, waiting, load, now);
    }
}

static int
compare_waiting_steps (const void *a, const void *b)
{
  const WaitingStep *x = a;
  const WaitingStep *y = b;
  if (x->rank != y->rank)
    return x->rank < y->rank ? -1 : 1;
  if (x->place != y->place)
    return x->place < y->place ? -1 : 1;
  if (x->due != y->due)
    return x->due < y->due ? -1 : 1;
  if (x->occurrence->job->revision != y->occurrence->job->revision)
    return x->occurrence->job->revision < y->occurrence->job->revision ? -1 : 1;
  return x->step - y->step;
}

static uint32_t
next_run (const KqSched *s, const KqTaskState *t)
{
  uint32_t base = (s->config.term > 0 ? s->config.term - 1 : 0) * KQ_RUNS_PER_TERM;
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
      if (!o->job->spec.steps[step].filling)
        kq_pools_count_lasting (r, o->job->spec.steps[step].cpu_milli);
      kq_runners_note_change (s, r); /* further lasting tasks may be placed there now */
    }
  kq_large_tasks_note_start (s, run, now);
  kq_run_send_start (s, run, now);
  return run;
}

/* Runs of a step that start in one pass are logged in lines of about this many bytes. */
#define STARTS_LINE_MAX 1500

static void
log_starts (const KqOccurrence *o, int32_t step, KqBuf *starts)
{
  if (starts->len > 0)
    kq_log (KQ_LOG_DEBUG, PART, "Starting runs. step=%.*s.%d.%d runs=%.*s",
            KQ_STR_ARG (o->job->spec.id), o->number, step,
            KQ_STR_ARG (kq_buf_str (starts)));
  kq_buf_clear (starts);
}

static void
add_start_to_log (const KqRun *run, KqBuf *starts, KqTime now)
{
  const KqRunnerState *r = run->runner;
  kq_buf_printf (starts, "%s%d:%u@%s/%lld/%lld", starts->len > 0 ? "," : "", run->index,
                 run->number, r->id, (long long)(r->room.cpu_milli - r->used.cpu_milli),
                 (long long)((now - r->heard_at) / KQ_MS));
  if (starts->len > STARTS_LINE_MAX)
    log_starts (run->occurrence, run->step, starts);
}

/* Places the step's waiting tasks. Returns false if one of them found no room. */
static bool
place_tasks (KqSched *s, KqOccurrence *o, int32_t step, bool lost, KqTime now)
{
  const KqStep *p = &o->job->spec.steps[step];
  KqPlacing placing;
  KqBuf starts = { 0 };
  /* A starved job's filling tasks are placed whatever their speed, but only one of them,
   * or a few lasting ones: as long as the step counts as starved. */
  bool starved = p->filling && kq_place_is_starved (o, step, lost, now);
  bool all_placed = true;
  kq_placing_begin (&placing, s, o, step, now);
  for (int32_t i = 0; i < p->width && all_placed && kq_window_is_open (&s->window); i++)
    {
      KqTaskState *t = &o->steps[step].tasks[i];
      KqRunnerState *r;
      if (t->phase != KQ_TASK_WAITING || (lost && !t->has_run))
        continue;
      r = kq_placing_next (&placing, i);
      if (placing.held_back)
        continue;
      all_placed = r != NULL;
      if (all_placed)
        add_start_to_log (start_task (s, o, step, i, next_run (s, t), r, now), &starts,
                          now);
      if (starved && (!p->lasting || !kq_place_is_starved (o, step, lost, now)))
        break;
    }
  kq_placing_end (&placing);
  log_starts (o, step, &starts);
  kq_buf_free (&starts);
  if (!all_placed && o->job->spec.advised)
    kq_tickets_request (s, o, step, now);
  return all_placed;
}

/* Places all tasks of a gang step or none: members that wait for others would hold their
 * room for nothing. Runs are created first, so that the room of one member counts for the
 * next one, and their start orders are sent only if all have found room. */
static bool
place_gang (KqSched *s, KqOccurrence *o, int32_t step, KqTime now)
{
  const KqStep *p = &o->job->spec.steps[step];
  KqRun **runs = kq_alloc ((size_t)p->width * sizeof (KqRun *));
  KqPlacing placing;
  KqBuf starts = { 0 };
  uint32_t number = 0;
  int32_t n = 0;
  kq_placing_begin (&placing, s, o, step, now);
  if (o->steps[step].active > 0)
    goto out; /* runs of the previous attempt have yet to end */
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
      runs[n] = kq_run_new (s, o->job, o, step, n, r, number, now);
      if (p->one_rack && o->steps[step].rack[0] == '\0')
        g_strlcpy (o->steps[step].rack, r->rack, sizeof o->steps[step].rack);
    }
  if (n == p->width)
    kq_gangs_begin_run (&o->steps[step]);
  for (int32_t i = 0; i < n; i++)
    {
      if (n == p->width)
        {
          add_start_to_log (runs[i], &starts, now);
          kq_large_tasks_note_start (s, runs[i], now);
          kq_run_send_start (s, runs[i], now);
        }
      else
        kq_run_end (s, runs[i], now);
    }
  if (n < p->width)
    o->steps[step].rack[0] = '\0';
  /* Only now, as the runners of the members that had found room are candidates again. */
  if (n < p->width && o->job->spec.advised)
    kq_tickets_request (s, o, step, now);
  log_starts (o, step, &starts);
out:
  kq_placing_end (&placing);
  kq_buf_free (&starts);
  free (runs);
  return n == p->width;
}

/* Least time between two log lines on a closed window. */
#define WINDOW_LOG_INTERVAL KQ_SEC

static void
log_closed_window (KqSched *s, KqTime now)
{
  if (kq_window_is_open (&s->window) || now - s->window_logged_at < WINDOW_LOG_INTERVAL)
    return;
  s->window_logged_at = now;
  kq_log (KQ_LOG_INFO, PART,
          "Start orders wait for answers to earlier ones. under_way=%d window=%d",
          s->window.unanswered, s->window.size);
}

void
kq_pass (KqSched *s, KqTime now)
{
  GArray *waiting = g_array_new (FALSE, FALSE, sizeof (WaitingStep));
  NoRoomList no_room = { 0 };
  KqWaits waits = { 0 };
  KqLoadPass load;
  s->passes++;
  s->passed_at = now;
  s->in_pass = true;
  kq_pools_begin_pass (s);
  kq_large_tasks_begin_pass (s);
  kq_load_begin_pass (&load, s, now);
  collect_waiting_steps (s, waiting, &load, &waits, now);
  kq_pools_update_kept_free (s, now);
  kq_load_decide (&load, s, DEFER_RULE, now);
  if (s->config.features.forecast_order)
    apply_forecast (waiting);
  if (s->config.features.large_task_room)
    put_late_before_lasting (waiting);
  if (waiting->len > 0)
    qsort (waiting->data, waiting->len, sizeof (WaitingStep), compare_waiting_steps);
  for (guint i = 0; i < waiting->len && kq_window_is_open (&s->window); i++)
    {
      const WaitingStep *t = &g_array_index (waiting, WaitingStep, i);
      const KqSpec *spec = &t->occurrence->job->spec;
      const KqStep *p = &spec->steps[t->step];
      bool all_placed;
      if (known_no_room (&no_room, t, now))
        continue;
      all_placed = p->gang ? place_gang (s, t->occurrence, t->step, now)
                           : place_tasks (s, t->occurrence, t->step, t->lost, now);
      if (!all_placed)
        note_no_room (&no_room, t, now);
    }
  for (guint i = 0; i < waiting->len; i++)
    {
      const WaitingStep *t = &g_array_index (waiting, WaitingStep, i);
      kq_wait_places_note (s, t->occurrence, t->step, rank_names[t->rank]);
      if (t->lost)
        continue;
      kq_waits_add (&waits, t->occurrence, t->step, now);
      if (s->config.features.large_task_room)
        kq_large_tasks_add_waiting (t->occurrence, t->step,
                                    kq_window_is_open (&s->window), now);
    }
  if (s->config.features.large_task_room)
    kq_large_tasks_update (s, now);
  kq_waits_log (&waits, s, now);
  log_closed_window (s, now);
  kq_load_end_pass (&load, s, now);
  if (waiting->len > 0
      && (s->next_pass_at == 0 || s->next_pass_at > now + PASS_INTERVAL_MAX))
    s->next_pass_at = now + PASS_INTERVAL_MAX;
  g_array_free (waiting, TRUE);
  s->in_pass = false;
  s->pass_needed = false;
}
