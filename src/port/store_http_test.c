#include "../../bench/guard.h"
#include "http/server.h"
#include "port/mail.h"
#include "port/store_http.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define REPLIES_MAX 64

/* A store server whose answers depend on the key, the port, and a task that collects the
 * port's replies. */
typedef struct
{
  KqLoop *loop;
  KqHttpServer *server;
  KqCounters *counters;
  KqStorePort *port;
  KqTask receiver;
  KqMail *replies[REPLIES_MAX];
  int n_replies;
  int wanted;
  int requests;
  int unchanged;    /* number of 304 answers */
  const char *list; /* the host list; also its entity tag */
  char last[256];   /* method and URL of the last request */
  KqBuf body;
  const char *raw; /* the answer to a LIST of prefix "raw" */
} Rig;

static void
server_begin (void *arg, KqHttpExchange *x)
{
  Rig *r = arg;
  r->requests++;
  kq_buf_clear (&r->body);
  snprintf (r->last, sizeof r->last, "%.*s %.*s?%.*s", KQ_STR_ARG (kq_http_method (x)),
            KQ_STR_ARG (kq_http_path (x)), KQ_STR_ARG (kq_http_query (x)));
}

static void
server_body (void *arg, KqHttpExchange *x, KqStr chunk)
{
  Rig *r = arg;
  (void)x;
  kq_buf_add_str (&r->body, chunk);
}

typedef struct
{
  const char *path;
  int status;
  const char *revision;
  const char *body;
} Answer;

static const Answer answers[] = {
  { "/v1/kv/a/b%20c", 200, "7", "value" },
  { "/v1/kv/none", 404, NULL, "" },
  { "/v1/kv/taken", 409, "9", "other" },
  { "/v1/kv/absent", 409, "0", "" },
  { "/v1/kv/lapsed", 410, NULL, "" },
  { "/v1/kv/large", 413, NULL, "" },
  { "/v1/kv/rate", 429, NULL, "" },
  { "/v1/kv/down", 503, NULL, "" },
  { "/v1/kv/norev", 200, NULL, "value" },
  { "/v1/kv/badrev", 200, "x7", "value" },
  { "/v1/leases", 200, NULL, "{\"lease\":5}" },
  { "/v1/leases/5", 200, NULL, "" },
  { "/v1/leases/6", 410, NULL, "" },
  { "/v1/hosts", 200, NULL, "{\"hosts\":[]}" },
  { "/v1/list", 200, NULL,
    "{\"revision\":12,\"items\":[{\"key\":\"p/1\",\"value\":\"AGE=\",\"revision\":3},"
    "{\"key\":\"p/2\",\"value\":\"\",\"revision\":12}]}" },
};

static void
reply_tagged (Rig *r, KqHttpExchange *x)
{
  KqHeader h = { KQ_STR ("ETag"), kq_str (r->list) };
  bool same = kq_str_eq (kq_http_header (x, "If-None-Match"), h.value);
  r->unchanged += same;
  kq_http_reply (x, same ? 304 : 200, &h, 1, same ? KQ_STR ("") : h.value);
}

static void
server_end (void *arg, KqHttpExchange *x)
{
  Rig *r = arg;
  KqStr path = kq_http_path (x);
  KqHeader h = { KQ_STR ("X-Revision"), { 0 } };
  if (strstr (r->last, "depot=tagged") != NULL)
    reply_tagged (r, x);
  if (strstr (r->last, "prefix=raw") != NULL)
    kq_http_reply (x, 200, NULL, 0, kq_str (r->raw));
  if (kq_str_eq (path, KQ_STR ("/v1/kv/cut")))
    kq_http_abort (x);
  if (kq_str_eq (path, KQ_STR ("/v1/kv/second-cut")) && r->requests > 1)
    kq_http_abort (x);
  else if (kq_str_eq (path, KQ_STR ("/v1/kv/second-cut")))
    kq_http_reply (x, 409, &(KqHeader){ h.name, KQ_STR ("1") }, 1, KQ_STR (""));
  for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
    {
      const Answer *a = &answers[i];
      if (!kq_str_eq (path, kq_str (a->path)) || strstr (r->last, "depot=tagged") != NULL)
        continue;
      h.value = kq_str (a->revision);
      kq_http_reply (x, a->status, &h, a->revision != NULL ? 1 : 0, kq_str (a->body));
    }
}

