#ifndef KQ_PORT_ADVICE_H
#define KQ_PORT_ADVICE_H

/* advice: the port to the advice service, which knows the runners that a queue's policy
 * allows to run a step. It issues a ticket for each of them; a runner refuses a start
 * without a ticket.
 *
 * The service answers only one call at a time from each calling host, and takes longer
 * the more runners are asked about. Its answer for a step and a runner never changes. */

#include "base/str.h"
#include "base/task.h"

/* Most runners in one call. */
#define KQ_ADVICE_RUNNERS_MAX 100

/* Longest time that any part of an answer is taken for, in ms. */
#define KQ_ADVICE_TIME_MAX_MS INT32_MAX

typedef struct KqAdviceClient KqAdviceClient;

/* What the operators' configuration says of the service's answers for a queue; 0: not
 * given. */
typedef struct
{
  int32_t decide_ms; /* time of a call, and */
  int32_t each_ms;   /* for each runner in it */
  int32_t valid_ms;  /* validity of a ticket */
} KqAdviceFigures;

typedef enum
{
  KQ_ADVICE_OK,
  KQ_ADVICE_BUSY,   /* too many calls are queued at the service: retry later */
  KQ_ADVICE_UNKNOWN /* no answer, or one that can't be parsed */
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
  int64_t valid_ms; /* lifetime of the tickets, counted from their issue */
} KqAdviceReply;

typedef struct
{
  void (*done) (void *arg, const KqAdviceReply *r, KqTime now);
  void *arg;
} KqAdviceCallback;

/* Asks which of the n runners (KQ_ADVICE_RUNNERS_MAX at most) may run the step. step:
 * "job.occurrence.step". The callback is called exactly once, always after this
 * function has returned. */
void kq_advice_ask (KqAdviceClient *c, KqStr step, const KqStr *runners, size_t n,
                    int timeout_ms, KqAdviceCallback cb);

#endif
