#include "base/rand.h"
#include "table/head.h"
#include "table/row_pack.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static KqRowChange
change (KqRowKind kind, const char *name, uint64_t expect)
{
  KqRowChange c = { .row = kq_row_default (kind, kq_str (name)), .expect = expect };
  return c;
}

static void
test_defaults_are_valid (void **state)
{
  (void)state;
  for (int k = 0; k < KQ_ROW_KINDS; k++)
    {
      KqRow row = kq_row_default ((KqRowKind)k, KQ_STR ("default"));
      KqRowFault fault;
      KqRowKind back;
      assert_true (kq_row_check (&row, &fault));
      assert_true (kq_row_kind_parse (kq_str (kq_row_kind_name ((KqRowKind)k)), &back));
      assert_int_equal (back, k);
    }
}

static void
test_json (void **state)
{
  KqRow row = kq_row_default (KQ_ROW_TEAM, KQ_STR ("rounds"));
  KqRowFault faults[8];
  json_t *o = json_pack ("{s:i, s:s, s:i, s:i}", "weight", 0, "limit_cpu_milli", "x",
                         "colour", 1, "limit_memory_mb", 9);
  (void)state;
  assert_int_equal (kq_row_set (&row, o, faults, 8), 3);
  for (int i = 0; i < 3; i++)
    {
      KqStr f = kq_name_str (&faults[i].field);
      KqResult request_changes = kq_str_eq (f, KQ_STR ("weight")) ? KQ_ERR_TABLE_RANGE
                                 : kq_str_eq (f, KQ_STR ("limit_cpu_milli"))
                                     ? KQ_ERR_TABLE_TYPE
                                     : KQ_ERR_TABLE_UNKNOWN_FIELD;
      assert_int_equal (faults[i].code, request_changes);
    }
  assert_int_equal (row.u.team.limit.memory_mb, 9);
  json_decref (o);
  /* The guarantee exceeds the limit. */
  o = json_pack ("{s:i}", "guaranteed_memory_mb", 10);
  assert_int_equal (kq_row_set (&row, o, faults, 8), 1);
  assert_int_equal (faults[0].code, KQ_ERR_TABLE_ROW);
  json_decref (o);
  o = json_pack ("{s:s}", "name", "other");
  assert_int_equal (kq_row_set (&row, o, faults, 0), 1);
  json_decref (o);
}

/* Guards against leaking a caller's token: the JSON object has it only with `secrets`. An
 * object without it can be written back, and the row keeps its token. */
static void
test_token_hidden (void **state)
{
  KqRow row = kq_row_default (KQ_ROW_CALLER, KQ_STR ("office"));
  KqRowFault fault;
  KqBuf b = { 0 };
  (void)state;
  assert_int_equal (kq_row_set_text (&row, KQ_STR ("token"), KQ_STR ("short"), &fault),
                    KQ_ERR_TABLE_RANGE);
  assert_int_equal (
      kq_row_set_text (&row, KQ_STR ("token"), KQ_STR ("0123456789abcdef"), &fault),
      KQ_OK);
  json_t *o = kq_row_to_json (&row, false);
  char *text = json_dumps (o, 0);
  assert_null (strstr (text, "0123456789abcdef"));
  assert_int_equal (kq_row_set (&row, o, &fault, 1), 0);
  assert_int_equal (row.u.caller.token.len, 16);
  free (text);
  json_decref (o);
  kq_row_field_text (&row, kq_row_field (KQ_ROW_CALLER, KQ_STR ("token")), &b);
  assert_string_equal (b.ptr, "set");
  kq_buf_free (&b);
  o = kq_row_to_json (&row, true);
  assert_string_equal (json_string_value (json_object_get (o, "token")),
                       "0123456789abcdef");
  json_decref (o);
}

