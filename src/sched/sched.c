#include "sched/advice_times.h"
#include "sched/cordoning.h"
#include "sched/grantors.h"
#include "sched/job_bytes.h"
#include "sched/job_load.h"
#include "sched/load_pass.h"
#include "sched/maintenance.h"
#include "sched/reports.h"

#include "wire/pack.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time between checks of runs, leases, agents and waves. */
#define CHECK_INTERVAL (250 * KQ_MS)

const char *
kq_job_state_name (KqJobState s)
{
  static const char *const names[]
      = { "waiting", "running", "completed", "failed", "cancelled", "unknown" };
  return names[s];
}

static uint64_t *
stop_counter (KqCounters *c, const char *why)
{
  char labels[64];
  snprintf (labels, sizeof labels, "why=\"%s\"", why);
  return kq_counter (c, "kq_run_stops_total", labels, "Runs stopped, by reason.");
}

static uint64_t *
advice_counter (KqCounters *c, int result)
{
  static const char *const labels[]
      = { "result=\"ok\"", "result=\"busy\"", "result=\"no_answer\"" };
  const char *label = labels[result];
  return kq_counter (c, "kq_advice_total", label,
                     "Answers of the advice service, by result.");
}

static void
make_counters (KqSched *s)
{
  KqCounters *c = s->config.counters;
  char labels[64];
  for (int i = 0; i < 6; i++)
    {
      snprintf (labels, sizeof labels, "how=\"%s\"", kq_end_reason_name ((KqEndReason)i));
      s->ends[i]
          = kq_counter (c, "kq_run_ends_total", labels, "Ends of runs, as listed.");
    }
  for (int i = 0; i < 10; i++)
    {
      snprintf (labels, sizeof labels, "result=\"%s\"",
                kq_order_result_name ((KqOrderResult)i));
      s->results[i] = kq_counter (c, "kq_run_orders_total", labels,
                                  "Orders to runners, by how they ended.");
    }
  s->starts = kq_counter (c, "kq_run_starts_total", "", "Start orders given.");
  s->runners_examined
      = kq_counter (c, "kq_place_looks_total", "", "Runners looked at to place tasks.");
  s->first_start = kq_histogram (c, "kq_job_first_start_ms", "",
                                 "From a job's acceptance to its first start.");
  s->job_time = kq_histogram (c, "kq_job_ms", "", "From a job's acceptance to its end.");
  s->start_answer = kq_histogram (c, "kq_run_start_answer_ms", "",
                                  "From a start order to the runner's word.");
  s->runs_lost
      = kq_counter (c, "kq_runs_lost_total", "", "Runs that ended without a word.");
  s->stops_stalled = stop_counter (c, "stands_still");
  s->stops_drain = stop_counter (c, "runner_leaves");
  s->leases_expired = kq_counter (c, "kq_runner_lapses_total", "",
                                  "Runners whose lease ended while they were silent.");
  s->no_room
      = kq_counter (c, "kq_run_no_room_total", "", "Starts refused for want of room.");
  s->pace_orders = kq_counter (c, "kq_run_paces_total", "", "Changes of a task's pace.");
  for (int i = 0; i <= KQ_ADVICE_UNKNOWN; i++)
    s->advices[i] = advice_counter (c, i);
  s->returns = kq_counter (c, "kq_admission_returns_total", "",
                           "Jobs that came back after a refusal for load.");
}

static void
free_job (gpointer j)
{
  kq_book_job_free (j);
}

static void
free_runner (gpointer r)
{
  kq_runners_free (r);
}

KqSched *
kq_sched_new (const KqSchedConfig *c, KqTime now)
{
  KqSched *s = kq_alloc (sizeof *s);
  s->config = *c;
  s->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, free, free_job);
  s->runners = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_runner);
  s->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  s->runner_list = g_ptr_array_new ();
  s->pools = kq_pools_new ();
  s->uncounted = g_ptr_array_new ();
  s->batch = g_ptr_array_new ();
  s->waves = kq_maintenance_new_waves ();
  kq_agents_init (&s->agents);
  s->grantors = kq_grantors_new ();
  s->granted_until = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  s->refusals = kq_refusals_new ();
  s->advice_times = kq_advice_times_new_table ();
  s->grantors_complete = c->term <= 1; /* there was no leader before */
  s->started_at = s->next_check_at = s->stored_at = now;
  s->store_due = s->exclusive_until = KQ_TIME_NEVER;
  s->slowness_mean = 1;
  s->disturb = kq_disturb_new ();
  s->estimates = c->features.learned_estimates ? kq_estimates_new () : NULL;
  kq_window_init (&s->window);
  kq_window_init (&s->list_window);
  make_counters (s);
  return s;
}

