#include "platform_runner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOOK_S 0.02
#define ATTEMPTS 3 /* as the stand-in's configuration says */
#define HOLD_MAX_MS 6000

typedef struct
{
  char *task;
  uint32_t run;
  KqTime started_at;
  KqTime length; /* 0: lasts */
  bool fails;
} Run;

typedef struct
{
  uint64_t number;
  char *task;
  uint32_t run;
  const char *how;
} End;

struct KqPlatformLedger
{
  GHashTable *done;    /* task: an end as done has been acknowledged */
  GHashTable *ever;    /* task: has ended as done */
  GHashTable *failed;  /* task -> acknowledged failures */
  GHashTable *running; /* task -> how many runs now */
  GHashTable *jobs;    /* job: some task has started */
  int breaches;
  char first[200];
  uint64_t starts;
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
  int64_t clock_base_ms;
  bool alive;
  int64_t started_ms;
  KqTime born_at;
  int64_t lease_end_ms;
  uint64_t fence;
  uint64_t next_end;
  GPtrArray *runs;
  GPtrArray *ends;
  GHashTable *highest; /* task -> highest run stopped or ended */
  GPtrArray *waiting;  /* questions that wait for an end */
  ev_timer look;
};

static void
breach (KqPlatformLedger *l, const char *rule, const char *task)
{
  if (l->breaches++ == 0)
    snprintf (l->first, sizeof l->first, "%s: %s", rule, task);
  fprintf (stderr, "breach: %s: %s\n", rule, task);
}

KqPlatformLedger *
kq_platform_ledger_new (void)
{
  KqPlatformLedger *l = kq_alloc (sizeof *l);
  l->done = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  l->ever = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  l->failed = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  l->running = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  l->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  return l;
}

json_t *
kq_platform_ledger_json (const KqPlatformLedger *l)
{
  return json_pack ("{s:i, s:s, s:I, s:i}", "breaches", l->breaches, "first", l->first,
                    "starts", (json_int_t)l->starts, "done",
                    (int)g_hash_table_size (l->ever));
}

bool
kq_platform_ledger_started (const KqPlatformLedger *l, const char *job)
{
  return g_hash_table_contains (l->jobs, job);
}

static int
count_of_job (GHashTable *t, const char *job, bool by_value)
{
  GHashTableIter it;
  gpointer key;
  gpointer value;
  size_t len = strlen (job);
  int n = 0;
  g_hash_table_iter_init (&it, t);
  while (g_hash_table_iter_next (&it, &key, &value))
    if (strncmp (key, job, len) == 0 && ((char *)key)[len] == '.')
      n += by_value ? GPOINTER_TO_INT (value) : 1;
  return n;
}

int
kq_platform_ledger_running (const KqPlatformLedger *l, const char *job)
{
  return count_of_job (l->running, job, true);
}

int
kq_platform_ledger_done (const KqPlatformLedger *l, const char *job)
{
  return count_of_job (l->ever, job, false);
}

static void
add_to (GHashTable *t, const char *key, int n)
{
  int have = GPOINTER_TO_INT (g_hash_table_lookup (t, key));
  g_hash_table_insert (t, strdup (key), GINT_TO_POINTER (have + n));
}

static int64_t
clock_ms (const KqPlatformRunner *r)
{
  return r->clock_base_ms + (kq_time_now () - r->born_at) / KQ_MS;
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

static void
publish (KqPlatformRunner *r)
{
  json_t *j = json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:{s:i, s:i, s:i}, s:[s, s], "
                         "s:I}",
                         "service", "desk", "address", "", "zone", "north", "version",
                         "v1", "slots", 8, "state", "ready", "room", "cpu", r->cpu_milli,
                         "mem_mb", 64000, "gpu", 0, "labels", "a", "r1", "born",
                         (json_int_t)r->started_ms);
  char address[32];
  char *text;
  if (r->kv == NULL)
    {
      json_decref (j);
      return;
    }
  snprintf (address, sizeof address, "127.0.0.1:%d", kq_web_port (r->web));
  json_object_set_new (j, "address", json_string (address));
  text = json_dumps (j, JSON_COMPACT);
  kq_platform_kv_put (r->kv, r->key, kq_str (text));
  free (text);
  json_decref (j);
}

