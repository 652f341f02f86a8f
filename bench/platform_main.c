/* platform: measures the CPU time and bytes that a node spends on a store call and on a
 * lease call, by number of running tasks, through the real HTTP clients. The peer runs in
 * a second thread, so that only the node's side is measured. */

#include "http/server.h"
#include "port/mail.h"
#include "port/store_http.h"
#include "port/worker_fake.h"
#include "port/worker_http.h"
#include "port/worker_json.h"

#include <ev.h>

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* One node's share of 4,100 workers and 66,000 running tasks on about 100 nodes. */
#define WORKERS 41
#define TASKS_TARGET 16
#define RENEW_S 3
#define USAGE_S 10
#define USAGE_LAG (USAGE_S * KQ_SEC)
/* 640 starts a second over 100 nodes. */
#define STARTS_PER_S 6.4
/* Bytes of the header lines of a call and its answer, and of a task's entry in a lease
 * answer's list. */
#define HEADER_BYTES 152
#define ENTRY_BYTES 200
#define ROUNDS 50
#define STORE_CALLS 2000
/* Limits of what a node spends on control: share of a core, and bytes a second. */
#define CORE_LIMIT_PERCENT 1.9
#define BYTES_PER_S_LIMIT 20000.0

typedef struct
{
  KqLoop *loop;
  KqHttpServer *server;
  pthread_t thread;
  ev_async stop;
  KqWorkerFakeEffects effects;
  KqWorkerFake workers[WORKERS];
} Peer;

typedef struct
{
  KqLoop *loop;
  KqCounters *counters;
  KqTask receiver;
  KqWorkerPort *workers;
  KqStorePort *store;
  uint64_t stamps[WORKERS];
  int waiting;
  int failed;
} Node;

static void
peer_begin (void *arg, KqHttpExchange *x)
{
  (void)arg;
  kq_http_set_data (x, kq_alloc (sizeof (KqBuf)));
}

static void
peer_body (void *arg, KqHttpExchange *x, KqStr chunk)
{
  (void)arg;
  kq_buf_add_str (kq_http_data (x), chunk);
}

static void
peer_worker (Peer *p, KqHttpExchange *x, KqStr path)
{
  KqBuf *body = kq_http_data (x);
  KqWorkerCall c;
  KqWorkerReply r;
  KqWorkerCallKind kind;
  char *text;
  int i = atoi (path.ptr + 2);
  while (path.len > 0 && !kq_str_has_prefix (path, KQ_STR ("/v1/")))
    path = kq_str_n (path.ptr + 1, path.len - 1);
  if (!kq_worker_call_kind (kq_str_n (path.ptr + 4, path.len - 4), &kind)
      || !kq_worker_call_read (kq_buf_str (body), kind, &c))
    abort ();
  kq_worker_fake_call (&p->workers[i], &c, kq_time_now (), &r);
  text = kq_worker_answer_json (&r);
  kq_http_reply (x, r.result == KQ_OK ? 200 : 409, NULL, 0, kq_str (text));
  kq_worker_answer_free (&r);
  free (text);
  free (c.acks);
}

static void
peer_end (void *arg, KqHttpExchange *x)
{
  KqHeader revision = { KQ_STR ("X-Revision"), KQ_STR ("123456") };
  KqStr path = kq_http_path (x);
  if (kq_str_has_prefix (path, KQ_STR ("/w")))
    peer_worker (arg, x, path);
  else
    kq_http_reply (x, 200, &revision, 1, KQ_STR (""));
}

static void
peer_gone (void *arg, KqHttpExchange *x, bool whole)
{
  (void)arg;
  (void)whole;
  kq_buf_free (kq_http_data (x));
  free (kq_http_data (x));
}

static void
on_stop (struct ev_loop *ev, ev_async *w, int events)
{
  (void)w;
  (void)events;
  ev_break (ev, EVBREAK_ALL);
}

static void *
peer_run (void *arg)
{
  Peer *p = arg;
  kq_loop_run (p->loop);
  return NULL;
}

static void
start_peer (Peer *p, KqTime usage_lag)
{
  KqHttpHandler h = { p, peer_begin, peer_body, peer_end, NULL, peer_gone };
  p->loop = kq_loop_new ();
  p->server = kq_http_server_new (p->loop, "127.0.0.1", 0, &h);
  kq_worker_fake_effects_init (&p->effects, 1000, usage_lag);
  for (int i = 0; i < WORKERS; i++)
    kq_worker_fake_init (&p->workers[i], &p->effects, (KqSize){ 64000, 250000, 2 });
  ev_async_init (&p->stop, on_stop);
  ev_async_start (kq_loop_ev (p->loop), &p->stop);
  pthread_create (&p->thread, NULL, peer_run, p);
}

