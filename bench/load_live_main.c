/* load_live: measures the answers of 3 real nodes with stand-in runners under a burst, a
 * hot caller, overload and a slow target. The same seeded arrivals are sent to a service
 * with its safeguards on and then to one with them off. Open loop: a request is sent when
 * it is due, however many are open, and its response time counts from then. */

#include "procs.h"

#include "base/rand.h"
#include "base/result.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
/* Workers of the first process; the second has one more, which can be slowed. */
#define STEADY_WORKERS 9
#define SLOTS 4
#define MEAN_MS 80
/* Requests a second: 40 slots at 80 ms give 500; the bench's event loop can send three
 * times that. */
#define CAPACITY ((STEADY_WORKERS + 1) * SLOTS * 1000.0 / MEAN_MS)
#define DEADLINE KQ_SEC
#define MEASURE_TIME (5 * KQ_SEC)
#define WARM_UP (2 * KQ_SEC)
#define CALLERS 20
#define REQUESTS_MAX 16000
#define SLOW_FAULT "{\"path\":\"/w/b1/r/\",\"delay_ms\":600}"

typedef struct
{
  double load;       /* relative to the capacity, by CALLERS callers */
  double extra_load; /* additional load between the two times */
  KqTime from;
  KqTime to;
  bool hot; /* `extra_load` comes from one caller, not from all */
} Pattern;

typedef struct
{
  struct Phase *phase;
  KqTime due;
  bool hot;
} Arrival;

/* A run of one pattern against one service. The hot caller's requests are counted
 * separately. */
typedef struct Phase
{
  Arrival arrivals[REQUESTS_MAX];
  int n;
  int open;
  int sent;
  int good;
  int late;
  int hot_sent;
  int hot_good;
  KqTime until;               /* end of arrivals */
  int in_span;                /* answered in time and before `until` */
  int codes[KQ_RESULT_LIMIT]; /* 0: no answer */
  KqTime took[REQUESTS_MAX];  /* response times of the other callers' answers */
  int n_took;
} Phase;

typedef struct
{
  double goodput; /* answers in time a second, all callers */
  double p50;     /* milliseconds, without the hot caller */
  double p99;
  double good_percent; /* answered in time, without the hot caller */
} Figures;

typedef struct
{
  Procs procs;
  int store;
  int workers[2];
  int nodes[NODES];
  uint64_t seed;
} Bench;

static const char *const table
    = "{\"changes\":["
      "{\"kind\":\"service\",\"name\":\"on\",\"fields\":{\"deadline_ms\":1000}},"
      "{\"kind\":\"service\",\"name\":\"off\",\"fields\":{\"deadline_ms\":1000,"
      "\"admission\":false,\"fairness\":false,\"short_slots\":false,\"choice\":false,"
      "\"limit\":false,\"outlier\":false,\"retry\":false}}]}";

static bool
post_table (Procs *p, void *arg)
{
  Bench *b = arg;
  ProcsAnswer a;
  bool ok;
  procs_call_operator (p, b->nodes[0], "POST", "/v1/table", table, NULL, &a);
  ok = a.status == 200;
  kq_buf_free (&a.body);
  return ok;
}

static bool
serves (Procs *p, void *arg)
{
  Bench *b = arg;
  for (int i = 0; i < 2 * NODES; i++)
    {
      char url[128];
      ProcsRequest q = { .method = "GET", .url = url };
      ProcsAnswer a;
      snprintf (url, sizeof url, "http://127.0.0.1:%d/s/%s/ready?ms=1",
                p->processes[b->nodes[i / 2]].callers_port, i % 2 == 0 ? "on" : "off");
      procs_call (p, &q, &a);
      kq_buf_free (&a.body);
      if (a.status != 200)
        return false;
    }
  return true;
}

static bool
start_fleet (Bench *b)
{
  static const char *const options = "--rack-size 1 --slots 4 --connections 64";
  static const char *const slowed
      = "--rack-size 1 --first-rack 10 --slots 4 --connections 64";
  Procs *p = &b->procs;
  p->regions = "[[region]]\nname = \"r\"\nshards = 16\n";
  b->store = procs_start_store (p, "");
  b->workers[0] = procs_start_workers (p, "a", "r", "d", STEADY_WORKERS, options);
  b->workers[1] = procs_start_workers (p, "b", "r", "d", 1, slowed);
  if (b->store < 0 || b->workers[0] < 0 || b->workers[1] < 0)
    return false;
  for (int i = 0; i < NODES; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "entry-%d", i);
      b->nodes[i] = procs_start_node (p, name, "r", "d");
      if (b->nodes[i] < 0)
        return false;
    }
  return procs_wait_ready (p, 20 * KQ_SEC) && procs_wait (p, 10 * KQ_SEC, post_table, b)
         && procs_wait (p, 20 * KQ_SEC, serves, b);
}

