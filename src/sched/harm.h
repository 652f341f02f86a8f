#ifndef KQ_SCHED_HARM_H
#define KQ_SCHED_HARM_H

/* harm: how much slack serving tasks have, and how much of it filling tasks beside them
 * take.
 *
 * Slack is the latency target divided by the tail latency: at 1 the tail is at its
 * target. An int parameter `serving` or `filling` is an image's number in the
 * disturbance model. */

#include "sched/state.h"

/* Losses of slack below KQ_HARM_LOSS_MIN are noise of the model. */
#define KQ_HARM_LOSS_MIN 0.05
/* Time from a pace or start order to the middle of the period in which it holds: the
 * call, the runner's delay, half of the gap between two reports. */
#define KQ_HARM_AHEAD (400 * KQ_MS)

/* Learns from the reports in the runner's last list. */
void kq_harm_learn (KqSched *s, KqRunnerState *r, KqTime now);
/* Whether the run is a serving task that is running and has reported its latency. */
bool kq_harm_has_report (const KqRun *run);
/* Whether the serving task has been over its target for so long that no filling task may
 * run beside it.
 */
bool kq_harm_over_too_long (const KqRun *run, KqTime now);
/* Whether kq_harm_over_too_long holds for any serving task of the runner; only during a
 * placing pass. */
bool kq_harm_closed_to_filling (const KqSched *s, KqRunnerState *r, KqTime now);
/* The slack that the serving task can lose at time `at`; negative: it has too little. */
double kq_harm_headroom (const KqRun *serving, KqTime at);
/* The slack that a serving image loses to the filling run at full speed. */
double kq_harm_loss_by_run (const KqSched *s, const KqRun *filling, int serving);
/* The slack that a serving image loses to all filling runs of the runner at full speed.
 */
double kq_harm_loss_by_runner (const KqSched *s, const KqRunnerState *r, int serving);
/* The share of its full speed, 0 to 1, at which a filling task of that image and cpu can
 * work beside what is on the runner without pushing a serving task over its target; only
 * during a placing pass. */
double kq_harm_allowed_speed (const KqSched *s, const KqRunnerState *r, int filling,
                              int32_t cpu_milli, KqTime now);

#endif