static void
stop_peer (Peer *p)
{
  ev_async_send (kq_loop_ev (p->loop), &p->stop);
  pthread_join (p->thread, NULL);
  kq_http_server_free (p->server);
  kq_loop_free (p->loop);
  for (int i = 0; i < WORKERS; i++)
    kq_worker_fake_free (&p->workers[i]);
  kq_worker_fake_effects_free (&p->effects);
}

static KqWorkerId
worker_id (int i)
{
  char name[16];
  snprintf (name, sizeof name, "w%d", i);
  return kq_str_hash (kq_str (name));
}

static void
on_mail (void *self, KqMail *mail, KqTime now)
{
  Node *n = self;
  const KqWorkerReply *r = &mail->u.worker_reply;
  (void)now;
  n->waiting--;
  if (mail->kind == KQ_MAIL_WORKER_REPLY)
    {
      n->failed += r->result != KQ_OK;
      for (int i = 0; i < WORKERS && r->kind == KQ_WORKER_LEASE; i++)
        {
          if (r->worker == worker_id (i))
            n->stamps[i] = r->stamp;
        }
    }
  else
    n->failed += mail->u.store_reply.result != KQ_OK;
  kq_mail_free (mail);
  if (n->waiting == 0)
    kq_loop_stop (n->loop);
}

static void
send_hosts (Node *n, const Peer *p)
{
  KqMail *m = kq_mail_new (KQ_MAIL_HOSTS);
  m->u.hosts.hosts = kq_alloc (WORKERS * sizeof *m->u.hosts.hosts);
  m->u.hosts.n_hosts = WORKERS;
  for (int i = 0; i < WORKERS; i++)
    {
      KqHost *h = &m->u.hosts.hosts[i];
      char address[64];
      snprintf (address, sizeof address, "http://127.0.0.1:%d/w%d",
                kq_http_server_port (p->server), i);
      h->id = worker_id (i);
      h->address = kq_str (kq_str_dup (kq_str (address)));
    }
  kq_task_send (kq_worker_http_task (n->workers), m);
}

static void
start_node (Node *n, const Peer *p)
{
  char url[64];
  n->loop = kq_loop_new ();
  n->counters = kq_counters_new ();
  kq_task_init (&n->receiver, n->loop, "bench", n, on_mail);
  snprintf (url, sizeof url, "http://127.0.0.1:%d", kq_http_server_port (p->server));
  n->workers
      = kq_worker_http_new (n->loop, &(KqWorkerHttpConfig){ .counters = n->counters,
                                                            .receiver = &n->receiver });
  n->store
      = kq_store_http_new (n->loop, &(KqStoreHttpConfig){ .url = kq_str (url),
                                                          .calls_per_second = 1000000,
                                                          .counters = n->counters,
                                                          .receiver = &n->receiver });
  send_hosts (n, p);
}

static void
stop_node (Node *n)
{
  kq_worker_http_free (n->workers);
  kq_store_http_free (n->store);
  kq_task_close (&n->receiver);
  kq_loop_free (n->loop);
  kq_counters_free (n->counters);
}

static void
send_out (Node *n, KqTask *to, KqOutbox *o)
{
  KqOut item;
  while (kq_outbox_take (o, &item))
    {
      n->waiting++;
      kq_task_send (to, kq_mail_out (&item));
    }
}

static void
call_workers (Node *n, KqWorkerCall c)
{
  KqOutbox o;
  kq_outbox_init (&o);
  for (int i = 0; i < WORKERS; i++)
    {
      c.worker = worker_id (i);
      c.echo_stamp = n->stamps[i];
      kq_outbox_worker (&o, &c);
    }
  send_out (n, kq_worker_http_task (n->workers), &o);
  kq_outbox_free (&o);
  kq_loop_run (n->loop);
}

