/* fleet_test: a small deployment on loopback for the cases of this review. This process
 * is the platform (store and runners) and the client; the nodes are kumquatd processes.
 *
 *   fleet_test CASE KUMQUATD DIR RECORD TROUBLE
 *
 * It exits with 1 if a rule was broken, 0 if it held, 2 if the case couldn't run. */

#include "http/client.h"
#include "platform_kv.h"
#include "store_test.h"

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define NODES_MAX 6
#define RUNNERS_MAX 16
#define STEPS_MAX 4
#define TICK_S 0.01
/* As in a small deployment. */
#define HOLD_MAX_MS 6000
#define STOP_MS 100 /* stop_ms is 200 */
#define SAVE_MS 1000
#define RESTORE_MS 100
#define GANG_MS 3000
#define HEARTBEAT_MS 1500
#define CANCEL_MS 3000
#define LATE_MS 5900 /* platform_lost, late: done 1 to 6 s later */

typedef struct
{
  int width;
  int cpu;
  int mem;
  int ms; /* work of a task; 0: it lasts */
  bool gang;
  bool checkpoint;
  int per_runner;
  const char *needs;
  int after; /* number of the step before; -1: none */
} Step;

typedef struct
{
  char id[17];
  char spec[64];
  Step steps[STEPS_MAX];
  int n_steps;
  int accepted;      /* status of the last answer to its submission */
  int64_t cancelled; /* when its cancelling was acknowledged; 0: not yet */
} Job;

typedef struct
{
  char task[64];
  Job *job;
  int step;
  int index;
  char group[64]; /* job.occurrence.step */
  unsigned number;
  int64_t start_ms;
  int64_t work_ms;    /* done so far, beyond what it resumed from */
  int64_t resumed_ms; /* resumed from */
  int64_t last_ms;
  int64_t stop_at;
  int64_t saves;
  char saved[80]; /* the newest value; "": none */
} Run;

typedef struct
{
  int64_t number;
  char task[64];
  unsigned run;
  const char *how;
  char saved[80];
} End;

typedef struct
{
  int n;
  char id[24];
  char key[40];
  const char *kind;
  int cpu;
  KqWeb *web;
  bool up;
  int64_t born;
  int64_t up_ms;
  int64_t lease_end;
  uint64_t fence;
  int64_t last_end;
  int64_t seq;
  int64_t beat_at;
  int64_t entry_gone_at; /* 0: not due */
  GPtrArray *runs;
  GPtrArray *ends;
  GHashTable *highest;
  GPtrArray *waiting;
} Runner;

typedef struct
{
  pid_t pid;
  int front;
  int ready;
  int peers;
  int metrics;
} Node;

static KqLoop *loop;
static KqHttpClient *http;
static KqPlatformKv *kv;
static Runner runners[RUNNERS_MAX];
static int n_runners;
static Node nodes[NODES_MAX];
static int n_nodes;
static GPtrArray *jobs;
static GHashTable *saved_work;  /* saved value -> ms of work */
static GHashTable *saved_group; /* saved value -> job.occurrence.step */
static GHashTable *first_saved; /* group/run -> the value that its first start carried */
static const char *kumquatd;
static const char *dir;
static int store_port;
static FILE *record;
static int64_t began_ms;
static bool trouble;
static int breaks;
static int saves;

static int64_t
now_ms (void)
{
  return kq_time_now () / KQ_MS;
}

static void __attribute__ ((format (printf, 1, 2)))
note (const char *fmt, ...)
{
  va_list ap;
  va_start (ap, fmt);
  fprintf (record, "%7.3f ", (double)(now_ms () - began_ms) / 1000);
  vfprintf (record, fmt, ap);
  fprintf (record, "\n");
  fflush (record);
  va_end (ap);
}

static void __attribute__ ((format (printf, 1, 2)))
broken (const char *fmt, ...)
{
  char text[400];
  va_list ap;
  va_start (ap, fmt);
  vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  breaks++;
  note ("BROKEN %s", text);
}

static void
on_wake (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (ev, EVBREAK_ALL);
}

/* Runs the loop for so long. */
static void
run_for (int64_t ms)
{
  int64_t until = now_ms () + ms;
  struct ev_loop *ev = kq_loop_ev (loop);
  while (now_ms () < until)
    {
      ev_timer t;
      ev_now_update (ev);
      ev_timer_init (&t, on_wake, (double)(until - now_ms ()) / 1000, 0);
      ev_timer_start (ev, &t);
      kq_loop_run (loop);
      ev_timer_stop (ev, &t);
    }
}

/* Runners. */

