#include "base/rand.h"
#include "port/worker_fake.h"
#include "port/worker_json.h"
#include "port/worker_list.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define STAMP_BASE 1000000000000ull
#define LEASE_MS 9000
#define LEASE (LEASE_MS * KQ_MS)

/* Two workers of 4 cores. Each call and answer is encoded to JSON and decoded again, so
 * that these tests cover worker_json.c too. */
typedef struct
{
  KqWorkerFakeEffects effects;
  KqWorkerFake w[2];
  KqTime now;
  int64_t run_ms;  /* of started tasks */
  KqWorkerReply r; /* the last answer */
} Rig;

static int
set_up (void **state)
{
  Rig *g = kq_alloc (sizeof *g);
  kq_worker_fake_effects_init (&g->effects, STAMP_BASE, 5 * KQ_SEC);
  for (int i = 0; i < 2; i++)
    kq_worker_fake_init (&g->w[i], &g->effects, (KqSize){ 4000, 8000, 1 });
  g->now = 100 * KQ_SEC;
  g->run_ms = 4000;
  *state = g;
  return 0;
}

static int
tear_down (void **state)
{
  Rig *g = *state;
  kq_worker_answer_free (&g->r);
  assert_int_equal (g->effects.overcommits, 0);
  for (int i = 0; i < 2; i++)
    kq_worker_fake_free (&g->w[i]);
  kq_worker_fake_effects_free (&g->effects);
  free (g);
  return 0;
}

static KqResult
send (Rig *g, int worker, KqWorkerCall c)
{
  KqWorkerReply made;
  KqWorkerCall read;
  char *text;
  c.shard = 3;
  c.token = ~0ull - 7;
  text = kq_worker_call_json (&c);
  assert_true (kq_worker_call_read (kq_str (text), c.kind, &read));
  free (text);
  kq_worker_fake_call (&g->w[worker], &read, g->now, &made);
  text = kq_worker_answer_json (&made);
  kq_worker_answer_free (&g->r);
  g->r.result = kq_worker_answer_read (kq_str (text), made.result == KQ_OK, &c, &g->r);
  assert_int_equal (g->r.result, made.result);
  assert_int_equal (g->r.n_tasks, made.n_tasks);
  kq_worker_answer_free (&made);
  free (text);
  free (read.acks);
  return g->r.result;
}

static KqResult
renew (Rig *g, int worker, uint64_t epoch, uint64_t stamp)
{
  return send (g, worker,
               (KqWorkerCall){ .kind = KQ_WORKER_LEASE,
                               .epoch = epoch,
                               .echo_stamp = stamp,
                               .lease_ms = LEASE_MS });
}

static void
take_lease (Rig *g, int worker, uint64_t epoch)
{
  assert_int_equal (renew (g, worker, epoch, 0), KQ_OK);
  assert_false (g->r.lease_live);
  assert_int_equal (renew (g, worker, epoch, g->r.stamp), KQ_OK);
  assert_true (g->r.lease_live);
}

static KqResult
command (Rig *g, int worker, KqWorkerCallKind kind, KqTaskKey key)
{
  return send (g, worker,
               (KqWorkerCall){ .kind = kind,
                               .epoch = 1,
                               .task = key,
                               .throttle_percent = 50,
                               .size = { 1000, 1000, 0 },
                               .class_name = kq_name (KQ_STR ("roster")),
                               .latency_critical = true,
                               .run_ms = g->run_ms });
}

static KqResult
start (Rig *g, int worker, KqJobId job, uint32_t attempt)
{
  return command (g, worker, KQ_WORKER_START, (KqTaskKey){ job, attempt });
}

/* An owner's renewal is delayed in the network and arrives after the owner has given the
 * lease up. It must extend nothing, or the worker would run a task that the successor has
 * already started elsewhere. After the expiry the same stamp is invalid too. */
static void
test_late_renewal_extends_nothing (void **state)
{
  Rig *g = *state;
  uint64_t first;
  take_lease (g, 0, 1);
  first = g->r.stamp;
  assert_int_equal (start (g, 0, 5, 1), KQ_OK);
  g->now += LEASE - 1;
  renew (g, 0, 1, first); /* extends to the stamp's time plus the lease, no further */
  assert_true (g->r.lease_live);
  g->now += 1;
  renew (g, 0, 1, first);
  assert_false (g->r.lease_live);
  renew (g, 0, 1, first);
  assert_false (g->r.lease_live);
  assert_int_equal (start (g, 0, 6, 1), KQ_ERR_NO_LEASE);
  renew (g, 0, 1, 0);
  renew (g, 0, 1, g->r.stamp);
  assert_true (g->r.lease_live);
  renew (g, 0, 1, g->r.stamp + KQ_SEC); /* later than now: of another process */
  assert_true (g->r.lease_live);
  assert_true (g->w[0].lease_until <= g->now + LEASE);
}