static double
thread_us (void)
{
  struct timespec t;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static uint64_t
bytes_of (const Node *n, const char *port, const char *kind)
{
  char name[64];
  char in[64];
  char out[64];
  snprintf (name, sizeof name, "kq_%s_body_bytes_total", port);
  snprintf (in, sizeof in, "kind=\"%s\",way=\"in\"", kind);
  snprintf (out, sizeof out, "kind=\"%s\",way=\"out\"", kind);
  return *kq_counter (n->counters, name, in, "")
         + *kq_counter (n->counters, name, out, "");
}

static void
result (const char *name, double value, const char *unit, double limit)
{
  printf ("RESULT %s %.2f %s %.2f %s\n", name, value, unit, limit,
          limit <= 0 || value <= limit ? "ok" : "short");
}

static void
start_tasks (Node *n, int tasks)
{
  KqWorkerCall c = { .kind = KQ_WORKER_START, .epoch = 1, .size = { 1000, 1000, 0 } };
  c.class_name = kq_name (KQ_STR ("roster-build"));
  for (int t = 0; t < tasks; t++)
    {
      /* Ids use all 64 bits, as real ones do, which affects their printed length. */
      c.task = (KqTaskKey){ kq_hash2 ((uint64_t)t, 7), 1 };
      call_workers (n, c);
    }
}

typedef struct
{
  double us;
  double bytes; /* of both bodies */
} Cost;

static Cost
cost_since (const Node *n, const char *kind, Cost before, double calls)
{
  return (Cost){ (thread_us () - before.us) / calls,
                 ((double)bytes_of (n, "worker", kind) - before.bytes) / calls };
}

/* Measures a lease renewal with so many running tasks. With `usage` each answer has a
 * usage report of every task; without, nothing has changed since the last renewal. Also
 * returns the cost of a START in `start`. */
static Cost
bench_leases (int tasks, bool usage, Cost *start)
{
  KqWorkerCall lease = { .kind = KQ_WORKER_LEASE, .epoch = 1, .lease_ms = 3600000 };
  Peer p = { 0 };
  Node n = { 0 };
  char name[64];
  Cost c;
  start_peer (&p, usage ? 0 : 3600 * KQ_SEC);
  start_node (&n, &p);
  call_workers (&n, lease);
  call_workers (&n, lease);
  c = (Cost){ thread_us (), 0 };
  start_tasks (&n, tasks);
  *start = cost_since (&n, "start", c, tasks * WORKERS);
  call_workers (&n, lease);
  call_workers (&n, lease);
  c = (Cost){ thread_us (), (double)bytes_of (&n, "worker", "lease") };
  for (int i = 0; i < ROUNDS; i++)
    call_workers (&n, lease);
  c = cost_since (&n, "lease", c, ROUNDS * WORKERS);
  snprintf (name, sizeof name, "lease_cpu_%d_tasks%s", tasks, usage ? "_usage" : "");
  result (name, c.us, "us", 0);
  snprintf (name, sizeof name, "lease_body_%d_tasks%s", tasks, usage ? "_usage" : "");
  result (name, c.bytes, "bytes", 0);
  snprintf (name, sizeof name, "lease_failed_%d_tasks%s", tasks, usage ? "_usage" : "");
  result (name, n.failed, "calls", 0.5);
  stop_node (&n);
  stop_peer (&p);
  return c;
}

/* One node's share of the load, computed from the measured costs: worker calls only,
 * without heartbeats and the store. */
static void
bench_workers (void)
{
  Cost start;
  Cost idle = bench_leases (0, false, &start);
  Cost quiet = bench_leases (TASKS_TARGET, false, &start);
  Cost usage = bench_leases (TASKS_TARGET, true, &start);
  double renewals = (double)WORKERS / RENEW_S;
  double reports = (double)WORKERS / USAGE_S;
  double entry = ENTRY_BYTES; /* a start and an end are an entry each */
  double bytes = renewals * (quiet.bytes + HEADER_BYTES)
                 + reports * (usage.bytes - quiet.bytes)
                 + STARTS_PER_S * (start.bytes + HEADER_BYTES + 2 * entry);
  double us = renewals * quiet.us + reports * (usage.us - quiet.us)
              + STARTS_PER_S * (start.us + idle.us);
  result ("start_cpu", start.us, "us", 0);
  result ("start_body", start.bytes, "bytes", 0);
  result ("node_workers_quiet", renewals * (quiet.bytes + HEADER_BYTES), "bytes/s",
          BYTES_PER_S_LIMIT);
  result ("node_workers_peak", bytes, "bytes/s", BYTES_PER_S_LIMIT);
  result ("node_workers_peak_core", us / 1e4, "percent", CORE_LIMIT_PERCENT);
}

static void
bench_store (size_t size)
{
  Peer p = { 0 };
  Node n = { 0 };
  char name[64];
  char *value = kq_alloc (size + 1);
  double us;
  KqStoreOp op = { .kind = KQ_STORE_PUT, .key = KQ_STR ("log/17/3") };
  KqOutbox o;
  kq_outbox_init (&o);
  memset (value, 'v', size);
  op.value = kq_str_n (value, size);
  start_peer (&p, USAGE_LAG);
  start_node (&n, &p);
  us = thread_us ();
  for (int i = 0; i < STORE_CALLS / 10; i++)
    {
      for (int k = 0; k < 10; k++)
        kq_outbox_store (&o, &op);
      send_out (&n, kq_store_http_task (n.store), &o);
      kq_loop_run (n.loop);
    }
  us = (thread_us () - us) / STORE_CALLS;
  snprintf (name, sizeof name, "store_put_cpu_%zu_bytes", size);
  result (name, us, "us", 0);
  snprintf (name, sizeof name, "store_put_failed_%zu_bytes", size);
  result (name, n.failed, "calls", 0.5);
  kq_outbox_free (&o);
  stop_node (&n);
  stop_peer (&p);
  free (value);
}

int
main (void)
{
  bench_workers ();
  bench_store (1000);
  bench_store (100000);
  return 0;
}