static int64_t
clock_of (const Runner *r)
{
  return 1000 + now_ms () - r->up_ms;
}

static void
publish (Runner *r)
{
  json_t *j = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:s, s:I, s:{s:i, s:i, s:i}, s:[s, s], s:I}",
      "service", "desk", "address", "", "zone", "north", "version", "v1", "machine",
      r->id, "slots", 8, "state", "ready", "seq", (json_int_t)++r->seq, "room", "cpu",
      r->cpu, "mem_mb", 64000, "gpu", 0, "labels", r->kind, "r1", "born",
      (json_int_t)r->born);
  char address[32];
  char *text;
  snprintf (address, sizeof address, "127.0.0.1:%d", kq_web_port (r->web));
  json_object_set_new (j, "address", json_string (address));
  json_object_set_new (j, "cold_left_ms", json_integer (0));
  json_object_set_new (j, "clock_ms", json_integer (clock_of (r)));
  text = json_dumps (j, JSON_COMPACT);
  kq_platform_kv_put (kv, r->key, kq_str (text));
  free (text);
  json_decref (j);
  r->beat_at = now_ms ();
  r->entry_gone_at = 0;
}

static void
new_saved (Run *run)
{
  snprintf (run->saved, sizeof run->saved, "%s:%u:%d", run->task, run->number, ++saves);
  g_hash_table_insert (saved_work, strdup (run->saved),
                       GINT_TO_POINTER ((int)(run->resumed_ms + run->work_ms)));
  g_hash_table_insert (saved_group, strdup (run->saved), strdup (run->group));
}

static json_t *
report (const Runner *r)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();
  for (guint i = 0; i < r->runs->len; i++)
    {
      const Run *run = g_ptr_array_index (r->runs, i);
      const Step *s = &run->job->steps[run->step];
      int percent
          = s->ms > 0 ? (int)((run->resumed_ms + run->work_ms) * 100 / s->ms) : 100;
      json_array_append_new (running,
                             json_pack ("[s, i, s, i, i]", run->task, (int)run->number,
                                        run->saved, percent > 99 && s->ms > 0 ? 99 : percent,
                                        s->cpu));
    }
  for (guint i = 0; i < r->ends->len && i < 500; i++)
    {
      const End *e = g_ptr_array_index (r->ends, i);
      json_array_append_new (ended, json_pack ("[I, s, i, s, s]", (json_int_t)e->number,
                                               e->task, (int)e->run, e->how, e->saved));
    }
  return json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)clock_of (r), "born",
                    (json_int_t)r->born, "running", running, "ended", ended);
}

static void
answer_hold (KqWebCall *c)
{
  Runner *r = c->data;
  g_ptr_array_remove (r->waiting, c);
  kq_web_reply_json (c, 200, report (r));
}

static void
answer_holds (Runner *r)
{
  while (r->waiting->len > 0)
    {
      KqWebCall *c = g_ptr_array_index (r->waiting, 0);
      ev_timer_stop (kq_loop_ev (loop), &c->timer);
      answer_hold (c);
    }
}

static void
end_run (Runner *r, Run *run, const char *how)
{
  End *e = kq_alloc (sizeof *e);
  e->number = ++r->last_end;
  snprintf (e->task, sizeof e->task, "%s", run->task);
  e->run = run->number;
  e->how = how;
  if (run->job->steps[run->step].checkpoint && strcmp (how, "done") != 0)
    {
      if (strcmp (how, "stopped") == 0)
        new_saved (run);
      snprintf (e->saved, sizeof e->saved, "%s", run->saved);
    }
  note ("runner %s: end %s run %u %s saved=%s", r->id, run->task, run->number, how,
        e->saved);
  g_ptr_array_add (r->ends, e);
  if (run->number > GPOINTER_TO_UINT (g_hash_table_lookup (r->highest, run->task)))
    g_hash_table_insert (r->highest, strdup (run->task), GUINT_TO_POINTER (run->number));
  g_ptr_array_remove (r->runs, run);
  free (run);
}

/* The members of the gang that are there; of: one of them. */
static int
members (const Run *of)
{
  int n = 0;
  for (int i = 0; i < n_runners; i++)
    for (guint k = 0; runners[i].up && k < runners[i].runs->len; k++)
      {
        const Run *run = g_ptr_array_index (runners[i].runs, k);
        n += run->number == of->number && strcmp (run->group, of->group) == 0;
      }
  return n;
}

