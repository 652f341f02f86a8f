#ifndef KQ_SCHED_ESTIMATES_H
#define KQ_SCHED_ESTIMATES_H

/* estimates: how the run times of tasks compare to their jobs' estimates, by queue.
 *
 * Answers a load in which jobs count as late though their clients still count them as in
 * time: a step ends with its longest task, and estimates are off, so the chain of a job
 * takes longer than its estimates add up to. Jobs judged by these alone are put behind
 * others too early.
 *
 * For each queue there is a decaying histogram of ratios: run time at full speed divided
 * by the estimate. The results that jobs are judged by change in steps of at least 5%, so
 * that noise in the samples doesn't change them.
 *
 * No sockets, clock or store; the stored form is packed for the store's key kq/estimates.
 */

#include "base/str.h"

#include <stdint.h>

/* Queues with a histogram; of more, that without a sample for longest is replaced. */
#define KQ_ESTIMATES_QUEUES_MAX 32
/* Samples of a queue from which on its results are used. */
#define KQ_ESTIMATES_SAMPLES_MIN 30
/* Samples of a queue below which no result is less than 1: the first tasks to end after a
 * start are the shortest ones. */
#define KQ_ESTIMATES_SHORT_MIN 300
/* Samples of a queue at which its histogram is halved. */
#define KQ_ESTIMATES_SAMPLES_MAX 2000
/* Most bytes of the stored form. */
#define KQ_ESTIMATES_STORED_MAX 4096

typedef struct KqEstimates KqEstimates;

KqEstimates *kq_estimates_new (void);
void kq_estimates_free (KqEstimates *e);

/* Adds a sample of the queue: the ratio of a task that is done. Ratios below 1/32 and
 * above 64 count as these; what isn't a positive number is ignored. */
void kq_estimates_add (KqEstimates *e, KqStr queue, double ratio);
/* The mean ratio of the queue's tasks; 1: too few samples. */
double kq_estimates_mean (const KqEstimates *e, KqStr queue);
/* The expected ratio of the longest of n tasks of the queue, its quantile n / (n + 1); 1:
 * too few samples. It stays the same while kq_estimates_version does. */
double kq_estimates_longest (const KqEstimates *e, KqStr queue, int32_t n);
/* Changes whenever a result of kq_estimates_longest has changed. */
uint64_t kq_estimates_version (const KqEstimates *e);

typedef struct
{
  KqStr queue;
  double samples; /* after decay */
  double median;  /* of the ratios */
  double p95;
} KqEstimatesRow;

/* Calls `take` for each queue with at least KQ_ESTIMATES_SAMPLES_MIN samples. */
void kq_estimates_each (const KqEstimates *e,
                        void (*take) (void *arg, const KqEstimatesRow *row), void *arg);

/* Whether samples were added that aren't stored. */
bool kq_estimates_pending (const KqEstimates *e);
/* Appends the histograms in their stored form, of at most KQ_ESTIMATES_STORED_MAX bytes;
 * queues without a sample for longest are left out beyond that. */
void kq_estimates_pack (KqEstimates *e, KqBuf *out);
/* Notes that what was packed last has been stored. */
void kq_estimates_stored (KqEstimates *e);
/* Replaces all histograms by stored ones. False: they can't be read, nothing changes. */
bool kq_estimates_unpack (KqEstimates *e, KqStr stored);

#endif
