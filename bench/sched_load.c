#include "sched_load.h"

#include "base/log.h"
#include "base/rand.h"
#include "sched/sched.h"

#include <glib.h>

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TICK (5 * KQ_MS)
#define CPU_MILLI 16000
#define MEM_MB 64000
#define RUNNERS_PER_RACK 8
#define LEASE_MS 5000
#define LIST_INTERVAL (1500 * KQ_MS)
#define WATCHED_LIST_INTERVAL (500 * KQ_MS)
#define END_BATCH_DELAY (20 * KQ_MS)
#define STORE_LATENCY (5 * KQ_MS)
#define AGENTS_MIN 16
#define RUNNERS_PER_AGENT 10
/* One agent in STRONG_EVERY has a whole core, the others WEAK_SHARE_MILLI of one. */
#define STRONG_EVERY 8
#define WEAK_SHARE_MILLI 120
/* From an assignment to its first list: to the agent, to the runner and back. */
#define FIRST_LIST_DELAY (80 * KQ_MS)
#define FILLING_IMAGES 30
#define SERVING_IMAGES 16
/* New jobs per second and runner at load 1. */
#define SHORT_JOBS_PER_S 0.030
#define WIDE_JOBS_PER_S 0.028
#define LASTING_JOBS_PER_S 0.0011
/* Lasting jobs at the start, per runner. */
#define LASTING_AT_START 0.19

typedef enum
{
  SHORT,
  WIDE,
  LASTING
} Kind;

typedef struct
{
  char task[64];
  uint32_t run;
  Kind kind;
  int image;
  int target_ms;
  int cpu_milli;
  double phase;
  KqTime left; /* of the work; at pace 100 it falls as time passes */
  KqTime total;
  int pace;
  bool fails;
} Run;

typedef struct
{
  KqEndRow row;
  char task[64];
} End;

typedef struct
{
  char id[16];
  int agent;
  uint64_t assignment;
  uint64_t outcomes_sent;
  uint64_t halt;
  uint64_t next_end;
  bool assigned;
  bool watched;
  bool listed; /* to its present agent */
  KqTime next_list_at;
  GArray *runs;       /* Run */
  GPtrArray *ends;    /* End, not acknowledged */
  size_t ends_listed; /* of those in `ends`, listed already */
} Runner;

typedef struct
{
  int runner;
  KqOrderKind kind;
  char task[64];
  uint32_t run;
  int percent;
} Order;

typedef struct
{
  char id[16];
  KqTime due;
} Deadline;

typedef struct
{
  KqSchedLoadConfig config;
  KqSchedLoadResult out;
  KqSched *sched;
  KqRand rand;     /* for jobs and runners: independent of the decisions */
  KqRand run_rand; /* for runs */
  KqTime now;
  Runner *runners;
  GHashTable *by_id; /* runner id -> index + 1 */
  GArray *orders;    /* Order, received in this tick; carried out in the next */
  GHashTable *kinds; /* job id -> Kind + 1 */
  GArray *deadlines; /* Deadline */
  double harm[SERVING_IMAGES][FILLING_IMAGES]; /* slack that a filling run takes */
  int n_jobs;
  int n_listed;         /* runners that have listed their runs */
  KqTime store_done_at; /* time at which the batch in flight is stored; 0: none */
} Load;

static double
cpu_time_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* Uniform between mean * (1 - by) and mean * (1 + by). */
static double
draw_from (KqRand *r, double mean, double by)
{
  return mean * (1 - by + 2 * by * kq_rand_unit (r));
}

static double
draw (Load *l, double mean, double by)
{
  return draw_from (&l->rand, mean, by);
}

static void
hash_decision (Load *l, const KqOrder *o, KqStr task, uint32_t run)
{
  uint64_t what = kq_hash2 (kq_str_hash (task), (uint64_t)run << 8 | o->kind);
  l->out.decisions
      = kq_hash2 (l->out.decisions, kq_hash2 (what, kq_str_hash (o->runner)));
}

