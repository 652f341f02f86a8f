#include "base/log.h"
#include "port/kv.h"
#include "sched/sched.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

/* More than fit in one value of the store. */
#define RUNNERS 20000

typedef struct
{
  KqSched *sched;
  KqTime now;
  bool taken[RUNNERS]; /* runners that an agent has been given */
} Fleet;

static int
count_taken (const Fleet *f)
{
  int n = 0;
  for (int i = 0; i < RUNNERS; i++)
    n += f->taken[i];
  return n;
}

static void
on_order (void *arg, int agent, const KqOrder *o)
{
  Fleet *f = arg;
  KqRunnerList l = { .started_ms = 1, .lease_left_ms = 5000 };
  int64_t n = 0;
  if (o->kind != KQ_ORDER_TAKE)
    return;
  kq_str_to_i64 (kq_str_n (o->runner.ptr + o->runner.len - 12, 12), &n);
  f->taken[n] = true;
  l.assignment = o->u.take.assignment;
  kq_sched_list (f->sched, agent, o->runner, &l, f->now);
}

static void
add_entry (Fleet *f, int n, bool draining)
{
  char id[64];
  KqRunnerEntry e = { .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:1"),
                      .failure_domain = KQ_STR ("d"),
                      .draining = draining,
                      .room = { 4000, 16000, 0 } };
  snprintf (id, sizeof id, "runner-with-a-long-name-of-48-bytes-%012d", n);
  e.id = kq_str (id);
  kq_sched_entry (f->sched, &e, f->now);
}

/* Stores the lists if they have changed; returns the bytes of the list of runners. */
static size_t
store_lists (Fleet *f)
{
  KqBuf list = { 0 };
  KqBuf agents = { 0 };
  size_t n;
  if (kq_sched_used_runners_pack (f->sched, &list))
    {
      kq_sched_used_agents_pack (f->sched, &agents);
      kq_sched_used_runners_stored (f->sched);
    }
  n = list.len;
  kq_buf_free (&list);
  kq_buf_free (&agents);
  return n;
}

static size_t
run (Fleet *f, KqTime span)
{
  size_t most = 0;
  for (KqTime end = f->now + span; f->now < end; f->now += 50 * KQ_MS)
    {
      size_t n = store_lists (f);
      most = n > most ? n : most;
      kq_sched_run (f->sched, f->now, f->now / KQ_MS);
    }
  return most;
}

/* Guards against a leader that can't store progress any more, as the list of runners has
 * become larger than a value may be. */
static void
test_runners_beyond_the_stored_list_are_not_used (void **state)
{
  static Fleet f = { .now = 100 * KQ_SEC };
  KqCounters *counters = kq_counters_new ();
  KqSchedConfig c = { .epoch = 5,
                      .term = 1,
                      .lease_ms = 5000,
                      .renew_without_leader_ms = 4000,
                      .keep_ms = 60000,
                      .counters = counters,
                      .order = on_order,
                      .arg = &f };
  KqAgentInfo info = { .name = kq_name (KQ_STR ("n")), .share_milli = 1000 };
  const uint64_t *left_out;
  int taken;
  size_t bytes;
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  f.sched = kq_sched_new (&c, f.now);
  for (int i = 0; i < RUNNERS; i++)
    add_entry (&f, i, false);
  kq_sched_loaded (f.sched, f.now);
  kq_sched_agent_up (f.sched, &info, f.now);
  bytes = run (&f, 20 * KQ_SEC);
  assert_in_range (bytes, KQ_KV_VALUE_MAX * 3 / 4, KQ_KV_VALUE_MAX);
  kq_sched_gauges (f.sched);
  left_out = kq_counter (counters, "kq_runners_left_out", "", "");
  assert_in_range (*left_out, 1, RUNNERS - 1);
  assert_int_equal (count_taken (&f) + (int)*left_out, RUNNERS);
  assert_int_equal (run (&f, KQ_SEC), 0); /* it isn't written again and again */
  taken = count_taken (&f);
  for (int i = 0; i < 100; i++)
    add_entry (&f, i, true); /* they leave, and make room in the list */
  run (&f, 10 * KQ_SEC);
  assert_in_range (count_taken (&f) - taken, 90, 110);
  kq_sched_free (f.sched);
  kq_counters_free (counters);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_runners_beyond_the_stored_list_are_not_used) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
