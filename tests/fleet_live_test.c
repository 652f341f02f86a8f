#include "soak/soak.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Seconds of faults: a seed's first faults come within the first one. */
#define SECONDS 6

/* Clients see every accepted job end, each task done once, and no refusal that wasn't
 * true, while real nodes are killed, paused, stopped and restarted, the store is away or
 * loses answers, and runners die. See soak/soak.c for what is checked. */
static void
test_short_soak_on_real_processes (void **state)
{
  KqSoakPlan p = {
    .build = KQ_BUILD_DIR, .seed = 7, .seconds = SECONDS, .nodes = 3, .runners = 6
  };
  (void)state;
  assert_int_equal (kq_soak_run (&p), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_short_soak_on_real_processes) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