static void
server_finished (void *arg, KqHttpExchange *x, bool whole)
{
  (void)arg;
  (void)x;
  (void)whole;
}

static void
on_mail (void *self, KqMail *mail, KqTime now)
{
  Rig *r = self;
  (void)now;
  assert_int_equal (mail->kind, KQ_MAIL_STORE_REPLY);
  assert_true (r->n_replies < REPLIES_MAX);
  r->replies[r->n_replies++] = mail;
  if (r->n_replies >= r->wanted)
    kq_loop_stop (r->loop);
}

static Rig *
new_rig (KqStoreHttpConfig config)
{
  Rig *r = kq_alloc (sizeof *r);
  KqHttpHandler h = { r, server_begin, server_body, server_end, NULL, server_finished };
  char url[64];
  r->loop = kq_loop_new ();
  r->server = kq_http_server_new (r->loop, "127.0.0.1", 0, &h);
  r->counters = kq_counters_new ();
  snprintf (url, sizeof url, "http://127.0.0.1:%d", kq_http_server_port (r->server));
  kq_task_init (&r->receiver, r->loop, "test", r, on_mail);
  config.url = kq_str (url);
  config.counters = r->counters;
  config.receiver = &r->receiver;
  r->port = kq_store_http_new (r->loop, &config);
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
  kq_store_http_free (r->port);
  kq_task_close (&r->receiver);
  drop_replies (r);
  kq_http_server_free (r->server);
  kq_loop_free (r->loop);
  kq_counters_free (r->counters);
  kq_buf_free (&r->body);
  free (r);
}

static void
call (Rig *r, KqStoreOp op)
{
  KqOutbox o;
  KqOut item;
  kq_outbox_init (&o);
  kq_outbox_store (&o, &op);
  assert_true (kq_outbox_take (&o, &item));
  kq_task_send (kq_store_http_task (r->port), kq_mail_out (&item));
  kq_outbox_free (&o);
}

/* Runs the loop until n replies have arrived in total. */
static void
await (Rig *r, int n)
{
  r->wanted = n;
  if (r->n_replies < n)
    loop_run_with_timeout (r->loop, 20);
  assert_int_equal (r->n_replies, n);
}

static const KqStoreReply *
ask (Rig *r, KqStoreOp op)
{
  const KqStoreReply *reply;
  drop_replies (r);
  op.token = 0xffffffff00000001ull;
  op.part = KQ_PART_SHARD;
  call (r, op);
  await (r, 1);
  reply = &r->replies[0]->u.store_reply;
  assert_true (reply->token == op.token);
  assert_int_equal (reply->part, KQ_PART_SHARD);
  assert_int_equal (reply->kind, op.kind);
  return reply;
}

static KqResult
result_of (Rig *r, KqStoreOpKind kind, const char *key)
{
  return ask (r, (KqStoreOp){ .kind = kind, .key = kq_str (key), .expect = 4 })->result;
}

