/* tickets: tickets of the advice service, which permit a runner to run a step of an
 * advised queue.
 *
 * The service answers one request of a host at a time, so under load starts wait for its
 * answers. One request names as many runners as the service can answer for in a short
 * time (sched/advice_times.h), the best first. After a failure a step doesn't repeat its
 * request: it names fewer runners, others first, and waits longer. Requests are spread
 * over all hosts, and few are outstanding at each, so that those for urgent steps don't
 * queue behind others at the service. The answers are kept per step: a refusal of a
 * runner for good, a ticket while it is valid. */

#include "sched/tickets.h"

#include "sched/advice_times.h"
#include "sched/place.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Most unanswered requests per host: the one that is being answered, and the next. That
 * is sent so long before the first one's answer is expected, for the service to have it
 * when it becomes free; earlier, it would only wait there, ahead of more urgent ones. */
#define REQUESTS_PER_HOST_MAX 2
#define SENT_AHEAD_MAX (200 * KQ_MS)
/* An agent reports an answer or its lack so late at most; otherwise the step asks again,
 * by another host if possible. */
#define REPORT_LATE_MAX (1500 * KQ_MS)
/* After so many failures in a row a start without a ticket is tried, if the queue is
 * configured without advice. */
#define FAILURES_BEFORE_START 3
/* Time between looks for a host that can take a request. */
#define LOOK_INTERVAL (100 * KQ_MS)

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

/* Drops a request and the rows of its runners, of which nothing is known. */
static void
drop_request (KqTickets *a)
{
  a->agent = -1;
  for (int32_t i = 0; i < a->n_rows; i++)
    if (a->rows[i].ticket == NULL && a->rows[i].valid_until == 0)
      drop_row (a, &a->rows[i--]);
}

