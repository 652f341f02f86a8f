#include "port/json_reader.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static void
check (const char *text, size_t containers, size_t values)
{
  size_t c;
  size_t v;
  kq_json_count (kq_str (text), &c, &v);
  assert_int_equal (c, containers);
  assert_int_equal (v, values);
}

/* Guards against a text that passes as small because its strings or escapes mislead the
 * count, and against strings that count as containers. */
static void
test_counts_of_values (void **state)
{
  (void)state;
  check ("", 0, 1);
  check ("[]", 1, 2);
  check ("[[],{},[1,2]]", 4, 8);
  check ("{\"a\":\"[{,\",\"b\":[1]}", 2, 4);
  check ("[\"\\\"[\",\"\\\\\",[]]", 2, 5);
  check ("[[[[", 4, 5);
  check ("\"\\", 0, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_counts_of_values) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