static void
on_answer (void *arg, const ProcsAnswer *a)
{
  const Arrival *r = arg;
  Phase *ph = r->phase;
  KqTime took = kq_time_now () - r->due;
  bool whole = a->outcome == KQ_HTTP_DONE && a->status == 200;
  bool in_span = kq_time_now () < ph->until;
  ph->open--;
  ph->in_span += whole && took <= DEADLINE && in_span;
  if (!whole)
    ph->codes[a->code > 0 && a->code < KQ_RESULT_LIMIT ? a->code : 0]++;
  else if (r->hot)
    ph->hot_good += took <= DEADLINE;
  else
    {
      ph->took[ph->n_took++] = took;
      ph->good += took <= DEADLINE;
      ph->late += took > DEADLINE;
    }
}

/* Draws the run time and the caller for every arrival, so that both services get the same
 * sequence. */
static void
send_arrival (Bench *b, Phase *ph, const char *service, KqTime due, bool hot,
              KqRand *rand)
{
  char url[128];
  char caller[16];
  KqHeader h[1] = { { KQ_STR ("X-Kq-Caller"), { 0 } } };
  ProcsRequest q
      = { .method = "GET", .url = url, .headers = h, .n_headers = 1, .total_ms = 5000 };
  int ms = MEAN_MS / 2 + (int)kq_rand_below (rand, MEAN_MS + 1);
  int number = (int)kq_rand_below (rand, CALLERS);
  Arrival *r = &ph->arrivals[ph->n];
  snprintf (caller, sizeof caller, "c%d", hot ? CALLERS : number);
  h[0].value = kq_str (caller);
  snprintf (url, sizeof url, "http://127.0.0.1:%d/s/%s/recalc?ms=%d",
            b->procs.processes[b->nodes[ph->n % NODES]].callers_port, service, ms);
  *r = (Arrival){ ph, due, hot };
  ph->n++;
  ph->sent += !hot;
  ph->hot_sent += hot;
  ph->open++;
  procs_send (&b->procs, &q, on_answer, r);
}

static bool
all_answered (Procs *p, void *arg)
{
  const Phase *ph = arg;
  (void)p;
  return ph->open == 0;
}

/* Sends two streams of arrivals (`load` and `extra_load`), each with its own random
 * generator, in order of time, and waits for the answers. */
static void
offer (Bench *b, Phase *ph, const char *service, const Pattern *p, KqTime span)
{
  KqRand rand[2] = { kq_rand (b->seed), kq_rand (b->seed + 1) };
  double rate[2] = { p->load * CAPACITY, p->extra_load * CAPACITY };
  KqTime start = kq_time_now ();
  ph->until = start + span;
  KqTime next[2] = { 0, p->from };
  while (ph->n < REQUESTS_MAX)
    {
      int k = rate[1] > 0 && next[1] < p->to && next[1] < next[0];
      KqTime due = start + next[k];
      if (next[k] >= span)
        break;
      if (due > kq_time_now ())
        procs_run (&b->procs, due - kq_time_now (), NULL);
      send_arrival (b, ph, service, due, k == 1 && p->hot, &rand[k]);
      next[k] += 1 + (KqTime)kq_rand_exp (&rand[k], (double)KQ_SEC / rate[k]);
    }
  procs_wait (&b->procs, 10 * KQ_SEC, all_answered, ph);
}

static int
compare (const void *a, const void *b)
{
  KqTime x = *(const KqTime *)a;
  KqTime y = *(const KqTime *)b;
  return (x > y) - (x < y);
}

static double
percentile (const Phase *ph, int percent)
{
  size_t i = (size_t)ph->n_took * (size_t)percent / 100;
  return ph->n_took > 0 ? (double)ph->took[i] / KQ_MS : 0;
}

static Figures
show (const char *label, Phase *ph, KqTime span)
{
  Figures f;
  qsort (ph->took, (size_t)ph->n_took, sizeof ph->took[0], compare);
  f = (Figures){ ph->in_span * (double)KQ_SEC / (double)span, percentile (ph, 50),
                 percentile (ph, 99), 100.0 * ph->good / (ph->sent > 0 ? ph->sent : 1) };
  printf ("  %-18s %6d %6d %5d %6d %6d %8.1f %8.1f %8.1f ", label, ph->sent, ph->good,
          ph->late, ph->hot_sent, ph->hot_good, f.goodput, f.p50, f.p99);
  for (int c = 0; c < KQ_RESULT_LIMIT; c++)
    {
      if (ph->codes[c] > 0)
        printf (" %s %d", c != 0 ? kq_result_name ((KqResult)c) : "no-answer",
                ph->codes[c]);
    }
  printf ("%s\n", ph->open > 0 ? " STILL OPEN" : "");
  return f;
}

static Figures
run (Bench *b, const char *label, const char *service, const Pattern *p)
{
  static Phase ph;
  ph = (Phase){ 0 };
  offer (b, &ph, service, p, MEASURE_TIME);
  return show (label, &ph, MEASURE_TIME);
}

