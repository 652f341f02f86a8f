#ifndef KQ_BENCH_LOAD_SIM_H
#define KQ_BENCH_LOAD_SIM_H

/* load_sim: simulates the owners' dispatchers and the entry nodes' routing and retry
 * budgets (the real modules) under seeded arrivals in simulated time, with model runners.
 *
 * Owners' digests reach the entry nodes every half second, as heartbeats do. Runners are
 * assigned to the owners round-robin; requests arrive at the entry nodes at random.
 *
 * The requests at a runner share its cores evenly and slow down by `thrash` for each
 * request above the number of cores. A runner finishes requests whose caller has timed
 * out (the worst case): its slot stays taken and that work is wasted. */

#include "base/rand.h"
#include "request/dispatch.h"
#include "table/table.h"

#define SIM_NODES_MAX 16
#define SIM_CALLERS 64
#define SIM_RUNNERS_MAX 4200

typedef enum
{
  SIM_MEASURED, /* the requests whose figures a pattern is judged by */
  SIM_LONG,
  SIM_HOT,
  SIM_GROUPS
} SimGroup;

/* A request as sent by its caller. */
typedef struct
{
  KqTime at;
  KqTime work; /* microseconds on an undisturbed core */
  uint64_t class_id;
  uint64_t key;
  int caller; /* below SIM_CALLERS */
  SimGroup group;
} SimArrival;

typedef struct
{
  SimArrival *items;
  size_t n;
  size_t capacity;
} SimArrivals;

typedef enum
{
  SIM_WORKS,
  SIM_FAILS_AT_ONCE, /* answers every request with an error at once */
  SIM_FAILS_LATE,    /* answers every request with an error after its work is done */
  SIM_FAILS_HALF     /* the same for a random half of the requests */
} SimFailure;

/* From `at` on, n runners have these properties: `first` and every step-th after it (0:
 * each). */
typedef struct
{
  KqTime at;
  int first;
  int n;
  int step;
  double speed;
  double cores;
  SimFailure failure;
} SimChange;

typedef struct
{
  uint64_t seed;
  int runners;
  int slots;
  int owners;  /* 0: one */
  int entries; /* 0: one */
  double thrash;
  KqTime deadline;
  KqTime end;         /* of arrivals; the run ends when all are answered */
  int retries;        /* by the entry node after an error or a refusal */
  int caller_retries; /* by the caller after a refusal, after the advised wait */
  KqServiceRow row;
  const SimChange *changes;
  size_t n_changes;
} SimConfig;

typedef struct
{
  KqTime at; /* when it was answered */
  KqTime took;
} SimAnswer;

typedef struct
{
  size_t offered;
  size_t good; /* answered in time */
  size_t late;
  size_t refused;
  size_t failed;
  SimAnswer *answers; /* good and late */
  size_t capacity;
} SimStats;

typedef struct
{
  SimStats groups[SIM_GROUPS];
  size_t caller_offered[SIM_CALLERS];
  size_t caller_good[SIM_CALLERS];
  double work_done;   /* microseconds of slot time */
  double work_wasted; /* part of it for requests that weren't answered in time */
  size_t sent;        /* attempts that reached a runner */
  size_t queue_peak;
  double queue_work_at_mark; /* expected work queued at `mark` */
} SimResult;

/* A service row with all safeguards on or off. */
KqServiceRow sim_row (bool safeguards);
/* Adds Poisson arrivals in [from, to) at `rate` a second with exponential work of that
 * mean; the rest as in `like`, but with a random caller of `callers` from like->caller
 * on, and a random key of `keys` from like->key on. */
void sim_add_arrivals (SimArrivals *a, KqRand *rand, const SimArrival *like, double rate,
                       KqTime from, KqTime to, KqTime mean, int callers, int keys);
void sim_sort_arrivals (SimArrivals *a);
/* mark: time at which queue_work_at_mark is sampled; 0: never. Free the result with
 * sim_result_free. */
SimResult sim_run (const SimConfig *c, const SimArrivals *a, KqTime mark);
void sim_result_free (SimResult *r);
/* The p-quantile (0 to 1) of the response times of answers in [from, to); 0 if none. */
KqTime sim_percentile (const SimStats *s, double p, KqTime from, KqTime to);
/* Number of answers within the deadline that came before `to`. */
size_t sim_good_before (const SimStats *s, KqTime deadline, KqTime to);
/* Jain's fairness index of the callers' shares of requests answered in time. */
double sim_fairness (const SimResult *r);

#endif
