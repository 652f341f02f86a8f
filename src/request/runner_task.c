#include "request/runner_flight.h"

#include "base/log.h"

#include <assert.h>
#include <stdlib.h>

#define PART "runner"
/* Deadlines and the other times of the queue are checked at this interval. */
#define TICK_S 0.01
/* Time between digests to the node's task: a fifth of the heartbeat's period, so that the
 * digests in a heartbeat are hardly older than the heartbeat. */
#define DIGEST_INTERVAL (100 * KQ_MS)
/* The most services in a digest that the wire format allows. Entry nodes don't see an
 * owner of the services that are left out. */
#define DIGEST_SERVICES_MAX 4096
/* A pooled connection that was idle for longer isn't reused: a device on the path may
 * have dropped its state. */
#define IDLE_MAX_MS 5000
/* The HTTP client's limit for connections to a host. A runner accepts 64 in all; the
 * dispatcher, which counts a runner's slots exactly, never needs more. */
#define HOST_CONNECTIONS 64

static guint
flight_hash (gconstpointer p)
{
  const KqFlightId *id = p;
  return (guint)kq_hash2 (id->number, id->node ^ id->incarnation);
}

static gboolean
flight_equal (gconstpointer a, gconstpointer b)
{
  return kq_flight_eq (*(const KqFlightId *)a, *(const KqFlightId *)b);
}

static void
free_runner (gpointer p)
{
  KqRunnerRecord *r = p;
  free (r->address);
  free (r);
}

static void
on_request (KqRunnerTask *t, KqNodeId from, const KqMsgReqOpen *o, KqTime now)
{
  KqDispatchRequest q = { 0 };
  const KqRow *row = NULL;
  KqTime retry = 0;
  KqRunnerFlight *f;
  KqResult r;
  size_t work;
  if (g_hash_table_contains (t->flights, &o->flight))
    return; /* a duplicate */
  if (t->table != NULL)
    row = kq_table_find (t->table, KQ_ROW_SERVICE, o->service);
  if (row == NULL)
    {
      kq_runner_send_fail (t, from, o->flight, KQ_ERR_NO_SERVICE, KQ_RAN_NO, 0);
      return;
    }
  work = kq_runner_flight_work (o);
  if (!kq_client_limits_begin_work (t->config.limits, work, now))
    {
      kq_runner_send_fail (t, from, o->flight, KQ_ERR_QUEUE_FULL, KQ_RAN_NO, KQ_SEC);
      return;
    }
  q.flight = o->flight;
  q.service = o->service;
  q.caller = o->caller;
  q.deadline = now + o->deadline_us;
  q.idempotent = o->idempotent;
  q.class_id = kq_dispatch_class (o->method, o->path);
  q.key = kq_dispatch_key (o->path);
  r = kq_dispatch_offer (t->dispatch, &q, now, &retry);
  r = kq_runner_refusal_code (t, r, now);
  if (r != KQ_OK)
    {
      kq_client_limits_end_work (t->config.limits, work);
      kq_runner_send_fail (t, from, o->flight, r, KQ_RAN_NO, retry);
      return;
    }
  f = kq_runner_flight_new (t, from, o, now);
  f->work = work;
  f->silent_ms = row->u.service.silent_ms;
  g_hash_table_insert (t->flights, &f->id, f);
  kq_runner_run_queue (t, now);
}

static void
on_body (KqRunnerTask *t, const KqMsgBody *b, KqTime now)
{
  KqRunnerFlight *f = g_hash_table_lookup (t->flights, &b->flight);
  if (f == NULL || f->entry_gone)
    return;
  if (b->offset != f->body_received)
    {
      /* Part of the body was lost: the runner doesn't have the whole request. */
      KqRan ran = f->call == NULL ? KQ_RAN_NO : KQ_RAN_UNKNOWN;
      kq_runner_send_fail (t, f->entry, f->id, KQ_ERR_FRAME_FORMAT, ran, 0);
      f->entry_gone = true;
      if (f->call != NULL)
        kq_runner_cancel_call (t, f, now);
      else
        kq_runner_abandon (t, f, now);
      return;
    }
  f->body_received += b->bytes.len;
  f->body_end = f->body_end || b->end;
  if (f->call != NULL)
    kq_http_call_feed (f->call, b->bytes, b->end);
  else
    kq_buf_add_str (&f->body, b->bytes);
}

static void
on_credit (KqRunnerTask *t, const KqMsgCredit *c)
{
  KqRunnerFlight *f = g_hash_table_lookup (t->flights, &c->flight);
  if (f == NULL)
    return;
  f->answer_allowed += c->bytes;
  if (f->call != NULL && f->answer_offset < f->answer_allowed)
    kq_http_call_resume (f->call);
}

static void
answer_queues (KqRunnerTask *t, KqNodeId to, const KqMsgQuery *q, KqTime now)
{
  json_t *o = kq_dispatch_state (t->dispatch, now);
  char *text = json_dumps (o, JSON_COMPACT);
  kq_mail_send_answer (t->config.mesh, to, q->call, KQ_OK, kq_str (text));
  free (text);
  json_decref (o);
}