static void
result (const char *name, double value, const char *unit, const char *limit, bool ok)
{
  printf ("RESULT load_live_%s %.2f %s %s %s\n", name, value, unit, limit,
          ok ? "ok" : "short");
}

static void
print_head (const char *pattern)
{
  printf ("%s\n  %-18s %6s %6s %5s %6s %6s %8s %8s %8s  %s\n", pattern, "safeguards",
          "sent", "intime", "late", "hot", "intime", "goodput", "p50 ms", "p99 ms",
          "not answered, by code");
}

static void
pattern_burst (Bench *b)
{
  const Pattern p = { 0.5, 5, 2 * KQ_SEC, 2500 * KQ_MS, false };
  Figures on;
  Figures off;
  print_head ("burst: half load, 5 times the capacity more for half a second");
  on = run (b, "on", "on", &p);
  off = run (b, "off", "off", &p);
  result ("burst_p99_served", on.p99, "ms", "<=1000", on.p99 <= 1000);
  result ("burst_goodput_on_off", on.goodput / off.goodput, "times", "-", true);
}

static void
pattern_hot (Bench *b)
{
  const Pattern calm = { 0.6, 0, 0, 0, false };
  const Pattern p = { 0.6, 2, KQ_SEC, MEASURE_TIME, true };
  Figures baseline;
  Figures on;
  Figures off;
  print_head ("hot caller: 20 others at 0.6 of the capacity, the hot one at 2 times");
  baseline = run (b, "on, no hot one", "on", &calm);
  on = run (b, "on", "on", &p);
  off = run (b, "off", "off", &p);
  result ("hot_others_p99_ratio", on.p99 / baseline.p99, "times", "<=1.2",
          on.p99 <= 1.2 * baseline.p99);
  result ("hot_others_p99_ratio_off", off.p99 / baseline.p99, "times", "-", true);
  result ("hot_others_in_time", on.good_percent, "percent", ">=99",
          on.good_percent >= 99);
  result ("hot_others_in_time_off", off.good_percent, "percent", "-", true);
}

static void
pattern_overload (Bench *b)
{
  const Pattern p = { 2.5, 0, 0, 0, false };
  Figures on;
  Figures off;
  print_head ("overload: 2.5 times the capacity");
  on = run (b, "on", "on", &p);
  off = run (b, "off", "off", &p);
  result ("overload_goodput", 100 * on.goodput / CAPACITY, "percent", ">=90",
          on.goodput >= 0.9 * CAPACITY);
  result ("overload_goodput_off", 100 * off.goodput / CAPACITY, "percent", "-", true);
  result ("overload_p99_served", on.p99, "ms", "<=1000", on.p99 <= 1000);
}

/* Runs last: the owners still avoid the runner for a while after it is fast again. */
static void
pattern_slow (Bench *b)
{
  const Pattern p = { 0.6, 0, 0, 0, false };
  Figures baseline;
  Figures on;
  Figures off;
  print_head ("slow target: 0.6 of the capacity, one runner of 10 takes 600 ms more");
  baseline = run (b, "on, none slow", "on", &p);
  procs_set_fault (&b->procs, b->workers[1], SLOW_FAULT);
  on = run (b, "on", "on", &p);
  off = run (b, "off", "off", &p);
  procs_set_fault (&b->procs, b->workers[1], "{\"clear\":true}");
  result ("slow_p99_ratio", on.p99 / baseline.p99, "times", "<1.5",
          on.p99 < 1.5 * baseline.p99);
  result ("slow_p99_ratio_off", off.p99 / baseline.p99, "times", "-", true);
}

/* Prints how many runners each owner has: the figures depend on it, because owners of few
 * runners fill up first. */
static void
show_owners (Bench *b)
{
  printf ("runners of each owner:");
  for (int i = 0; i < NODES; i++)
    {
      json_t *o = procs_json (&b->procs, b->nodes[i], "/v1/queues");
      printf (" %zu", json_array_size (json_object_get (o, "runners")));
      json_decref (o);
    }
  puts ("");
}

int
main (int argc, char **argv)
{
  static Bench b;
  static Phase warm;
  const Pattern half = { 0.5, 0, 0, 0, false };
  int code = 1;
  setvbuf (stdout, NULL, _IOLBF, 0);
  b.seed = argc > 2 ? strtoull (argv[2], NULL, 10) : 1;
  if (!procs_init (&b.procs, argc > 1 ? argv[1] : "build"))
    return 1;
  if (!start_fleet (&b))
    {
      puts ("the processes did not come up");
      goto out;
    }
  printf ("seed %llu, capacity %.0f requests a second\n", (unsigned long long)b.seed,
          CAPACITY);
  offer (&b, &warm, "on", &half, WARM_UP);
  offer (&b, &warm, "off", &half, WARM_UP);
  show_owners (&b);
  pattern_burst (&b);
  pattern_hot (&b);
  pattern_overload (&b);
  pattern_slow (&b);
  code = 0;
out:
  procs_free (&b.procs, false);
  return code;
}
