/* place: decides which runners may take a task, and scores them.
 *
 * A runner must have room for the task. Room that tasks reserve is never exceeded: it
 * counts as reserved from the start order until the runner reports that the run has
 * ended. Filling tasks reserve memory and accelerators but no cpu; they use the cpu that
 * other tasks leave unused. Work is spread over the runners, since a filling task is as
 * fast as the cpu left to it, and the loss of one runner then costs each job little. */

#include "sched/place.h"
#include "sched/harm.h"

#include <stdlib.h>
#include <string.h>

/* Share of their reserved cpu that serving tasks are assumed to use, about what they use
 * at their peak: reports show 42% on average, and the load varies by half of that. */
#define SERVING_USE_PERCENT 60
/* Weights of a runner's score. A score is in units of the runner's whole cpu. */
#define W_OTHER_RACK 1.0 /* the step's data is on another rack */
#define W_SLOW 0.6       /* times the excess of its tasks' run times over the mean */
#define W_FAILS 0.25     /* times the decaying count of failed tasks there */
#define W_UNRELIABLE 1.0 /* many of the last tasks there have failed */
/* A runner counts as slow if its tasks take this many times as long as the mean over all
 * runners. Estimates of run times are off by half, so smaller differences say nothing. */
#define SLOW_RATIO_MIN 1.3
/* The mean is taken to be at least this, as it is divided by. */
#define SLOWNESS_MEAN_MIN 0.1
/* Subtracted for each unit of slack (target divided by tail) that a serving task would
 * lose to the filling tasks there. */
#define W_SLACK_LOSS 0.5
/* Serving tasks of the same image are placed together. A filling image disturbs one or
 * two serving images out of several, so a runner with few serving images suits more
 * filling tasks. */
#define W_SAME_IMAGE 0.6
/* Serving tasks of the same step are placed together as well: their load rises and falls
 * at the same time, which leaves time in between for filling tasks that disturb them. */
#define W_SAME_STEP 1.5
/* Filling tasks that may run beside lasting tasks go there, and leave runners without
 * lasting tasks to those that may not. */
#define W_NO_LASTING 0.4
/* Tasks that end by themselves and reserve their cpu don't disturb serving tasks: they go
 * beside these and leave the other runners to filling tasks. */
#define W_BESIDE_SERVING 0.5
/* Lasting tasks are packed: unused cpu counts against a runner. */
#define W_LASTING_UNUSED 0.4
/* A filling task starts only where it can work at this share of its full speed at least.
 */
#define START_SPEED_MIN 0.2
/* After waiting for this many times its estimated length a filling task accepts half of
 * its full speed. Tasks that start at once where they are slowed push tail latencies over
 * their targets until the first report. */
#define HALF_SPEED_WAIT_LENGTHS 30
/* A step is starved if it has waited for this long and about half of the room is free,
 * though nothing of its job runs, or its tasks are lasting ones. Most limits on placing
 * its filling and lasting tasks are then dropped. */
#define STARVED_AFTER (2 * KQ_SEC)
/* A run whose runner hasn't listed its runs for this long may have ended. Lists come at
 * least every 2 s. */
#define HEARD_WITHIN (3500 * KQ_MS)

int64_t
kq_place_left_to_filling (const KqRunnerState *r)
{
  return r->room.cpu_milli - (r->used.cpu_milli - r->serving_milli)
         - r->serving_milli * SERVING_USE_PERCENT / 100 - r->filling_milli;
}

/* Whether a task of the step fits beside what is reserved, and, for a filling task,
 * whether enough cpu is unused. A starved job's filling task may go beside others without
 * unused cpu. */
static bool
fits_now (const KqRunnerState *r, const KqStep *p, bool starved)
{
  if (r->used.mem_mb + p->mem_mb > r->room.mem_mb
      || r->used.gpus + p->gpus > r->room.gpus)
    return false;
  if (!p->filling)
    return r->used.cpu_milli + p->cpu_milli <= r->room.cpu_milli;
  return starved
         || kq_place_left_to_filling (r)
                >= (int64_t)p->cpu_milli * KQ_PLACE_FILLING_UNUSED_MIN_PERCENT / 100;
}