/* Ends all members of the gang in the same way. */
static void
end_gang (const Run *of, const char *how)
{
  char group[64];
  unsigned number = of->number;
  snprintf (group, sizeof group, "%s", of->group);
  for (int i = 0; i < n_runners; i++)
    {
      Runner *r = &runners[i];
      for (guint k = 0; r->up && k < r->runs->len; k++)
        {
          Run *run = g_ptr_array_index (r->runs, k);
          if (run->number != number || strcmp (run->group, group) != 0)
            continue;
          end_run (r, run, how);
          k--;
        }
      if (r->up)
        answer_holds (r);
    }
}

/* A step of work of one run. Returns whether the list of runs has changed. */
static bool
work (Runner *r, Run *run, int64_t now)
{
  const Step *s = &run->job->steps[run->step];
  int64_t span = now - run->last_ms;
  int n = s->gang ? members (run) : 0;
  run->last_ms = now;
  if (run->stop_at != 0)
    {
      if (now < run->stop_at)
        return false;
      if (s->gang)
        {
          Run other = *run;
          end_run (r, run, "stopped");
          if (other.work_ms > 0)
            end_gang (&other, "broken");
        }
      else
        end_run (r, run, "stopped");
      return true;
    }
  if (s->gang && n < s->width)
    {
      if (run->work_ms > 0)
        end_gang (run, "broken");
      else if (now - run->start_ms >= GANG_MS)
        end_run (r, run, "alone");
      else
        return false;
      return true;
    }
  if (run->resumed_ms > 0 && now - run->start_ms < RESTORE_MS)
    return false;
  run->work_ms += span;
  if (s->checkpoint && run->work_ms / SAVE_MS > run->saves)
    {
      run->saves = run->work_ms / SAVE_MS;
      new_saved (run);
    }
  if (s->ms == 0 || run->resumed_ms + run->work_ms < s->ms)
    return false;
  if (s->gang)
    end_gang (run, "done");
  else
    end_run (r, run, "done");
  return true;
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  int64_t now = now_ms ();
  (void)ev;
  (void)w;
  (void)events;
  for (int i = 0; i < n_runners; i++)
    {
      Runner *r = &runners[i];
      int64_t before = r->last_end;
      if (!r->up && r->entry_gone_at != 0 && now >= r->entry_gone_at)
        {
          kq_platform_kv_remove (kv, r->key);
          r->entry_gone_at = 0;
        }
      if (!r->up)
        continue;
      if (now - r->beat_at >= HEARTBEAT_MS)
        publish (r);
      while (r->runs->len > 0 && clock_of (r) >= r->lease_end)
        end_run (r, g_ptr_array_index (r->runs, 0), "lapsed");
      for (guint k = 0; k < r->runs->len; k++)
        if (work (r, g_ptr_array_index (r->runs, k), now))
          k = (guint)-1;
      if (r->last_end > before)
        answer_holds (r);
    }
}

static void
refuse (const Runner *r, KqWebCall *c, const char *reason)
{
  kq_web_reply_json (
      c, 409,
      json_pack ("{s:I, s:s}", "clock_ms", (json_int_t)clock_of (r), "reason", reason));
}

static void
accept_call (const Runner *r, KqWebCall *c)
{
  kq_web_reply_json (c, 200, json_pack ("{s:I}", "clock_ms", (json_int_t)clock_of (r)));
}

static void
extend (Runner *r, const json_t *end)
{
  int64_t to = json_integer_value (end);
  int64_t most = clock_of (r) + HOLD_MAX_MS;
  if (end == NULL)
    return;
  to = to < most ? to : most;
  if (to > r->lease_end)
    r->lease_end = to;
}

static Job *
find_job (const char *id)
{
  for (guint i = 0; i < jobs->len; i++)
    {
      Job *j = g_ptr_array_index (jobs, i);
      if (strcmp (j->id, id) == 0)
        return j;
    }
  return NULL;
}

/* Two runs of one task at a time, on runners that are up. */
static void
check_twice (const Runner *r, const Run *run)
{
  for (int i = 0; i < n_runners; i++)
    for (guint k = 0; runners[i].up && k < runners[i].runs->len; k++)
      {
        const Run *other = g_ptr_array_index (runners[i].runs, k);
        if (strcmp (other->task, run->task) == 0)
          broken ("TWICE: %s is started as run %u on runner %s while run %u of it is at "
                  "work on runner %s, its lease good for %lld ms",
                  run->task, run->number, r->id, other->number, runners[i].id,
                  (long long)(runners[i].lease_end - clock_of (&runners[i])));
      }
}

