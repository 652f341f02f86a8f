#include "load_patterns.h"

#include "load_sim.h"

#include <stdio.h>
#include <stdlib.h>

/* 50 runners with 8 slots answer 10,000 requests of 40 ms a second. The deadline of a
 * second is that of an interactive change by a user. */
#define RUNNERS 50
/* For a small service, where one bad runner is a tenth of the capacity. */
#define FEW_RUNNERS 10
#define SLOTS 8
#define WORK_MEAN (40 * KQ_MS)
#define CAPACITY (RUNNERS * SLOTS * (double)KQ_SEC / WORK_MEAN)
#define DEADLINE KQ_SEC
#define END (8 * KQ_SEC)
#define CALLERS 20
#define HOT_CALLER_NUMBER 40
#define SHORT_CLASS 1001
#define LONG_CLASS 2002
#define KEYS 50
#define HOT_KEY 900

void
load_result (const char *name, double value, const char *unit, double limit, int at_least)
{
  int ok = at_least ? value >= limit : value <= limit;
  printf ("RESULT %s %.3f %s %.3f %s\n", name, value, unit, limit, ok ? "ok" : "short");
}

static SimConfig
config (uint64_t seed, int runners)
{
  return (SimConfig){ .seed = seed,
                      .runners = runners,
                      .slots = SLOTS,
                      .thrash = 0,
                      .deadline = DEADLINE,
                      .end = END,
                      .row = sim_row (true) };
}

static const SimArrival short_request = { .class_id = SHORT_CLASS, .key = 1 };
static const SimArrival hot_caller = {
  .class_id = SHORT_CLASS, .key = 1, .caller = HOT_CALLER_NUMBER, .group = SIM_HOT
};
static const SimArrival hot_key
    = { .class_id = SHORT_CLASS, .key = HOT_KEY, .group = SIM_HOT };
static const SimArrival long_request
    = { .class_id = LONG_CLASS, .key = 1, .group = SIM_LONG };

/* Adds short requests at `load` times the capacity of so many runners. */
static void
add_load (SimArrivals *a, KqRand *rand, double load, int runners, KqTime from, KqTime to)
{
  sim_add_arrivals (a, rand, &short_request, load * CAPACITY * runners / RUNNERS, from,
                    to, WORK_MEAN, CALLERS, KEYS);
}

static void
add_short_load (SimArrivals *a, KqRand *rand, double load, KqTime from, KqTime to)
{
  add_load (a, rand, load, RUNNERS, from, to);
}

static void
print_head (const char *pattern, const char *answers)
{
  printf ("\n%s: %s\n", pattern, answers);
  printf ("  %-22s %8s %9s %8s %8s %8s %8s %8s %8s %6s\n", "safeguards", "offered",
          "goodput", "p50 ms", "p99 ms", "p99.9 ms", "refused", "failed", "wasted",
          "fair");
}

/* Goodput, refused and failed are in percent of the requests of SIM_MEASURED, wasted in
 * percent of the runners' work. */
static void
print_run (const char *name, const SimResult *r)
{
  const SimStats *s = &r->groups[SIM_MEASURED];
  double offered = s->offered > 0 ? (double)s->offered : 1;
  printf ("  %-22s %8zu %8.1f%% %8.1f %8.1f %8.1f %7.1f%% %7.1f%% %7.1f%% %6.3f\n", name,
          s->offered, 100 * (double)s->good / offered,
          (double)sim_percentile (s, 0.5, 0, KQ_TIME_NEVER) / KQ_MS,
          (double)sim_percentile (s, 0.99, 0, KQ_TIME_NEVER) / KQ_MS,
          (double)sim_percentile (s, 0.999, 0, KQ_TIME_NEVER) / KQ_MS,
          100 * (double)s->refused / offered,
          100 * (double)(s->failed + s->late) / offered,
          100 * r->work_wasted / (r->work_done > 0 ? r->work_done : 1), sim_fairness (r));
}

