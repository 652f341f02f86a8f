#include "ctl/account.h"
#include "ctl/rows.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static json_t *
table_with (const KqRow *rows, size_t n)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < n; i++)
    json_array_append_new (list, json_pack ("{s:s, s:o}", "kind",
                                            kq_row_kind_name (rows[i].kind), "fields",
                                            kq_row_to_json (&rows[i], false)));
  return json_pack ("{s:i, s:o}", "revision", 9, "rows", list);
}

static json_t *
sample (void)
{
  KqRow rows[3] = { kq_row_default (KQ_ROW_TEAM, KQ_STR ("rounds")),
                    kq_row_default (KQ_ROW_TEAM, KQ_STR ("seals")),
                    kq_row_default (KQ_ROW_CALLER, KQ_STR ("office")) };
  for (size_t i = 0; i < 3; i++)
    rows[i].revision = 4 + i;
  rows[2].u.caller.token = kq_name (KQ_STR ("0123456789abcdef"));
  return table_with (rows, 3);
}

static void
test_csv_cells (void **state)
{
  KqStr text = KQ_STR ("a,\"b \"\"c\"\", d\",\r\n\"x\ny\"\nlast,\"open");
  KqCsvRecord r = { 0 };
  bool bad = false;
  KqBuf out = { 0 };
  (void)state;
  assert_true (kq_csv_read (&text, &r, &bad));
  assert_int_equal (r.n, 3);
  assert_string_equal (r.cells[1].ptr, "b \"c\", d");
  assert_int_equal (r.cells[2].len, 0);
  assert_true (kq_csv_read (&text, &r, &bad));
  assert_string_equal (r.cells[0].ptr, "x\ny");
  assert_false (bad);
  assert_true (kq_csv_read (&text, &r, &bad));
  assert_true (bad);
  assert_false (kq_csv_read (&text, &r, &bad));
  kq_csv_free (&r);
  kq_csv_write_cell (&out, KQ_STR ("b \"c\", d"), true);
  assert_string_equal (out.ptr, "\"b \"\"c\"\", d\"");
  kq_buf_free (&out);
}

/* Importing an export changes nothing, and the export contains no token. */
static void
test_export_import_round (void **state)
{
  json_t *table = sample ();
  KqBuf csv = { 0 };
  KqCsvPlan plan;
  (void)state;
  kq_csv_export (table, KQ_ROW_KINDS, &csv);
  assert_null (strstr (csv.ptr, "0123456789abcdef"));
  kq_csv_plan (table, kq_buf_str (&csv), true, &plan);
  assert_int_equal (plan.faults.len, 0);
  assert_int_equal (json_array_size (plan.changes), 0);
  kq_csv_plan_free (&plan);
  kq_buf_free (&csv);
  json_decref (table);
}

static void
test_plan (void **state)
{
  json_t *table = sample ();
  KqCsvPlan plan;
  (void)state;
  kq_csv_plan (table, KQ_STR ("kind,name,weight\nteam,rounds,7\nteam,new,\n"), true,
               &plan);
  assert_int_equal (plan.faults.len, 0);
  assert_string_equal (plan.difference.ptr, "~ team rounds: weight 100 -> 7\n"
                                            "+ team new\n- team seals\n");
  assert_int_equal (json_array_size (plan.changes), 3);
  /* The revision that was read, so that a change made since isn't undone. */
  json_t *c = json_array_get (plan.changes, 0);
  assert_int_equal (json_integer_value (json_object_get (c, "expect")), 4);
  c = json_array_get (plan.changes, 1);
  assert_int_equal (json_integer_value (json_object_get (c, "expect")), 0);
  assert_true (
      json_is_true (json_object_get (json_array_get (plan.changes, 2), "remove")));
  kq_csv_plan_free (&plan);
  json_decref (table);
}

/* A fault in the file is reported with its line, and nothing may be sent. */
static void
test_plan_faults (void **state)
{
  static const char *const bad[] = {
    "",
    "name,kind\n",
    "kind,name,weight\nteam,a,0\n",
    "kind,name,colour\nteam,a,1\n",
    "kind,name\nteam,a,1\n",
    "kind,name\nhouse,a\n",
    "kind,name\nteam,a b\n",
    "kind,name\nteam,a\nteam,a\n",
    "kind,name\nteam,\"a\n",
    "kind,name,guaranteed_cpu_milli,limit_cpu_milli\nteam,a,9,8\n",
  };
  json_t *table = sample ();
  (void)state;
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      KqCsvPlan plan;
      kq_csv_plan (table, kq_str (bad[i]), false, &plan);
      if (plan.faults.len == 0 || strncmp (plan.faults.ptr, "line ", 5) != 0)
        fail_msg ("case %d was accepted", (int)i);
      kq_csv_plan_free (&plan);
    }
  json_decref (table);
}

static void
test_columns (void **state)
{
  static const KqCtlColumn columns[]
      = { { "NAME", "name" }, { "CPU", "size.cpu" }, { "ON", "on" } };
  char *text = NULL;
  size_t len = 0;
  FILE *f = open_memstream (&text, &len);
  json_t *rows = json_pack ("[{s:s, s:{s:i}, s:b}, {s:s, s:{s:i}}]", "name", "a", "size",
                            "cpu", 5, "on", 1, "name", "b\xc3\xa9z", "size", "cpu", 1200);
  (void)state;
  kq_ctl_print (f, false, columns, 3, rows);
  fclose (f);
  assert_string_equal (text, "NAME   CPU  ON\n"
                             "a        5  yes\n"
                             "b\xc3\xa9z   1200  -\n");
  free (text);
  json_decref (rows);
}

static void
test_account (void **state)
{
  json_t *answers = json_pack (
      "[{s:s, s:{s:{s:i, s:i, s:i}}}, {s:s, s:{s:{s:i, s:i, s:i}}}]", "node", "a",
      "answer", "plan", "taken", 5, "answered", 3, "in_flight", 2, "node", "b", "answer",
      "plan", "taken", 2, "answered", 1, "refused", 1);
  (void)state;
  json_t *rows = kq_account_requests (answers);
  assert_int_equal (json_array_size (rows), 1);
  json_t *row = json_array_get (rows, 0);
  assert_int_equal (json_integer_value (json_object_get (row, "taken")), 7);
  assert_true (kq_account_balanced (rows));
  json_object_set_new (row, "balanced", json_false ());
  assert_false (kq_account_balanced (rows));
  json_decref (rows);
  json_decref (answers);
  answers = json_pack ("[{s:s, s:[{s:i, s:i, s:i}]}]", "node", "a", "answer", "accepted",
                       3, "queued", 1, "finished", 1);
  rows = kq_account_jobs (answers);
  assert_false (kq_account_balanced (rows));
  json_decref (rows);
  json_decref (answers);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_csv_cells), cmocka_unit_test (test_export_import_round),
    cmocka_unit_test (test_plan),      cmocka_unit_test (test_plan_faults),
    cmocka_unit_test (test_columns),   cmocka_unit_test (test_account),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
