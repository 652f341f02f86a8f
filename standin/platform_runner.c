#include "platform_runner.h"

#include "base/rand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUN_CHECK_INTERVAL_S 0.02
#define ATTEMPTS_MAX 3    /* "attempts" in the configuration of standin-platform */
#define LEASE_MAX_MS 6000 /* no lease ends later than this from now */

typedef struct
{
  char *task;
  uint32_t run;
  KqTime started_at;
  KqTime duration; /* 0: runs until stopped */
  bool fails;
} Run;

typedef struct
{
  uint64_t number; /* counts the runner's ends from 1 */
  char *task;
  uint32_t run;
  const char *reason; /* "done", "failed", "stopped" or "lapsed" (lease expired) */
} End;

struct KqPlatformLedger
{
  GHashTable *acked_done;     /* tasks with an acknowledged end as done */
  GHashTable *reported_done;  /* tasks that have ended as done */
  GHashTable *acked_failures; /* task -> number of acknowledged failures */
  GHashTable *running;        /* task -> number of current runs */
  GHashTable *started_jobs;   /* jobs of which a task has started */
  int breaches;
  char first_breach[200];
  uint64_t starts;
  uint64_t tickets_refused; /* starts without a valid ticket */
};

struct KqPlatformRunner
{
  KqLoop *loop;
  KqPlatformKv *kv;
  KqPlatformLedger *ledger;
  KqWeb *web;
  char id[32];
  char key[48];
  int cpu_milli;
  int64_t clock_base_ms; /* clock_ms at the start */
  bool alive;
  int64_t started_ms; /* wall clock */
  KqTime started_at;
  int64_t lease_end_ms; /* by clock_ms */
  uint64_t fence;
  uint64_t last_end;
  GPtrArray *runs;
  GPtrArray *ends;
  GHashTable *highest_run;  /* task -> highest run number that was stopped or ended */
  GHashTable *tickets;      /* ticket -> KqTime until which it is valid */
  json_t *odd_rows;         /* of kq_platform_runner_add_rows; NULL: none */
  GPtrArray *waiting_holds; /* KqWebCall of /hold, until a task ends or wait_ms is over */
  ev_timer run_check;
};

static void
breach (KqPlatformLedger *l, const char *rule, const char *task)
{
  if (l->breaches++ == 0)
    snprintf (l->first_breach, sizeof l->first_breach, "%s: %s", rule, task);
  fprintf (stderr, "breach: %s: %s\n", rule, task);
}

KqPlatformLedger *
kq_platform_ledger_new (void)
{
  KqPlatformLedger *l = kq_alloc (sizeof *l);
  l->acked_done = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  l->reported_done = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  l->acked_failures = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  l->running = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  l->started_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  return l;
}

json_t *
kq_platform_ledger_json (const KqPlatformLedger *l)
{
  return json_pack ("{s:i, s:s, s:I, s:i, s:I}", "breaches", l->breaches, "first",
                    l->first_breach, "starts", (json_int_t)l->starts, "done",
                    (int)g_hash_table_size (l->reported_done), "tickets_refused",
                    (json_int_t)l->tickets_refused);
}

bool
kq_platform_ledger_started (const KqPlatformLedger *l, const char *job)
{
  return g_hash_table_contains (l->started_jobs, job);
}

static int
count_tasks_of_job (GHashTable *t, const char *job, bool sum_values)
{
  GHashTableIter it;
  gpointer key;
  gpointer value;
  size_t len = strlen (job);
  int n = 0;
  g_hash_table_iter_init (&it, t);
  while (g_hash_table_iter_next (&it, &key, &value))
    if (strncmp (key, job, len) == 0 && ((char *)key)[len] == '.')
      n += sum_values ? GPOINTER_TO_INT (value) : 1;
  return n;
}

int
kq_platform_ledger_running (const KqPlatformLedger *l, const char *job)
{
  return count_tasks_of_job (l->running, job, true);
}

int
kq_platform_ledger_done (const KqPlatformLedger *l, const char *job)
{
  return count_tasks_of_job (l->reported_done, job, false);
}