static void
queue_order (Load *l, int runner, const KqOrder *o, KqStr task, uint32_t run, int percent)
{
  Order order = { .runner = runner, .kind = o->kind, .run = run, .percent = percent };
  kq_str_copy (task, order.task, sizeof order.task);
  g_array_append_val (l->orders, order);
}

static void
drop_acked_ends (Runner *r, uint64_t seen)
{
  while (r->ends->len > 0 && ((End *)r->ends->pdata[0])->row.number <= seen)
    {
      g_ptr_array_remove_index (r->ends, 0);
      if (r->ends_listed > 0)
        r->ends_listed--;
    }
}

static void
on_order (void *arg, int agent, const KqOrder *o)
{
  Load *l = arg;
  char id[16];
  int n;
  Runner *r;
  kq_str_copy (o->runner, id, sizeof id);
  n = GPOINTER_TO_INT (g_hash_table_lookup (l->by_id, id)) - 1;
  if (n < 0)
    return;
  r = &l->runners[n];
  switch (o->kind)
    {
    case KQ_ORDER_TAKE:
      r->assigned = true;
      r->agent = agent;
      r->assignment = o->u.take.assignment;
      r->halt = o->u.take.assignment;
      r->next_list_at = l->now + FIRST_LIST_DELAY;
      r->listed = false;
      break;
    case KQ_ORDER_DROP:
      r->assigned = false;
      break;
    case KQ_ORDER_RENEW:
      r->halt = 0;
      break;
    case KQ_ORDER_SEEN:
      drop_acked_ends (r, o->u.seen.ends);
      r->watched = o->u.seen.watched;
      break;
    case KQ_ORDER_START:
      l->out.starts++;
      hash_decision (l, o, o->u.start.task, o->u.start.run);
      queue_order (l, n, o, o->u.start.task, o->u.start.run, 100);
      break;
    case KQ_ORDER_STOP:
      hash_decision (l, o, o->u.stop.task, o->u.stop.run);
      queue_order (l, n, o, o->u.stop.task, o->u.stop.run, 0);
      break;
    case KQ_ORDER_PACE:
      l->out.paces++;
      queue_order (l, n, o, o->u.pace.task, o->u.pace.run, o->u.pace.percent);
      break;
    case KQ_ORDER_ADVISE:
      break;
    }
}

static KqStep
short_step (Load *l)
{
  return (KqStep){ .width = (int32_t)draw (l, 9.4, 0.8),
                   .cpu_milli = (int32_t)draw (l, 3200, 0.45),
                   .mem_mb = (int32_t)draw (l, 6400, 0.3),
                   .estimate_ms = (int32_t)draw (l, 640, 0.5),
                   .image = KQ_STR ("") };
}

static KqStep
wide_step (Load *l, char image[8])
{
  snprintf (image, 8, "f%d", (int)kq_rand_below (&l->rand, FILLING_IMAGES));
  return (KqStep){ .width = (int32_t)draw (l, 39, 0.6),
                   .cpu_milli = (int32_t)draw (l, 1800, 0.3),
                   .mem_mb = (int32_t)draw (l, 3200, 0.3),
                   .estimate_ms = (int32_t)draw (l, 1700, 0.5),
                   .filling = true,
                   .checkpoints = true,
                   .image = kq_str (image) };
}

static KqStep
lasting_step (Load *l, char image[8])
{
  snprintf (image, 8, "s%d", (int)kq_rand_below (&l->rand, SERVING_IMAGES));
  return (KqStep){ .width = (int32_t)draw (l, 24, 0.4),
                   .cpu_milli = (int32_t)draw (l, 3200, 0.25),
                   .mem_mb = (int32_t)draw (l, 6400, 0.3),
                   .estimate_ms = 500,
                   .lasting = true,
                   .target_ms = 18,
                   .max_unavailable = 1,
                   .image = kq_str (image) };
}

