#include "sched_soak.h"

#include "sched_rig_impl.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define JOBS_MAX 400
/* After the last fault all jobs have to end within SETTLE_MIN or, with more work left,
 * within SETTLE_MARGIN more than all runners together need for it. */
#define SETTLE_MIN (60 * KQ_SEC)
#define SETTLE_MARGIN (30 * KQ_SEC)
/* Time after the last fault until every lease that isn't renewed any more has expired. */
#define LEASES_EXPIRED_AFTER                                                             \
  ((KQ_SCHED_RIG_RENEW_WITHOUT_LEADER_MS + KQ_SCHED_RIG_LEASE_MS + 1000) * KQ_MS)
/* The longest that a job may have no run while half of the cpu is free. */
#define IDLE_MAX (3 * KQ_SEC)
/* The same holds for a lasting task, whatever else of its job runs, from this time after
 * its last start; and for how long that is checked. */
#define LASTING_IDLE_AFTER (6 * KQ_SEC)
#define LASTING_CHECK (12 * KQ_SEC)
#define CHECK_INTERVAL (100 * KQ_MS)

/* Target values of the delays of an agent's connections. They are approached in steps, as
 * a queue fills: a sudden increase would exceed the heartbeat timeout each time. */
typedef struct
{
  KqTime up;
  KqTime down;
  KqTime calls;
  KqTime from;
  KqTime until;
} LinkDelay;

typedef enum
{
  SUBMIT,
  CANCEL,
  RUNNER_FAULT,
  NEW_LEADER,
  STORE_DOWN,
  LOSE_CALLS,
  DELAY_CALLS,
  UNSENT_CALLS,
  SLOW_LINK,
  CUT_OFF_RUNNER,
  CONGEST,
  CUT_LINK,
  BREAK_LINK,
  RESTART_AGENT,
  FREEZE_AGENT,
  EVENTS
} Event;

/* Relative frequency of each event; always: no seed leaves it out. */
static const struct
{
  int weight;
  bool always;
} event_weights[EVENTS]
    = { [SUBMIT] = { 45, true },        [CANCEL] = { 8, false },
        [RUNNER_FAULT] = { 14, false }, [NEW_LEADER] = { 2, false },
        [STORE_DOWN] = { 4, false },    [LOSE_CALLS] = { 4, false },
        [DELAY_CALLS] = { 3, false },   [UNSENT_CALLS] = { 4, false },
        [SLOW_LINK] = { 8, false },     [CUT_OFF_RUNNER] = { 6, false },
        [CONGEST] = { 4, false },       [CUT_LINK] = { 2, false },
        [BREAK_LINK] = { 2, false },    [RESTART_AGENT] = { 3, false },
        [FREEZE_AGENT] = { 3, false } };

typedef struct
{
  KqSchedRig rig;
  int jobs;
  int weights[EVENTS];
  LinkDelay link_delays[KQ_SCHED_RIG_AGENTS_MAX];
} Soak;

static int
below (Soak *s, int n)
{
  return (int)kq_rand_below (&s->rig.rand, (uint64_t)n);
}

static void
submit (Soak *s)
{
  KqStep steps[3];
  int32_t after[2][1] = { { 0 }, { 1 } };
  char id[16];
  int n = 1 + below (s, 3);
  if (s->jobs == JOBS_MAX)
    return;
  for (int i = 0; i < n; i++)
    {
      steps[i] = kq_sched_rig_step (1 + below (s, 6), 200 + below (s, 1500),
                                    100 + below (s, 900));
      steps[i].filling = below (s, 4) == 0;
      steps[i].checkpoints = below (s, 2) == 0;
      steps[i].per_runner_max = below (s, 5) == 0 ? 2 : 0;
      if (i > 0)
        {
          steps[i].after = after[i - 1];
          steps[i].n_after = 1;
        }
    }
  if (below (s, 8) == 0)
    {
      n = 1;
      steps[0].lasting = true;
    }
  snprintf (id, sizeof id, "j%d", s->jobs++);
  kq_sched_rig_submit (&s->rig, id, steps, n, 1 + below (s, 4),
                       (KqTime)(50 + below (s, 1500)) * KQ_MS,
                       below (s, 12) == 0 ? below (s, 3) : -1);
}