static void
add_count (GHashTable *t, const char *key, int n)
{
  int have = GPOINTER_TO_INT (g_hash_table_lookup (t, key));
  g_hash_table_insert (t, strdup (key), GINT_TO_POINTER (have + n));
}

/* The runner's monotonic clock, by which its lease ends. */
static int64_t
clock_ms (const KqPlatformRunner *r)
{
  return r->clock_base_ms + (kq_time_now () - r->started_at) / KQ_MS;
}

static void
free_run (gpointer p)
{
  Run *run = p;
  free (run->task);
  free (run);
}

static void
free_end (gpointer p)
{
  End *e = p;
  free (e->task);
  free (e);
}

static json_t *
entry_json (const KqPlatformRunner *r)
{
  json_t *j = json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:{s:i, s:i, s:i}, "
                         "s:[s, s], s:I}",
                         "service", "desk", "address", "", "zone", "north", "version",
                         "v1", "slots", 8, "state", "ready", "cold_left_ms", 0, "seq", 1,
                         "room", "cpu", r->cpu_milli, "mem_mb", 64000, "gpu", 0, "labels",
                         "a", "r1", "born", (json_int_t)r->started_ms);
  char address[32];
  snprintf (address, sizeof address, "127.0.0.1:%d", kq_web_port (r->web));
  json_object_set_new (j, "address", json_string (address));
  return j;
}

/* Writes the entry, which it consumes. */
static void
put_entry (const KqPlatformRunner *r, json_t *entry)
{
  char *text = json_dumps (entry, JSON_COMPACT);
  if (r->kv != NULL)
    kq_platform_kv_put (r->kv, r->key, kq_str (text));
  free (text);
  json_decref (entry);
}

static void
publish (const KqPlatformRunner *r)
{
  put_entry (r, entry_json (r));
}

void
kq_platform_runner_foreign_entry (KqPlatformRunner *r, const KqPlatformRunner *other,
                                  uint64_t seed)
{
  static const char *const fields[]
      = { "service",      "zone", "version", "slots",  "state",
          "cold_left_ms", "seq",  "room",    "labels", "address" };
  KqRand rand = kq_rand (seed);
  json_t *j = entry_json (kq_rand_below (&rand, 2) == 0 ? other : r);
  for (uint64_t n = 1 + kq_rand_below (&rand, 4); n > 0; n--)
    {
      const char *field = fields[kq_rand_below (&rand, 10)];
      if (kq_rand_below (&rand, 2) == 0)
        json_object_del (j, field);
      else
        json_object_set_new (j, field, json_true ());
    }
  put_entry (r, j);
}

void
kq_platform_runner_add_rows (KqPlatformRunner *r, KqStr text)
{
  json_decref (r->odd_rows);
  r->odd_rows = kq_json_parse (text);
}

static void
merge_odd_rows (const KqPlatformRunner *r, json_t *report)
{
  const char *name;
  json_t *value;
  json_object_foreach (r->odd_rows, name, value) if (json_is_array (value))
      json_array_extend (json_object_get (report, name), value);
  else json_object_set (report, name, value);
}

static json_t *
report_json (const KqPlatformRunner *r)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();
  json_t *report;
  for (guint i = 0; i < r->runs->len; i++)
    {
      const Run *run = g_ptr_array_index (r->runs, i);
      int64_t percent = run->duration > 0
                            ? (kq_time_now () - run->started_at) * 100 / run->duration
                            : 100;
      json_array_append_new (
          running, json_pack ("[s, i, s, i, i]", run->task, (int)run->run, "",
                              percent > 99 && run->duration > 0 ? 99 : (int)percent, 0));
    }
  for (guint i = 0; i < r->ends->len; i++)
    {
      const End *e = g_ptr_array_index (r->ends, i);
      json_array_append_new (ended, json_pack ("[I, s, i, s, s]", (json_int_t)e->number,
                                               e->task, (int)e->run, e->reason, ""));
    }
  report
      = json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)clock_ms (r), "born",
                   (json_int_t)r->started_ms, "running", running, "ended", ended);
  merge_odd_rows (r, report);
  return report;
}

static void
answer_hold (KqWebCall *c)
{
  KqPlatformRunner *r = c->data;
  g_ptr_array_remove (r->waiting_holds, c);
  kq_web_reply_json (c, 200, report_json (r));
}

