/* matrix: prints a grid of steps and faults. Each cell runs with its own seed, which is
 * printed. The first argument offsets all seeds; a second one raises the log level. */

#include "base/log.h"
#include "matrix.h"

#include <stdio.h>
#include <stdlib.h>

#define SEEDS_PER_RUN 1000

static const KqMatrixTable *const tables[] = { &kq_matrix_shard, &kq_matrix_whole };

static const char *const columns[KQ_MATRIX_FAULT_COUNT]
    = { "down",    "slow",    "lost",   "dies",  "pauses", "silent",
        "one-way", "cut-off", "region", "lease", "race" };

typedef struct
{
  int passed;
  int failed;
  int none;
} Sum;

static void
run_row (const KqMatrixRow *row, uint64_t *seed, Sum *sum)
{
  char whys[KQ_MATRIX_FAULT_COUNT][KQ_MATRIX_WHY_SIZE];
  uint64_t seeds[KQ_MATRIX_FAULT_COUNT];
  KqMatrixResult cells[KQ_MATRIX_FAULT_COUNT];
  printf ("%-15s", row->step);
  for (int i = 0; i < KQ_MATRIX_FAULT_COUNT; i++)
    {
      seeds[i] = (*seed)++;
      cells[i] = row->run (row->step, (KqMatrixFault)i, seeds[i], whys[i]);
      sum->passed += cells[i] == KQ_MATRIX_PASSED;
      sum->failed += cells[i] == KQ_MATRIX_FAILED;
      sum->none += cells[i] == KQ_MATRIX_NOT_APPLICABLE;
      const char *word = cells[i] == KQ_MATRIX_PASSED   ? "ok"
                         : cells[i] == KQ_MATRIX_FAILED ? "FAIL"
                                                        : "-";
      printf (" %4s:%-4llu", word, (unsigned long long)seeds[i]);
      fflush (stdout);
    }
  printf ("\n");
  for (int i = 0; i < KQ_MATRIX_FAULT_COUNT; i++)
    if (cells[i] == KQ_MATRIX_FAILED)
      printf ("  FAIL %s x %s, seed %llu: %s\n", row->step, columns[i],
              (unsigned long long)seeds[i], whys[i]);
}

int
main (int argc, char **argv)
{
  uint64_t run = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  uint64_t seed = run * SEEDS_PER_RUN;
  Sum sum = { 0 };
  kq_log_set_level (argc > 2 ? KQ_LOG_INFO : KQ_LOG_ERROR);
  printf ("%-15s", "step (ok:seed)");
  for (int i = 0; i < KQ_MATRIX_FAULT_COUNT; i++)
    printf (" %9s", columns[i]);
  printf ("\n");
  for (size_t t = 0; t < sizeof tables / sizeof tables[0]; t++)
    for (size_t r = 0; r < tables[t]->n; r++)
      run_row (&tables[t]->rows[r], &seed, &sum);
  printf ("%d cells don't apply\n", sum.none);
  printf ("%d passed, %d failed\n", sum.passed, sum.failed);
  return sum.failed > 0;
}