bool
kq_place_fits_starved (const KqRunnerState *r, const KqStep *p)
{
  return fits_now (r, p, true);
}

bool
kq_place_fits_when_empty (const KqRunnerState *r, const KqStep *p)
{
  return p->mem_mb <= r->room.mem_mb && p->gpus <= r->room.gpus
         && (p->filling || p->cpu_milli <= r->room.cpu_milli);
}

bool
kq_place_has_label (const KqRunnerState *r, KqStr label)
{
  return label.len == 0 || kq_str_eq (label, kq_str (r->kind))
         || kq_str_eq (label, kq_str (r->rack));
}

static int
count_step_runs (const KqRunnerState *r, const KqOccurrence *o, int32_t step)
{
  int n = 0;
  for (const KqRun *run = r->runs; run != NULL; run = run->next)
    n += run->job == o->job && run->step == step && run->occurrence_number == o->number;
  return n;
}

/* Whether the entry was written by the process that lists the runs: a runner that starts
 * again under its id may be of another kind. Its room stays the same. */
static bool
names_present_kind (const KqRunnerState *r)
{
  return r->started_ms == 0 || r->entry_started_ms == 0
         || r->started_ms == r->entry_started_ms;
}

/* Whether the runner takes tasks at all now. A starved step may use suspect runners: if
 * all are suspect, the tasks that failed there are the likely cause. If it ends by itself
 * it may also use hosts that can't go down for maintenance. */
static KqPlaceAnswer
answer_of_runner (const KqRunnerState *r, const KqStep *p, bool starved, KqTime now)
{
  bool leaving = r->host_leaving && !(r->host_waits && starved && !p->lasting);
  if (!r->in_store || r->entry_unusable || (p->label.len > 0 && !names_present_kind (r)))
    return KQ_PLACE_NO_ENTRY;
  if (!r->in_stored_list)
    return KQ_PLACE_NOT_STORED;
  if (r->agent < 0)
    return KQ_PLACE_NO_AGENT;
  if (r->silent)
    return KQ_PLACE_SILENT;
  if (!r->listed)
    return KQ_PLACE_NOT_LISTED;
  if (r->has_unknown_run)
    return KQ_PLACE_UNKNOWN_RUN;
  if (r->draining || leaving)
    return KQ_PLACE_LEAVING;
  if (r->cordoned || now < r->cordon_told_until)
    return KQ_PLACE_CORDONED;
  if (now < r->suspect_until && !starved)
    return KQ_PLACE_SUSPECT;
  return now < r->unsent_until ? KQ_PLACE_UNSENT : KQ_PLACE_TAKES;
}

bool
kq_place_is_usable (const KqRunnerState *r, KqTime now)
{
  static const KqStep any = { 0 };
  return answer_of_runner (r, &any, false, now) == KQ_PLACE_TAKES;
}

/* Share of the runner's serving tasks that have another image, less the share that have
 * the same one; -1 to 1. */
static double
other_image_share (const KqRunnerState *r, int image)
{
  double same = r->serving_images[image];
  return r->n_serving > 0 ? (r->n_serving - 2 * same) / r->n_serving : 0;
}

/* Share of the runner's serving tasks that belong to the same step. */
static double
same_step_share (const KqRunnerState *r, const KqOccurrence *o, int32_t step)
{
  return r->n_serving > 0 ? (double)count_step_runs (r, o, step) / r->n_serving : 0;
}

/* The part of the score that depends on the kind of the task. */
static double
score_by_kind (const KqSched *s, const KqRunnerState *r, const KqOccurrence *o,
               int32_t step)
{
  const KqStep *p = &o->job->spec.steps[step];
  int image = o->job->images[step];
  double whole = r->room.cpu_milli > 0 ? (double)r->room.cpu_milli : 1;
  double unused = (double)(r->room.cpu_milli - r->used.cpu_milli) / whole;
  if (p->filling)
    return (double)kq_place_left_to_filling (r) / whole
           - (r->n_lasting == 0 ? W_NO_LASTING : 0);
  if (p->target_ms > 0)
    return -W_LASTING_UNUSED * unused
           - W_SLACK_LOSS * kq_harm_loss_by_runner (s, r, image)
           - W_SAME_IMAGE * other_image_share (r, image)
           + W_SAME_STEP * same_step_share (r, o, step);
  if (p->lasting)
    return -W_LASTING_UNUSED * unused;
  return unused + (r->n_serving > 0 ? W_BESIDE_SERVING : 0);
}

