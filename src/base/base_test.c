#include "base/counter.h"
#include "base/rand.h"
#include "base/result.h"
#include "base/str.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static void
test_str_eq_secret (void **state)
{
  (void)state;
  assert_true (kq_str_eq_secret (KQ_STR ("token"), KQ_STR ("token")));
  assert_true (kq_str_eq_secret (KQ_STR (""), kq_str (NULL)));
  assert_false (kq_str_eq_secret (KQ_STR ("token"), KQ_STR ("tokeN")));
  assert_false (kq_str_eq_secret (KQ_STR ("token"), KQ_STR ("xoken")));
  assert_false (kq_str_eq_secret (KQ_STR ("token"), KQ_STR ("toke")));
  assert_false (kq_str_eq_secret (KQ_STR (""), KQ_STR ("t")));
}

static void
test_str_cut_and_numbers (void **state)
{
  KqStr s = KQ_STR ("a,b");
  int64_t v;
  uint64_t u;
  (void)state;
  assert_true (kq_str_eq (kq_str_cut (&s, ','), KQ_STR ("a")));
  assert_true (kq_str_eq (kq_str_cut (&s, ','), KQ_STR ("b")));
  assert_int_equal (s.len, 0);
  assert_true (kq_str_to_i64 (KQ_STR ("-12"), &v));
  assert_int_equal (v, -12);
  assert_false (kq_str_to_i64 (KQ_STR ("12x"), &v));
  assert_false (kq_str_to_i64 (KQ_STR (""), &v));
  assert_false (kq_str_to_i64 (KQ_STR ("99999999999999999999"), &v));
  assert_false (kq_str_to_u64 (KQ_STR ("-1"), &u));
  assert_true (kq_name_valid (KQ_STR ("tag-watch_1")));
  assert_false (kq_name_valid (KQ_STR ("a b")));
}

static void
test_buf_grows_and_drops (void **state)
{
  KqBuf b;
  (void)state;
  kq_buf_init (&b);
  for (int i = 0; i < 100; i++)
    kq_buf_printf (&b, "%02d,", i);
  assert_int_equal (b.len, 300);
  kq_buf_drop (&b, 297);
  assert_string_equal (b.ptr, "99,");
  kq_buf_free (&b);
}

static void
test_buf_keeps_its_limit (void **state)
{
  KqBuf b = { 0 };
  (void)state;
  assert_true (kq_buf_add_bounded (&b, KQ_STR ("abc"), 5));
  assert_false (kq_buf_add_bounded (&b, KQ_STR ("def"), 5));
  assert_true (kq_buf_add_bounded (&b, KQ_STR ("de"), 5));
  assert_true (kq_str_eq (kq_buf_str (&b), KQ_STR ("abcde")));
  assert_false (kq_buf_add_bounded (&b, kq_str_n ("x", SIZE_MAX), 5));
  kq_buf_free (&b);
}

static void
test_result_rows_sorted (void **state)
{
  int n;
  const KqResultRow *rows = kq_result_rows (&n);
  (void)state;
  for (int i = 1; i < n; i++)
    assert_true (rows[i - 1].code < rows[i].code);
  assert_string_equal (kq_result_name (KQ_ERR_QUEUE_FULL), "QUEUE_FULL");
  assert_int_equal (kq_result_http (KQ_ERR_QUEUE_FULL), 503);
  assert_string_equal (kq_result_name ((KqResult)899), "UNKNOWN");
}

static void
test_counters (void **state)
{
  KqCounters *c = kq_counters_new ();
  KqBuf out;
  (void)state;
  uint64_t *a = kq_counter (c, "kq_b_total", "", "B.");
  kq_counter (c, "kq_a_total", "x=\"1\"", "A.");
  *a += 3;
  assert_ptr_equal (a, kq_counter (c, "kq_b_total", "", "B."));
  kq_counter_result (c, KQ_ERR_QUEUE_FULL);
  kq_buf_init (&out);
  kq_counters_print (c, &out);
  assert_non_null (strstr (out.ptr, "kq_b_total 3\n"));
  assert_non_null (strstr (out.ptr, "{code=\"603\",name=\"QUEUE_FULL\"} 1"));
  kq_buf_free (&out);
  kq_counters_free (c);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_str_eq_secret),
    cmocka_unit_test (test_str_cut_and_numbers),
    cmocka_unit_test (test_buf_grows_and_drops),
    cmocka_unit_test (test_buf_keeps_its_limit),
    cmocka_unit_test (test_result_rows_sorted),
    cmocka_unit_test (test_counters),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
