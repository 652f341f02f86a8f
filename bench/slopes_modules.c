#include "slopes.h"

#include "job_rig.h"
#include "request/dispatch.h"
#include "table_sim.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define WANTED_R2 0.95
#define LARGE_SIZE ((KqSize){ 1000000, 4000000, 0 })
#define SMALL_SIZE ((KqSize){ 1000, 1000, 0 })
#define REPEATS 2000

static double
bytes_in_use (void)
{
  struct mallinfo2 m = mallinfo2 ();
  return (double)(m.uordblks + m.hblkhd);
}

static double
cpu_us (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Bytes that the KqJobs holds, measured by freeing it. */
static double
memory_of_jobs (KqRig *r)
{
  double before = bytes_in_use ();
  kq_jobs_free (r->jobs);
  r->jobs = NULL;
  return before - bytes_in_use ();
}

typedef enum
{
  STATE_RUNNING,
  STATE_QUEUED,
  STATE_ENDED
} State;

static double
memory_of_state (uint64_t seed, State state, int jobs)
{
  KqRig r;
  double bytes;
  KqJobSpec spec = kq_rig_spec ("plan", "plan", SMALL_SIZE);
  spec.run_ms = 3600 * 1000;
  kq_rig_init (&r, 8, LARGE_SIZE, 8, seed);
  kq_rig_run (&r, 10 * KQ_SEC);
  if (state != STATE_RUNNING)
    spec.size = (KqSize){ 1000000, 4000000, 0 };
  for (int i = 0; i < jobs; i++)
    {
      kq_rig_submit (&r, (KqJobId)i + 1, &spec);
      if (state == STATE_ENDED)
        kq_rig_call (&r, KQ_JOB_CANCEL, (KqJobId)i + 1);
      if (i % 20 == 0)
        kq_rig_run (&r, 50 * KQ_MS);
    }
  kq_rig_run (&r, 20 * KQ_SEC);
  bytes = memory_of_jobs (&r);
  kq_rig_clear (&r);
  return bytes;
}

static void
measure_jobs (uint64_t seed, State state, const char *name)
{
  SlopesFit f
      = { .name = name, .unit = "bytes", .n_terms = 2, .terms = { "base", "each" } };
  for (int n = 125; n <= 1000; n *= 2) /* a shard keeps up to 1,024 ended jobs */
    slopes_add (&f, (double[]){ 1, n }, memory_of_state (seed, state, n));
  slopes_print (&f, WANTED_R2);
}

/* Memory per worker, and CPU time of its lease renewals in KqJobs. */
static void
measure_workers (uint64_t seed)
{
  SlopesFit m = {
    .name = "memory_worker", .unit = "bytes", .n_terms = 2, .terms = { "base", "each" }
  };
  SlopesFit c = { .name = "cpu_lease_renewal_with_fake_worker",
                  .unit = "us",
                  .n_terms = 2,
                  .terms = { "base", "each" } };
  for (size_t n = 50; n <= 800; n *= 2)
    {
      KqRig r;
      double cpu;
      uint64_t calls;
      kq_rig_init (&r, n, LARGE_SIZE, 8, seed);
      kq_rig_run (&r, 30 * KQ_SEC);
      calls = r.calls[KQ_WORKER_LEASE];
      cpu = cpu_us ();
      kq_rig_run (&r, 60 * KQ_SEC);
      cpu = cpu_us () - cpu;
      slopes_add (&c, (double[]){ 1, (double)(r.calls[KQ_WORKER_LEASE] - calls) }, cpu);
      slopes_add (&m, (double[]){ 1, (double)n }, memory_of_jobs (&r));
      kq_rig_clear (&r);
    }
  slopes_print (&m, WANTED_R2);
  slopes_print (&c, WANTED_R2);
}

static KqTable *
table_of (int rows)
{
  KqRowChange *c = kq_alloc ((size_t)rows * sizeof *c);
  KqTable *empty = kq_table_new (1);
  KqTable *t;
  KqResult why;
  size_t which;
  for (int i = 0; i < rows; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "row-%d", i);
      c[i].row = kq_row_default (KQ_ROW_SERVICE, kq_str (name));
    }
  t = kq_table_change (empty, 2, c, (size_t)rows, &why, &which);
  kq_table_unref (empty);
  free (c);
  return t;
}

/* CPU time in us to change one row of the table. */
static double
change_cost (const KqTable *t)
{
  KqRowChange c = { .row = kq_row_default (KQ_ROW_SERVICE, KQ_STR ("row-7")),
                    .expect = UINT64_MAX };
  KqResult why;
  size_t which;
  double cpu = cpu_us ();
  for (int i = 0; i < 200; i++)
    kq_table_unref (kq_table_change (t, 3, &c, 1, &why, &which));
  return (cpu_us () - cpu) / 200;
}

static void
measure_tables (void)
{
  SlopesFit m = {
    .name = "memory_table_row", .unit = "bytes", .n_terms = 2, .terms = { "base", "each" }
  };
  SlopesFit c = { .name = "cpu_table_change",
                  .unit = "us",
                  .n_terms = 2,
                  .terms = { "base", "each_row" } };
  for (int n = 250; n <= 4000; n *= 2)
    {
      KqTable *t = table_of (n);
      double before;
      slopes_add (&c, (double[]){ 1, n }, change_cost (t));
      before = bytes_in_use ();
      kq_table_unref (t);
      slopes_add (&m, (double[]){ 1, n }, before - bytes_in_use ());
    }
  slopes_print (&m, WANTED_R2);
  slopes_print (&c, 0.9);
}

