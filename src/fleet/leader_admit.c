#include "fleet/leader_admit.h"

#include "agent/load_item.h"
#include "base/log.h"
#include "fleet/admission.h"
#include "request/admission.h"

#include <stdio.h>
#include <stdlib.h>

#define PART "leader"
/* A write that this leader hasn't been told of may be carried out for so long after an
 * election or the loss of a node. */
#define OPEN_WRITE_TIME (10 * KQ_SEC)
/* Longer forecast waits count as this; kq_retry_after_next advises less anyway. */
#define WAIT_MAX_MS 60000

typedef struct
{
  KqName service;
  KqLoadKind kind;
  KqRetryAfter times;
} RetryRow;

struct KqLeaderAdmit
{
  KqSched *sched;
  KqRand rand;
  RetryRow retries[KQ_LOAD_ROWS_MAX];
  size_t n_retries;
  KqTime unheard_until; /* until then unannounced writes may be outstanding */
  KqAdmitDigest sent;   /* the last digest that was sent */
  KqTime sent_at;       /* 0: none was */
  uint64_t n_sent;
  KqAgentItem item;
  uint64_t *digests;
  uint64_t *answers[KQ_ADMIT_ANSWERS];
};

KqLeaderAdmit *
kq_leader_admit_new (KqSched *sched, KqCounters *counters)
{
  KqLeaderAdmit *a = kq_alloc (sizeof *a);
  char labels[64];
  a->sched = sched;
  a->rand = kq_rand (kq_rand_system ());
  a->digests = kq_counter (
      counters, "kq_load_digests_sent_total", "",
      "Digests of the load that this node has sent to all nodes as leader.");
  for (int i = 0; i < KQ_ADMIT_ANSWERS; i++)
    {
      snprintf (labels, sizeof labels, "result=\"%s\"",
                kq_admit_answer_name ((KqAdmitAnswer)i));
      a->answers[i]
          = kq_counter (counters, "kq_admission_answers_total", labels,
                        "Answers to nodes that asked whether to refuse a job for load.");
    }
  return a;
}

void
kq_leader_admit_free (KqLeaderAdmit *a)
{
  free (a);
}

void
kq_leader_admit_note_unheard (KqLeaderAdmit *a, KqTime now)
{
  a->unheard_until = now + OPEN_WRITE_TIME;
}

void
kq_leader_admit_note_write (KqLeaderAdmit *a, KqStr id, bool over, KqTime now)
{
  if (over)
    kq_refusals_note_not_written (kq_sched_refusals (a->sched), id, now);
  else if (kq_sched_state (a->sched, id) == KQ_JOB_UNKNOWN)
    kq_refusals_note_write (kq_sched_refusals (a->sched), id, now);
}

/* The times that were advised to clients of jobs of this service and kind. */
static KqRetryAfter *
find_retry_times (KqLeaderAdmit *a, const KqJobLoad *job)
{
  size_t i = 0;
  while (i < a->n_retries
         && !(a->retries[i].kind == job->kind
              && kq_str_eq (kq_name_str (&a->retries[i].service), job->service)))
    i++;
  if (i == KQ_LOAD_ROWS_MAX)
    return &a->retries[0].times;
  if (i == a->n_retries)
    a->retries[a->n_retries++]
        = (RetryRow){ .service = kq_name (job->service), .kind = job->kind };
  return &a->retries[i].times;
}

/* Records the refusal and returns when the client may come back. */
static KqTime
refuse (KqLeaderAdmit *a, const KqAdmitQuery *q, const KqAdmitForecast *f, KqTime now)
{
  int64_t in_time_ms = f->in_time_ms < WAIT_MAX_MS ? f->in_time_ms : WAIT_MAX_MS;
  KqTime wait = kq_retry_after_next (find_retry_times (a, &q->load), in_time_ms * KQ_MS,
                                     f->interval_us, now, &a->rand);
  KqRefusal r = { .return_at = now + wait,
                  .end_ms = f->end_ms,
                  .wait_ms = f->wait_ms,
                  .limit_ms = f->limit_ms };
  kq_refusals_add (kq_sched_refusals (a->sched), q->id, &r, now);
  return r.return_at;
}

