#ifndef KQ_SCHED_TICKETS_H
#define KQ_SCHED_TICKETS_H

/* tickets: tickets of the advice service for steps of advised queues. */

#include "sched/state.h"

/* The advice service's answer on whether a runner may run a step. */
typedef struct
{
  KqRunnerState *runner;
  int64_t started_ms; /* start of the runner process that was asked about, Unix time */
  char *ticket;       /* NULL: refused, or no answer yet */
  KqTime valid_until; /* when it is used last; without a ticket, 0: no answer yet, not 0:
                         refused */
  KqTime valid_from_call_until; /* the same if it is valid from the beginning of the call
                                 */
} KqTicket;

/* What the advice service has answered for one step. */
struct KqTickets
{
  KqTicket *rows;
  int32_t n_rows;
  int agent;        /* the agent whose request for this step is unanswered; -1: none */
  uint64_t request; /* number of that request */
  KqTime asked_at;  /* when it was sent */
  KqTime answer_by; /* it is given up then */
  int32_t n_asked;  /* the number of runners in it */
  int failures;     /* requests without a usable answer, in a row */
  int32_t first;    /* the number of best runners that the next request passes over */
  int too_few;      /* of a gang: requests that brought too few tickets at a time */
  int refusals;     /* tickets refused by runners since a start was accepted */
  KqTime again_at;  /* earliest time of the next request */
  /* The last request that was given up before its agent had said anything of it. */
  uint64_t late_request;
  KqTime late_asked_at;
  /* Of agents of earlier versions, which don't number their answers: the agent of that
   * request, and how many answers to such requests it may still send. */
  int late_agent;
  int late_answers;
};

/* The ticket for the step on the runner that is valid now; NULL: none. Owned by the step.
 */
const char *kq_tickets_find (const KqOccurrence *o, int32_t step, const KqRunnerState *r,
                             KqTime now);
/* Asks for tickets for the step, as a task found no runner with one. Does nothing while
 * an answer is outstanding. */
void kq_tickets_request (KqSched *s, KqOccurrence *o, int32_t step, KqTime now);
/* Drops the step's ticket for the runner, which has refused it. */
void kq_tickets_drop (KqSched *s, KqOccurrence *o, int32_t step, const KqRunnerState *r,
                      KqTime now);
/* Notes that a runner has accepted a start with a ticket of the step. */
void kq_tickets_accepted (KqOccurrence *o, int32_t step);
/* Drops the step's answers on a runner that is about to be freed. */
void kq_tickets_forget_runner (KqStepState *st, const KqRunnerState *r);
/* Drops all unanswered requests of an agent that is down; the steps ask again. */
void kq_tickets_drop_requests (KqSched *s, int agent);
void kq_tickets_free (KqTickets *a);

#endif