/* The part of the score that is subtracted for every kind of task. */
static double
score_penalty (const KqSched *s, const KqRunnerState *r, const KqOccurrence *o,
               int32_t step)
{
  const KqStep *p = &o->job->spec.steps[step];
  const KqStepState *st = &o->steps[step];
  double mean
      = s->slowness_mean > SLOWNESS_MEAN_MIN ? s->slowness_mean : SLOWNESS_MEAN_MIN;
  double slow = r->slowness / mean;
  double sum = W_FAILS * r->failed_count;
  if (kq_runners_is_unreliable (r, r->heard_at))
    sum += W_UNRELIABLE;
  if (slow > SLOW_RATIO_MIN)
    sum += W_SLOW * (slow - 1);
  if (p->rack.len > 0 && !kq_str_eq (p->rack, kq_str (r->rack)))
    sum += W_OTHER_RACK;
  if (st->rack[0] != '\0' && strcmp (st->rack, r->rack) != 0)
    sum += W_OTHER_RACK;
  return sum;
}

double
kq_place_score (const KqSched *s, const KqRunnerState *r, const KqOccurrence *o,
                int32_t step)
{
  return score_by_kind (s, r, o, step) - score_penalty (s, r, o, step);
}

/* Runs of a job whose start was ordered up to STARVED_AFTER ago, and earlier ones. One
 * whose start hasn't been ordered is that of a gang which is being placed: all of it must
 * be placed in the same way. */
typedef struct
{
  int recent;
  int earlier;
} RunCounts;

static RunCounts
count_runs (const KqJob *j, KqTime now)
{
  RunCounts n = { 0 };
  for (const KqRun *run = j->run_list; run != NULL; run = run->job_next)
    if (run->retry_at != 0 && now - run->placed_at <= STARVED_AFTER)
      n.recent++;
    else if (run->retry_at != 0)
      n.earlier++;
  return n;
}

/* Whether something of the job runs, as far as is known. A run whose start was ordered
 * some time ago and has no answer may not exist. */
static bool
is_at_work (const KqJob *j, KqTime now)
{
  for (const KqRun *run = j->run_list; run != NULL; run = run->job_next)
    if (run->running_at != 0 && now - run->runner->heard_at <= HEARD_WITHIN)
      return true;
  return count_runs (j, now).recent > 0;
}

/* Whether a lasting task of the step that has run before has waited for STARVED_AFTER. */
static bool
is_starved_as_lost (const KqStepState *st, KqTime now)
{
  return st->lost_since != 0 && now - st->lost_since >= STARVED_AFTER;
}

bool
kq_place_is_starved (const KqOccurrence *o, int32_t step, bool lost, KqTime now)
{
  const KqStep *p = &o->job->spec.steps[step];
  KqTime since = o->steps[step].waits_since;
  RunCounts n;
  if (since == 0 || now - since <= STARVED_AFTER || !kq_pools_is_half_free (o->job->pool))
    return false;
  if (!p->lasting)
    return !is_at_work (o->job, now);
  /* What a lost lasting task does to serving tasks is known from its earlier run. Placed
   * in growing numbers, the fifth of five tasks that were lost together waited for 6 s.
   */
  if (lost && is_starved_as_lost (&o->steps[step], now))
    return true;
  /* Each lasting filling task may disturb serving tasks, which the next reports tell: as
   * many are placed at a time as have run since the last ones, and one at first. */
  n = count_runs (o->job, now);
  return !p->filling || n.recent == 0 || n.recent < n.earlier;
}

