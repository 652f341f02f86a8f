#include "fleet/admission.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#define SERVICE "rating"
#define EPOCH 9

/* 100 cores do 100 units of work each millisecond; 40 s of work wait. */
static KqLoadRow
overloaded (void)
{
  return (KqLoadRow){ .service = KQ_STR (SERVICE),
                      .kind = KQ_LOAD_FILLING,
                      .rate = 100000,
                      .in_time_work = 10 * 1000 * 100000LL,
                      .late_work = 30 * 1000 * 100000LL,
                      .cut_work = 1000000,
                      .waiting_jobs = 400,
                      .late_jobs = 300 };
}

static KqLoadDigest
digest_of (KqLoadRow row, uint64_t number)
{
  KqLoadDigest d = { .number = number, .known = true, .n_rows = 1 };
  d.rows[0] = row;
  return d;
}

/* Of use for 12 s; 1 s of the whole capacity. */
static KqJobLoad
job (void)
{
  return (KqJobLoad){ .service = KQ_STR (SERVICE),
                      .kind = KQ_LOAD_FILLING,
                      .work = 100000000,
                      .chain_ms = 2000,
                      .objective_ms = 4000,
                      .start_milli = 40000,
                      .largest_milli = 2000 };
}

static KqAdmitOutlook
outlook (KqLoadRow row, KqJobLoad j)
{
  return kq_admit_forecast (&row, &j, (KqAdmitAhead){ 0 }, false).outlook;
}

/* Guards against refusing a job that could be of use: each condition alone prevents it.
 */
static void
test_each_condition_prevents_a_refusal (void **state)
{
  KqLoadRow row = overloaded ();
  KqJobLoad j = job ();
  KqAdmitForecast f = kq_admit_forecast (&row, &j, (KqAdmitAhead){ 0 }, false);
  (void)state;
  assert_int_equal (f.outlook, KQ_ADMIT_TOO_LATE);
  assert_int_equal (f.wait_ms, 40000);
  assert_int_equal (f.end_ms, 42000);
  assert_int_equal (f.in_time_ms, 38000);
  assert_int_equal (kq_admit_forecast (NULL, &j, (KqAdmitAhead){ 0 }, false).outlook,
                    KQ_ADMIT_NO_OVERLOAD);
  row.late_work = 0;
  row.in_time_work *= 4;
  assert_int_equal (outlook (row, j), KQ_ADMIT_NO_OVERLOAD);
  row = overloaded ();
  row.rate = 0;
  assert_int_equal (outlook (row, j), KQ_ADMIT_UNKNOWN);
  row = overloaded ();
  row.free_milli = row.largest_milli = j.largest_milli;
  assert_int_equal (outlook (row, j), KQ_ADMIT_ROOM);
  row.waiting_milli = j.largest_milli; /* tasks of that size wait all the same */
  assert_int_equal (outlook (row, j), KQ_ADMIT_TOO_LATE);
  row.waiting_milli = j.largest_milli + 1; /* only larger ones do */
  assert_int_equal (outlook (row, j), KQ_ADMIT_ROOM);
  row.largest_milli--; /* free, but in pieces that are too small */
  assert_int_equal (outlook (row, j), KQ_ADMIT_TOO_LATE);
  row = overloaded ();
  row.cut_work = j.work + 1;
  assert_int_equal (outlook (row, j), KQ_ADMIT_SMALL);
  row = overloaded ();
  j.objective_ms = 14000;
  assert_int_equal (outlook (row, j), KQ_ADMIT_OF_USE);
}