/* The rules that a start alone can break. */
static void
check_start (const Runner *r, const Run *run, const char *saved)
{
  const Step *s = &run->job->steps[run->step];
  char key[96];
  const char *first;
  check_twice (r, run);
  if (run->job->cancelled != 0 && now_ms () - run->job->cancelled > CANCEL_MS)
    broken ("UNASKED: %s is started on runner %s %.3f s after the cancelling of its job "
            "was acknowledged",
            run->task, r->id, (double)(now_ms () - run->job->cancelled) / 1000);
  if (s->needs != NULL && strcmp (s->needs, r->kind) != 0)
    broken ("ROUTE: %s run %u needs kind %s and is started on runner %s of kind %s "
            "(born %lld)",
            run->task, run->number, s->needs, r->id, r->kind, (long long)r->born);
  if (saved[0] != '\0'
      && (g_hash_table_lookup (saved_group, saved) == NULL
          || strcmp (g_hash_table_lookup (saved_group, saved), run->group) != 0))
    broken ("UNASKED: %s run %u is started with a value of no run of it: %s", run->task,
            run->number, saved);
  if (!s->gang)
    return;
  snprintf (key, sizeof key, "%s/%u", run->group, run->number);
  first = g_hash_table_lookup (first_saved, key);
  if (first == NULL)
    g_hash_table_insert (first_saved, strdup (key), strdup (saved));
  else if (strcmp (first, saved) != 0)
    broken ("UNASKED: member %s of gang %s run %u is started with saved=\"%s\", another "
            "member of this run with saved=\"%s\"",
            run->task, run->group, run->number, saved, first);
}

static void
do_start (Runner *r, KqWebCall *c, const json_t *j)
{
  const char *task = json_string_value (json_object_get (j, "task"));
  const char *saved = json_string_value (json_object_get (j, "saved"));
  unsigned number = (unsigned)json_integer_value (json_object_get (j, "run"));
  const json_t *end = json_object_get (j, "expiry_ms");
  gchar **part = g_strsplit (task, ".", 4);
  Job *job = find_job (part[0]);
  Run *run;
  for (guint i = 0; i < r->runs->len; i++)
    {
      run = g_ptr_array_index (r->runs, i);
      if (strcmp (run->task, task) != 0 || run->number != number)
        continue;
      extend (r, end);
      accept_call (r, c);
      goto out;
    }
  if (number <= GPOINTER_TO_UINT (g_hash_table_lookup (r->highest, task)))
    {
      extend (r, end);
      refuse (r, c, "old");
      goto out;
    }
  if (json_integer_value (end) <= clock_of (r))
    {
      refuse (r, c, "late");
      goto out;
    }
  extend (r, end);
  if (job == NULL)
    {
      broken ("UNASKED: %s was sent by no client", task);
      kq_web_error (c, 400, "no such job");
      goto out;
    }
  run = kq_alloc (sizeof *run);
  snprintf (run->task, sizeof run->task, "%s", task);
  run->job = job;
  run->step = atoi (part[2]);
  run->index = atoi (part[3]);
  snprintf (run->group, sizeof run->group, "%s.%s.%s", part[0], part[1], part[2]);
  run->number = number;
  run->start_ms = run->last_ms = now_ms ();
  if (saved != NULL)
    run->resumed_ms = GPOINTER_TO_INT (g_hash_table_lookup (saved_work, saved));
  note ("runner %s: start %s run %u saved=%s", r->id, task, number,
        saved != NULL ? saved : "");
  check_start (r, run, saved != NULL ? saved : "");
  g_ptr_array_add (r->runs, run);
  accept_call (r, c);
out:
  g_strfreev (part);
}

static void
do_stop (Runner *r, KqWebCall *c, const json_t *j)
{
  const char *task = json_string_value (json_object_get (j, "task"));
  unsigned number = (unsigned)json_integer_value (json_object_get (j, "run"));
  note ("runner %s: stop %s run %u", r->id, task, number);
  if (number > GPOINTER_TO_UINT (g_hash_table_lookup (r->highest, task)))
    g_hash_table_insert (r->highest, strdup (task), GUINT_TO_POINTER (number));
  for (guint i = 0; i < r->runs->len; i++)
    {
      Run *run = g_ptr_array_index (r->runs, i);
      if (strcmp (run->task, task) == 0 && run->number <= number && run->stop_at == 0)
        run->stop_at = now_ms () + STOP_MS;
    }
  accept_call (r, c);
}