void
kq_sched_free (KqSched *s)
{
  if (s == NULL)
    return;
  g_hash_table_destroy (s->runners);
  g_hash_table_destroy (s->jobs);
  g_hash_table_destroy (s->hosts);
  g_ptr_array_free (s->runner_list, TRUE);
  g_ptr_array_free (s->pools, TRUE);
  g_ptr_array_free (s->uncounted, TRUE);
  g_ptr_array_free (s->batch, TRUE);
  g_ptr_array_free (s->waves, TRUE);
  kq_agents_clear (&s->agents);
  g_hash_table_destroy (s->grantors);
  g_hash_table_destroy (s->granted_until);
  kq_disturb_free (s->disturb);
  kq_estimates_free (s->estimates);
  kq_refusals_free (s->refusals);
  g_hash_table_destroy (s->advice_times);
  free (s);
}

void
kq_sched_set_exclusive_until (KqSched *s, KqTime until)
{
  s->exclusive_until = until;
  s->pass_needed = s->pass_needed || s->job_held_back;
  s->job_held_back = false;
}

/* Sets the number of each step's image in the disturbance model; adds new images to it.
 */
static void
set_images (KqSched *s, KqJob *j)
{
  j->images = kq_alloc ((size_t)j->spec.n_steps * sizeof *j->images);
  for (int32_t i = 0; i < j->spec.n_steps; i++)
    {
      const KqStep *p = &j->spec.steps[i];
      j->images[i] = p->filling         ? kq_disturb_filling (s->disturb, p->image)
                     : p->target_ms > 0 ? kq_disturb_serving (s->disturb, p->image)
                                        : -1;
    }
}

/* The kind of the tasks of the job's first step, for logs. */
static const char *
job_kind (const KqSpec *p)
{
  if (p->steps[0].filling)
    return "filling";
  if (p->steps[0].target_ms > 0)
    return "serving";
  return p->steps[0].lasting ? "lasting" : "reserved";
}

static int32_t
count_tasks (const KqSpec *p)
{
  int32_t n = 0;
  for (int32_t i = 0; i < p->n_steps; i++)
    n += p->steps[i].width;
  return n;
}

/* The cpu of the job's largest task. */
static int32_t
largest_task_milli (const KqSpec *p)
{
  int32_t most = 0;
  for (int32_t i = 0; i < p->n_steps; i++)
    if (p->steps[i].cpu_milli > most)
      most = p->steps[i].cpu_milli;
  return most;
}

/* Notes whether the job has come back after a refusal, or is a newcomer of its kind. */
static void
note_arrival (KqSched *s, KqJob *j, KqTime now)
{
  KqJobLoad load;
  s->jobs_added++;
  j->returned = kq_refusals_accepted (s->refusals, j->spec.id, now);
  if (j->returned)
    ++*s->returns;
  else if (kq_job_load (&j->spec, &load))
    kq_refusals_note_newcomer (s->refusals, load.service, load.kind, now);
}

bool
kq_sched_add_job (KqSched *s, KqStr stored, uint64_t revision, KqTime now)
{
  KqJob *j = kq_alloc (sizeof *j);
  int64_t wall = s->wall_minus_now_ms + now / KQ_MS;
  int64_t age;
  kq_buf_add_str (&j->stored, stored);
  if (!kq_spec_unpack (kq_buf_str (&j->stored), &j->spec))
    {
      kq_log (KQ_LOG_ERROR, PART, "A stored job can't be read. bytes=%zu revision=%llu",
              stored.len, (unsigned long long)revision);
      kq_book_job_free (j);
      return false;
    }
  if (kq_book_find (s, j->spec.id) != NULL)
    {
      kq_book_job_free (j);
      return true;
    }
  kq_job_bytes_add_job (s, j);
  j->revision = revision;
  j->learned_at = now;
  j->pool = kq_pools_get (s, j->spec.service);
  j->estimates = s->estimates;
  kq_book_start_objective (j);
  set_images (s, j);
  age = wall - j->spec.accepted_ms;
  j->accepted_at = now - (age > 0 && s->wall_minus_now_ms != 0 ? age : 0) * KQ_MS;
  j->next = s->open_jobs;
  if (s->open_jobs != NULL)
    s->open_jobs->prev = j;
  s->open_jobs = j;
  g_hash_table_insert (s->jobs, kq_str_dup (j->spec.id), j);
  if (s->loaded)
    {
      note_arrival (s, j, now);
      kq_log (KQ_LOG_INFO, PART,
              "Job added. job=%.*s queue=%.*s kind=%s steps=%d tasks=%d "
              "largest_milli=%d objective_ms=%lld revision=%llu returned=%d",
              KQ_STR_ARG (j->spec.id), KQ_STR_ARG (j->spec.queue), job_kind (&j->spec),
              j->spec.n_steps, count_tasks (&j->spec), largest_task_milli (&j->spec),
              (long long)kq_book_objective_ms (j), (unsigned long long)revision,
              j->returned);
      kq_book_create_due (s, j, now);
    }
  return true;
}