static void
on_message (KqRunnerTask *t, KqNodeId from, const KqMsg *m, KqTime now)
{
  KqRunnerFlight *f;
  switch (m->kind)
    {
    case KQ_MSG_REQ_OPEN:
      on_request (t, from, &m->u.req_open, now);
      break;
    case KQ_MSG_REQ_BODY:
      on_body (t, &m->u.body, now);
      break;
    case KQ_MSG_REQ_CANCEL:
      f = g_hash_table_lookup (t->flights, &m->u.req_cancel.flight);
      if (f != NULL)
        kq_runner_abandon (t, f, now);
      break;
    case KQ_MSG_RESP_CREDIT:
      on_credit (t, &m->u.credit);
      break;
    case KQ_MSG_QUERY:
      answer_queues (t, from, &m->u.query, now);
      break;
    default:
      assert (!"unexpected message");
      break;
    }
}

/* Abandons the flights of an entry node whose connection is down: it no longer waits for
 * their answers. */
static void
on_peer_down (KqRunnerTask *t, const KqMailPeer *p, KqTime now)
{
  GList *all = g_hash_table_get_values (t->flights);
  for (GList *at = all; at != NULL; at = at->next)
    {
      KqRunnerFlight *f = at->data;
      if (f->entry == p->peer && !f->entry_gone)
        kq_runner_abandon (t, f, now);
    }
  g_list_free (all);
}

static KqRunnerId
runner_id (KqWorkerId worker, const KqName *name)
{
  return kq_hash2 (worker, kq_str_hash (kq_name_str (name)));
}

static void
set_runner (KqRunnerTask *t, uint32_t shard, const KqHost *h, const KqHostRunner *hr,
            bool taken_over, KqTime now)
{
  KqRunnerInfo info = { 0 };
  KqRunnerId id = runner_id (h->id, &hr->name);
  KqRunnerRecord *r = g_hash_table_lookup (t->runners, &id);
  bool new_here = r == NULL;
  if (new_here)
    {
      r = kq_alloc (sizeof *r);
      r->id = id;
      g_hash_table_insert (t->runners, &r->id, r);
    }
  r->shard = shard;
  r->listed = true;
  r->worker = h->id;
  free (r->address);
  r->address = kq_str_dup (hr->address);
  info = (KqRunnerInfo){ id,        h->id,           shard,        h->depot,
                         hr->slots, hr->connections, hr->services, hr->n_services };
  kq_dispatch_set_runner (t->dispatch, &info, new_here && taken_over, now);
  kq_dispatch_set_leaving (t->dispatch, id, h->state == KQ_HOST_LEAVING, now);
}

static void
drop_unlisted (KqRunnerTask *t, uint32_t shard, KqTime now)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, t->runners);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      KqRunnerRecord *r = v;
      if (r->shard != shard || r->listed)
        continue;
      kq_dispatch_drop_runner (t->dispatch, r->id, now);
      g_hash_table_iter_remove (&it);
    }
}

static void
on_hosts (KqRunnerTask *t, const KqMailShardHosts *s, KqTime now)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, t->runners);
  while (g_hash_table_iter_next (&it, NULL, &v))
    ((KqRunnerRecord *)v)->listed = false;
  for (size_t i = 0; i < s->hosts.n_hosts; i++)
    {
      const KqHost *h = &s->hosts.hosts[i];
      for (size_t k = 0; k < h->n_runners && h->state != KQ_HOST_GONE; k++)
        set_runner (t, s->shard, h, &h->runners[k], s->taken_over, now);
    }
  drop_unlisted (t, s->shard, now);
  kq_runner_run_queue (t, now);
}

/* Drops all runners of a shard that went to another owner. */
static void
on_shard_gone (KqRunnerTask *t, uint32_t shard, KqTime now)
{
  KqMailShardHosts none = { .shard = shard };
  t->handed_over_at = now;
  on_hosts (t, &none, now);
}

static void
on_reports (KqRunnerTask *t, const KqWorkerReply *w, KqTime now)
{
  for (size_t i = 0; i < w->n_runners; i++)
    {
      KqRunnerId id = runner_id (w->worker, &w->runners[i].runner);
      if (!g_hash_table_contains (t->runners, &id))
        continue;
      kq_dispatch_set_report (t->dispatch, id, &w->runners[i], now);
      if (w->leaving || w->runners[i].leaving)
        kq_dispatch_set_leaving (t->dispatch, id, true, now);
    }
  kq_runner_run_queue (t, now);
}