static void
answer_waiting_holds (KqPlatformRunner *r)
{
  while (r->waiting_holds->len > 0)
    {
      KqWebCall *c = g_ptr_array_index (r->waiting_holds, 0);
      ev_timer_stop (kq_loop_ev (r->loop), &c->timer);
      answer_hold (c);
    }
}

static void
end_run (KqPlatformRunner *r, guint index, const char *reason)
{
  Run *run = g_ptr_array_index (r->runs, index);
  End *e = kq_alloc (sizeof *e);
  e->number = ++r->last_end;
  e->task = strdup (run->task);
  e->run = run->run;
  e->reason = reason;
  g_ptr_array_add (r->ends, e);
  if (run->run > GPOINTER_TO_UINT (g_hash_table_lookup (r->highest_run, run->task)))
    g_hash_table_insert (r->highest_run, strdup (run->task), GUINT_TO_POINTER (run->run));
  if (strcmp (reason, "done") == 0)
    g_hash_table_add (r->ledger->reported_done, strdup (run->task));
  add_count (r->ledger->running, run->task, -1);
  g_ptr_array_remove_index (r->runs, index);
}

static void
on_run_check (struct ev_loop *ev, ev_timer *w, int events)
{
  KqPlatformRunner *r = w->data;
  uint64_t before = r->last_end;
  (void)ev;
  (void)events;
  if (!r->alive)
    return;
  if (clock_ms (r) >= r->lease_end_ms)
    while (r->runs->len > 0)
      end_run (r, 0, "lapsed");
  for (guint i = 0; i < r->runs->len; i++)
    {
      const Run *run = g_ptr_array_index (r->runs, i);
      if (run->duration == 0 || kq_time_now () - run->started_at < run->duration)
        continue;
      end_run (r, i, run->fails ? "failed" : "done");
      i--;
    }
  if (r->last_end > before)
    answer_waiting_holds (r);
}

/* The job's id from a task's id "JOB.OCCURRENCE.STEP.INDEX"; freed by the caller. */
static char *
job_id (const char *task)
{
  return strndup (task, strcspn (task, "."));
}

static void
check_start (KqPlatformRunner *r, const char *task)
{
  KqPlatformLedger *l = r->ledger;
  if (GPOINTER_TO_INT (g_hash_table_lookup (l->running, task)) > 0)
    breach (l, "two runs at a time", task);
  if (g_hash_table_contains (l->acked_done, task))
    breach (l, "started after it was done", task);
  if (GPOINTER_TO_INT (g_hash_table_lookup (l->acked_failures, task)) >= ATTEMPTS_MAX)
    breach (l, "more attempts than allowed", task);
  l->starts++;
  add_count (l->running, task, 1);
  g_hash_table_add (l->started_jobs, job_id (task));
}

static void
refuse (KqPlatformRunner *r, KqWebCall *c, const char *reason)
{
  kq_web_reply_json (
      c, 409,
      json_pack ("{s:I, s:s}", "clock_ms", (json_int_t)clock_ms (r), "reason", reason));
}

static void
extend_lease (KqPlatformRunner *r, int64_t end)
{
  int64_t latest = clock_ms (r) + LEASE_MAX_MS;
  end = end < latest ? end : latest;
  if (end > r->lease_end_ms)
    r->lease_end_ms = end;
}

/* The number behind "name=" in a spec; -1: it isn't there. */
static int64_t
spec_number (const char *spec, const char *name)
{
  const char *at = strstr (spec, name);
  return at != NULL ? atoll (at + strlen (name)) : -1;
}

const char *
kq_platform_runner_id (const KqPlatformRunner *r)
{
  return r->id;
}

static void
ticket_name (const KqPlatformRunner *r, KqStr step, char out[160])
{
  snprintf (out, 160, "%s-%lld-%.*s", r->id, (long long)r->started_ms, KQ_STR_ARG (step));
}

void
kq_platform_runner_issue_ticket (KqPlatformRunner *r, const char *step, int64_t valid_ms,
                                 char out[160])
{
  KqTime until = kq_time_now () + valid_ms * KQ_MS;
  ticket_name (r, kq_str (step), out);
  g_hash_table_replace (r->tickets, strdup (out), g_memdup2 (&until, sizeof until));
}