/* Guards against a refusal that isn't true, or isn't the leader's to make. */
static void
test_leader_accepts_what_it_does_not_know_to_be_late (void **state)
{
  KqLoadDigest load = digest_of (overloaded (), 1);
  KqJobLoad j = job ();
  KqAdmitForecast f;
  KqAdmitCase c = { .settled = true, .load = &load };
  (void)state;
  assert_int_equal (kq_admit_decide (&c, &j, KQ_SEC, &f), KQ_ADMIT_REFUSE);
  c.known = true;
  assert_int_equal (kq_admit_decide (&c, &j, KQ_SEC, &f), KQ_ADMIT_ACCEPT_KNOWN);
  c = (KqAdmitCase){ .settled = true, .load = &load, .has_open_write = true };
  assert_int_equal (kq_admit_decide (&c, &j, KQ_SEC, &f), KQ_ADMIT_ACCEPT_WRITTEN);
  c = (KqAdmitCase){ .settled = false, .load = &load };
  assert_int_equal (kq_admit_decide (&c, &j, KQ_SEC, &f), KQ_ADMIT_ACCEPT_UNSETTLED);
  load.known = false;
  c.settled = true;
  assert_int_equal (kq_admit_decide (&c, &j, KQ_SEC, &f), KQ_ADMIT_ACCEPT_UNSETTLED);
}

/* Guards against a refused client that is refused again and again while newcomers are
 * accepted, and against one that gains by asking often. */
static void
test_returned_job_goes_before_newcomers (void **state)
{
  KqLoadDigest load = digest_of (overloaded (), 1);
  KqJobLoad j = job ();
  KqAdmitForecast f;
  KqRefusal earlier = { .first_at = 10 * KQ_SEC, .return_at = 15 * KQ_SEC };
  KqAdmitCase c = {
    .settled = true, .load = &load, .refusal = &earlier, .newcomer_at = 14 * KQ_SEC
  };
  (void)state;
  assert_int_equal (kq_admit_decide (&c, &j, 15 * KQ_SEC - 1, &f), KQ_ADMIT_REFUSE_EARLY);
  assert_int_equal (kq_admit_decide (&c, &j, 15 * KQ_SEC, &f), KQ_ADMIT_ACCEPT_RETURNED);
  /* No newcomer since: it is accepted if the work before it, without the late one, leaves
   * it of use. */
  assert_int_equal (kq_admit_decide (&c, &j, 20 * KQ_SEC, &f), KQ_ADMIT_ACCEPT_RETURNED);
  load.rows[0].in_time_work *= 2;
  assert_int_equal (kq_admit_decide (&c, &j, 20 * KQ_SEC, &f), KQ_ADMIT_REFUSE);
}

/* Guards against decisions by a load that is over: the digest is late, of an earlier
 * leader, or arrives after a later one. */
static void
test_only_the_present_leaders_fresh_digest_is_used (void **state)
{
  KqLoadDigest d = digest_of (overloaded (), 5);
  KqLoadDigest earlier = digest_of ((KqLoadRow){ .service = KQ_STR (SERVICE) }, 4);
  KqAdmitView v = { 0 };
  KqJobLoad j = job ();
  KqAdmitForecast f;
  KqTime now = 100 * KQ_SEC;
  (void)state;
  assert_false (kq_admit_view_doubts (&v, &j, EPOCH, now, &f));
  assert_true (kq_admit_view_take (&v, EPOCH, &d, 40, 0, now));
  assert_true (kq_admit_view_doubts (&v, &j, EPOCH, now + KQ_SEC, &f));
  assert_false (kq_admit_view_doubts (&v, &j, EPOCH, now + KQ_SEC + 1, &f));
  assert_false (kq_admit_view_doubts (&v, &j, EPOCH + 1, now, &f));
  assert_false (kq_admit_view_doubts (&v, &j, 0, now, &f));
  assert_false (kq_admit_view_take (&v, EPOCH, &earlier, 40, 0, now));
  assert_false (kq_admit_view_take (&v, EPOCH, &d, 40, 0, now));
  assert_false (kq_admit_view_take (&v, EPOCH - 1, &d, 40, 0, now));
  assert_true (kq_admit_view_doubts (&v, &j, EPOCH, now, &f));
  /* A new leader begins to count anew. */
  assert_true (kq_admit_view_take (&v, EPOCH + 1, &earlier, 40, 0, now));
  assert_false (kq_admit_view_doubts (&v, &j, EPOCH + 1, now, &f));
}

