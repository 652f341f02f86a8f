#include "../../bench/guard.h"
#include "http/server.h"
#include "port/json_reader.h"
#include "port/mail.h"
#include "port/worker_http.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define REPLIES_MAX 64

/* A server for the workers with answers set by the test, the port, and a task that
 * collects the port's replies. */
typedef struct
{
  KqLoop *loop;
  KqHttpServer *server;
  KqCounters *counters;
  KqWorkerPort *port;
  KqTask receiver;
  KqMail *replies[REPLIES_MAX];
  int n_replies;
  int wanted;
  int requests;
  int open;
  int max_open;
  int status;
  const char *answer; /* NULL: none; %T and %E stand for the call's token and epoch */
  int cut_from;       /* requests from this number on are aborted; 0: none */
  KqBuf body;
  char order[256]; /* last segments of the paths, in order of arrival */
} Rig;

static void
server_begin (void *arg, KqHttpExchange *x)
{
  Rig *r = arg;
  KqStr path = kq_http_path (x);
  r->requests++;
  r->open++;
  r->max_open = r->open > r->max_open ? r->open : r->max_open;
  kq_buf_clear (&r->body);
  snprintf (r->order + strlen (r->order), sizeof r->order - strlen (r->order), "%.*s ",
            (int)path.len - 7, path.ptr + 7);
}

static void
server_body (void *arg, KqHttpExchange *x, KqStr chunk)
{
  Rig *r = arg;
  (void)x;
  kq_buf_add_str (&r->body, chunk);
}

static void
fill_in (KqBuf *out, const char *text, KqStr token, KqStr epoch)
{
  for (const char *p = text; *p != '\0'; p++)
    {
      bool field = p[0] == '%' && (p[1] == 'T' || p[1] == 'E');
      if (field)
        kq_buf_add_str (out, *++p == 'T' ? token : epoch);
      else
        kq_buf_add (out, p, 1);
    }
}

static void
server_end (void *arg, KqHttpExchange *x)
{
  Rig *r = arg;
  json_t *j = kq_json_parse (kq_buf_str (&r->body));
  KqJsonReader reader = { .at = j };
  KqBuf out = { 0 };
  assert_non_null (j);
  if (r->cut_from > 0 && r->requests >= r->cut_from)
    kq_http_abort (x);
  else if (r->answer != NULL)
    {
      fill_in (&out, r->answer, kq_json_str (&reader, "token"),
               kq_json_str (&reader, "epoch"));
      kq_http_reply (x, r->status, NULL, 0, kq_buf_str (&out));
    }
  kq_buf_free (&out);
  json_decref (j);
}

static void
server_finished (void *arg, KqHttpExchange *x, bool whole)
{
  Rig *r = arg;
  (void)x;
  (void)whole;
  r->open--;
}

static void
on_mail (void *self, KqMail *mail, KqTime now)
{
  Rig *r = self;
  (void)now;
  assert_int_equal (mail->kind, KQ_MAIL_WORKER_REPLY);
  assert_true (r->n_replies < REPLIES_MAX);
  r->replies[r->n_replies++] = mail;
  if (r->n_replies >= r->wanted)
    kq_loop_stop (r->loop);
}

static KqWorkerId
id_of (const char *name)
{
  return kq_str_hash (kq_str (name));
}

static void
send_host_list (Rig *r, const char *name, KqHostState state)
{
  KqMail *m = kq_mail_new (KQ_MAIL_HOSTS);
  char address[64];
  snprintf (address, sizeof address, "http://127.0.0.1:%d/%s",
            kq_http_server_port (r->server), name);
  m->u.hosts.hosts = kq_alloc (sizeof *m->u.hosts.hosts);
  m->u.hosts.n_hosts = 1;
  m->u.hosts.hosts[0] = (KqHost){ .id = id_of (name),
                                  .name = kq_name (kq_str (name)),
                                  .state = state,
                                  .address = kq_str (kq_str_dup (kq_str (address))) };
  kq_task_send (kq_worker_http_task (r->port), m);
}

static Rig *
new_rig (KqWorkerHttpConfig config)
{
  Rig *r = kq_alloc (sizeof *r);
  KqHttpHandler h = { r, server_begin, server_body, server_end, NULL, server_finished };
  r->loop = kq_loop_new ();
  r->server = kq_http_server_new (r->loop, "127.0.0.1", 0, &h);
  r->counters = kq_counters_new ();
  r->status = 200;
  kq_task_init (&r->receiver, r->loop, "test", r, on_mail);
  config.counters = r->counters;
  config.receiver = &r->receiver;
  r->port = kq_worker_http_new (r->loop, &config);
  send_host_list (r, "w1", KQ_HOST_LIVE);
  return r;
}

