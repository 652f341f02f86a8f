/* whole: long randomised runs of complete node cores (bench/whole.h). The same seed gives
 * the same trace, so a violation can be reproduced by its seed. */

#include "whole.h"

#include "base/log.h"
#include "base/time.h"

#include <stdio.h>
#include <stdlib.h>

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  uint64_t steps = argc > 2 ? strtoull (argv[2], NULL, 10) : 200000;
  KqTime start = kq_time_now ();
  KqWholeResult r;
  double took;
  kq_log_set_level (argc > 3 ? KQ_LOG_INFO : KQ_LOG_ERROR);
  r = kq_whole_run (seed, steps);
  took = (double)(kq_time_now () - start) / (double)KQ_SEC;
  printf ("seed %llu: %llu steps, %.0f s simulated, %llu faults, trace %016llx\n",
          (unsigned long long)seed, (unsigned long long)r.steps, r.simulated_s,
          (unsigned long long)r.faults, (unsigned long long)r.trace);
  printf ("jobs acknowledged %llu, ended %llu, starts %llu, moved %llu; claims granted "
          "%llu, repeated %llu\n",
          (unsigned long long)r.jobs_acked, (unsigned long long)r.jobs_ended,
          (unsigned long long)r.starts, (unsigned long long)r.moved,
          (unsigned long long)r.claims_granted, (unsigned long long)r.claims_repeated);
  if (r.violation[0] != '\0')
    printf ("VIOLATION %s\n", r.violation);
  printf ("RESULT whole_steps_per_s %.0f 1/s - ok\n", (double)r.steps / took);
  printf ("RESULT whole_violations %d runs 0 %s\n", r.violation[0] != '\0',
          r.violation[0] != '\0' ? "short" : "ok");
  return r.violation[0] != '\0';
}
