/* shard: measures the store calls that the journals of all shards make, and how long a
 * commit takes, with the real journal over the fake store in simulated time.
 *
 * Each start of a job appends two records at once (accepted, assigned) and one later
 * (finished); one start in twenty is urgent. Measured by rate of starts, number of
 * workers and store latency. The CPU time per record includes the fake store and this
 * program. */

#include "base/rand.h"
#include "port/store_fake.h"
#include "shard/journal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MEASURE_TIME (120 * KQ_SEC) /* simulated, after the warm-up */
#define WARM_UP (10 * KQ_SEC)
#define JOB_TIME_MEAN (20 * KQ_SEC) /* mean run time of a job */
#define URGENT_ONE_IN 20
#define OUTAGE (30 * KQ_SEC)
#define OUTAGE_STARTS_PER_S 640
#define WORKERS_PER_SHARD 64
#define SHARDS_MIN 4
#define SHARDS_MAX 64
/* Body sizes of the records of src/job, rounded up. */
#define BYTES_ACCEPTED 180
#define BYTES_ASSIGNED 60
#define BYTES_FINISHED 40
#define BYTES_JOB 200
/* Of 400 store calls a second; the rest is for leases and the table. */
#define CALLS_PER_S_LIMIT 300
#define P99_LIMIT_LATENCIES 5 /* limit for p99 of a commit, in store latencies */
#define SAMPLES_MAX 4000000   /* per kind */

typedef struct
{
  KqTime at;
  KqSeq seq;
  bool urgent;
} Pending;

/* A queue of records that are appended and not yet committed. */
typedef struct
{
  Pending *items;
  size_t first, len, capacity;
} PendingQueue;

/* The end of a running job. */
typedef struct
{
  KqTime at;
  uint32_t shard;
} JobEnd;

typedef struct
{
  KqStoreFake *store;
  KqJournal *journals[SHARDS_MAX];
  PendingQueue pending[SHARDS_MAX];
  int live[SHARDS_MAX]; /* jobs accepted and not finished */
  uint32_t n_shards;
  KqRand rand;
  KqTime now;
  JobEnd *ends; /* a heap */
  size_t n_ends, ends_capacity;
  KqTime *samples[2]; /* normal, urgent */
  size_t n_samples[2];
  bool measuring;
} Fleet;

static const char zeros[BYTES_JOB];

static void
run_outbox (Fleet *f, KqOutbox *out)
{
  KqOut item;
  while (kq_outbox_take (out, &item))
    {
      kq_store_fake_call (f->store, 0, &item.u.store, f->now);
      kq_out_clear (&item);
    }
}

static void
append (Fleet *f, uint32_t s, uint16_t type, size_t size, bool urgent)
{
  PendingQueue *q = &f->pending[s];
  KqRecord r = { type, 1, { zeros, size } };
  KqSeq seq = kq_journal_append (f->journals[s], &r,
                                 urgent ? KQ_COMMIT_URGENT : KQ_COMMIT_NORMAL, f->now);
  if (q->len == q->capacity)
    {
      q->capacity = q->capacity > 0 ? q->capacity * 2 : 256;
      q->items = kq_realloc (q->items, q->capacity * sizeof *q->items);
    }
  q->items[q->len++] = (Pending){ f->now, seq, urgent };
}

static void
record_commits (Fleet *f, uint32_t s)
{
  PendingQueue *q = &f->pending[s];
  KqSeq committed = kq_journal_committed (f->journals[s]);
  for (; q->first < q->len && q->items[q->first].seq <= committed; q->first++)
    {
      const Pending *i = &q->items[q->first];
      if (f->measuring && f->n_samples[i->urgent] < SAMPLES_MAX)
        f->samples[i->urgent][f->n_samples[i->urgent]++] = f->now - i->at;
    }
  if (q->first == q->len)
    q->first = q->len = 0;
}

static void
write_snapshot (Fleet *f, uint32_t s, KqOutbox *out)
{
  KqRecord r = { 200, 1, { zeros, sizeof zeros } };
  kq_journal_snapshot_begin (f->journals[s]);
  for (int i = 0; i < f->live[s]; i++)
    kq_journal_snapshot_add (f->journals[s], &r);
  kq_journal_snapshot_end (f->journals[s], f->now, out);
}