static void
do_hold (Runner *r, KqWebCall *c, const json_t *j)
{
  int64_t wait = json_integer_value (json_object_get (j, "wait_ms"));
  int64_t seen = json_integer_value (json_object_get (j, "last_seen"));
  extend (r, json_object_get (j, "expiry_ms"));
  while (r->ends->len > 0)
    {
      End *e = g_ptr_array_index (r->ends, 0);
      if (e->number > seen)
        break;
      note ("runner %s: end %lld taken note of: %s run %u %s", r->id,
            (long long)e->number, e->task, e->run, e->how);
      g_ptr_array_remove_index (r->ends, 0);
      free (e);
    }
  c->data = r;
  if (r->ends->len > 0 || wait == 0)
    {
      kq_web_reply_json (c, 200, report (r));
      return;
    }
  g_ptr_array_add (r->waiting, c);
  kq_web_after (c, wait, answer_hold);
}

static void
on_call (void *arg, KqWebCall *c)
{
  Runner *r = arg;
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
        accept_call (r, c);
    }
  json_decref (j);
}

static void
on_call_ended (void *arg, KqWebCall *c)
{
  Runner *r = arg;
  g_ptr_array_remove (r->waiting, c);
}

static void
rise (Runner *r)
{
  r->up = true;
  r->born = kq_time_wall_ms ();
  r->up_ms = now_ms ();
  r->lease_end = r->last_end = r->seq = 0;
  r->beat_at = r->up_ms;
  r->fence = 0;
  g_hash_table_remove_all (r->highest);
  kq_web_open (r->web);
}

static void
add_runner (const char *kind, int cpu)
{
  Runner *r = &runners[n_runners++];
  KqWebApp app = { .arg = r, .handle = on_call, .finished = on_call_ended };
  r->n = n_runners;
  snprintf (r->id, sizeof r->id, "i-%08x", r->n);
  snprintf (r->key, sizeof r->key, "servers/i-%08x", r->n);
  r->kind = kind;
  r->cpu = cpu;
  r->runs = g_ptr_array_new ();
  r->ends = g_ptr_array_new ();
  r->waiting = g_ptr_array_new ();
  r->highest = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  r->web = kq_web_new (loop, 0, "runner", &app);
  kq_web_close (r->web);
  rise (r);
  publish (r);
}

/* A crash: everything there is lost, and nothing is said. The platform removes the entry
 * after three heartbeat intervals of silence. */
static void
crash (Runner *r)
{
  note ("TROUBLE runner %s crashes with %u runs", r->id, r->runs->len);
  r->up = false;
  kq_web_close (r->web);
  g_ptr_array_set_size (r->runs, 0);
  g_ptr_array_set_size (r->ends, 0);
  r->entry_gone_at = r->beat_at + 3 * HEARTBEAT_MS;
}

/* Nodes. */

static int
free_port (void)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t len = sizeof sa;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0
      || getsockname (fd, (struct sockaddr *)&sa, &len) != 0)
    exit (2);
  close (fd);
  return ntohs (sa.sin_port);
}

/* What the platform makes of deploy/node.toml. */
static void
write_settings (int n, const char *path)
{
  const Node *d = &nodes[n];
  FILE *f = fopen (path, "w");
  if (f == NULL)
    exit (2);
  fprintf (f,
           "[fleet]\nnode = \"edge-north-%d\"\nfailure_domain = \"north\"\n"
           "region = \"home\"\ncpu_share = \"0.1\"\nlog_level = \"debug\"\n"
           "[listen]\nip = \"127.0.0.1\"\nfront = \"127.0.0.1:%d\"\n"
           "ready = \"127.0.0.1:%d\"\npeer_port = \"%d\"\nmetrics_port = %d\n"
           "[store]\naddress = \"127.0.0.1:%d\"\nlease_min_ms = \"1000\"\n"
           "[bounds]\nrunner_lease_max_ms = \"%d\"\ngrace_s = \"6\"\nkeep_s = \"120\"\n"
           "maintenance_s = \"2\"\n"
           "[scheduling]\nestimates = \"learned\"\norder = \"forecast\"\n"
           "large_task_room = \"on\"\n",
           n + 1, d->front, d->ready, d->peers, d->metrics, store_port, HOLD_MAX_MS);
  fclose (f);
}

static void
start_node (int n)
{
  char settings[256];
  char log[256];
  Node *d = &nodes[n];
  if (d->front == 0)
    {
      d->front = free_port ();
      d->ready = free_port ();
      d->peers = free_port ();
      d->metrics = free_port ();
    }
  snprintf (settings, sizeof settings, "%s/node%d.toml", dir, n + 1);
  snprintf (log, sizeof log, "%s/node%d.out", dir, n + 1);
  write_settings (n, settings);
  d->pid = fork ();
  if (d->pid > 0)
    {
      note ("node %d started, front port %d", n + 1, d->front);
      return;
    }
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (d->pid < 0 || freopen (log, "a", stdout) == NULL)
    _exit (2);
  execl (kumquatd, kumquatd, "--settings", settings, (char *)NULL);
  _exit (2);
}