static void
cancel (Soak *s)
{
  char id[16];
  if (s->jobs == 0)
    return;
  snprintf (id, sizeof id, "j%d", below (s, s->jobs));
  kq_sched_rig_cancel (&s->rig, id);
}

static void
inject_runner_fault (Soak *s)
{
  KqSchedRig *r = &s->rig;
  int n = below (s, r->n_runners);
  KqSchedRigRunner *g = &r->runners[n];
  KqTime until = r->now + (KqTime)below (s, 12000) * KQ_MS;
  switch (below (s, 5))
    {
    case 0:
      g->cut_until = until;
      break;
    case 1:
      g->replies_lost_until = until;
      break;
    case 2:
      kq_sched_rig_restart_runner (r, n);
      break;
    case 3:
      g->fails_all = !g->fails_all;
      break;
    default:
      if (g->runs->len > 0)
        ((KqSchedRigRun *)g_ptr_array_index (g->runs, 0))->stalled = true;
      break;
    }
}

static void
new_leader (Soak *s)
{
  KqSchedRig *r = &s->rig;
  kq_sched_rig_new_leader (r);
  for (int i = 0; i < r->n_agents; i++)
    r->agents[i].leader_known_at = r->now + (KqTime)below (s, 1000) * KQ_MS;
}

static void
slow_link (Soak *s, int agent)
{
  LinkDelay *w = &s->link_delays[agent];
  w->from = s->rig.now;
  w->until = s->rig.now + (KqTime)(500 + below (s, 4000)) * KQ_MS;
  w->up = below (s, 3) > 0 ? (KqTime)(200 + below (s, 1300)) * KQ_MS : 0;
  w->down = below (s, 3) > 0 ? (KqTime)(200 + below (s, 1300)) * KQ_MS : 0;
  w->calls = (KqTime)below (s, 450) * KQ_MS;
}

/* Congestion of a link between regions: for a while the agent's calls to the runners
 * behind it get no answer, then late ones, and its messages to the leader are delayed as
 * well. */
static void
congest (Soak *s, int agent)
{
  KqSchedRigAgent *a = &s->rig.agents[agent];
  KqTime span = (KqTime)(1500 + below (s, 3500)) * KQ_MS;
  slow_link (s, agent);
  s->link_delays[agent].from = s->rig.now + span - (KqTime)below (s, 1000) * KQ_MS;
  s->link_delays[agent].until
      = s->rig.now + span + (KqTime)(1000 + below (s, 2000)) * KQ_MS;
  s->link_delays[agent].up = (KqTime)(500 + below (s, 1000)) * KQ_MS;
  for (int i = 0; i < s->rig.n_runners; i++)
    if (below (s, 2) == 0)
      a->cut_until[i] = s->rig.now + span + (KqTime)below (s, 200) * KQ_MS;
}

static void
move_towards (KqTime *at, KqTime to, KqTime step)
{
  if (*at < to)
    *at = *at + step < to ? *at + step : to;
  else
    *at = to;
}

static void
update_link_delays (Soak *s)
{
  for (int i = 0; i < s->rig.n_agents; i++)
    {
      KqSchedRigAgent *a = &s->rig.agents[i];
      LinkDelay *w = &s->link_delays[i];
      KqTime step = (KqTime)(50 + below (s, 600)) * KQ_MS;
      bool on = s->rig.now >= w->from && s->rig.now < w->until;
      move_towards (&a->up_extra_latency, on ? w->up : 0, step);
      move_towards (&a->down_extra_latency, on ? w->down : 0, step);
      a->call_extra_latency = on ? w->calls : 0;
    }
}

static void
restart_agent (Soak *s, int agent)
{
  /* Another share makes the leader move runners between agents. */
  s->rig.agents[agent].info.share_milli = 100 + below (s, 1900);
  kq_sched_rig_stop_agent (&s->rig, agent, (KqTime)below (s, 4000) * KQ_MS,
                           below (s, 2) == 0);
}

