/* sched_soak [SEED [STEPS [SEEDS]]]: random faults on the scheduler. The exit status is
 * not 0 if an invariant was breached. KQ_SOAK_LOG in the environment: debug logs. */

#include "base/log.h"
#include "sched_soak.h"

#include <stdio.h>
#include <stdlib.h>

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  int steps = argc > 2 ? atoi (argv[2]) : 300;
  int seeds = argc > 3 ? atoi (argv[3]) : 20;
  int bad = 0;
  kq_log_set_level (KQ_LOG_ERROR);
  if (getenv ("KQ_SOAK_LOG") != NULL)
    kq_log_set_level (KQ_LOG_DEBUG);
  for (int i = 0; i < seeds; i++)
    {
      char why[200];
      if (kq_sched_soak (seed + (uint64_t)i, steps, why, sizeof why) == 0)
        continue;
      bad++;
      printf ("seed %llu: %s\n", (unsigned long long)seed + (unsigned long long)i, why);
    }
  printf ("%d seeds of %d steps, %d with a breach\n", seeds, steps, bad);
  return bad > 0;
}