static bool
has_valid_ticket (const KqPlatformRunner *r, const char *task, const char *ticket)
{
  char expected[160];
  const KqTime *until;
  ticket_name (r, kq_str_n (task, (size_t)(strrchr (task, '.') - task)), expected);
  until = g_hash_table_lookup (r->tickets, expected);
  return ticket != NULL && strcmp (ticket, expected) == 0 && until != NULL
         && kq_time_now () < *until;
}

static void
do_start (KqPlatformRunner *r, KqWebCall *c, const json_t *j)
{
  const char *task = json_string_value (json_object_get (j, "task"));
  const char *spec = json_string_value (json_object_get (j, "spec"));
  uint32_t run_number = (uint32_t)json_integer_value (json_object_get (j, "run"));
  int64_t end = json_integer_value (json_object_get (j, "expiry_ms"));
  const char *index = strrchr (task, '.');
  Run *run;
  for (guint i = 0; i < r->runs->len; i++)
    {
      run = g_ptr_array_index (r->runs, i);
      if (strcmp (run->task, task) == 0 && run->run == run_number)
        {
          kq_web_reply_json (c, 200,
                             json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms (r)));
          return;
        }
    }
  if (run_number <= GPOINTER_TO_UINT (g_hash_table_lookup (r->highest_run, task)))
    {
      refuse (r, c, "old");
      return;
    }
  if (end > clock_ms (r) + LEASE_MAX_MS)
    breach (r->ledger, "a start with a lease by the clock of another life", task);
  if (end <= clock_ms (r))
    {
      refuse (r, c, "late");
      return;
    }
  extend_lease (r, end);
  if (spec_number (spec, "advised=") == 1
      && !has_valid_ticket (r, task, json_string_value (json_object_get (j, "ticket"))))
    {
      r->ledger->tickets_refused++;
      refuse (r, c, "ticket");
      return;
    }
  run = kq_alloc (sizeof *run);
  run->task = strdup (task);
  run->run = run_number;
  run->started_at = kq_time_now ();
  run->duration = spec_number (spec, "ms=") * KQ_MS;
  run->fails = spec_number (spec, "fail=") == atoll (index + 1);
  g_ptr_array_add (r->runs, run);
  check_start (r, task);
  kq_web_reply_json (c, 200, json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms (r)));
}

static void
do_stop (KqPlatformRunner *r, KqWebCall *c, const json_t *j)
{
  const char *task = json_string_value (json_object_get (j, "task"));
  uint32_t run_number = (uint32_t)json_integer_value (json_object_get (j, "run"));
  if (run_number > GPOINTER_TO_UINT (g_hash_table_lookup (r->highest_run, task)))
    g_hash_table_insert (r->highest_run, strdup (task), GUINT_TO_POINTER (run_number));
  for (guint i = 0; i < r->runs->len; i++)
    {
      const Run *run = g_ptr_array_index (r->runs, i);
      if (strcmp (run->task, task) == 0 && run->run <= run_number)
        {
          end_run (r, i, "stopped");
          break;
        }
    }
  kq_web_reply_json (c, 200, json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms (r)));
  answer_waiting_holds (r);
}

/* Ends that were acknowledged as done or failed count in the ledger. */
static void
drop_acked_ends (KqPlatformRunner *r, uint64_t last_seen)
{
  while (r->ends->len > 0)
    {
      const End *e = g_ptr_array_index (r->ends, 0);
      if (e->number > last_seen)
        return;
      if (strcmp (e->reason, "done") == 0)
        g_hash_table_add (r->ledger->acked_done, strdup (e->task));
      if (strcmp (e->reason, "failed") == 0)
        add_count (r->ledger->acked_failures, e->task, 1);
      g_ptr_array_remove_index (r->ends, 0);
    }
}

