#ifndef KQ_PORT_ADVICE_H
#define KQ_PORT_ADVICE_H

/* advice: the port to the service that knows which runners a queue's policy allows to run
 * a step. It hands out a ticket for each; a start without one is refused by the runner.
 *
 * The service answers one call of a host at a time and takes longer the more runners are
 * asked about; what it says of a runner stays true for the step. */

#include "base/str.h"
#include "base/task.h"

/* Runners in one question at most. */
#define KQ_ADVICE_RUNNERS_MAX 100

typedef struct KqAdviceCalls KqAdviceCalls;

typedef enum
{
  KQ_ADVICE_OK,
  KQ_ADVICE_BUSY,   /* too many questions wait there: ask later */
  KQ_ADVICE_UNKNOWN /* no answer, or none that can be read */
} KqAdviceResult;

typedef struct
{
  KqStr runner;
  KqStr ticket;
} KqAdviceRow;

typedef struct
{
  KqAdviceResult result;
  const KqAdviceRow *rows; /* the runners that may run the step */
  size_t n_rows;
  int64_t valid_ms; /* of the tickets, from their issue */
} KqAdviceReply;

typedef struct
{
  void (*done) (void *arg, const KqAdviceReply *r, KqTime now);
  void *arg;
} KqAdviceCallback;

/* step: "job.occurrence.step". The callback comes exactly once, never from within the
 * call. */
void kq_advice_ask (KqAdviceCalls *c, KqStr step, const KqStr *runners, size_t n,
                    int timeout_ms, KqAdviceCallback cb);

#endif
