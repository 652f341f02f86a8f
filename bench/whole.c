#include "whole_state.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
kq_whole_add_violation (KqWhole *w, const char *fmt, ...)
{
  va_list ap;
  if (w->result.violation[0] != '\0')
    return;
  va_start (ap, fmt);
  vsnprintf (w->result.violation, sizeof w->result.violation, fmt, ap);
  va_end (ap);
}

static bool
before (const KqWholeEvent *a, const KqWholeEvent *b)
{
  return a->at < b->at || (a->at == b->at && a->order < b->order);
}

KqWholeEvent *
kq_whole_add_event (KqWhole *w, KqWholeEventKind kind, KqTime at)
{
  size_t i = w->n_events++;
  KqWholeEvent e = { .kind = kind, .at = at, .order = ++w->order };
  if (w->n_events > w->capacity)
    {
      w->capacity = w->capacity > 0 ? w->capacity * 2 : 256;
      w->events = kq_realloc (w->events, w->capacity * sizeof *w->events);
    }
  while (i > 0 && before (&e, &w->events[(i - 1) / 2]))
    {
      w->events[i] = w->events[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  w->events[i] = e;
  return &w->events[i];
}

KqWholeEvent
kq_whole_take_event (KqWhole *w)
{
  KqWholeEvent top = w->events[0];
  KqWholeEvent last = w->events[--w->n_events];
  size_t i = 0;
  for (;;)
    {
      size_t c = 2 * i + 1;
      if (c >= w->n_events)
        break;
      if (c + 1 < w->n_events && before (&w->events[c + 1], &w->events[c]))
        c++;
      if (!before (&w->events[c], &last))
        break;
      w->events[i] = w->events[c];
      i = c;
    }
  if (w->n_events > 0)
    w->events[i] = last;
  return top;
}

static KqTime
net_delay (KqWhole *w)
{
  return 300 + (KqTime)kq_rand_below (&w->rand, 2000);
}

static int
node_of (const KqWhole *w, KqNodeId id)
{
  for (int i = 0; i < NODES; i++)
    {
      if (w->nodes[i].id == id)
        return i;
    }
  return -1;
}

static int
worker_of (const KqWhole *w, KqWorkerId id)
{
  for (int i = 0; i < WORKERS; i++)
    {
      if (w->workers[i].id == id)
        return i;
    }
  return -1;
}

/* Messages between two nodes keep their order, as on one connection. */
void
kq_whole_send (KqWhole *w, int from, KqNodeId to, const KqMsg *msg)
{
  int t = node_of (w, to);
  KqTime at = w->now + net_delay (w);
  KqWholeEvent *e;
  if (t < 0 || w->cut[from][t] || w->nodes[t].core == NULL)
    return;
  if (t == from)
    at = w->now;
  if (at < w->last_at[from][t])
    at = w->last_at[from][t];
  w->last_at[from][t] = at;
  e = kq_whole_add_event (w, EVENT_MSG, at);
  e->node = t;
  e->from = from;
  e->n_starts = w->nodes[t].n_starts;
  e->msg = kq_msg_copy (msg);
}

static void
send_call (KqWhole *w, int from, const KqWorkerCall *call)
{
  KqWholeEvent *e;
  if (!kq_core_may_call (w->nodes[from].core, call, w->now))
    return;
  e = kq_whole_add_event (w, EVENT_CALL, w->now + net_delay (w));
  e->from = from;
  e->n_starts = w->nodes[from].n_starts;
  e->worker = worker_of (w, call->worker);
  e->call = *call;
  e->call.acks = NULL;
  if (call->n_acks > 0)
    {
      e->call.acks = kq_alloc (call->n_acks * sizeof *call->acks);
      memcpy (e->call.acks, call->acks, call->n_acks * sizeof *call->acks);
    }
}

/* Called when the node has taken a step: triggers the fault that waits for it. */
static void
check_trigger (KqWhole *w, KqWholeStep step, int node)
{
  if (w->trigger_step == step)
    {
      w->trigger_step = KQ_STEP_NONE;
      w->triggered = true;
      w->fault_node = node;
    }
}

static bool
owns (const KqWhole *w, int node, uint32_t shard)
{
  KqShard *h = kq_core_shard (w->nodes[node].core, shard);
  return h != NULL && kq_shard_state (h) == KQ_SHARD_ACTIVE;
}

/* Calls check_trigger for the step that the message stands for, if its receiver owns the
 * shard. */
static void
check_trigger_by_msg (KqWhole *w, int node, const KqMsg *m)
{
  if (m->kind == KQ_MSG_JOB_SUBMIT && owns (w, node, m->u.job_submit.shard))
    check_trigger (w, KQ_STEP_ACCEPT, node);
  else if (m->kind == KQ_MSG_JOB_CALL && m->u.job_call.kind == KQ_JOB_CANCEL
           && owns (w, node, m->u.job_call.shard))
    check_trigger (w, KQ_STEP_CANCEL, node);
  else if (m->kind == KQ_MSG_CLAIM_BEGIN && owns (w, node, m->u.claim_begin.shard))
    check_trigger (w, KQ_STEP_CLAIM, node);
  else if (m->kind == KQ_MSG_CLAIM_DONE && owns (w, node, m->u.claim_done.shard))
    check_trigger (w, KQ_STEP_CLAIM_END, node);
  else if (m->kind == KQ_MSG_JOB_MOVE && owns (w, node, m->u.job_move.shard))
    check_trigger (w, KQ_STEP_MOVE, node);
}

static void
check_trigger_by_reply (KqWhole *w, int node, const KqWorkerReply *r)
{
  for (size_t i = 0; i < r->n_tasks; i++)
    {
      if (r->tasks[i].state == KQ_TASK_FINISHED)
        check_trigger (w, KQ_STEP_FINISH, node);
    }
}

void
kq_whole_run_outbox (KqWhole *w, int i)
{
  KqWholeNode *n = &w->nodes[i];
  KqOut item;
  KqNotice notice;
  while (kq_outbox_take (&n->out, &item))
    {
      if (item.kind == KQ_OUT_STORE)
        {
          kq_store_fake_call (w->store, i, &item.u.store, w->now);
          if (item.u.store.kind == KQ_STORE_PUT
              && kq_str_has_prefix (item.u.store.key, KQ_STR ("table/")))
            check_trigger (w, KQ_STEP_TABLE, i);
        }
      else if (item.kind == KQ_OUT_SEND)
        kq_whole_send (w, i, item.u.send.to, item.u.send.msg);
      else
        send_call (w, i, &item.u.worker);
      kq_out_clear (&item);
    }
  while (kq_core_notice (n->core, &notice))
    kq_hosts_free (&notice.hosts);
}

static void
check_table (KqWhole *w, int i)
{
  KqWholeNode *n = &w->nodes[i];
  KqTable *t = kq_core_table (n->core);
  uint64_t r = t != NULL ? kq_table_revision (t) : 0;
  if (r < n->revision)
    kq_whole_add_violation (w, "table went back at node %d: %llu after %llu", i,
                            (unsigned long long)r, (unsigned long long)n->revision);
  n->revision = r;
}

void
kq_whole_start (KqWhole *w, int i)
{
  KqWholeNode *n = &w->nodes[i];
  KqCoreConfig c = { .settings = &n->settings, .seed = kq_rand_next (&w->rand) };
  char address[32];
  n->n_starts++;
  n->revision = 0;
  n->draining = false;
  n->paused_until = 0;
  c.self.id = n->id;
  c.self.name = n->settings.node;
  c.self.region = n->settings.region;
  c.self.depot = n->settings.depot;
  snprintf (address, sizeof address, "10.0.0.%d:7", i);
  c.self.mesh_address = c.self.operator_address = kq_name (kq_str (address));
  c.self.incarnation = n->n_starts * 100 + (uint64_t)i;
  n->core = kq_core_new (&c);
  KqWholeEvent *e = kq_whole_add_event (w, EVENT_TICK, w->now + i);
  e->node = i;
  e->n_starts = n->n_starts;
}

void
kq_whole_kill (KqWhole *w, int i, KqTime down)
{
  KqWholeNode *n = &w->nodes[i];
  if (n->core == NULL)
    return;
  kq_core_free (n->core);
  n->core = NULL;
  kq_outbox_free (&n->out);
  kq_store_fake_drop_answers (w->store, i);
  kq_whole_add_event (w, EVENT_RESTART, w->now + down)->node = i;
}

static void
tick_node (KqWhole *w, int i)
{
  KqWholeNode *n = &w->nodes[i];
  kq_core_tick (n->core, w->now, &n->out);
  kq_whole_run_outbox (w, i);
  check_table (w, i);
  KqWholeEvent *e = kq_whole_add_event (w, EVENT_TICK, w->now + TICK);
  e->node = i;
  e->n_starts = n->n_starts;
}

/* Checks a started task: it runs nowhere else, and it fits into the worker. */
static void
check_start (KqWhole *w, int worker, KqTaskKey task)
{
  KqFakeWorker *f = &w->workers[worker];
  KqSize used = kq_fake_worker_used (f);
  for (int k = 0; k < WORKERS; k++)
    {
      kq_fake_worker_tick (&w->workers[k], w->now);
      for (size_t i = 0; i < w->workers[k].n_tasks; i++)
        {
          const KqTaskReport *t = &w->workers[k].tasks[i].report;
          if (t->task.job == task.job && t->state == KQ_TASK_RUNNING
              && (k != worker || t->task.attempt != task.attempt))
            kq_whole_add_violation (
                w, "job %llx runs twice: attempt %u at worker %d and %u at %d",
                (unsigned long long)task.job, t->task.attempt, k, task.attempt, worker);
        }
    }
  if (used.cpu_milli > f->capacity.cpu_milli || used.memory_mb > f->capacity.memory_mb)
    kq_whole_add_violation (w, "worker %d was given more than its size", worker);
}

static void
execute_call (KqWhole *w, KqWholeEvent *e)
{
  KqWorkerReply r = { 0 };
  KqWholeEvent *back;
  bool executed = e->worker >= 0 && !w->worker_cut[e->worker];
  if (executed)
    {
      kq_fake_worker_tick (&w->workers[e->worker], w->now);
      kq_fake_worker_call (&w->workers[e->worker], &e->call, w->now, &r);
    }
  if (executed && e->call.kind == KQ_WORKER_START)
    check_trigger (w, KQ_STEP_START, e->from);
  else if (executed && e->call.kind == KQ_WORKER_LEASE)
    check_trigger (w, KQ_STEP_RENEW, e->from);
  if (executed && e->call.kind == KQ_WORKER_START && r.result == KQ_OK)
    {
      KqWholeEvent *end = kq_whole_add_event (
          w, EVENT_TASK_END,
          w->now + 200 * KQ_MS + (KqTime)kq_rand_below (&w->rand, 4 * KQ_SEC));
      end->worker = e->worker;
      end->task = e->call.task;
      end->n_starts = (uint64_t)w->workers[e->worker].n_restarts;
      w->result.starts++;
      check_start (w, e->worker, e->call.task);
    }
  /* One answer in fifty is lost while faults are on, and all of unreachable workers. */
  if (!executed || (w->faults_on && kq_rand_below (&w->rand, 50) == 0))
    {
      kq_fake_reply_clear (&r);
      r = kq_fake_no_reply (&e->call, e->at);
    }
  back
      = kq_whole_add_event (w, EVENT_REPLY, w->now + (executed ? net_delay (w) : KQ_SEC));
  back->node = e->from;
  back->n_starts = e->n_starts;
  back->reply = r;
  free (e->call.acks);
}

static void
deliver (KqWhole *w, KqWholeEvent *e)
{
  KqWholeNode *n = &w->nodes[e->node];
  const KqMsg *m = e->msg;
  switch (m->kind)
    {
    case KQ_MSG_JOB_REPLY:
      kq_whole_handle_answer (w, &m->u.answer);
      break;
    case KQ_MSG_CLAIM_REPLY:
      if (m->u.claim_reply.flight.incarnation != n->n_starts * 100 + (uint64_t)e->node)
        break;
      if (m->u.claim_reply.verdict == KQ_CLAIM_GRANTED)
        kq_whole_claim_granted (w, e->node, &m->u.claim_reply);
      else if (m->u.claim_reply.verdict == KQ_CLAIM_ANSWERED)
        w->result.claims_repeated++;
      break;
    default:
      kq_core_message (n->core, w->nodes[e->from].id, m, w->now, &n->out);
      kq_whole_run_outbox (w, e->node);
      check_trigger_by_msg (w, e->node, m);
      break;
    }
}

static void
handle (KqWhole *w, KqWholeEvent *e)
{
  KqWholeNode *n = &w->nodes[e->node];
  bool alive = n->core != NULL && n->n_starts == e->n_starts;
  switch (e->kind)
    {
    case EVENT_TICK:
      if (alive)
        tick_node (w, e->node);
      break;
    case EVENT_MSG:
      if (alive)
        deliver (w, e);
      kq_msg_free (e->msg);
      break;
    case EVENT_CALL:
      execute_call (w, e);
      break;
    case EVENT_REPLY:
      if (alive)
        {
          kq_core_worker_reply (n->core, &e->reply, w->now, &n->out);
          kq_whole_run_outbox (w, e->node);
          check_trigger_by_reply (w, e->node, &e->reply);
        }
      kq_fake_reply_clear (&e->reply);
      break;
    case EVENT_TASK_END:
      if (w->workers[e->worker].n_restarts == (int)e->n_starts)
        {
          kq_fake_worker_tick (&w->workers[e->worker], w->now);
          kq_fake_worker_end_task (&w->workers[e->worker], e->task,
                                   kq_rand_below (&w->rand, 20) == 0 ? KQ_TASK_FAILED
                                                                     : KQ_TASK_FINISHED);
        }
      break;
    case EVENT_CLIENT:
      kq_whole_run_client (w);
      break;
    case EVENT_CLAIM_END:
      if (alive)
        kq_whole_end_claim (w, e);
      break;
    case EVENT_RESTART:
      if (n->core == NULL)
        kq_whole_start (w, e->node);
      break;
    case EVENT_FAULT:
      kq_whole_inject_random_fault (w);
      kq_whole_add_event (
          w, EVENT_FAULT,
          w->now + (KqTime)kq_rand_below (&w->rand, 2 * FAULT_INTERVAL_MEAN));
      break;
    case EVENT_HEAL:
      kq_whole_heal (w);
      kq_whole_add_event (w, EVENT_HEAL,
                          w->now + 5 * KQ_SEC
                              + (KqTime)kq_rand_below (&w->rand, 2 * FAULT_MAX));
      break;
    }
}

/* A paused node handles nothing; its input waits in its sockets. Puts the event back
 * until the pause ends, or returns false if the node isn't paused. */
static bool
defer_if_paused (KqWhole *w, const KqWholeEvent *e)
{
  bool of_node = e->kind == EVENT_TICK || e->kind == EVENT_MSG || e->kind == EVENT_REPLY
                 || e->kind == EVENT_CLAIM_END;
  KqWholeNode *n = &w->nodes[e->node];
  KqWholeEvent *deferred;
  KqWholeEvent copy = *e;
  if (!of_node || n->core == NULL || n->paused_until <= w->now)
    return false;
  deferred = kq_whole_add_event (w, e->kind, n->paused_until);
  copy.at = deferred->at;
  copy.order = deferred->order;
  *deferred = copy;
  return true;
}

static void
deliver_store_replies (KqWhole *w)
{
  int i;
  KqStoreReply r;
  while (kq_store_fake_next (w->store, w->now, &i, &r))
    {
      KqWholeNode *n = &w->nodes[i];
      if (n->core == NULL)
        continue;
      kq_core_store_reply (n->core, &r, w->now, &n->out);
      kq_core_tick (n->core, w->now, &n->out);
      kq_whole_run_outbox (w, i);
    }
}

static void
step (KqWhole *w)
{
  KqTime due = kq_store_fake_next_time (w->store);
  KqWholeEvent e;
  if (w->n_events == 0 || due < w->events[0].at)
    {
      w->now = due > w->now ? due : w->now;
      deliver_store_replies (w);
      return;
    }
  e = kq_whole_take_event (w);
  w->now = e.at;
  w->result.trace
      = kq_hash2 (w->result.trace, (uint64_t)e.at ^ (uint64_t)e.kind << 56 ^ e.order);
  if (!defer_if_paused (w, &e))
    handle (w, &e);
  if (w->fault_node >= 0)
    {
      kq_whole_inject_fault (w, w->trigger_fault, w->fault_node);
      w->fault_node = -1;
    }
  w->result.steps++;
}

void
kq_whole_advance (KqWhole *w, KqTime span)
{
  KqTime until = w->now + span;
  while (w->now < until && w->result.violation[0] == '\0')
    step (w);
}

void
kq_whole_stop_clients (KqWhole *w)
{
  for (size_t i = 0; i < w->n_events; i++)
    {
      /* Turned into events without effect, so that the heap keeps its order. */
      if (w->events[i].kind == EVENT_CLIENT || w->events[i].kind == EVENT_FAULT
          || w->events[i].kind == EVENT_HEAL)
        {
          w->events[i].kind = EVENT_TASK_END;
          w->events[i].worker = 0;
          w->events[i].n_starts = UINT64_MAX;
        }
    }
}

void
kq_whole_final_checks (KqWhole *w)
{
  kq_whole_stop_clients (w);
  kq_whole_heal (w);
  w->faults_on = false;
  kq_whole_advance (w, TIME_WITHOUT_FAULTS);
  for (int round = 0; round < 4; round++)
    kq_whole_query_jobs (w);
  for (size_t i = 0; i < w->n_jobs; i++)
    {
      if (w->jobs[i].acked && !w->jobs[i].ended)
        kq_whole_add_violation (w, "job %llx (job-%zu) has not ended: %s",
                                (unsigned long long)w->jobs[i].id, i, w->jobs[i].last);
    }
  for (int i = 0; i < NODES; i++)
    {
      for (uint32_t s = 0; w->nodes[i].core != NULL && s < SHARDS; s++)
        {
          KqShard *h = kq_core_shard (w->nodes[i].core, s);
          const KqJobs *j = h != NULL ? kq_shard_jobs (h) : NULL;
          if (j != NULL)
            w->result.moved += kq_jobs_account (j).moved;
        }
    }
}

KqWholeResult
kq_whole_run (uint64_t seed, uint64_t steps)
{
  KqWhole *w = kq_whole_new (seed);
  KqWholeResult r;
  KqTime start;
  kq_whole_set_table (w);
  start = w->now;
  w->faults_on = true;
  kq_whole_add_event (w, EVENT_CLIENT, w->now);
  kq_whole_add_event (w, EVENT_FAULT, w->now + 5 * KQ_SEC);
  kq_whole_add_event (w, EVENT_HEAL, w->now + 15 * KQ_SEC);
  steps += w->result.steps;
  while (w->result.steps < steps && w->result.violation[0] == '\0')
    step (w);
  w->result.simulated_s = (double)(w->now - start) / (double)KQ_SEC;
  if (w->result.violation[0] == '\0')
    kq_whole_final_checks (w);
  r = w->result;
  kq_whole_free (w);
  return r;
}
