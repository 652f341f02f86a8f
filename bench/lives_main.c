/* lives BUILD [SEED [SEEDS [LIVES]]]: kills and restarts runners while starts for them
 * are in flight (lives.h). The exit status is not 0 if a runner reported a breach. */

#include "base/log.h"
#include "lives.h"

#include <stdio.h>
#include <stdlib.h>

int
main (int argc, char **argv)
{
  KqLivesPlan p = { .build = argc > 1 ? argv[1] : "build",
                    .seed = argc > 2 ? strtoull (argv[2], NULL, 10) : 1,
                    .runners = 8,
                    .lives = argc > 4 ? atoi (argv[4]) : 500 };
  int seeds = argc > 3 ? atoi (argv[3]) : 1;
  int bad = 0;
  kq_log_set_level (KQ_LOG_ERROR);
  for (int i = 0; i < seeds; i++, p.seed++)
    {
      KqLivesReport r;
      bad += kq_lives_run (&p, &r) != 0 || r.breaches > 0;
      printf ("seed %llu: %d lives, %d starts ordered, %d begun, %d not sent, %d without "
              "an answer, %d breaches\n",
              (unsigned long long)p.seed, r.lives, r.ordered, r.begun, r.unsent,
              r.unknown, r.breaches);
      fflush (stdout);
    }
  printf ("%d seeds, %d with a breach\n", seeds, bad);
  return bad > 0;
}
