#include "../bench/guard.h"
#include "http/client.h"
#include "port/mail.h"
#include "port/store_http.h"
#include "port/worker_http.h"

#include <glib.h>
#include <jansson.h>

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

/* The ports of src/port against stand-in processes: the store, two workers in one
 * process, and a relay in front of the store, on TCP ports that the kernel chooses. Every
 * wait is for an event and fails after WAIT_MAX_S. */

#define WAIT_MAX_S 20

typedef struct
{
  pid_t pid;
  FILE *out;
} Process;

typedef struct
{
  KqLoop *loop;
  KqCounters *counters;
  KqTask receiver;
  KqHttpClient *client; /* control requests to the stand-ins */
  KqStorePort *store;   /* through the relay */
  KqWorkerPort *workers;
  Process processes[3];
  int store_port;
  int worker_port;
  int control_port;
  KqMail *reply; /* the last one received */
  int awaited;   /* replies still to come */
  KqBuf body;    /* of the last control request's answer */
  bool body_done;
} Rig;

static void
run (Rig *g)
{
  loop_run_with_timeout (g->loop, WAIT_MAX_S);
}

static void
on_mail (void *self, KqMail *mail, KqTime now)
{
  Rig *g = self;
  (void)now;
  kq_mail_free (g->reply);
  g->reply = mail;
  if (--g->awaited == 0)
    kq_loop_stop (g->loop);
}

static void
send_outbox (Rig *g, KqTask *to, KqOutbox *o)
{
  KqOut item;
  kq_mail_free (g->reply);
  g->reply = NULL;
  for (g->awaited = 0; kq_outbox_take (o, &item); g->awaited++)
    kq_task_send (to, kq_mail_out (&item));
  kq_outbox_free (o);
}

static const KqStoreReply *
last_store_reply (Rig *g)
{
  if (g->awaited > 0)
    run (g);
  assert_int_equal (g->awaited, 0);
  return &g->reply->u.store_reply;
}

/* Sends the call `times` times at once; returns the last reply. */
static const KqStoreReply *
store_times (Rig *g, KqStoreOp op, int times)
{
  KqOutbox o;
  kq_outbox_init (&o);
  for (int i = 0; i < times; i++)
    kq_outbox_store (&o, &op);
  send_outbox (g, kq_store_http_task (g->store), &o);
  return last_store_reply (g);
}

static const KqStoreReply *
store (Rig *g, KqStoreOp op)
{
  return store_times (g, op, 1);
}

static const KqWorkerReply *
worker (Rig *g, const char *name, KqWorkerCall c)
{
  KqOutbox o;
  kq_outbox_init (&o);
  c.worker = kq_str_hash (kq_str (name));
  c.epoch = 1;
  kq_outbox_worker (&o, &c);
  send_outbox (g, kq_worker_http_task (g->workers), &o);
  run (g);
  assert_non_null (g->reply);
  return &g->reply->u.worker_reply;
}

static void
on_body_data (void *arg, KqHttpCall *c, KqStr chunk)
{
  Rig *g = arg;
  (void)c;
  kq_buf_add_str (&g->body, chunk);
}

static void
on_body_done (void *arg, KqHttpCall *c, KqHttpOutcome end)
{
  Rig *g = arg;
  (void)c;
  g->body_done = end == KQ_HTTP_DONE;
  kq_loop_stop (g->loop);
}

/* Sends a control request to a stand-in: POST with the text, or GET if it is NULL.
 * Returns the body of the answer, valid until the next call. */
static const char *
control (Rig *g, int port, const char *path, const char *text)
{
  KqHttpCallback cb = { .arg = g, .data = on_body_data, .done = on_body_done };
  char url[128];
  KqHttpRequest r = { .method = text != NULL ? "POST" : "GET", .body = kq_str (text) };
  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", port, path);
  r.url = url;
  r.fresh_connection = true;
  g->body_done = false;
  kq_buf_clear (&g->body);
  kq_http_call (g->client, &r, &cb);
  run (g);
  assert_true (g->body_done);
  return g->body.ptr;
}

static int
start_process (Process *p, const char *command, const char *word)
{
  char **argv = g_strsplit (command, " ", 0);
  char line[64];
  int out = -1;
  int port = 0;
  size_t n = strlen (word);
  assert_true (g_spawn_async_with_pipes (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                                         NULL, NULL, &p->pid, NULL, &out, NULL, NULL));
  p->out = fdopen (out, "r");
  g_strfreev (argv);
  assert_non_null (fgets (line, sizeof line, p->out));
  assert_memory_equal (line, word, n);
  port = atoi (line + n);
  assert_true (port > 0);
  return port;
}

