#include "request/limit.h"

#define WINDOW_ANSWERS 32
#define OVERLOAD_FACTOR 2.0
/* Larger ratios count as this one: an answer that hung says nothing about the others. */
#define RATIO_MAX 8
#define DECREASE_FACTOR 0.75
/* Lower bound of the limit, since a machine may be slow for another reason than load. */
#define LIMIT_MIN 2
/* Fraction of the difference to a window's mean by which the baseline falls or rises. */
#define BASELINE_DOWN 0.25
#define BASELINE_UP 0.01

void
kq_limit_init (KqLimit *l, int slots)
{
  *l = (KqLimit){ .slots = slots, .limit = slots };
}

void
kq_limit_set_slots (KqLimit *l, int slots)
{
  if (l->limit == l->slots || l->limit > slots)
    l->limit = slots;
  l->slots = slots;
}

static void
move_baseline (KqLimit *l, double mean)
{
  if (l->baseline == 0)
    l->baseline = mean;
  else
    l->baseline
        += (mean - l->baseline) * (mean < l->baseline ? BASELINE_DOWN : BASELINE_UP);
}

void
kq_limit_add_answer (KqLimit *l, double ratio, int busy)
{
  double mean;
  l->sum += ratio < RATIO_MAX ? ratio : RATIO_MAX;
  l->n_answers++;
  l->limit_reached = l->limit_reached || busy >= l->limit;
  if (l->n_answers < WINDOW_ANSWERS)
    return;
  mean = l->sum / l->n_answers;
  move_baseline (l, mean);
  if (mean > OVERLOAD_FACTOR * l->baseline)
    l->limit = (int)(l->limit * DECREASE_FACTOR);
  else if (l->limit_reached)
    l->limit++;
  if (l->limit < LIMIT_MIN)
    l->limit = LIMIT_MIN;
  if (l->limit > l->slots)
    l->limit = l->slots;
  l->sum = 0;
  l->n_answers = 0;
  l->limit_reached = false;
}