static void
tick_shard (Fleet *f, uint32_t s)
{
  KqOutbox out;
  kq_outbox_init (&out);
  if (kq_journal_snapshot_due (f->journals[s]))
    write_snapshot (f, s, &out);
  kq_journal_tick (f->journals[s], f->now, &out);
  run_outbox (f, &out);
  kq_outbox_free (&out);
}

static void
add_end (Fleet *f, KqTime at, uint32_t shard)
{
  if (f->n_ends == f->ends_capacity)
    {
      f->ends_capacity = f->ends_capacity > 0 ? f->ends_capacity * 2 : 1024;
      f->ends = kq_realloc (f->ends, f->ends_capacity * sizeof *f->ends);
    }
  size_t i = f->n_ends++;
  for (; i > 0 && at < f->ends[(i - 1) / 2].at; i = (i - 1) / 2)
    f->ends[i] = f->ends[(i - 1) / 2];
  f->ends[i] = (JobEnd){ at, shard };
}

static uint32_t
take_end (Fleet *f)
{
  uint32_t shard = f->ends[0].shard;
  JobEnd last = f->ends[--f->n_ends];
  size_t i = 0;
  for (size_t c = 1; c < f->n_ends; c = 2 * i + 1)
    {
      if (c + 1 < f->n_ends && f->ends[c + 1].at < f->ends[c].at)
        c++;
      if (last.at <= f->ends[c].at)
        break;
      f->ends[i] = f->ends[c];
      i = c;
    }
  f->ends[i] = last;
  return shard;
}

static void
start_job (Fleet *f)
{
  uint32_t s = (uint32_t)kq_rand_below (&f->rand, f->n_shards);
  bool urgent = kq_rand_below (&f->rand, URGENT_ONE_IN) == 0;
  append (f, s, 200, BYTES_ACCEPTED, urgent);
  append (f, s, 201, BYTES_ASSIGNED, urgent);
  f->live[s]++;
  add_end (f, f->now + (KqTime)kq_rand_exp (&f->rand, (double)JOB_TIME_MEAN), s);
  tick_shard (f, s);
}

static void
end_job (Fleet *f)
{
  uint32_t s = take_end (f);
  append (f, s, 202, BYTES_FINISHED, false);
  f->live[s]--;
  tick_shard (f, s);
}

static void
handle_replies (Fleet *f)
{
  KqStoreReply r;
  KqOutbox out;
  int client;
  kq_outbox_init (&out);
  while (kq_store_fake_next (f->store, f->now, &client, &r))
    {
      uint32_t s = (uint32_t)(r.token >> 32);
      kq_journal_reply (f->journals[s], &r, f->now, &out);
      run_outbox (f, &out);
      record_commits (f, s);
    }
  kq_outbox_free (&out);
}

static KqTime
next_time (const Fleet *f, KqTime next_start)
{
  KqTime due = kq_store_fake_next_time (f->store);
  for (uint32_t s = 0; s < f->n_shards; s++)
    if (kq_journal_due (f->journals[s]) < due)
      due = kq_journal_due (f->journals[s]);
  if (f->n_ends > 0 && f->ends[0].at < due)
    due = f->ends[0].at;
  if (next_start < due)
    due = next_start;
  return due > f->now ? due : f->now;
}

/* Runs until `end` with `starts` job starts a second. */
static void
run (Fleet *f, double starts, KqTime end)
{
  double mean = (double)KQ_SEC / starts;
  KqTime next_start = f->now + (KqTime)kq_rand_exp (&f->rand, mean);
  while (f->now < end)
    {
      f->now = next_time (f, next_start);
      handle_replies (f);
      while (f->n_ends > 0 && f->ends[0].at <= f->now)
        end_job (f);
      if (next_start <= f->now)
        {
          start_job (f);
          next_start = f->now + 1 + (KqTime)kq_rand_exp (&f->rand, mean);
        }
      for (uint32_t s = 0; s < f->n_shards; s++)
        if (kq_journal_due (f->journals[s]) <= f->now)
          tick_shard (f, s);
    }
}

static void
open_all (Fleet *f, uint64_t epoch)
{
  KqOutbox out;
  KqRecord r;
  kq_outbox_init (&out);
  for (uint32_t s = 0; s < f->n_shards; s++)
    {
      kq_journal_open (f->journals[s], epoch, f->now, &out);
      run_outbox (f, &out);
    }
  kq_outbox_free (&out);
  for (uint32_t s = 0; s < f->n_shards; s++)
    {
      while (kq_journal_state (f->journals[s]) != KQ_JOURNAL_OPEN)
        {
          f->now = kq_store_fake_next_time (f->store);
          handle_replies (f);
        }
      while (kq_journal_next_record (f->journals[s], &r))
        ;
    }
}

