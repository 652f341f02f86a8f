#include "port/worker_http.h"

#include "base/log.h"
#include "http/client.h"
#include "port/mail.h"
#include "port/meter.h"
#include "port/worker_json.h"
#include "port/worker_list.h"

#include <ev.h>
#include <glib.h>

#include <assert.h>
#include <stdlib.h>

/* A longer answer is an error. The answer of a worker with 16 tasks has some 5 KB. */
#define ANSWER_MAX_BYTES (4 * 1024 * 1024)
/* Interval of the check for calls that have waited too long. */
#define EXPIRE_INTERVAL_S 0.1
#define N_KINDS (KQ_WORKER_THROTTLE + 1)

typedef struct
{
  KqWorkerId id;
  char *url;
  int open;              /* calls sent and not yet answered */
  GQueue waiting;        /* of Call */
  GList pending_link;    /* in the port's list of workers with waiting calls */
  bool pending;          /* this worker is in that list */
  bool gone;             /* removed; freed with its last open call */
  KqTime no_reuse_until; /* until then calls use new connections */
  KqWorkerList list;
} Worker;

typedef struct
{
  GList link;
  KqWorkerPort *port;
  Worker *worker;
  KqOut out; /* owns the acks */
  KqTime queued_at;
  KqTime sent_at;
  int status;
  KqBuf body;
  bool too_long;
} Call;

struct KqWorkerPort
{
  KqTask task;
  KqLoop *loop;
  KqHttpClient *client;
  KqWorkerHttpConfig config;
  GHashTable *workers; /* id -> Worker */
  GQueue pending;      /* workers with waiting calls, served in turn */
  GQueue open;         /* of Call */
  KqTime logged_at;
  ev_timer expire_timer;
  KqMeter meters[N_KINDS];
  uint64_t *bytes_out;
  uint64_t *bytes_in;
};

static void
free_call (Call *c)
{
  kq_out_clear (&c->out);
  kq_buf_free (&c->body);
  free (c);
}

static void
free_worker (Worker *worker)
{
  assert (worker->open == 0 && worker->waiting.length == 0 && !worker->pending);
  kq_worker_list_free (&worker->list);
  free (worker->url);
  free (worker);
}

static void
send_reply (Call *c, KqWorkerReply *r)
{
  const KqWorkerCall *call = &c->out.u.worker;
  r->kind = call->kind;
  r->worker = call->worker;
  r->shard = call->shard;
  r->epoch = call->epoch;
  r->token = call->token;
  r->task = call->task;
  r->sent_at = c->sent_at;
  kq_task_send (c->port->config.receiver, kq_mail_worker_reply (r));
  if (r->result != KQ_OK)
    kq_counter_result (c->port->config.counters, r->result);
}

/* Answers a call that was never sent. */
static void
answer_unsent (Call *c)
{
  KqWorkerReply r = { .result = KQ_ERR_WORKER_UNREACHABLE };
  kq_meter_unsent (&c->port->meters[c->out.u.worker.kind], r.result);
  send_reply (c, &r);
  free_call (c);
}

static KqResult
read_answer (const Call *c, KqHttpOutcome outcome, KqWorkerReply *r)
{
  const KqWorkerCall *call = &c->out.u.worker;
  KqResult result;
  if (outcome != KQ_HTTP_DONE || (c->status != 200 && c->status != 409))
    return KQ_ERR_WORKER_UNREACHABLE;
  if (c->too_long)
    return KQ_ERR_PLATFORM_FORMAT;
  result = kq_worker_answer_read (kq_buf_str (&c->body), c->status == 200, call, r);
  if (result == KQ_OK && call->kind == KQ_WORKER_LEASE)
    result = kq_worker_list_apply (&c->worker->list, call, r);
  return result;
}

static void send_pending (KqWorkerPort *p);

static void
end_call (Worker *worker)
{
  worker->open--;
  if (worker->gone && worker->open == 0)
    free_worker (worker);
}

static void
on_done (void *arg, KqHttpCall *http, KqHttpOutcome outcome)
{
  Call *c = arg;
  KqWorkerPort *p = c->port;
  KqWorkerReply r = { 0 };
  KqTime now = kq_time_now ();
  (void)http;
  g_queue_unlink (&p->open, &c->link);
  r.result = read_answer (c, outcome, &r);
  /* What broke one connection to the worker has probably broken the other pooled
   * connections too. When no_reuse_until has passed, these have been idle for longer than
   * idle_ms and aren't reused. */
  if (outcome != KQ_HTTP_DONE)
    c->worker->no_reuse_until = now + p->config.idle_ms * KQ_MS + KQ_SEC;
  if (r.result == KQ_ERR_PLATFORM_FORMAT && now - p->logged_at >= KQ_SEC)
    {
      p->logged_at = now;
      kq_log (KQ_LOG_WARN, "worker", "Answer can't be read. url=%s status=%d bytes=%zu",
              c->worker->url, c->status, c->body.len);
    }
  kq_meter_answered (&p->meters[c->out.u.worker.kind], r.result, now - c->sent_at,
                     c->body.len);
  end_call (c->worker);
  send_reply (c, &r);
  kq_worker_answer_free (&r);
  free_call (c);
  send_pending (p);
}

