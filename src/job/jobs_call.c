#include "job/jobs_impl.h"

#include <stdlib.h>

/* Most jobs in one answer to a list call. The answer must fit into one frame; a job takes
 * about 600 bytes. */
#define LIST_MAX 1000
/* If at most this many jobs are queued, a new job is scheduled at once, so that its
 * ACCEPTED and ASSIGNED records share a commit; otherwise the job waits for the next
 * tick. */
#define IMMEDIATE_START_QUEUE_MAX 16

/* New jobs are refused while the journal's commits lag behind by more than this. The
 * store counts as unreachable only after seconds without an answer; jobs accepted until
 * then would wait for their commit, and their callers for an answer that may never come,
 * although they could be told at once that the job isn't run. The bound is twice what a
 * group commit takes if the store answers in 100 ms, including the wait for the commit
 * rate limit. */
#define JOURNAL_LAG_MAX KQ_SEC

static bool
spec_is_valid (const KqJobSpec *s)
{
  return s->size.cpu_milli >= 0 && s->size.memory_mb >= 0 && s->size.accelerators >= 0
         && s->run_ms >= 0 && s->priority >= KQ_PRIORITY_LOW
         && s->priority <= KQ_PRIORITY_URGENT && s->class_name.len > 0;
}

/* Returns KQ_OK if the new job can be accepted, or why not. The caller has already
 * handled repeated submissions. */
static KqResult
check_submission (const KqJobs *j, const KqMsgJobSubmit *m, KqTime now)
{
  KqSize size;
  if (m->shard != j->c.shard || KQ_JOB_SHARD (m->job) != j->c.shard
      || !spec_is_valid (&m->spec))
    return KQ_ERR_JOB_BAD;
  if (j->table == NULL)
    return KQ_ERR_TABLE_NONE;
  if (kq_table_find (j->table, KQ_ROW_TEAM, kq_name_str (&m->spec.team)) == NULL)
    return KQ_ERR_TEAM_UNKNOWN;
  size = kq_jobs_declared_size (j, &m->spec);
  if (size.cpu_milli <= 0 || size.memory_mb <= 0)
    return KQ_ERR_JOB_BAD;
  if (!j->store_ok || kq_log_port_lag (j->log, now) > JOURNAL_LAG_MAX)
    return KQ_ERR_NOT_COMMITTED;
  return j->queue.n >= KQ_JOBS_QUEUE_MAX ? KQ_ERR_JOB_QUEUE_FULL : KQ_OK;
}

/* The job that this submission repeats, or NULL. If the answer was lost, the asking node
 * repeats the submission with the same id, and a caller with the same idempotency key. */
static KqJob *
find_repeated (const KqJobs *j, const KqMsgJobSubmit *m)
{
  KqJob *job = kq_job_find (&j->set, m->job);
  if (job == NULL && m->spec.key.len > 0)
    job = kq_job_find_key (&j->set, &m->spec.team, &m->spec.key);
  return job;
}

KqSeq
kq_jobs_submit (KqJobs *j, const KqMsgJobSubmit *m, KqTime now, KqOutbox *out)
{
  KqJob *job = NULL;
  KqResult code = KQ_ERR_NOT_OWNER;
  json_t *json = NULL;
  j->send_after = 0;
  if (!j->open)
    goto answer;
  job = find_repeated (j, m);
  if (job != NULL)
    {
      code = kq_job_spec_eq (&job->spec, &m->spec) ? KQ_OK : KQ_ERR_JOB_KEY_MISMATCH;
      kq_jobs_send_after (j, job->seq);
      goto answer;
    }
  code = check_submission (j, m, now);
  if (code != KQ_OK)
    goto answer;
  job = kq_jobs_accept (j, m->job, &m->spec, now);
  if (!kq_jobs_update_unplaceable (j, job, now)
      && j->queue.n <= IMMEDIATE_START_QUEUE_MAX)
    kq_jobs_schedule (j, 1, now, out);

answer:
  if (code == KQ_OK)
    json = kq_jobs_job_json (j, job, now);
  kq_jobs_answer (j, m->reply_to, m->call, code, json, out);
  return j->send_after;
}