static void
drop_replies (Rig *r)
{
  while (r->n_replies > 0)
    kq_mail_free (r->replies[--r->n_replies]);
}

static void
free_rig (Rig *r)
{
  kq_worker_http_free (r->port);
  kq_task_close (&r->receiver);
  drop_replies (r);
  kq_http_server_free (r->server);
  kq_loop_free (r->loop);
  kq_counters_free (r->counters);
  kq_buf_free (&r->body);
  free (r);
}

static void
call (Rig *r, KqWorkerCall c)
{
  KqOutbox o;
  KqOut item;
  kq_outbox_init (&o);
  kq_outbox_worker (&o, &c);
  assert_true (kq_outbox_take (&o, &item));
  kq_task_send (kq_worker_http_task (r->port), kq_mail_out (&item));
  kq_outbox_free (&o);
}

static void
await (Rig *r, int n)
{
  r->wanted = n;
  if (r->n_replies < n)
    loop_run_with_timeout (r->loop, 20);
  assert_int_equal (r->n_replies, n);
}

static KqWorkerCall
make_call (KqWorkerCallKind kind)
{
  return (KqWorkerCall){ .kind = kind,
                         .worker = id_of ("w1"),
                         .shard = 3,
                         .epoch = 12,
                         .token = 0xffffffff00000007ull,
                         .task = { ~0ull, 2 },
                         .lease_ms = 9000 };
}

static const KqWorkerReply *
ask (Rig *r, KqWorkerCall c, int status, const char *answer)
{
  const KqWorkerReply *reply;
  drop_replies (r);
  r->status = status;
  r->answer = answer;
  call (r, c);
  await (r, 1);
  reply = &r->replies[0]->u.worker_reply;
  assert_true (reply->token == c.token && reply->epoch == c.epoch);
  assert_true (reply->worker == c.worker && reply->task.job == c.task.job);
  assert_int_equal (reply->kind, c.kind);
  return reply;
}

#define HEAD "\"token\":\"%T\",\"epoch\":\"%E\",\"worker_epoch\":\"12\""
#define ANSWER(KIND, MORE) "{\"kind\":\"" KIND "\"," HEAD MORE "}"
#define SIZE "{\"cpu_milli\":16000,\"memory_mb\":60000,\"accelerators\":1}"
#define LEASE                                                                            \
  "{\"kind\":\"lease\"," HEAD                                                            \
  ",\"stamp\":\"18446744073709551615\",\"lease_live\":true,\"leaving\":false,"           \
  "\"whole\":" SIZE ",\"tasks\":[{\"job\":\"18446744073709551615\",\"attempt\":2,"       \
  "\"state\":\"checkpointed\",\"checkpoint\":\"c.1\",\"run_us\":5,\"size\":" SIZE        \
  ",\"class\":\"k\",\"latency_critical\":true}],\"usage\":[{\"job\":\"1\","              \
  "\"attempt\":1,\"age_us\":5000000,\"cpu_milli\":10,\"memory_mb\":20,"                  \
  "\"slowdown\":1.5}],\"runners\":[{\"runner\":\"r1\",\"slots\":8,\"slots_busy\":3,"     \
  "\"connections\":64,\"leaving\":true}]}"

static void
test_lease (void **state)
{
  Rig *r = new_rig ((KqWorkerHttpConfig){ 0 });
  KqTaskKey acks[2] = { { 5, 1 }, { 6, 4 } };
  KqWorkerCall c = make_call (KQ_WORKER_LEASE);
  const KqWorkerReply *a;
  KqTime before = kq_time_now ();
  (void)state;
  c.acks = acks;
  c.n_acks = 2;
  c.echo_stamp = 99;
  a = ask (r, c, 200, LEASE);
  assert_int_equal (a->result, KQ_OK);
  assert_true (a->stamp == ~0ull && a->lease_live && !a->leaving);
  assert_true (a->sent_at >= before && a->sent_at <= kq_time_now ());
  assert_int_equal (a->capacity.accelerators, 1);
  assert_int_equal (a->tasks[0].state, KQ_TASK_CHECKPOINTED);
  assert_true (a->tasks[0].task.job == ~0ull && a->tasks[0].latency_critical);
  assert_int_equal (a->usage[0].age_us, 5 * KQ_SEC);
  assert_true (a->usage[0].slowdown == 1.5);
  assert_int_equal (a->runners[0].slots_busy, 3);
  assert_true (a->runners[0].leaving);
  assert_non_null (strstr (r->body.ptr, "\"echo_stamp\":\"99\",\"lease_ms\":9000,"
                                        "\"acks\":[{\"job\":\"5\",\"attempt\":1},"
                                        "{\"job\":\"6\",\"attempt\":4}]"));
  free_rig (r);
}

