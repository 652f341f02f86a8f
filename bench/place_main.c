/* place: measures the placement decisions of src/job under seeded load.
 *
 * For each deployment it runs the full policy, the policy with each part off, and two
 * simple baselines with the same seed in the same model (place_model.h). Then it measures
 * how far shards exceed a shared quota, and the cost of a decision by workers. */

#include "place_model.h"

#include "base/log.h"
#include "job/place.h"
#include "job/quota.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

// clang-format off
static const KqDeployment deployments[] = {
  { "gasilnik", 50, { 16000, 60000, 0 }, 8, 1, 0, 3, 90, 1.0, 120, 8, 5, 600, 900 },
  { "granite", 65, { 64000, 250000, 0 }, 11, 1, 0, 4, 130, 4.0, 120, 8, 5, 600, 900 },
  { "target", 4100, { 32000, 128000, 0 }, 40, 20, 1500, 51, 19000, 1.0, 35, 200, 0.1, 150, 45 },
};
// clang-format on

typedef struct
{
  const char *name;
  int place_rule;
  size_t off;    /* offset in KqPolicyRow of the part that is off; 0: none */
  bool baseline; /* all parts off */
} Variant;

#define OFF(field) offsetof (KqPolicyRow, field)

static const Variant variants[] = {
  { "full", KQ_PLACE_SCORED, 0, false },
  { "no-learned-sizes", KQ_PLACE_SCORED, OFF (learned_sizes), false },
  { "no-interference", KQ_PLACE_SCORED, OFF (interference), false },
  { "no-throttle", KQ_PLACE_SCORED, OFF (throttle), false },
  { "no-quotas", KQ_PLACE_SCORED, OFF (quotas), false },
  { "no-eviction", KQ_PLACE_SCORED, OFF (eviction), false },
  { "no-bad-workers", KQ_PLACE_SCORED, OFF (bad_workers), false },
  { "no-spread", KQ_PLACE_SCORED, OFF (spread), false },
  { "first-fit", KQ_PLACE_FIRST_FIT, 0, true },
  { "least-loaded", KQ_PLACE_LEAST_LOADED, 0, true },
};
#define N_VARIANTS (sizeof variants / sizeof variants[0])

typedef struct
{
  double p99;
  double batch;
  double urgent;
  uint64_t evicted;
  uint64_t throttles;
  uint64_t breaches;
} Result;

/* The quantile `part` (0 to 1) of the slowdown over all service seconds. */
static double
slowdown_of (const KqModel *m, double part)
{
  uint64_t total = 0;
  uint64_t sum = 0;
  int i;
  for (i = 0; i < 1000; i++)
    total += m->slowdowns[i];
  for (i = 0; i < 999; i++)
    if ((double)(sum += m->slowdowns[i]) >= part * (double)total)
      break;
  return 1 + (i + 1) / 100.0;
}

/* The largest share of a service's tasks that is in one rack. */
static double
rack_share (const KqModel *m)
{
  double worst = 0;
  for (int c = 0; c < KQ_MODEL_SERVICES; c++)
    {
      size_t racks = m->d->workers / m->d->per_rack + 1;
      size_t *count = kq_alloc (racks * sizeof *count);
      size_t total = 0;
      for (size_t i = 0; i < m->d->workers; i++)
        for (size_t n = 0; n < m->rig.workers[i].n_tasks; n++)
          if (kq_model_class (&m->rig.workers[i].tasks[n].report.class_name) == c
              && m->rig.workers[i].tasks[n].report.state == KQ_TASK_RUNNING)
            {
              count[i / m->d->per_rack]++;
              total++;
            }
      for (size_t i = 0; i < racks; i++)
        worst = fmax (worst, (double)count[i] / (double)MAX (total, 1));
      free (count);
    }
  return worst;
}

