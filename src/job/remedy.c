#include "job/remedy.h"

/* A remedy is sought for a service that is more than a quarter slower than undisturbed. A
 * service that is less than a twelfth slower is calm. The noise of reports, about 5
 * percent, fits between the two. */
#define SLOWDOWN_HIGH 1.25
#define SLOWDOWN_LOW 1.08
#define REPORTS_MIN 2 /* reports about a service before its slowdown counts */
#define SMOOTHING 0.5 /* weight of the newest report */
#define CALM_TIME (30 * KQ_SEC)
/* A task that started less than this time ago isn't throttled or moved: the reports may
 * be about the time before its start. */
#define SETTLE_TIME (20 * KQ_SEC)
/* A task that adds less slowdown isn't throttled or moved: the remedy would cost more
 * than it gains. */
#define HARM_MIN 0.02

static const int throttle_steps_percent[] = { 100, 50, 25 };
#define LAST_STEP_PERCENT 25

void
kq_remedy_record_slowdown (KqWorker *w, KqJob *service, double slowdown, KqTime at)
{
  if (at <= w->remedy_at)
    return;
  if (service->slow_reports++ == 0)
    service->smoothed_slowdown = slowdown;
  else
    service->smoothed_slowdown += SMOOTHING * (slowdown - service->smoothed_slowdown);
}

void
kq_remedy_applied (KqWorker *w, KqTime now)
{
  w->remedy_at = w->calm_since = now;
  for (KqJob *job = w->jobs; job != NULL; job = job->next_on_worker)
    job->slow_reports = 0;
}

static KqJob *
worst_service (const KqWorker *w)
{
  KqJob *worst = NULL;
  for (KqJob *job = w->jobs; job != NULL; job = job->next_on_worker)
    if (job->service && job->slow_reports >= REPORTS_MIN
        && (worst == NULL || job->smoothed_slowdown > worst->smoothed_slowdown))
      worst = job;
  return worst;
}

static bool
may_throttle_or_move (const KqJob *job, KqTime now)
{
  return !job->service && job->phase == KQ_JOB_PHASE_RUNNING && !job->cancel_wanted
         && now - job->assigned_at >= SETTLE_TIME;
}

/* The batch task to act on: the one that slows the victim most; NULL if none does
 * notably. To throttle (`movable` false): at the tasks' present throttles, without tasks
 * at the last step. To move (`movable` true): as if unthrottled, only tasks that may be
 * moved. */
static KqJob *
worst_neighbour (const KqWorker *w, const KqJob *victim, const KqInterference *f,
                 bool movable, int64_t evictions_max, KqTime now)
{
  int band = kq_load_band (w->used.cpu_milli, w->capacity.cpu_milli);
  KqJob *worst = NULL;
  double worst_harm = HARM_MIN;
  for (KqJob *job = w->jobs; job != NULL; job = job->next_on_worker)
    {
      double harm;
      if (!may_throttle_or_move (job, now))
        continue;
      if (movable && (!job->movable || (int64_t)job->evictions >= evictions_max))
        continue;
      harm = kq_interference_pair (f, victim->class_index, job->class_index, band);
      if (!movable)
        harm *= job->throttle_percent > LAST_STEP_PERCENT ? job->throttle_percent / 100.0
                                                          : 0;
      if (harm > worst_harm)
        {
          worst = job;
          worst_harm = harm;
        }
    }
  return worst;
}

static int
next_throttle_step (int percent, int direction)
{
  int n = sizeof throttle_steps_percent / sizeof throttle_steps_percent[0];
  for (int i = 0; i < n; i++)
    if (throttle_steps_percent[i] == percent && i + direction >= 0 && i + direction < n)
      return throttle_steps_percent[i + direction];
  return percent;
}

static KqRemedy
choose_for_victim (const KqWorker *w, const KqJob *victim, const KqInterference *f,
                   const KqPolicyRow *policy, KqTime now)
{
  KqJob *job = NULL;
  if (policy->throttle)
    job = worst_neighbour (w, victim, f, false, 0, now);
  if (job != NULL)
    return (KqRemedy){ KQ_REMEDY_THROTTLE, job,
                       next_throttle_step (job->throttle_percent, 1) };
  if (policy->eviction)
    job = worst_neighbour (w, victim, f, true, policy->evictions_max, now);
  if (job != NULL)
    return (KqRemedy){ KQ_REMEDY_MOVE, job, 100 };
  return (KqRemedy){ KQ_REMEDY_NONE, NULL, 0 };
}

static KqRemedy
choose_throttle_to_lift (const KqWorker *w)
{
  KqJob *oldest = NULL;
  for (KqJob *job = w->jobs; job != NULL; job = job->next_on_worker)
    if (job->throttle_percent < 100 && job->phase == KQ_JOB_PHASE_RUNNING
        && (oldest == NULL || job->throttle_at < oldest->throttle_at))
      oldest = job;
  if (oldest == NULL)
    return (KqRemedy){ KQ_REMEDY_NONE, NULL, 0 };
  return (KqRemedy){ KQ_REMEDY_THROTTLE, oldest,
                     next_throttle_step (oldest->throttle_percent, -1) };
}

KqRemedy
kq_remedy_choose (KqWorker *w, const KqInterference *f, const KqPolicyRow *policy,
                  KqTime now)
{
  const KqJob *victim = worst_service (w);
  if (victim != NULL && victim->smoothed_slowdown > SLOWDOWN_HIGH)
    {
      w->calm_since = now;
      return choose_for_victim (w, victim, f, policy, now);
    }
  if (victim != NULL && victim->smoothed_slowdown > SLOWDOWN_LOW)
    w->calm_since = now;
  if (now - w->calm_since < CALM_TIME)
    return (KqRemedy){ KQ_REMEDY_NONE, NULL, 0 };
  return choose_throttle_to_lift (w);
}
