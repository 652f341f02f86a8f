#ifndef KQ_JOB_LEARN_SIZE_H
#define KQ_JOB_LEARN_SIZE_H

/* learn_size: how large tasks of a class really are.
 *
 * Load pattern: declared sizes are off by ten times either way. Declared too large, the
 * fleet looks full at a tenth of its use and batch work waits; too small, tasks that
 * were placed side by side starve each other or run out of memory.
 * Usage reports fill a histogram by class. Memory is taken at the 99th percentile and
 * processors at the 95th: memory that is missing kills a task, processors that are
 * missing slow it down. A report above the estimate raises it at once; downwards it
 * moves by at most SHRINK a report, so that a quiet hour doesn't halve it. Processor
 * use is scaled by the slowdown suffered, or starved tasks would look small and be
 * packed closer still. Old reports fade (half after HALF_LIFE reports). */

#include "job/classes.h"
#include "port/worker.h"

/* Buckets grow by a quarter: 50 to 1.8 million, in milli-cores as in MB. */
#define KQ_SIZE_BUCKETS 48

typedef struct
{
  float count[KQ_SIZE_BUCKETS];
  float total;
  double estimate; /* 0: none yet */
} KqSizeHistogram;

typedef struct
{
  KqSizeHistogram cpu;
  KqSizeHistogram memory;
  uint32_t reports;
} KqLearnedSize;

typedef struct
{
  KqLearnedSize classes[KQ_CLASSES_MAX];
} KqSizes;

void kq_sizes_report (KqSizes *s, uint16_t class_index, const KqUsageReport *u);
/* What a task of the class needs: the estimate where there is enough evidence, else
 * what is declared; accelerators are always as declared; never beyond `largest` in a
 * resource in which the declared size isn't. */
KqSize kq_sizes_need (const KqSizes *s, uint16_t class_index, KqSize declared,
                      KqSize largest);

#endif
