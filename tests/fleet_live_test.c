#include "soak/soak.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Duration of the faults; the first ones begin within the first second. */
#define FAULTS_S 6

/* Real nodes are killed, paused, stopped and restarted, the store is unavailable or loses
 * answers, and runners crash. Clients must see every accepted job end, each task done
 * once, and no request reported as not run that has run. soak/soak.c has the checks. */
static void
test_short_soak_on_real_processes (void **state)
{
  KqSoakPlan p = {
    .build = KQ_BUILD_DIR, .seed = 7, .seconds = FAULTS_S, .nodes = 3, .runners = 6
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