static void
send_digest (KqRunnerTask *t, KqTime now)
{
  KqMail *m;
  size_t max;
  if (now < t->next_digest_at)
    return;
  t->next_digest_at = now + DIGEST_INTERVAL;
  m = kq_mail_new (KQ_MAIL_SERVICES);
  max = kq_dispatch_services (t->dispatch);
  if (max > DIGEST_SERVICES_MAX)
    max = DIGEST_SERVICES_MAX;
  m->u.services.digests = kq_alloc (max * sizeof *m->u.services.digests);
  m->u.services.n_digests = kq_dispatch_digest (t->dispatch, m->u.services.digests, max);
  kq_task_send (t->config.node, m);
}

static void
send_drained (KqRunnerTask *t)
{
  KqMail *m;
  if (!t->draining || t->drained_sent || g_hash_table_size (t->flights) > 0
      || g_hash_table_size (t->runners) > 0)
    return;
  t->drained_sent = true;
  m = kq_mail_new (KQ_MAIL_DRAINED);
  m->u.drained = PART;
  kq_task_send (t->config.node, m);
}

static void
on_table (KqRunnerTask *t, KqTable *table, KqTime now)
{
  if (t->table != NULL)
    kq_table_unref (t->table);
  t->table = kq_table_ref (table);
  kq_dispatch_set_table (t->dispatch, table, now);
  kq_runner_run_queue (t, now);
}

static void
on_mail (void *self, KqMail *mail, KqTime now)
{
  KqRunnerTask *t = self;
  switch (mail->kind)
    {
    case KQ_MAIL_MSG:
      on_message (t, mail->u.msg.peer, mail->u.msg.msg, now);
      break;
    case KQ_MAIL_PEER:
      if (!mail->u.peer.up && mail->u.peer.was_up)
        on_peer_down (t, &mail->u.peer, now);
      break;
    case KQ_MAIL_SHARD_HOSTS:
      on_hosts (t, &mail->u.shard_hosts, now);
      break;
    case KQ_MAIL_SHARD_GONE:
      on_shard_gone (t, mail->u.shard_gone, now);
      break;
    case KQ_MAIL_WORKER_REPLY:
      on_reports (t, &mail->u.worker_reply, now);
      break;
    case KQ_MAIL_TABLE:
      on_table (t, mail->u.table, now);
      break;
    case KQ_MAIL_DRAIN:
      t->draining = true;
      break;
    default:
      assert (!"unexpected mail");
      break;
    }
  kq_mail_free (mail);
}

/* Abandons sent flights whose deadline has passed without an answer. If the call goes on,
 * its slot stays taken until the call ends. */
static void
end_overdue (KqRunnerTask *t, KqTime now)
{
  GList *all = g_hash_table_get_values (t->flights);
  for (GList *at = all; at != NULL; at = at->next)
    {
      KqRunnerFlight *f = at->data;
      if (f->call == NULL || f->head_sent || f->entry_gone || now < f->deadline)
        continue;
      kq_runner_send_fail (t, f->entry, f->id, KQ_ERR_OUTCOME_UNKNOWN, KQ_RAN_UNKNOWN, 0);
      kq_runner_abandon (t, f, now);
    }
  g_list_free (all);
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  KqRunnerTask *t = w->data;
  KqTime now = kq_time_now ();
  (void)ev;
  (void)events;
  end_overdue (t, now);
  if (kq_dispatch_wake_time (t->dispatch, now) <= now)
    kq_runner_run_queue (t, now);
  send_digest (t, now);
  send_drained (t);
}

KqRunnerTask *
kq_runner_task_new (KqLoop *loop, const KqRunnerTaskConfig *c)
{
  KqRunnerTask *t = kq_alloc (sizeof *t);
  t->loop = loop;
  t->config = *c;
  t->dispatch = kq_dispatch_new (c->incarnation);
  t->http = kq_http_client_new (loop, HOST_CONNECTIONS, IDLE_MAX_MS);
  t->flights
      = g_hash_table_new_full (flight_hash, flight_equal, NULL, kq_runner_flight_free);
  t->runners = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_runner);
  t->uncancelled = kq_counter (c->counters, "kq_uncancelled_total", "",
                               "Abandoned requests that run on: not idempotent.");
  kq_task_init (&t->task, loop, PART, t, on_mail);
  ev_timer_init (&t->tick, on_tick, TICK_S, TICK_S);
  t->tick.data = t;
  ev_timer_start (kq_loop_ev (loop), &t->tick);
  return t;
}

void
kq_runner_task_free (KqRunnerTask *t)
{
  if (t == NULL)
    return;
  ev_timer_stop (kq_loop_ev (t->loop), &t->tick);
  kq_task_close (&t->task);
  g_hash_table_destroy (t->flights);
  g_hash_table_destroy (t->runners);
  kq_http_client_free (t->http);
  kq_dispatch_free (t->dispatch);
  if (t->table != NULL)
    kq_table_unref (t->table);
  free (t);
}

KqTask *
kq_runner_task_get_task (KqRunnerTask *t)
{
  return &t->task;
}

size_t
kq_runner_task_open_flights (const KqRunnerTask *t)
{
  return g_hash_table_size (t->flights);
}