static json_t *
lists (const KqPlatformRunner *r)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();
  for (guint i = 0; i < r->runs->len; i++)
    {
      const Run *run = g_ptr_array_index (r->runs, i);
      int64_t part = run->length > 0
                         ? (kq_time_now () - run->started_at) * 100 / run->length
                         : 100;
      json_array_append_new (
          running, json_pack ("[s, i, s, i, i]", run->task, (int)run->run, "",
                              part > 99 && run->length > 0 ? 99 : (int)part, 0));
    }
  for (guint i = 0; i < r->ends->len; i++)
    {
      const End *e = g_ptr_array_index (r->ends, i);
      json_array_append_new (ended, json_pack ("[I, s, i, s, s]", (json_int_t)e->number,
                                               e->task, (int)e->run, e->how, ""));
    }
  return json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)clock_ms (r), "born",
                    (json_int_t)r->started_ms, "running", running, "ended", ended);
}

static void
answer_lists (KqWebCall *c)
{
  KqPlatformRunner *r = c->data;
  g_ptr_array_remove (r->waiting, c);
  kq_web_reply_json (c, 200, lists (r));
}

static void
answer_waiting (KqPlatformRunner *r)
{
  while (r->waiting->len > 0)
    {
      KqWebCall *c = g_ptr_array_index (r->waiting, 0);
      ev_timer_stop (kq_loop_ev (r->loop), &c->timer);
      answer_lists (c);
    }
}

static void
end_run (KqPlatformRunner *r, guint at, const char *how)
{
  Run *run = g_ptr_array_index (r->runs, at);
  End *e = kq_alloc (sizeof *e);
  e->number = ++r->next_end;
  e->task = strdup (run->task);
  e->run = run->run;
  e->how = how;
  g_ptr_array_add (r->ends, e);
  if (run->run > GPOINTER_TO_UINT (g_hash_table_lookup (r->highest, run->task)))
    g_hash_table_insert (r->highest, strdup (run->task), GUINT_TO_POINTER (run->run));
  if (strcmp (how, "done") == 0)
    g_hash_table_add (r->ledger->ever, strdup (run->task));
  add_to (r->ledger->running, run->task, -1);
  g_ptr_array_remove_index (r->runs, at);
}

static void
on_look (struct ev_loop *ev, ev_timer *w, int events)
{
  KqPlatformRunner *r = w->data;
  uint64_t before = r->next_end;
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
      if (run->length == 0 || kq_time_now () - run->started_at < run->length)
        continue;
      end_run (r, i, run->fails ? "failed" : "done");
      i--;
    }
  if (r->next_end > before)
    answer_waiting (r);
}

/* The part of a task's name that names its job. */
static char *
job_of (const char *task)
{
  return strndup (task, strcspn (task, "."));
}

static void
check_start (KqPlatformRunner *r, const char *task)
{
  KqPlatformLedger *l = r->ledger;
  if (GPOINTER_TO_INT (g_hash_table_lookup (l->running, task)) > 0)
    breach (l, "two runs at a time", task);
  if (g_hash_table_contains (l->done, task))
    breach (l, "started after it was done", task);
  if (GPOINTER_TO_INT (g_hash_table_lookup (l->failed, task)) >= ATTEMPTS)
    breach (l, "more attempts than allowed", task);
  l->starts++;
  add_to (l->running, task, 1);
  g_hash_table_add (l->jobs, job_of (task));
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
  int64_t most = clock_ms (r) + HOLD_MAX_MS;
  end = end < most ? end : most;
  if (end > r->lease_end_ms)
    r->lease_end_ms = end;
}

static int64_t
number_in (const char *text, const char *name)
{
  const char *at = strstr (text, name);
  return at != NULL ? atoll (at + strlen (name)) : -1;
}

static void
do_start (KqPlatformRunner *r, KqWebCall *c, const json_t *j)
{
  const char *task = json_string_value (json_object_get (j, "task"));
  const char *text = json_string_value (json_object_get (j, "spec"));
  uint32_t number = (uint32_t)json_integer_value (json_object_get (j, "run"));
  int64_t end = json_integer_value (json_object_get (j, "expiry_ms"));
  const char *index = strrchr (task, '.');
  Run *run;
  for (guint i = 0; i < r->runs->len; i++)
    {
      run = g_ptr_array_index (r->runs, i);
      if (strcmp (run->task, task) == 0 && run->run == number)
        {
          kq_web_reply_json (c, 200,
                             json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms (r)));
          return;
        }
    }
  if (number <= GPOINTER_TO_UINT (g_hash_table_lookup (r->highest, task)))
    {
      refuse (r, c, "old");
      return;
    }
  if (end > clock_ms (r) + HOLD_MAX_MS)
    breach (r->ledger, "a start with a lease by the clock of another life", task);
  if (end <= clock_ms (r))
    {
      refuse (r, c, "late");
      return;
    }
  extend_lease (r, end);
  run = kq_alloc (sizeof *run);
  run->task = strdup (task);
  run->run = number;
  run->started_at = kq_time_now ();
  run->length = number_in (text, "ms=") * KQ_MS;
  run->fails = number_in (text, "fail=") == atoll (index + 1);
  g_ptr_array_add (r->runs, run);
  check_start (r, task);
  kq_web_reply_json (c, 200, json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms (r)));
}

