#include "base/rand.h"
#include "request/claims.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define TTL (60 * KQ_SEC)
#define ENTRY 5 /* id of the entry node */
#define INCARNATION 9
#define KEYS 5
#define FLIGHTS 4000

typedef struct
{
  KqFakeLog log;
  KqClaims *claims;
  KqOutbox out;
  KqTime now;
  KqSeq after; /* result of the last call */
} Fixture;

static KqLogPort
port (KqFakeLog *log)
{
  KqLogPort p = { .kind = KQ_LOG_PORT_FAKE };
  p.u.fake = log;
  return p;
}

static void
start (Fixture *f)
{
  *f = (Fixture){ .now = KQ_SEC };
  f->claims = kq_claims_new (3, port (&f->log));
  kq_outbox_init (&f->out);
  kq_claims_recovered (f->claims, f->now);
}

static void
stop (Fixture *f)
{
  kq_claims_free (f->claims);
  kq_outbox_free (&f->out);
  kq_fake_log_free (&f->log);
}

/* The owner dies and a successor replays the journal. */
static void
take_over (Fixture *f)
{
  kq_claims_free (f->claims);
  f->claims = kq_claims_new (3, port (&f->log));
  for (size_t i = 0; i < f->log.n_records; i++)
    kq_claims_apply (f->claims, &f->log.records[i], f->now);
  kq_claims_recovered (f->claims, f->now);
}

static KqFlightId
flight (uint64_t number)
{
  return (KqFlightId){ ENTRY, INCARNATION, number };
}

static void
begin_key (Fixture *f, uint64_t number, const char *key, uint64_t body_hash)
{
  KqMsgClaimBegin m = { .flight = flight (number),
                        .shard = 3,
                        .service = KQ_STR ("pickup"),
                        .caller = KQ_STR ("parent-7"),
                        .request_hash = body_hash };
  m.key = kq_str (key);
  f->after = kq_claims_begin (f->claims, &m, TTL, f->now, &f->out);
}

static void
begin (Fixture *f, uint64_t number)
{
  begin_key (f, number, "key-1", 77);
}

static void
done_body (Fixture *f, uint64_t number, KqRan ran, bool kept, KqStr body)
{
  KqHeader h = { KQ_STR ("Content-Type"), KQ_STR ("text/plain") };
  KqMsgClaimDone m = { .flight = flight (number),
                       .shard = 3,
                       .ran = ran,
                       .kept = kept,
                       .status = 201,
                       .headers = &h,
                       .n_headers = 1,
                       .body = body };
  f->after = kq_claims_done (f->claims, &m, f->now, &f->out);
}

static void
done (Fixture *f, uint64_t number, KqRan ran)
{
  done_body (f, number, ran, true, KQ_STR ("changed"));
}

static void
tick (Fixture *f, KqTime span)
{
  f->now += span;
  f->after = kq_claims_tick (f->claims, f->now, &f->out);
}

static void
expect (Fixture *f, uint64_t number, KqClaimVerdict verdict, KqResult code)
{
  KqOut item;
  const KqMsgClaimReply *r;
  assert_true (kq_outbox_take (&f->out, &item));
  assert_int_equal (item.u.send.to, ENTRY);
  assert_int_equal (item.u.send.msg->kind, KQ_MSG_CLAIM_REPLY);
  r = &item.u.send.msg->u.claim_reply;
  assert_int_equal (r->flight.number, number);
  assert_int_equal (r->verdict, verdict);
  assert_int_equal (r->code, code);
  if (verdict == KQ_CLAIM_ANSWERED)
    {
      assert_int_equal (r->status, 201);
      assert_int_equal (r->n_headers, 1);
      assert_true (kq_str_eq (r->headers[0].value, KQ_STR ("text/plain")));
    }
  kq_out_clear (&item);
}

static void
grant (Fixture *f, uint64_t number)
{
  begin (f, number);
  expect (f, number, KQ_CLAIM_GRANTED, KQ_OK);
}

static void
expect_nothing (Fixture *f)
{
  assert_true (kq_outbox_empty (&f->out));
}

