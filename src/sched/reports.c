#include "sched/reports.h"

/* Checks without a report after which an agent has lost a runner. They take longer than
 * two unanswered polls of the runner, after which an agent reports its silence. */
#define UNREPORTED_CHECKS_MAX 24

KqStr
kq_reports_agent_node (const KqSched *s, int agent)
{
  return agent >= 0 ? kq_name_str (&s->agents.list[agent].info.name) : KQ_STR ("");
}

bool
kq_reports_is_current_agent (const KqSched *s, KqRunnerState *r, int agent,
                             uint64_t assignment, const char *what)
{
  if (r->agent == agent && r->assignment == assignment)
    {
      r->unreported_checks = 0;
      return true;
    }
  if (!r->stale_logged)
    {
      KqStr from = kq_reports_agent_node (s, agent);
      KqStr current = kq_reports_agent_node (s, r->agent);
      kq_log (KQ_LOG_INFO, PART,
              "Ignoring a message of an earlier agent. runner=%s what=%s from=%.*s "
              "agent=%.*s",
              r->id, what, KQ_STR_ARG (from), KQ_STR_ARG (current));
    }
  r->stale_logged = true;
  return false;
}

void
kq_reports_check (KqSched *s, KqTime now)
{
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      KqStr node = kq_reports_agent_node (s, r->agent);
      if (r->agent < 0 || ++r->unreported_checks <= UNREPORTED_CHECKS_MAX)
        continue;
      kq_log (KQ_LOG_WARN, PART,
              "An agent no longer reports on its runner. runner=%s agent=%.*s runs=%d "
              "listed=%d",
              r->id, KQ_STR_ARG (node), r->n_runs, r->listed);
      /* An agent that has reported a silence renews the lease only after a list, and so
       * does one that has just been assigned the runner. */
      kq_runners_drop_agent (s, r, !r->silent, now);
      r->silent = true;
      kq_pools_note_change (s, r);
      s->assign_soon = true;
    }
}
