#include "bench/sched_rig.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* The runner is cut off from its agent for the time `cut`. Shortly before it answers
 * again, the links from the agent to it and to the leader become slow. Returns the number
 * of invariants broken. */
static int
breaches (KqTime cut, KqTime slow_before)
{
  KqSchedRig *r = kq_sched_rig_new (2, (KqRoom){ 4000, 16000, 0 }, 1);
  KqSchedRigAgent *a = &r->agents[0];
  KqStep s = kq_sched_rig_step (1, 1000, 60000);
  int at;
  kq_sched_rig_submit (r, "aa", &s, 1, 3, 60 * KQ_SEC, -1);
  kq_sched_rig_run (r, 10 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 1);
  at = r->runners[0].runs->len > 0 ? 0 : 1;
  a->cut_until[at] = r->now + cut;
  kq_sched_rig_run (r, cut - slow_before);
  a->up_extra_latency = 1100 * KQ_MS;
  a->call_extra_latency = 420 * KQ_MS;
  kq_sched_rig_run (r, 3 * KQ_SEC);
  a->up_extra_latency = a->call_extra_latency = 0;
  kq_sched_rig_run (r, 12 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 1);
  return kq_sched_rig_free (r);
}

/* Guards against a task that runs twice: an agent renews its runner's lease while the
 * leader treats the lease as expired. */
static void
test_lease_renewed_while_treated_as_expired (void **state)
{
  int broken = 0;
  (void)state;
  for (KqTime cut = 1500 * KQ_MS; cut < 5000 * KQ_MS; cut += 50 * KQ_MS)
    for (KqTime before = 100 * KQ_MS; before < 900 * KQ_MS; before += 100 * KQ_MS)
      broken += breaches (cut, before) > 0;
  assert_int_equal (broken, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_lease_renewed_while_treated_as_expired) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
