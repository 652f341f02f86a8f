#include "sched/cordoning.h"

#include <string.h>

/* For so long nothing is placed in a failure domain after an agent's refusal: either this
 * node learns of the cordon meanwhile, or the agent learns that it has been lifted. */
#define REFUSAL_PAUSE KQ_SEC
/* Operators are told of so many cordons: each line is a walk over all runners, which must
 * not delay the next pass. */
#define EXPLAINED_MAX 16

bool
kq_cordoning_is_known (const KqSched *s)
{
  return s->config.cordons == NULL || s->config.cordons->complete;
}

bool
kq_cordoning_applies (const KqSched *s, const KqRunnerState *r)
{
  return s->config.cordons != NULL
         && kq_cordons_find (s->config.cordons, kq_str (r->domain)) != NULL;
}

void
kq_cordoning_note_refusal (KqSched *s, const KqRunnerState *r, KqTime now)
{
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *other = g_ptr_array_index (s->runner_list, i);
      if (strcmp (other->domain, r->domain) == 0)
        other->cordon_told_until = now + REFUSAL_PAUSE;
    }
}

typedef struct
{
  int runners;
  int runs;
} DomainCounts;

static DomainCounts
count_in_domain (const KqSched *s, KqStr domain)
{
  DomainCounts n = { 0 };
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (!kq_str_eq (kq_str (r->domain), domain))
        continue;
      n.runners++;
      n.runs += r->n_runs;
    }
  return n;
}

void
kq_sched_cordons_changed (KqSched *s, KqTime now)
{
  const KqCordons *c = s->config.cordons;
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      bool before = r->cordoned;
      r->cordoned = kq_cordoning_applies (s, r);
      if (before && !r->cordoned)
        kq_runners_note_change (s, r);
      else if (before != r->cordoned)
        kq_pools_note_change (s, r);
    }
  s->pass_needed = true;
  for (size_t i = 0; i < c->n; i++)
    {
      KqStr domain = kq_name_str (&c->list[i].domain);
      DomainCounts n = count_in_domain (s, domain);
      kq_log (n.runners > 0 || !s->loaded ? KQ_LOG_INFO : KQ_LOG_WARN, PART,
              "Nothing starts in a cordoned failure domain. domain=%.*s runners=%d "
              "runs=%d age_ms=%lld",
              KQ_STR_ARG (domain), n.runners, n.runs,
              (long long)((now - c->list[i].since) / KQ_MS));
    }
}

void
kq_cordoning_explain (const KqSched *s, KqTime now, KqBuf *out)
{
  const KqCordons *c = s->config.cordons;
  size_t n_cordons = c != NULL ? c->n : 0;
  size_t n_lines = n_cordons < EXPLAINED_MAX ? n_cordons : EXPLAINED_MAX;
  for (size_t i = 0; i < n_lines; i++)
    {
      KqStr domain = kq_name_str (&c->list[i].domain);
      DomainCounts n = count_in_domain (s, domain);
      kq_buf_printf (
          out,
          "failure domain %.*s: cordoned for %lld ms (revision %llu), %d runners, "
          "%d runs\n",
          KQ_STR_ARG (domain), (long long)((now - c->list[i].since) / KQ_MS),
          (unsigned long long)c->list[i].revision, n.runners, n.runs);
    }
  if (n_cordons > n_lines)
    kq_buf_printf (out, "and %zu further cordons\n", n_cordons - n_lines);
}