static void
inject_agent_fault (Soak *s, Event e)
{
  KqSchedRig *r = &s->rig;
  int agent = below (s, r->n_agents);
  KqSchedRigAgent *a = &r->agents[agent];
  KqTime until = r->now + (KqTime)below (s, 7000) * KQ_MS;
  switch (e)
    {
    case SLOW_LINK:
      slow_link (s, agent);
      break;
    case CUT_OFF_RUNNER:
      a->cut_until[below (s, r->n_runners)] = until;
      break;
    case CONGEST:
      congest (s, agent);
      break;
    case CUT_LINK:
      a->link_cut_until = until;
      break;
    case BREAK_LINK:
      kq_sched_rig_break_link (r, agent, below (s, 3) > 0);
      break;
    case RESTART_AGENT:
      restart_agent (s, agent);
      break;
    default:
      a->frozen_until = until;
      break;
    }
}

static Event
draw_event (Soak *s)
{
  int sum = 0;
  int at;
  int e = 0;
  for (int i = 0; i < EVENTS; i++)
    sum += s->weights[i];
  at = below (s, sum);
  while (at >= s->weights[e])
    at -= s->weights[e++];
  return (Event)e;
}

static void
apply_event (Soak *s)
{
  KqSchedRig *r = &s->rig;
  Event e = draw_event (s);
  switch (e)
    {
    case SUBMIT:
      submit (s);
      break;
    case CANCEL:
      cancel (s);
      break;
    case RUNNER_FAULT:
      inject_runner_fault (s);
      break;
    case NEW_LEADER:
      new_leader (s);
      break;
    case STORE_DOWN:
      r->store_down_until = r->now + (KqTime)below (s, 5000) * KQ_MS;
      break;
    case LOSE_CALLS:
      r->lost_percent = below (s, 30);
      break;
    case DELAY_CALLS:
      r->late_percent = below (s, 20);
      break;
    case UNSENT_CALLS:
      r->unsent_percent = below (s, 40);
      break;
    default:
      inject_agent_fault (s, e);
      break;
    }
  update_link_delays (s);
}

/* Each seed leaves some events out and has others more often. A new leader or a lost
 * agent makes the scheduler wait for nine seconds, and meanwhile no fault can show that
 * needs a lease to expire. */
static void
draw_weights (Soak *s)
{
  static const int factors[] = { 0, 0, 1, 3 };
  for (int i = 0; i < EVENTS; i++)
    s->weights[i]
        = event_weights[i].weight * (event_weights[i].always ? 1 : factors[below (s, 4)]);
}

static void
end_faults (Soak *s)
{
  KqSchedRig *r = &s->rig;
  r->lost_percent = r->late_percent = r->unsent_percent = 0;
  r->store_down_until = 0;
  kq_sched_rig_lift_cordons (r);
  for (int i = 0; i < r->n_agents; i++)
    {
      KqSchedRigAgent *a = &r->agents[i];
      memset (a->cut_until, 0, sizeof a->cut_until);
      a->link_cut_until = a->frozen_until = a->leader_known_at = 0;
      a->up_extra_latency = a->down_extra_latency = a->call_extra_latency = 0;
    }
  for (int i = 0; i < r->n_runners; i++)
    {
      r->runners[i].cut_until = r->runners[i].replies_lost_until = 0;
      r->runners[i].fails_all = false;
    }
}

static bool
job_ended (KqSchedRig *r, const char *id)
{
  KqJobState state = kq_sched_rig_state (r, id);
  return state >= KQ_JOB_COMPLETED && state < KQ_JOB_UNKNOWN;
}

static bool
task_done (const KqSchedRig *r, const char *id, int32_t step, int32_t index)
{
  char key[64];
  snprintf (key, sizeof key, "ever %s.0.%d.%d", id, step, index);
  return g_hash_table_contains (r->done, key);
}

/* The first step with a task that has no run ended as done; -1: none. */
static int32_t
first_open_step (const KqSchedRig *r, const char *id, const KqSpec *spec)
{
  for (int32_t k = 0; k < spec->n_steps; k++)
    for (int32_t i = 0; i < spec->steps[k].width; i++)
      if (!task_done (r, id, k, i))
        return k;
  return -1;
}