/* A request is repeated during its run and after its end. It must run once, both repeats
 * must get its answer, and the grant must not be sent before its commit. */
static void
test_repeat_waits_and_gets_answer (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  begin (&f, 1);
  assert_int_equal (f.after, 1);
  expect (&f, 1, KQ_CLAIM_GRANTED, KQ_OK);
  begin (&f, 2);
  begin (&f, 2);
  expect_nothing (&f);
  done (&f, 1, KQ_RAN_YES);
  assert_int_equal (f.after, 2);
  expect (&f, 2, KQ_CLAIM_ANSWERED, KQ_OK);
  begin (&f, 3);
  assert_int_equal (f.after, 2);
  expect (&f, 3, KQ_CLAIM_ANSWERED, KQ_OK);
  expect_nothing (&f);
  stop (&f);
}

/* A duplicate message must get the same verdict without a second record. */
static void
test_same_flight_again (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  begin (&f, 1);
  begin (&f, 1);
  assert_int_equal (f.after, 1);
  expect (&f, 1, KQ_CLAIM_GRANTED, KQ_OK);
  expect (&f, 1, KQ_CLAIM_GRANTED, KQ_OK);
  assert_int_equal (f.log.n_records, 1);
  done (&f, 1, KQ_RAN_YES);
  done (&f, 1, KQ_RAN_NO);
  assert_int_equal (f.after, 0);
  assert_int_equal (f.log.n_records, 2);
  stop (&f);
}

static void
test_other_request_refused (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  grant (&f, 1);
  begin_key (&f, 2, "key-1", 78); /* another body */
  expect (&f, 2, KQ_CLAIM_REFUSED, KQ_ERR_CLAIM_MISMATCH);
  begin_key (&f, 3, "key-2", 78);
  expect (&f, 3, KQ_CLAIM_GRANTED, KQ_OK);
  stop (&f);
}

/* The first request provably did not run, which releases the key. Of two waiting repeats
 * one must be granted, and the other must get that one's answer. */
static void
test_not_run_frees_key (void **state)
{
  Fixture f;
  KqOut item;
  uint64_t granted;
  (void)state;
  start (&f);
  grant (&f, 1);
  begin (&f, 2);
  begin (&f, 3);
  done (&f, 1, KQ_RAN_NO);
  assert_int_equal (f.after, f.log.n_records);
  assert_true (kq_outbox_take (&f.out, &item));
  assert_int_equal (item.u.send.msg->u.claim_reply.verdict, KQ_CLAIM_GRANTED);
  granted = item.u.send.msg->u.claim_reply.flight.number;
  assert_in_range (granted, 2, 3);
  kq_out_clear (&item);
  expect_nothing (&f);
  done (&f, granted, KQ_RAN_YES);
  expect (&f, 5 - granted, KQ_CLAIM_ANSWERED, KQ_OK);
  assert_int_equal (kq_claims_count (f.claims), 1);
  stop (&f);
}

/* The connection to the runner broke during the request, so that it is unknown whether it
 * ran. Waiting and later repeats must be told so, and must not run. */
static void
test_unknown_outcome (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  grant (&f, 1);
  begin (&f, 2);
  done (&f, 1, KQ_RAN_UNKNOWN);
  expect (&f, 2, KQ_CLAIM_UNKNOWN, KQ_ERR_OUTCOME_UNKNOWN);
  begin (&f, 3);
  expect (&f, 3, KQ_CLAIM_UNKNOWN, KQ_ERR_OUTCOME_UNKNOWN);
  stop (&f);
}

/* The entry node dies during the request: its claims become unknown. The end of another
 * process of the same node must not affect them. */
static void
test_entry_node_gone (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  grant (&f, 1);
  begin (&f, 2);
  assert_int_equal (kq_claims_node_gone (f.claims, ENTRY, INCARNATION + 1, f.now, &f.out),
                    0);
  expect_nothing (&f);
  assert_int_equal (kq_claims_node_gone (f.claims, ENTRY, INCARNATION, f.now, &f.out), 2);
  expect (&f, 2, KQ_CLAIM_UNKNOWN, KQ_ERR_OUTCOME_UNKNOWN);
  stop (&f);
}

