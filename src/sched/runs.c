/* runs: one run of a task on a runner, from its start order until the runner reports its
 * end or the runner's lease has expired. Its resources stay reserved all that time. */

#include "sched/gangs.h"
#include "sched/load_pass.h"
#include "sched/tickets.h"

#include <stdlib.h>

/* An unanswered order is sent again after this time. A runner treats repeats of a start
 * as one start. */
#define ORDER_RETRY_INTERVAL (150 * KQ_MS)
/* How long after a pace order without an answer it may still be carried out, and the
 * interval at which the newest pace is ordered again during that time. */
#define PACE_LATE_MAX (14 * KQ_SEC)
#define PACE_REPEAT_INTERVAL KQ_SEC
/* Rounding error allowed in sums of shares. */
#define SHARE_EPSILON 0.001

const KqStep *
kq_run_step (const KqRun *run)
{
  return &run->job->spec.steps[run->step];
}

bool
kq_run_is_serving (const KqRun *run)
{
  const KqStep *p = kq_run_step (run);
  return p->target_ms > 0 && !p->filling;
}

int
kq_run_image (const KqRun *run)
{
  return run->job->images[run->step];
}

/* Adds the run's resources to its runner's totals (sign 1), or removes them (sign -1). */
static void
update_reservations (const KqRun *run, int sign)
{
  KqRunnerState *r = run->runner;
  const KqStep *p = kq_run_step (run);
  int image = kq_run_image (run);
  if (p->filling)
    r->filling_milli += sign * (int64_t)p->cpu_milli;
  else
    r->used.cpu_milli += sign * (int64_t)p->cpu_milli;
  r->used.mem_mb += sign * (int64_t)p->mem_mb;
  r->used.gpus += sign * (int64_t)p->gpus;
  r->n_runs += sign;
  if (p->lasting && !p->filling)
    {
      r->n_lasting += sign;
      r->lasting_milli += sign * (int64_t)p->cpu_milli;
    }
  if (image >= 0 && p->filling)
    {
      r->filling_shares[image] += sign * run->cpu_share;
      if (r->filling_shares[image] > SHARE_EPSILON)
        r->filling_images |= (uint32_t)1 << image;
      else
        r->filling_images &= ~((uint32_t)1 << image);
    }
  else if (image >= 0)
    {
      r->serving_images[image] += sign;
      r->n_serving += sign;
      r->serving_milli += sign * (int64_t)p->cpu_milli;
    }
}

KqRun *
kq_run_new (KqSched *s, KqJob *j, KqOccurrence *o, int32_t step, int32_t index,
            KqRunnerState *r, uint32_t number, KqTime now)
{
  KqRun *run = kq_alloc (sizeof *run);
  run->job = j;
  run->occurrence = o;
  run->occurrence_number = o != NULL ? o->number : 0;
  run->step = step;
  run->index = index;
  run->number = number;
  run->runner = r;
  run->pace = 100;
  run->load = -1;
  run->cpu_share = (double)kq_run_step (run)->cpu_milli
                   / (double)(r->room.cpu_milli > 0 ? r->room.cpu_milli : 1);
  run->placed_at = run->last_change_at = now;
  if (kq_run_is_serving (run))
    {
      run->serving = kq_alloc (sizeof *run->serving);
      run->serving->next = r->serving_runs;
      if (r->serving_runs != NULL)
        r->serving_runs->serving->prev = run;
      r->serving_runs = run;
    }
  run->next = r->runs;
  if (r->runs != NULL)
    r->runs->prev = run;
  r->runs = run;
  update_reservations (run, 1);
  kq_pools_note_change (s, r);
  j->n_runs++;
  j->spent.runs++;
  run->job_next = j->run_list;
  if (j->run_list != NULL)
    j->run_list->job_prev = run;
  j->run_list = run;
  if (o != NULL)
    {
      KqTaskState *t = kq_book_task_state (run);
      t->phase = KQ_TASK_ACTIVE;
      t->run = run;
      if (number > t->last_run)
        t->last_run = number;
      o->steps[step].active++;
      if (kq_run_step (run)->lasting && !t->has_run)
        kq_book_mark_has_run (s, j, t, now);
    }
  return run;
}

static void
unlink_serving (const KqRun *run)
{
  const KqServing *v = run->serving;
  if (v->prev != NULL)
    v->prev->serving->next = v->next;
  else
    run->runner->serving_runs = v->next;
  if (v->next != NULL)
    v->next->serving->prev = v->prev;
}

/* Adds the time for which the run has been slowed to its job's totals, and notes whether
 * the new pace slows it. Call before each change of its pace, and at its end. */
static void
account_slowed_time (KqRun *run, int percent, KqTime now)
{
  if (run->slowed_at != 0)
    run->job->spent.slowed += now - run->slowed_at;
  run->slowed_at = percent < 100 ? now : 0;
}