/* Time that all runners together need for the tasks that aren't done. */
static KqTime
work_left (Soak *s)
{
  KqSchedRig *r = &s->rig;
  int64_t room = 0;
  int64_t work = 0; /* cpu_milli times KqTime */
  for (int i = 0; i < r->n_runners; i++)
    room += r->runners[i].room.cpu_milli;
  for (int n = 0; n < s->jobs; n++)
    {
      char id[16];
      const KqSchedRigJob *j;
      snprintf (id, sizeof id, "j%d", n);
      j = g_hash_table_lookup (r->jobs, id);
      if (job_ended (r, id) || kq_spec_lasting (&j->spec))
        continue;
      for (int32_t k = 0; k < j->spec.n_steps; k++)
        for (int32_t i = 0; i < j->spec.steps[k].width; i++)
          if (!j->spec.steps[k].filling && !task_done (r, id, k, i))
            work += j->spec.steps[k].cpu_milli * j->length;
    }
  assert (room > 0);
  return work / room;
}

/* Whether less than half of the cpu is reserved and two tasks of the step fit. */
static bool
fits_twice (const KqSchedRig *r, const KqStep *step)
{
  int64_t used = 0;
  int64_t room = 0;
  int64_t fits = 0;
  for (int i = 0; i < r->n_runners; i++)
    {
      int64_t cpu = kq_sched_rig_cpu_used (r, &r->runners[i]);
      used += cpu;
      room += r->runners[i].room.cpu_milli;
      fits += (r->runners[i].room.cpu_milli - cpu) / step->cpu_milli;
    }
  return used < room / 2 && fits >= 2;
}

/* idle_since: since when each job has had no run although its next step fits; 0: it has
 * one, or the step doesn't fit. */
static void
check_idle (Soak *s, KqTime *idle_since)
{
  KqSchedRig *r = &s->rig;
  for (int n = 0; n < s->jobs; n++)
    {
      char id[16];
      const KqSchedRigJob *j;
      int32_t step;
      snprintf (id, sizeof id, "j%d", n);
      j = g_hash_table_lookup (r->jobs, id);
      step = job_ended (r, id) ? -1 : first_open_step (r, id, &j->spec);
      if (step < 0 || kq_sched_rig_running (r, id) > 0
          || !fits_twice (r, &j->spec.steps[step]))
        idle_since[n] = 0;
      else if (idle_since[n] == 0)
        idle_since[n] = r->now;
      else if (r->now - idle_since[n] > IDLE_MAX)
        {
          kq_sched_rig_breach (r, "waits beside free room", id);
          idle_since[n] = r->now;
        }
    }
}

/* Whether the task has been away for LASTING_IDLE_AFTER: it doesn't run, and hasn't been
 * started since. */
static bool
task_is_away (const KqSchedRig *r, const char *task)
{
  int started_ms = GPOINTER_TO_INT (g_hash_table_lookup (r->last_start_ms, task));
  for (int i = 0; i < r->n_runners; i++)
    for (guint k = 0; k < r->runners[i].runs->len; k++)
      if (strcmp (((KqSchedRigRun *)g_ptr_array_index (r->runners[i].runs, k))->task,
                  task)
          == 0)
        return false;
  return r->now / KQ_MS - started_ms > LASTING_IDLE_AFTER / KQ_MS;
}

/* idle_since: since when a task of each lasting job has been away although two more fit;
 * 0: none is, or they don't fit. */
static void
check_lasting (Soak *s, KqTime *idle_since)
{
  KqSchedRig *r = &s->rig;
  for (int n = 0; n < s->jobs; n++)
    {
      char id[16];
      const KqSchedRigJob *j;
      const KqStep *step;
      bool away = false;
      snprintf (id, sizeof id, "j%d", n);
      j = g_hash_table_lookup (r->jobs, id);
      step = &j->spec.steps[0];
      for (int32_t i = 0; step->lasting && i < step->width; i++)
        {
          char task[32];
          snprintf (task, sizeof task, "%s.0.0.%d", id, i);
          away = away || task_is_away (r, task);
        }
      if (!away || step->per_runner_max > 0 || job_ended (r, id) || !fits_twice (r, step))
        idle_since[n] = 0;
      else if (idle_since[n] == 0)
        idle_since[n] = r->now;
      else if (r->now - idle_since[n] > IDLE_MAX)
        {
          kq_sched_rig_breach (r, "lasting task waits beside free room", id);
          idle_since[n] = r->now;
        }
    }
}