/* The answer is too large to be stored. Waiting and later repeats, also after a takeover,
 * must be told that the request ran, and must not run. */
static void
test_answer_not_kept (void **state)
{
  Fixture f;
  char *large = kq_alloc (70000);
  (void)state;
  start (&f);
  grant (&f, 1);
  begin (&f, 2);
  done_body (&f, 1, KQ_RAN_YES, true, kq_str_n (large, 70000));
  expect (&f, 2, KQ_CLAIM_UNKNOWN, KQ_ERR_CLAIM_NOT_KEPT);
  begin (&f, 3);
  expect (&f, 3, KQ_CLAIM_UNKNOWN, KQ_ERR_CLAIM_NOT_KEPT);
  take_over (&f);
  begin (&f, 4);
  expect (&f, 4, KQ_CLAIM_UNKNOWN, KQ_ERR_CLAIM_NOT_KEPT);
  stop (&f);
  free (large);
}

/* Stored answers reach their limit. Further answers must still reach waiting repeats, but
 * not be stored; the memory stays bounded, and no request runs twice. */
static void
test_memory_bounded (void **state)
{
  Fixture f;
  char *body = kq_alloc (60000);
  size_t most = 0;
  (void)state;
  start (&f);
  for (uint64_t i = 1; i <= 200; i++)
    {
      char key[16];
      snprintf (key, sizeof key, "k%d", (int)i);
      begin_key (&f, i, key, 1);
      expect (&f, i, KQ_CLAIM_GRANTED, KQ_OK);
      begin_key (&f, 1000 + i, key, 1);
      done_body (&f, i, KQ_RAN_YES, true, kq_str_n (body, 60000));
      expect (&f, 1000 + i, KQ_CLAIM_ANSWERED, KQ_OK);
      most = kq_claims_bytes (f.claims) > most ? kq_claims_bytes (f.claims) : most;
    }
  assert_true (most < 5 << 20);
  begin_key (&f, 5000, "k1", 1);
  expect (&f, 5000, KQ_CLAIM_ANSWERED, KQ_OK);
  begin_key (&f, 5001, "k200", 1);
  expect (&f, 5001, KQ_CLAIM_UNKNOWN, KQ_ERR_CLAIM_NOT_KEPT);
  tick (&f, TTL + 1);
  assert_int_equal (kq_claims_count (f.claims) + kq_claims_bytes (f.claims), 0);
  stop (&f);
  free (body);
}

/* The table of claims is full: a new key must be refused as not run, since dropping an
 * old claim could let its request run twice. */
static void
test_table_full (void **state)
{
  Fixture f;
  char key[16];
  uint64_t i = 0;
  (void)state;
  start (&f);
  while (i < 20000)
    {
      snprintf (key, sizeof key, "k%d", (int)++i);
      begin_key (&f, i, key, 1);
      expect (&f, i, KQ_CLAIM_GRANTED, KQ_OK);
    }
  begin_key (&f, 20001, "one more", 1);
  expect (&f, 20001, KQ_CLAIM_REFUSED, KQ_ERR_CLAIM_UNAVAILABLE);
  assert_int_equal (f.log.n_records, 20000);
  stop (&f);
}

/* A claim is kept for its ttl after its end, then its key may be used again. An open
 * claim whose entry node doesn't report the end becomes unknown after the ttl; its key
 * must not be granted before another ttl has passed. */
static void
test_expiry (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  grant (&f, 1);
  done (&f, 1, KQ_RAN_YES);
  tick (&f, TTL - 1);
  begin (&f, 2);
  expect (&f, 2, KQ_CLAIM_ANSWERED, KQ_OK);
  tick (&f, 1);
  grant (&f, 3);
  tick (&f, TTL);
  begin (&f, 4);
  expect (&f, 4, KQ_CLAIM_UNKNOWN, KQ_ERR_OUTCOME_UNKNOWN);
  tick (&f, TTL);
  grant (&f, 5);
  stop (&f);
}

