#include "table/table.h"

#include <stdio.h>

/* The description of every field of every row kind, from which parsing, validation,
 * packing, printing and the manual page are derived. Packed rows hold the values in this
 * order: a new field is added at the end of its kind, with a default that keeps the old
 * behaviour; no field is ever removed or moved. */

#define AT(member) offsetof (KqRow, u.member)
#define INT(kind, name, member, min, max, fallback, meaning)                             \
  {                                                                                      \
    kind, name, KQ_FIELD_INT, AT (member), min, max, fallback, meaning                   \
  }
#define BOOL(kind, name, member, fallback, meaning)                                      \
  {                                                                                      \
    kind, name, KQ_FIELD_BOOL, AT (member), 0, 1, fallback, meaning                      \
  }
/* A size is three fields with a common prefix. The ranges allow for 100,000 workers of 64
 * cores and 250 GB, the largest worker known. */
#define CPU_MAX 6400000000LL
#define MEMORY_MAX 25600000000LL
#define ACCELERATORS_MAX 1000000
#define SIZE_MEMBER(kind, name, member, part, max, fallback, meaning)                    \
  {                                                                                      \
    kind, name, KQ_FIELD_INT, AT (member) + offsetof (KqSize, part), 0, max, fallback,   \
        meaning                                                                          \
  }
#define SIZE(kind, prefix, member, cpu, memory, devices, meaning)                        \
  SIZE_MEMBER (kind, prefix "cpu_milli", member, cpu_milli, CPU_MAX, cpu,                \
               meaning " Processors, in thousandths of a core."),                        \
      SIZE_MEMBER (kind, prefix "memory_mb", member, memory_mb, MEMORY_MAX, memory,      \
                   meaning " Memory, in MB."),                                           \
      SIZE_MEMBER (kind, prefix "accelerators", member, accelerators, ACCELERATORS_MAX,  \
                   devices, meaning " Accelerators, in whole devices.")

#define DAY_MS (24 * 3600 * 1000LL)

static const KqRowField service_fields[] = {
  INT (KQ_ROW_SERVICE, "weight", service.weight, 1, 1000, 100,
       "Share of slots against other services."),
  INT (KQ_ROW_SERVICE, "deadline_ms", service.deadline_ms, 1, DAY_MS, 5000,
       "Deadline of a request that names none."),
  INT (KQ_ROW_SERVICE, "queue_max", service.queue_max, 0, 100000, 1000,
       "Requests waiting per owner."),
  INT (KQ_ROW_SERVICE, "in_flight_max", service.in_flight_max, 0, 100000, 0,
       "Requests sent to runners per owner; 0: only slots limit."),
  INT (KQ_ROW_SERVICE, "caller_percent", service.caller_percent, 1, 100, 50,
       "Most of the queue that one caller may fill."),
  INT (KQ_ROW_SERVICE, "short_percent", service.short_percent, 0, 90, 25,
       "Slots kept free of long requests."),
  INT (KQ_ROW_SERVICE, "retry_percent", service.retry_percent, 0, 100, 10,
       "Retries in percent of first tries."),
  INT (KQ_ROW_SERVICE, "claim_ttl_s", service.claim_ttl_s, 1, 7 * 24 * 3600, 600,
       "How long an idempotency key is remembered."),
  INT (KQ_ROW_SERVICE, "silent_ms", service.silent_ms, 100, DAY_MS, 10000,
       "A runner's answer without a byte for so long is lost."),
  INT (KQ_ROW_SERVICE, "body_max_mb", service.body_max_mb, 1, 10000, 200,
       "Largest body of a request or an answer."),
  BOOL (KQ_ROW_SERVICE, "non_idempotent", service.non_idempotent, 0,
        "Every method is non-idempotent, not only POST and PATCH."),
  BOOL (KQ_ROW_SERVICE, "far", service.far, 0, "May be sent to the far region."),
  { KQ_ROW_SERVICE, "home", KQ_FIELD_NAME, AT (service.home), 0, 0, 0,
    "Region of its idempotency claims; empty: the entry node's." },
  BOOL (KQ_ROW_SERVICE, "admission", service.admission, 1,
        "Safeguard: refuse on arrival what can't meet its deadline."),
  BOOL (KQ_ROW_SERVICE, "fairness", service.fairness, 1,
        "Safeguard: fair shares between callers."),
  BOOL (KQ_ROW_SERVICE, "short_slots", service.short_slots, 1,
        "Safeguard: slots kept free for short requests."),
  BOOL (KQ_ROW_SERVICE, "choice", service.choice, 1,
        "Safeguard: the better of two targets, not the next one."),
  BOOL (KQ_ROW_SERVICE, "limit", service.limit, 1,
        "Safeguard: adaptive limit for each runner."),
  BOOL (KQ_ROW_SERVICE, "outlier", service.outlier, 1,
        "Safeguard: less work for slow and failing runners."),
  BOOL (KQ_ROW_SERVICE, "retry", service.retry, 1,
        "Safeguard: retries only within the retry budget."),
};