static int
set_up (void **state)
{
  Rig *g = kq_alloc (sizeof *g);
  KqStoreHttpConfig sc = { .read_ms = 300, .write_ms = 300 };
  KqWorkerHttpConfig wc = { .silent_ms = 300 };
  char text[128];
  int relay;
  *state = g;
  g->store_port = start_process (&g->processes[0], "build/standin-store --hosts-lag-ms 0",
                                 "listening ");
  snprintf (text, sizeof text,
            "build/standin-worker --count 2 --store http://127.0.0.1:%d", g->store_port);
  g->worker_port = start_process (&g->processes[1], text, "listening ");
  snprintf (text, sizeof text, "build/standin-relay --target 127.0.0.1:%d",
            g->store_port);
  relay = start_process (&g->processes[2], text, "listening ");
  assert_non_null (fgets (text, sizeof text, g->processes[2].out));
  assert_memory_equal (text, "control ", 8);
  g->control_port = atoi (text + 8);
  g->loop = kq_loop_new ();
  g->counters = kq_counters_new ();
  g->client = kq_http_client_new (g->loop, 4, 5000);
  kq_task_init (&g->receiver, g->loop, "test", g, on_mail);
  snprintf (text, sizeof text, "http://127.0.0.1:%d", relay);
  sc.url = kq_str (text);
  sc.counters = wc.counters = g->counters;
  sc.receiver = wc.receiver = &g->receiver;
  g->store = kq_store_http_new (g->loop, &sc);
  g->workers = kq_worker_http_new (g->loop, &wc);
  return 0;
}

static int
tear_down (void **state)
{
  Rig *g = *state;
  kq_store_http_free (g->store);
  kq_worker_http_free (g->workers);
  kq_http_client_free (g->client);
  kq_task_close (&g->receiver);
  kq_mail_free (g->reply);
  kq_loop_free (g->loop);
  kq_counters_free (g->counters);
  kq_buf_free (&g->body);
  for (int i = 0; i < 3; i++)
    {
      kill (g->processes[i].pid, SIGKILL);
      waitpid (g->processes[i].pid, NULL, 0);
      fclose (g->processes[i].out);
    }
  free (g);
  return 0;
}

/* A write takes effect and its answer is lost: the caller gets UNREACHABLE and finds its
 * own value when it reads the key; a repeat with the old revision is a conflict. */
static void
test_answer_lost_after_the_effect (void **state)
{
  Rig *g = *state;
  KqStoreOp put
      = { .kind = KQ_STORE_PUT, .key = KQ_STR ("own/1"), .value = KQ_STR ("a\0b") };
  KqStoreOp get = { .kind = KQ_STORE_GET, .key = KQ_STR ("own/1") };
  const KqStoreReply *r;
  control (g, g->store_port, "/v1/fault",
           "{\"path\":\"/v1/kv/\",\"method\":\"PUT\",\"lose_answer\":1}");
  assert_int_equal (store (g, put)->result, KQ_ERR_STORE_UNREACHABLE);
  r = store (g, get);
  assert_int_equal (r->result, KQ_OK);
  assert_true (kq_str_eq (r->value, KQ_STR ("a\0b")));
  assert_int_equal (r->revision, 1);
  r = store (g, put);
  assert_int_equal (r->result, KQ_ERR_STORE_CONFLICT);
  assert_int_equal (r->revision, 1);
  put.expect = 1;
  assert_int_equal (store (g, put)->revision, 2);
}

/* A key is removed when its lease expires. A waiting watch reports this, and a watch that
 * never gets an answer ends by its timeout. */
static void
test_lease_lapses_under_a_watch (void **state)
{
  Rig *g = *state;
  KqStoreOp op = { .kind = KQ_STORE_LEASE_GRANT, .lease_ms = 400 };
  const KqStoreReply *r = store (g, op);
  uint64_t lease = r->lease;
  assert_int_equal (r->result, KQ_OK);
  op = (KqStoreOp){ .kind = KQ_STORE_PUT, .key = KQ_STR ("member/a"), .lease = lease };
  op.expect = store (g, op)->revision;
  op.kind = KQ_STORE_WATCH;
  op.key = KQ_STR ("member/");
  op.wait_ms = 10000;
  r = store (g, op);
  assert_int_equal (r->result, KQ_OK);
  assert_int_equal (r->n_items, 0);
  assert_true (r->revision > op.expect);
  op.kind = KQ_STORE_LEASE_RENEW;
  op.lease = lease;
  assert_int_equal (store (g, op)->result, KQ_ERR_STORE_LEASE_LOST);
  control (g, g->store_port, "/v1/fault", "{\"silent_watch\":true}");
  op.kind = KQ_STORE_WATCH;
  op.wait_ms = 10;
  assert_int_equal (store (g, op)->result, KQ_ERR_STORE_UNREACHABLE);
}

/* An outage begins while a watch waits, and the lease of a watched key expires. The watch
 * must fail instead of reporting the expired key: its node would conclude that the store
 * is available again, and its peers, relying on it, would give up their shards. */
static void
test_outage_ends_waiting_watches (void **state)
{
  Rig *g = *state;
  KqStoreOp op = { .kind = KQ_STORE_LEASE_GRANT, .lease_ms = 500 };
  KqTime deadline = kq_time_now () + WAIT_MAX_S * KQ_SEC;
  KqOutbox o;
  op.lease = store (g, op)->lease;
  op.kind = KQ_STORE_PUT;
  op.key = KQ_STR ("member/a");
  op.expect = store (g, op)->revision;
  op.kind = KQ_STORE_WATCH;
  op.wait_ms = 10000;
  kq_outbox_init (&o);
  kq_outbox_store (&o, &op);
  send_outbox (g, kq_store_http_task (g->store), &o);
  while (strstr (control (g, g->store_port, "/v1/counters", NULL), "\"watch\":1") == NULL)
    assert_true (kq_time_now () < deadline);
  control (g, g->store_port, "/v1/fault", "{\"outage\":\"refuse\"}");
  assert_int_equal (last_store_reply (g)->result, KQ_ERR_STORE_UNREACHABLE);
}

