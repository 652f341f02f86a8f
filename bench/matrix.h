#ifndef KQ_BENCH_MATRIX_H
#define KQ_BENCH_MATRIX_H

/* matrix: a test of every fault at every step of the protocols, with the real modules
 * over fakes in simulated time.
 *
 * Each source file of steps exports a KqMatrixTable, which matrix_main.c lists. */

#include <stddef.h>
#include <stdint.h>

typedef enum
{
  KQ_MATRIX_STORE_DOWN,
  KQ_MATRIX_STORE_SLOW,
  KQ_MATRIX_ANSWER_LOST, /* after the call took effect */
  KQ_MATRIX_DIES,
  KQ_MATRIX_PAUSES, /* for longer than its lease */
  KQ_MATRIX_WATCH_SILENT,
  KQ_MATRIX_CUT_ONE_WAY,
  KQ_MATRIX_CUT_BOTH,
  KQ_MATRIX_REGION_CUT,
  KQ_MATRIX_LEASE_LAPSES,
  KQ_MATRIX_OPERATORS_RACE,
  KQ_MATRIX_FAULT_COUNT
} KqMatrixFault;

typedef enum
{
  KQ_MATRIX_PASSED,
  KQ_MATRIX_FAILED,
  KQ_MATRIX_NOT_APPLICABLE /* the fault doesn't apply to this step */
} KqMatrixResult;

#define KQ_MATRIX_WHY_SIZE 200

typedef struct
{
  const char *step;
  /* Runs the step under the fault; if it failed, writes to `why` what was violated. */
  KqMatrixResult (*run) (const char *step, KqMatrixFault fault, uint64_t seed,
                         char why[KQ_MATRIX_WHY_SIZE]);
} KqMatrixRow;

typedef struct
{
  const KqMatrixRow *rows;
  size_t n;
} KqMatrixTable;

extern const KqMatrixTable kq_matrix_shard;
extern const KqMatrixTable kq_matrix_whole; /* jobs, claims and the table, with whole.h */

#endif