static void
test_results (void **state)
{
  Rig *r = new_rig ((KqWorkerHttpConfig){ 0 });
  KqWorkerCall s = make_call (KQ_WORKER_START);
  const KqWorkerReply *a;
  (void)state;
  a = ask (r, s, 200, ANSWER ("start", ""));
  assert_int_equal (a->result, KQ_OK);
  a = ask (r, s, 409, ANSWER ("start", ",\"error\":\"old_epoch\""));
  assert_int_equal (a->result, KQ_ERR_OLD_EPOCH);
  assert_int_equal (a->worker_epoch, 12);
  a = ask (r, s, 409, ANSWER ("start", ",\"error\":\"old_attempt\""));
  assert_int_equal (a->result, KQ_ERR_OLD_ATTEMPT);
  a = ask (r, s, 409, ANSWER ("start", ",\"error\":\"no_lease\""));
  assert_int_equal (a->result, KQ_ERR_NO_LEASE);
  a = ask (r, s, 409, ANSWER ("start", ",\"error\":\"no_room\""));
  assert_int_equal (a->result, KQ_ERR_NO_ROOM);
  a = ask (r, s, 409, ANSWER ("start", ",\"error\":\"refused\""));
  assert_int_equal (a->result, KQ_ERR_WORKER_REFUSED);
  a = ask (r, s, 503, "{}");
  assert_int_equal (a->result, KQ_ERR_WORKER_UNREACHABLE);
  a = ask (r, make_call (KQ_WORKER_CHECKPOINT), 200,
           "{\"kind\":\"checkpoint\"," HEAD ",\"checkpoint\":\"c.7\"}");
  assert_true (kq_str_eq (kq_name_str (&a->checkpoint), KQ_STR ("c.7")));
  free_rig (r);
}

/* An invalid answer, or the answer to another call, must not be taken for the answer: if
 * a start counted as done by mistake, its task would never run. */
static void
test_malformed_and_mixed_up_answers (void **state)
{
  static const char *const starts[] = {
    "",
    "[]",
    ANSWER ("stop", ""),
    "{\"kind\":\"start\",\"token\":\"8\",\"epoch\":\"%E\",\"worker_epoch\":\"12\"}",
    "{\"kind\":\"start\",\"token\":\"%T\",\"epoch\":\"11\",\"worker_epoch\":\"12\"}",
    "{\"kind\":\"start\",\"token\":\"%T\",\"epoch\":\"%E\",\"worker_epoch\":12}"
  };
  static const char *const cuts[]
      = { "\"stamp\"", "\"lease_live\"", "\"whole\"", "\"tasks\"",  "\"attempt\"",
          "\"state\"", "\"run_us\"",     "\"usage\"", "\"age_us\"", "\"runners\"" };
  Rig *r = new_rig ((KqWorkerHttpConfig){ 0 });
  KqWorkerCall s = make_call (KQ_WORKER_START);
  (void)state;
  for (size_t i = 0; i < sizeof starts / sizeof starts[0]; i++)
    {
      if (ask (r, s, 200, starts[i])->result != KQ_ERR_PLATFORM_FORMAT)
        fail_msg ("read: %s", starts[i]);
    }
  assert_int_equal (ask (r, s, 409, ANSWER ("start", ",\"error\":\"why\""))->result,
                    KQ_ERR_PLATFORM_FORMAT);
  for (size_t i = 0; i < sizeof cuts / sizeof cuts[0]; i++)
    {
      char text[] = LEASE;
      strstr (text, cuts[i])[1] = 'X';
      if (ask (r, make_call (KQ_WORKER_LEASE), 200, text)->result
          != KQ_ERR_PLATFORM_FORMAT)
        fail_msg ("read without %s", cuts[i]);
    }
  assert_int_equal (ask (r, make_call (KQ_WORKER_CHECKPOINT), 200,
                         ANSWER ("checkpoint", ",\"checkpoint\":\"\""))
                        ->result,
                    KQ_ERR_PLATFORM_FORMAT);
  assert_int_equal (ask (r, make_call (KQ_WORKER_LEASE), 200, LEASE)->result, KQ_OK);
  free_rig (r);
}

/* Calls to a worker that is in no host list, or is listed as gone, are answered at once
 * and never sent. */