/* Before the lasting jobs are cancelled. */
static void
settle_lasting (Soak *s)
{
  KqTime idle_since[JOBS_MAX] = { 0 };
  KqTime lasting_idle_since[JOBS_MAX] = { 0 };
  KqTime from = s->rig.now;
  while (s->rig.now < from + LEASES_EXPIRED_AFTER + LASTING_CHECK)
    {
      kq_sched_rig_run (&s->rig, CHECK_INTERVAL);
      if (s->rig.now - from <= LEASES_EXPIRED_AFTER)
        continue;
      check_idle (s, idle_since);
      check_lasting (s, lasting_idle_since);
    }
}

static void
settle (Soak *s)
{
  KqTime idle_since[JOBS_MAX] = { 0 };
  KqTime needed = work_left (s) + SETTLE_MARGIN;
  KqTime until = s->rig.now + (needed > SETTLE_MIN ? needed : SETTLE_MIN);
  while (s->rig.now < until)
    {
      kq_sched_rig_run (&s->rig, CHECK_INTERVAL);
      check_idle (s, idle_since);
    }
}

/* Nothing may be believed to run, or to be on its way, when all jobs have ended. */
static void
check_nothing_left (Soak *s)
{
  static const char *const gauges[] = { "kq_runs_alive", "kq_run_starts_under_way" };
  KqSchedRig *r = &s->rig;
  kq_sched_gauges (r->sched);
  for (size_t i = 0; i < sizeof gauges / sizeof gauges[0]; i++)
    if (*kq_counter (r->counters, gauges[i], "", "") != 0)
      kq_sched_rig_breach (r, "is not 0 at the end", gauges[i]);
}

/* After the last fault every job has to end. */
static void
check_end (Soak *s)
{
  KqSchedRig *r = &s->rig;
  for (int i = 0; i < s->jobs; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "j%d", i);
      if (job_ended (r, id))
        continue;
      if (r->breaches++ == 0)
        snprintf (r->first_breach, sizeof r->first_breach,
                  "never ended: %s is %s, %d running", id,
                  kq_job_state_name (kq_sched_rig_state (r, id)),
                  kq_sched_rig_running (r, id));
      if (getenv ("KQ_RIG_TRACE") != NULL)
        {
          KqBuf b = { 0 };
          kq_sched_explain (r->sched, kq_str (id), r->now, &b);
          fprintf (stderr, "%s", b.ptr);
          kq_buf_free (&b);
        }
    }
}

int
kq_sched_soak (uint64_t seed, int steps, unsigned plays, char *why, int why_size)
{
  Soak *s = kq_alloc (sizeof *s);
  KqRoom room = { 4000, 6000, 0 };
  int broken;
  kq_sched_rig_init (&s->rig, 6 + (int)(seed % 8), room, seed);
  for (int i = 1 + below (s, 3); i > 0; i--)
    kq_sched_rig_add_agent (&s->rig);
  draw_weights (s);
  s->rig.plays = plays;
  for (int i = 0; i < steps; i++)
    {
      apply_event (s);
      kq_sched_rig_draw_cordon (&s->rig);
      kq_sched_rig_run (&s->rig, (KqTime)(10 + below (s, 250)) * KQ_MS);
    }
  end_faults (s);
  settle_lasting (s);
  for (int i = 0; i < s->jobs; i++)
    {
      /* Lasting jobs never end and would keep the others waiting. */
      char id[16];
      const KqSchedRigJob *j;
      snprintf (id, sizeof id, "j%d", i);
      j = g_hash_table_lookup (s->rig.jobs, id);
      if (kq_spec_lasting (&j->spec))
        kq_sched_rig_cancel (&s->rig, id);
    }
  settle (s);
  check_end (s);
  check_nothing_left (s);
  broken = s->rig.breaches;
  snprintf (why, (size_t)why_size, "%s", s->rig.first_breach);
  kq_sched_rig_clear (&s->rig);
  free (s);
  return broken;
}