static void
print_long (const SimResult *r)
{
  const SimStats *s = &r->groups[SIM_LONG];
  if (s->offered > 0)
    printf (
        "    long ones: %zu offered, %.1f%% answered in time, p50 %.0f ms, p99 %.0f ms\n",
        s->offered, 100 * (double)s->good / (double)s->offered,
        (double)sim_percentile (s, 0.5, 0, KQ_TIME_NEVER) / KQ_MS,
        (double)sim_percentile (s, 0.99, 0, KQ_TIME_NEVER) / KQ_MS);
}

static SimResult
run (const char *name, const SimConfig *c, const SimArrivals *a)
{
  SimResult r = sim_run (c, a, 0);
  print_run (name, &r);
  print_long (&r);
  return r;
}

/* Runs with all safeguards on, with `off` applied, and with all off. Returns the result
 * with all on. */
static SimResult
run_three (SimConfig *c, const SimArrivals *a, const char *off_name,
           void (*off) (KqServiceRow *row))
{
  SimResult on;
  SimResult other;
  c->row = sim_row (true);
  on = run ("all on", c, a);
  off (&c->row);
  other = run (off_name, c, a);
  sim_result_free (&other);
  c->row = sim_row (false);
  other = run ("all off", c, a);
  sim_result_free (&other);
  return on;
}

static void
no_admission (KqServiceRow *row)
{
  row->admission = false;
}

static void
no_fairness (KqServiceRow *row)
{
  row->fairness = false;
}

static void
no_short_slots (KqServiceRow *row)
{
  row->short_slots = false;
}

static void
no_outlier (KqServiceRow *row)
{
  row->outlier = false;
}

static void
no_choice (KqServiceRow *row)
{
  row->choice = false;
}

static void
no_limit (KqServiceRow *row)
{
  row->limit = false;
}

static void
no_retry (KqServiceRow *row)
{
  row->retry = false;
}

static double
p99 (const SimResult *r)
{
  return (double)sim_percentile (&r->groups[SIM_MEASURED], 0.99, 0, KQ_TIME_NEVER);
}

static void
pattern_burst (uint64_t seed)
{
  SimConfig c = config (seed, RUNNERS);
  KqRand rand = kq_rand (seed);
  SimArrivals a = { 0 };
  SimResult r;
  add_short_load (&a, &rand, 0.5, 0, END);
  add_short_load (&a, &rand, 6, 3 * KQ_SEC, 3 * KQ_SEC + KQ_SEC / 2);
  sim_sort_arrivals (&a);
  print_head ("burst", "half load, six times the capacity for half a second");
  r = run_three (&c, &a, "no admission", no_admission);
  load_result ("burst.p99_served", p99 (&r) / KQ_MS, "ms", (double)DEADLINE / KQ_MS, 0);
  sim_result_free (&r);
  free (a.items);
}

/* Normal callers alone, then with a caller or key at three times the capacity. */
static void
pattern_hot (uint64_t seed, const char *name, const SimArrival *like)
{
  SimConfig c = config (seed, RUNNERS);
  KqRand rand = kq_rand (seed);
  SimArrivals a = { 0 };
  SimResult alone;
  SimResult r;
  char label[64];
  add_short_load (&a, &rand, 0.6, 0, END);
  sim_sort_arrivals (&a);
  print_head (name, "others at 0.6 of the capacity, the hot one at 3 times");
  alone = run ("all on, no hot one", &c, &a);
  sim_add_arrivals (&a, &rand, like, 3 * CAPACITY, 2 * KQ_SEC, END, WORK_MEAN, 1, 1);
  sim_sort_arrivals (&a);
  r = run_three (&c, &a, "no fairness", no_fairness);
  snprintf (label, sizeof label, "%s.others_p99_ratio", name);
  load_result (label, p99 (&r) / p99 (&alone), "times", 1.2, 0);
  snprintf (label, sizeof label, "%s.others_goodput", name);
  load_result (label,
               100 * (double)r.groups[SIM_MEASURED].good
                   / (double)r.groups[SIM_MEASURED].offered,
               "percent", 99, 1);
  sim_result_free (&alone);
  sim_result_free (&r);
  free (a.items);
}

