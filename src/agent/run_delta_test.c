#include "agent/run_delta.h"
#include "base/rand.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define RUNS 12

typedef struct
{
  char task[RUNS][24];
  char checkpoint[RUNS][16];
  KqRunRow rows[RUNS];
  size_t n;
} List;

static void
draw (List *l, KqRand *rand)
{
  l->n = 0;
  for (int i = 0; i < RUNS; i++)
    {
      KqRunRow *r = &l->rows[l->n];
      if (kq_rand_below (rand, 3) == 0)
        continue;
      snprintf (l->task[i], sizeof l->task[i], "j.0.0.%d", i);
      snprintf (l->checkpoint[i], sizeof l->checkpoint[i], "c%d",
                (int)kq_rand_below (rand, 3));
      *r = (KqRunRow){ .task = kq_str (l->task[i]),
                       .run = 1 + (uint32_t)kq_rand_below (rand, 2),
                       .checkpoint = kq_str (l->checkpoint[i]),
                       .percent = (int)kq_rand_below (rand, 3),
                       .load = (int)kq_rand_below (rand, 2) };
      l->n++;
    }
}

static const KqRunRow *
find (const KqRunRow *rows, size_t n, const KqRunRow *wanted)
{
  for (size_t i = 0; i < n; i++)
    if (rows[i].run == wanted->run && kq_str_eq (rows[i].task, wanted->task))
      return &rows[i];
  return NULL;
}

static void
assert_same (const List *l, const KqRunDeltaState *leader)
{
  KqRunRow *rows;
  size_t n = kq_run_delta_list (leader, &rows);
  assert_int_equal (n, l->n);
  for (size_t i = 0; i < l->n; i++)
    {
      const KqRunRow *r = find (rows, n, &l->rows[i]);
      assert_non_null (r);
      assert_true (kq_str_eq (r->checkpoint, l->rows[i].checkpoint));
      assert_int_equal (r->percent, l->rows[i].percent);
      assert_int_equal (r->load, l->rows[i].load);
    }
  free (rows);
}

/* Guards against a run that is lost, or runs twice: the leader's copy differs from the
 * list that the runner sent. */
static void
test_leader_has_each_list_as_sent (void **state)
{
  KqRand rand = kq_rand (5);
  KqRunDeltaState *node = kq_run_delta_state_new ();
  KqRunDeltaState *leader = kq_run_delta_state_new ();
  List *l = calloc (1, sizeof *l);
  (void)state;
  for (int i = 0; i < 2000; i++)
    {
      KqRunDelta c;
      draw (l, &rand);
      kq_run_delta_encode (node, l->rows, l->n, &c);
      assert_true (kq_run_delta_apply (leader, &c));
      assert_same (l, leader);
    }
  free (l);
  kq_run_delta_state_free (node);
  kq_run_delta_state_free (leader);
}

/* Guards against a leader's link that is full of unchanged rows. */
static void
test_unchanged_rows_arent_sent_again (void **state)
{
  KqRunDeltaState *node = kq_run_delta_state_new ();
  KqRunDelta c;
  KqRunRow rows[2] = { { KQ_STR ("a"), 1, KQ_STR ("x"), 10, 3 },
                       { KQ_STR ("b"), 1, KQ_STR ("y"), 10, 3 } };
  (void)state;
  kq_run_delta_encode (node, rows, 2, &c);
  assert_int_equal (c.n_rows, 2);
  kq_run_delta_encode (node, rows, 2, &c);
  assert_int_equal (c.n_rows + c.n_gone, 0);
  rows[1].percent = 20;
  kq_run_delta_encode (node, rows, 2, &c);
  assert_int_equal (c.n_rows, 1);
  assert_false (c.rows[0].is_new);
  assert_false (c.rows[0].has_checkpoint);
  kq_run_delta_state_free (node);
}

static void
test_changes_that_dont_follow_are_refused (void **state)
{
  KqRunDeltaState *leader = kq_run_delta_state_new ();
  KqRunDeltaRow whole = { .slot = 0, .is_new = true, .row = { .task = KQ_STR ("a") } };
  KqRunDeltaRow part = { .slot = 3 };
  uint32_t gone = 7;
  KqRunDelta late = { .serial = 1 };
  KqRunDelta unknown = { .rows = &part, .n_rows = 1 };
  KqRunDelta first = { .rows = &whole, .n_rows = 1 };
  KqRunDelta twice = { .serial = 1, .rows = &whole, .n_rows = 1 };
  KqRunDelta nothing = { .serial = 2, .gone = &gone, .n_gone = 1 };
  (void)state;
  assert_false (kq_run_delta_apply (leader, &late));
  assert_false (kq_run_delta_apply (leader, &unknown));
  kq_run_delta_state_free (leader);
  leader = kq_run_delta_state_new ();
  assert_true (kq_run_delta_apply (leader, &first));
  assert_false (kq_run_delta_apply (leader, &twice));
  assert_false (kq_run_delta_apply (leader, &nothing));
  kq_run_delta_state_free (leader);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_leader_has_each_list_as_sent),
          cmocka_unit_test (test_unchanged_rows_arent_sent_again),
          cmocka_unit_test (test_changes_that_dont_follow_are_refused) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