static void
on_head (void *arg, KqHttpCall *http, int status, const KqHeader *h, size_t n,
         int64_t length)
{
  Call *c = arg;
  (void)http;
  (void)h;
  (void)n;
  (void)length;
  c->status = status;
}

static void
on_data (void *arg, KqHttpCall *http, KqStr chunk)
{
  Call *c = arg;
  (void)http;
  c->too_long = c->too_long || !kq_buf_add_bounded (&c->body, chunk, ANSWER_MAX_BYTES);
}

/* libcurl resends a request when a reused connection closes before the first byte of the
 * answer. A START that is carried out twice would be answered OLD_ATTEMPT although the
 * task runs, so the body is streamed, which libcurl can't resend. */
static void
send_call (KqWorkerPort *p, Call *c)
{
  KqWorkerCall *call = &c->out.u.worker;
  KqHttpCallback cb = { .arg = c, .head = on_head, .data = on_data, .done = on_done };
  KqHttpRequest r = { .method = "POST", .streamed = true };
  KqBuf url = { 0 };
  KqHttpCall *http;
  char *body;

  call->list_stamp = c->worker->list.stamp;
  body = kq_worker_call_json (call);
  kq_buf_printf (&url, "%s/v1/%s", c->worker->url, kq_worker_call_name (call->kind));
  r.url = url.ptr;
  r.body_length = (int64_t)kq_str (body).len;
  r.connect_ms = p->config.connect_ms;
  r.idle_timeout_ms = p->config.silent_ms;
  r.total_ms = p->config.call_ms;
  c->sent_at = kq_time_now ();
  r.fresh_connection = c->sent_at < c->worker->no_reuse_until;
  c->worker->open++;
  g_queue_push_tail_link (&p->open, &c->link);
  http = kq_http_call (p->client, &r, &cb);
  kq_http_call_feed (http, kq_str (body), true);
  kq_meter_sent (&p->meters[call->kind], kq_str (body).len);
  free (body);
  kq_buf_free (&url);
}

static void
remove_pending (KqWorkerPort *p, Worker *worker)
{
  if (worker->pending)
    g_queue_unlink (&p->pending, &worker->pending_link);
  worker->pending = false;
}

/* Sends waiting calls, one for each worker in turn, so that a worker with many waiting
 * calls doesn't use up the total. */
static void
send_pending (KqWorkerPort *p)
{
  guint skipped = 0; /* workers since the last call sent */
  while (skipped < p->pending.length && (int)p->open.length < p->config.total)
    {
      Worker *worker = g_queue_pop_head_link (&p->pending)->data;
      worker->pending = false;
      skipped++;
      if (worker->open < p->config.per_worker)
        {
          send_call (p, g_queue_pop_head_link (&worker->waiting)->data);
          skipped = 0;
        }
      if (worker->waiting.length > 0)
        {
          g_queue_push_tail_link (&p->pending, &worker->pending_link);
          worker->pending = true;
        }
    }
}

static void
refuse_waiting (Worker *worker, KqTime queued_before)
{
  GList *next;
  for (GList *l = worker->waiting.head; l != NULL; l = next)
    {
      Call *c = l->data;
      next = l->next;
      if (c->queued_at > queued_before)
        continue;
      g_queue_unlink (&worker->waiting, l);
      answer_unsent (c);
    }
}

static void
on_expire (struct ev_loop *ev, ev_timer *w, int events)
{
  KqWorkerPort *p = w->data;
  KqTime before = kq_time_now () - p->config.call_ms * KQ_MS;
  GList *next;
  (void)ev;
  (void)events;
  *p->bytes_out = kq_http_client_bytes_out (p->client);
  *p->bytes_in = kq_http_client_bytes_in (p->client);
  for (GList *l = p->pending.head; l != NULL; l = next)
    {
      Worker *worker = l->data;
      next = l->next;
      refuse_waiting (worker, before);
      if (worker->waiting.length == 0)
        remove_pending (p, worker);
    }
}

static Worker *
find_worker (const KqWorkerPort *p, KqWorkerId id)
{
  return g_hash_table_lookup (p->workers, &id);
}