static const KqRowField class_fields[] = {
  SIZE (KQ_ROW_CLASS, "", job_class.size, 1000, 1024, 0,
        "Size of a job that declares none."),
  INT (KQ_ROW_CLASS, "run_ms", job_class.run_ms, 0, 30 * DAY_MS, 0,
       "Expected run time; 0: unknown."),
  INT (KQ_ROW_CLASS, "checkpoint_ms", job_class.checkpoint_ms, 0, 30 * DAY_MS, 0,
       "How often tasks of the class checkpoint; 0: never."),
  INT (KQ_ROW_CLASS, "attempts_max", job_class.attempts_max, 1, 100, 3,
       "Failures before the job fails."),
  BOOL (KQ_ROW_CLASS, "latency_critical", job_class.latency_critical, 0,
        "Tasks of the class are latency-critical."),
  BOOL (KQ_ROW_CLASS, "movable", job_class.movable, 1, "May be evicted for others."),
};

static const KqRowField team_fields[] = {
  INT (KQ_ROW_TEAM, "weight", team.weight, 1, 1000, 100,
       "Share of what nobody is guaranteed."),
  SIZE (KQ_ROW_TEAM, "guaranteed_", team.guaranteed, 0, 0, 0, "Guaranteed to the team."),
  SIZE (KQ_ROW_TEAM, "limit_", team.limit, 0, 0, 0,
        "The team never gets more; 0: no limit."),
};

static const KqRowField worker_fields[] = {
  { KQ_ROW_WORKER, "mode", KQ_FIELD_MODE, AT (worker.mode), 0, KQ_WORKER_EVACUATE,
    KQ_WORKER_NORMAL, "drain: no new work; evacuate: what runs is moved, too." },
  SIZE (KQ_ROW_WORKER, "reserved_", worker.reserved, 0, 0, 0, "Kept free of tasks."),
};

static const KqRowField caller_fields[] = {
  { KQ_ROW_CALLER, "token", KQ_FIELD_TOKEN, AT (caller.token), 16, KQ_NAME_MAX, 0,
    "Requests in the caller's name must show it; empty: none. Never printed." },
  INT (KQ_ROW_CALLER, "weight", caller.weight, 1, 1000, 100, "Share within a service."),
};

static const KqRowField policy_fields[] = {
  INT (KQ_ROW_POLICY, "urgent_percent", policy.urgent_percent, 0, 50, 5,
       "Room kept for urgent jobs."),
  INT (KQ_ROW_POLICY, "evictions_max", policy.evictions_max, 0, 100, 3,
       "Evictions that one job may suffer."),
  INT (KQ_ROW_POLICY, "held_percent", policy.held_percent, 0, 50, 10,
       "Most workers held back as bad at a time."),
  BOOL (KQ_ROW_POLICY, "learned_sizes", policy.learned_sizes, 1,
        "Plan with measured sizes."),
  BOOL (KQ_ROW_POLICY, "interference", policy.interference, 1,
        "Keep apart classes that disturb each other."),
  BOOL (KQ_ROW_POLICY, "throttle", policy.throttle, 1, "Throttle before moving."),
  BOOL (KQ_ROW_POLICY, "quotas", policy.quotas, 1, "Enforce the teams' quotas."),
  BOOL (KQ_ROW_POLICY, "eviction", policy.eviction, 1, "Evict for urgent jobs."),
  BOOL (KQ_ROW_POLICY, "bad_workers", policy.bad_workers, 1,
        "Hold back workers on which too much fails."),
  BOOL (KQ_ROW_POLICY, "spread", policy.spread, 1, "Spread a job class over racks."),
};

#define LEN(a) ((int)(sizeof (a) / sizeof (a)[0]))

const KqRowField *
kq_row_fields (KqRowKind kind, int *n)
{
  switch (kind)
    {
    case KQ_ROW_SERVICE:
      *n = LEN (service_fields);
      return service_fields;
    case KQ_ROW_CLASS:
      *n = LEN (class_fields);
      return class_fields;
    case KQ_ROW_TEAM:
      *n = LEN (team_fields);
      return team_fields;
    case KQ_ROW_WORKER:
      *n = LEN (worker_fields);
      return worker_fields;
    case KQ_ROW_CALLER:
      *n = LEN (caller_fields);
      return caller_fields;
    case KQ_ROW_POLICY:
      *n = LEN (policy_fields);
      return policy_fields;
    case KQ_ROW_KINDS:
      break;
    }
  *n = 0;
  return NULL;
}

const KqRowField *
kq_row_field (KqRowKind kind, KqStr name)
{
  int n;
  const KqRowField *f = kq_row_fields (kind, &n);
  for (int i = 0; i < n; i++)
    if (kq_str_eq (name, kq_str (f[i].name)))
      return &f[i];
  return NULL;
}

void
kq_row_field_allowed (const KqRowField *f, char *out, size_t size)
{
  switch (f->type)
    {
    case KQ_FIELD_INT:
      snprintf (out, size, "%lld to %lld", (long long)f->min, (long long)f->max);
      break;
    case KQ_FIELD_BOOL:
      snprintf (out, size, "true or false");
      break;
    case KQ_FIELD_NAME:
      snprintf (out, size, "empty, or 1 to %d of a-z A-Z 0-9 . _ -", KQ_NAME_MAX);
      break;
    case KQ_FIELD_TOKEN:
      snprintf (out, size, "empty, or %d to %d of a-z A-Z 0-9 . _ -", (int)f->min,
                (int)f->max);
      break;
    case KQ_FIELD_MODE:
      snprintf (out, size, "normal, drain or evacuate");
      break;
    }
}