static int
compare_values (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static double
urgent_wait (KqModel *m, double part)
{
  if (m->n_urgent == 0)
    return 0;
  qsort (m->urgent_waits, m->n_urgent, sizeof *m->urgent_waits, compare_values);
  return m->urgent_waits[(size_t)(part * (double)(m->n_urgent - 1))];
}

static KqPolicyRow
policy_of (const Variant *v)
{
  KqPolicyRow p = kq_row_default (KQ_ROW_POLICY, KQ_STR ("default")).u.policy;
  if (v->off > 0)
    *(bool *)((char *)&p + v->off) = false;
  if (v->baseline)
    p = (KqPolicyRow){ .evictions_max = p.evictions_max };
  return p;
}

/* Prints store writes and worker calls per start, over the whole run. */
static void
print_traffic (const KqModel *m)
{
  const KqRig *r = &m->rig;
  double starts = (double)r->calls[KQ_WORKER_START];
  double bytes = 0;
  for (size_t i = 0; i < r->log.n_records; i++)
    bytes += (double)r->log.records[i].body.len;
  printf ("%-9s traffic: starts %.0f commits %llu (%.2f a start) records %.2f a start of "
          "%.0f bytes, worker calls a start: START 1, STOP %.3f, CHECKPOINT %.3f, "
          "THROTTLE %.3f, LEASE %.2f\n",
          m->d->name, starts, (unsigned long long)r->commits, (double)r->commits / starts,
          (double)r->log.n_records / starts, bytes / (double)r->log.n_records,
          (double)r->calls[KQ_WORKER_STOP] / starts,
          (double)r->calls[KQ_WORKER_CHECKPOINT] / starts,
          (double)r->calls[KQ_WORKER_THROTTLE] / starts,
          (double)r->calls[KQ_WORKER_LEASE] / starts);
}

static Result
run_one (const KqDeployment *d, const Variant *v, uint64_t seed)
{
  static KqModel m;
  KqPolicyRow policy = policy_of (v);
  Result r;
  KqJobsAccount a;
  kq_model_init (&m, d, &policy, v->place_rule, seed);
  kq_model_run (&m);
  a = kq_jobs_account (m.rig.jobs);
  r.p99 = slowdown_of (&m, 0.99);
  r.batch = m.batch_done / m.batch_bound;
  r.urgent = urgent_wait (&m, 0.99);
  r.evicted = a.evicted - m.evicted_before;
  r.throttles = m.rig.calls[KQ_WORKER_THROTTLE];
  r.breaches = m.breaches;
  printf ("%-9s %-17s p50 %5.2f p99 %5.2f  batch %.3f  evicted %5llu throttled %5llu "
          "killed %5llu lost %7.0f core-s  quota error %.3f  rack %.2f failed %llu  "
          "urgent p99 %6.2f s (%zu)  "
          "running %llu unplaceable %llu starts/s %.0f breaches %llu\n",
          d->name, v->name, slowdown_of (&m, 0.5), r.p99, r.batch,
          (unsigned long long)r.evicted, (unsigned long long)r.throttles,
          (unsigned long long)m.killed, m.lost, m.quota_error / m.quota_samples,
          rack_share (&m), (unsigned long long)m.failed, r.urgent, m.n_urgent,
          (unsigned long long)a.running, (unsigned long long)a.unplaceable,
          (double)m.starts / d->measured_s, (unsigned long long)m.breaches);
  if (v->off == 0 && !v->baseline)
    print_traffic (&m);
  fflush (stdout);
  kq_model_clear (&m);
  return r;
}

static void
result (const char *deployment, const char *name, double value, const char *unit,
        double limit, bool ok)
{
  printf ("RESULT place.%s.%s %.4g %s %.4g %s\n", deployment, name, value, unit, limit,
          ok ? "ok" : "short");
}

static void
run_deployment (const KqDeployment *d, uint64_t seed, size_t last)
{
  Result r[N_VARIANTS] = { 0 };
  const Result *full = &r[0];
  const Result *first = &r[N_VARIANTS - 2];
  uint64_t breaches = 0;
  double inflation;
  double batch;
  for (size_t i = 0; i < N_VARIANTS; i++)
    if (i < last || i == N_VARIANTS - 2)
      {
        r[i] = run_one (d, &variants[i], seed);
        breaches += r[i].breaches;
      }
  inflation = (full->p99 - 1) / (first->p99 - 1);
  batch = full->batch / first->batch;
  result (d->name, "p99_inflation_of_first_fit", inflation, "ratio", 0.5,
          inflation <= 0.5);
  result (d->name, "batch_of_first_fit", batch, "ratio", 0.95, batch >= 0.95);
  result (d->name, "throttles_before_evictions",
          (double)full->throttles - (double)full->evicted, "count", 0,
          full->throttles >= full->evicted);
  result (d->name, "urgent_p99", full->urgent, "s", 1.6, full->urgent < 1.6);
  result (d->name, "breaches", (double)breaches, "worker-s", 0, breaches == 0);
}

/* CPU time of this process; wall time would depend on other load of the machine. */
static double
cpu_ns (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

/* Nanoseconds per decision (submit, place, record, answer) while the workers fill up. */
static double
decision_cost (size_t workers, double *bytes_worker, double *bytes_job)
{
  KqRig r;
  KqSize whole = { 32000, 128000, 0 };
  size_t n = workers * 15;
  size_t before = mallinfo2 ().uordblks;
  size_t with_workers;
  size_t log_bytes;
  double start;
  double ns;
  kq_rig_init (&r, workers, whole, 40, 1);
  kq_rig_run (&r, KQ_SEC);
  with_workers = mallinfo2 ().uordblks;
  *bytes_worker = (double)(with_workers - before) / (double)workers;
  start = cpu_ns ();
  for (size_t i = 1; i <= n; i++)
    {
      KqJobSpec s = kq_rig_spec ("plan", i % 3 ? "route" : "seal",
                                 (KqSize){ 1000 + (int64_t)(i % 7) * 300, 4096, 0 });
      KqMsgJobSubmit m = { .call = i, .reply_to = 7, .shard = 1, .spec = s };
      KqOutbox out;
      m.job = ((KqJobId)1 << 48) | i;
      kq_outbox_init (&out);
      kq_jobs_submit (r.jobs, &m, r.now, &out);
      kq_outbox_free (&out);
    }
  ns = (cpu_ns () - start) / (double)n;
  log_bytes = 0;
  for (size_t i = 0; i < r.log.n_records; i++)
    log_bytes += r.log.records[i].body.len + 17;
  log_bytes += r.log.capacity * sizeof *r.log.records;
  *bytes_job = (double)(mallinfo2 ().uordblks - with_workers - log_bytes) / (double)n;
  printf ("decisions workers %zu jobs %zu running %llu ns %.0f bytes/worker %.0f "
          "bytes/job %.0f\n",
          workers, n, (unsigned long long)kq_jobs_account (r.jobs).running, ns,
          *bytes_worker, *bytes_job);
  kq_rig_clear (&r);
  return ns;
}

static void
measure_cost (void)
{
  static const size_t sizes[] = { 64, 512, 1025, 4100 };
  double ns[4];
  double worker;
  double job;
  double node;
  for (int i = 0; i < 4; i++)
    ns[i] = decision_cost (sizes[i], &worker, &job);
  result ("cost", "placement_at_4100", ns[3] / 1000, "us", 20, ns[3] < 20000);
  result ("cost", "growth_64_to_4100", ns[3] / ns[0], "ratio", 64, ns[3] / ns[0] < 64);
  /* A node's share with 100 nodes: 41 workers, 660 tasks and as many queued jobs. */
  node = (41 * worker + 2 * 660 * job) / 1e6;
  result ("cost", "memory_of_node", node, "MB", 128, node < 128);
}

/* Measures how far the sum over eight shards exceeds one team's limit. Tasks end and are
 * replaced at a constant rate; each shard gets the others' use in digests every 0.5 s
 * that are 0.5 s old. */
static void
measure_overshoot (uint64_t seed)
{
  enum
  {
    SHARDS = 8,
    STEP_MS = 50,
    HEARTBEAT_STEPS = 10,
    LIMIT = 1000
  };
  KqQuota q[SHARDS] = { { 0 } };
  KqTeamDigest old[SHARDS] = { 0 };
  KqTeamDigest fresh[SHARDS] = { 0 };
  KqShardDigest d[SHARDS] = { { 0 } };
  KqSize one = { 1000, 0, 0 };
  KqName name = kq_name (KQ_STR ("t"));
  KqRand rand = kq_rand (seed);
  double most = 0;
  double mean = 0;
  double bound;
  int steps = 4000;
  for (uint32_t i = 0; i < SHARDS; i++)
    {
      kq_quota_find_or_add_team (&q[i], &name);
      q[i].teams[0].row = (KqTeamRow){ .weight = 1, .limit = { LIMIT * 1000, 0, 0 } };
      d[i] = (KqShardDigest){ .shard = i, .teams = &old[i], .n_teams = 1 };
      fresh[i].team = old[i].team = name;
    }
  for (int step = 0; step < steps; step++)
    {
      double used = 0;
      for (uint32_t i = 0; i < SHARDS; i++)
        {
          KqTeam *t = &q[i].teams[0];
          /* Demand of a shard changes about every 5 s; 64 tasks end a second in all. */
          if (kq_rand_below (&rand, 5000 / STEP_MS) == 0)
            t->own_wanted.cpu_milli = kq_rand_below (&rand, 4) ? 200000 : 0;
          if (t->used.cpu_milli > 0 && kq_rand_below (&rand, 1000) < 8 * STEP_MS)
            kq_quota_release (&q[i], 0, one);
          for (int n = 0; n < 4 && t->own_wanted.cpu_milli > 0; n++)
            if (kq_quota_allows (&q[i], 0, one))
              kq_quota_charge (&q[i], 0, one);
          used += (double)t->used.cpu_milli / 1000;
        }
      for (uint32_t i = 0; step % HEARTBEAT_STEPS == 0 && i < SHARDS; i++)
        {
          old[i] = fresh[i];
          fresh[i].used = q[i].teams[0].used;
          fresh[i].queued = q[i].teams[0].own_wanted;
        }
      for (uint32_t i = 0; step % HEARTBEAT_STEPS == 0 && i < SHARDS; i++)
        kq_quota_set_others (&q[i], d, SHARDS, i);
      most = fmax (most, used / LIMIT);
      mean += step > 1000 ? used / LIMIT / (steps - 1001) : 0;
    }
  printf ("quota over %d shards: mean %.4f of the limit used, most %.4f\n", SHARDS, mean,
          most);
  /* Bound: 64 starts a second (one for each end) during the maximum age of a digest. */
  bound = 64.0 * (2 * HEARTBEAT_STEPS + 1) * STEP_MS / 1000 / LIMIT;
  result ("quota", "overshoot", (most - 1) * 100, "percent", bound * 100,
          most - 1 <= bound);
  for (int i = 0; i < SHARDS; i++)
    kq_quota_clear (&q[i]);
}

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  const char *only = argc > 2 ? argv[2] : "";
  kq_log_set_level (KQ_LOG_ERROR);
  setvbuf (stdout, NULL, _IOLBF, 0);
  for (size_t i = 0; i < sizeof deployments / sizeof deployments[0]; i++)
    if (*only == '\0' || strcmp (only, deployments[i].name) == 0)
      run_deployment (&deployments[i], seed, i < 2 ? N_VARIANTS : 1);
  if (*only == '\0' || strcmp (only, "cost") == 0)
    {
      measure_overshoot (seed);
      measure_cost ();
    }
  return EXIT_SUCCESS;
}