/* Without renewals (the owner has died) the tasks stop when the lease expires, not when
 * the next call arrives. */
static void
test_tasks_stop_with_the_lease (void **state)
{
  Rig *g = *state;
  take_lease (g, 0, 1);
  g->now += LEASE - KQ_SEC;
  assert_int_equal (start (g, 0, 5, 1), KQ_OK);
  g->now += 60 * KQ_SEC;
  renew (g, 0, 2, 0);
  assert_int_equal (g->r.n_tasks, 1);
  assert_int_equal (g->r.tasks[0].state, KQ_TASK_STOPPED);
  assert_int_equal (g->r.tasks[0].run_us, KQ_SEC);
  assert_true (kq_str_eq (kq_name_str (&g->r.tasks[0].class_name), KQ_STR ("roster")));
}

/* After a call with a higher epoch the worker refuses all calls of the earlier owner.
 * Running tasks go on; a stamp from before the new epoch renews nothing. */
static void
test_higher_epoch_refuses_earlier_owner (void **state)
{
  Rig *g = *state;
  uint64_t old;
  take_lease (g, 0, 1);
  old = g->r.stamp;
  assert_int_equal (start (g, 0, 5, 1), KQ_OK);
  g->now += KQ_SEC;
  renew (g, 0, 2, old);
  assert_false (g->r.lease_live);
  assert_int_equal (g->r.tasks[0].state, KQ_TASK_RUNNING);
  for (int k = KQ_WORKER_LEASE; k <= KQ_WORKER_THROTTLE; k++)
    {
      KqTaskKey key = { 5, 1 };
      assert_int_equal (k == KQ_WORKER_LEASE ? renew (g, 0, 1, old)
                                             : command (g, 0, (KqWorkerCallKind)k, key),
                        KQ_ERR_OLD_EPOCH);
      assert_int_equal (g->r.worker_epoch, 2);
    }
  take_lease (g, 0, 2);
  assert_int_equal (g->r.tasks[0].state, KQ_TASK_RUNNING);
}

/* A start that is repeated, arrives after its own stop, or was refused before never runs,
 * so that the next attempt is safe. No start exceeds the worker's capacity. */
static void
test_attempts_and_room (void **state)
{
  Rig *g = *state;
  assert_int_equal (start (g, 0, 5, 1), KQ_ERR_NO_LEASE);
  take_lease (g, 0, 1);
  assert_int_equal (start (g, 0, 5, 1), KQ_ERR_OLD_ATTEMPT);
  assert_int_equal (start (g, 0, 5, 2), KQ_OK);
  assert_int_equal (start (g, 0, 5, 2), KQ_ERR_OLD_ATTEMPT);
  assert_int_equal (command (g, 0, KQ_WORKER_STOP, (KqTaskKey){ 6, 1 }), KQ_OK);
  assert_int_equal (start (g, 0, 6, 1), KQ_ERR_OLD_ATTEMPT);
  for (KqJobId job = 10; job < 13; job++)
    assert_int_equal (start (g, 0, job, 1), KQ_OK);
  assert_int_equal (start (g, 0, 13, 1), KQ_ERR_NO_ROOM);
  assert_int_equal (start (g, 0, 13, 1), KQ_ERR_OLD_ATTEMPT);
  g->w[0].leaving = true;
  g->now += 4 * KQ_SEC; /* all tasks have finished */
  assert_int_equal (start (g, 0, 14, 1), KQ_ERR_WORKER_REFUSED);
}

/* A task is evicted after a quarter of its run time and resumed on another worker,
 * throttled to half: it takes twice the remaining run time. Repeated calls get the same
 * answer, as the first may have been lost. Ended tasks are listed until acknowledged. */
