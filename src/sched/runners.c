/* runners: the state of each runner, its assignment to an agent, and the expiry of its
 * lease, after which nothing can run there any more. */

#include "sched/agent_picker.h"
#include "sched/cordoning.h"
#include "sched/grantors.h"
#include "sched/hosts.h"
#include "sched/maintenance.h"
#include "sched/reports.h"
#include "sched/tickets.h"

#include <stdlib.h>
#include <string.h>

/* Time after a lease's computed end before it counts as expired: timers may be late, and
 * answers in flight. */
#define LEASE_MARGIN (300 * KQ_MS)
/* How long a call of an agent may be under way (KQ_AGENT_CALL_MS of agent/state.h). */
#define CALL_MAX (900 * KQ_MS)
/* How much a runner's clock may run slow. */
#define CLOCK_DRIFT_PERCENT 2
/* How long an unanswered start may still reach its runner, counted from the moment at
 * which its repeat is due. Afterwards its call has ended and its connection is closed. */
#define START_IN_FLIGHT_MAX (850 * KQ_MS)

KqRunnerState *
kq_runners_find (const KqSched *s, KqStr id)
{
  char key[KQ_NAME_MAX + 1];
  if (!kq_str_copy (id, key, sizeof key))
    return NULL;
  return g_hash_table_lookup (s->runners, key);
}

static void
set_string (char **at, KqStr value)
{
  if (*at != NULL && kq_str_eq (kq_str (*at), value))
    return;
  free (*at);
  *at = kq_str_dup (value);
}

void
kq_runners_free (KqRunnerState *r)
{
  while (r->runs != NULL)
    {
      KqRun *run = r->runs;
      r->runs = run->next;
      kq_str_drop (&run->checkpoint);
      free (run->serving);
      free (run);
    }
  free (r->id);
  free (r->service);
  free (r->address);
  free (r->heard_address);
  free (r->domain);
  free (r->rack);
  free (r->kind);
  free (r->host);
  free (r);
}

static void
unlink_changed (KqSched *s, KqRunnerState *r)
{
  if (r->changed_after != NULL)
    r->changed_after->changed_before = r->changed_before;
  else if (s->changed_last == r)
    s->changed_last = r->changed_before;
  if (r->changed_before != NULL)
    r->changed_before->changed_after = r->changed_after;
  r->changed_before = r->changed_after = NULL;
}

void
kq_runners_note_change (KqSched *s, KqRunnerState *r)
{
  r->changed = ++s->changes;
  s->pass_needed = true;
  kq_pools_note_change (s, r);
  if (s->changed_last == r)
    return;
  unlink_changed (s, r);
  r->changed_before = s->changed_last;
  if (s->changed_last != NULL)
    s->changed_last->changed_after = r;
  s->changed_last = r;
}

KqTime
kq_runners_longest_lease (const KqSched *s)
{
  return s->config.lease_ms * KQ_MS * (100 + CLOCK_DRIFT_PERCENT) / 100;
}

KqTime
kq_runners_latest_unseen_lease_end (const KqSched *s, KqTime now)
{
  return now + s->config.renew_without_leader_ms * KQ_MS + kq_runners_longest_lease (s);
}

KqTime
kq_runners_lease_end (const KqRunnerState *r)
{
  return r->lease_ends > r->earlier_lease_ends ? r->lease_ends : r->earlier_lease_ends;
}

const char *
kq_runners_lease_from (const KqRunnerState *r)
{
  return r->earlier_lease_ends > r->lease_ends ? "earlier leader" : r->lease_from;
}

KqTime
kq_runners_released_lease_end (const KqSched *s, KqTime now)
{
  return now + CALL_MAX + kq_runners_longest_lease (s);
}

bool
kq_runners_lease_is_over (const KqRunnerState *r, KqTime now)
{
  bool renewing = r->agent >= 0 && r->renewed && !r->silent;
  return !renewing && now >= kq_runners_lease_end (r) + LEASE_MARGIN;
}

/* Notes that no lease is left on the runner. */
static void
set_lease_over (KqRunnerState *r, const char *from, KqTime now)
{
  r->lease_ends = now;
  r->earlier_lease_ends = 0;
  r->lease_from = from;
}

void
kq_runners_extend_lease (KqRunnerState *r, KqTime ends, const char *from)
{
  if (ends <= r->lease_ends)
    return;
  r->lease_ends = ends;
  r->lease_from = from;
}