/* A middlebox drops the state of the open connections without closing them: a call on a
 * pooled connection ends by its timeout, and the next one succeeds at once on a new
 * connection although the other pooled ones are still silent. */
static void
test_pooled_connections_go_silent (void **state)
{
  Rig *g = *state;
  KqStoreOp get = { .kind = KQ_STORE_GET, .key = KQ_STR ("x") };
  assert_int_equal (store_times (g, get, 4)->result, KQ_ERR_STORE_NOT_FOUND);
  control (g, g->control_port, "/v1/relay", "{\"stall\":\"open\"}");
  assert_int_equal (store (g, get)->result, KQ_ERR_STORE_UNREACHABLE);
  assert_int_equal (store (g, get)->result, KQ_ERR_STORE_NOT_FOUND);
  control (g, g->control_port, "/v1/relay", "{\"stall\":\"all\",\"direction\":\"down\"}");
  assert_int_equal (store (g, get)->result, KQ_ERR_STORE_UNREACHABLE);
  control (g, g->control_port, "/v1/relay", "{\"refuse\":true}");
  assert_int_equal (store (g, get)->result, KQ_ERR_STORE_UNREACHABLE);
  control (g, g->control_port, "/v1/relay", "{}");
  assert_int_equal (store (g, get)->result, KQ_ERR_STORE_NOT_FOUND);
}

/* Reads the host list until both workers are on it, and sends it to the worker port. */
static void
learn_hosts (Rig *g)
{
  KqMail *m = kq_mail_new (KQ_MAIL_HOSTS);
  KqStoreOp op = { .kind = KQ_STORE_HOSTS, .key = KQ_STR ("d1") };
  KqTime deadline = kq_time_now () + WAIT_MAX_S * KQ_SEC;
  while (m->u.hosts.n_hosts < 2 && kq_time_now () < deadline)
    {
      kq_hosts_free (&m->u.hosts);
      assert_int_equal (kq_hosts_parse (store (g, op)->value, &m->u.hosts), KQ_OK);
    }
  assert_int_equal (m->u.hosts.n_hosts, 2);
  assert_int_equal (m->u.hosts.hosts[0].state, KQ_HOST_LIVE);
  kq_task_send (kq_worker_http_task (g->workers), m);
}

static uint64_t
renew (Rig *g, const char *name, uint64_t stamp)
{
  const KqWorkerReply *r = worker (
      g, name,
      (KqWorkerCall){ .kind = KQ_WORKER_LEASE, .echo_stamp = stamp, .lease_ms = 60000 });
  assert_int_equal (r->result, KQ_OK);
  assert_int_equal (r->lease_live, stamp != 0);
  return r->stamp;
}

/* A job starts on one worker, is evicted with a checkpoint and continues on the other. A
 * worker that accepts a call without answering gives UNREACHABLE and can be used again
 * afterwards. The workers' counts must show two starts and never two runs at once. */
static void
test_job_moves_between_workers (void **state)
{
  Rig *g = *state;
  KqWorkerCall c = { .kind = KQ_WORKER_START,
                     .task = { 77, 1 },
                     .run_ms = 3600000,
                     .size = { 1000, 1000, 0 },
                     .class_name = kq_name (KQ_STR ("plan")) };
  learn_hosts (g);
  assert_int_equal (worker (g, "w1", c)->result, KQ_ERR_NO_LEASE);
  renew (g, "w1", renew (g, "w1", 0));
  renew (g, "w2", renew (g, "w2", 0));
  c.task.attempt = 2;
  assert_int_equal (worker (g, "w1", c)->result, KQ_OK);
  c.kind = KQ_WORKER_CHECKPOINT;
  c.checkpoint = worker (g, "w1", c)->checkpoint;
  assert_true (c.checkpoint.len > 0);
  c.kind = KQ_WORKER_START;
  c.task.attempt = 3;
  control (g, g->worker_port, "/v1/fault",
           "{\"path\":\"/w/w2/\",\"accept_and_hang\":true}");
  assert_int_equal (worker (g, "w2", c)->result, KQ_ERR_WORKER_UNREACHABLE);
  control (g, g->worker_port, "/v1/fault", "{\"clear\":true}");
  assert_int_equal (worker (g, "w2", c)->result, KQ_OK);
  assert_non_null (strstr (control (g, g->worker_port, "/v1/effects", NULL),
                           "\"77\":{\"starts\":2,\"running\":1,"
                           "\"max_running_at_once\":1,\"finished\":0}"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_answer_lost_after_the_effect, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_lease_lapses_under_a_watch, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_outage_ends_waiting_watches, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_pooled_connections_go_silent, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_job_moves_between_workers, set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