static void
fleet_init (Fleet *f, uint32_t n_shards, KqTime latency, uint64_t seed)
{
  *f = (Fleet){ .n_shards = n_shards, .now = KQ_SEC, .rand = kq_rand (seed) };
  f->store = kq_store_fake_new (seed);
  kq_store_fake_faults (f->store)->latency = latency;
  for (uint32_t s = 0; s < n_shards; s++)
    {
      f->journals[s] = kq_journal_new (s, 1, seed + s + 1);
      kq_journal_set_share (f->journals[s], n_shards);
    }
  for (int u = 0; u < 2; u++)
    f->samples[u] = kq_alloc (SAMPLES_MAX * sizeof (KqTime));
}

static void
fleet_free (Fleet *f)
{
  for (uint32_t s = 0; s < f->n_shards; s++)
    {
      kq_journal_free (f->journals[s]);
      free (f->pending[s].items);
    }
  kq_store_fake_free (f->store);
  free (f->ends);
  free (f->samples[0]);
  free (f->samples[1]);
}

static int
compare_times (const void *a, const void *b)
{
  KqTime x = *(const KqTime *)a;
  KqTime y = *(const KqTime *)b;
  return x < y ? -1 : x > y;
}

static double
p99_ms (Fleet *f, int urgent)
{
  size_t n = f->n_samples[urgent];
  if (n == 0)
    return 0;
  qsort (f->samples[urgent], n, sizeof (KqTime), compare_times);
  size_t rank = n * 99 / 100;
  return (double)f->samples[urgent][rank] / (double)KQ_MS;
}

static void
result (const char *name, double value, const char *unit, double limit)
{
  printf ("RESULT %s %.2f %s %.2f %s\n", name, value, unit, limit,
          value <= limit ? "ok" : "short");
}

static KqJournalCount
count_all (const Fleet *f)
{
  KqJournalCount sum = { 0 };
  for (uint32_t s = 0; s < f->n_shards; s++)
    {
      const KqJournalCount *c = kq_journal_count (f->journals[s]);
      sum.commits += c->commits;
      sum.commit_bytes += c->commit_bytes;
      sum.committed_records += c->committed_records;
      sum.snapshots += c->snapshots;
    }
  return sum;
}

static void
measure (int starts, int workers, KqTime latency, uint64_t seed)
{
  Fleet f;
  char name[80];
  uint32_t n = (uint32_t)((workers + WORKERS_PER_SHARD - 1) / WORKERS_PER_SHARD);
  n = n < SHARDS_MIN ? SHARDS_MIN : n > SHARDS_MAX ? SHARDS_MAX : n;
  fleet_init (&f, n, latency, seed);
  open_all (&f, 1);
  run (&f, starts, f.now + WARM_UP);
  KqStoreFakeCount before = *kq_store_fake_count (f.store);
  KqJournalCount b = count_all (&f);
  KqTime start = f.now;
  f.measuring = true;
  clock_t cpu_ticks = clock ();
  run (&f, starts, f.now + MEASURE_TIME);
  cpu_ticks = clock () - cpu_ticks;
  const KqStoreFakeCount *after = kq_store_fake_count (f.store);
  KqJournalCount a = count_all (&f);
  double seconds = (double)(f.now - start) / (double)KQ_SEC;
  double calls = (double)(after->calls - before.calls) / seconds;
  double kb = (double)(after->put_bytes - before.put_bytes) / seconds / 1000;
  double commits = (double)(a.commits - b.commits);
  KqTime ms = latency / KQ_MS;
  printf (
      "%3d starts/s, %4d workers, %2u shards, %3lld ms: %5.0f records/s, %5.1f calls/s, "
      "%6.1f KB/s, %5.0f bytes/commit, %llu snapshots, %.1f us/record\n",
      starts, workers, n, (long long)ms,
      (double)(a.committed_records - b.committed_records) / seconds, calls, kb,
      (double)(a.commit_bytes - b.commit_bytes) / commits,
      (unsigned long long)(a.snapshots - b.snapshots),
      (double)cpu_ticks * 1e6 / CLOCKS_PER_SEC
          / (double)(a.committed_records - b.committed_records));
  snprintf (name, sizeof name, "calls_%d_%d_%lldms", starts, workers, (long long)ms);
  result (name, calls, "calls/s", CALLS_PER_S_LIMIT);
  snprintf (name, sizeof name, "commit_p99_%d_%d_%lldms", starts, workers, (long long)ms);
  result (name, p99_ms (&f, 0), "ms", P99_LIMIT_LATENCIES * (double)ms);
  snprintf (name, sizeof name, "urgent_p99_%d_%d_%lldms", starts, workers, (long long)ms);
  result (name, p99_ms (&f, 1), "ms", P99_LIMIT_LATENCIES * (double)ms);
  fleet_free (&f);
}

