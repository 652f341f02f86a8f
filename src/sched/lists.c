/* lists: applies what agents report of runners: lists of running and ended runs, and the
 * results of orders. */

#include "sched/cordoning.h"
#include "sched/reports.h"
#include "sched/tickets.h"

#include <string.h>

static KqRun *
find_run (KqRunnerState *r, const KqTaskRef *t, uint32_t number)
{
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    if (run->number == number && run->job == t->job && run->step == t->step
        && run->index == t->index && run->occurrence_number == t->occurrence_number)
      return run;
  return NULL;
}

/* Adds a listed run that this leader has no record of: an earlier leader started it, or
 * its start order was delivered late. It becomes the task's run if the task is waiting
 * and may still run; otherwise it is stopped. */
static KqRun *
adopt_run (KqSched *s, KqRunnerState *r, const KqTaskRef *t, uint32_t number, KqTime now)
{
  KqOccurrence *o = t->occurrence;
  KqTaskState *state = o != NULL ? &o->steps[t->step].tasks[t->index] : NULL;
  bool wanted = state != NULL && state->phase == KQ_TASK_WAITING && !t->job->cancelled
                && !kq_book_run_has_failed (state, number);
  KqRun *run
      = kq_run_new (s, t->job, wanted ? o : NULL, t->step, t->index, r, number, now);
  run->occurrence_number = t->occurrence_number;
  run->phase = KQ_RUN_RUNNING;
  run->running_at = now;
  run->untimed = true;
  run->pace_unknown = true;
  kq_book_mark_begun (t->job);
  if (state != NULL && number > state->last_run)
    state->last_run = number;
  if (!wanted)
    kq_run_stop (s, run, "not wanted", now);
  else
    {
      char name[96];
      kq_book_task_name (run, name);
      kq_log (KQ_LOG_DEBUG, PART,
              "Adopting a run listed by its runner. task=%s run=%u runner=%s", name,
              number, r->id);
    }
  return run;
}

/* Notes that the runner has confirmed the start that was sent to it. */
static void
confirm_start (KqSched *s, KqRun *run, KqTime now)
{
  KqJob *j = run->job;
  if (!j->begun && run->occurrence != NULL)
    kq_histogram_add (&s->first_start, now - run->occurrence->due_at);
  kq_book_mark_begun (j);
  run->phase = KQ_RUN_RUNNING;
  run->running_at = now;
}

static void
apply_run_row (KqSched *s, KqRunnerState *r, const KqRunRow *row, uint64_t order,
               KqTime now)
{
  KqTaskRef t;
  KqRun *run;
  if (!kq_book_find_task (s, row->task, &t))
    {
      KqOrder o = { .kind = KQ_ORDER_STOP, .runner = kq_str (r->id) };
      kq_log (KQ_LOG_WARN, PART,
              "Stopping a run of an unknown job. task=%.*s run=%u runner=%s",
              KQ_STR_ARG (row->task), row->run, r->id);
      r->has_unknown_run = true;
      o.u.stop.task = row->task;
      o.u.stop.run = row->run;
      s->config.order (s->config.arg, r->agent, &o);
      return;
    }
  kq_book_create_listed (s, &t, now);
  run = find_run (r, &t, row->run);
  if (run == NULL)
    run = adopt_run (s, r, &t, row->run, now);
  run->in_list = true;
  run->outcome_unknown = run->stopped = false;
  run->confirmed = order + 1;
  if (run->phase == KQ_RUN_SENDING)
    confirm_start (s, run, now);
  if (row->percent != run->percent)
    run->last_change_at = now;
  run->percent = row->percent;
  run->load = row->load;
  kq_learn_report (run, now);
  kq_run_set_checkpoint (run, row->checkpoint);
}

static void
update_slowness (KqSched *s, KqRunnerState *r, const KqRun *run, KqTime now)
{
  const KqStep *p = kq_run_step (run);
  double took = (double)(now - run->running_at) / KQ_MS;
  double ratio;
  if (p->estimate_ms <= 0 || p->filling || run->running_at == 0)
    return;
  ratio = took / p->estimate_ms;
  r->slowness += 0.3 * (ratio - r->slowness);
  s->slowness_mean += 0.01 * (ratio - s->slowness_mean);
}

