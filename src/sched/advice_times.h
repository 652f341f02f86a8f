#ifndef KQ_SCHED_ADVICE_TIMES_H
#define KQ_SCHED_ADVICE_TIMES_H

/* advice_times: how long calls to the advice service take, by queue; how many runners a
 * call names, and how long its answer is waited for.
 *
 * The queue's configuration says how long a call takes, the service may need longer. The
 * ratio of the two is learned from answers, so an unanswered call teaches nothing about
 * other steps: its own step names fewer runners next time and waits longer, until there
 * is an answer. */

#include "port/advice.h"

#include <glib.h>

typedef struct
{
  KqAdviceFigures figures;
  double slowness; /* the time of recent calls / the time by the figures; at least 1 */
  bool from_call;  /* tickets are valid from the beginning of their call, as a runner has
                      refused one that would still be valid by its answer */
} KqAdviceTimes;

void kq_advice_times_init (KqAdviceTimes *t, const KqAdviceFigures *f);
/* Notes that the service has answered a call on n runners in this time. */
void kq_advice_times_note (KqAdviceTimes *t, int32_t n, KqTime took);
/* The time that a call on n runners is expected to take at the service. */
KqTime kq_advice_times_expected (const KqAdviceTimes *t, int32_t n);
/* Most runners to name in a step's call, after that many of its calls in a row have
 * failed. too_few: how often the tickets of its calls were too few at a time for a gang.
 * At least 1. */
int32_t kq_advice_times_runners_max (const KqAdviceTimes *t, int failures, int too_few);
/* How long to wait for the answer to a call on n runners, after so many failures. */
KqTime kq_advice_times_wait (const KqAdviceTimes *t, int32_t n, int failures);
/* How much earlier than the end of its validity a ticket is used last. */
KqTime kq_advice_times_margin (int64_t valid_ms);
/* Time from a step's failed call to its next one. */
KqTime kq_advice_times_retry_delay (int failures);

/* The entries of all queues. */
GHashTable *kq_advice_times_new_table (void);
/* The queue's entry, which is begun anew when the figures have changed. figures NULL: the
 * queue is no longer configured, and its last figures hold. */
KqAdviceTimes *kq_advice_times_get (GHashTable *table, KqStr queue,
                                    const KqAdviceFigures *figures);

#endif
