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

/* A worker with 16 tasks answers in some 5 KB; a thousand times that is a fault. */
#define ANSWER_MAX (4 * 1024 * 1024)
/* How often waiting calls are looked over for having waited too long. */
#define EXPIRE_S 0.1
#define KINDS (KQ_WORKER_THROTTLE + 1)

typedef struct
{
  KqWorkerId id;
  char *url;
  int open;
  GQueue waiting; /* of Call */
  GList busy;     /* in the port's list of workers with waiting calls */
  bool listed;    /* in that list */
  bool gone;      /* freed with its last open call */
  KqTime fresh_until;
  KqWorkerList list;
} Target;

typedef struct
{
  GList link;
  KqWorkerPort *port;
  Target *target;
  KqOut out; /* owns the acks */
  KqTime taken_at;
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
  GHashTable *targets; /* id -> Target */
  GQueue busy;         /* Targets with waiting calls, in turn */
  GQueue open;         /* of Call */
  KqTime logged_at;
  ev_timer expire;
  KqMeter meters[KINDS];
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
free_target (Target *t)
{
  assert (t->open == 0 && t->waiting.length == 0 && !t->listed);
  kq_worker_list_free (&t->list);
  free (t->url);
  free (t);
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
refuse (Call *c)
{
  KqWorkerReply r = { .result = KQ_ERR_WORKER_UNREACHABLE };
  kq_meter_unsent (&c->port->meters[c->out.u.worker.kind], r.result);
  send_reply (c, &r);
  free_call (c);
}

static KqResult
read_answer (const Call *c, KqHttpEnd end, KqWorkerReply *r)
{
  const KqWorkerCall *call = &c->out.u.worker;
  KqResult result;
  if (end != KQ_HTTP_DONE || (c->status != 200 && c->status != 409))
    return KQ_ERR_WORKER_UNREACHABLE;
  if (c->too_long)
    return KQ_ERR_PLATFORM_FORMAT;
  result = kq_worker_answer_read (kq_buf_str (&c->body), c->status == 200, call, r);
  if (result == KQ_OK && call->kind == KQ_WORKER_LEASE)
    result = kq_worker_list_apply (&c->target->list, call, r);
  return result;
}

static void pump (KqWorkerPort *p);

static void
leave_target (Target *t)
{
  t->open--;
  if (t->gone && t->open == 0)
    free_target (t);
}

static void
on_done (void *arg, KqHttpCall *http, KqHttpEnd end)
{
  Call *c = arg;
  KqWorkerPort *p = c->port;
  KqWorkerReply r = { 0 };
  KqTime now = kq_time_now ();
  (void)http;
  g_queue_unlink (&p->open, &c->link);
  r.result = read_answer (c, end, &r);
  /* The pooled connections to a worker share their way with the one that failed; all
   * are older than this span when they may be used again. */
  if (end != KQ_HTTP_DONE)
    c->target->fresh_until = now + p->config.idle_ms * KQ_MS + KQ_SEC;
  if (r.result == KQ_ERR_PLATFORM_FORMAT && now - p->logged_at >= KQ_SEC)
    {
      p->logged_at = now;
      kq_log (KQ_LOG_WARN, "worker", "Answer can't be read. url=%s status=%d bytes=%zu",
              c->target->url, c->status, c->body.len);
    }
  kq_meter_answered (&p->meters[c->out.u.worker.kind], r.result, now - c->sent_at,
                     c->body.len);
  leave_target (c->target);
  send_reply (c, &r);
  kq_worker_answer_free (&r);
  free_call (c);
  pump (p);
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
  c->too_long = c->too_long || !kq_buf_add_most (&c->body, chunk, ANSWER_MAX);
}

/* The body is streamed because libcurl can't repeat it by itself then: a START carried
 * out twice would be answered OLD_ATTEMPT although the task runs. */
static void
send_call (KqWorkerPort *p, Call *c)
{
  KqWorkerCall *call = &c->out.u.worker;
  KqHttpCallback cb = { .arg = c, .head = on_head, .data = on_data, .done = on_done };
  KqHttpRequest r = { .method = "POST", .streamed = true };
  KqBuf url = { 0 };
  KqHttpCall *http;
  char *body;

  call->list_stamp = c->target->list.stamp;
  body = kq_worker_call_json (call);
  kq_buf_printf (&url, "%s/v1/%s", c->target->url, kq_worker_call_name (call->kind));
  r.url = url.ptr;
  r.body_length = (int64_t)kq_str (body).len;
  r.connect_ms = p->config.connect_ms;
  r.silent_ms = p->config.silent_ms;
  r.total_ms = p->config.call_ms;
  c->sent_at = kq_time_now ();
  r.once = c->sent_at < c->target->fresh_until;
  c->target->open++;
  g_queue_push_tail_link (&p->open, &c->link);
  http = kq_http_call (p->client, &r, &cb);
  kq_http_call_feed (http, kq_str (body), true);
  kq_meter_sent (&p->meters[call->kind], kq_str (body).len);
  free (body);
  kq_buf_free (&url);
}

static void
unlist (KqWorkerPort *p, Target *t)
{
  if (t->listed)
    g_queue_unlink (&p->busy, &t->busy);
  t->listed = false;
}

/* One call for each worker in turn, so that a worker with many waiting calls doesn't
 * use up the total for the others. */
static void
pump (KqWorkerPort *p)
{
  guint idle = 0; /* workers seen since the last call sent */
  while (idle < p->busy.length && (int)p->open.length < p->config.total)
    {
      Target *t = g_queue_pop_head_link (&p->busy)->data;
      t->listed = false;
      idle++;
      if (t->open < p->config.per_worker)
        {
          send_call (p, g_queue_pop_head_link (&t->waiting)->data);
          idle = 0;
        }
      if (t->waiting.length > 0)
        {
          g_queue_push_tail_link (&p->busy, &t->busy);
          t->listed = true;
        }
    }
}

static void
refuse_waiting (Target *t, KqTime taken_before)
{
  GList *next;
  for (GList *l = t->waiting.head; l != NULL; l = next)
    {
      Call *c = l->data;
      next = l->next;
      if (c->taken_at > taken_before)
        continue;
      g_queue_unlink (&t->waiting, l);
      refuse (c);
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
  for (GList *l = p->busy.head; l != NULL; l = next)
    {
      Target *t = l->data;
      next = l->next;
      refuse_waiting (t, before);
      if (t->waiting.length == 0)
        unlist (p, t);
    }
}

static Target *
find_target (const KqWorkerPort *p, KqWorkerId id)
{
  return g_hash_table_lookup (p->targets, &id);
}

static void
take_call (KqWorkerPort *p, Call *c)
{
  const KqWorkerCall *call = &c->out.u.worker;
  Target *t = find_target (p, call->worker);
  c->target = t;
  if (t == NULL || (int)t->waiting.length >= p->config.queue_max)
    {
      refuse (c);
      return;
    }
  if (call->kind == KQ_WORKER_LEASE)
    g_queue_push_head_link (&t->waiting, &c->link);
  else
    g_queue_push_tail_link (&t->waiting, &c->link);
  if (!t->listed)
    g_queue_push_tail_link (&p->busy, &t->busy);
  t->listed = true;
  pump (p);
}

static void
forget (KqWorkerPort *p, Target *t)
{
  refuse_waiting (t, KQ_TIME_NEVER);
  unlist (p, t);
  g_hash_table_steal (p->targets, &t->id);
  t->gone = true;
  if (t->open == 0)
    free_target (t);
}

static void
take_host (KqWorkerPort *p, const KqHost *h)
{
  Target *t = find_target (p, h->id);
  if (h->state == KQ_HOST_GONE)
    {
      if (t != NULL)
        forget (p, t);
      return;
    }
  if (t == NULL)
    {
      t = kq_alloc (sizeof *t);
      t->id = h->id;
      t->busy.data = t;
      g_hash_table_insert (p->targets, &t->id, t);
    }
  free (t->url);
  t->url = kq_str_dup (h->address);
}

static void
handle (void *self, KqMail *mail, KqTime now)
{
  KqWorkerPort *p = self;
  if (mail->kind == KQ_MAIL_HOSTS)
    {
      for (size_t i = 0; i < mail->u.hosts.n_hosts; i++)
        take_host (p, &mail->u.hosts.hosts[i]);
    }
  else if (mail->kind == KQ_MAIL_OUT && mail->u.out.kind == KQ_OUT_WORKER)
    {
      Call *c = kq_alloc (sizeof *c);
      c->link.data = c;
      c->port = p;
      c->taken_at = c->sent_at = now;
      c->out = mail->u.out;
      mail->u.out = (KqOut){ .kind = KQ_OUT_WORKER };
      take_call (p, c);
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
  p->targets = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (int i = 0; i < KINDS; i++)
    kq_meter_init (&p->meters[i], c->counters, "worker",
                   kq_worker_call_name ((KqWorkerCallKind)i));
  p->bytes_out = kq_counter (c->counters, "kq_worker_bytes_out_total", "",
                             "Bytes to workers, heads and bodies.");
  p->bytes_in = kq_counter (c->counters, "kq_worker_bytes_in_total", "",
                            "Bytes from workers, heads and bodies.");
  ev_timer_init (&p->expire, on_expire, EXPIRE_S, EXPIRE_S);
  p->expire.data = p;
  ev_timer_start (kq_loop_ev (loop), &p->expire);
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
        leave_target (c->target);
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
  ev_timer_stop (kq_loop_ev (p->loop), &p->expire);
  kq_http_client_free (p->client);
  free_calls (&p->open);
  g_hash_table_iter_init (&it, p->targets);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      Target *t = value;
      free_calls (&t->waiting);
      t->listed = false;
      free_target (t);
    }
  g_hash_table_destroy (p->targets);
  free (p);
}

KqTask *
kq_worker_http_task (KqWorkerPort *p)
{
  return &p->task;
}

int
kq_worker_http_open (const KqWorkerPort *p)
{
  return (int)p->open.length;
}

int
kq_worker_http_known (const KqWorkerPort *p)
{
  return (int)g_hash_table_size (p->targets);
}
