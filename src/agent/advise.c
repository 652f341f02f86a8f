/* advise: asks the advice service on behalf of the leader. */

#include "agent/state.h"
#include "base/log.h"

#include <stdlib.h>

/* Where the leader, of an earlier version, doesn't say how long to wait. */
#define DEFAULT_WAIT_MS 2000
#define WAIT_MAX_MS (3600 * 1000)
/* The service has one call more than it can answer, so that it needn't wait for it. More
 * come only from several leaders, one after the other. */
#define CALLS_MAX 2

typedef struct
{
  KqAgent *agent;
  uint64_t epoch;
  uint64_t number; /* the leader's */
  char *step;
  char **runners; /* n_runners of them, owned */
  size_t n_runners;
  KqTime wait; /* for the answer once the service has done with earlier calls */
  KqTime ordered_at;
  KqTime sent_at;
} AdviceRequest;

static void
free_request (AdviceRequest *req)
{
  for (size_t i = 0; i < req->n_runners; i++)
    free (req->runners[i]);
  free (req->runners);
  free (req->step);
  free (req);
}

static AdviceRequest *
new_request (KqAgent *a, uint64_t epoch, const KqOrder *o, KqTime now)
{
  AdviceRequest *req = kq_alloc (sizeof *req);
  int64_t wait_ms = o->u.advise.wait_ms;
  req->agent = a;
  req->epoch = epoch;
  req->number = o->u.advise.request;
  req->step = kq_str_dup (o->u.advise.step);
  req->n_runners = o->u.advise.n_runners;
  req->runners = kq_alloc ((req->n_runners + 1) * sizeof *req->runners);
  for (size_t i = 0; i < req->n_runners; i++)
    req->runners[i] = kq_str_dup (o->u.advise.runners[i]);
  req->wait = (wait_ms > 0 ? MIN (wait_ms, WAIT_MAX_MS) : DEFAULT_WAIT_MS) * KQ_MS;
  req->ordered_at = now;
  return req;
}

static void
report_answer (const AdviceRequest *req, const KqAdviceReply *r, KqTime took, KqTime now)
{
  const KqAgent *a = req->agent;
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_ADVICE };
  i.u.advice.step = kq_str (req->step);
  i.u.advice.request = req->number;
  i.u.advice.reply = *r;
  i.u.advice.service_ms = took / KQ_MS;
  i.u.advice.elapsed_ms = (now - req->ordered_at) / KQ_MS;
  a->config.notice (a->config.arg, req->epoch, &i);
}

static void send_waiting (KqAgent *a, KqTime now);

static void
on_advice (void *arg, const KqAdviceReply *r, KqTime now)
{
  AdviceRequest *req = arg;
  KqAgent *a = req->agent;
  KqTime began_at = MAX (req->sent_at, a->advice.answered_at);
  a->advice.sent--;
  a->advice.answered_at = now;
  if (a->advice.sent == 0)
    a->advice.answer_by = now;
  report_answer (req, r, now - began_at, now);
  free_request (req);
  send_waiting (a, now);
}

static void
send_request (KqAgent *a, AdviceRequest *req, KqTime now)
{
  KqStr ids[KQ_ADVICE_RUNNERS_MAX];
  size_t n = MIN (req->n_runners, KQ_ADVICE_RUNNERS_MAX);
  for (size_t i = 0; i < n; i++)
    ids[i] = kq_str (req->runners[i]);
  a->advice.sent++;
  a->advice.answer_by = MAX (a->advice.answer_by, now) + req->wait;
  req->sent_at = now;
  kq_advice_ask (a->config.advice, kq_str (req->step), ids, n,
                 (int)((a->advice.answer_by - now) / KQ_MS),
                 (KqAdviceCallback){ on_advice, req });
}

/* A request of an earlier leader, whose answer nobody waits for, isn't sent. */
static void
send_waiting (KqAgent *a, KqTime now)
{
  while (a->advice.sent < CALLS_MAX && !g_queue_is_empty (&a->advice.waiting))
    {
      AdviceRequest *req = g_queue_pop_head (&a->advice.waiting);
      if (req->epoch < a->epoch)
        free_request (req);
      else
        send_request (a, req, now);
    }
}

void
kq_agent_free_advice_requests (KqAgent *a)
{
  while (!g_queue_is_empty (&a->advice.waiting))
    free_request (g_queue_pop_head (&a->advice.waiting));
}

void
kq_agent_ask_advice (KqAgent *a, uint64_t epoch, const KqOrder *o, KqTime now)
{
  AdviceRequest *req = new_request (a, epoch, o, now);
  if (a->config.advice == NULL)
    {
      KqAdviceReply none = { .result = KQ_ADVICE_UNKNOWN };
      kq_log (KQ_LOG_ERROR, PART,
              "Advice requested, but the settings name no advice service. step=%s",
              req->step);
      report_answer (req, &none, 0, now);
      free_request (req);
      return;
    }
  g_queue_push_tail (&a->advice.waiting, req);
  send_waiting (a, now);
}
