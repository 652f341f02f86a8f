/* runners: what is known of each runner, which agent talks to it, and when the silence of
 * one proves that nothing runs there any more. */

#include "sched/state.h"

#include <stdlib.h>

/* Beyond the computed end of a lease: timers fire late and answers travel. */
#define LEASE_MARGIN (300 * KQ_MS)
/* Runners' clocks may be this much slow, in percent. */
#define CLOCK_SLOW_PERCENT 2
/* From the moment for its repeat on, a start without an answer may still arrive for so
 * long: its call has ended, and its connection is closed. */
#define START_LATE (850 * KQ_MS)

KqRunnerState *
kq_runners_find (const KqSched *s, KqStr id)
{
  char key[KQ_NAME_MAX + 1];
  if (!kq_str_copy (id, key, sizeof key))
    return NULL;
  return g_hash_table_lookup (s->runners, key);
}

static void
set_text (char **at, KqStr value)
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
      free (run->checkpoint);
      free (run->serving);
      free (run);
    }
  free (r->id);
  free (r->service);
  free (r->address);
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
kq_runners_changed (KqSched *s, KqRunnerState *r)
{
  r->changed = ++s->changes;
  s->work = true;
  if (s->changed_last == r)
    return;
  unlink_changed (s, r);
  r->changed_before = s->changed_last;
  if (s->changed_last != NULL)
    s->changed_last->changed_after = r;
  s->changed_last = r;
}

/* On a slow clock. */
static KqTime
full_lease (const KqSched *s)
{
  return s->config.lease_ms * KQ_MS * (100 + CLOCK_SLOW_PERCENT) / 100;
}

/* Latest end of a lease that an agent of an earlier leader, or one that we have lost, may
 * still grant. */
static KqTime
blind_lease_end (const KqSched *s, KqTime now)
{
  return now + s->config.blind_ms * KQ_MS + full_lease (s);
}

/* The agent's node. */
static KqStr
agent_node (const KqSched *s, int agent)
{
  return agent >= 0 ? kq_name_str (&s->agents.list[agent].info.name) : KQ_STR ("");
}

void
kq_runners_extend (KqRunnerState *r, KqTime ends, const char *from)
{
  if (ends <= r->lease_ends)
    return;
  r->lease_ends = ends;
  r->lease_from = from;
}

bool
kq_runners_heard_of_by (const KqSched *s, KqRunnerState *r, int agent, uint64_t taking,
                        const char *what)
{
  if (r->agent == agent && r->taking == taking)
    return true;
  if (!r->passed_over)
    {
      KqStr from = agent_node (s, agent);
      KqStr now_of = agent_node (s, r->agent);
      kq_log (KQ_LOG_INFO, PART,
              "A word of an earlier agent is passed over. runner=%s what=%s from=%.*s "
              "agent=%.*s",
              r->id, what, KQ_STR_ARG (from), KQ_STR_ARG (now_of));
    }
  r->passed_over = true;
  return false;
}

/* The agent grants on until it hears of this or counts us as lost, and its last lists may
 * be under way. */
static void
drop_agent (KqSched *s, KqRunnerState *r, KqTime now)
{
  KqOrder drop = { .kind = KQ_ORDER_DROP, .runner = kq_str (r->id) };
  KqTime ends = blind_lease_end (s, now);
  s->agents.list[r->agent].runners--;
  if (s->agents.list[r->agent].up)
    s->config.order (s->config.arg, r->agent, &drop);
  r->agent = -1;
  kq_runners_extend (r, ends, "agent changed");
}

void
kq_runners_acknowledge (const KqSched *s, const KqRunnerState *r)
{
  KqOrder o = { .kind = KQ_ORDER_SEEN, .runner = kq_str (r->id) };
  if (r->agent < 0)
    return;
  o.u.seen.ends = r->ends_stored;
  o.u.seen.born_ms = r->born_ms;
  o.u.seen.watched = r->watched;
  s->config.order (s->config.arg, r->agent, &o);
}

/* A start under way may begin in the runner's next life, whose young clock lets it have a
 * whole lease, whatever was granted. */
static void
allow_for_starts (const KqSched *s, KqRunnerState *r)
{
  for (const KqRun *run = r->runs; run != NULL; run = run->next)
    if (run->unsure || (run->waiting && run->phase == KQ_RUN_SENDING))
      kq_runners_extend (r, run->retry_at + START_LATE + full_lease (s), "start");
}

