/* soak BUILD [SEED [SEEDS [SECONDS]]]: random faults on a fleet of processes. Exit status
 * 1: an invariant was breached, or the start failed. KEEP in the environment keeps the
 * processes' output. */

#include "soak.h"

#include <stdio.h>
#include <stdlib.h>

int
main (int argc, char **argv)
{
  KqSoakPlan p = { .build = argc > 1 ? argv[1] : "build",
                   .seed = argc > 2 ? strtoull (argv[2], NULL, 10) : 1,
                   .seconds = argc > 4 ? atoi (argv[4]) : 15,
                   .nodes = 4,
                   .runners = 8,
                   .keep = getenv ("KEEP") != NULL };
  int seeds = argc > 3 ? atoi (argv[3]) : 1;
  int failed_seeds = 0;
  setvbuf (stdout, NULL, _IOLBF, 0);
  for (int i = 0; i < seeds; i++)
    {
      failed_seeds += kq_soak_run (&p) != 0;
      p.seed++;
    }
  printf ("%d seeds, %d with a breach\n", seeds, failed_seeds);
  return failed_seeds > 0;
}