static void
test_text (void **state)
{
  KqRow row = kq_row_default (KQ_ROW_WORKER, KQ_STR ("w1"));
  KqRowFault fault;
  (void)state;
  assert_int_equal (kq_row_set_text (&row, KQ_STR ("mode"), KQ_STR ("drain"), &fault), 0);
  assert_int_equal (row.u.worker.mode, KQ_WORKER_DRAIN);
  assert_int_equal (kq_row_set_text (&row, KQ_STR ("mode"), KQ_STR ("off"), &fault),
                    KQ_ERR_TABLE_RANGE);
  assert_string_equal (fault.allowed, "normal, drain or evacuate");
  assert_int_equal (
      kq_row_set_text (&row, KQ_STR ("reserved_cpu_milli"), KQ_STR ("-1"), &fault),
      KQ_ERR_TABLE_RANGE);
  assert_int_equal (
      kq_row_set_text (&row, KQ_STR ("reserved_cpu_milli"), KQ_STR ("1.5"), &fault),
      KQ_ERR_TABLE_TYPE);
}

static void
test_change (void **state)
{
  KqTable *t0 = kq_table_new (1);
  KqRowChange c[2] = { change (KQ_ROW_TEAM, "b", 0), change (KQ_ROW_TEAM, "a", 0) };
  KqResult why;
  size_t which;
  (void)state;
  KqTable *t1 = kq_table_change (t0, 2, c, 2, &why, &which);
  assert_non_null (t1);
  assert_int_equal (kq_table_size (t0), 0);
  assert_int_equal (kq_table_size (t1), 2);
  assert_true (kq_str_eq (kq_name_str (&kq_table_row (t1, 0)->name), KQ_STR ("a")));
  assert_int_equal (kq_table_find (t1, KQ_ROW_TEAM, KQ_STR ("b"))->revision, 2);
  assert_null (kq_table_find (t1, KQ_ROW_CLASS, KQ_STR ("b")));
  assert_true (kq_table_policy (t1)->quotas);
  /* The second change conflicts: none takes effect. */
  c[0].expect = 2;
  c[1].expect = 1;
  assert_null (kq_table_change (t1, 3, c, 2, &why, &which));
  assert_int_equal (why, KQ_ERR_TABLE_CONFLICT);
  assert_int_equal (which, 1);
  c[1] = c[0];
  assert_null (kq_table_change (t1, 3, c, 2, &why, &which));
  assert_int_equal (why, KQ_ERR_TABLE_CONFLICT);
  c[1] = change (KQ_ROW_TEAM, "z", UINT64_MAX);
  c[1].remove = true;
  assert_null (kq_table_change (t1, 3, c, 2, &why, &which));
  assert_int_equal (why, KQ_ERR_TABLE_NOT_FOUND);
  c[0].remove = true;
  KqTable *t2 = kq_table_change (t1, 3, c, 1, &why, &which);
  assert_int_equal (kq_table_size (t2), 1);
  kq_table_unref (t0);
  kq_table_unref (t1);
  kq_table_unref (t2);
}

static KqTable *
make_table (size_t n)
{
  KqTable *t = kq_table_new (1);
  KqRowChange *c = kq_alloc (n * sizeof *c);
  KqResult why;
  size_t which;
  for (size_t i = 0; i < n; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "r%zu", i);
      c[i] = change ((KqRowKind)(i % KQ_ROW_POLICY), name, 0);
    }
  KqTable *out = kq_table_change (t, 5, c, n, &why, &which);
  kq_table_unref (t);
  free (c);
  return out;
}

/* Guards against a node that uses part of a table: a packed table from the store or a
 * peer that is truncated or altered must be rejected. */
static void
test_damaged_refused_whole (void **state)
{
  KqTable *t = make_table (20);
  KqBuf b = { 0 };
  KqResult why;
  (void)state;
  kq_table_pack (t, &b);
  KqTable *back = kq_table_unpack (kq_buf_str (&b), &why);
  assert_non_null (back);
  assert_int_equal (kq_table_size (back), 20);
  assert_int_equal (kq_table_revision (back), 5);
  for (size_t i = 0; i < 20; i++)
    assert_memory_equal (kq_table_row (t, i), kq_table_row (back, i), sizeof (KqRow));
  for (size_t n = 0; n < b.len; n++)
    assert_null (kq_table_unpack (kq_str_n (b.ptr, n), &why));
  for (size_t i = 0; i < b.len; i++)
    {
      b.ptr[i] = (char)(b.ptr[i] ^ 1);
      assert_null (kq_table_unpack (kq_buf_str (&b), &why));
      assert_int_equal (why, KQ_ERR_TABLE_ROW);
      b.ptr[i] = (char)(b.ptr[i] ^ 1);
    }
  kq_table_unref (t);
  kq_table_unref (back);
  kq_buf_free (&b);
}

