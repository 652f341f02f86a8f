/* tickets: tickets of the advice service, which permit a runner to run a step of an
 * advised queue.
 *
 * The service answers one request of a host at a time, so under load starts wait for its
 * answers. One request names as many runners as the step is likely to need, the best
 * first. Requests are spread over all hosts, and few are outstanding at each, so that
 * those for urgent steps don't queue behind others at the service. The answers are kept
 * per step: a refusal of a runner for good, a ticket while it is valid. */

#include "sched/tickets.h"

#include "sched/place.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Most runners named in one request: a third of a small fleet. With fewer a wide step
 * needs several requests; with more each answer takes longer. */
#define RUNNERS_PER_REQUEST 30
/* Most unanswered requests per host: the one that is being answered, and the next. */
#define REQUESTS_PER_HOST_MAX 2
/* A request without an answer after this time is repeated, by another host if
 * possible. */
#define ANSWER_TIMEOUT (2500 * KQ_MS)
/* Time from a failed request to the next. */
#define RETRY_DELAY (100 * KQ_MS)
/* A ticket isn't used in this last part of its validity, as the start order has yet to
 * arrive. */
#define VALID_MARGIN (150 * KQ_MS)

void
kq_tickets_free (KqTickets *a)
{
  if (a == NULL)
    return;
  for (int32_t i = 0; i < a->n_rows; i++)
    free (a->rows[i].ticket);
  free (a->rows);
  free (a);
}

static KqTicket *
find_row (const KqTickets *a, const KqRunnerState *r)
{
  for (int32_t i = 0; a != NULL && i < a->n_rows; i++)
    if (a->rows[i].runner == r && a->rows[i].started_ms == r->started_ms)
      return &a->rows[i];
  return NULL;
}

const char *
kq_tickets_find (const KqOccurrence *o, int32_t step, const KqRunnerState *r, KqTime now)
{
  const KqTicket *row = find_row (o->steps[step].tickets, r);
  return row != NULL && now < row->valid_until ? row->ticket : NULL;
}

static void
drop_row (KqTickets *a, KqTicket *row)
{
  KqTicket *last = &a->rows[--a->n_rows];
  free (row->ticket);
  row->ticket = NULL;
  if (row != last)
    {
      *row = *last;
      last->ticket = NULL;
    }
}

/* Ends a request that failed: drops the rows of its runners, of which nothing is known.
 */
static void
drop_request (KqTickets *a)
{
  a->agent = -1;
  for (int32_t i = 0; i < a->n_rows; i++)
    if (a->rows[i].ticket == NULL && a->rows[i].valid_until == 0)
      drop_row (a, &a->rows[i--]);
}

void
kq_tickets_drop (KqOccurrence *o, int32_t step, const KqRunnerState *r)
{
  KqTickets *a = o->steps[step].tickets;
  KqTicket *row = find_row (a, r);
  if (row != NULL)
    drop_row (a, row);
}

void
kq_tickets_forget_runner (KqStepState *st, const KqRunnerState *r)
{
  for (int32_t i = 0; st->tickets != NULL && i < st->tickets->n_rows; i++)
    if (st->tickets->rows[i].runner == r)
      drop_row (st->tickets, &st->tickets->rows[i--]);
}

void
kq_tickets_drop_requests (KqSched *s, int agent)
{
  s->agents.list[agent].advice_requests = 0;
  for (KqJob *j = s->open_jobs; j != NULL; j = j->next)
    for (KqOccurrence *o = j->occurrences; j->spec.advised && o != NULL; o = o->next)
      for (int32_t i = 0; i < j->spec.n_steps; i++)
        {
          KqTickets *a = o->steps[i].tickets;
          if (a != NULL && a->agent == agent)
            drop_request (a);
          if (a != NULL && a->late_agent == agent)
            a->late_answers = 0;
        }
}

/* Drops a request that wasn't answered in time; its answer may still come. */
static void
drop_late_request (KqTickets *a)
{
  if (a->late_agent != a->agent)
    a->late_answers = 0;
  a->late_agent = a->agent;
  a->late_answers++;
  drop_request (a);
}

/* The agent with the fewest outstanding requests; -1: all have REQUESTS_PER_HOST_MAX.
 */
static int
pick_agent (const KqSched *s)
{
  int best = -1;
  int least = REQUESTS_PER_HOST_MAX;
  for (int i = 0; i < s->agents.n; i++)
    {
      const KqAgentState *a = &s->agents.list[i];
      if (!a->up || a->advice_requests >= least)
        continue;
      least = a->advice_requests;
      best = i;
    }
  return best;
}

static void
step_name (const KqOccurrence *o, int32_t step, char out[96])
{
  snprintf (out, 96, "%.*s.%d.%d", KQ_STR_ARG (o->job->spec.id), o->number, step);
}

/* Collects the ids of runners without an answer, or whose ticket has expired. */
static int32_t
pick_runners_to_ask (const KqTickets *a, KqRunnerState **list, int32_t n, KqStr *ids,
                     KqTime now)
{
  int32_t asked = 0;
  for (int32_t i = 0; i < n && asked < RUNNERS_PER_REQUEST; i++)
    {
      const KqTicket *row = find_row (a, list[i]);
      if (row == NULL || (row->ticket != NULL && now >= row->valid_until))
        ids[asked++] = kq_str (list[i]->id);
    }
  return asked;
}

