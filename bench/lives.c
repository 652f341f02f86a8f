#include "lives.h"

#include "agent/agent.h"
#include "base/counter.h"
#include "base/rand.h"
#include "platform/runners.h"
#include "port/runner.h"
#include "procs.h"

#include <glib.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define RUNNERS_MAX 16
#define EPOCH 7
#define LEASE_MS 5000
#define RENEW_WITHOUT_LEADER_MS 4000
/* More than the agent's connections to one runner. */
#define STARTS_PENDING_MAX 10
#define STEP_INTERVAL (4 * KQ_MS)
/* All calls have ended after this: the wait and the timeout of a poll. */
#define CALLS_TIMEOUT (2500 * KQ_MS)
#define CLOCK_FIRST_MS 1000000000000
#define CLOCK_STEP_MS 100000000

typedef struct
{
  int process;
  int relay; /* -1: none */
  int relay_control;
  int port;
  char id[16];
  char address[32];
  KqTime kill_at;  /* 0: it has been killed */
  KqTime pause_at; /* SIGSTOP; 0: none before kill_at */
  KqTime start_at;
  int starts_pending; /* without an outcome */
} Runner;

typedef struct
{
  const KqLivesPlan *plan;
  KqLivesReport *report;
  Procs procs;
  KqRand rand;
  KqAgent *agent;
  Runner runners[RUNNERS_MAX];
  uint64_t tasks;
  KqTime next_relay_fault_at;
} LivesRun;

static int
below (LivesRun *l, int n)
{
  return (int)kq_rand_below (&l->rand, (uint64_t)n);
}

/* This program acts as the leader. */

static Runner *
find_runner (LivesRun *l, KqStr id)
{
  for (int i = 0; i < l->plan->runners; i++)
    if (kq_str_eq (id, kq_str (l->runners[i].id)))
      return &l->runners[i];
  return NULL;
}

static void
order (LivesRun *l, const Runner *r, KqOrder *o)
{
  o->runner = kq_str (r->id);
  kq_agent_order (l->agent, EPOCH, o, kq_time_now ());
}

static void
order_start (LivesRun *l, Runner *r)
{
  KqOrder o = { .kind = KQ_ORDER_START };
  char task[64];
  snprintf (task, sizeof task, "%016llx.0.0.0", (unsigned long long)++l->tasks);
  o.u.start.task = kq_str (task);
  o.u.start.run = 1;
  o.u.start.text = KQ_STR ("ms=15");
  r->starts_pending++;
  l->report->ordered++;
  order (l, r, &o);
}

static void
assign_runner (LivesRun *l, const Runner *r)
{
  KqOrder o = { .kind = KQ_ORDER_TAKE };
  o.u.take.address = kq_str (r->address);
  o.u.take.assignment = 1;
  order (l, r, &o);
}

static void
on_list (LivesRun *l, const Runner *r, const KqRunnerList *list)
{
  KqOrder o = { .kind = KQ_ORDER_RENEW };
  if (list->halt != 0)
    {
      o.u.renew.halt = list->halt;
      order (l, r, &o);
    }
  if (list->n_ended == 0)
    return;
  o = (KqOrder){ .kind = KQ_ORDER_SEEN };
  o.u.seen.ends = list->ended[list->n_ended - 1].number;
  o.u.seen.started_ms = list->started_ms;
  order (l, r, &o);
}

static void
on_outcome (LivesRun *l, Runner *r, const KqOrderOutcome *o)
{
  r->starts_pending--;
  if (o->result == KQ_ORDER_OK)
    l->report->begun++;
  else if (o->result == KQ_ORDER_UNKNOWN)
    l->report->unknown++;
  else
    l->report->unsent++;
}

static void
on_notice (void *arg, uint64_t epoch, const KqAgentItem *i)
{
  LivesRun *l = arg;
  Runner *r = find_runner (l, i->runner);
  (void)epoch;
  if (r == NULL)
    return;
  switch (i->kind)
    {
    case KQ_AGENT_ITEM_LIST:
      on_list (l, r, &i->u.list);
      break;
    case KQ_AGENT_ITEM_OUTCOME:
      on_outcome (l, r, &i->u.outcome);
      break;
    default:
      break;
    }
}

/* Runners and relays. */

static void
start_process (LivesRun *l, int i)
{
  Runner *r = &l->runners[i];
  char options[128];
  int life = l->report->lives++;
  snprintf (options, sizeof options, "--number %d --port %d --clock-ms %lld", i, r->port,
            CLOCK_FIRST_MS - (long long)life * CLOCK_STEP_MS);
  if (r->process >= 0)
    procs_restart (&l->procs, r->process, "standin-runner", options);
  else
    r->process
        = procs_start_program (&l->procs, PROCS_PLATFORM, "standin-runner", options);
  r->kill_at = kq_time_now () + (KqTime)(30 + below (l, 400)) * KQ_MS;
  r->pause_at = below (l, 3) == 0 ? r->kill_at - (KqTime)below (l, 100) * KQ_MS : 0;
}

static bool
set_up_runner (LivesRun *l, int i)
{
  Runner *r = &l->runners[i];
  char rest[256];
  snprintf (r->id, sizeof r->id, "i-%08x", i + 1);
  r->process = r->relay = -1;
  start_process (l, i);
  if (r->process < 0 || !procs_wait_text (&l->procs, r->process, "out", "runner ", rest))
    return false;
  r->port = atoi (rest);
  snprintf (r->address, sizeof r->address, "127.0.0.1:%d", r->port);
  if (i % 2 == 1)
    return true;
  r->relay = procs_start_relay (&l->procs, r->address);
  if (r->relay < 0 || !procs_wait_text (&l->procs, r->relay, "out", "control ", rest))
    return false;
  r->relay_control = atoi (rest);
  snprintf (r->address, sizeof r->address, "127.0.0.1:%d",
            l->procs.processes[r->relay].port);
  return true;
}