void
kq_runners_drop_agent (KqSched *s, KqRunnerState *r, bool may_renew, KqTime now)
{
  KqOrder drop = { .kind = KQ_ORDER_DROP, .runner = kq_str (r->id) };
  s->agents.list[r->agent].runners--;
  if (s->agents.list[r->agent].up)
    s->config.order (s->config.arg, r->agent, &drop);
  r->agent = -1;
  if (may_renew && r->renewed)
    kq_runners_extend_lease (r, kq_runners_latest_unseen_lease_end (s, now),
                             "agent changed");
}

void
kq_runners_acknowledge (const KqSched *s, const KqRunnerState *r)
{
  KqOrder o = { .kind = KQ_ORDER_SEEN, .runner = kq_str (r->id) };
  if (r->agent < 0)
    return;
  o.u.seen.ends = r->ends_stored;
  o.u.seen.started_ms = r->started_ms;
  o.u.seen.watched = r->watched;
  s->config.order (s->config.arg, r->agent, &o);
}

/* Extends the lease for starts in flight: one may arrive after a restart of the runner,
 * whose new clock then allows its run a whole lease, whatever was granted before. */
static void
extend_for_starts (const KqSched *s, KqRunnerState *r)
{
  for (const KqRun *run = r->runs; run != NULL; run = run->next)
    if (run->outcome_unknown || (run->order_pending && run->phase == KQ_RUN_SENDING))
      kq_runners_extend_lease (
          r, run->retry_at + START_IN_FLIGHT_MAX + kq_runners_longest_lease (s), "start");
}

static KqRunnerState *
add_runner (KqSched *s, KqStr id, KqTime now)
{
  KqRunnerState *r = kq_alloc (sizeof *r);
  r->id = kq_str_dup (id);
  set_string (&r->service, KQ_STR (""));
  r->pool = kq_pools_get (s, KQ_STR (""));
  set_string (&r->address, KQ_STR (""));
  set_string (&r->heard_address, KQ_STR (""));
  set_string (&r->domain, KQ_STR (""));
  set_string (&r->rack, KQ_STR (""));
  set_string (&r->kind, KQ_STR (""));
  r->host = kq_str_dup (KQ_STR (""));
  r->agent = -1;
  r->slowness = 1;
  r->counts_at = r->heard_at = now;
  r->lease_ends = now;
  r->earlier_lease_ends = s->loaded ? 0 : kq_runners_latest_unseen_lease_end (s, now);
  r->lease_from = "entry";
  g_hash_table_insert (s->runners, r->id, r);
  g_ptr_array_add (s->runner_list, r);
  r->number = ++s->runners_made;
  return r;
}

void
kq_runners_note_heard (KqRunnerState *r)
{
  set_string (&r->heard_address, kq_str (r->address));
}

void
kq_runners_note_alive (KqRunnerState *r)
{
  if (r->gone)
    r->in_stored_list = r->in_sent_list;
  r->gone = r->taken_down = false;
}

void
kq_sched_entry (KqSched *s, const KqRunnerEntry *e, KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, e->id);
  bool moved;
  if (e->id.len == 0 || e->id.len > KQ_NAME_MAX)
    return;
  if (r == NULL)
    r = add_runner (s, e->id, now);
  moved = !kq_str_eq (kq_str (r->address), e->address);
  if (s->loaded && (!r->in_store || r->draining != e->draining || moved))
    kq_log (KQ_LOG_INFO, PART,
            "Runner entry changed. runner=%s address=%.*s draining=%d "
            "born_ms=%lld left_ms=%lld",
            r->id, KQ_STR_ARG (e->address), e->draining, (long long)e->started_ms,
            (long long)e->remaining_ms);
  set_string (&r->service, e->service);
  r->pool = kq_pools_get (s, e->service);
  set_string (&r->address, e->address);
  set_string (&r->domain, e->failure_domain);
  set_string (&r->rack, e->rack);
  set_string (&r->kind, e->kind);
  kq_hosts_set (s, r, e->host);
  r->room = e->room;
  r->in_store = true;
  r->entry_unusable = false;
  r->host_leaving = kq_maintenance_may_end (s, r);
  r->cordoned = kq_cordoning_applies (s, r);
  r->entry_started_ms = e->started_ms;
  if (r->gone && e->started_ms != r->started_ms)
    kq_runners_note_alive (r);
  if (r->draining && !e->draining && !r->in_sent_list)
    r->in_stored_list = false; /* no start before it is in the stored list again */
  if (e->draining && !r->draining)
    r->drain_ends = now + e->remaining_ms * KQ_MS;
  r->draining = e->draining;
  if (!r->in_stored_list)
    s->used_runners_dirty = true;
  if (moved && r->agent >= 0)
    kq_runners_drop_agent (s, r, true, now);
  kq_runners_note_change (s, r);
}