void
kq_sched_cancel (KqSched *s, KqStr id, KqTime now)
{
  KqJob *j = kq_book_find (s, id);
  if (j == NULL || j->cancelled)
    return;
  j->cancelled = true;
  kq_book_end_job (s, j, KQ_JOB_CANCELLED, now);
  if (j->state == KQ_JOB_CANCELLED)
    j->stored_state = j->state; /* stored already, as the cancellation */
}

bool
kq_sched_apply_progress (KqSched *s, KqStr id, KqStr stored, KqTime now)
{
  KqJob *j = kq_book_find (s, id);
  if (j == NULL)
    return false;
  if (kq_progress_apply (s, j, stored, now))
    return true;
  kq_log (KQ_LOG_ERROR, PART, "Stored progress can't be read. job=%.*s bytes=%zu",
          KQ_STR_ARG (id), stored.len);
  return false;
}

bool
kq_sched_used_runners (KqSched *s, KqStr stored, KqTime now)
{
  KqUnpacked u;
  KqReader r;
  bool good;
  if (!kq_unpacked_open (&u, stored, &r))
    return false;
  while (!r.bad && r.left > 0)
    {
      KqReader one;
      KqRunnerEntry e = { 0 };
      kq_read_array (&r, &one);
      e.id = kq_read_str (&one);
      e.service = kq_read_str (&one);
      e.address = kq_read_str (&one);
      e.failure_domain = kq_read_str (&one);
      if (one.left > 0) /* an earlier version doesn't write it */
        e.host = kq_read_str (&one);
      kq_read_array_end (&r, &one);
      if (!r.bad)
        {
          KqRunnerState *known;
          kq_sched_entry (s, &e, now);
          known = kq_runners_find (s, e.id);
          known->in_store = false; /* until its entry is seen */
          kq_pools_note_change (s, known);
          known->in_stored_list = known->in_sent_list = known->used_by_earlier_leader
              = true;
        }
    }
  good = !r.bad;
  s->used_runners_dirty = false;
  kq_unpacked_close (&u);
  return good;
}

bool
kq_sched_learned (KqSched *s, KqStr stored)
{
  return kq_disturb_unpack (s->disturb, stored);
}

void
kq_sched_learned_pack (const KqSched *s, KqBuf *out)
{
  kq_disturb_pack (s->disturb, out);
}

bool
kq_sched_estimates (KqSched *s, KqStr stored)
{
  return s->estimates == NULL || kq_estimates_unpack (s->estimates, stored);
}

bool
kq_sched_estimates_pending (const KqSched *s)
{
  return s->estimates != NULL && kq_estimates_pending (s->estimates);
}

void
kq_sched_estimates_pack (KqSched *s, KqBuf *out)
{
  kq_estimates_pack (s->estimates, out);
}

void
kq_sched_estimates_stored (KqSched *s)
{
  kq_estimates_stored (s->estimates);
}

void
kq_sched_loaded (KqSched *s, KqTime now)
{
  s->loaded = true;
  s->used_runners_dirty = true; /* the stored lists carry this leader's term */
  s->pass_needed = true;
  for (KqJob *j = s->open_jobs; j != NULL; j = j->next)
    if (j->created == 0 || j->spec.n_occurrences > 0)
      kq_book_create_due (s, j, now);
  for (KqJob *j = s->open_jobs; j != NULL; j = j->next)
    if (j->state < KQ_JOB_COMPLETED && j->finished == kq_spec_occurrences (&j->spec))
      kq_book_end_job (s, j, KQ_JOB_COMPLETED, now);
  kq_log (KQ_LOG_INFO, PART, "Loaded the stored state. jobs=%u runners=%u after_ms=%lld",
          g_hash_table_size (s->jobs), s->runner_list->len,
          (long long)((now - s->started_at) / KQ_MS));
  if (!kq_cordoning_is_known (s))
    kq_log (KQ_LOG_WARN, PART, "Nothing starts until the cordons have been read.");
}

int
kq_sched_agent_up (KqSched *s, const KqAgentInfo *info, KqTime now)
{
  int n = kq_agents_up (&s->agents, info);
  (void)now;
  s->pass_needed = true;
  if (!info->leader)
    kq_grantors_agent_up (s, &info->name);
  return n;
}