/* Guards against a node that keeps a digest of an overload which is over: the last row
 * is gone, and nothing else would be sent. */
static void
test_digest_is_sent_when_the_load_is_gone (void **state)
{
  KqLoadDigest busy = digest_of (overloaded (), 1);
  KqLoadDigest idle = { .known = true };
  KqLoadDigest unknown = { 0 };
  KqLoadDigest zero = { 0 };
  KqTime t = 100 * KQ_SEC;
  (void)state;
  assert_true (kq_admit_digest_is_due (&zero, 0, &busy, t));
  assert_false (kq_admit_digest_is_due (&zero, 0, &unknown, t));
  assert_false (kq_admit_digest_is_due (&busy, t, &idle, t + 400 * KQ_MS));
  assert_true (kq_admit_digest_is_due (&busy, t, &idle, t + 500 * KQ_MS));
  assert_true (kq_admit_digest_is_due (&busy, t, &unknown, t + 500 * KQ_MS));
  /* Unchanged: only while work waits, and before the last one is too old. */
  assert_false (kq_admit_digest_is_due (&busy, t, &busy, t + 500 * KQ_MS));
  assert_true (kq_admit_digest_is_due (&busy, t, &busy, t + 750 * KQ_MS));
  assert_false (kq_admit_digest_is_due (&idle, t, &idle, t + 100 * KQ_SEC));
}

#define FRONTS 40

/* Guards against forty nodes that all accept the room that one digest shows: they accept
 * no more than what is of use, and what arrives at a node before it has counted a job. */
static void
test_forty_nodes_with_one_digest (void **state)
{
  static KqAdmitView views[FRONTS];
  KqLoadRow row = overloaded ();
  KqJobLoad j = job ();
  KqAdmitForecast f;
  int accepted = 0;
  int expected;
  (void)state;
  row.in_time_work = 0;
  row.late_work = 4000 * row.rate; /* of use: 6 jobs of 1 s more, as 12 s - 2 s - 4 s */
  expected = 6 + 1;
  for (int i = 0; i < FRONTS; i++)
    {
      KqLoadDigest d = digest_of (row, 1);
      KqLoadDigest next = digest_of (row, 2);
      kq_admit_view_take (&views[i], EPOCH, &d, FRONTS, 0, KQ_SEC);
      /* All nodes have accepted 20 jobs each lately. */
      for (int n = 0; n < 20; n++)
        kq_admit_view_count (&views[i], NULL);
      kq_admit_view_take (&views[i], EPOCH, &next, FRONTS, 20 * FRONTS, 2 * KQ_SEC);
    }
  /* 2,000 jobs within the digest's age, in turn at each node. */
  for (int n = 0; n < 2000; n++)
    {
      KqAdmitView *v = &views[n % FRONTS];
      if (kq_admit_view_doubts (v, &j, EPOCH, 2 * KQ_SEC + n * (KQ_SEC / 2000), &f))
        continue;
      kq_admit_view_count (v, &j);
      accepted++;
    }
  assert_in_range (accepted, expected, FRONTS);
}

/* Guards against a node that counts itself as one of forty though nearly all jobs come to
 * it: it would refuse far too much. */