void
kq_sched_entry_unusable (KqSched *s, KqStr id, KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, id);
  (void)now;
  if (r == NULL)
    return;
  r->entry_unusable = true;
  kq_pools_note_change (s, r);
}

void
kq_sched_entry_gone (KqSched *s, KqStr id, KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, id);
  (void)now;
  if (r == NULL || !r->in_store)
    return;
  kq_log (KQ_LOG_INFO, PART, "Runner entry removed. runner=%s runs=%d silent=%d", r->id,
          r->n_runs, r->silent);
  r->in_store = false;
  kq_pools_note_change (s, r);
}

/* Ends all runs of the runner as lost: it hasn't reported their ends. */
static void
end_lost_runs (KqSched *s, KqRunnerState *r, const char *why, KqTime now)
{
  KqStr node = kq_reports_agent_node (s, r->agent);
  if (r->n_runs > 0)
    kq_log (KQ_LOG_WARN, PART,
            "Runs lost without a report. runner=%s runs=%d why=%s agent=%.*s "
            "heard_ms_ago=%lld lease_over_ms=%lld lease_from=%s",
            r->id, r->n_runs, why, KQ_STR_ARG (node),
            (long long)((now - r->heard_at) / KQ_MS),
            (long long)((now - kq_runners_lease_end (r)) / KQ_MS),
            kq_runners_lease_from (r));
  while (r->runs != NULL)
    {
      char name[96];
      kq_book_task_name (r->runs, name);
      kq_log (KQ_LOG_DEBUG, PART, "Run is lost. task=%s run=%u runner=%s", name,
              r->runs->number, r->id);
      ++*s->runs_lost;
      kq_run_end (s, r->runs, now);
    }
  r->has_unknown_run = false;
}

/* Runs from before the restart are over, with two exceptions. An unanswered start may
 * still reach the restarted runner, which has lost its run numbers and fencing tokens:
 * the run is stopped there first, so that the runner refuses the start, and only then
 * started elsewhere. And a start that was answered after the request for this list was
 * sent may run after the restart: the next list shows whether it does. */
void
kq_runners_handle_restart (KqSched *s, KqRunnerState *r, uint64_t order, KqTime now)
{
  KqRun *next;
  kq_log (KQ_LOG_WARN, PART, "Runner has restarted. runner=%s runs=%d", r->id, r->n_runs);
  for (KqRun *run = r->runs; run != NULL; run = next)
    {
      bool under_way = run->outcome_unknown || run->order_pending || run->resent;
      next = run->next;
      if (!under_way && run->confirmed > order + 1)
        continue;
      run->confirmed = 0;
      run->stopped = false;
      ++*s->runs_lost;
      if (under_way && run->phase != KQ_RUN_STOPPING)
        kq_run_stop (s, run, "its runner has restarted", now);
      else if (!under_way)
        kq_run_end (s, run, now);
    }
  r->has_unknown_run = false;
}

