#include "job_rig.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
add_event (KqRig *r, const KqRigEvent *e)
{
  size_t i = r->n_events++;
  if (i == r->capacity)
    {
      r->capacity = r->capacity > 0 ? 2 * r->capacity : 64;
      r->events = kq_realloc (r->events, r->capacity * sizeof *r->events);
    }
  while (i > 0 && r->events[(i - 1) / 2].at > e->at)
    {
      r->events[i] = r->events[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  r->events[i] = *e;
}

static KqRigEvent
take_event (KqRig *r)
{
  KqRigEvent first = r->events[0];
  KqRigEvent last = r->events[--r->n_events];
  size_t i = 0;
  for (;;)
    {
      size_t k = 2 * i + 1;
      if (k + 1 < r->n_events && r->events[k + 1].at < r->events[k].at)
        k++;
      if (k >= r->n_events || r->events[k].at >= last.at)
        break;
      r->events[i] = r->events[k];
      i = k;
    }
  if (r->n_events > 0)
    r->events[i] = last;
  return first;
}

static KqTime
delay (KqRig *r)
{
  return r->net_delay > 0 ? (KqTime)kq_rand_below (&r->rand, (uint64_t)r->net_delay) : 0;
}

static void
send_call (KqRig *r, KqWorkerCall *call)
{
  KqRigEvent e = { .call = *call };
  e.worker_restarts = r->workers[call->worker - 1].n_restarts;
  r->calls[call->kind]++;
  e.at = r->now + delay (r);
  call->acks = NULL;
  if (call->kind == KQ_WORKER_CHECKPOINT && r->checkpoint_time > 0)
    e.at += (KqTime)kq_rand_below (&r->rand, (uint64_t)r->checkpoint_time);
  if (call->kind == KQ_WORKER_START && r->late_start_delay > 0)
    {
      KqRigEvent back = { .at = e.at, .is_reply = true };
      back.reply = kq_fake_no_reply (call, r->now);
      add_event (r, &back);
      e.discard_reply = true;
      e.at += r->late_start_delay;
    }
  add_event (r, &e);
}

static void
record_answer (KqRig *r, const KqMsg *m)
{
  free (r->json);
  r->code = m->u.answer.code;
  r->json = kq_str_dup (m->u.answer.json);
  r->answers++;
}

static void
run_outbox (KqRig *r, KqOutbox *out)
{
  KqOut item;
  while (kq_outbox_take (out, &item))
    {
      if (item.kind == KQ_OUT_WORKER)
        send_call (r, &item.u.worker);
      else if (item.kind == KQ_OUT_SEND)
        record_answer (r, item.u.send.msg);
      kq_out_clear (&item);
    }
}

/* Sends items after the log record `after` is committed, or at once if they need none, as
 * the shard's owner does. */
static void
send_after_commit (KqRig *r, KqSeq after, KqOutbox *out)
{
  if (after == 0)
    run_outbox (r, out);
  else
    kq_hold_add (&r->hold, after, out);
  kq_outbox_free (out);
}

static void
deliver_call (KqRig *r, KqRigEvent *e)
{
  KqFakeWorker *w = &r->workers[e->call.worker - 1];
  KqRigEvent back = { .is_reply = true };
  bool lost = r->cut[w - r->workers] || e->worker_restarts != w->n_restarts
              || kq_rand_unit (&r->rand) < r->lose_call;
  if (lost)
    back.reply = kq_fake_no_reply (&e->call, r->now);
  else
    kq_fake_worker_call (w, &e->call, r->now, &back.reply);
  if (!lost && kq_rand_unit (&r->rand) < r->lose_reply)
    {
      kq_fake_reply_clear (&back.reply);
      back.reply = kq_fake_no_reply (&e->call, r->now);
    }
  if (e->call.kind == KQ_WORKER_START && r->started != NULL
      && kq_fake_worker_task (w, e->call.task) != NULL)
    r->started (r->arg, e->call.task, w->id, r->now);
  free (e->call.acks);
  back.at = r->now + delay (r);
  if (e->discard_reply)
    kq_fake_reply_clear (&back.reply);
  else
    add_event (r, &back);
}

static void
deliver (KqRig *r)
{
  KqRigEvent e = take_event (r);
  KqOutbox out;
  if (!e.is_reply)
    {
      deliver_call (r, &e);
      return;
    }
  kq_outbox_init (&out);
  send_after_commit (r, kq_jobs_worker_reply (r->jobs, &e.reply, r->now, &out), &out);
  kq_fake_reply_clear (&e.reply);
}

static void
write_log (KqRig *r)
{
  KqOutbox out;
  if (r->writing > 0 && r->now >= r->written_at && !r->store_down)
    {
      r->log.committed = r->writing;
      r->writing = 0;
      r->commits++;
    }
  if (r->writing == 0 && r->log.n_records > r->log.committed)
    {
      r->writing = r->log.n_records;
      r->written_at = r->now + r->commit_delay;
      if (r->commit_delay == 0 && !r->store_down)
        {
          r->log.committed = r->writing;
          r->writing = 0;
          r->commits++;
        }
    }
  kq_outbox_init (&out);
  kq_hold_release (&r->hold, r->log.committed, &out);
  run_outbox (r, &out);
  kq_outbox_free (&out);
}

static KqTime
next_time (const KqRig *r, KqTime end)
{
  KqTime t = kq_jobs_next_tick (r->jobs, r->now);
  if (r->n_events > 0 && r->events[0].at < t)
    t = r->events[0].at;
  if (r->writing > 0 && !r->store_down && r->written_at < t)
    t = r->written_at;
  return t < end ? t : end;
}

void
kq_rig_run (KqRig *r, KqTime span)
{
  KqTime end = r->now + span;
  for (;;)
    {
      KqOutbox out;
      KqTime next;
      write_log (r);
      while (r->n_events > 0 && r->events[0].at <= r->now)
        {
          deliver (r);
          write_log (r);
        }
      next = next_time (r, end);
      if (next > r->now)
        r->now = next;
      else if (r->now >= end && kq_jobs_next_tick (r->jobs, r->now) > r->now)
        return;
      if (r->n_events > 0 && r->events[0].at <= r->now)
        continue;
      kq_outbox_init (&out);
      send_after_commit (r, kq_jobs_tick (r->jobs, !r->store_down, r->now, &out), &out);
    }
}

static KqHost
new_host (size_t i, KqSize whole, size_t per_rack)
{
  char name[40];
  KqHost h = { .id = i + 1, .state = KQ_HOST_LIVE, .capacity = whole };
  snprintf (name, sizeof name, "w%zu", i);
  h.name = kq_name (kq_str (name));
  snprintf (name, sizeof name, "rack%zu", i / per_rack);
  h.rack = kq_name (kq_str (name));
  snprintf (name, sizeof name, "depot%zu", i / per_rack % 3);
  h.depot = kq_name (kq_str (name));
  return h;
}

void
kq_rig_init (KqRig *r, size_t workers, KqSize whole, size_t per_rack, uint64_t seed)
{
  memset (r, 0, sizeof *r);
  r->rand = kq_rand (seed);
  r->now = 1000 * KQ_SEC;
  r->config = (KqJobsConfig){ .shard = 1,
                              .self = 1,
                              .lease = 9 * KQ_SEC,
                              .renew = 3 * KQ_SEC,
                              .renew_without_store = 20 * KQ_SEC,
                              .seed = seed,
                              .counters = kq_counters_new () };
  r->n_workers = workers;
  r->workers = kq_alloc (workers * sizeof *r->workers);
  r->cut = kq_alloc (workers * sizeof *r->cut);
  r->hosts = kq_alloc (workers * sizeof *r->hosts);
  for (size_t i = 0; i < workers; i++)
    {
      kq_fake_worker_init (&r->workers[i], i + 1, whole);
      r->workers[i].skew = (KqTime)kq_rand_below (&r->rand, 1000000) * KQ_MS + KQ_SEC;
      r->hosts[i] = new_host (i, whole, per_rack);
    }
  r->port = (KqLogPort){ KQ_LOG_PORT_FAKE, { .fake = &r->log } };
  r->table = kq_table_new (1);
  kq_hold_init (&r->hold);
  kq_rig_set_team (r, "plan", NULL);
  kq_rig_open (r);
}

void
kq_rig_clear (KqRig *r)
{
  kq_jobs_free (r->jobs);
  kq_counters_free (r->config.counters);
  kq_hold_free (&r->hold);
  kq_fake_log_free (&r->log);
  kq_table_unref (r->table);
  for (size_t i = 0; i < r->n_workers; i++)
    kq_fake_worker_clear (&r->workers[i]);
  for (size_t i = 0; i < r->n_events; i++)
    {
      free (r->events[i].call.acks);
      kq_fake_reply_clear (&r->events[i].reply);
    }
  free (r->events);
  free (r->workers);
  free (r->cut);
  free (r->hosts);
  free (r->json);
}

void
kq_rig_set_row (KqRig *r, const KqRow *row)
{
  KqRowChange c = { .row = *row, .expect = UINT64_MAX };
  KqResult why;
  size_t which;
  KqTable *t
      = kq_table_change (r->table, kq_table_revision (r->table) + 1, &c, 1, &why, &which);
  assert (t != NULL);
  kq_table_unref (r->table);
  r->table = t;
  if (r->jobs != NULL)
    kq_jobs_set_table (r->jobs, t, r->now);
}

void
kq_rig_set_team (KqRig *r, const char *name, const KqTeamRow *row)
{
  KqRow full = kq_row_default (KQ_ROW_TEAM, kq_str (name));
  if (row != NULL)
    full.u.team = *row;
  kq_rig_set_row (r, &full);
}

void
kq_rig_set_hosts (KqRig *r)
{
  KqOutbox out;
  kq_outbox_init (&out);
  send_after_commit (r, kq_jobs_set_hosts (r->jobs, r->hosts, r->n_workers, r->now, &out),
                     &out);
}

void
kq_rig_open (KqRig *r)
{
  KqOutbox out;
  kq_jobs_free (r->jobs);
  kq_hold_free (&r->hold);
  r->writing = 0;
  while (r->log.n_records > r->log.committed)
    free ((char *)r->log.records[--r->log.n_records].body.ptr);
  r->config.seed = kq_rand_next (&r->rand);
  r->jobs = kq_jobs_new (&r->config, r->port);
  kq_jobs_set_table (r->jobs, r->table, r->now);
  for (size_t i = 0; i < r->log.n_records; i++)
    kq_jobs_apply (r->jobs, &r->log.records[i], r->now);
  kq_outbox_init (&out);
  send_after_commit (r, kq_jobs_recovered (r->jobs, ++r->epoch, r->now, &out), &out);
  kq_rig_set_hosts (r);
}

void
kq_rig_submit (KqRig *r, KqJobId id, const KqJobSpec *spec)
{
  KqMsgJobSubmit m = { .call = id, .reply_to = 7, .shard = 1, .spec = *spec };
  KqOutbox out;
  m.job = ((KqJobId)1 << 48) | id;
  kq_outbox_init (&out);
  send_after_commit (r, kq_jobs_submit (r->jobs, &m, r->now, &out), &out);
}

void
kq_rig_call (KqRig *r, KqJobCallKind kind, KqJobId id)
{
  KqMsgJobCall m = { .call = id, .reply_to = 7, .shard = 1, .kind = kind };
  KqOutbox out;
  m.job = ((KqJobId)1 << 48) | id;
  kq_outbox_init (&out);
  send_after_commit (r, kq_jobs_call (r->jobs, &m, r->now, &out), &out);
}

bool
kq_rig_answer_contains (const KqRig *r, const char *text)
{
  return r->json != NULL && strstr (r->json, text) != NULL;
}

KqFakeWorker *
kq_rig_worker_of (KqRig *r, KqTaskKey key)
{
  for (size_t i = 0; i < r->n_workers; i++)
    {
      KqFakeTask *t = kq_fake_worker_task (&r->workers[i], key);
      if (t != NULL && t->report.state == KQ_TASK_RUNNING)
        return &r->workers[i];
    }
  return NULL;
}

KqJobSpec
kq_rig_spec (const char *team, const char *class_name, KqSize size)
{
  KqJobSpec s = { .priority = KQ_PRIORITY_NORMAL, .size = size };
  s.team = kq_name (kq_str (team));
  s.class_name = kq_name (kq_str (class_name));
  return s;
}