/* Bytes of a dispatcher with so many runners, and a queued request of each caller. */
static double
memory_of_dispatch (uint64_t seed, KqTable *t, int runners, int callers)
{
  KqDispatch *d = kq_dispatch_new (seed);
  double before;
  kq_dispatch_set_table (d, t, 0);
  for (int i = 0; i < runners; i++)
    {
      KqRunnerInfo info = { .id = (KqRunnerId)i + 1, .slots = 8, .connections = 64 };
      kq_dispatch_set_runner (d, &info, false, 0);
    }
  for (int i = 0; i < callers; i++)
    {
      char name[32];
      KqTime retry;
      KqDispatchRequest q = { .flight = { 1, 1, (uint64_t)i + 1 },
                              .service = KQ_STR ("row-1"),
                              .deadline = 3600 * KQ_SEC };
      snprintf (name, sizeof name, "caller-%d", i);
      q.caller = kq_str (name);
      q.key = (uint64_t)i + 1;
      kq_dispatch_offer (d, &q, 0, &retry);
    }
  before = bytes_in_use ();
  kq_dispatch_free (d);
  return before - bytes_in_use ();
}

static void
measure_dispatchers (uint64_t seed)
{
  SlopesFit r = {
    .name = "memory_runner", .unit = "bytes", .n_terms = 2, .terms = { "base", "each" }
  };
  SlopesFit c = { .name = "memory_caller_waiting",
                  .unit = "bytes",
                  .n_terms = 2,
                  .terms = { "base", "each" } };
  KqTable *t = table_of (10);
  for (int n = 50; n <= 800; n *= 2)
    {
      slopes_add (&r, (double[]){ 1, n }, memory_of_dispatch (seed, t, n, 0));
      slopes_add (&c, (double[]){ 1, n }, memory_of_dispatch (seed, t, 1, n));
    }
  kq_table_unref (t);
  slopes_print (&r, WANTED_R2);
  slopes_print (&c, WANTED_R2);
}

/* Memory of the membership module per other node. */
static void
measure_peers (uint64_t seed)
{
  SlopesFit f = {
    .name = "memory_peer", .unit = "bytes", .n_terms = 2, .terms = { "base", "each" }
  };
  for (int n = 10; n <= 100; n += 30)
    {
      KqTableSim *s = kq_table_sim_new (seed, n, 2, true);
      double before;
      kq_table_sim_run (s, 20 * KQ_SEC);
      before = bytes_in_use ();
      kq_member_free (s->nodes[0].member);
      s->nodes[0].member = NULL;
      slopes_add (&f, (double[]){ 1, n }, before - bytes_in_use ());
      s->nodes[0].up = false;
      kq_table_sim_free (s);
    }
  slopes_print (&f, WANTED_R2);
}

/* CPU time and size of a heartbeat with a digest of one shard, by number of services in
 * the digest. */
static void
measure_heartbeats (void)
{
  SlopesFit sent = { .name = "cpu_heartbeat_sent",
                     .unit = "us",
                     .n_terms = 2,
                     .terms = { "base", "each_line" } };
  SlopesFit received = { .name = "cpu_heartbeat_received",
                         .unit = "us",
                         .n_terms = 2,
                         .terms = { "base", "each_line" } };
  SlopesFit bytes = { .name = "bytes_heartbeat",
                      .unit = "bytes",
                      .n_terms = 2,
                      .terms = { "base", "each_line" } };
  for (size_t n = 5; n <= 80; n *= 2)
    {
      KqServiceDigest *services = kq_alloc (n * sizeof *services);
      KqShardDigest d = { .shard = 3, .epoch = 2, .services = services, .n_services = n };
      KqMsg m = { .kind = KQ_MSG_HEARTBEAT };
      KqBuf b = { 0 };
      double cpu = cpu_us ();
      for (size_t i = 0; i < n; i++)
        services[i] = (KqServiceDigest){
          kq_name (KQ_STR ("service-17")), 512, 300, 20, 4000000, 90000
        };
      m.u.heartbeat.shards = &d;
      m.u.heartbeat.n_shards = 1;
      for (int i = 0; i < REPEATS; i++)
        {
          b.len = 0;
          kq_msg_pack (&m, &b);
        }
      slopes_add (&sent, (double[]){ 1, (double)n }, (cpu_us () - cpu) / REPEATS);
      slopes_add (&bytes, (double[]){ 1, (double)n }, (double)b.len);
      cpu = cpu_us ();
      for (int i = 0; i < REPEATS; i++)
        {
          KqMsg back;
          if (kq_msg_unpack (kq_str_n (b.ptr + 4, b.len - 4), &back) == KQ_OK)
            kq_msg_clear (&back);
        }
      slopes_add (&received, (double[]){ 1, (double)n }, (cpu_us () - cpu) / REPEATS);
      kq_buf_free (&b);
      free (services);
    }
  slopes_print (&bytes, WANTED_R2);
  slopes_print (&sent, 0.9);
  slopes_print (&received, 0.9);
}

void
slopes_modules (uint64_t seed)
{
  measure_workers (seed);
  measure_jobs (seed, STATE_RUNNING, "memory_running_task");
  measure_jobs (seed, STATE_QUEUED, "memory_queued_job");
  measure_jobs (seed, STATE_ENDED, "memory_ended_job");
  measure_dispatchers (seed);
  measure_tables ();
  measure_peers (seed);
  measure_heartbeats ();
}
