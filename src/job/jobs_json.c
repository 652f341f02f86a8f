#include "job/jobs_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static json_t *
name_json (const KqName *n)
{
  return json_stringn (n->bytes, n->len);
}

static json_t *
size_json (KqSize s)
{
  return json_pack ("{s:I,s:I,s:I}", "cpu_milli", (json_int_t)s.cpu_milli, "memory_mb",
                    (json_int_t)s.memory_mb, "accelerators", (json_int_t)s.accelerators);
}

static const char *
state_name (const KqJob *job)
{
  switch (job->state)
    {
    case KQ_JOB_STATE_QUEUED:
      if (job->blocked_reason == KQ_ERR_JOB_UNPLACEABLE)
        return "unplaceable";
      return job->attempt > 0 ? "requeued" : "queued";
    case KQ_JOB_STATE_ASSIGNED:
      if (job->phase == KQ_JOB_PHASE_EVICTING)
        return "evicting";
      return job->phase == KQ_JOB_PHASE_RUNNING || job->phase == KQ_JOB_PHASE_STOPPING
                 ? "running"
                 : "assigned";
    case KQ_JOB_STATE_FINISHED:
      return "finished";
    case KQ_JOB_STATE_FAILED:
      return "failed";
    case KQ_JOB_STATE_CANCELLED:
      return "cancelled";
    case KQ_JOB_STATE_MOVING:
      return "moving";
    case KQ_JOB_STATE_MOVED:
      return "moved";
    }
  return "unknown";
}

static const char *const priorities[] = { "low", "normal", "high", "urgent" };

json_t *
kq_jobs_job_json (const KqJobs *j, const KqJob *job, KqTime now)
{
  char id[20];
  json_t *json = json_object ();
  const KqWorker *w = kq_workers_find (&j->workers, job->worker);
  snprintf (id, sizeof id, "%016" PRIx64, job->id);
  json_object_set_new (json, "id", json_string (id));
  json_object_set_new (json, "state", json_string (state_name (job)));
  json_object_set_new (json, "team", name_json (&job->spec.team));
  json_object_set_new (json, "class", name_json (&job->spec.class_name));
  if (job->spec.key.len > 0)
    json_object_set_new (json, "key", name_json (&job->spec.key));
  json_object_set_new (json, "priority",
                       json_string (priorities[job->spec.priority - 1]));
  json_object_set_new (json, "latency_critical",
                       json_boolean (job->spec.latency_critical));
  json_object_set_new (json, "declared", size_json (job->spec.size));
  json_object_set_new (json, "attempt", json_integer (job->attempt));
  json_object_set_new (json, "failures", json_integer (job->failures));
  json_object_set_new (json, "evictions", json_integer (job->evictions));
  json_object_set_new (json, "cancel_wanted", json_boolean (job->cancel_wanted));
  if (job->attempt > 0)
    {
      json_object_set_new (json, "size", size_json (job->size));
      if (w != NULL)
        json_object_set_new (json, "worker", name_json (&w->name));
    }
  if (job->state == KQ_JOB_STATE_QUEUED)
    json_object_set_new (json, "waiting_ms",
                         json_integer ((now - job->queued_at) / KQ_MS));
  if (job->state == KQ_JOB_STATE_QUEUED && job->blocked_reason != KQ_OK)
    json_object_set_new (json, "reason",
                         json_string (kq_result_name (job->blocked_reason)));
  if (job->state == KQ_JOB_STATE_FINISHED)
    json_object_set_new (json, "run_ms", json_integer (job->run_us / 1000));
  return json;
}

json_t *
kq_jobs_explain_json (KqJobs *j, const KqJob *job, KqTime now)
{
  json_t *json = kq_jobs_job_json (j, job, now);
  KqSize need = kq_jobs_required_size (j, job);
  KqPlacer p = kq_jobs_placer (j, now);
  char reason[96];
  json_object_set_new (json, "needs", size_json (need));
  json_object_set_new (json, "last_change", json_string (kq_result_name (job->why)));
  json_object_set_new (json, "team_share",
                       json_real (kq_quota_share (&j->quota, job->team)));
  if (job->state != KQ_JOB_STATE_QUEUED)
    return json;
  json_object_set_new (json, "jobs_waiting", json_integer ((json_int_t)j->queue.n));
  if (!kq_place_possible (&p, &need, (KqSize){ 0 }, reason, sizeof reason))
    json_object_set_new (json, "explanation", json_string (reason));
  else if (job->blocked_reason != KQ_OK)
    json_object_set_new (json, "explanation",
                         json_string (kq_result_meaning (job->blocked_reason)));
  else
    json_object_set_new (json, "explanation", json_string ("Its turn has not come."));
  return json;
}

void
kq_jobs_answer (const KqJobs *j, KqNodeId to, uint64_t call, KqResult code, json_t *json,
                KqOutbox *out)
{
  KqMsg m = { .kind = KQ_MSG_JOB_REPLY };
  char *text = json != NULL ? json_dumps (json, JSON_COMPACT) : NULL;
  (void)j;
  m.u.answer.call = call;
  m.u.answer.code = code;
  m.u.answer.json = kq_str (text);
  kq_outbox_send (out, to, &m);
  free (text);
  json_decref (json);
}

static const char *
lease_name (KqLeaseState s)
{
  switch (s)
    {
    case KQ_LEASE_UNKNOWN:
      return "unknown";
    case KQ_LEASE_ASKED:
      return "asked";
    case KQ_LEASE_LIVE:
      return "live";
    case KQ_LEASE_LAPSED:
      return "lapsed";
    case KQ_LEASE_SHUT_OUT:
      return "shut-out";
    }
  return "unknown";
}

json_t *
kq_jobs_workers (const KqJobs *j, KqTime now)
{
  static const char *const hosts[] = { "live", "leaving", "gone" };
  json_t *all = json_array ();
  for (uint32_t i = 0; i < j->workers.n; i++)
    {
      const KqWorker *w = j->workers.all[i];
      json_t *json = json_object ();
      json_object_set_new (json, "name", name_json (&w->name));
      json_object_set_new (json, "depot", name_json (&w->depot));
      json_object_set_new (json, "rack", name_json (&w->rack));
      json_object_set_new (json, "host", json_string (hosts[w->host]));
      json_object_set_new (json, "lease", json_string (lease_name (w->lease.state)));
      json_object_set_new (json, "takes_work",
                           json_boolean (kq_worker_may_start (w, &j->times, now)));
      json_object_set_new (json, "size", size_json (w->capacity));
      json_object_set_new (json, "free", size_json (kq_worker_free (w)));
      json_object_set_new (json, "tasks", json_integer (w->n_jobs));
      json_array_append_new (all, json);
    }
  return all;
}