static void
do_stop (KqPlatformRunner *r, KqWebCall *c, const json_t *j)
{
  const char *task = json_string_value (json_object_get (j, "task"));
  uint32_t number = (uint32_t)json_integer_value (json_object_get (j, "run"));
  if (number > GPOINTER_TO_UINT (g_hash_table_lookup (r->highest, task)))
    g_hash_table_insert (r->highest, strdup (task), GUINT_TO_POINTER (number));
  for (guint i = 0; i < r->runs->len; i++)
    {
      const Run *run = g_ptr_array_index (r->runs, i);
      if (strcmp (run->task, task) == 0 && run->run <= number)
        {
          end_run (r, i, "stopped");
          break;
        }
    }
  kq_web_reply_json (c, 200, json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms (r)));
  answer_waiting (r);
}

static void
forget_ends (KqPlatformRunner *r, uint64_t seen)
{
  while (r->ends->len > 0)
    {
      const End *e = g_ptr_array_index (r->ends, 0);
      if (e->number > seen)
        return;
      if (strcmp (e->how, "done") == 0)
        g_hash_table_add (r->ledger->done, strdup (e->task));
      if (strcmp (e->how, "failed") == 0)
        add_to (r->ledger->failed, e->task, 1);
      g_ptr_array_remove_index (r->ends, 0);
    }
}

static void
do_hold (KqPlatformRunner *r, KqWebCall *c, const json_t *j)
{
  const json_t *end = json_object_get (j, "expiry_ms");
  int64_t wait = json_integer_value (json_object_get (j, "wait_ms"));
  uint64_t seen = (uint64_t)json_integer_value (json_object_get (j, "last_seen"));
  if (end != NULL)
    extend_lease (r, json_integer_value (end));
  if (seen > r->next_end)
    breach (r->ledger, "an acknowledgement of another life's ends", r->id);
  forget_ends (r, seen);
  c->data = r;
  if (r->ends->len > 0 || wait == 0)
    {
      kq_web_reply_json (c, 200, lists (r));
      return;
    }
  g_ptr_array_add (r->waiting, c);
  kq_web_after (c, wait, answer_lists);
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
on_gone (void *arg, KqWebCall *c)
{
  KqPlatformRunner *r = arg;
  g_ptr_array_remove (r->waiting, c);
}

void
kq_platform_runner_crash (KqPlatformRunner *r)
{
  if (!r->alive)
    return;
  r->alive = false;
  for (guint i = 0; i < r->runs->len; i++)
    add_to (r->ledger->running, ((Run *)g_ptr_array_index (r->runs, i))->task, -1);
  g_ptr_array_set_size (r->runs, 0);
  g_ptr_array_set_size (r->ends, 0);
  kq_web_close (r->web);
  if (r->kv != NULL)
    kq_platform_kv_remove (r->kv, r->key);
}

void
kq_platform_runner_rise (KqPlatformRunner *r)
{
  if (r->alive)
    return;
  r->alive = true;
  r->started_ms = kq_time_wall_ms ();
  r->born_at = kq_time_now ();
  r->lease_end_ms = 0;
  r->fence = 0;
  r->next_end = 0;
  g_hash_table_remove_all (r->highest);
  kq_web_open (r->web);
  publish (r);
}

KqPlatformRunner *
kq_platform_runner_new (KqLoop *loop, KqPlatformKv *kv, KqPlatformLedger *l,
                        const KqPlatformRunnerConfig *c)
{
  KqPlatformRunner *r = kq_alloc (sizeof *r);
  KqWebApp app = { .arg = r, .handle = on_handle, .gone = on_gone };
  r->loop = loop;
  r->kv = kv;
  r->ledger = l;
  r->cpu_milli = c->cpu_milli;
  r->clock_base_ms = c->clock_ms;
  snprintf (r->id, sizeof r->id, "i-%08x", c->number + 1);
  snprintf (r->key, sizeof r->key, "servers/%s", r->id);
  r->runs = g_ptr_array_new_with_free_func (free_run);
  r->ends = g_ptr_array_new_with_free_func (free_end);
  r->waiting = g_ptr_array_new ();
  r->highest = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  r->web = kq_web_new (loop, c->port, "runner", &app);
  kq_web_close (r->web); /* until it is up */
  ev_timer_init (&r->look, on_look, LOOK_S, LOOK_S);
  r->look.data = r;
  ev_timer_start (kq_loop_ev (loop), &r->look);
  kq_platform_runner_rise (r);
  return r;
}