static void
ignore_answer (void *arg, const ProcsAnswer *a)
{
  (void)arg;
  (void)a;
}

static void
set_relay_fault (LivesRun *l, const Runner *r)
{
  static const char *const modes[] = { "{}",
                                       "{\"delay_ms\":20}",
                                       "{\"delay_ms\":60}",
                                       "{\"delay_ms\":150}",
                                       "{\"connect_ms\":60}",
                                       "{\"connect_ms\":200,\"delay_ms\":10}",
                                       "{\"stall\":\"open\"}",
                                       "{\"stall\":\"open\",\"direction\":\"down\"}",
                                       "{\"refuse\":true}" };
  char url[64];
  ProcsRequest q = { .method = "POST", .url = url, .body = kq_str (modes[below (l, 9)]) };
  if (r->relay < 0)
    return;
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/relay", r->relay_control);
  procs_send (&l->procs, &q, ignore_answer, NULL);
}

/* A process that is stopped before it is killed leaves connections in its listen queue
 * that it never accepted. */
static void
update_runner (LivesRun *l, int i, KqTime now)
{
  Runner *r = &l->runners[i];
  ProcsProcess *p = &l->procs.processes[r->process];
  int status;
  if (r->pause_at != 0 && now >= r->pause_at)
    {
      procs_signal (&l->procs, r->process, SIGSTOP);
      r->pause_at = 0;
    }
  if (r->kill_at != 0 && now >= r->kill_at)
    {
      procs_signal (&l->procs, r->process, SIGKILL);
      r->kill_at = 0;
      r->start_at = now + (KqTime)(below (l, 2) * below (l, 60)) * KQ_MS;
    }
  if (r->kill_at != 0)
    return;
  if (p->pid != 0 && waitpid (p->pid, &status, WNOHANG) == p->pid)
    p->pid = 0;
  if (p->pid == 0 && now >= r->start_at)
    start_process (l, i);
}

static void
run_step (LivesRun *l, KqTime now)
{
  kq_agent_leader_heard (l->agent, EPOCH, now);
  kq_agent_leader_confirmed (l->agent, EPOCH, now);
  for (int i = 0; i < l->plan->runners; i++)
    {
      Runner *r = &l->runners[i];
      update_runner (l, i, now);
      if (r->starts_pending < STARTS_PENDING_MAX && below (l, 3) == 0)
        order_start (l, r);
    }
  if (now >= l->next_relay_fault_at)
    {
      l->next_relay_fault_at = now + (KqTime)(20 + below (l, 100)) * KQ_MS;
      set_relay_fault (l, &l->runners[below (l, l->plan->runners)]);
    }
}

/* Drops and kills the runners. The calls in flight time out without a report. */
static void
stop_agent (LivesRun *l)
{
  for (int i = 0; i < l->plan->runners; i++)
    {
      KqOrder o = { .kind = KQ_ORDER_DROP };
      order (l, &l->runners[i], &o);
      procs_signal (&l->procs, l->runners[i].process, SIGKILL);
    }
  procs_run (&l->procs, CALLS_TIMEOUT, NULL);
}

static void
count_breaches (LivesRun *l)
{
  for (int i = 0; i < l->plan->runners; i++)
    {
      char path[128];
      gchar *text = NULL;
      const char *at;
      snprintf (path, sizeof path, "%s/%d.log", l->procs.dir, l->runners[i].process);
      g_file_get_contents (path, &text, NULL, NULL);
      for (at = text; at != NULL && (at = strstr (at, "breach: ")) != NULL; at++)
        {
          l->report->breaches++;
          printf ("seed %llu, runner %s: %.*s\n", (unsigned long long)l->plan->seed,
                  l->runners[i].id, (int)strcspn (at, "\n"), at);
        }
      g_free (text);
    }
}

int
kq_lives_run (const KqLivesPlan *p, KqLivesReport *out)
{
  LivesRun *l = kq_alloc (sizeof *l);
  KqCounters *counters = kq_counters_new ();
  KqRunnerClient *calls = NULL;
  int result = -1;
  *out = (KqLivesReport){ 0 };
  l->plan = p;
  l->report = out;
  l->rand = kq_rand (p->seed);
  if (p->runners > RUNNERS_MAX || !procs_init (&l->procs, p->build))
    goto out;
  calls = kq_runner_client_new (l->procs.loop);
  l->agent = kq_agent_new (
      &(KqAgentConfig){ .loop = l->procs.loop,
                        .calls = calls,
                        .lease_ms = LEASE_MS,
                        .renew_without_leader_ms = RENEW_WITHOUT_LEADER_MS,
                        .counters = counters,
                        .notice = on_notice,
                        .arg = l });
  kq_agent_leader_heard (l->agent, EPOCH, kq_time_now ());
  kq_agent_leader_confirmed (l->agent, EPOCH, kq_time_now ());
  for (int i = 0; i < p->runners; i++)
    if (!set_up_runner (l, i))
      goto end;
  for (int i = 0; i < p->runners; i++)
    assign_runner (l, &l->runners[i]);
  while (out->lives < p->lives)
    {
      run_step (l, kq_time_now ());
      procs_run (&l->procs, STEP_INTERVAL, NULL);
    }
  stop_agent (l);
  count_breaches (l);
  result = 0;
end:
  kq_agent_free (l->agent);
  kq_runner_client_free (calls);
  procs_free (&l->procs, out->breaches > 0);
out:
  kq_counters_free (counters);
  free (l);
  return result;
}