/* Completes all tasks of a gang step: they are done as soon as one of them is. */
static void
complete_gang (KqSched *s, KqOccurrence *o, int32_t step, KqTime now)
{
  int32_t width = o->job->spec.steps[step].width;
  KqJob *j = o->job;
  for (int32_t i = 0; i < width && j->state < KQ_JOB_COMPLETED; i++)
    {
      KqTaskState *t = &o->steps[step].tasks[i];
      bool last = o->steps[step].done == width - 1;
      if (t->phase == KQ_TASK_ACTIVE)
        t->run->occurrence = NULL;
      if (t->phase != KQ_TASK_DONE)
        kq_book_finish_task (s, o, step, i, now);
      if (last)
        return; /* the occurrence may have been freed */
    }
}

static void
apply_done_end (KqSched *s, KqRunnerState *r, const KqTaskRef *t, KqRun *run, KqTime now)
{
  KqOccurrence *o = t->occurrence;
  KqTaskState *state;
  kq_runners_count_end (r, true, now);
  if (run != NULL)
    {
      update_slowness (s, r, run, now);
      kq_learn_done (s, run, now);
    }
  if (o == NULL)
    return;
  if (t->job->spec.steps[t->step].lasting)
    return;
  state = &o->steps[t->step].tasks[t->index];
  if (state->phase == KQ_TASK_ACTIVE && state->run != run)
    {
      KqRun *other = state->run;
      kq_run_stop (s, other, "done elsewhere", now);
      other->occurrence = NULL;
    }
  else if (run != NULL)
    run->occurrence = NULL;
  if (t->job->spec.steps[t->step].gang)
    complete_gang (s, o, t->step, now);
  else
    kq_book_finish_task (s, o, t->step, t->index, now);
}

/* Whether a start order of the run may still reach its runner: it has no answer yet, or
 * will never have one. */
static bool
start_may_arrive (const KqRun *run)
{
  return run->outcome_unknown || (run->order_pending && run->phase != KQ_RUN_STOPPING);
}

static void
apply_end_row (KqSched *s, KqRunnerState *r, const KqEndRow *e, KqTime now)
{
  KqTaskRef t;
  KqRun *run;
  bool ours;
  KqTime ran;
  ++*s->ends[e->reason];
  if (!kq_book_find_task (s, e->task, &t))
    return;
  kq_book_create_listed (s, &t, now);
  kq_book_mark_begun (t.job);
  run = find_run (r, &t, e->run);
  ours = run != NULL && run->occurrence != NULL;
  ran = run != NULL && run->running_at != 0 ? now - run->running_at : 0;
  kq_log (KQ_LOG_DEBUG, PART, "Run ended. task=%.*s run=%u runner=%s how=%s n=%llu",
          KQ_STR_ARG (e->task), e->run, r->id, kq_end_reason_name (e->reason),
          (unsigned long long)e->number);
  if (run != NULL)
    kq_run_set_checkpoint (run, e->checkpoint);
  if (e->reason == KQ_END_DONE)
    apply_done_end (s, r, &t, run, now);
  /* A start that is still in flight may reach the runner after a restart and begin the
   * run again beside the task's next run, so that the task runs twice (2 in 10,000 seeds
   * of the random test). The run is stopped instead: once the runner has answered a stop
   * it refuses that start, also after a restart. Without a start in flight the run is
   * removed before a failure is counted, so that a job that ends by it doesn't send a
   * stop for this run. */
  if (run != NULL && start_may_arrive (run))
    {
      run->confirmed = 0; /* else drop_unlisted would end it by this same list */
      kq_run_stop (s, run, "ended while a start is under way", now);
    }
  else if (run != NULL)
    kq_run_end (s, run, now);
  if (e->reason != KQ_END_FAILED)
    return;
  if (t.occurrence != NULL
          ? kq_book_failure_blames_runner (&t.occurrence->steps[t.step], r, ran)
          : ours)
    kq_runners_count_end (r, false, now);
  if (t.occurrence != NULL)
    kq_book_fail_task (s, t.occurrence, t.step, t.index, e->run, r, now);
}

/* Ends the runs that the runner has confirmed (by a list, or by its answer to a start or
 * stop) before it was asked for this list, and that the list doesn't hold as running. */
static void
drop_unlisted (KqSched *s, KqRunnerState *r, uint64_t order, KqTime now)
{
  KqRun *next;
  for (KqRun *run = r->runs; run != NULL; run = next)
    {
      next = run->next;
      if (run->in_list || run->confirmed == 0 || run->confirmed > order + 1
          || run->outcome_unknown)
        continue;
      if (run->phase == KQ_RUN_RUNNING)
        {
          char name[96];
          kq_book_task_name (run, name);
          kq_log (KQ_LOG_WARN, PART,
                  "Run is missing from its runner's list. task=%s run=%u runner=%s", name,
                  run->number, r->id);
          ++*s->runs_lost;
        }
      kq_run_end (s, run, now);
    }
}

