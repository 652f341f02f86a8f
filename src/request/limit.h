#ifndef KQ_REQUEST_LIMIT_H
#define KQ_REQUEST_LIMIT_H

/* limit: how many requests a runner gets at a time, adapted to its own latency.
 *
 * When batch work on the same machine takes the processors, eight requests at once may
 * each take many times as long, while two at once would still be quick. With all slots in
 * use every answer is then late, and the time that the runner loses by thrashing is
 * wasted.
 *
 * Latency is the run time over the mean of the request's class in the last five minutes,
 * so that long requests don't make a runner look slow. The mean of each window of 32
 * answers is compared with the runner's baseline. Above twice the baseline the limit
 * falls by a quarter; otherwise it grows by one if it was reached. With exponential run
 * times the mean of a window has a standard deviation of 18%; the baseline settles near
 * the 10th percentile of windows, and twice that is exceeded by chance about once in 500
 * windows. The baseline falls by a quarter of the difference and rises by 1% of it per
 * window, so a lasting change of the machine is adopted after some hundred windows. The
 * limit never falls below two. */

#include <stdbool.h>

typedef struct
{
  int slots;       /* of the runner */
  int limit;       /* 2 to slots (1 with a single slot) */
  double baseline; /* latency of a window without overload; 0: none yet */
  double sum;      /* of the latencies (ratios) in the window */
  int n_answers;
  bool limit_reached; /* as many requests as the limit ran at once during the window */
} KqLimit;

void kq_limit_init (KqLimit *l, int slots);
void kq_limit_set_slots (KqLimit *l, int slots);
/* Adds an answer, and adapts the limit at the end of each window. ratio: its run time
 * over its class's mean of the last five minutes; busy: requests at the runner when this
 * one was sent, itself included. */
void kq_limit_add_answer (KqLimit *l, double ratio, int busy);

#endif