void
kq_run_leave_window (KqSched *s, KqRun *run)
{
  if (run->start_in_window)
    kq_window_remove (&s->window);
  run->start_in_window = false;
}

static void
doubt_pace (KqRun *run, bool may_be_late)
{
  run->pace_unknown = true;
  if (may_be_late)
    run->pace_late_until = run->paced_at + PACE_LATE_MAX;
}

void
kq_run_pace_answered (KqRun *run, KqOrderResult result)
{
  if (run->paces_unanswered > 0)
    run->paces_unanswered--;
  switch (result)
    {
    case KQ_ORDER_UNKNOWN:
      doubt_pace (run, true);
      break;
    case KQ_ORDER_LATE:
    case KQ_ORDER_UNHEALTHY:
      doubt_pace (run, false);
      break;
    case KQ_ORDER_OK:
    case KQ_ORDER_FENCED: /* for good: a repeat would be refused as well */
    case KQ_ORDER_OLD_RUN:
    case KQ_ORDER_NO_ROOM:
    case KQ_ORDER_NO_TICKET:
    case KQ_ORDER_OTHER_RUNNER:
    case KQ_ORDER_BAD:
      break;
    }
}

bool
kq_run_pace_is_doubtful (const KqRun *run, KqTime now)
{
  return run->pace_unknown
         || (run->pace_late_until != 0
             && (now >= run->pace_late_until
                 || now - run->paced_at >= PACE_REPEAT_INTERVAL));
}

void
kq_run_mark_orders_lost (KqSched *s, KqRun *run)
{
  if (run->paces_unanswered > 0)
    doubt_pace (run, true);
  run->paces_unanswered = 0;
  if (run->order_pending)
    run->outcome_unknown = true;
  run->order_pending = false;
  kq_run_leave_window (s, run);
}

/* Keeps what the run has saved, for the next one. */
static void
keep_checkpoint (KqSched *s, KqRun *run, KqTaskState *t, KqTime now)
{
  if (kq_run_step (run)->gang)
    {
      kq_gangs_keep_checkpoint (s, run, now);
      return;
    }
  kq_str_drop (&t->checkpoint);
  t->checkpoint = run->checkpoint;
  run->checkpoint = (KqStr){ 0 };
}

void
kq_run_end (KqSched *s, KqRun *run, KqTime now)
{
  KqRunnerState *r = run->runner;
  KqTaskState *t = kq_book_task_state (run);
  KqJob *j = run->job;
  kq_run_leave_window (s, run);
  kq_load_note_run_end (run, now);
  if (t != NULL && t->run == run)
    {
      KqStepState *st = &run->occurrence->steps[run->step];
      t->run = NULL;
      t->phase = KQ_TASK_WAITING;
      st->active--;
      if (kq_run_step (run)->lasting && st->lost_since == 0)
        st->lost_since = now;
      if (run->checkpoint.len > 0 && kq_run_step (run)->checkpoints)
        keep_checkpoint (s, run, t, now);
    }
  update_reservations (run, -1);
  account_slowed_time (run, 100, now);
  if (run->prev != NULL)
    run->prev->next = run->next;
  else
    r->runs = run->next;
  if (run->next != NULL)
    run->next->prev = run->prev;
  if (run->serving != NULL)
    unlink_serving (run);
  j->n_runs--;
  if (run->job_prev != NULL)
    run->job_prev->job_next = run->job_next;
  else
    j->run_list = run->job_next;
  if (run->job_next != NULL)
    run->job_next->job_prev = run->job_prev;
  kq_str_drop (&run->checkpoint);
  free (run->serving);
  free (run);
  kq_runners_note_change (s, r);
}

static void
send_order (KqSched *s, KqRun *run, KqOrder *o, KqTime now)
{
  o->runner = kq_str (run->runner->id);
  run->order_pending = true;
  run->retry_at = now + ORDER_RETRY_INTERVAL;
  s->config.order (s->config.arg, run->runner->agent, o);
}

/* From which the run resumes; "": it begins anew. */
static KqStr
checkpoint_of_start (const KqRun *run)
{
  const KqTaskState *t = kq_book_task_state (run);
  if (t == NULL)
    return KQ_STR ("");
  return kq_run_step (run)->gang ? run->occurrence->steps[run->step].resumes_from
                                 : t->checkpoint;
}

/* A start whose outcome is unknown is repeated: else its task would wait, and its room be
 * reserved, until the runner's lease expires. */