static void
test_share_follows_the_arrivals (void **state)
{
  static KqAdmitView v;
  KqLoadRow row = overloaded ();
  KqLoadDigest d;
  KqJobLoad j = job ();
  KqAdmitForecast f;
  int accepted = 0;
  (void)state;
  row.in_time_work = 0;
  row.late_work = 4000 * row.rate;
  d = digest_of (row, 1);
  kq_admit_view_take (&v, EPOCH, &d, FRONTS, 0, KQ_SEC);
  for (int n = 0; n < 100; n++)
    kq_admit_view_count (&v, NULL);
  d.number++;
  kq_admit_view_take (&v, EPOCH, &d, FRONTS, 100, 2 * KQ_SEC);
  while (!kq_admit_view_doubts (&v, &j, EPOCH, 2 * KQ_SEC, &f) && accepted < 100)
    {
      kq_admit_view_count (&v, &j);
      accepted++;
    }
  assert_int_equal (accepted, 7);
}

/* A model of one kind of task: `rate` does the accepted work in order of arrival. */
typedef struct
{
  double work; /* not done yet */
  int accepted;
  int refused;
  int of_no_use;
} Model;

static KqLoadDigest
digest_of_model (const Model *m, const KqJobLoad *j, uint64_t number)
{
  const int64_t rate = 100000;
  int64_t in_time = (j->objective_ms - j->chain_ms) * rate;
  KqLoadRow row = { .service = KQ_STR (SERVICE), .kind = KQ_LOAD_FILLING, .rate = rate };
  row.in_time_work = (int64_t)m->work < in_time ? (int64_t)m->work : in_time;
  row.late_work = (int64_t)m->work - row.in_time_work;
  row.cut_work = row.late_work > 0 ? j->work : 0;
  return digest_of (row, number);
}

/* 20 s of jobs that want 2.6 times the capacity. */
static Model
run_burst (bool decide)
{
  KqAdmitView view = { 0 };
  KqJobLoad j = job ();
  Model m = { 0 };
  uint64_t number = 0;
  j.work /= 10;
  for (KqTime now = KQ_SEC; now < 21 * KQ_SEC; now += 38 * KQ_MS)
    {
      KqLoadDigest fresh = digest_of_model (&m, &j, ++number);
      KqAdmitForecast f;
      KqAdmitCase c = { .settled = true, .load = &fresh };
      if (now - view.at > 500 * KQ_MS)
        kq_admit_view_take (&view, EPOCH, &fresh, 1, (uint64_t)m.accepted, now);
      if (decide && kq_admit_view_doubts (&view, &j, EPOCH, now, &f)
          && kq_admit_decide (&c, &j, now, &f) == KQ_ADMIT_REFUSE)
        m.refused++;
      else
        {
          m.of_no_use += m.work / 100000 + (double)j.chain_ms
                         > KQ_ADMIT_USE_RATIO * (double)j.objective_ms;
          m.work += (double)j.work;
          m.accepted++;
          kq_admit_view_count (&view, &j);
        }
      m.work -= 38.0 * 100000;
      if (m.work < 0)
        m.work = 0;
    }
  return m;
}

/* Guards against the overload of the first operator's contended day: all jobs are
 * accepted, and those that end are of no use. */
static void
test_burst_leaves_no_accepted_job_of_no_use (void **state)
{
  Model all = run_burst (false);
  Model some = run_burst (true);
  (void)state;
  assert_int_equal (all.refused, 0);
  assert_true (all.of_no_use > all.accepted / 4);
  assert_true (some.of_no_use <= some.accepted / 50);
  /* What is accepted keeps the runners busy: 20 s of their work at least. */
  assert_true (some.accepted >= 200);
  assert_true (some.refused > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_each_condition_prevents_a_refusal),
          cmocka_unit_test (test_leader_accepts_what_it_does_not_know_to_be_late),
          cmocka_unit_test (test_returned_job_goes_before_newcomers),
          cmocka_unit_test (test_only_the_present_leaders_fresh_digest_is_used),
          cmocka_unit_test (test_digest_is_sent_when_the_load_is_gone),
          cmocka_unit_test (test_forty_nodes_with_one_digest),
          cmocka_unit_test (test_share_follows_the_arrivals),
          cmocka_unit_test (test_burst_leaves_no_accepted_job_of_no_use) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
