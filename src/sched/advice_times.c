#include "sched/advice_times.h"

#include <stdlib.h>
#include <string.h>

/* Part of each call's time that no figure covers: the way to the service and back. */
#define TRANSIT (50 * KQ_MS)
/* Most runners in one call. */
#define RUNNERS_MAX 30
/* A call names no more runners than the service can answer for in this time, as its step
 * waits for the first answer. The rest go into further calls. */
#define CALL_TIME_MAX (1500 * KQ_MS)
/* The tickets of a call are valid for at least twice the time that it takes, where calls
 * can be as short as that. Otherwise the first tickets would expire while the call for
 * further ones is answered. */
#define VALID_PER_CALL_TIME 2
/* A call may always take this many times as long as one without runners, or most of the
 * service's time would go into the fixed part of calls. */
#define FIXED_TIMES_MIN 2
/* An answer is waited for until it is late by half of its expected time and this. */
#define LATE_MAX (1000 * KQ_MS)
/* The wait doubles, and the number of runners halves, with each of the first failures. */
#define FAILURES_COUNTED 6
/* Failures lengthen the wait to this at most, as the service may have stopped answering
 * for a while, and a step that waits for a lost call would notice its return late. Only
 * one call in LONG_WAIT_INTERVAL waits longer, for a service that is that slow. */
#define LENGTHENED_WAIT_MAX (15 * KQ_SEC)
#define LONG_WAIT_INTERVAL 8
#define WAIT_MAX (3600 * KQ_SEC)
/* The number of runners doubles at most so often: from 1 to KQ_ADVICE_RUNNERS_MAX. */
#define WIDENINGS_MAX 7
/* Time that a start order takes to its runner. */
#define ORDER_TIME (150 * KQ_MS)
#define RETRY_DELAY (100 * KQ_MS)
#define RETRY_DOUBLINGS 4
#define SLOWNESS_MAX 1000.0
/* Weight of a new sample that is below the present value; one above it replaces it. */
#define SAMPLE_WEIGHT 0.25
/* Queues without waiting jobs keep their entries, so their number is bounded. */
#define QUEUES_MAX 1000

void
kq_advice_times_init (KqAdviceTimes *t, const KqAdviceFigures *f)
{
  *t = (KqAdviceTimes){ .figures = *f, .slowness = 1 };
}

static KqTime
time_by_figures (const KqAdviceTimes *t, int32_t n)
{
  return TRANSIT + (t->figures.decide_ms + (KqTime)t->figures.each_ms * n) * KQ_MS;
}

void
kq_advice_times_note (KqAdviceTimes *t, int32_t n, KqTime took)
{
  double sample = (double)took / (double)time_by_figures (t, n);
  if (sample < t->slowness)
    sample = t->slowness + (sample - t->slowness) * SAMPLE_WEIGHT;
  t->slowness = sample < 1 ? 1 : sample < SLOWNESS_MAX ? sample : SLOWNESS_MAX;
}

KqTime
kq_advice_times_expected (const KqAdviceTimes *t, int32_t n)
{
  return (KqTime)((double)time_by_figures (t, n) * t->slowness);
}

static int
counted (int failures)
{
  return failures < FAILURES_COUNTED ? failures : FAILURES_COUNTED;
}

static int32_t
limit_to_time (const KqAdviceTimes *t, int32_t n, KqTime most)
{
  while (n > 1 && kq_advice_times_expected (t, n) > most)
    n--;
  return n;
}

int32_t
kq_advice_times_runners_max (const KqAdviceTimes *t, int failures, int too_few)
{
  KqTime fixed = kq_advice_times_expected (t, 0);
  KqTime valid = t->figures.valid_ms * KQ_MS;
  KqTime most = CALL_TIME_MAX;
  int32_t n;
  if (valid > 0)
    most = MIN (most, valid / VALID_PER_CALL_TIME);
  n = limit_to_time (t, RUNNERS_MAX, MAX (most, FIXED_TIMES_MIN * fixed));
  n = MIN (n << MIN (too_few, WIDENINGS_MAX), KQ_ADVICE_RUNNERS_MAX);
  if (t->from_call && valid > 0)
    n = limit_to_time (t, n, valid * 3 / 4);
  return MAX (n >> counted (failures), 1);
}

KqTime
kq_advice_times_margin (int64_t valid_ms)
{
  return MIN (ORDER_TIME, valid_ms * KQ_MS / 4);
}

KqTime
kq_advice_times_wait (const KqAdviceTimes *t, int32_t n, int failures)
{
  KqTime wait = kq_advice_times_expected (t, n) * 3 / 2;
  KqTime lengthened = wait << counted (failures);
  if (failures % LONG_WAIT_INTERVAL != 0)
    lengthened = MIN (lengthened, LENGTHENED_WAIT_MAX);
  return MIN (MAX (wait, lengthened) + LATE_MAX, WAIT_MAX);
}

KqTime
kq_advice_times_retry_delay (int failures)
{
  int doublings = MIN (failures - 1, RETRY_DOUBLINGS);
  return RETRY_DELAY << MAX (doublings, 0);
}

GHashTable *
kq_advice_times_new_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
}

KqAdviceTimes *
kq_advice_times_get (GHashTable *table, KqStr queue, const KqAdviceFigures *figures)
{
  static const KqAdviceFigures none;
  char *name = kq_str_dup (queue);
  KqAdviceTimes *t = g_hash_table_lookup (table, name);
  if (t == NULL)
    {
      if (g_hash_table_size (table) >= QUEUES_MAX)
        g_hash_table_remove_all (table);
      t = kq_alloc (sizeof *t);
      kq_advice_times_init (t, figures != NULL ? figures : &none);
      g_hash_table_insert (table, name, t);
      return t;
    }
  free (name);
  if (figures != NULL
      && (t->figures.decide_ms != figures->decide_ms
          || t->figures.each_ms != figures->each_ms
          || t->figures.valid_ms != figures->valid_ms))
    kq_advice_times_init (t, figures);
  return t;
}
