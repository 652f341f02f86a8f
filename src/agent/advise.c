/* advise: asks the advice service on behalf of the leader. */

#include "agent/state.h"
#include "base/log.h"

#include <stdlib.h>

/* The service handles one request at a time, and needs longer the more runners it is
 * asked about. */
#define ADVICE_TIMEOUT_MS 2000

typedef struct
{
  KqAgent *agent;
  uint64_t epoch;
  char *step;
} AdviceRequest;

static void
report_advice (KqAgent *a, uint64_t epoch, KqStr step, const KqAdviceReply *r)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_ADVICE };
  i.u.advice.step = step;
  i.u.advice.reply = *r;
  a->config.notice (a->config.arg, epoch, &i);
}

static void
on_advice (void *arg, const KqAdviceReply *r, KqTime now)
{
  AdviceRequest *req = arg;
  (void)now;
  report_advice (req->agent, req->epoch, kq_str (req->step), r);
  free (req->step);
  free (req);
}

void
kq_agent_ask_advice (KqAgent *a, uint64_t epoch, const KqOrder *o)
{
  AdviceRequest *req;
  if (a->config.advice == NULL)
    {
      KqAdviceReply none = { .result = KQ_ADVICE_UNKNOWN };
      kq_log (KQ_LOG_ERROR, PART,
              "Advice requested, but the settings name no advice service. step=%.*s",
              KQ_STR_ARG (o->u.advise.step));
      report_advice (a, epoch, o->u.advise.step, &none);
      return;
    }
  req = kq_alloc (sizeof *req);
  req->agent = a;
  req->epoch = epoch;
  req->step = kq_str_dup (o->u.advise.step);
  kq_advice_ask (a->config.advice, o->u.advise.step, o->u.advise.runners,
                 o->u.advise.n_runners, ADVICE_TIMEOUT_MS,
                 (KqAdviceCallback){ on_advice, req });
}