static void
submit (Load *l, Kind kind)
{
  int32_t first = 0;
  char images[2][8] = { "", "" };
  char id[16];
  KqStep steps[2];
  KqSpec s = { .queue = KQ_STR ("q"),
               .service = KQ_STR ("desk"),
               .text = KQ_STR ("x"),
               .attempts = 4,
               .stretch_percent = kind == SHORT ? 150 : 200,
               .slo_ms = kind == SHORT ? 500 : 1000,
               .accepted_ms = l->now / KQ_MS,
               .steps = steps };
  KqBuf stored = { 0 };
  s.n_steps = kind != LASTING && kq_rand_below (&l->rand, 10) < 6 ? 2 : 1;
  for (int i = 0; i < s.n_steps; i++)
    steps[i] = kind == SHORT  ? short_step (l)
               : kind == WIDE ? wide_step (l, images[i])
                              : lasting_step (l, images[i]);
  if (s.n_steps == 2)
    {
      steps[1].after = &first;
      steps[1].n_after = 1;
    }
  snprintf (id, sizeof id, "j%d", l->n_jobs++);
  s.id = kq_str (id);
  kq_spec_pack (&s, &stored);
  g_hash_table_insert (l->kinds, strdup (id), GINT_TO_POINTER (kind + 1));
  kq_sched_add_job (l->sched, kq_buf_str (&stored), 1000 + (uint64_t)l->n_jobs, l->now);
  kq_buf_free (&stored);
  if (kind != LASTING)
    {
      Deadline d = { .due = l->now + kq_spec_objective_ms (&s) * KQ_MS };
      memcpy (d.id, id, sizeof id);
      g_array_append_val (l->deadlines, d);
      l->out.jobs++;
    }
}

static void
submit_due (Load *l)
{
  static const double rates[] = { SHORT_JOBS_PER_S, WIDE_JOBS_PER_S, LASTING_JOBS_PER_S };
  for (int k = 0; k < 3; k++)
    {
      double n = rates[k] * l->config.load * l->config.runners * TICK / KQ_SEC;
      if (kq_rand_unit (&l->rand) < n)
        submit (l, (Kind)k);
    }
}

static void
check_deadlines (Load *l)
{
  for (guint i = 0; i < l->deadlines->len; i++)
    {
      const Deadline *d = &g_array_index (l->deadlines, Deadline, i);
      if (kq_sched_state (l->sched, kq_str (d->id)) < KQ_JOB_COMPLETED)
        continue;
      l->out.jobs_ended++;
      l->out.jobs_late += l->now > d->due;
      g_array_remove_index_fast (l->deadlines, i--);
    }
}

/* Runners. */

static double
progress_rate (const Run *r)
{
  return r->kind == LASTING ? 0 : (double)r->pace / 100;
}

static int
latency_tail_ms (const Load *l, const Runner *r, const Run *serving)
{
  double swing
      = 1
        + 0.5 * sin ((double)l->now / (double)(10 * KQ_SEC) * 2 * M_PI + serving->phase);
  double slack = 2.0 / swing + 0.3;
  for (guint i = 0; i < r->runs->len; i++)
    {
      const Run *f = &g_array_index (r->runs, Run, i);
      if (f->kind == WIDE)
        slack -= l->harm[serving->image][f->image] * f->pace / 100 * f->cpu_milli
                 / CPU_MILLI;
    }
  return (int)(serving->target_ms / (slack > 0.3 ? slack : 0.3));
}

static int
image_of (const Load *l, const char *task, Kind kind)
{
  uint64_t h = kq_str_hash (kq_str_cut (&(KqStr){ task, strlen (task) }, '.'));
  (void)l;
  return (int)(h % (kind == LASTING ? SERVING_IMAGES : FILLING_IMAGES));
}

