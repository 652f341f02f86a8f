#include "sched/refusals.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define ID KQ_STR ("j1")

static KqRefusal
refusal (KqTime return_at)
{
  return (KqRefusal){ .return_at = return_at, .wait_ms = 5000 };
}

/* Guards against clients that gain by asking often: the first refusal counts, and a job
 * that is accepted before its time has no precedence. */
static void
test_first_refusal_counts (void **state)
{
  KqRefusals *r = kq_refusals_new ();
  KqRefusal f = refusal (5 * KQ_SEC);
  (void)state;
  assert_null (kq_refusals_find (r, ID, KQ_SEC));
  kq_refusals_add (r, ID, &f, KQ_SEC);
  f = refusal (9 * KQ_SEC);
  kq_refusals_add (r, ID, &f, 6 * KQ_SEC);
  assert_int_equal (kq_refusals_find (r, ID, 6 * KQ_SEC)->first_at, KQ_SEC);
  assert_int_equal (kq_refusals_find (r, ID, 6 * KQ_SEC)->times, 2);
  assert_false (kq_refusals_accepted (r, ID, 8 * KQ_SEC));
  assert_null (kq_refusals_find (r, ID, 8 * KQ_SEC));
  kq_refusals_add (r, ID, &f, 8 * KQ_SEC);
  assert_true (kq_refusals_accepted (r, ID, 9 * KQ_SEC));
  assert_false (kq_refusals_accepted (r, ID, 9 * KQ_SEC));
  kq_refusals_free (r);
}

/* Guards against a table that grows with each refused client of a long overload. */
static void
test_table_is_bounded_in_number_and_time (void **state)
{
  KqRefusals *r = kq_refusals_new ();
  KqRefusal f = refusal (5 * KQ_SEC);
  char id[16];
  (void)state;
  for (int i = 0; i <= KQ_REFUSALS_MAX; i++)
    {
      snprintf (id, sizeof id, "j%d", i);
      kq_refusals_add (r, kq_str (id), &f, KQ_SEC + i);
      kq_refusals_note_write (r, kq_str (id), KQ_SEC + i);
    }
  assert_null (kq_refusals_find (r, KQ_STR ("j0"), 2 * KQ_SEC));
  assert_false (kq_refusals_has_open_write (r, KQ_STR ("j0"), 2 * KQ_SEC));
  assert_non_null (kq_refusals_find (r, KQ_STR ("j1"), 2 * KQ_SEC));
  assert_true (kq_refusals_has_open_write (r, KQ_STR ("j1"), 2 * KQ_SEC));
  assert_non_null (kq_refusals_find (r, kq_str (id), 60 * KQ_SEC));
  assert_null (kq_refusals_find (r, kq_str (id), 62 * KQ_SEC));
  assert_false (kq_refusals_has_open_write (r, kq_str (id), 62 * KQ_SEC));
  kq_refusals_free (r);
}

/* Guards against an announced write that is forgotten while it may be carried out: its
 * time begins anew with each try. */
static void
test_write_is_open_until_it_is_known (void **state)
{
  KqRefusals *r = kq_refusals_new ();
  (void)state;
  kq_refusals_note_write (r, ID, KQ_SEC);
  kq_refusals_note_write (r, ID, 50 * KQ_SEC);
  assert_true (kq_refusals_has_open_write (r, ID, 100 * KQ_SEC));
  assert_false (kq_refusals_accepted (r, ID, 100 * KQ_SEC));
  assert_false (kq_refusals_has_open_write (r, ID, 100 * KQ_SEC));
  kq_refusals_note_asked (r, ID, 100 * KQ_SEC);
  assert_true (kq_refusals_has_open_write (r, ID, 100 * KQ_SEC));
  kq_refusals_note_not_written (r, ID, 100 * KQ_SEC);
  assert_false (kq_refusals_has_open_write (r, ID, 100 * KQ_SEC));
  kq_refusals_note_asked (r, ID, 100 * KQ_SEC);
  kq_refusals_note_write (r, ID, 100 * KQ_SEC);
  kq_refusals_note_not_written (r, ID, 100 * KQ_SEC);
  assert_true (kq_refusals_has_open_write (r, ID, 100 * KQ_SEC));
  kq_refusals_free (r);
}

static void
test_newcomers_are_kept_by_service_and_kind (void **state)
{
  KqRefusals *r = kq_refusals_new ();
  (void)state;
  kq_refusals_note_newcomer (r, KQ_STR ("a"), KQ_LOAD_FILLING, 5);
  kq_refusals_note_newcomer (r, KQ_STR ("b"), KQ_LOAD_RESERVED, 6);
  assert_int_equal (kq_refusals_newcomer_at (r, KQ_STR ("a"), KQ_LOAD_FILLING), 5);
  assert_int_equal (kq_refusals_newcomer_at (r, KQ_STR ("a"), KQ_LOAD_RESERVED), 0);
  assert_int_equal (kq_refusals_newcomer_at (r, KQ_STR ("b"), KQ_LOAD_RESERVED), 6);
  kq_refusals_free (r);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_first_refusal_counts),
          cmocka_unit_test (test_table_is_bounded_in_number_and_time),
          cmocka_unit_test (test_write_is_open_until_it_is_known),
          cmocka_unit_test (test_newcomers_are_kept_by_service_and_kind) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