static void
assign_agent (KqSched *s, KqRunnerState *r, int agent, KqTime now)
{
  KqOrder o = { .kind = KQ_ORDER_TAKE, .runner = kq_str (r->id) };
  if (r->agent >= 0 || r->listed || r->silent)
    {
      KqStr node = kq_reports_agent_node (s, agent);
      KqStr was = kq_reports_agent_node (s, r->agent);
      kq_log (KQ_LOG_INFO, PART,
              "Runner has a new agent. runner=%s agent=%.*s was=%.*s runs=%d silent=%d "
              "lease_left_ms=%lld",
              r->id, KQ_STR_ARG (node), KQ_STR_ARG (was), r->n_runs, r->silent,
              (long long)((kq_runners_lease_end (r) - now) / KQ_MS));
    }
  if (r->agent >= 0)
    kq_runners_drop_agent (s, r, true, now);
  r->agent = agent;
  r->assigned_at = now;
  r->watched = r->stale_logged = r->renewed = false;
  r->unreported_checks = 0;
  r->listed = false; /* the new agent knows neither the runner's clock nor its runs */
  s->agents.list[agent].used = true;
  s->agents.list[agent].runners++;
  s->agents.list[agent].unlisted++;
  r->assignment = ++s->assignments;
  o.u.take.address = kq_str (r->address);
  o.u.take.failure_domain = kq_str (r->domain);
  o.u.take.assignment = r->assignment;
  s->config.order (s->config.arg, agent, &o);
  /* The new agent doesn't know the orders that the earlier agent was given. */
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    {
      kq_run_mark_orders_lost (s, run);
      run->stopped = false;
      run->confirmed = 0;
      if (run->phase == KQ_RUN_RUNNING)
        run->confirmed = 1;
    }
}

/* Counts each agent's runners whose first list hasn't arrived. Returns the number of
 * runners that need an agent. */
static int
count_unlisted (KqSched *s)
{
  int total = 0;
  for (int i = 0; i < s->agents.n; i++)
    s->agents.list[i].unlisted = 0;
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      total += r->address[0] != '\0';
      if (r->agent >= 0 && !r->listed && !r->silent)
        s->agents.list[r->agent].unlisted++;
    }
  return total;
}

void
kq_runners_assign (KqSched *s, KqTime now)
{
  KqAgentPicker *picker = NULL;
  int total;
  s->assign_soon = false;
  if (!s->loaded)
    return;
  kq_grantors_check_leader (s, now);
  total = count_unlisted (s);
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      int was = r->agent;
      int agent;
      if (r->address[0] == '\0' || !r->in_stored_list)
        continue;
      /* A runner that has yet to list its runs stays: else it could go back and forth
       * between agents that have to wait for its list. */
      if (was >= 0
          && ((!r->listed && !r->silent)
              || !kq_agents_overloaded (&s->agents, was, total)))
        continue;
      if (picker == NULL)
        picker = kq_agent_picker_new (&s->agents, s->list_window.size);
      agent = kq_agent_picker_pick (picker, kq_str (r->domain));
      if (agent < 0 || agent == was
          || (was >= 0 && !kq_agents_move_helps (&s->agents, was, agent)))
        continue;
      assign_agent (s, r, agent, now);
      kq_agent_picker_assigned (picker, agent);
      if (was >= 0)
        kq_agent_picker_update (picker, was);
    }
  kq_agent_picker_free (picker);
}

void
kq_sched_agent_down (KqSched *s, int agent, bool planned, KqTime now)
{
  /* One that stops as planned has released its runners before it said so. */
  KqTime ends = planned ? kq_runners_released_lease_end (s, now)
                        : kq_runners_latest_unseen_lease_end (s, now);
  kq_agents_down (&s->agents, agent, planned);
  kq_grantors_agent_down (s, &s->agents.list[agent].info.name, ends);
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (r->agent != agent)
        continue;
      r->agent = -1;
      if (r->renewed)
        kq_runners_extend_lease (r, ends, "lost agent");
      for (KqRun *run = r->runs; run != NULL; run = run->next)
        kq_run_mark_orders_lost (s, run);
    }
  s->agents.list[agent].runners = 0;
  kq_tickets_drop_requests (s, agent);
  s->pass_needed = true;
}

/* Ends all runs of a runner whose host is down for maintenance. It is gone, unless its
 * next process, under the same id, has an entry already. Neither this leader nor a
 * later one has to wait for its lease: waiting delayed all earlier jobs for 9 s after a
 * change of leader with 18 hosts down. */
static void
end_taken_down (KqSched *s, KqRunnerState *r, KqTime now)
{
  end_lost_runs (s, r, "its host was taken down", now);
  r->taken_down = r->gone
      = r->entry_started_ms == 0 || r->entry_started_ms == r->started_ms;
  kq_pools_note_change (s, r);
  set_lease_over (r, "host taken down", now);
  s->used_runners_dirty = true;
}

void
kq_runners_note_taken_down (KqSched *s, KqStr id, KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, id);
  if (r == NULL)
    return;
  r->taken_down = true;
  if (r->silent)
    end_taken_down (s, r, now);
}

