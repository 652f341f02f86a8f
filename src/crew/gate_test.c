#include "crew/gate.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* One question waits at the runner all the time. */
static KqGate
one_proven (void)
{
  KqGate g = { 0 };
  int in_use = kq_gate_called (&g);
  kq_gate_ended (&g, KQ_GATE_KEPT);
  kq_gate_proven (&g, in_use, 100);
  kq_gate_called (&g);
  return g;
}

/* A task runs twice: before its runner has answered anything no connection is known to
 * lead to a life that was listed. */
static void
test_nothing_leaves_before_an_answer (void **state)
{
  KqGate g = { 0 };
  (void)state;
  assert_false (kq_gate_open (&g));
  kq_gate_called (&g);
  assert_false (kq_gate_open (&g));
}

/* A burst of starts: each one that leaves takes a connection, each proof adds one. */
static void
test_burst_grows_by_proofs (void **state)
{
  KqGate g = one_proven ();
  (void)state;
  for (int i = 0; i < 4; i++)
    {
      int in_use;
      assert_false (kq_gate_open (&g));
      in_use = kq_gate_called (&g);
      kq_gate_ended (&g, KQ_GATE_KEPT);
      kq_gate_proven (&g, in_use, 200 + i);
      assert_true (kq_gate_open (&g));
      kq_gate_called (&g);
    }
  assert_int_equal (g.proven, 5);
  for (int i = 0; i < 4; i++)
    kq_gate_ended (&g, KQ_GATE_KEPT);
  assert_true (kq_gate_open (&g));
}

/* A start leaves on a connection that has been closed: it would open a new one. */
static void
test_lost_connections_dont_count (void **state)
{
  KqGate g = one_proven ();
  int in_use = kq_gate_called (&g);
  (void)state;
  kq_gate_ended (&g, KQ_GATE_KEPT);
  kq_gate_proven (&g, in_use, 200);
  assert_true (kq_gate_open (&g));
  kq_gate_called (&g);
  kq_gate_ended (&g, KQ_GATE_LOST);
  assert_false (kq_gate_open (&g));
}

static void
test_unsent_call_shows_that_none_is_left (void **state)
{
  KqGate g = one_proven ();
  (void)state;
  kq_gate_proven (&g, 4, 200);
  kq_gate_called (&g);
  kq_gate_ended (&g, KQ_GATE_UNSENT);
  assert_false (kq_gate_open (&g));
  assert_int_equal (g.proven, 1);
}

/* A task runs twice: a connection proven in a life is taken for one to the next. */
static void
test_new_life_begins_anew (void **state)
{
  KqGate g = one_proven ();
  (void)state;
  kq_gate_proven (&g, 3, 200);
  assert_true (kq_gate_open (&g));
  kq_gate_new_life (&g);
  assert_false (kq_gate_open (&g));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_nothing_leaves_before_an_answer),
          cmocka_unit_test (test_burst_grows_by_proofs),
          cmocka_unit_test (test_lost_connections_dont_count),
          cmocka_unit_test (test_unsent_call_shows_that_none_is_left),
          cmocka_unit_test (test_new_life_begins_anew) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
