/* soak: a randomised run of the fleet with seeded faults. The same seed gives the same
 * trace, so a violation can be reproduced by its seed. */

#include "soak.h"

#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  uint64_t steps = argc > 2 ? strtoull (argv[2], NULL, 10) : 200000;
  kq_log_set_level (argc > 3 ? KQ_LOG_INFO : KQ_LOG_ERROR);
  KqTime start = kq_time_now ();
  KqSoak r = kq_soak (seed, steps);
  double secs = (double)(kq_time_now () - start) / (double)KQ_SEC;
  double rate = (double)steps / secs;
  printf (
      "soak: seed %llu, %llu steps, %.0f simulated s, %llu faults, %llu acknowledged, "
      "trace %016llx\n",
      (unsigned long long)seed, (unsigned long long)steps, r.simulated_s,
      (unsigned long long)r.faults, (unsigned long long)r.acked,
      (unsigned long long)r.trace);
  if (r.violation[0] != '\0')
    printf ("soak: VIOLATION %s (seed %llu)\n", r.violation, (unsigned long long)seed);
  printf ("RESULT soak_violations %d count 0 %s\n", r.violation[0] != '\0',
          r.violation[0] != '\0' ? "short" : "ok");
  printf ("RESULT soak_steps %.0f steps/s 200000 %s\n", rate,
          rate >= 200000 ? "ok" : "short");
  return r.violation[0] != '\0';
}