static void
test_unknown_and_gone_workers (void **state)
{
  Rig *r = new_rig ((KqWorkerHttpConfig){ 0 });
  KqWorkerCall c = make_call (KQ_WORKER_STOP);
  (void)state;
  c.worker = id_of ("w2");
  assert_int_equal (ask (r, c, 200, NULL)->result, KQ_ERR_WORKER_UNREACHABLE);
  assert_int_equal (kq_worker_http_n_workers (r->port), 1);
  send_host_list (r, "w1", KQ_HOST_GONE);
  c.worker = id_of ("w1");
  assert_int_equal (ask (r, c, 200, NULL)->result, KQ_ERR_WORKER_UNREACHABLE);
  assert_int_equal (kq_worker_http_n_workers (r->port), 0);
  assert_int_equal (r->requests, 0);
  free_rig (r);
}

/* The worker accepts connections and never answers. Each call ends after silent_ms; the
 * number of calls in flight is bounded, the lease renewal is sent before waiting
 * commands, and a call that finds the queue full is answered without being sent. A host
 * list that says the worker is gone ends the waiting call while two are in flight. */
static void
test_silent_worker (void **state)
{
  Rig *r = new_rig ((KqWorkerHttpConfig){
      .per_worker = 2, .queue_max = 3, .silent_ms = 200, .call_ms = 5000 });
  (void)state;
  for (int i = 0; i < 4; i++)
    call (r, make_call (KQ_WORKER_STOP));
  call (r, make_call (KQ_WORKER_LEASE));
  call (r, make_call (KQ_WORKER_STOP)); /* the queue is full */
  await (r, 1);
  assert_int_equal (kq_worker_http_open_calls (r->port), 2);
  await (r, 3);
  assert_int_equal (kq_worker_http_open_calls (r->port), 2);
  send_host_list (r, "w1", KQ_HOST_GONE);
  await (r, 4);
  assert_int_equal (kq_worker_http_open_calls (r->port), 2);
  await (r, 6);
  assert_int_equal (r->max_open, 2);
  for (int i = 0; i < 6; i++)
    assert_int_equal (r->replies[i]->u.worker_reply.result, KQ_ERR_WORKER_UNREACHABLE);
  assert_non_null (strstr (r->order, "stop stop lease "));
  assert_int_equal (kq_worker_http_open_calls (r->port), 0);
  free_rig (r);
}

/* Calls that have waited for call_ms behind an unanswered one are answered and never
 * sent, because a command sent long after its decision may be wrong by then. */
static void
test_waiting_calls_time_out (void **state)
{
  Rig *r = new_rig (
      (KqWorkerHttpConfig){ .per_worker = 1, .silent_ms = 10000, .call_ms = 300 });
  (void)state;
  for (int i = 0; i < 8; i++)
    call (r, make_call (KQ_WORKER_STOP));
  await (r, 8);
  assert_true (r->requests < 8);
  free_rig (r);
}

/* The second start is sent on a reused connection, which the worker closes without an
 * answer. libcurl must not resend it: the answer to that would be OLD_ATTEMPT while the
 * task runs. Also, the total of calls in flight to all workers is bounded. */
static void
test_start_arrives_once (void **state)
{
  Rig *r = new_rig ((KqWorkerHttpConfig){ .total = 1 });
  KqWorkerCall s = make_call (KQ_WORKER_START);
  (void)state;
  r->cut_from = 2;
  assert_int_equal (ask (r, s, 200, ANSWER ("start", ""))->result, KQ_OK);
  assert_int_equal (ask (r, s, 200, "{}")->result, KQ_ERR_WORKER_UNREACHABLE);
  assert_int_equal (r->requests, 2);
  r->cut_from = 0;
  r->max_open = 0;
  r->answer = ANSWER ("start", "");
  send_host_list (r, "w2", KQ_HOST_LIVE);
  drop_replies (r);
  for (int i = 0; i < 6; i++)
    {
      s.worker = id_of (i % 2 == 0 ? "w1" : "w2");
      call (r, s);
    }
  await (r, 6);
  assert_int_equal (r->max_open, 1);
  for (int i = 0; i < 6; i++)
    assert_int_equal (r->replies[i]->u.worker_reply.result, KQ_OK);
  free_rig (r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lease),
    cmocka_unit_test (test_results),
    cmocka_unit_test (test_malformed_and_mixed_up_answers),
    cmocka_unit_test (test_unknown_and_gone_workers),
    cmocka_unit_test (test_silent_worker),
    cmocka_unit_test (test_waiting_calls_time_out),
    cmocka_unit_test (test_start_arrives_once),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