static KqRunnerState *
add (KqSched *s, KqStr id, KqTime now)
{
  KqRunnerState *r = kq_alloc (sizeof *r);
  r->id = kq_str_dup (id);
  set_text (&r->service, KQ_STR (""));
  r->pool = kq_pools_need (s, KQ_STR (""));
  set_text (&r->address, KQ_STR (""));
  set_text (&r->domain, KQ_STR (""));
  set_text (&r->rack, KQ_STR (""));
  set_text (&r->kind, KQ_STR (""));
  set_text (&r->host, KQ_STR (""));
  r->agent = -1;
  r->slowness = 1;
  r->score_at = r->heard_at = now;
  r->lease_ends = s->loaded ? now : blind_lease_end (s, now);
  r->lease_from = s->loaded ? "entry" : "earlier leader";
  g_hash_table_insert (s->runners, r->id, r);
  g_ptr_array_add (s->runner_list, r);
  r->number = ++s->runners_made;
  return r;
}

void
kq_sched_entry (KqSched *s, const KqRunnerEntry *e, KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, e->id);
  bool moved;
  if (e->id.len == 0 || e->id.len > KQ_NAME_MAX)
    return;
  if (r == NULL)
    r = add (s, e->id, now);
  moved = !kq_str_eq (kq_str (r->address), e->address);
  if (s->loaded && (!r->in_store || r->draining != e->draining || moved))
    kq_log (
        KQ_LOG_INFO, PART,
        "Runner's entry. runner=%s address=%.*s draining=%d born_ms=%lld left_ms=%lld",
        r->id, KQ_STR_ARG (e->address), e->draining, (long long)e->born_ms,
        (long long)e->left_ms);
  set_text (&r->service, e->service);
  r->pool = kq_pools_need (s, e->service);
  set_text (&r->address, e->address);
  set_text (&r->domain, e->failure_domain);
  set_text (&r->rack, e->rack);
  set_text (&r->kind, e->kind);
  set_text (&r->host, e->host);
  r->room = e->room;
  r->in_store = true;
  if (r->over && e->born_ms != r->born_ms)
    {
      r->over = r->taken_down = false;
      r->known_stored = r->known_sent;
    }
  if (r->draining && !e->draining && !r->known_sent)
    r->known_stored = false; /* no start before the store knows it again */
  if (e->draining && !r->draining)
    r->drain_ends = now + e->left_ms * KQ_MS;
  r->draining = e->draining;
  if (!r->known_stored)
    s->known_dirty = true;
  if (moved && r->agent >= 0)
    drop_agent (s, r, now);
  kq_runners_changed (s, r);
}

void
kq_sched_entry_gone (KqSched *s, KqStr id, KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, id);
  (void)now;
  if (r == NULL || !r->in_store)
    return;
  kq_log (KQ_LOG_INFO, PART, "Runner's entry is gone. runner=%s runs=%d silent=%d", r->id,
          r->n_runs, r->silent);
  r->in_store = false;
}

/* All that ran there is over without a word. */
static void
lose (KqSched *s, KqRunnerState *r, const char *why, KqTime now)
{
  KqStr node = agent_node (s, r->agent);
  if (r->n_runs > 0)
    kq_log (KQ_LOG_WARN, PART,
            "Runs are over without a word. runner=%s runs=%d why=%s agent=%.*s "
            "heard_ms_ago=%lld lease_over_ms=%lld lease_from=%s",
            r->id, r->n_runs, why, KQ_STR_ARG (node),
            (long long)((now - r->heard_at) / KQ_MS),
            (long long)((now - r->lease_ends) / KQ_MS), r->lease_from);
  while (r->runs != NULL)
    {
      char name[96];
      kq_book_task_name (r->runs, name);
      kq_log (KQ_LOG_DEBUG, PART, "Run is lost. task=%s run=%u runner=%s", name,
              r->runs->number, r->id);
      ++*s->runs_lost;
      kq_run_over (s, r->runs, now);
    }
  r->foreign = false;
}

/* All that ran in the earlier life is over. But a start that nobody has answered may
 * still reach the new life, which knows nothing of run numbers or fencing tokens: it is
 * stopped there first, which makes the runner refuse it, and only then started elsewhere.
 * And one that was answered after the question for this list left may run in the new
 * life: the next list tells. */
void
kq_runners_reborn (KqSched *s, KqRunnerState *r, uint64_t order, KqTime now)
{
  KqRun *next;
  kq_log (KQ_LOG_WARN, PART, "Runner has started anew. runner=%s runs=%d", r->id,
          r->n_runs);
  for (KqRun *run = r->runs; run != NULL; run = next)
    {
      bool under_way = run->unsure || run->waiting || run->resent;
      next = run->next;
      if (!under_way && run->confirmed > order + 1)
        continue;
      run->confirmed = 0;
      run->stopped = false;
      ++*s->runs_lost;
      if (under_way && run->phase != KQ_RUN_STOPPING)
        kq_run_stop (s, run, "its runner has started anew", now);
      else if (!under_way)
        kq_run_over (s, run, now);
    }
  r->foreign = false;
}