static void
pattern_slow (uint64_t seed, const char *name, const SimChange *change, double load)
{
  SimConfig c = config (seed, FEW_RUNNERS);
  KqRand rand = kq_rand (seed);
  SimArrivals a = { 0 };
  SimResult alone;
  SimResult r;
  char label[64];
  add_load (&a, &rand, load, FEW_RUNNERS, 0, END);
  sim_sort_arrivals (&a);
  print_head (name, "one target of ten, from the second second on");
  alone = run ("all on, no bad one", &c, &a);
  c.changes = change;
  c.n_changes = 1;
  c.retries = 1;
  r = run_three (&c, &a, "no outlier", no_outlier);
  c.row = sim_row (true);
  no_choice (&c.row);
  sim_result_free (&r);
  r = run ("no choice", &c, &a);
  sim_result_free (&r);
  c.row = sim_row (true);
  r = sim_run (&c, &a, 0);
  snprintf (label, sizeof label, "%s.p99_ratio", name);
  load_result (label, p99 (&r) / p99 (&alone), "times", 1.5, 0);
  sim_result_free (&alone);
  sim_result_free (&r);
  free (a.items);
}

/* Short requests alone, then with 1 to 2% of requests that take 100 times as long. */
static void
pattern_long (uint64_t seed, const char *name, double load, double long_load)
{
  SimConfig c = config (seed, FEW_RUNNERS);
  KqRand rand = kq_rand (seed);
  SimArrivals a = { 0 };
  SimResult alone;
  SimResult r;
  char label[64];
  c.deadline = 60 * KQ_SEC;
  c.end = 20 * KQ_SEC;
  add_load (&a, &rand, load, FEW_RUNNERS, 0, c.end);
  sim_sort_arrivals (&a);
  printf ("\nload of quick ones %.2f, of long ones %.2f", load, long_load);
  print_head (name, "long ones take 100 times as long");
  alone = run ("all on, no long ones", &c, &a);
  sim_add_arrivals (&a, &rand, &long_request,
                    long_load * CAPACITY * FEW_RUNNERS / RUNNERS / 100, 0, c.end,
                    100 * WORK_MEAN, CALLERS, KEYS);
  sim_sort_arrivals (&a);
  r = run_three (&c, &a, "no short slots", no_short_slots);
  snprintf (label, sizeof label, "%s.short_p99_ratio", name);
  load_result (label, p99 (&r) / p99 (&alone), "times", 2, 0);
  sim_result_free (&alone);
  sim_result_free (&r);
  free (a.items);
}

static void
pattern_overload (uint64_t seed, double times)
{
  SimConfig c = config (seed, RUNNERS);
  KqRand rand = kq_rand (seed);
  SimArrivals a = { 0 };
  SimResult r;
  char label[64];
  double good;
  add_short_load (&a, &rand, times, 0, END);
  sim_sort_arrivals (&a);
  snprintf (label, sizeof label, "overload_%.0f", times);
  print_head (label, "that many times the capacity for all of the run");
  r = run_three (&c, &a, "no admission", no_admission);
  good = (double)sim_good_before (&r.groups[SIM_MEASURED], DEADLINE, END)
         / (CAPACITY * END / KQ_SEC);
  snprintf (label, sizeof label, "overload_%.0f.goodput_of_capacity", times);
  load_result (label, 100 * good, "percent", 90, 1);
  snprintf (label, sizeof label, "overload_%.0f.p99_served", times);
  load_result (label, p99 (&r) / KQ_MS, "ms", (double)DEADLINE / KQ_MS, 0);
  sim_result_free (&r);
  free (a.items);
}

/* Time from `from` to the first window of 100 ms whose p99 is at most twice the p99
 * before the disturbance. */
static double
recovered_after (const SimResult *r, KqTime before, KqTime from, KqTime end)
{
  const SimStats *s = &r->groups[SIM_MEASURED];
  KqTime normal = 2 * sim_percentile (s, 0.99, KQ_SEC, before);
  for (KqTime t = from; t < end; t += KQ_SEC / 10)
    if (sim_percentile (s, 0.99, t, t + KQ_SEC / 10) <= normal)
      return (double)(t - from);
  return (double)(end - from);
}

