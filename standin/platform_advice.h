#ifndef KQ_STANDIN_PLATFORM_ADVICE_H
#define KQ_STANDIN_PLATFORM_ADVICE_H

/* platform_advice: the platform's advice service, as one calling machine reaches it.
 *
 * It handles one call at a time, in order of arrival, takes decide_ms and each_ms for
 * each runner named, and answers 429 when KQ_PLATFORM_ADVICE_WAITING_MAX calls wait. For
 * each step half of the runners are allowed, always the same ones. The allowed runners
 * learn of the ticket when it is issued; it is valid for valid_ms from then on, or from
 * the beginning of the call. */

#include "platform_runner.h"

#define KQ_PLATFORM_ADVICE_WAITING_MAX 32

typedef struct
{
  int decide_ms;
  int each_ms;
  int valid_ms;
  int time_percent;       /* actual time of a call, as a share of what the above say */
  bool valid_from_call;   /* tickets are valid from the beginning of their call */
  bool handles_abandoned; /* calls whose connection has ended still take their time */
} KqPlatformAdviceFigures;

typedef struct KqPlatformAdvice KqPlatformAdvice;

/* Lives as long as the process. Prints "advice PORT". The runners and the figures, which
 * may change, must outlive it. */
KqPlatformAdvice *kq_platform_advice_new (KqLoop *loop, KqPlatformRunner *const *runners,
                                          int n_runners,
                                          const KqPlatformAdviceFigures *figures);

#endif
