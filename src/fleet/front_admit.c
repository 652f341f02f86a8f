#include "fleet/front_admit.h"

#include "base/histogram.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>

#define PART "front"

struct KqFrontAdmit
{
  KqAdmitView view;
  uint64_t *asked;
  uint64_t *ignored;
  uint64_t *results[KQ_FRONT_ADMIT_RESULTS];
  KqHistogram digest_age;
};

static const char *const result_names[] = { "accepted", "refused", "stored", "unread" };

KqFrontAdmit *
kq_front_admit_new (KqCounters *counters)
{
  KqFrontAdmit *a = kq_alloc (sizeof *a);
  char labels[64];
  a->asked = kq_counter (counters, "kq_admission_asked_total", "",
                         "Jobs about which the leader was asked whether to refuse them.");
  a->ignored = kq_counter (counters, "kq_load_digests_ignored_total", "",
                           "Digests of the load that arrived after a later one.");
  for (int i = 0; i < KQ_FRONT_ADMIT_RESULTS; i++)
    {
      snprintf (labels, sizeof labels, "result=\"%s\"", result_names[i]);
      a->results[i] = kq_counter (counters, "kq_admission_results_total", labels,
                                  "Jobs about which the leader was asked, by result.");
    }
  a->digest_age
      = kq_histogram (counters, "kq_load_digest_age_ms", "",
                      "Age of the load digest by which a job was put in doubt.");
  return a;
}

void
kq_front_admit_free (KqFrontAdmit *a)
{
  free (a);
}

void
kq_front_admit_load (KqFrontAdmit *a, uint64_t epoch, const KqAgentItem *i, KqTime now)
{
  if (kq_admit_view_take (&a->view, epoch, i->u.load.digest, i->u.load.nodes,
                          i->u.load.jobs_added, now))
    return;
  ++*a->ignored;
  kq_log (KQ_LOG_INFO, PART,
          "Ignoring a digest of the load that is older than the last one. epoch=%llu "
          "number=%llu last_epoch=%llu last_number=%llu last_age_ms=%lld",
          (unsigned long long)epoch, (unsigned long long)i->u.load.digest->number,
          (unsigned long long)a->view.epoch,
          (unsigned long long)a->view.last.digest.number,
          (long long)((now - a->view.at) / KQ_MS));
}

bool
kq_front_admit_doubts (KqFrontAdmit *a, const KqSpec *spec, uint64_t epoch, KqTime now,
                       KqFrontDoubt *doubt, KqBuf *query)
{
  KqAdmitQuery q = { .id = spec->id };
  const KqLoadRow *row;
  if (!kq_job_load (spec, &q.load)
      || !kq_admit_view_doubts (&a->view, &q.load, epoch, now, &doubt->forecast))
    return false;
  row = kq_load_find (&a->view.last.digest, q.load.service, q.load.kind);
  doubt->rate = row->rate;
  doubt->cut_work = row->cut_work;
  doubt->digest_age_ms = (now - a->view.at) / KQ_MS;
  kq_histogram_add (&a->digest_age, now - a->view.at);
  ++*a->asked;
  kq_admit_query_pack (&q, query);
  return true;
}

void
kq_front_admit_count (KqFrontAdmit *a, KqStr stored)
{
  KqSpec spec;
  KqJobLoad load;
  if (!kq_spec_unpack (stored, &spec))
    return;
  kq_admit_view_count (&a->view, kq_job_load (&spec, &load) ? &load : NULL);
  kq_spec_clear (&spec);
}

void
kq_front_admit_ended (KqFrontAdmit *a, KqStr id, const KqFrontDoubt *doubt,
                      KqFrontAdmitResult result, int64_t retry_ms)
{
  const KqAdmitForecast *f = &doubt->forecast;
  ++*a->results[result];
  kq_log (KQ_LOG_INFO, PART,
          "A job seemed to be of no use. job=%.*s result=%s retry_ms=%lld wait_ms=%lld "
          "end_ms=%lld limit_ms=%lld rate=%lld cut=%lld digest_age_ms=%lld",
          KQ_STR_ARG (id), result_names[result], (long long)retry_ms,
          (long long)f->wait_ms, (long long)f->end_ms, (long long)f->limit_ms,
          (long long)doubt->rate, (long long)doubt->cut_work,
          (long long)doubt->digest_age_ms);
}