/* The client. */

typedef struct
{
  const char *method;
  char path[64];
  int node;
  int status;
  KqBuf body;
  Job *job;
  bool *done;
  int *status_out;
  char *text_out;
} Request;

static void
on_head (void *arg, KqHttpCall *c, int status, const KqHeader *h, size_t n,
         int64_t length)
{
  Request *q = arg;
  (void)c;
  (void)h;
  (void)n;
  (void)length;
  q->status = status;
}

static void
on_data (void *arg, KqHttpCall *c, KqStr chunk)
{
  Request *q = arg;
  (void)c;
  kq_buf_add_str (&q->body, chunk);
}

static void
on_answer (void *arg, KqHttpCall *c, KqHttpOutcome outcome)
{
  Request *q = arg;
  int status = outcome == KQ_HTTP_DONE ? q->status : 0;
  static char last_answer[256];
  char text[256];
  (void)c;
  snprintf (text, sizeof text, "%s %s -> %d %s", q->method, q->path, status,
            q->body.ptr != NULL ? q->body.ptr : "");
  /* Answers that repeat the last one aren't recorded. */
  if (strcmp (text, last_answer) != 0)
    note ("client: %s (node %d)", text, q->node + 1);
  snprintf (last_answer, sizeof last_answer, "%s", text);
  if (q->job != NULL)
    q->job->accepted = status;
  if (q->status_out != NULL)
    *q->status_out = status;
  if (q->text_out != NULL)
    snprintf (q->text_out, 64, "%s", q->body.ptr != NULL ? q->body.ptr : "");
  if (q->done != NULL)
    *q->done = true;
  kq_buf_free (&q->body);
  free (q);
}

static void
ask (int node, const char *method, const char *id, KqStr body, Job *job, bool *done,
     int *status, char *text)
{
  char url[128];
  Request *q = kq_alloc (sizeof *q);
  KqHeader h[] = { { KQ_STR ("Host"), KQ_STR ("desk.example") },
                   { KQ_STR ("Content-Type"), KQ_STR ("application/json") },
                   { KQ_STR ("Deadline-Ms"), KQ_STR ("3000") } };
  KqHttpCallback cb = { q, on_head, on_data, NULL, on_answer };
  KqHttpRequest r = { .method = method,
                      .url = url,
                      .headers = h,
                      .n_headers = 3,
                      .body = body,
                      .connect_ms = 1000,
                      .total_ms = 3500,
                      .fresh_connection = true };
  q->method = method;
  q->node = node;
  q->job = job;
  q->done = done;
  q->status_out = status;
  q->text_out = text;
  snprintf (q->path, sizeof q->path, "/plans/%s", id);
  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", nodes[node].front, q->path);
  kq_http_call (http, &r, &cb);
}

static Job *
new_job (const Step *steps, int n)
{
  Job *j = kq_alloc (sizeof *j);
  snprintf (j->id, sizeof j->id, "%016llx", 0xabc0000000000001ULL + jobs->len);
  snprintf (j->spec, sizeof j->spec, "text of %s", j->id);
  memcpy (j->steps, steps, (size_t)n * sizeof *steps);
  j->n_steps = n;
  g_ptr_array_add (jobs, j);
  return j;
}

static void
submit (int node, Job *j)
{
  json_t *steps = json_array ();
  json_t *o;
  char *text;
  for (int i = 0; i < j->n_steps; i++)
    {
      const Step *s = &j->steps[i];
      o = json_pack ("{s:i, s:i, s:i}", "count", s->width, "cpu", s->cpu, "mem_mb", s->mem);
      if (s->ms > 0)
        json_object_set_new (o, "est_ms", json_integer (s->ms));
      else
        json_object_set_new (o, "daemon", json_true ());
      if (s->gang)
        json_object_set_new (o, "gang", json_true ());
      if (s->checkpoint)
        json_object_set_new (o, "checkpoint", json_true ());
      if (s->per_runner > 0)
        json_object_set_new (o, "max_per_server", json_integer (s->per_runner));
      if (s->needs != NULL)
        json_object_set_new (o, "needs", json_string (s->needs));
      if (s->after >= 0)
        json_object_set_new (o, "after", json_pack ("[i]", s->after));
      json_array_append_new (steps, o);
    }
  o = json_pack ("{s:s, s:o}", "spec", j->spec, "steps", steps);
  text = json_dumps (o, JSON_COMPACT);
  note ("client: POST /plans/%s at node %d %s", j->id, node + 1, text);
  ask (node, "POST", j->id, kq_str (text), j, NULL, NULL, NULL);
  free (text);
  json_decref (o);
}