void
kq_run_send_start (KqSched *s, KqRun *run, KqTime now)
{
  char name[96];
  KqStr checkpoint = checkpoint_of_start (run);
  KqOrder o = { .kind = KQ_ORDER_START };
  if (run->runner->agent < 0)
    return;
  kq_book_task_name (run, name);
  o.u.start.task = kq_str (name);
  o.u.start.run = run->number;
  o.u.start.text = run->job->spec.text;
  if (checkpoint.len > 0)
    {
      o.u.start.checkpoint = checkpoint;
      run->untimed = true;
    }
  if (run->occurrence != NULL && run->job->spec.advised)
    o.u.start.ticket
        = kq_str (kq_tickets_find (run->occurrence, run->step, run->runner, now));
  ++*s->starts;
  if (!run->start_in_window)
    kq_window_add (&s->window);
  run->start_in_window = true;
  send_order (s, run, &o, now);
}

void
kq_run_send_stop (KqSched *s, KqRun *run, KqTime now)
{
  char name[96];
  KqOrder o = { .kind = KQ_ORDER_STOP };
  if (run->runner->agent < 0)
    return;
  kq_book_task_name (run, name);
  o.u.stop.task = kq_str (name);
  o.u.stop.run = run->number;
  send_order (s, run, &o, now);
}

/* Whether the run of a lasting task is certainly at work, and goes on unless it is
 * stopped. */
static bool
is_at_work (const KqRun *run)
{
  return run->phase == KQ_RUN_RUNNING && run->percent >= 100 && !run->runner->silent
         && !run->runner->host_called;
}

/* Whether the run's task may be away, and with `whole_runner` all tasks of its step on
 * its runner. */
static bool
may_be_away (const KqRun *run, bool whole_runner)
{
  const KqStep *p = kq_run_step (run);
  const KqStepState *st;
  int away = 0;
  if (p->max_unavailable < 0 || run->occurrence == NULL)
    return true;
  st = &run->occurrence->steps[run->step];
  for (int32_t i = 0; i < p->width; i++)
    {
      const KqRun *other = st->tasks[i].run;
      away += other == NULL || other == run || !is_at_work (other)
              || (whole_runner && other->runner == run->runner);
    }
  return away <= p->max_unavailable;
}

bool
kq_run_may_interrupt (const KqRun *run)
{
  return may_be_away (run, false);
}

bool
kq_run_may_end_with_runner (const KqRun *run)
{
  return may_be_away (run, true);
}

void
kq_run_stop (KqSched *s, KqRun *run, const char *why, KqTime now)
{
  char name[96];
  if (run->phase == KQ_RUN_STOPPING)
    return;
  kq_book_task_name (run, name);
  kq_log (KQ_LOG_INFO, PART,
          "Stopping a run. task=%s run=%u runner=%s why=%s percent=%d age_ms=%lld "
          "moved_ms_ago=%lld",
          name, run->number, run->runner->id, why, run->percent,
          (long long)((now - run->placed_at) / KQ_MS),
          (long long)((now - run->last_change_at) / KQ_MS));
  if (run->job->state < KQ_JOB_COMPLETED)
    run->job->spent.stopped++;
  run->phase = KQ_RUN_STOPPING;
  kq_run_send_stop (s, run, now);
}

void
kq_run_set_pace (KqSched *s, KqRun *run, int percent, KqTime now)
{
  char name[96];
  KqOrder o = { .kind = KQ_ORDER_PACE };
  if ((run->pace == percent && !kq_run_pace_is_doubtful (run, now))
      || run->phase != KQ_RUN_RUNNING || run->runner->agent < 0)
    return;
  kq_book_task_name (run, name);
  kq_log (KQ_LOG_DEBUG, PART,
          "Setting the pace of a run. task=%s run=%u runner=%s percent=%d was=%d "
          "heard_ms_ago=%lld",
          name, run->number, run->runner->id, percent, run->pace,
          (long long)((now - run->runner->heard_at) / KQ_MS));
  if (run->pace != percent)
    run->last_change_at = now;
  account_slowed_time (run, percent, now);
  run->pace = percent;
  run->pace_unknown = false;
  if (now >= run->pace_late_until)
    run->pace_late_until = 0;
  run->paced_at = now;
  run->paces_unanswered++;
  o.runner = kq_str (run->runner->id);
  o.u.pace.task = kq_str (name);
  o.u.pace.run = run->number;
  o.u.pace.percent = percent;
  ++*s->pace_orders;
  s->config.order (s->config.arg, run->runner->agent, &o);
}

void
kq_run_set_checkpoint (KqRun *run, KqStr checkpoint)
{
  if (checkpoint.len == 0 || kq_str_eq (run->checkpoint, checkpoint))
    return;
  kq_str_drop (&run->checkpoint);
  run->checkpoint = kq_str_own (checkpoint);
}

void
kq_run_stop_all (KqSched *s, KqJob *j, KqTime now)
{
  for (KqRun *run = j->run_list; run != NULL; run = run->job_next)
    kq_run_stop (s, run, "job ended", now);
}