int
kq_sched_agent_find (const KqSched *s, KqStr name)
{
  return kq_agents_find (&s->agents, name);
}

int
kq_sched_agent_share (const KqSched *s, int agent)
{
  return s->agents.list[agent].info.share_milli;
}

bool
kq_sched_agents_lost (const KqSched *s)
{
  return kq_agents_any_lost (&s->agents);
}

static void
update_jobs (KqSched *s, KqTime now)
{
  KqJob *next;
  for (KqJob *j = s->open_jobs; j != NULL; j = next)
    {
      next = j->next;
      if (j->spec.n_occurrences > 0)
        kq_book_create_due (s, j, now);
      if (j->state < KQ_JOB_COMPLETED || j->n_runs > 0)
        continue;
      kq_book_unlink (s, j);
    }
}

KqTime
kq_sched_run (KqSched *s, KqTime now, int64_t wall_ms)
{
  s->wall_minus_now_ms = wall_ms - now / KQ_MS;
  if (!s->loaded)
    return now + CHECK_INTERVAL;
  if (now >= s->next_check_at)
    kq_reports_check (s, now);
  if (s->assign_soon || now >= s->next_check_at)
    kq_runners_assign (s, now);
  if (now >= s->next_check_at)
    {
      s->next_check_at = now + CHECK_INTERVAL;
      kq_runners_check_leases (s, now);
      kq_watch_progress (s, now);
      update_jobs (s, now);
      kq_maintenance_update (s, now);
    }
  kq_runners_check_settled (s, now);
  if (s->next_pass_at != 0 && now >= s->next_pass_at)
    {
      s->next_pass_at = 0;
      s->pass_needed = true;
    }
  if (s->pass_needed && kq_cordoning_is_known (s))
    kq_pass (s, now);
  return s->next_check_at;
}

KqJobState
kq_sched_state (const KqSched *s, KqStr id)
{
  const KqJob *j = kq_book_find (s, id);
  if (j == NULL)
    return KQ_JOB_UNKNOWN;
  /* An end is reported only once it is stored: a new leader wouldn't know of it before.
   */
  if (j->stored_state >= KQ_JOB_COMPLETED)
    return j->stored_state;
  return j->begun ? KQ_JOB_RUNNING : KQ_JOB_WAITING;
}

KqRefusals *
kq_sched_refusals (const KqSched *s)
{
  return s->refusals;
}

uint64_t
kq_sched_jobs_added (const KqSched *s)
{
  return s->jobs_added;
}

int64_t
kq_sched_waiting (const KqSched *s, KqStr queue)
{
  int64_t n = 0;
  for (const KqJob *j = s->open_jobs; j != NULL; j = j->next)
    n += j->state < KQ_JOB_COMPLETED && !j->begun && kq_str_eq (j->spec.queue, queue);
  return n;
}

void
kq_sched_gauges (KqSched *s)
{
  KqCounters *c = s->config.counters;
  uint64_t *gauge;
  uint64_t open = 0;
  uint64_t runs = 0;
  for (const KqJob *j = s->open_jobs; j != NULL; j = j->next)
    {
      open++;
      runs += (uint64_t)j->n_runs;
    }
  kq_learn_gauges (s);
  gauge = kq_counter (c, "kq_jobs_open", "", "Jobs that aren't ended.");
  *gauge = open;
  gauge = kq_counter (c, "kq_runs_alive", "", "Runs on runners.");
  *gauge = runs;
  gauge = kq_counter (c, "kq_steps_waiting_beside_room", "",
                      "Steps of which nothing runs though much room is free.");
  *gauge = s->steps_idle;
  gauge = kq_counter (c, "kq_runners_known", "", "Runners known to the leader.");
  *gauge = s->runner_list->len;
  gauge = kq_counter (c, "kq_runners_left_out", "",
                      "Runners that aren't used, as the stored list of runners is full.");
  *gauge = s->runners_left_out;
  gauge = kq_counter (c, "kq_agents_up", "", "Nodes that are connected to the leader.");
  *gauge = (uint64_t)g_hash_table_size (s->agents.by_name);
  gauge = kq_counter (c, "kq_agents_used", "", "Nodes that have runners.");
  *gauge = (uint64_t)kq_agents_count_used (&s->agents);
  gauge = kq_counter (c, "kq_run_starts_under_way", "", "Starts without an answer yet.");
  *gauge = (uint64_t)s->window.unanswered;
  gauge = kq_counter (c, "kq_run_starts_window", "",
                      "How many starts may be under way at once.");
  *gauge = (uint64_t)s->window.size;
  kq_load_gauges (s);
  if (s->config.features.large_task_room)
    kq_large_tasks_gauges (s);
}