/* The job's state by a GET at the node; "": no answer. */
static void
get_state (int node, const Job *j, char state[64])
{
  bool done = false;
  int status = 0;
  char text[64] = "";
  ask (node, "GET", j->id, KQ_STR (""), NULL, &done, &status, text);
  while (!done)
    run_for (5);
  state[0] = '\0';
  if (status == 200)
    {
      json_t *o = json_loads (text, 0, NULL);
      const char *s = json_string_value (json_object_get (o, "state"));
      snprintf (state, 64, "%s", s != NULL ? s : "");
      json_decref (o);
    }
  else if (status != 0)
    snprintf (state, 64, "%d", status);
}

static bool
wait_state (int node, const Job *j, const char *wanted, int64_t limit_ms)
{
  int64_t until = now_ms () + limit_ms;
  char state[64];
  do
    {
      get_state (node, j, state);
      if (strcmp (state, wanted) == 0)
        return true;
      run_for (200);
    }
  while (now_ms () < until);
  return false;
}

/* Submits the job until it is accepted. */
static bool
hand_in (int node, Job *j, int64_t limit_ms)
{
  int64_t until = now_ms () + limit_ms;
  do
    {
      j->accepted = -1;
      submit (node, j);
      while (j->accepted < 0)
        run_for (5);
      if (j->accepted == 200)
        return true;
      run_for (300);
    }
  while (now_ms () < until);
  return false;
}

static Runner *
runner_of (const Job *j, int index)
{
  for (int i = 0; i < n_runners; i++)
    for (guint k = 0; runners[i].up && k < runners[i].runs->len; k++)
      {
        const Run *run = g_ptr_array_index (runners[i].runs, k);
        if (run->job == j && run->index == index)
          return &runners[i];
      }
  return NULL;
}

static const char config[]
    = "{\"version\":7,\"routes\":[{\"name\":\"plans\",\"host\":\"desk.example\","
      "\"prefix\":\"/plans/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"desk\",\"attempts\":3,"
      "\"stretch\":1.5}],\"services\":[{\"name\":\"desk\",\"admission_check\":false}],"
      "\"limits\":{\"max_body_bytes\":262144}}";

static void
set_up (void)
{
  char line[64];
  FILE *old = stdout;
  int fds[2];
  int saved = dup (1);
  /* The store prints its port. */
  if (pipe (fds) != 0)
    exit (2);
  fflush (old);
  dup2 (fds[1], 1);
  kv = kq_platform_kv_new (loop);
  fflush (old);
  dup2 (saved, 1);
  close (saved);
  close (fds[1]);
  line[0] = '\0';
  if (read (fds[0], line, sizeof line - 1) <= 0 || sscanf (line, "store %d", &store_port) != 1)
    exit (2);
  close (fds[0]);
  kq_platform_kv_put (kv, "op/config", kq_str (config));
}

static int
result_of (bool completed)
{
  if (breaks > 0)
    return 1;
  return completed ? 0 : 2;
}

/* A member's runner crashes while a gang with checkpoints works. */
static int
gang_case (void)
{
  const Step step = { .width = 4,
                      .cpu = 4000,
                      .mem = 500,
                      .ms = 8000,
                      .gang = true,
                      .checkpoint = true,
                      .per_runner = 1,
                      .after = -1 };
  Job *j;
  for (int i = 0; i < 8; i++)
    add_runner ("a", 16000);
  for (n_nodes = 0; n_nodes < 3; n_nodes++)
    start_node (n_nodes);
  run_for (4000);
  j = new_job (&step, 1);
  if (!hand_in (0, j, 10000))
    return 2;
  for (int i = 0; i < 100 && runner_of (j, 3) == NULL; i++)
    run_for (100);
  run_for (3600);
  if (runner_of (j, 2) == NULL)
    return 2;
  if (trouble)
    crash (runner_of (j, 2));
  return result_of (wait_state (1, j, "completed", 60000));
}

/* Another writer puts an entry under a runner's key, with fields missing or of another
 * type, and the address of another runner. The runner itself goes on, and writes its own
 * entry at its next heartbeat. */