static void
test_checkpoint_resumes_elsewhere (void **state)
{
  Rig *g = *state;
  KqTaskKey key = { ~0ull, 1 };
  KqName id;
  KqWorkerCall resume = {
    .kind = KQ_WORKER_START, .epoch = 1, .task = { ~0ull, 2 }, .size = { 1000, 1000, 0 }
  };
  KqWorkerCall ack
      = { .kind = KQ_WORKER_LEASE, .epoch = 1, .lease_ms = 1, .acks = &key, .n_acks = 1 };
  take_lease (g, 0, 1);
  take_lease (g, 1, 1);
  assert_int_equal (start (g, 0, key.job, key.attempt), KQ_OK);
  g->now += KQ_SEC;
  assert_int_equal (command (g, 0, KQ_WORKER_CHECKPOINT, key), KQ_OK);
  id = g->r.checkpoint;
  assert_true (id.len > 0);
  assert_int_equal (command (g, 0, KQ_WORKER_CHECKPOINT, key), KQ_OK);
  assert_true (kq_name_eq (&id, &g->r.checkpoint));
  resume.checkpoint = id;
  assert_int_equal (send (g, 1, resume), KQ_OK);
  assert_int_equal (command (g, 1, KQ_WORKER_THROTTLE, resume.task), KQ_OK);
  g->now += 6 * KQ_SEC - 1;
  assert_int_equal (command (g, 1, KQ_WORKER_THROTTLE, resume.task), KQ_OK);
  g->now += 2;
  assert_int_equal (command (g, 1, KQ_WORKER_CHECKPOINT, resume.task),
                    KQ_ERR_WORKER_REFUSED);
  send (g, 0, (KqWorkerCall){ .kind = KQ_WORKER_LEASE, .epoch = 1, .lease_ms = 1 });
  assert_int_equal (g->r.tasks[0].state, KQ_TASK_CHECKPOINTED);
  assert_int_equal (send (g, 0, ack), KQ_OK);
  assert_int_equal (g->r.n_tasks, 0);
  key.attempt = 2;
  assert_int_equal (send (g, 1, ack), KQ_OK);
  assert_int_equal (g->r.n_tasks, 0);
}

/* Usage reports are delayed by one to two times the lag. Each is repeated until an echoed
 * stamp shows that it has arrived, and not after that: it would count twice. */
static void
test_usage_comes_late_and_counts_once (void **state)
{
  Rig *g = *state;
  uint64_t stamp;
  int reported = 0;
  g->run_ms = 60000;
  take_lease (g, 0, 1);
  stamp = g->r.stamp;
  assert_int_equal (start (g, 0, 5, 1), KQ_OK);
  assert_int_equal (start (g, 0, 6, 1), KQ_OK);
  for (int i = 0; i < 8; i++)
    {
      g->now += 2 * KQ_SEC;
      renew (g, 0, 1, stamp); /* the answers of odd rounds are lost */
      if (i % 2 == 0)
        stamp = g->r.stamp;
      reported += g->r.n_usage > 0;
      for (size_t k = 0; k < g->r.n_usage; k++)
        {
          assert_true (g->r.usage[k].age_us >= 5 * KQ_SEC);
          assert_int_equal (g->r.usage[k].cpu_milli, 1000);
          assert_true (g->r.usage[k].slowdown == 1.125);
        }
    }
  assert_int_equal (reported, 2); /* one answer lost, one received */
}

static bool
same_list (const KqWorkerReply *r, const KqWorkerFake *w)
{
  size_t n = 0;
  for (const KqWorkerFakeTask *t = w->tasks; t != NULL; t = t->next, n++)
    {
      size_t i = 0;
      while (i < r->n_tasks
             && (r->tasks[i].task.job != t->report.task.job
                 || r->tasks[i].task.attempt != t->report.task.attempt))
        i++;
      if (i == r->n_tasks || r->tasks[i].state != t->report.state
          || !kq_name_eq (&r->tasks[i].checkpoint, &t->report.checkpoint))
        return false;
    }
  return n == r->n_tasks;
}

/* A renewal that updates l; the acks stay in c until an answer arrives. */
static KqResult
renew_list (Rig *g, KqWorkerList *l, KqWorkerCall *c, bool lost)
{
  KqResult result;
  c->list_stamp = l->stamp;
  assert_int_equal (send (g, 0, *c), KQ_OK);
  if (lost)
    return KQ_ERR_WORKER_UNREACHABLE;
  result = kq_worker_list_apply (l, c, &g->r);
  c->echo_stamp = g->r.stamp;
  c->n_acks = 0;
  for (size_t i = 0; i < g->r.n_tasks && result == KQ_OK; i++)
    {
      if (g->r.tasks[i].state != KQ_TASK_RUNNING && c->n_acks < 8)
        c->acks[c->n_acks++] = g->r.tasks[i].task;
    }
  return result;
}