double
kq_place_speed_required (const KqOccurrence *o, int32_t step, bool lost, KqTime now)
{
  const KqStepState *st = &o->steps[step];
  double half_speed_wait
      = HALF_SPEED_WAIT_LENGTHS * (double)o->job->spec.steps[step].estimate_ms * KQ_MS;
  double waited = st->waits_since != 0 ? (double)(now - st->waits_since) : 0;
  double required
      = half_speed_wait > 0 ? half_speed_wait / (half_speed_wait + waited) : 0;
  if (kq_place_is_starved (o, step, lost, now))
    return 0;
  return required > START_SPEED_MIN ? required : START_SPEED_MIN;
}

KqPlaceAnswer
kq_place_ask (const KqSched *s, KqRunnerState *r, const KqOccurrence *o, int32_t step,
              bool lost, KqTime now)
{
  const KqStep *p = &o->job->spec.steps[step];
  int image = o->job->images[step];
  bool starved = kq_place_is_starved (o, step, lost, now);
  KqPlaceAnswer a = r->pool != o->job->pool ? KQ_PLACE_OTHER_SERVICE
                                            : answer_of_runner (r, p, starved, now);
  if (a != KQ_PLACE_TAKES)
    return a;
  if (!fits_now (r, p, starved))
    return KQ_PLACE_NO_ROOM;
  if (!kq_place_has_label (r, p->label))
    return KQ_PLACE_LABEL;
  if (p->per_runner_max > 0 && count_step_runs (r, o, step) >= p->per_runner_max)
    return KQ_PLACE_PER_RUNNER;
  if (p->lasting && !p->filling && !lost && !starved && !kq_pools_may_place_lasting (r))
    return KQ_PLACE_KEPT_FREE;
  /* Beside a serving task over its target a starved step's task is set to pace 0. */
  if (p->filling && !starved && r->n_serving > 0 && kq_harm_closed_to_filling (s, r, now))
    return KQ_PLACE_OVER_TARGET;
  if (p->filling
      && kq_harm_allowed_speed (s, r, image, p->cpu_milli, now)
             < kq_place_speed_required (o, step, lost, now))
    return KQ_PLACE_TOO_SLOW;
  if (!kq_large_tasks_may_use (r, o, step, lost, starved, now))
    return KQ_PLACE_RESERVED;
  return KQ_PLACE_TAKES;
}

const char *
kq_place_answer_name (KqPlaceAnswer a)
{
  static const char *const names[KQ_PLACE_ANSWERS]
      = { "takes",     "other_service", "no_entry",    "not_stored", "no_agent",
          "silent",    "not_listed",    "unknown_run", "leaving",    "cordoned",
          "suspect",   "unsent",        "no_room",     "label",      "per_runner",
          "kept_free", "over_target",   "too_slow",    "reserved" };
  return names[a];
}

bool
kq_place_may_take (const KqSched *s, KqRunnerState *r, const KqOccurrence *o,
                   int32_t step, bool lost, KqTime now)
{
  return kq_place_ask (s, r, o, step, lost, now) == KQ_PLACE_TAKES;
}

typedef struct
{
  KqRunnerState *runner;
  double score;
} Candidate;

static int
compare_scores (const void *a, const void *b)
{
  double x = ((const Candidate *)a)->score;
  double y = ((const Candidate *)b)->score;
  return x > y ? -1 : x < y;
}

int32_t
kq_place_candidates (KqSched *s, const KqOccurrence *o, int32_t step, KqTime now,
                     KqRunnerState **out, int32_t max)
{
  Candidate *list = kq_alloc (((size_t)s->runner_list->len + 1) * sizeof *list);
  int32_t n = 0;
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (kq_place_may_take (s, r, o, step, o->steps[step].lost_since != 0, now))
        list[n++] = (Candidate){ r, kq_place_score (s, r, o, step) };
    }
  qsort (list, (size_t)n, sizeof *list, compare_scores);
  n = n < max ? n : max;
  for (int32_t i = 0; i < n; i++)
    out[i] = list[i].runner;
  free (list);
  return n;
}

bool
kq_place_any_fits (const KqSched *s, const KqSpec *spec, int32_t step)
{
  const KqStep *p = &spec->steps[step];
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (kq_str_eq (kq_str (r->service), spec->service)
          && kq_place_fits_when_empty (r, p) && kq_place_has_label (r, p->label))
        return true;
    }
  return false;
}