/* A faulty program has packed a row with a value out of range, with a valid digest: the
 * check of the rows must reject the table. */
static void
test_bad_row_refused (void **state)
{
  KqTable *t = make_table (1);
  KqBuf b = { 0 };
  KqResult why;
  (void)state;
  ((KqRow *)kq_table_row (t, 0))->u.service.weight = 0;
  kq_table_pack (t, &b);
  assert_null (kq_table_unpack (kq_buf_str (&b), &why));
  assert_int_equal (why, KQ_ERR_TABLE_ROW);
  kq_table_unref (t);
  kq_buf_free (&b);
}

/* A faulty program has packed random bytes with a valid digest: heads, changes and tables
 * must be read or rejected without a crash or an invalid memory access (detected by the
 * sanitizer build). */
static void
test_nonsense_with_digest (void **state)
{
  KqRand r = kq_rand (5);
  KqTable *t = make_table (12);
  KqTableHead head = { .revision = 7, .base = { .id = 3, .revision = 6, .n_parts = 1 } };
  KqRowChange c = change (KQ_ROW_CLASS, "a", 0);
  KqBuf changes = { 0 };
  KqBuf packed[3] = { { 0 } };
  KqResult why;
  (void)state;
  kq_changes_pack_entry (&c, 1, &changes);
  kq_tail_clear (&head.tail, 6);
  kq_tail_add (&head.tail, 7, kq_buf_str (&changes));
  kq_table_pack (t, &packed[0]);
  kq_head_pack (&head, &packed[1]);
  kq_tail_pack_above (&head.tail, 6, &packed[2]);
  for (int i = 0; i < 30000; i++)
    {
      KqBuf b = { 0 };
      KqTableHead h;
      KqTableTail tail;
      kq_buf_add_str (&b, kq_buf_str (&packed[i % 3]));
      for (uint64_t k = 1 + kq_rand_below (&r, 3); k > 0; k--)
        {
          char *at = &b.ptr[8 + kq_rand_below (&r, b.len - 8)];
          unsigned byte = (unsigned)kq_rand_next (&r) & 0xff;
          /* 0xdd and 0xdf announce up to 2^32 members, and msgpack-c allocates them
           * before it reads any: malloc fails or returns untouched pages, but the
           * sanitizer's malloc ends the process. Skipped until wire/pack checks the
           * number first. */
          if ((byte & 0xfd) != 0xdd)
            *at = (char)byte;
        }
      kq_digest_end (&b, 0);
      kq_table_unref (kq_table_unpack (kq_buf_str (&b), &why));
      if (kq_head_unpack (kq_buf_str (&b), &h))
        {
          kq_table_unref (kq_tail_apply (&h.tail, t));
          kq_head_free (&h);
        }
      if (kq_tail_unpack (kq_buf_str (&b), &tail))
        {
          kq_table_unref (kq_tail_apply (&tail, t));
          kq_tail_free (&tail);
        }
      kq_buf_free (&b);
    }
  for (int i = 0; i < 3; i++)
    kq_buf_free (&packed[i]);
  kq_buf_free (&changes);
  kq_head_free (&head);
  kq_table_unref (t);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_defaults_are_valid),
    cmocka_unit_test (test_json),
    cmocka_unit_test (test_token_hidden),
    cmocka_unit_test (test_text),
    cmocka_unit_test (test_change),
    cmocka_unit_test (test_damaged_refused_whole),
    cmocka_unit_test (test_bad_row_refused),
    cmocka_unit_test (test_nonsense_with_digest),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