void
kq_sched_unreached (KqSched *s, int agent, KqStr runner, uint64_t assignment,
                    int64_t lease_left_ms, KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, runner);
  KqTime ends = now + lease_left_ms * KQ_MS;
  if (r == NULL || !kq_reports_is_current_agent (s, r, agent, assignment, "silence")
      || r->gone)
    return;
  s->assign_soon = s->assign_soon || !r->listed;
  if (!r->silent)
    kq_log (KQ_LOG_WARN, PART,
            "Runner doesn't answer. runner=%s runs=%d lease_left_ms=%lld", r->id,
            r->n_runs, (long long)lease_left_ms);
  r->silent = true;
  kq_pools_note_change (s, r);
  r->renewed = false; /* its agent renews the lease only after a list */
  if (lease_left_ms >= 0)
    kq_runners_extend_lease (r, ends, "silence");
  extend_for_starts (s, r);
  if (r->taken_down)
    end_taken_down (s, r, now);
}

/* A process keeps its address until it ends, so another runner there proves that it is
 * gone; but not at an address that only an entry has named. */
void
kq_sched_runner_replaced (KqSched *s, int agent, KqStr runner, uint64_t assignment,
                          int64_t lease_left_ms, KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, runner);
  if (r != NULL && strcmp (r->address, r->heard_address) != 0)
    {
      kq_sched_unreached (s, agent, runner, assignment, lease_left_ms, now);
      return;
    }
  if (r == NULL || !kq_reports_is_current_agent (s, r, agent, assignment, "other runner"))
    return;
  end_lost_runs (s, r, "another runner at its address", now);
  r->listed = false;
  r->silent = true;
  kq_pools_note_change (s, r);
  set_lease_over (r, "other runner", now);
}

static void
remove_runner (KqSched *s, KqRunnerState *r)
{
  KqOrder drop = { .kind = KQ_ORDER_DROP, .runner = kq_str (r->id) };
  if (r->agent >= 0)
    {
      s->agents.list[r->agent].runners--;
      s->config.order (s->config.arg, r->agent, &drop);
    }
  kq_log (KQ_LOG_INFO, PART, "Runner removed. runner=%s", r->id);
  unlink_changed (s, r);
  kq_pools_remove_runner (s, r);
  kq_hosts_remove (s, r);
  g_ptr_array_remove (s->runner_list, r);
  g_hash_table_remove (s->runners, r->id);
  s->used_runners_dirty = true;
}

/* Clears the pointers to a runner that is about to be freed: where tasks failed last, and
 * the tickets of steps. */
static void
clear_references (KqSched *s, const KqRunnerState *r)
{
  for (KqJob *j = s->open_jobs; j != NULL; j = j->next)
    for (KqOccurrence *o = j->occurrences; o != NULL; o = o->next)
      for (int32_t i = 0; i < j->spec.n_steps; i++)
        {
          kq_tickets_forget_runner (&o->steps[i], r);
          if (o->steps[i].failed_on == r)
            o->steps[i].failed_on = NULL;
          for (int32_t k = 0; k < j->spec.steps[i].width; k++)
            if (o->steps[i].tasks[k].avoid == r)
              o->steps[i].tasks[k].avoid = NULL;
        }
}

/* Whether runs may exist on the runner or be started there. A runner for which this is
 * false is left out of the stored list, so that a later leader doesn't wait for its
 * lease. A draining runner without runs stays in it until all its ends are stored:
 * otherwise a later leader would not hear of the others, and start those tasks again. */
bool
kq_runners_may_run (const KqRunnerState *r)
{
  bool drained = r->draining && r->n_runs == 0 && r->listed && !r->has_unknown_run
                 && r->ends_seen == r->ends_stored;
  return !r->gone && !drained;
}

void
kq_runners_check_leases (KqSched *s, KqTime now)
{
  kq_grantors_check (s, now);
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (r->in_sent_list ? !kq_runners_may_run (r)
                          : kq_runners_may_run (r) && s->runners_left_out == 0)
        s->used_runners_dirty = true;
      if (now >= s->exclusive_until || !kq_runners_lease_is_over (r, now))
        continue;
      if (r->n_runs > 0)
        {
          ++*s->leases_expired;
          end_lost_runs (s, r, "lease over", now);
        }
      if (!r->in_store && r->n_runs == 0)
        {
          clear_references (s, r);
          remove_runner (s, r);
          i--;
        }
    }
}