static void
test_calls_and_results (void **state)
{
  Rig *r = new_rig ((KqStoreHttpConfig){ 0 });
  const KqStoreReply *a;
  KqTime before = kq_time_now ();
  (void)state;
  a = ask (r, (KqStoreOp){ .kind = KQ_STORE_GET, .key = KQ_STR ("a/b c") });
  assert_int_equal (a->result, KQ_OK);
  assert_int_equal (a->revision, 7);
  assert_true (kq_str_eq (a->value, KQ_STR ("value")));
  assert_true (a->sent_at >= before && a->sent_at <= kq_time_now ());
  assert_true (kq_store_http_answered_at (r->port) >= a->sent_at);
  a = ask (r, (KqStoreOp){ .kind = KQ_STORE_PUT,
                           .key = KQ_STR ("a/b c"),
                           .expect = 6,
                           .lease = 5,
                           .value = KQ_STR ("a\0b") });
  assert_int_equal (a->result, KQ_OK);
  assert_string_equal (r->last, "PUT /v1/kv/a/b%20c?expect=6&lease=5");
  assert_true (kq_str_eq (kq_buf_str (&r->body), KQ_STR ("a\0b")));
  assert_int_equal (result_of (r, KQ_STORE_DELETE, "a/b c"), KQ_OK);
  assert_string_equal (r->last, "DELETE /v1/kv/a/b%20c?expect=4");
  a = ask (r, (KqStoreOp){ .kind = KQ_STORE_PUT, .key = KQ_STR ("taken") });
  assert_int_equal (a->result, KQ_ERR_STORE_CONFLICT);
  assert_int_equal (a->revision, 9);
  assert_true (kq_str_eq (a->value, KQ_STR ("other")));
  assert_int_equal (result_of (r, KQ_STORE_DELETE, "absent"), KQ_ERR_STORE_CONFLICT);
  assert_int_equal (result_of (r, KQ_STORE_GET, "none"), KQ_ERR_STORE_NOT_FOUND);
  assert_int_equal (result_of (r, KQ_STORE_PUT, "lapsed"), KQ_ERR_STORE_LEASE_LOST);
  assert_int_equal (result_of (r, KQ_STORE_PUT, "large"), KQ_ERR_STORE_TOO_LARGE);
  assert_int_equal (result_of (r, KQ_STORE_PUT, "rate"), KQ_ERR_STORE_BUSY);
  assert_int_equal (result_of (r, KQ_STORE_PUT, "down"), KQ_ERR_STORE_UNREACHABLE);
  free_rig (r);
}

static void
test_leases_lists_hosts (void **state)
{
  Rig *r = new_rig ((KqStoreHttpConfig){ 0 });
  const KqStoreReply *a;
  (void)state;
  a = ask (r, (KqStoreOp){ .kind = KQ_STORE_LEASE_GRANT, .lease_ms = 9000 });
  assert_int_equal (a->lease, 5);
  assert_string_equal (r->last, "POST /v1/leases?ttl_ms=9000");
  a = ask (r, (KqStoreOp){ .kind = KQ_STORE_LEASE_RENEW, .lease = 5, .lease_ms = 9000 });
  assert_int_equal (a->result, KQ_OK);
  assert_string_equal (r->last, "PUT /v1/leases/5?ttl_ms=9000");
  a = ask (r, (KqStoreOp){ .kind = KQ_STORE_LEASE_RENEW, .lease = 6 });
  assert_int_equal (a->result, KQ_ERR_STORE_LEASE_LOST);
  a = ask (r, (KqStoreOp){ .kind = KQ_STORE_LIST, .key = KQ_STR ("p/") });
  assert_int_equal (a->result, KQ_OK);
  assert_int_equal (a->revision, 12);
  assert_int_equal (a->n_items, 2);
  assert_true (kq_str_eq (a->items[0].value, KQ_STR ("\0a")));
  assert_int_equal (a->items[1].value.len, 0);
  a = ask (r, (KqStoreOp){ .kind = KQ_STORE_HOSTS, .key = KQ_STR ("d1") });
  assert_true (kq_str_eq (a->value, KQ_STR ("{\"hosts\":[]}")));
  free_rig (r);
}

/* For an unchanged host list the platform answers 304 without a body, and the caller
 * still gets the full list; a changed list is sent in full, and each depot's list is
 * cached separately. Otherwise a node would take an unchanged list for an empty one and
 * drop all workers. */