/* Random starts, stops, evictions, acknowledgements, lost answers, lease expiries and
 * restarts of the worker: a merged list always equals the worker's own, and if it can't,
 * it is refused once and the next answer has the full list. A task that is missing from
 * the list counts as stopped and would run twice. */
static void
test_list_of_changes_is_the_whole_list (void **state)
{
  Rig *g = *state;
  KqRand rand = kq_rand (11);
  KqWorkerList l = { 0 };
  KqTaskKey acks[8];
  KqWorkerCall c
      = { .kind = KQ_WORKER_LEASE, .epoch = 1, .lease_ms = LEASE_MS, .acks = acks };
  KqJobId job = 0;
  int refused = 0;
  int merged = 0;
  for (int i = 0; i < 20000; i++)
    {
      uint64_t what = kq_rand_below (&rand, 100);
      KqTaskKey key = { job - kq_rand_below (&rand, 4), 1 };
      g->now += (KqTime)kq_rand_below (&rand, 300) * KQ_MS * (what != 1 ? 1 : 100);
      if (what == 0) /* a restarted worker, in half of the cases with other stamps */
        {
          kq_worker_fake_free (&g->w[0]);
          kq_worker_fake_init (&g->w[0], &g->effects, (KqSize){ 4000, 8000, 1 });
          g->effects.stamp_base += kq_rand_below (&rand, 2) << 50;
          c.echo_stamp = 0;
        }
      else if (what < 30)
        start (g, 0, ++job, 1);
      else if (what < 50)
        command (g, 0, what < 40 ? KQ_WORKER_STOP : KQ_WORKER_CHECKPOINT, key);
      else
        {
          KqResult r = renew_list (g, &l, &c, what < 60);
          merged += r == KQ_OK && l.stamp != 0;
          refused += r == KQ_ERR_PLATFORM_FORMAT;
          assert_true (r != KQ_OK || same_list (&g->r, &g->w[0]));
          if (r == KQ_ERR_PLATFORM_FORMAT)
            assert_int_equal (renew_list (g, &l, &c, false), KQ_OK);
        }
    }
  kq_worker_list_free (&l);
  assert_true (merged > 7000);
  assert_in_range (refused, 1, 300); /* restarts only */
}

/* Changes to a list that isn't cached, or with a tag that differs, are refused; a worker
 * that sends no tag is asked for full lists. */
static void
test_list_with_a_wrong_tag (void **state)
{
  Rig *g = *state;
  KqWorkerList l = { 0 };
  KqTaskKey acks[8];
  KqWorkerCall c
      = { .kind = KQ_WORKER_LEASE, .epoch = 1, .lease_ms = LEASE_MS, .acks = acks };
  assert_int_equal (renew_list (g, &l, &c, false), KQ_OK);
  assert_int_equal (renew_list (g, &l, &c, false), KQ_OK);
  start (g, 0, 5, 1);
  c.list_stamp = l.stamp;
  assert_int_equal (send (g, 0, c), KQ_OK);
  assert_int_equal (g->r.tasks_since, l.stamp);
  assert_int_equal (g->r.n_tasks, 1); /* started at the time of the stamp */
  g->r.list_tag++;
  assert_int_equal (kq_worker_list_apply (&l, &c, &g->r), KQ_ERR_PLATFORM_FORMAT);
  assert_int_equal (l.stamp, 0);
  g->r.list_tag--;
  assert_int_equal (kq_worker_list_apply (&l, &c, &g->r), KQ_ERR_PLATFORM_FORMAT);
  assert_int_equal (renew_list (g, &l, &c, false), KQ_OK);
  assert_int_equal (g->r.n_tasks, 1);
  g->r.list_tag = 0;
  assert_int_equal (kq_worker_list_apply (&l, &c, &g->r), KQ_OK);
  assert_int_equal (l.stamp, 0);
  kq_worker_list_free (&l);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_late_renewal_extends_nothing, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_tasks_stop_with_the_lease, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_higher_epoch_refuses_earlier_owner, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_attempts_and_room, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_checkpoint_resumes_elsewhere, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_usage_comes_late_and_counts_once, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_list_of_changes_is_the_whole_list, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_list_with_a_wrong_tag, set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