static void
give_agent (KqSched *s, KqRunnerState *r, int agent, KqTime now)
{
  KqOrder o = { .kind = KQ_ORDER_TAKE, .runner = kq_str (r->id) };
  if (r->agent >= 0 || r->listed || r->silent)
    {
      KqStr node = agent_node (s, agent);
      KqStr was = agent_node (s, r->agent);
      kq_log (KQ_LOG_INFO, PART,
              "Runner has another agent. runner=%s agent=%.*s was=%.*s runs=%d silent=%d "
              "lease_left_ms=%lld",
              r->id, KQ_STR_ARG (node), KQ_STR_ARG (was), r->n_runs, r->silent,
              (long long)((r->lease_ends - now) / KQ_MS));
    }
  if (r->agent >= 0)
    drop_agent (s, r, now);
  r->agent = agent;
  r->watched = r->passed_over = false;
  r->listed = false; /* to this agent: it knows neither the runner's clock nor its runs */
  s->agents.list[agent].runners++;
  s->agents.list[agent].unheard++;
  r->taking = ++s->takings;
  o.u.take.address = kq_str (r->address);
  o.u.take.taking = r->taking;
  s->config.order (s->config.arg, agent, &o);
  /* What the earlier agent was asked is not known to the new one. */
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    {
      kq_run_unanswered (s, run);
      run->stopped = false;
      run->confirmed = 0;
      if (run->phase == KQ_RUN_RUNNING)
        run->confirmed = 1;
    }
}

/* Counts what each agent has yet to tell of; the number of runners that need one. */
static int
count_unheard (KqSched *s)
{
  int total = 0;
  for (int i = 0; i < s->agents.n; i++)
    s->agents.list[i].unheard = 0;
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      total += r->address[0] != '\0';
      if (r->agent >= 0 && !r->listed && !r->silent)
        s->agents.list[r->agent].unheard++;
    }
  return total;
}

void
kq_runners_assign (KqSched *s, KqTime now)
{
  int total;
  s->assign_soon = false;
  if (!s->loaded)
    return;
  total = count_unheard (s);
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      int agent;
      if (r->address[0] == '\0' || !r->known_stored)
        continue;
      if (r->agent >= 0 && !kq_agents_overfull (&s->agents, r->agent, total))
        continue;
      agent = kq_agents_pick (&s->agents, kq_str (r->domain));
      if (agent >= 0 && agent != r->agent)
        give_agent (s, r, agent, now);
    }
}

int
kq_sched_agent_up (KqSched *s, const KqAgentInfo *info, KqTime now)
{
  int n = kq_agents_up (&s->agents, info);
  (void)now;
  s->work = true;
  return n;
}

int
kq_sched_agent_find (const KqSched *s, KqStr name)
{
  for (int i = 0; i < s->agents.n; i++)
    {
      const KqAgentState *a = &s->agents.list[i];
      if (a->up && kq_str_eq (kq_name_str (&a->info.name), name))
        return i;
    }
  return -1;
}

int
kq_sched_agent_share (const KqSched *s, int agent)
{
  return s->agents.list[agent].info.share_milli;
}

void
kq_sched_agent_down (KqSched *s, int agent, bool planned, KqTime now)
{
  KqTime ends = blind_lease_end (s, now);
  kq_agents_down (&s->agents, agent, planned);
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (r->agent != agent)
        continue;
      r->agent = -1;
      kq_runners_extend (r, ends, "lost agent");
      for (KqRun *run = r->runs; run != NULL; run = run->next)
        kq_run_unanswered (s, run);
    }
  s->agents.list[agent].runners = 0;
  kq_tickets_agent_down (s, agent);
  s->work = true;
}

bool
kq_sched_agents_lost (const KqSched *s)
{
  return s->agents.n_lost > 0;
}

/* The leases that its runs had needn't be waited for, by this leader or a later one: with
 * 18 hosts down and a change of leader nothing of earlier jobs started for 9 s. */
static void
end_life (KqSched *s, KqRunnerState *r, KqTime now)
{
  lose (s, r, "its host was taken down", now);
  r->over = true;
  r->lease_ends = now;
  r->lease_from = "host taken down";
  s->known_dirty = true;
}

void
kq_runners_taken_down (KqSched *s, KqStr id, KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, id);
  if (r == NULL)
    return;
  r->taken_down = true;
  if (r->silent)
    end_life (s, r, now);
}

