#ifndef KQ_JOB_LEARN_SIZE_H
#define KQ_JOB_LEARN_SIZE_H

/* learn_size: learns how much the tasks of a class really use.
 *
 * Declared sizes are off by up to ten times either way. With sizes too large, the fleet
 * looks full at a tenth of its use and batch work waits; with sizes too small, tasks on
 * the same worker starve each other or run out of memory.
 *
 * Usage reports fill a histogram per class. The estimate is the 99th percentile of
 * memory and the 95th of processors: a task without enough memory is killed, one without
 * enough processors is only slowed down. A memory report above the estimate raises it at
 * once; an estimate falls by at most SHRINK_PER_REPORT, so that a quiet hour doesn't
 * halve it. Processor use is multiplied by the slowdown, or starved tasks would look
 * small and be packed even closer. Old reports lose half their weight after
 * HALF_LIFE_REPORTS more. */

#include "job/classes.h"
#include "port/worker.h"

/* Number of buckets. Each bound is a quarter larger than the one before: 50 to 1.8
 * million, both for processors (thousandths of a core) and for memory (MB). */
#define KQ_SIZE_BUCKETS 48

typedef struct
{
  float count[KQ_SIZE_BUCKETS]; /* reports in the bucket, decayed */
  float total;                  /* sum of `count` */
  double estimate;              /* smoothed percentile, used as the size; 0: none yet */
} KqSizeHistogram;

typedef struct
{
  KqSizeHistogram cpu;
  KqSizeHistogram memory;
  uint32_t reports; /* number of reports so far */
} KqLearnedSize;

typedef struct
{
  KqLearnedSize classes[KQ_CLASSES_MAX];
} KqSizes;

/* Adds a usage report to the histograms of the class, and updates its estimates. */
void kq_sizes_record_report (KqSizes *s, uint16_t class_index, const KqUsageReport *u);
/* The size that a task of the class needs: the estimate once there are enough reports,
 * otherwise the declared size; accelerators always as declared. In each resource in which
 * the declared size fits the largest worker (`largest`), the estimate is capped at that.
 */
KqSize kq_sizes_required_size (const KqSizes *s, uint16_t class_index, KqSize declared,
                               KqSize largest);

#endif