static void
start_run (Load *l, Runner *r, const Order *o)
{
  KqStr rest = kq_str (o->task);
  KqStr job = kq_str_cut (&rest, '.');
  char id[16];
  Run run = { .run = o->run, .pace = 100, .cpu_milli = 1800, .target_ms = 18 };
  kq_str_copy (job, id, sizeof id);
  run.kind = (Kind)(GPOINTER_TO_INT (g_hash_table_lookup (l->kinds, id)) - 1);
  memcpy (run.task, o->task, sizeof run.task);
  run.image = image_of (l, run.task, run.kind);
  run.phase = (double)(kq_str_hash (job) % 628) / 100;
  run.total
      = (KqTime)draw_from (&l->run_rand, run.kind == SHORT ? 640 : 1700, 0.6) * KQ_MS;
  run.left = run.total;
  run.fails = kq_rand_below (&l->run_rand, 20) == 0;
  g_array_append_val (r->runs, run);
}

static void
end_run (Load *l, Runner *r, guint at, KqEndReason how)
{
  const Run *run = &g_array_index (r->runs, Run, at);
  End *e = kq_alloc (sizeof *e);
  memcpy (e->task, run->task, sizeof e->task);
  e->row = (KqEndRow){ ++r->next_end, kq_str (e->task), run->run, how, KQ_STR ("") };
  g_ptr_array_add (r->ends, e);
  l->out.done += how == KQ_END_DONE;
  g_array_remove_index_fast (r->runs, at);
  if (r->next_list_at > l->now + END_BATCH_DELAY && r->ends_listed == 0)
    r->next_list_at = l->now + END_BATCH_DELAY;
}

static Run *
find_run (Runner *r, const Order *o, guint *at)
{
  for (guint i = 0; i < r->runs->len; i++)
    {
      Run *run = &g_array_index (r->runs, Run, i);
      if (run->run == o->run && strcmp (run->task, o->task) == 0)
        {
          *at = i;
          return run;
        }
    }
  return NULL;
}

static void
execute_order (Load *l, const Order *o)
{
  Runner *r = &l->runners[o->runner];
  KqOrderOutcome out = { .kind = o->kind,
                         .task = kq_str (o->task),
                         .run = o->run,
                         .result = KQ_ORDER_OK,
                         .order = ++r->outcomes_sent,
                         .assignment = r->assignment,
                         .lease_left_ms = LEASE_MS };
  guint at;
  Run *run = find_run (r, o, &at);
  if (o->kind == KQ_ORDER_START && run == NULL)
    start_run (l, r, o);
  else if (o->kind == KQ_ORDER_STOP && run != NULL)
    end_run (l, r, at, KQ_END_STOPPED);
  else if (o->kind == KQ_ORDER_PACE && run != NULL)
    run->pace = o->percent;
  kq_sched_outcome (l->sched, r->agent, kq_str (r->id), &out, l->now);
}

static void
advance_runs (Load *l, Runner *r)
{
  for (guint i = 0; i < r->runs->len; i++)
    {
      Run *run = &g_array_index (r->runs, Run, i);
      if (run->kind == LASTING)
        continue;
      run->left -= (KqTime)((double)TICK * progress_rate (run));
      if (run->left <= 0)
        end_run (l, r, i--, run->fails ? KQ_END_FAILED : KQ_END_DONE);
    }
}

