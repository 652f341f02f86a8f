#include "bench/lives.h"

#include "base/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* Guards against a task that runs twice: a delayed start, or a delayed acknowledgement of
 * ended tasks, is accepted by a runner process that was started under the same address
 * after the one that the message was meant for. */
static void
test_messages_do_not_reach_restarted_runner (void **state)
{
  KqLivesPlan p = { .build = KQ_BUILD_DIR, .seed = 3, .runners = 8, .lives = 200 };
  KqLivesReport r;
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  assert_int_equal (kq_lives_run (&p, &r), 0);
  assert_int_equal (r.breaches, 0);
  assert_true (r.begun > 0);
  assert_true (r.unknown > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_messages_do_not_reach_restarted_runner) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