static void
pattern_recovery (uint64_t seed)
{
  const KqTime start = 2 * KQ_SEC;
  const KqTime stop = 5 * KQ_SEC;
  const double load = 0.6;
  SimConfig c = config (seed, RUNNERS);
  KqRand rand = kq_rand (seed);
  SimArrivals a = { 0 };
  SimResult r;
  double drain;
  double after;
  add_short_load (&a, &rand, load, 0, 2 * END);
  add_short_load (&a, &rand, 5 - load, start, stop);
  sim_sort_arrivals (&a);
  print_head ("recovery", "five times the capacity for three seconds, then 0.6");
  r = run_three (&c, &a, "no admission", no_admission);
  sim_result_free (&r);
  c.row = sim_row (true);
  r = sim_run (&c, &a, stop);
  drain = r.queue_work_at_mark / (RUNNERS * SLOTS * (1 - load));
  after = recovered_after (&r, start, stop, 2 * END);
  printf ("  queue at the end of the overload drains in %.0f ms, normal after %.0f ms\n",
          drain / KQ_MS, after / KQ_MS);
  load_result ("recovery.normal_per_drain", after / drain, "times", 2, 0);
  sim_result_free (&r);
  free (a.items);
}

/* Some runners fail for two seconds; the entry nodes retry. */
static void
pattern_retry_storm (uint64_t seed, const char *name, int failing, SimFailure failure)
{
  const SimChange changes[] = { { 2 * KQ_SEC, 0, failing, 0, 1, SLOTS, failure },
                                { 4 * KQ_SEC, 0, failing, 0, 1, SLOTS, SIM_WORKS } };
  SimConfig c = config (seed, RUNNERS);
  KqRand rand = kq_rand (seed);
  SimArrivals a = { 0 };
  SimResult r;
  char label[64];
  c.retries = 3;
  c.caller_retries = 2;
  c.changes = changes;
  c.n_changes = 2;
  add_short_load (&a, &rand, 0.8, 0, END);
  sim_sort_arrivals (&a);
  printf ("\n%d of %d targets fail for 2 s, after the work was done", failing, RUNNERS);
  print_head (name, "0.8 load, three retries by the entry node");
  r = run_three (&c, &a, "no retry budget", no_retry);
  snprintf (label, sizeof label, "%s.tries_per_request", name);
  load_result (label, (double)r.sent / (double)r.groups[SIM_MEASURED].offered, "times",
               1.15, 0);
  sim_result_free (&r);
  free (a.items);
}

/* All runners stop for two seconds, then go on. */
static void
pattern_outage (uint64_t seed)
{
  const SimChange changes[] = { { 2 * KQ_SEC, 0, RUNNERS, 0, 0, SLOTS, SIM_WORKS },
                                { 4 * KQ_SEC, 0, RUNNERS, 0, 1, SLOTS, SIM_WORKS } };
  SimConfig c = config (seed, RUNNERS);
  KqRand rand = kq_rand (seed);
  SimArrivals a = { 0 };
  SimResult r;
  c.changes = changes;
  c.n_changes = 2;
  c.caller_retries = 3;
  add_short_load (&a, &rand, 0.7, 0, 2 * END);
  sim_sort_arrivals (&a);
  print_head ("outage", "0.7 load, all targets stand still for 2 s; callers come back");
  r = run_three (&c, &a, "no admission", no_admission);
  /* A queue of two seconds at 0.7 load drains with the 0.3 that is left. */
  load_result ("outage.normal_per_drain",
               recovered_after (&r, 2 * KQ_SEC, 4 * KQ_SEC, 2 * END)
                   / (2 * KQ_SEC * 0.7 / 0.3),
               "times", 2, 0);
  sim_result_free (&r);
  free (a.items);
}

/* Batch work takes three quarters of the cores of a fifth of the hosts. */
static void
pattern_neighbour (uint64_t seed)
{
  const SimChange change = { 2 * KQ_SEC, 0, RUNNERS / 5, 0, 1, 2, SIM_WORKS };
  SimConfig c = config (seed, RUNNERS);
  KqRand rand = kq_rand (seed);
  SimArrivals a = { 0 };
  SimResult r;
  c.changes = &change;
  c.n_changes = 1;
  c.thrash = 0.15;
  add_short_load (&a, &rand, 0.8, 0, END);
  sim_sort_arrivals (&a);
  print_head ("noisy_neighbour", "0.8 load, 10 of 50 targets keep 2 of 8 cores");
  r = run_three (&c, &a, "no limit", no_limit);
  sim_result_free (&r);
  c.row = sim_row (true);
  no_outlier (&c.row);
  r = run ("no outlier", &c, &a);
  sim_result_free (&r);
  no_limit (&c.row);
  r = run ("no outlier, no limit", &c, &a);
  sim_result_free (&r);
  free (a.items);
}