static void
send_list (Load *l, Runner *r)
{
  guint n = r->runs->len;
  KqRunRow *rows = kq_alloc ((n + 1) * sizeof *rows);
  KqEndRow *ends = kq_alloc ((r->ends->len + 1) * sizeof *ends);
  KqRunnerList list = { .started_ms = 1,
                        .lease_left_ms = LEASE_MS,
                        .order = r->outcomes_sent,
                        .assignment = r->assignment,
                        .halt = r->halt,
                        .running = rows,
                        .n_running = n,
                        .ended = ends,
                        .n_ended = r->ends->len };
  double cpu_before_s;
  for (guint i = 0; i < n; i++)
    {
      const Run *run = &g_array_index (r->runs, Run, i);
      int tail = run->kind == LASTING ? latency_tail_ms (l, r, run) : run->cpu_milli;
      rows[i] = (KqRunRow){ .task = kq_str (run->task),
                            .run = run->run,
                            .checkpoint = KQ_STR (""),
                            .percent = run->kind == LASTING
                                           ? 100
                                           : (int)(100 - 100 * run->left / run->total),
                            .load = tail };
      if (run->kind == LASTING && tail > run->target_ms)
        l->out.over_target_s += r->watched ? 0.5 : 1.5;
    }
  for (guint i = 0; i < r->ends->len; i++)
    ends[i] = ((End *)r->ends->pdata[i])->row;
  r->ends_listed = r->ends->len;
  cpu_before_s = cpu_time_s ();
  kq_sched_list (l->sched, r->agent, kq_str (r->id), &list, l->now);
  l->out.list_s += cpu_time_s () - cpu_before_s;
  l->out.lists++;
  if (!r->listed && ++l->n_listed == l->config.runners && l->out.all_listed_at == 0)
    l->out.all_listed_at = l->now;
  r->listed = true;
  r->next_list_at = l->now + (r->watched ? WATCHED_LIST_INTERVAL : LIST_INTERVAL);
  free (rows);
  free (ends);
}

static void
store (Load *l)
{
  KqProgress rows[27];
  KqBuf used_runners = { 0 };
  if (l->store_done_at != 0 && l->now >= l->store_done_at)
    {
      kq_sched_stored (l->sched, true, l->now);
      l->store_done_at = 0;
    }
  if (kq_sched_used_runners_pending (l->sched))
    {
      kq_sched_used_runners_pack (l->sched, &used_runners);
      kq_buf_clear (&used_runners);
      kq_sched_used_agents_pack (l->sched, &used_runners);
      kq_sched_used_runners_stored (l->sched);
      kq_buf_free (&used_runners);
    }
  if (l->store_done_at == 0 && kq_sched_store_due (l->sched) <= l->now
      && kq_sched_store_begin (l->sched, rows, G_N_ELEMENTS (rows), l->now) > 0)
    l->store_done_at = l->now + STORE_LATENCY;
}

static void
tick (Load *l)
{
  GArray *orders = l->orders;
  double cpu_before_s = cpu_time_s ();
  l->orders = g_array_new (FALSE, FALSE, sizeof (Order));
  submit_due (l);
  for (guint i = 0; i < orders->len; i++)
    execute_order (l, &g_array_index (orders, Order, i));
  g_array_free (orders, TRUE);
  l->out.cpu_s += cpu_time_s () - cpu_before_s;
  for (int i = 0; i < l->config.runners; i++)
    {
      Runner *r = &l->runners[i];
      advance_runs (l, r);
      if (r->assigned && l->now >= r->next_list_at)
        send_list (l, r);
    }
  cpu_before_s = cpu_time_s ();
  kq_sched_run (l->sched, l->now, l->now / KQ_MS);
  cpu_before_s = cpu_time_s () - cpu_before_s;
  l->out.pass_s += cpu_before_s;
  if (cpu_before_s > l->out.longest_pass_s)
    l->out.longest_pass_s = cpu_before_s;
  l->out.passes++;
  cpu_before_s = cpu_time_s ();
  store (l);
  l->out.store_s += cpu_time_s () - cpu_before_s;
}

static void
add_runners (Load *l)
{
  static const double sizes[] = { 1.0, 1.0, 1.5 };
  l->runners = kq_alloc ((size_t)l->config.runners * sizeof *l->runners);
  for (int i = 0; i < l->config.runners; i++)
    {
      Runner *r = &l->runners[i];
      char rack[16];
      char host[16];
      char domain[16];
      double size = sizes[kq_rand_below (&l->rand, 3)];
      KqRunnerEntry e
          = { .service = KQ_STR ("desk"),
              .address = KQ_STR ("127.0.0.1:1"),
              .kind = KQ_STR ("a"),
              .started_ms = 1,
              .room = { (int64_t)(CPU_MILLI * size), (int64_t)(MEM_MB * size), 0 } };
      snprintf (r->id, sizeof r->id, "r%d", i);
      snprintf (rack, sizeof rack, "k%d", i / RUNNERS_PER_RACK);
      snprintf (host, sizeof host, "h%d", i);
      snprintf (domain, sizeof domain, "d%d", i % 6);
      e.id = kq_str (r->id);
      e.rack = kq_str (rack);
      e.host = kq_str (host);
      e.failure_domain = kq_str (domain);
      r->runs = g_array_new (FALSE, FALSE, sizeof (Run));
      r->ends = g_ptr_array_new_with_free_func (free);
      g_hash_table_insert (l->by_id, r->id, GINT_TO_POINTER (i + 1));
      kq_sched_entry (l->sched, &e, l->now);
    }
}