void
kq_sched_unreached (KqSched *s, int agent, KqStr runner, uint64_t taking,
                    int64_t lease_left_ms, KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, runner);
  KqTime ends = now + lease_left_ms * KQ_MS;
  if (r == NULL || r->over || !kq_runners_heard_of_by (s, r, agent, taking, "silence"))
    return;
  s->assign_soon = s->assign_soon || !r->listed;
  if (!r->silent)
    kq_log (KQ_LOG_WARN, PART, "Runner is silent. runner=%s runs=%d lease_left_ms=%lld",
            r->id, r->n_runs, (long long)lease_left_ms);
  r->silent = true;
  if (lease_left_ms >= 0)
    kq_runners_extend (r, ends, "silence");
  allow_for_starts (s, r);
  if (r->taken_down)
    end_life (s, r, now);
}

void
kq_sched_runner_over (KqSched *s, int agent, KqStr runner, uint64_t taking, KqTime now)
{
  KqRunnerState *r = kq_runners_find (s, runner);
  if (r == NULL || !kq_runners_heard_of_by (s, r, agent, taking, "other runner"))
    return;
  lose (s, r, "another runner at its address", now);
  r->listed = false;
  r->silent = true;
  r->lease_ends = now;
  r->lease_from = "other runner";
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
  kq_log (KQ_LOG_INFO, PART, "Runner is forgotten. runner=%s", r->id);
  unlink_changed (s, r);
  g_ptr_array_remove (s->runner_list, r);
  g_hash_table_remove (s->runners, r->id);
  s->known_dirty = true;
}

/* Tasks remember where they failed, steps which runners were allowed; a runner that is
 * forgotten must not be looked up. */
static void
forget_mentions (KqSched *s, const KqRunnerState *r)
{
  for (KqJob *j = s->open; j != NULL; j = j->next)
    for (KqOccurrence *o = j->occurrences; o != NULL; o = o->next)
      for (int32_t i = 0; i < j->spec.n_steps; i++)
        {
          kq_tickets_forget_runner (&o->steps[i], r);
          for (int32_t k = 0; k < j->spec.steps[i].width; k++)
            if (o->steps[i].tasks[k].avoid == r)
              o->steps[i].tasks[k].avoid = NULL;
        }
}

/* Whether something of ours may run there, or be started. A runner that drains and is
 * empty needn't stand in the stored list: a later leader would wait for its lease. But it
 * must wait for one that holds ends which aren't stored, or it would start those tasks
 * again. */
bool
kq_runners_may_run (const KqRunnerState *r)
{
  bool emptied = r->draining && r->n_runs == 0 && r->listed && !r->foreign
                 && r->ends_seen == r->ends_stored;
  return !r->over && !emptied;
}

void
kq_runners_look (KqSched *s, KqTime now)
{
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      /* An agent that hasn't spoken yet may be renewing the lease. */
      bool unheard = r->agent < 0 || r->silent;
      if (r->known_sent != kq_runners_may_run (r))
        s->known_dirty = true;
      if (!unheard || now < r->lease_ends + LEASE_MARGIN || now >= s->lead_until)
        continue;
      if (r->n_runs > 0)
        {
          ++*s->lapses;
          lose (s, r, "lease over", now);
        }
      if (!r->in_store && r->n_runs == 0)
        {
          forget_mentions (s, r);
          remove_runner (s, r);
          i--;
        }
    }
}

/* Lasting tasks that ran under an earlier leader and run nowhere now are lost: their
 * users were without them for 22 s after a change of leader, as short jobs in time took
 * each free room. */
static void
note_lost_before (KqSched *s, KqTime now)
{
  for (KqJob *j = s->open; j != NULL; j = j->next)
    {
      if (j->revision >= s->config.epoch)
        continue;
      for (KqOccurrence *o = j->occurrences; o != NULL; o = o->next)
        for (int32_t i = 0; i < j->spec.n_steps; i++)
          if (o->steps[i].lost_at == 0
              && kq_book_lost_waits (&o->steps[i], &j->spec.steps[i]))
            o->steps[i].lost_at = now;
    }
}

/* Until every runner that an earlier leader used has listed its runs, or has been silent
 * beyond its lease, a task of an earlier job may be running unseen: starting it again
 * would run it twice. Jobs stored after we became leader can't be anywhere. */
void
kq_runners_settle (KqSched *s, KqTime now)
{
  if (s->settled || !s->loaded || now >= s->lead_until)
    return;
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      bool unheard = r->agent < 0 || r->silent;
      if (r->listed || !r->earlier || r->over)
        continue;
      if (!unheard || now < r->lease_ends + LEASE_MARGIN)
        return;
    }
  s->settled = true;
  s->work = true;
  note_lost_before (s, now);
  kq_log (KQ_LOG_INFO, PART, "All earlier runs are known. after_ms=%lld",
          (long long)((now - s->started_at) / KQ_MS));
}