static void
queue_call (KqWorkerPort *p, Call *c)
{
  const KqWorkerCall *call = &c->out.u.worker;
  Worker *worker = find_worker (p, call->worker);
  c->worker = worker;
  if (worker == NULL || (int)worker->waiting.length >= p->config.queue_max)
    {
      answer_unsent (c);
      return;
    }
  if (call->kind == KQ_WORKER_LEASE)
    g_queue_push_head_link (&worker->waiting, &c->link);
  else
    g_queue_push_tail_link (&worker->waiting, &c->link);
  if (!worker->pending)
    g_queue_push_tail_link (&p->pending, &worker->pending_link);
  worker->pending = true;
  send_pending (p);
}

static void
remove_worker (KqWorkerPort *p, Worker *worker)
{
  refuse_waiting (worker, KQ_TIME_NEVER);
  remove_pending (p, worker);
  g_hash_table_steal (p->workers, &worker->id);
  worker->gone = true;
  if (worker->open == 0)
    free_worker (worker);
}

static void
update_worker (KqWorkerPort *p, const KqHost *h)
{
  Worker *worker = find_worker (p, h->id);
  if (h->state == KQ_HOST_GONE)
    {
      if (worker != NULL)
        remove_worker (p, worker);
      return;
    }
  if (worker == NULL)
    {
      worker = kq_alloc (sizeof *worker);
      worker->id = h->id;
      worker->pending_link.data = worker;
      g_hash_table_insert (p->workers, &worker->id, worker);
    }
  free (worker->url);
  worker->url = kq_str_dup (h->address);
}

static void
handle (void *self, KqMail *mail, KqTime now)
{
  KqWorkerPort *p = self;
  if (mail->kind == KQ_MAIL_HOSTS)
    {
      for (size_t i = 0; i < mail->u.hosts.n_hosts; i++)
        update_worker (p, &mail->u.hosts.hosts[i]);
    }
  else if (mail->kind == KQ_MAIL_OUT && mail->u.out.kind == KQ_OUT_WORKER)
    {
      Call *c = kq_alloc (sizeof *c);
      c->link.data = c;
      c->port = p;
      c->queued_at = c->sent_at = now;
      c->out = mail->u.out;
      mail->u.out = (KqOut){ .kind = KQ_OUT_WORKER };
      queue_call (p, c);
    }
  kq_mail_free (mail);
}

static void
set_default (int *field, int value)
{
  if (*field <= 0)
    *field = value;
}

KqWorkerPort *
kq_worker_http_new (KqLoop *loop, const KqWorkerHttpConfig *config)
{
  KqWorkerPort *p = kq_alloc (sizeof *p);
  KqWorkerHttpConfig *c = &p->config;
  assert (config->counters != NULL && config->receiver != NULL);
  *c = *config;
  set_default (&c->per_worker, 4);
  set_default (&c->total, 512);
  set_default (&c->queue_max, 64);
  set_default (&c->connect_ms, 300);
  set_default (&c->silent_ms, 1000);
  set_default (&c->call_ms, 3000);
  set_default (&c->idle_ms, 5000);
  p->loop = loop;
  p->client = kq_http_client_new (loop, c->total, c->idle_ms);
  p->workers = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (int i = 0; i < N_KINDS; i++)
    kq_meter_init (&p->meters[i], c->counters, "worker",
                   kq_worker_call_name ((KqWorkerCallKind)i));
  p->bytes_out = kq_counter (c->counters, "kq_worker_bytes_out_total", "",
                             "Bytes to workers, heads and bodies.");
  p->bytes_in = kq_counter (c->counters, "kq_worker_bytes_in_total", "",
                            "Bytes from workers, heads and bodies.");
  ev_timer_init (&p->expire_timer, on_expire, EXPIRE_INTERVAL_S, EXPIRE_INTERVAL_S);
  p->expire_timer.data = p;
  ev_timer_start (kq_loop_ev (loop), &p->expire_timer);
  kq_task_init (&p->task, loop, "worker", p, handle);
  return p;
}

static void
free_calls (GQueue *q)
{
  GList *l;
  while ((l = g_queue_pop_head_link (q)) != NULL)
    {
      Call *c = l->data;
      if (q == &c->port->open)
        end_call (c->worker);
      free_call (c);
    }
}

void
kq_worker_http_free (KqWorkerPort *p)
{
  GHashTableIter it;
  void *value;
  if (p == NULL)
    return;
  kq_task_close (&p->task);
  ev_timer_stop (kq_loop_ev (p->loop), &p->expire_timer);
  kq_http_client_free (p->client);
  free_calls (&p->open);
  g_hash_table_iter_init (&it, p->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      Worker *worker = value;
      free_calls (&worker->waiting);
      worker->pending = false;
      free_worker (worker);
    }
  g_hash_table_destroy (p->workers);
  free (p);
}

KqTask *
kq_worker_http_task (KqWorkerPort *p)
{
  return &p->task;
}

int
kq_worker_http_open_calls (const KqWorkerPort *p)
{
  return (int)p->open.length;
}

int
kq_worker_http_n_workers (const KqWorkerPort *p)
{
  return (int)g_hash_table_size (p->workers);
}