static void
test_unchanged_hosts (void **state)
{
  static const char *const lists[] = { "one", "one", "two", "two", "one" };
  Rig *r = new_rig ((KqStoreHttpConfig){ 0 });
  (void)state;
  for (int i = 0; i < 5; i++)
    {
      const KqStoreReply *a;
      r->list = lists[i];
      a = ask (r, (KqStoreOp){ .kind = KQ_STORE_HOSTS, .key = KQ_STR ("tagged") });
      assert_int_equal (a->result, KQ_OK);
      assert_true (kq_str_eq (a->value, kq_str (lists[i])));
    }
  assert_int_equal (r->unchanged, 2);
  ask (r, (KqStoreOp){ .kind = KQ_STORE_HOSTS, .key = KQ_STR ("tagged2") });
  assert_int_equal (r->unchanged, 2);
  free_rig (r);
}

/* An answer that can't be parsed is reported to the caller and counted, and the next call
 * works. */
static void
test_malformed_answers (void **state)
{
  static const char *const texts[] = {
    "",
    "{",
    "[]",
    "\xff\xfe",
    "{\"items\":[]}",
    "{\"revision\":-1,\"items\":[]}",
    "{\"revision\":1,\"items\":{}}",
    "{\"revision\":1,\"items\":[1]}",
    "{\"revision\":1,\"items\":[{\"key\":\"k\",\"value\":\"A\",\"revision\":1}]}",
    "{\"revision\":1,\"items\":[{\"key\":\"k\",\"value\":\"?a==\",\"revision\":1}]}",
    "{\"revision\":1,\"items\":[{\"key\":7,\"value\":\"\",\"revision\":1}]}"
  };
  Rig *r = new_rig ((KqStoreHttpConfig){ 0 });
  int n = (int)(sizeof texts / sizeof texts[0]);
  (void)state;
  for (int i = 0; i < n; i++)
    {
      r->raw = texts[i];
      if (result_of (r, KQ_STORE_LIST, "raw") != KQ_ERR_PLATFORM_FORMAT)
        fail_msg ("read: %s", texts[i]);
    }
  assert_int_equal (result_of (r, KQ_STORE_GET, "norev"), KQ_ERR_PLATFORM_FORMAT);
  assert_int_equal (result_of (r, KQ_STORE_PUT, "badrev"), KQ_ERR_PLATFORM_FORMAT);
  assert_int_equal (kq_counter_of_result (r->counters, KQ_ERR_PLATFORM_FORMAT), n + 2);
  assert_int_equal (result_of (r, KQ_STORE_GET, "a/b c"), KQ_OK);
  free_rig (r);
}

/* The store accepts connections and never answers: reads and writes end at their
 * timeouts, a watch after its wait plus the margin, all with UNREACHABLE. */
static void
test_silent_store (void **state)
{
  Rig *r = new_rig (
      (KqStoreHttpConfig){ .read_ms = 150, .write_ms = 150, .watch_margin_ms = 100 });
  (void)state;
  call (r, (KqStoreOp){ .kind = KQ_STORE_GET, .key = KQ_STR ("never") });
  call (r, (KqStoreOp){
               .kind = KQ_STORE_PUT, .key = KQ_STR ("never"), .value = KQ_STR ("x") });
  call (r, (KqStoreOp){ .kind = KQ_STORE_WATCH, .key = KQ_STR ("w"), .wait_ms = 50 });
  await (r, 3);
  for (int i = 0; i < 3; i++)
    assert_int_equal (r->replies[i]->u.store_reply.result, KQ_ERR_STORE_UNREACHABLE);
  assert_int_equal (kq_store_http_open_calls (r->port), 0);
  assert_int_equal (kq_store_http_answered_at (r->port), 0);
  assert_int_equal (result_of (r, KQ_STORE_GET, "cut"), KQ_ERR_STORE_UNREACHABLE);
  assert_int_equal (result_of (r, KQ_STORE_GET, "a/b c"), KQ_OK);
  free_rig (r);
}