/* Lets the agent renew the runner's lease again. An agent that has just been assigned the
 * runner, or has failed to reach it, doesn't renew until the leader has processed a list:
 * a lease renewed earlier would outlast the end that the leader knows of. */
static void
send_renew_order (KqSched *s, const KqRunnerState *r, uint64_t halt)
{
  KqOrder o = { .kind = KQ_ORDER_RENEW, .runner = kq_str (r->id) };
  o.u.renew.halt = halt;
  s->config.order (s->config.arg, r->agent, &o);
}

void
kq_sched_list (KqSched *s, int agent, KqStr runner, const KqRunnerList *l, KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, runner);
  KqTime lease = now + l->lease_left_ms * KQ_MS;
  if (r == NULL || !kq_reports_is_current_agent (s, r, agent, l->assignment, "list"))
    return;
  if (r->gone)
    kq_runners_note_alive (r);
  if (l->started_ms != 0 && r->started_ms != 0 && l->started_ms != r->started_ms)
    {
      kq_runners_handle_restart (s, r, l->order, now);
      kq_runners_note_alive (r);
      r->ends_seen = r->ends_stored = r->ends_batch = r->ends_marked = 0;
      r->failed_count = r->done_count = 0;
      r->suspect_until = 0;
      r->suspect_times = 0;
    }
  if (l->started_ms != 0)
    r->started_ms = l->started_ms;
  if (r->silent)
    kq_log (KQ_LOG_INFO, PART,
            "Runner answers again. runner=%s runs=%d listed=%zu ended=%zu "
            "heard_ms_ago=%lld lease_left_ms=%lld",
            r->id, r->n_runs, l->n_running, l->n_ended,
            (long long)((now - r->heard_at) / KQ_MS),
            (long long)((kq_runners_lease_end (r) - now) / KQ_MS));
  /* These ends were acknowledged, but an earlier agent may not have passed it on, or this
   * one may have forgotten it at an apparent restart of the runner. */
  if (l->n_ended > 0 && l->ended[0].number <= r->ends_stored)
    kq_runners_acknowledge (s, r);
  if (r->silent || !r->renewed)
    kq_learn_skip (r);
  s->assign_soon = s->assign_soon || !r->listed;
  if (!r->listed && !r->silent)
    kq_window_adapt (&s->list_window, now - r->assigned_at);
  if (!l->more_ended)
    r->listed = r->runs_known = true;
  r->silent = false;
  r->unsent_until = 0;
  r->renewed = true;
  r->heard_at = now;
  kq_runners_note_heard (r);
  kq_runners_extend_lease (r, lease, "list");
  for (size_t i = 0; i < l->n_ended; i++)
    if (l->ended[i].number > r->ends_seen)
      {
        r->ends_seen = l->ended[i].number;
        s->ends_dirty = true;
        apply_end_row (s, r, &l->ended[i], now);
      }
  r->has_unknown_run = false;
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    run->in_list = false;
  for (size_t i = 0; i < l->n_running; i++)
    apply_run_row (s, r, &l->running[i], l->order, now);
  if (!l->more_ended)
    drop_unlisted (s, r, l->order, now);
  if (r->n_serving > 0)
    kq_pace_update (s, r, now);
  else if (r->filling_milli > 0)
    kq_pace_release (s, r, now);
  if (l->halt != 0)
    send_renew_order (s, r, l->halt);
  kq_runners_note_change (s, r);
}

/* A start that couldn't be sent shows that the agent didn't reach the runner in time, not
 * that tasks fail there. For so long the runner gets no further start, unless it answers
 * before. */
#define UNSENT_PAUSE KQ_SEC

static void
apply_start_refusal (KqSched *s, KqRun *run, const KqOrderOutcome *o, KqTime now)
{
  KqRunnerState *r = run->runner;
  KqTaskState *t = kq_book_task_state (run);
  KqOrderResult result = o->result;
  if (o->cordoned)
    kq_cordoning_note_refusal (s, r, now);
  else if (o->unsent)
    r->unsent_until = now + UNSENT_PAUSE;
  else if (result == KQ_ORDER_UNHEALTHY)
    kq_runners_count_end (r, false, now);
  if (result == KQ_ORDER_NO_ROOM)
    ++*s->no_room;
  /* In another phase only this repeat of the start was refused: the runner accepted an
   * earlier one and lists the run, or a stop has been sent. */
  if (run->phase != KQ_RUN_SENDING)
    return;
  if (t != NULL && !o->cordoned)
    t->avoid = r;
  if (result == KQ_ORDER_NO_TICKET)
    {
      /* The job's queue became advised after the job was accepted. */
      run->job->spec.advised = true;
      if (run->occurrence != NULL)
        kq_tickets_drop (s, run->occurrence, run->step, r, now);
    }
  /* An earlier copy of this start may still be in flight; only a stop rules that out. */
  if (run->outcome_unknown)
    kq_run_stop (s, run, "refused", now);
  else
    kq_run_end (s, run, now);
}