static int
entry_case (void)
{
  const Step step = { .width = 16, .cpu = 4000, .mem = 500, .ms = 6000, .after = -1 };
  char entry[400];
  Job *j;
  for (int i = 0; i < 8; i++)
    add_runner ("a", 16000);
  for (n_nodes = 0; n_nodes < 3; n_nodes++)
    start_node (n_nodes);
  run_for (4000);
  j = new_job (&step, 1);
  if (!hand_in (0, j, 10000))
    return 2;
  run_for (1000);
  /* Between two heartbeats, as most moments are. */
  while (now_ms () - runners[0].beat_at < HEARTBEAT_MS / 3
         || now_ms () - runners[0].beat_at > HEARTBEAT_MS / 2)
    run_for (10);
  if (runners[0].runs->len == 0)
    return 2;
  if (trouble)
    {
      snprintf (entry, sizeof entry,
                "{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\",\"zone\":3,"
                "\"slots\":\"8\",\"state\":\"ready\",\"seq\":\"none\","
                "\"room\":{\"cpu\":16000,\"mem_mb\":64000,\"gpu\":0}}",
                kq_web_port (runners[1].web));
      note ("TROUBLE another writer puts %s = %s", runners[0].key, entry);
      kq_platform_kv_put (kv, runners[0].key, kq_str (entry));
    }
  return result_of (wait_state (1, j, "completed", 60000));
}

static void
on_late (bool carried_out)
{
  note ("store: a write whose answer was lost is carried out late%s",
        carried_out ? "" : ": its condition no longer holds");
}

/* The answers to the writes of one job are lost, and the writes are carried out late.
 * Meanwhile its client, which got no clear answer, cancels it. */
static int
cancel_case (void)
{
  const Step step = { .width = 4, .cpu = 1000, .mem = 500, .ms = 2000, .after = -1 };
  const Step other = { .width = 1, .cpu = 1000, .mem = 500, .ms = 300, .after = -1 };
  Job *j;
  bool done = false;
  char state[64];
  int status = 0;
  int writes;
  int lost;
  for (int i = 0; i < 8; i++)
    add_runner ("a", 16000);
  for (n_nodes = 0; n_nodes < 3; n_nodes++)
    start_node (n_nodes);
  run_for (4000);
  if (!hand_in (0, new_job (&other, 1), 10000))
    return 2;
  j = new_job (&step, 1);
  j->accepted = -1;
  store_lose_writes (trouble ? j->id : "", LATE_MS, on_late);
  if (trouble)
    note ("TROUBLE answers of the store are lost, for the writes of job %s", j->id);
  submit (0, j);
  for (int i = 0; i < 12; i++)
    {
      submit (i % n_nodes, new_job (&other, 1));
      run_for (100);
    }
  while (j->accepted < 0)
    run_for (5);
  store_counts (&writes, &lost);
  store_lose_writes ("", LATE_MS, on_late);
  note ("TROUBLE is over: %d of %d writes were lost", lost, writes);
  do
    {
      done = false;
      ask (1, "DELETE", j->id, KQ_STR (""), NULL, &done, &status, NULL);
      while (!done)
        run_for (5);
      if (status == 200 || status == 410)
        break;
      run_for (300);
    }
  while (now_ms () - began_ms < 30000);
  if (status != 200 && status != 410)
    return 2;
  j->cancelled = now_ms ();
  note ("client: the cancelling is acknowledged with %d", status);
  get_state (2, j, state);
  note ("client: then the state of the job at node 3 is %s", state);
  run_for (LATE_MS + 5000);
  return result_of (true);
}

int
main (int argc, char **argv)
{
  int result = 2;
  ev_timer tick;
  if (argc != 6)
    {
      fprintf (stderr, "fleet_test CASE KUMQUATD DIR RECORD TROUBLE\n");
      return 2;
    }
  kumquatd = argv[2];
  dir = argv[3];
  record = fopen (argv[4], "w");
  trouble = strcmp (argv[5], "0") != 0;
  if (record == NULL)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  began_ms = now_ms ();
  loop = kq_loop_new ();
  http = kq_http_client_new (loop, 64, 1000);
  jobs = g_ptr_array_new ();
  saved_work = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  saved_group = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  first_saved = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  set_up ();
  ev_timer_init (&tick, on_tick, TICK_S, TICK_S);
  ev_timer_start (kq_loop_ev (loop), &tick);
  if (strcmp (argv[1], "gang") == 0)
    result = gang_case ();
  else if (strcmp (argv[1], "entry") == 0)
    result = entry_case ();
  else if (strcmp (argv[1], "cancel") == 0)
    result = cancel_case ();
  for (int i = 0; i < n_nodes; i++)
    if (nodes[i].pid > 0)
      {
        kill (nodes[i].pid, SIGKILL);
        waitpid (nodes[i].pid, NULL, 0);
      }
  note ("result %d, broken %d times", result, breaks);
  fclose (record);
  return result;
}