void
kq_tickets_request (KqSched *s, KqOccurrence *o, int32_t step, KqTime now)
{
  KqStepState *st = &o->steps[step];
  int32_t max = (int32_t)s->runner_list->len;
  KqRunnerState **list;
  KqStr ids[RUNNERS_PER_REQUEST];
  KqOrder order = { .kind = KQ_ORDER_ADVISE, .runner = KQ_STR ("") };
  char name[96];
  int32_t n;
  int agent;
  if (st->tickets == NULL)
    {
      st->tickets = kq_alloc (sizeof *st->tickets);
      st->tickets->agent = -1;
    }
  if (st->tickets->agent >= 0 && now - st->tickets->asked_at >= ANSWER_TIMEOUT)
    drop_late_request (st->tickets);
  if (s->next_pass_at == 0)
    s->next_pass_at = now + RETRY_DELAY;
  if (st->tickets->agent >= 0 || now < st->tickets->again_at)
    return;
  agent = pick_agent (s);
  if (agent < 0)
    return;
  list = kq_alloc (((size_t)max + 1) * sizeof (KqRunnerState *));
  n = kq_place_candidates (s, o, step, now, list, max);
  n = pick_runners_to_ask (st->tickets, list, n, ids, now);
  free (list);
  if (n == 0)
    return;
  step_name (o, step, name);
  kq_log (KQ_LOG_DEBUG, PART, "Asking for advice. step=%s runners=%d agent=%d", name, n,
          agent);
  s->agents.list[agent].advice_requests++;
  st->tickets->agent = agent;
  st->tickets->asked_at = now;
  order.u.advise.step = kq_str (name);
  order.u.advise.runners = ids;
  order.u.advise.n_runners = (size_t)n;
  /* Rows without a ticket permit nothing. The answer names only runners that get a
   * ticket; the other rows then count as refused. */
  for (int32_t i = 0; i < n; i++)
    {
      KqRunnerState *r = kq_runners_find (s, ids[i]);
      KqTicket *row = find_row (st->tickets, r);
      if (row == NULL)
        {
          size_t size = ((size_t)st->tickets->n_rows + 1) * sizeof *st->tickets->rows;
          st->tickets->rows = kq_realloc (st->tickets->rows, size);
          row = &st->tickets->rows[st->tickets->n_rows++];
        }
      else
        free (row->ticket);
      *row = (KqTicket){ .runner = r, .started_ms = r->started_ms };
    }
  s->config.order (s->config.arg, agent, &order);
}

/* The step of that name (job.occurrence.step); NULL: unknown, or its occurrence is over.
 */
static KqStepState *
find_step (const KqSched *s, KqStr name)
{
  KqBuf task = { 0 };
  KqTaskRef t;
  bool found;
  kq_buf_add_str (&task, name);
  kq_buf_add (&task, ".0", 2);
  found = kq_book_find_task (s, kq_buf_str (&task), &t) && t.occurrence != NULL;
  kq_buf_free (&task);
  return found ? &t.occurrence->steps[t.step] : NULL;
}

/* Marks the rows for which the answer brought no ticket as refused. */
static void
mark_refused (KqTickets *a)
{
  for (int32_t i = 0; i < a->n_rows; i++)
    if (a->rows[i].ticket == NULL && a->rows[i].valid_until == 0)
      a->rows[i].valid_until = 1;
}

void
kq_sched_advice (KqSched *s, int agent, const KqStepAdvice *a, KqTime now)
{
  KqStepState *st = find_step (s, a->step);
  KqTickets *t = st != NULL ? st->tickets : NULL;
  bool late = t != NULL && t->late_answers > 0 && t->late_agent == agent;
  ++*s->advices[a->reply.result];
  if (s->agents.list[agent].advice_requests > 0)
    s->agents.list[agent].advice_requests--;
  kq_log (a->reply.result == KQ_ADVICE_OK ? KQ_LOG_DEBUG : KQ_LOG_WARN, PART,
          "Answer of the advice service. step=%.*s result=%d good=%zu valid_ms=%lld",
          KQ_STR_ARG (a->step), a->reply.result, a->reply.n_rows,
          (long long)a->reply.valid_ms);
  if (t == NULL || (t->agent != agent && !late))
    return;
  s->pass_needed = true;
  /* A late answer is about the runners of its own request: its tickets can be used, but
   * it refuses none of those that are asked about now. */
  if (late)
    t->late_answers--;
  if (a->reply.result != KQ_ADVICE_OK)
    {
      if (late)
        return;
      t->again_at = now + RETRY_DELAY;
      drop_request (t);
      return;
    }
  if (!late)
    t->agent = -1;
  /* Validity counts from the request, as the ticket can't be older. */
  for (size_t i = 0; i < a->reply.n_rows; i++)
    {
      const KqAdviceRow *allowed = &a->reply.rows[i];
      KqRunnerState *r = kq_runners_find (s, allowed->runner);
      KqTicket *row = r != NULL ? find_row (t, r) : NULL;
      if (row == NULL)
        continue;
      free (row->ticket);
      row->ticket = kq_str_dup (allowed->ticket);
      row->valid_until = t->asked_at + a->reply.valid_ms * KQ_MS - VALID_MARGIN;
    }
  if (!late)
    mark_refused (t);
}