static void
do_hold (KqPlatformRunner *r, KqWebCall *c, const json_t *j)
{
  const json_t *end = json_object_get (j, "expiry_ms");
  int64_t wait = json_integer_value (json_object_get (j, "wait_ms"));
  uint64_t last_seen = (uint64_t)json_integer_value (json_object_get (j, "last_seen"));
  if (end != NULL)
    extend_lease (r, json_integer_value (end));
  if (last_seen > r->last_end)
    breach (r->ledger, "an acknowledgement of another life's ends", r->id);
  drop_acked_ends (r, last_seen);
  c->data = r;
  if (r->ends->len > 0 || wait == 0)
    {
      kq_web_reply_json (c, 200, report_json (r));
      return;
    }
  g_ptr_array_add (r->waiting_holds, c);
  kq_web_after (c, wait, answer_hold);
}

static void
on_handle (void *arg, KqWebCall *c)
{
  KqPlatformRunner *r = arg;
  json_t *j = kq_json_parse (kq_buf_str (&c->body));
  uint64_t fence = (uint64_t)json_integer_value (json_object_get (j, "fence"));
  if (!kq_str_eq (kq_http_header (c->x, "Target-Instance"), kq_str (r->id)))
    kq_web_error (c, 421, "another runner");
  else if (fence < r->fence)
    refuse (r, c, "fence");
  else
    {
      r->fence = fence;
      if (kq_web_is (c, "POST", "/run-start"))
        do_start (r, c, j);
      else if (kq_web_is (c, "POST", "/run-stop"))
        do_stop (r, c, j);
      else if (kq_web_is (c, "POST", "/hold"))
        do_hold (r, c, j);
      else
        kq_web_reply_json (c, 200,
                           json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms (r)));
    }
  json_decref (j);
}

static void
on_finished (void *arg, KqWebCall *c)
{
  KqPlatformRunner *r = arg;
  g_ptr_array_remove (r->waiting_holds, c);
}

void
kq_platform_runner_crash (KqPlatformRunner *r)
{
  if (!r->alive)
    return;
  r->alive = false;
  for (guint i = 0; i < r->runs->len; i++)
    add_count (r->ledger->running, ((Run *)g_ptr_array_index (r->runs, i))->task, -1);
  g_ptr_array_set_size (r->runs, 0);
  g_ptr_array_set_size (r->ends, 0);
  kq_web_close (r->web);
  if (r->kv != NULL)
    kq_platform_kv_remove (r->kv, r->key);
}

void
kq_platform_runner_restart (KqPlatformRunner *r)
{
  if (r->alive)
    {
      publish (r);
      return;
    }
  r->alive = true;
  r->started_ms = kq_time_wall_ms ();
  r->started_at = kq_time_now ();
  r->lease_end_ms = 0;
  r->fence = 0;
  r->last_end = 0;
  g_hash_table_remove_all (r->highest_run);
  g_hash_table_remove_all (r->tickets);
  kq_web_open (r->web);
  publish (r);
}

KqPlatformRunner *
kq_platform_runner_new (KqLoop *loop, KqPlatformKv *kv, KqPlatformLedger *l,
                        const KqPlatformRunnerConfig *c)
{
  KqPlatformRunner *r = kq_alloc (sizeof *r);
  KqWebApp app = { .arg = r, .handle = on_handle, .finished = on_finished };
  r->loop = loop;
  r->kv = kv;
  r->ledger = l;
  r->cpu_milli = c->cpu_milli;
  r->clock_base_ms = c->clock_ms;
  snprintf (r->id, sizeof r->id, "i-%08x", c->number + 1);
  snprintf (r->key, sizeof r->key, "servers/%s", r->id);
  r->runs = g_ptr_array_new_with_free_func (free_run);
  r->ends = g_ptr_array_new_with_free_func (free_end);
  r->waiting_holds = g_ptr_array_new ();
  r->highest_run = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  r->tickets = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  r->web = kq_web_new (loop, c->port, "runner", &app);
  kq_web_close (r->web); /* opened again by kq_platform_runner_restart */
  ev_timer_init (&r->run_check, on_run_check, RUN_CHECK_INTERVAL_S, RUN_CHECK_INTERVAL_S);
  r->run_check.data = r;
  ev_timer_start (kq_loop_ev (loop), &r->run_check);
  kq_platform_runner_restart (r);
  return r;
}