static void
test_waits_are_bounded (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  grant (&f, 1);
  for (uint64_t i = 2; i < 2 + 64; i++)
    begin (&f, i);
  expect_nothing (&f);
  begin (&f, 100);
  expect (&f, 100, KQ_CLAIM_REFUSED, KQ_ERR_CLAIM_PENDING);
  tick (&f, 30 * KQ_SEC);
  for (uint64_t i = 2; i < 2 + 64; i++)
    expect (&f, i, KQ_CLAIM_REFUSED, KQ_ERR_CLAIM_PENDING);
  expect_nothing (&f);
  stop (&f);
}

static void
start_taken_over (Fixture *f)
{
  start (f);
  grant (f, 1);
  take_over (f);
}

/* The owner dies while a claim is open. The entry node reports the end to the successor
 * within the grace time: the waiting repeat must get the answer. */
static void
test_takeover_end_told (void **state)
{
  Fixture f;
  (void)state;
  start_taken_over (&f);
  begin (&f, 2);
  tick (&f, 9 * KQ_SEC);
  expect_nothing (&f);
  done (&f, 1, KQ_RAN_YES);
  expect (&f, 2, KQ_CLAIM_ANSWERED, KQ_OK);
  stop (&f);
}

/* The same, but no end is reported within the grace time: the claim becomes unknown. A
 * later report by the entry node must still be accepted, as only it knows the outcome. */
static void
test_takeover_end_not_told (void **state)
{
  Fixture f;
  (void)state;
  start_taken_over (&f);
  begin (&f, 2);
  tick (&f, 10 * KQ_SEC);
  expect (&f, 2, KQ_CLAIM_UNKNOWN, KQ_ERR_OUTCOME_UNKNOWN);
  done (&f, 1, KQ_RAN_YES);
  begin (&f, 3);
  expect (&f, 3, KQ_CLAIM_ANSWERED, KQ_OK);
  stop (&f);
}

/* The grant was committed, but its message was lost with the owner. When the entry node
 * asks the successor, the claim must be granted to the same flight, and to no other. */
static void
test_takeover_grant_lost (void **state)
{
  Fixture f;
  (void)state;
  start_taken_over (&f);
  grant (&f, 1);
  begin (&f, 2);
  expect_nothing (&f);
  assert_int_equal (f.log.n_records, 1);
  stop (&f);
}

/* Before the end of recovery new keys must be refused as not run. The refusal while
 * commits lag is tested in shard_test. */
static void
test_not_yet_opened (void **state)
{
  Fixture f;
  (void)state;
  f = (Fixture){ .claims = kq_claims_new (3, port (&f.log)) };
  begin (&f, 1);
  expect (&f, 1, KQ_CLAIM_REFUSED, KQ_ERR_CLAIM_UNAVAILABLE);
  assert_int_equal (f.after + f.log.n_records, 0);
  stop (&f);
}

static void
add_record (void *arg, const KqRecord *r)
{
  kq_log_port_append (port (arg), r, KQ_COMMIT_NORMAL, 0);
}

static void
apply_all (KqClaims *c, const KqFakeLog *log, size_t n, KqTime now)
{
  for (size_t i = 0; i < n; i++)
    kq_claims_apply (c, &log->records[i], now);
}

static void
assert_same_snapshot (const KqClaims *a, const KqClaims *b, KqTime now)
{
  KqFakeLog x = { 0 };
  KqFakeLog y = { 0 };
  kq_claims_snapshot (a, now, add_record, &x);
  kq_claims_snapshot (b, now, add_record, &y);
  assert_int_equal (x.n_records, y.n_records);
  for (size_t i = 0; i < x.n_records; i++)
    {
      assert_int_equal (x.records[i].type, y.records[i].type);
      assert_true (kq_str_eq (x.records[i].body, y.records[i].body));
    }
  kq_fake_log_free (&x);
  kq_fake_log_free (&y);
}

/* Random claims, repeats and ends. For prefixes of the log, the state must be the same if
 * the records are applied once, applied twice, or rebuilt from a snapshot. The whole log
 * must give the state of its owner. */