/* Batch work takes half the cores of all hosts, so that eight concurrent requests get
 * less done than four. */
static void
pattern_wave (uint64_t seed)
{
  const SimChange changes[] = { { 20 * KQ_SEC, 0, RUNNERS, 0, 1, SLOTS / 2.0, SIM_WORKS },
                                { 28 * KQ_SEC, 0, RUNNERS, 0, 1, SLOTS, SIM_WORKS } };
  SimConfig c = config (seed, RUNNERS);
  KqRand rand = kq_rand (seed);
  SimArrivals a = { 0 };
  SimResult r;
  c.changes = changes;
  c.n_changes = 2;
  c.thrash = 0.15;
  add_short_load (&a, &rand, 0.4, 0, 30 * KQ_SEC);
  sim_sort_arrivals (&a);
  print_head ("batch_wave", "0.4 load, all targets keep 4 of 8 cores for 8 s of 30");
  r = run_three (&c, &a, "no limit", no_limit);
  sim_result_free (&r);
  free (a.items);
}

/* The same runners under six owners and six entry nodes, which know the owners' queues as
 * of the last heartbeat. */
static void
pattern_owners (uint64_t seed)
{
  const SimChange slow = { 2 * KQ_SEC, 0, RUNNERS / 6, 6, 0.5, SLOTS, SIM_WORKS };
  SimConfig c = config (seed, RUNNERS);
  KqRand rand = kq_rand (seed);
  SimArrivals a = { 0 };
  SimResult one;
  SimResult six;
  SimResult other;
  add_short_load (&a, &rand, 0.8, 0, END);
  sim_sort_arrivals (&a);
  print_head (
      "owners",
      "0.8 load, six owners and entry nodes; then one owner's 8 targets at half speed");
  one = run ("all on, one owner", &c, &a);
  c.owners = c.entries = 6;
  six = run ("all on, six", &c, &a);
  no_choice (&c.row);
  other = run ("no choice, six", &c, &a);
  load_result ("owners.p99_six_to_one", p99 (&six) / p99 (&one), "times", 1.5, 0);
  sim_result_free (&other);
  sim_result_free (&one);
  sim_result_free (&six);
  c.row = sim_row (true);
  c.changes = &slow;
  c.n_changes = 1;
  one = run ("slow, all on, six", &c, &a);
  no_choice (&c.row);
  six = run ("slow, no choice, six", &c, &a);
  sim_result_free (&one);
  sim_result_free (&six);
  free (a.items);
}

void
load_run_patterns (uint64_t seed)
{
  const SimChange slow = { 2 * KQ_SEC, 0, 1, 0, 0.1, SLOTS, SIM_WORKS };
  const SimChange failing = { 2 * KQ_SEC, 0, 1, 0, 1, SLOTS, SIM_FAILS_AT_ONCE };
  pattern_burst (seed);
  pattern_hot (seed, "hot_caller", &hot_caller);
  pattern_hot (seed, "hot_key", &hot_key);
  pattern_slow (seed, "slow_target", &slow, 0.6);
  pattern_slow (seed, "failing_target", &failing, 0.6);
  pattern_long (seed, "long_among_short", 0.45, 0.45);
  pattern_long (seed, "long_wave", 0.45, 1);
  pattern_overload (seed, 2);
  pattern_overload (seed, 5);
  pattern_recovery (seed);
  pattern_retry_storm (seed, "retry_some", 15, SIM_FAILS_LATE);
  pattern_retry_storm (seed, "retry_storm", RUNNERS, SIM_FAILS_HALF);
  pattern_outage (seed);
  pattern_neighbour (seed);
  pattern_wave (seed);
  pattern_owners (seed);
}