/* Ends a request that failed; the next one begins with other runners. */
static void
fail_request (KqTickets *a)
{
  a->failures++;
  a->first += a->n_asked;
  drop_request (a);
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
  KqAgentState *down = &s->agents.list[agent];
  down->advice_requests = down->advice_failures = 0;
  down->advice_free_at = down->advice_answer_by = 0;
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

static bool
may_send_request (const KqAgentState *a, KqTime now)
{
  return a->up && a->advice_requests < REQUESTS_PER_HOST_MAX
         && (a->advice_requests == 0 || a->advice_free_at - now <= SENT_AHEAD_MAX);
}

/* Whether a request is better sent by a than by b: by one whose last requests were
 * answered, as another may be cut off from the service; then by the one that is free
 * first; then by the one with fewer requests, as more than expected are unanswered. */
static bool
better_to_send (const KqAgentState *a, const KqAgentState *b, KqTime now)
{
  if (a->advice_failures != b->advice_failures)
    return a->advice_failures < b->advice_failures;
  if (MAX (a->advice_free_at, now) != MAX (b->advice_free_at, now))
    return MAX (a->advice_free_at, now) < MAX (b->advice_free_at, now);
  return a->advice_requests < b->advice_requests;
}

/* The agent to send the next request; -1: the service is busy with those of all. */
static int
pick_agent (const KqSched *s, KqTime now)
{
  int best = -1;
  for (int i = 0; i < s->agents.n; i++)
    {
      const KqAgentState *a = &s->agents.list[i];
      if (may_send_request (a, now)
          && (best < 0 || better_to_send (a, &s->agents.list[best], now)))
        best = i;
    }
  return best;
}

/* Notes that the agent has a request more, which takes so long once its turn has come,
 * and that the agent waits for its answer so long. */
static void
add_to_agent (KqAgentState *a, KqTime expected, KqTime wait, KqTime now)
{
  a->advice_requests++;
  a->advice_free_at = MAX (a->advice_free_at, now) + expected;
  a->advice_answer_by = MAX (a->advice_answer_by, now) + wait;
  a->advice_last = expected;
}

/* Notes that one of the agent's requests has been answered, or was given up. */
static void
remove_from_agent (KqAgentState *a, bool answered, KqTime now)
{
  if (a->advice_requests > 0)
    a->advice_requests--;
  a->advice_failures = answered ? 0 : a->advice_failures + 1;
  a->advice_free_at = a->advice_requests > 0 ? now + a->advice_last : now;
  if (a->advice_requests == 0)
    a->advice_answer_by = now;
}

/* Drops a request that wasn't answered in time; its answer may still come. The agent may
 * send others in its place, or one that reports nothing would never be asked again. */
static void
drop_late_request (KqSched *s, KqTickets *a, KqTime now)
{
  remove_from_agent (&s->agents.list[a->agent], false, now);
  if (a->late_agent != a->agent)
    a->late_answers = 0;
  a->late_request = a->request;
  a->late_asked_at = a->asked_at;
  a->late_agent = a->agent;
  a->late_answers++;
  fail_request (a);
}

static void
step_name (const KqOccurrence *o, int32_t step, char out[96])
{
  snprintf (out, 96, "%.*s.%d.%d", KQ_STR_ARG (o->job->spec.id), o->number, step);
}

/* Leaves in the list the runners without an answer, or whose ticket has expired by that
 * time; returns their number. */
static int32_t
keep_runners_to_ask (const KqTickets *a, KqRunnerState **list, int32_t n,
                     KqTime needed_at)
{
  int32_t left = 0;
  for (int32_t i = 0; i < n; i++)
    {
      const KqTicket *row = find_row (a, list[i]);
      if (row == NULL || (row->ticket != NULL && needed_at >= row->valid_until))
        list[left++] = list[i];
    }
  return left;
}

static const KqQueue *
configured_queue (const KqSched *s, const KqJob *j)
{
  return s->config.queue != NULL ? s->config.queue (s->config.arg, j->spec.queue) : NULL;
}

static KqAdviceTimes *
advice_times (const KqSched *s, const KqJob *j)
{
  const KqQueue *q = configured_queue (s, j);
  return kq_advice_times_get (s->advice_times, j->spec.queue,
                              q != NULL && q->advised ? &q->advice : NULL);
}

/* Notes that a runner has refused the ticket: if it is over by one of the two ways to
 * count its validity and not by the other, the former is the service's. */
static void
learn_from_refusal (const KqSched *s, const KqJob *j, const KqTicket *row, KqTime now)
{
  KqAdviceTimes *t = advice_times (s, j);
  if (t->from_call || row->ticket == NULL || now >= row->valid_until
      || now < row->valid_from_call_until)
    return;
  t->from_call = true;
  kq_log (KQ_LOG_INFO, PART,
          "Tickets count as valid from the beginning of their call. queue=%.*s",
          KQ_STR_ARG (j->spec.queue));
}

void
kq_tickets_drop (KqSched *s, KqOccurrence *o, int32_t step, const KqRunnerState *r,
                 KqTime now)
{
  KqTickets *a = o->steps[step].tickets;
  KqTicket *row = find_row (a, r);
  if (row == NULL)
    return;
  learn_from_refusal (s, o->job, row, now);
  a->refusals++;
  if (a->refusals > 1)
    a->again_at = now + kq_advice_times_retry_delay (a->refusals);
  drop_row (a, row);
}

void
kq_tickets_accepted (KqOccurrence *o, int32_t step)
{
  if (o->steps[step].tickets != NULL)
    o->steps[step].tickets->refusals = 0;
}

/* Whether one of the runners had a ticket that wasn't used. */
static bool
any_had_ticket (const KqTickets *a, KqRunnerState **list, int32_t n)
{
  for (int32_t i = 0; i < n; i++)
    {
      const KqTicket *row = find_row (a, list[i]);
      if (row != NULL && row->ticket != NULL)
        return true;
    }
  return false;
}

/* Adds the runner's row to the request. A row without a ticket permits nothing. The
 * answer names only runners that get a ticket; the other rows then count as refused. */
static void
add_row (KqTickets *a, KqRunnerState *r)
{
  KqTicket *row = find_row (a, r);
  if (row == NULL)
    {
      a->rows = kq_realloc (a->rows, ((size_t)a->n_rows + 1) * sizeof *a->rows);
      row = &a->rows[a->n_rows++];
    }
  else
    free (row->ticket);
  *row = (KqTicket){ .runner = r, .started_ms = r->started_ms };
}

/* Sends a request on n of the runners of the list, which has n_list. */
static void
send_request (KqSched *s, KqOccurrence *o, int32_t step, int agent, KqRunnerState **list,
              int32_t n_list, int32_t n, KqTime now)
{
  KqTickets *a = o->steps[step].tickets;
  KqStr ids[KQ_ADVICE_RUNNERS_MAX];
  KqOrder order = { .kind = KQ_ORDER_ADVISE, .runner = KQ_STR ("") };
  const KqAdviceTimes *times = advice_times (s, o->job);
  KqTime wait = kq_advice_times_wait (times, n, a->failures);
  char name[96];
  for (int32_t i = 0; i < n; i++)
    {
      KqRunnerState *r = list[(a->first + i) % n_list];
      ids[i] = kq_str (r->id);
      add_row (a, r);
    }
  step_name (o, step, name);
  kq_log (KQ_LOG_DEBUG, PART,
          "Asking for advice. step=%s runners=%d agent=%d wait_ms=%lld failures=%d", name,
          n, agent, (long long)(wait / KQ_MS), a->failures);
  add_to_agent (&s->agents.list[agent], kq_advice_times_expected (times, n), wait, now);
  a->agent = agent;
  a->request = ++s->agents.last_advice_request;
  a->asked_at = now;
  a->answer_by = s->agents.list[agent].advice_answer_by + REPORT_LATE_MAX;
  a->n_asked = n;
  order.u.advise.step = kq_str (name);
  order.u.advise.runners = ids;
  order.u.advise.n_runners = (size_t)n;
  order.u.advise.wait_ms = wait / KQ_MS;
  order.u.advise.request = a->request;
  s->config.order (s->config.arg, agent, &order);
}

void
kq_tickets_request (KqSched *s, KqOccurrence *o, int32_t step, KqTime now)
{
  KqStepState *st = &o->steps[step];
  KqTickets *a = st->tickets;
  int32_t max = (int32_t)s->runner_list->len;
  KqRunnerState **list;
  const KqAdviceTimes *times;
  bool gang = o->job->spec.steps[step].gang;
  KqTime needed_at = now;
  int32_t n_list;
  int32_t n;
  int agent;
  if (a == NULL)
    {
      a = st->tickets = kq_alloc (sizeof *a);
      a->agent = -1;
    }
  if (a->agent >= 0 && now >= a->answer_by)
    {
      kq_log (
          KQ_LOG_INFO, PART,
          "No report on a request for advice. job=%.*s step=%d agent=%d waited_ms=%lld",
          KQ_STR_ARG (o->job->spec.id), step, a->agent,
          (long long)((now - a->asked_at) / KQ_MS));
      drop_late_request (s, a, now);
    }
  if (s->next_pass_at == 0)
    s->next_pass_at = now + LOOK_INTERVAL;
  if (a->agent >= 0 || now < a->again_at)
    return;
  agent = pick_agent (s, now);
  if (agent < 0)
    return;
  list = kq_alloc (((size_t)max + 1) * sizeof (KqRunnerState *));
  n_list = kq_place_candidates (s, o, step, now, list, max);
  times = advice_times (s, o->job);
  n = kq_advice_times_runners_max (times, a->failures, a->too_few);
  /* A gang needs all its tickets at a time: those that end before the answer come with it
   * again, and if there were too few, the next call is on more runners. */
  if (gang)
    needed_at += kq_advice_times_expected (times, n);
  n_list = keep_runners_to_ask (a, list, n_list, needed_at);
  if (gang && any_had_ticket (a, list, n_list))
    n = kq_advice_times_runners_max (times, a->failures, ++a->too_few);
  n = MIN (n, n_list);
  if (n > 0)
    {
      a->first %= n_list;
      send_request (s, o, step, agent, list, n_list, n, now);
    }
  free (list);
}

/* Finds the step of that name (job.occurrence.step). False: it is unknown, or its
 * occurrence is over. */
static bool
find_step (const KqSched *s, KqStr name, KqTaskRef *out)
{
  KqBuf task = { 0 };
  bool found;
  kq_buf_add_str (&task, name);
  kq_buf_add (&task, ".0", 2);
  found = kq_book_find_task (s, kq_buf_str (&task), out) && out->occurrence != NULL;
  kq_buf_free (&task);
  return found;
}

/* Marks the rows for which the answer brought no ticket as refused. */
static void
mark_refused (KqTickets *a)
{
  for (int32_t i = 0; i < a->n_rows; i++)
    if (a->rows[i].ticket == NULL && a->rows[i].valid_until == 0)
      a->rows[i].valid_until = 1;
}

/* The service doesn't answer, and by the present configuration the queue needs no advice:
 * its runners may no longer ask for a ticket. If they do, the job counts as advised again
 * (sched/lists.c). */
static void
start_without_ticket (const KqSched *s, KqJob *j)
{
  const KqQueue *q = configured_queue (s, j);
  if (q == NULL || q->advised)
    return;
  kq_log (KQ_LOG_INFO, PART, "Starting without a ticket. job=%.*s queue=%.*s",
          KQ_STR_ARG (j->spec.id), KQ_STR_ARG (j->spec.queue));
  j->spec.advised = false;
}

/* Takes the tickets of an answer. asked_at: when the request was sent. */
static void
add_tickets (KqSched *s, KqTickets *t, const KqStepAdvice *a, const KqAdviceTimes *times,
             KqTime asked_at)
{
  /* Validity counts from the answer as the agent received it, or from the beginning of
   * the call. The agent's clock isn't this host's: the time that order and answer took
   * between the two hosts is taken off. */
  KqTime answered_at = asked_at + a->elapsed_ms * KQ_MS;
  KqTime valid = a->reply.valid_ms * KQ_MS - kq_advice_times_margin (a->reply.valid_ms);
  for (size_t i = 0; i < a->reply.n_rows; i++)
    {
      const KqAdviceRow *allowed = &a->reply.rows[i];
      KqRunnerState *r = kq_runners_find (s, allowed->runner);
      KqTicket *row = r != NULL ? find_row (t, r) : NULL;
      if (row == NULL)
        continue;
      free (row->ticket);
      row->ticket = kq_str_dup (allowed->ticket);
      row->valid_from_call_until = answered_at - a->service_ms * KQ_MS + valid;
      row->valid_until
          = times->from_call ? row->valid_from_call_until : answered_at + valid;
    }
}

/* Whether the answer is to the request that was given up last. */
static bool
is_late (const KqTickets *t, int agent, const KqStepAdvice *a)
{
  if (a->request != 0)
    return a->request == t->late_request;
  return t->late_answers > 0 && t->late_agent == agent;
}

/* Takes the answer to a request that was dropped as late. It is about the runners of its
 * own request: its tickets can be used, but it refuses none of those that are asked about
 * now. */
static void
take_late_answer (KqSched *s, KqJob *j, KqTickets *t, const KqStepAdvice *a)
{
  if (a->request == 0)
    t->late_answers--;
  if (a->reply.result == KQ_ADVICE_OK)
    add_tickets (s, t, a, advice_times (s, j), t->late_asked_at);
}

static void
take_answer (KqSched *s, KqJob *j, KqTickets *t, const KqStepAdvice *a, KqTime now)
{
  KqAdviceTimes *times = advice_times (s, j);
  if (a->reply.result != KQ_ADVICE_OK)
    {
      fail_request (t);
      t->again_at = now + kq_advice_times_retry_delay (t->failures);
      if (t->failures >= FAILURES_BEFORE_START)
        start_without_ticket (s, j);
      return;
    }
  t->agent = -1;
  t->failures = 0;
  t->first = 0;
  if (a->service_ms > 0)
    kq_advice_times_note (times, t->n_asked, a->service_ms * KQ_MS);
  add_tickets (s, t, a, times, t->asked_at);
  mark_refused (t);
}

void
kq_sched_advice (KqSched *s, int agent, const KqStepAdvice *a, KqTime now)
{
  KqTaskRef step;
  bool found = find_step (s, a->step, &step);
  KqTickets *t = found ? step.occurrence->steps[step.step].tickets : NULL;
  ++*s->advices[a->reply.result];
  if (t == NULL || !is_late (t, agent, a))
    remove_from_agent (&s->agents.list[agent], a->reply.result == KQ_ADVICE_OK, now);
  kq_log (a->reply.result == KQ_ADVICE_OK ? KQ_LOG_DEBUG : KQ_LOG_WARN, PART,
          "Answer of the advice service. step=%.*s result=%d good=%zu valid_ms=%lld "
          "service_ms=%lld",
          KQ_STR_ARG (a->step), a->reply.result, a->reply.n_rows,
          (long long)a->reply.valid_ms, (long long)a->service_ms);
  if (t == NULL)
    return;
  if (is_late (t, agent, a))
    take_late_answer (s, step.job, t, a);
  else if (t->agent == agent && (a->request == 0 || a->request == t->request))
    take_answer (s, step.job, t, a, now);
  else
    return;
  s->pass_needed = true;
}