/* Measures how long a new owner takes to read a shard with so many jobs: simulated time,
 * which is spent on store calls, and CPU time of the journal. */
static void
measure_recovery (int jobs, KqTime latency, uint64_t seed)
{
  Fleet f;
  char name[80];
  KqOutbox out;
  fleet_init (&f, 1, latency, seed);
  open_all (&f, 1);
  f.live[0] = jobs;
  kq_outbox_init (&out);
  write_snapshot (&f, 0, &out);
  run_outbox (&f, &out);
  kq_outbox_free (&out);
  run (&f, 20, f.now + 5 * KQ_SEC);
  assert (kq_journal_count (f.journals[0])->snapshots > 0);
  kq_journal_free (f.journals[0]);
  f.journals[0] = kq_journal_new (0, 2, seed + 99);
  KqTime start = f.now;
  KqTime clock = kq_time_now ();
  open_all (&f, 2);
  clock = kq_time_now () - clock;
  KqTime ms = latency / KQ_MS;
  snprintf (name, sizeof name, "recovery_%d_jobs_%lldms", jobs, (long long)ms);
  result (name, (double)(f.now - start) / (double)KQ_MS, "ms",
          P99_LIMIT_LATENCIES * (double)ms);
  snprintf (name, sizeof name, "recovery_cpu_%d_jobs", jobs);
  result (name, (double)clock / (double)KQ_MS, "ms", 100);
  fleet_free (&f);
}

static bool
any_behind (const Fleet *f)
{
  for (uint32_t s = 0; s < f->n_shards; s++)
    if (kq_journal_lag (f->journals[s], f->now) > KQ_SEC)
      return true;
  return false;
}

/* After a store outage the shards must not call the store all at once, and the records
 * that were appended meanwhile must soon be committed. */
static void
measure_after_outage (uint64_t seed)
{
  Fleet f;
  fleet_init (&f, SHARDS_MAX, 2 * KQ_MS, seed);
  open_all (&f, 1);
  run (&f, OUTAGE_STARTS_PER_S, f.now + WARM_UP);
  kq_store_fake_faults (f.store)->down = true;
  run (&f, OUTAGE_STARTS_PER_S, f.now + OUTAGE);
  kq_store_fake_faults (f.store)->down = false;
  uint64_t calls = kq_store_fake_count (f.store)->calls;
  KqTime start = f.now;
  run (&f, OUTAGE_STARTS_PER_S, f.now + KQ_SEC);
  result ("return_first_second", (double)(kq_store_fake_count (f.store)->calls - calls),
          "calls", CALLS_PER_S_LIMIT);
  while (any_behind (&f) && f.now < start + OUTAGE)
    run (&f, OUTAGE_STARTS_PER_S, f.now + KQ_SEC / 10);
  result ("return_caught_up", (double)(f.now - start) / (double)KQ_MS, "ms", 5000);
  fleet_free (&f);
}

int
main (int argc, char **argv)
{
  static const int starts[] = { 10, 100, 640 };
  static const int workers[] = { 50, 500, 4100 };
  static const int latencies[] = { 2, 20, 100 };
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  for (int w = 0; w < 3; w++)
    for (int s = 0; s < 3; s++)
      for (int l = 0; l < 3; l++)
        measure (starts[s], workers[w], latencies[l] * KQ_MS, seed);
  measure_recovery (1000, 2 * KQ_MS, seed);
  measure_recovery (10000, 2 * KQ_MS, seed);
  measure_after_outage (seed);
  return 0;
}
