#include "bench/sched_rig.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* The runner is out of reach for so long; shortly before it answers again, the agent's
 * connection to the leader becomes slow. */
static int
breaches (KqTime cut)
{
  KqSchedRig *r = kq_sched_rig_new (2, (KqRoom){ 4000, 16000, 0 }, 1);
  KqStep s = kq_sched_rig_step (1, 1000, 60000);
  KqSchedRigRunner *g;
  kq_sched_rig_submit (r, "aa", &s, 1, 3, 60 * KQ_SEC, -1);
  kq_sched_rig_run (r, 10 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 1);
  g = &r->runners[r->runners[0].runs->len > 0 ? 0 : 1];
  g->cut_until = r->now + cut;
  kq_sched_rig_run (r, cut - 500 * KQ_MS);
  r->up_slow = KQ_SEC;
  kq_sched_rig_run (r, 3 * KQ_SEC);
  r->up_slow = 0;
  kq_sched_rig_run (r, 12 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 1);
  return kq_sched_rig_free (r);
}

/* Guards against a lease that is renewed while the leader counts it as over. */
static void
test_lease_renewed_while_its_end_is_counted_on (void **state)
{
  int broken = 0;
  (void)state;
  for (KqTime cut = 3500 * KQ_MS; cut < 5500 * KQ_MS; cut += 50 * KQ_MS)
    broken += breaches (cut);
  assert_int_equal (broken, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_lease_renewed_while_its_end_is_counted_on) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
