#include "bench/sched_rig.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define RUNNERS 12
/* By then the second agent has some of the runners. */
#define REBALANCED_AFTER (18 * KQ_SEC)

/* The answer to a start is lost. Its repeat is delayed on the link to the runner's agent
 * while the runner lists the run, then its end, and restarts. The next run goes to a
 * runner of another agent: a task that fills one runner keeps the scheduler from choosing
 * the first two again. Returns the number of invariants broken. */
static int
breaches (KqTime phase, KqTime length, KqTime slow, KqTime restart)
{
  KqSchedRig *r = kq_sched_rig_new (RUNNERS, (KqRoom){ 4000, 16000, 0 }, 1);
  KqStep s = kq_sched_rig_step (1, 1000, 3000);
  KqStep fill = kq_sched_rig_step (1, 4000, 3000);
  KqSchedRigAgent *a;
  KqTime begun;
  int at;
  fill.lasting = true;
  kq_sched_rig_submit (r, "bb", &fill, 1, 3, 60 * KQ_SEC, -1);
  kq_sched_rig_add_agent (r);
  kq_sched_rig_run (r, REBALANCED_AFTER + phase);
  for (int i = 0; i < RUNNERS; i++)
    r->runners[i].replies_lost_until = r->now + 950 * KQ_MS;
  kq_sched_rig_submit (r, "aa", &s, 1, 3, length, 0);
  begun = r->now;
  kq_sched_rig_run (r, 500 * KQ_MS);
  for (at = 1; at < RUNNERS - 1 && r->runners[at].runs->len == 0; at++)
    continue;
  kq_sched_rig_run (r, 420 * KQ_MS);
  a = &r->agents[r->agents[0].held[at].held ? 0 : 1];
  a->down_extra_latency = slow;
  kq_sched_rig_run (r, begun + length + restart - r->now);
  kq_sched_rig_restart_runner (r, at);
  kq_sched_rig_run (r, slow + 500 * KQ_MS);
  a->down_extra_latency = 0;
  kq_sched_rig_run (r, 20 * KQ_SEC);
  return kq_sched_rig_free (r);
}

/* Guards against a task that runs twice: its run is removed by the list that holds its
 * end although a repeat of its start is in flight and reaches the runner after a restart.
 */
static void
test_repeat_arrives_after_a_restart (void **state)
{
  int broken = 0;
  (void)state;
  for (KqTime phase = 0; phase < 1700 * KQ_MS; phase += 200 * KQ_MS)
    for (KqTime length = 1200 * KQ_MS; length < 2200 * KQ_MS; length += 100 * KQ_MS)
      for (KqTime slow = 500 * KQ_MS; slow < 1300 * KQ_MS; slow += 200 * KQ_MS)
        for (KqTime restart = 60 * KQ_MS; restart < 300 * KQ_MS; restart += 80 * KQ_MS)
          broken += breaches (phase, length, slow, restart) > 0;
  assert_int_equal (broken, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_repeat_arrives_after_a_restart) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