static void
test_replay (void **state)
{
  Fixture f;
  KqRand rand = kq_rand (21);
  KqOut item;
  (void)state;
  start (&f);
  for (uint64_t i = 1; i <= 300; i++)
    {
      char key[16];
      snprintf (key, sizeof key, "k%d", (int)kq_rand_below (&rand, 30));
      begin_key (&f, i, key, 1);
      done (&f, 1 + kq_rand_below (&rand, i), (KqRan)kq_rand_below (&rand, 3));
    }
  while (kq_outbox_take (&f.out, &item))
    kq_out_clear (&item);
  for (size_t n = 0; n <= f.log.n_records; n += n < f.log.n_records - 5 ? 5 : 1)
    {
      KqFakeLog none = { 0 };
      KqFakeLog snapshot = { 0 };
      KqClaims *once = kq_claims_new (3, port (&none));
      KqClaims *twice = kq_claims_new (3, port (&none));
      KqClaims *rebuilt = kq_claims_new (3, port (&none));
      apply_all (once, &f.log, n, f.now);
      apply_all (twice, &f.log, n, f.now);
      apply_all (twice, &f.log, n, f.now);
      assert_same_snapshot (once, twice, f.now);
      kq_claims_snapshot (once, f.now, add_record, &snapshot);
      apply_all (rebuilt, &snapshot, snapshot.n_records, f.now);
      assert_same_snapshot (once, rebuilt, f.now);
      if (n == f.log.n_records)
        assert_same_snapshot (once, f.claims, f.now);
      kq_claims_free (once);
      kq_claims_free (twice);
      kq_claims_free (rebuilt);
      kq_fake_log_free (&snapshot);
    }
  stop (&f);
}

/* Random messages with duplicates and reordering, and takeovers in between. For each key
 * at most one request may have run until it is proved "not run". The test acts as the
 * entry node and runs a request only on the first grant of its flight. */
static void
test_never_twice (void **state)
{
  static int progress[FLIGHTS]; /* 0: begun, 1: granted, 2: ended */
  int running[KEYS] = { 0 };
  Fixture f;
  KqRand rand = kq_rand (22);
  KqOut item;
  (void)state;
  start (&f);
  for (uint64_t i = 1; i < FLIGHTS; i++)
    {
      char key[16];
      uint64_t other = 1 + kq_rand_below (&rand, i);
      snprintf (key, sizeof key, "k%d", (int)(i % KEYS));
      begin_key (&f, i, key, 1);
      if (kq_rand_below (&rand, 4) == 0)
        begin_key (&f, i, key, 1);
      while (kq_outbox_take (&f.out, &item))
        {
          const KqMsgClaimReply *r = &item.u.send.msg->u.claim_reply;
          if (r->verdict == KQ_CLAIM_GRANTED && progress[r->flight.number] == 0)
            {
              progress[r->flight.number] = 1;
              assert_int_equal (running[r->flight.number % KEYS]++, 0);
            }
          kq_out_clear (&item);
        }
      if (progress[other] == 1)
        {
          KqRan ran = (KqRan)kq_rand_below (&rand, 3);
          progress[other] = 2;
          running[other % KEYS] -= ran == KQ_RAN_NO;
          done (&f, other, ran);
        }
      if (kq_rand_below (&rand, 50) == 0)
        take_over (&f);
      f.now += kq_rand_below (&rand, KQ_SEC / 100);
    }
  stop (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_expiry),
    cmocka_unit_test (test_replay),
    cmocka_unit_test (test_table_full),
    cmocka_unit_test (test_never_twice),
    cmocka_unit_test (test_memory_bounded),
    cmocka_unit_test (test_not_yet_opened),
    cmocka_unit_test (test_unknown_outcome),
    cmocka_unit_test (test_entry_node_gone),
    cmocka_unit_test (test_answer_not_kept),
    cmocka_unit_test (test_same_flight_again),
    cmocka_unit_test (test_not_run_frees_key),
    cmocka_unit_test (test_waits_are_bounded),
    cmocka_unit_test (test_takeover_end_told),
    cmocka_unit_test (test_takeover_grant_lost),
    cmocka_unit_test (test_other_request_refused),
    cmocka_unit_test (test_takeover_end_not_told),
    cmocka_unit_test (test_repeat_waits_and_gets_answer),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
