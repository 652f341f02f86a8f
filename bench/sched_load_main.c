/* sched_load [SEED [RUNNERS[,RUNNERS] [LOAD [SECONDS]]]]: measures the scheduler's cost
 * for fleets of these sizes. */

#include "base/log.h"
#include "sched_load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
run_size (int runners, double load, KqTime span, uint64_t seed)
{
  KqSchedLoadConfig c = { .runners = runners, .load = load, .span = span, .seed = seed };
  KqSchedLoadResult r = kq_sched_load_run (&c);
  double s = (double)span / KQ_SEC;
  printf ("%5d runners, load %.2f: %.4f of a core (passes %.4f, lists %.4f, store "
          "%.4f); %.0f starts/s, %.1f looks a start, %.0f lists/s, %.0f paces/s; "
          "%llu of %llu jobs ended, %llu late; %.0f s over target; all runners listed "
          "after %lld ms, longest pass %.1f ms; decisions %016llx\n",
          runners, load, r.cpu_s / s, r.pass_s / s, r.list_s / s, r.store_s / s,
          (double)r.starts / s,
          (double)r.runners_examined / (double)(r.starts > 0 ? r.starts : 1),
          (double)r.lists / s, (double)r.paces / s, (unsigned long long)r.jobs_ended,
          (unsigned long long)r.jobs, (unsigned long long)r.jobs_late, r.over_target_s,
          (long long)(r.all_listed_at / KQ_MS), r.longest_pass_s * 1000,
          (unsigned long long)r.decisions);
  printf ("RESULT sched_load.%d.core %.5f\n", runners, r.cpu_s / s);
  printf ("RESULT sched_load.%d.all_listed_ms %lld\n", runners,
          (long long)(r.all_listed_at / KQ_MS));
  printf ("RESULT sched_load.%d.us_per_start %.2f\n", runners,
          r.starts > 0 ? r.cpu_s * 1e6 / (double)r.starts : 0);
}

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  char *sizes = strdup (argc > 2 ? argv[2] : "100,540,1000");
  double load = argc > 3 ? atof (argv[3]) : 1;
  double span = argc > 4 ? atof (argv[4]) : 20;
  kq_log_set_level (KQ_LOG_ERROR);
  for (char *at = strtok (sizes, ","); at != NULL; at = strtok (NULL, ","))
    run_size (atoi (at), load, (KqTime)(span * KQ_SEC), seed);
  free (sizes);
  return 0;
}