/* The second write reuses the connection of the first, and the store closes it without an
 * answer. libcurl would resend the write on a new connection; if it had taken effect, the
 * answer would be CONFLICT and an owner would step down. It must be sent just once. */
static void
test_write_arrives_once (void **state)
{
  KqStoreOp put
      = { .kind = KQ_STORE_PUT, .key = KQ_STR ("second-cut"), .value = KQ_STR ("x") };
  (void)state;
  for (int kind = 0; kind < 3; kind++)
    {
      Rig *r = new_rig ((KqStoreHttpConfig){ 0 });
      if (kind == 1)
        put.value = kq_str ("");
      if (kind == 2)
        put.kind = KQ_STORE_DELETE;
      assert_int_equal (ask (r, put)->result, KQ_ERR_STORE_CONFLICT);
      assert_int_equal (ask (r, put)->result, KQ_ERR_STORE_UNREACHABLE);
      assert_int_equal (r->requests, 2);
      free_rig (r);
    }
}

/* Overload by normal calls: of four, a bucket of 4 with a reserve of 2 admits two, one
 * waits, and one is refused at once and never sent. An urgent call and a lease renewal
 * are sent at once. The waiting call is refused after its timeout. */
static void
test_budget_keeps_a_reserve (void **state)
{
  Rig *r = new_rig ((KqStoreHttpConfig){
      .calls_per_second = 1, .burst = 4, .reserve = 2, .queue_max = 1, .read_ms = 400 });
  KqStoreOp get = { .kind = KQ_STORE_GET, .key = KQ_STR ("a/b c") };
  (void)state;
  for (get.token = 1; get.token <= 4; get.token++)
    call (r, get);
  get.call_class = KQ_STORE_URGENT;
  call (r, get);
  call (r, (KqStoreOp){ .kind = KQ_STORE_LEASE_RENEW, .lease = 5, .token = 6 });
  await (r, 5);
  assert_int_equal (r->replies[0]->u.store_reply.token, 4);
  assert_int_equal (r->replies[0]->u.store_reply.result, KQ_ERR_STORE_BUSY);
  for (int i = 1; i < 5; i++)
    assert_int_equal (r->replies[i]->u.store_reply.result, KQ_OK);
  assert_int_equal (kq_store_http_queued_calls (r->port), 1);
  await (r, 6);
  assert_int_equal (r->replies[5]->u.store_reply.token, 3);
  assert_int_equal (r->replies[5]->u.store_reply.result, KQ_ERR_STORE_BUSY);
  assert_int_equal (r->requests, 4);
  free_rig (r);
}

/* Normal calls without an answer occupy their connections. A renewal must still be sent
 * at once, or the node's lease expires although the store is only slow. */
static void
test_slow_calls_leave_room_for_leases (void **state)
{
  Rig *r = new_rig ((KqStoreHttpConfig){ .connections = 4 });
  KqStoreOp get = { .kind = KQ_STORE_GET, .key = KQ_STR ("never") };
  (void)state;
  for (int i = 0; i < 10; i++)
    call (r, get);
  call (r, (KqStoreOp){ .kind = KQ_STORE_LEASE_RENEW, .lease = 5, .token = 6 });
  await (r, 1);
  assert_int_equal (r->replies[0]->u.store_reply.token, 6);
  assert_int_equal (r->replies[0]->u.store_reply.result, KQ_OK);
  assert_int_equal (kq_store_http_open_calls (r->port), 3);
  assert_int_equal (kq_store_http_queued_calls (r->port), 7);
  free_rig (r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_calls_and_results),
    cmocka_unit_test (test_leases_lists_hosts),
    cmocka_unit_test (test_unchanged_hosts),
    cmocka_unit_test (test_malformed_answers),
    cmocka_unit_test (test_silent_store),
    cmocka_unit_test (test_write_arrives_once),
    cmocka_unit_test (test_budget_keeps_a_reserve),
    cmocka_unit_test (test_slow_calls_leave_room_for_leases),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