int64_t
kq_leader_admit_answer (KqLeaderAdmit *a, const KqLoadDigest *load, KqStr about,
                        KqTime now)
{
  KqRefusals *refusals = kq_sched_refusals (a->sched);
  KqAdmitForecast f = { 0 };
  KqAdmitQuery q;
  KqAdmitCase c;
  KqAdmitAnswer answer;
  const KqLoadRow *row;
  int64_t retry_ms = -1;
  if (!kq_admit_query_unpack (about, &q))
    {
      kq_log (KQ_LOG_ERROR, PART, "A question can't be read. error=%d bytes=%zu",
              KQ_ERR_FRAME_FORMAT, about.len);
      return -1;
    }
  row = kq_load_find (load, q.load.service, q.load.kind);
  c = (KqAdmitCase){ .known = kq_sched_state (a->sched, q.id) != KQ_JOB_UNKNOWN,
                     .has_open_write = kq_refusals_has_open_write (refusals, q.id, now),
                     .settled = kq_sched_settled (a->sched) && now >= a->unheard_until,
                     .load = load,
                     .refusal = kq_refusals_find (refusals, q.id, now),
                     .newcomer_at
                     = kq_refusals_newcomer_at (refusals, q.load.service, q.load.kind) };
  answer = kq_admit_decide (&c, &q.load, now, &f);
  if (answer == KQ_ADMIT_REFUSE)
    retry_ms = (refuse (a, &q, &f, now) - now + KQ_MS - 1) / KQ_MS;
  else if (answer == KQ_ADMIT_REFUSE_EARLY)
    retry_ms = (c.refusal->return_at - now + KQ_MS - 1) / KQ_MS;
  if (retry_ms > 0) /* until the node reports the refusal */
    kq_refusals_note_asked (refusals, q.id, now);
  else if (answer != KQ_ADMIT_ACCEPT_KNOWN) /* the node's announcement comes later */
    kq_refusals_note_write (refusals, q.id, now);
  ++*a->answers[answer];
  kq_log (KQ_LOG_INFO, PART,
          "Asked whether to refuse a job. job=%.*s answer=%s retry_ms=%lld kind=%s "
          "work=%lld wait_ms=%lld end_ms=%lld limit_ms=%lld rate=%lld cut=%lld "
          "account=%llu",
          KQ_STR_ARG (q.id), kq_admit_answer_name (answer), (long long)retry_ms,
          kq_load_kind_name (q.load.kind), (long long)q.load.work, (long long)f.wait_ms,
          (long long)f.end_ms, (long long)f.limit_ms,
          (long long)(row != NULL ? row->rate : 0),
          (long long)(row != NULL ? row->cut_work : 0), (unsigned long long)load->number);
  return retry_ms;
}

bool
kq_leader_admit_may_send (const KqLeaderAdmit *a, KqTime now)
{
  return kq_admit_digest_may_be_sent (a->sent_at, now);
}

const KqAgentItem *
kq_leader_admit_send (KqLeaderAdmit *a, const KqLoadDigest *load, KqPeer *const *peers,
                      size_t n_peers, KqTime now)
{
  KqLoadDigest next = *load;
  uint32_t nodes = 1;
  if (!kq_admit_digest_is_due (&a->sent.digest, a->sent_at, load, now))
    return NULL;
  next.number = ++a->n_sent;
  kq_admit_digest_copy (&a->sent, &next);
  a->sent_at = now;
  ++*a->digests;
  a->item = (KqAgentItem){ .kind = KQ_AGENT_ITEM_LOAD };
  a->item.u.load.digest = &a->sent.digest;
  a->item.u.load.jobs_added = kq_sched_jobs_added (a->sched);
  for (size_t i = 0; i < n_peers; i++)
    nodes += peers[i] != NULL;
  a->item.u.load.nodes = nodes;
  for (size_t i = 0; i < n_peers; i++)
    if (peers[i] != NULL)
      kq_link_send_peer (peers[i], &a->item);
  return &a->item;
}