static void
apply_start_result (KqSched *s, KqRun *run, const KqOrderOutcome *o, KqTime now)
{
  switch (o->result)
    {
    case KQ_ORDER_OK:
      run->outcome_unknown = false;
      run->confirmed = o->order + 1;
      if (run->phase != KQ_RUN_SENDING)
        kq_book_mark_begun (run->job);
      else
        {
          confirm_start (s, run, now);
          if (run->occurrence != NULL)
            kq_tickets_accepted (run->occurrence, run->step);
          run->last_change_at = now;
          kq_histogram_add (&s->start_answer, now - run->placed_at);
          if (!run->resent)
            kq_window_adapt (&s->window, now - run->placed_at);
          if (kq_run_step (run)->filling && run->runner->n_serving > 0)
            kq_pace_set (s, run->runner, now);
        }
      break;
    case KQ_ORDER_UNKNOWN:
    case KQ_ORDER_LATE:
      run->outcome_unknown = true;
      run->stopped = false;
      break; /* kq_watch_progress sends it again */
    case KQ_ORDER_OLD_RUN:
      /* The run has already ended at the runner: its end is listed, or it was stopped. Or
       * an earlier leader has used more numbers than KQ_RUNS_PER_TERM: the next run skips
       * as many, as each attempt takes until the next list. */
      if (run->phase == KQ_RUN_SENDING && kq_book_task_state (run) != NULL)
        kq_book_task_state (run)->last_run = run->number + KQ_RUNS_PER_TERM;
      run->outcome_unknown = false;
      run->confirmed = o->order + 1;
      break;
    case KQ_ORDER_FENCED:
    case KQ_ORDER_NO_ROOM:
    case KQ_ORDER_NO_TICKET:
    case KQ_ORDER_UNHEALTHY:
    case KQ_ORDER_OTHER_RUNNER:
    case KQ_ORDER_BAD:
      apply_start_refusal (s, run, o, now);
      break;
    }
}

static void
apply_stop_result (KqRun *run, const KqOrderOutcome *o)
{
  if (o->result == KQ_ORDER_OK || o->result == KQ_ORDER_OLD_RUN)
    {
      run->outcome_unknown = false;
      run->stopped = true;
      run->confirmed = o->order + 1;
    }
}

const char *
kq_order_kind_name (KqOrderKind k)
{
  static const char *const names[]
      = { "take", "drop", "start", "stop", "pace", "seen", "advise", "renew" };
  return names[k];
}

static const char *
run_phase_name (const KqRun *run)
{
  static const char *const names[] = { "sending", "running", "stopping" };
  return run != NULL ? names[run->phase] : "over";
}

void
kq_sched_outcome (KqSched *s, int agent, KqStr runner, const KqOrderOutcome *o,
                  KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, runner);
  KqTaskRef t;
  KqRun *run;
  if (r == NULL || !kq_reports_is_current_agent (s, r, agent, o->assignment, "outcome")
      || !kq_book_find_task (s, o->task, &t))
    return;
  ++*s->results[o->result];
  if (o->lease_left_ms >= 0)
    kq_runners_extend_lease (r, now + o->lease_left_ms * KQ_MS, "outcome");
  run = find_run (r, &t, o->run);
  if (o->result != KQ_ORDER_OK)
    kq_log (KQ_LOG_INFO, PART,
            "Order not carried out. task=%.*s run=%u runner=%s order=%s result=%s "
            "unsent=%d cordoned=%d believed=%s unsure=%d",
            KQ_STR_ARG (o->task), o->run, r->id, kq_order_kind_name (o->kind),
            kq_order_result_name (o->result), o->unsent, o->cordoned,
            run_phase_name (run), run != NULL && run->outcome_unknown);
  if (run == NULL)
    return;
  if (o->kind == KQ_ORDER_PACE)
    {
      kq_run_pace_answered (run, o->result);
      return;
    }
  run->order_pending = false;
  if (o->kind == KQ_ORDER_START)
    {
      kq_run_leave_window (s, run);
      apply_start_result (s, run, o, now);
    }
  else
    apply_stop_result (run, o);
  s->pass_needed = true;
}
