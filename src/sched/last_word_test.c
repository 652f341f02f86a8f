#include "bench/sched_rig.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define RUNNERS 12

/* The link from the leader to an agent becomes slow, then the leader gets no more
 * messages of that agent. The other agent can't reach the runners that it is assigned.
 * Returns the number of invariants broken. */
static int
breaches (KqTime slow, KqTime phase)
{
  KqSchedRig *r = kq_sched_rig_new (RUNNERS, (KqRoom){ 4000, 16000, 0 }, 1);
  KqStep s = kq_sched_rig_step (RUNNERS, 1500, 60000);
  int other = kq_sched_rig_add_agent (r);
  kq_sched_rig_submit (r, "aa", &s, 1, 3, 60 * KQ_SEC, -1);
  kq_sched_rig_run (r, 14 * KQ_SEC + phase);
  for (int i = 0; i < RUNNERS; i++)
    r->agents[i < RUNNERS / 2 ? other : 0].cut_until[i] = r->now + 60 * KQ_SEC;
  r->agents[0].down_extra_latency = slow / 2;
  kq_sched_rig_run (r, KQ_SEC);
  r->agents[0].down_extra_latency = slow;
  kq_sched_rig_run (r, 2 * KQ_SEC);
  r->agents[0].up_extra_latency = 60 * KQ_SEC;
  kq_sched_rig_run (r, 30 * KQ_SEC);
  return kq_sched_rig_free (r);
}

/* Guards against leases that outlast the leader's wait for a lost agent: the agent counts
 * renew_without_leader_ms from messages that were still in flight when the leader gave it
 * up. */
static void
test_messages_in_flight_to_a_lost_agent (void **state)
{
  int broken = 0;
  (void)state;
  for (KqTime slow = 0; slow < 1500 * KQ_MS; slow += 200 * KQ_MS)
    for (KqTime phase = 0; phase < 1500 * KQ_MS; phase += 100 * KQ_MS)
      broken += breaches (slow, phase) > 0;
  assert_int_equal (broken, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_messages_in_flight_to_a_lost_agent) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