static void
add_agents (Load *l)
{
  int n = l->config.runners / RUNNERS_PER_AGENT;
  for (int i = 0; i < n || i < AGENTS_MIN; i++)
    {
      char name[16];
      char domain[16];
      KqAgentInfo info
          = { .share_milli = i % STRONG_EVERY == 0 ? 1000 : WEAK_SHARE_MILLI };
      snprintf (name, sizeof name, "n%d", i);
      snprintf (domain, sizeof domain, "d%d", i % 6);
      info.name = kq_name (kq_str (name));
      info.failure_domain = kq_name (kq_str (domain));
      kq_sched_agent_up (l->sched, &info, l->now);
    }
}

static void
draw_harm (Load *l)
{
  for (int s = 0; s < SERVING_IMAGES; s++)
    for (int f = 0; f < FILLING_IMAGES; f++)
      l->harm[s][f]
          = kq_rand_below (&l->rand, 100) < 35 ? 5 * kq_rand_unit (&l->rand) : 0;
}

static void
clear (Load *l)
{
  for (int i = 0; i < l->config.runners; i++)
    {
      g_array_free (l->runners[i].runs, TRUE);
      g_ptr_array_free (l->runners[i].ends, TRUE);
    }
  free (l->runners);
  kq_sched_free (l->sched);
  g_hash_table_destroy (l->by_id);
  g_hash_table_destroy (l->kinds);
  g_array_free (l->orders, TRUE);
  g_array_free (l->deadlines, TRUE);
}

KqSchedLoadResult
kq_sched_load_run (const KqSchedLoadConfig *c)
{
  Load l = {
    .config = *c, .now = KQ_SEC, .rand = kq_rand (c->seed), .run_rand = kq_rand (~c->seed)
  };
  KqCounters *counters = kq_counters_new ();
  KqSchedConfig config = { .epoch = 1,
                           .term = 1,
                           .lease_ms = LEASE_MS,
                           .renew_without_leader_ms = 4000,
                           .keep_ms = 30000,
                           .counters = counters,
                           .order = on_order,
                           .arg = &l };
  l.sched = kq_sched_new (&config, l.now);
  l.by_id = g_hash_table_new (g_str_hash, g_str_equal);
  l.kinds = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  l.orders = g_array_new (FALSE, FALSE, sizeof (Order));
  l.deadlines = g_array_new (FALSE, FALSE, sizeof (Deadline));
  draw_harm (&l);
  add_agents (&l);
  add_runners (&l);
  kq_sched_loaded (l.sched, l.now);
  for (int i = (int)(LASTING_AT_START * c->load * c->runners); i > 0; i--)
    submit (&l, LASTING);
  for (KqTime end = l.now + c->span; l.now < end; l.now += TICK)
    {
      tick (&l);
      if (l.now % (50 * KQ_MS) == 0)
        check_deadlines (&l);
    }
  l.out.runners_examined = *kq_counter (counters, "kq_place_looks_total", "", "");
  l.out.all_listed_at -= l.out.all_listed_at > 0 ? KQ_SEC : 0;
  l.out.cpu_s += l.out.pass_s + l.out.list_s + l.out.store_s;
  clear (&l);
  kq_counters_free (counters);
  return l.out;
}