static KqResult
cancel_job (KqJobs *j, KqJob *job, KqTime now, KqOutbox *out)
{
  kq_jobs_send_after (j, job->seq);
  /* The move hasn't been confirmed, so either shard may have the job: the caller has to
   * try again. */
  if (job->state == KQ_JOB_STATE_MOVING)
    return KQ_ERR_NO_OWNER;
  if (kq_job_ended (job))
    return job->state == KQ_JOB_STATE_CANCELLED ? KQ_OK : KQ_ERR_JOB_ENDED;
  if (job->cancel_wanted)
    return KQ_OK;
  if (job->state == KQ_JOB_STATE_QUEUED)
    {
      kq_jobs_end (j, job, KQ_JOB_STATE_CANCELLED, KQ_OK, 0, now);
      return KQ_OK;
    }
  kq_jobs_request_cancel (j, job, now);
  kq_jobs_send_stop (j, job, now, out);
  return KQ_OK;
}

static int
by_id (const void *a, const void *b)
{
  const KqJob *x = *(KqJob *const *)a;
  const KqJob *y = *(KqJob *const *)b;
  return x->id < y->id ? -1 : x->id > y->id;
}

static json_t *
list_jobs (KqJobs *j, const KqMsgJobCall *m, KqTime now)
{
  size_t n = 0;
  size_t count_max = m->limit > 0 ? MIN (m->limit, LIST_MAX) : LIST_MAX;
  size_t size = g_hash_table_size (j->set.by_id) + 1;
  const KqJob **jobs = kq_alloc (size * sizeof (KqJob *));
  json_t *json = json_array ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, j->set.by_id);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((const KqJob *)value)->id > m->job
        && ((const KqJob *)value)->state != KQ_JOB_STATE_MOVED)
      jobs[n++] = value;
  qsort ((void *)jobs, n, sizeof (KqJob *), by_id);
  for (size_t i = 0; i < n && i < count_max; i++)
    {
      kq_jobs_send_after (j, jobs[i]->seq);
      json_array_append_new (json, kq_jobs_job_json (j, jobs[i], now));
    }
  free ((void *)jobs);
  return json;
}

/* Passes a call about a job that now belongs to another shard on to that shard's owner,
 * which answers the asker. */
static void
forward_call (const KqJobs *j, const KqMsgJobCall *m, const KqJob *job, KqOutbox *out)
{
  KqMsg f = { .kind = KQ_MSG_JOB_CALL, .u.job_call = *m };
  f.u.job_call.shard = job->to_shard;
  kq_outbox_send (out, j->c.self, &f);
}

KqSeq
kq_jobs_call (KqJobs *j, const KqMsgJobCall *m, KqTime now, KqOutbox *out)
{
  KqJob *job = kq_job_find (&j->set, m->job);
  KqResult code = KQ_OK;
  json_t *json = NULL;
  j->send_after = 0;
  if (!j->open)
    code = KQ_ERR_NOT_OWNER;
  else if (job == NULL && m->kind != KQ_JOB_LIST)
    code = KQ_ERR_JOB_UNKNOWN;
  if (code != KQ_OK)
    {
      kq_jobs_answer (j, m->reply_to, m->call, code, NULL, out);
      return 0;
    }
  if (job != NULL && m->kind != KQ_JOB_LIST && job->state == KQ_JOB_STATE_MOVED)
    {
      kq_jobs_send_after (j, job->seq);
      forward_call (j, m, job, out);
      return j->send_after;
    }
  switch (m->kind)
    {
    case KQ_JOB_GET:
      kq_jobs_send_after (j, job->seq);
      json = kq_jobs_job_json (j, job, now);
      break;
    case KQ_JOB_CANCEL:
      code = cancel_job (j, job, now, out);
      json = kq_jobs_job_json (j, job, now);
      break;
    case KQ_JOB_LIST:
      json = list_jobs (j, m, now);
      break;
    case KQ_JOB_EXPLAIN:
      kq_jobs_send_after (j, job->seq);
      json = kq_jobs_explain_json (j, job, now);
      break;
    }
  kq_jobs_answer (j, m->reply_to, m->call, code, json, out);
  return j->send_after;
}
