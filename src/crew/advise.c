/* advise: questions to the advice service, for the leader. */

#include "base/log.h"
#include "crew/state.h"

#include <stdlib.h>

/* The service takes its time for each runner asked about, and answers in turn. */
#define ADVICE_TIMEOUT_MS 2000

typedef struct
{
  KqCrewAgent *agent;
  uint64_t epoch;
  char *step;
} Question;

static void
tell_advice (KqCrewAgent *a, uint64_t epoch, KqStr step, const KqAdviceReply *r)
{
  KqCrewItem i = { .kind = KQ_CREW_ADVICE };
  i.u.advice.step = step;
  i.u.advice.reply = *r;
  a->config.notice (a->config.arg, epoch, &i);
}

static void
on_advice (void *arg, const KqAdviceReply *r, KqTime now)
{
  Question *q = arg;
  (void)now;
  tell_advice (q->agent, q->epoch, kq_str (q->step), r);
  free (q->step);
  free (q);
}

void
kq_crew_agent_advise (KqCrewAgent *a, uint64_t epoch, const KqOrder *o)
{
  Question *q;
  if (a->config.advice == NULL)
    {
      KqAdviceReply none = { .result = KQ_ADVICE_UNKNOWN };
      kq_log (KQ_LOG_ERROR, PART, "No advice service in the settings. step=%.*s",
              KQ_STR_ARG (o->u.advise.step));
      tell_advice (a, epoch, o->u.advise.step, &none);
      return;
    }
  q = kq_alloc (sizeof *q);
  q->agent = a;
  q->epoch = epoch;
  q->step = kq_str_dup (o->u.advise.step);
  kq_advice_ask (a->config.advice, o->u.advise.step, o->u.advise.runners,
                 o->u.advise.n_runners, ADVICE_TIMEOUT_MS,
                 (KqAdviceCallback){ on_advice, q });
}
