/* slopes: prints the slopes that docs/CAPACITY-SHARDS.md is calculated from. Usage:
 * slopes BUILD SEED. */

#include "slopes.h"

#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>

int
main (int argc, char **argv)
{
  const char *build = argc > 1 ? argv[1] : "build";
  uint64_t seed = argc > 2 ? strtoull (argv[2], NULL, 10) : 1;
  kq_log_set_level (KQ_LOG_ERROR);
  slopes_modules (seed);
  if (!slopes_live (build))
    {
      puts ("the processes could not be measured");
      return 1;
    }
  return 0;
}
