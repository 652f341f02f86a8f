/* platform_case_test: the platform, its runners, an operator and clients in one process,
 * and nodes of a fleet as child processes. Each case is one disruption of this platform
 * and the check of one rule; see review/N/claim.txt.
 *
 *   target/review-cases CASE RECORD TROUBLE    TROUBLE 0: the same without the disruption
 *
 * Exits with 0 if the rule held, with 1 if it was broken, with 2 if the case couldn't be
 * run. `spec` and `stop` are trials, not cases: see REPORT-2.md. The store is the
 * project's stand-in (standin/platform_kv.c). */

#include "base/rand.h"
#include "base/str.h"
#include "http/client.h"
#include "platform_kv.h"
#include "web.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define NODES_MAX 6
#define MACHINES_MAX 12
#define RUNS_MAX 256
#define ENDS_MAX 4096
/* Bounds of the small deployments' sheets. */
#define UPKEEP_MS 2000
#define HOLD_MAX_MS 6000
#define NOTICE_MS 5500
#define HEARTBEAT_MS 1500
/* A lasting task is at work this long after its start. */
#define STARTUP_MS 300
#define LASTING_MAX 64

typedef struct
{
  char name[24];
  char ip[40];
  char dir[120];
  int front;
  int metrics;
  pid_t pid;
} Node;

typedef struct
{
  char task[96];
  uint32_t run;
  KqTime began_at;
  int64_t duration_ms;
} Run;

typedef struct
{
  uint64_t number;
  char task[96];
  uint32_t run;
  const char *how;
} End;

typedef struct
{
  char name[16];
  const char *state;
  uint64_t fence;
  int64_t wave_done; /* the last wave for which it had its upkeep; 0: none */
  KqTime back_at;    /* the end of its upkeep */
  int lives;
  /* Its runner, while the machine is up. */
  bool alive;
  char id[24];
  KqWeb *web;
  int64_t born_ms;
  KqTime born_at;
  int64_t lease_end_ms;
  uint64_t runner_fence;
  uint64_t last_end;
  uint64_t acked_end;
  uint64_t seq;
  KqTime entry_at; /* when it wrote its entry last */
  Run runs[RUNS_MAX];
  int n_runs;
  End ends[ENDS_MAX];
  int n_ends;
  GHashTable *highest; /* task -> highest run number that was stopped or ended there */
  GPtrArray *holds;    /* KqWebCall that wait for an end */
  ev_timer tick;
  ev_timer heartbeat;
} Machine;

typedef struct
{
  int64_t number;
  int cap;
  int n;
  int members[MACHINES_MAX];
} Wave;

static KqLoop *loop;
static KqHttpClient *http;
static KqPlatformKv *kv;
static KqWeb *cloud;
static Node nodes[NODES_MAX];
static int n_nodes;
static Machine machines[MACHINES_MAX];
static int n_machines;
static Wave wave;
/* The lasting step whose tasks are watched for AVAIL. */
typedef struct
{
  char job[20];
  int may_miss;
  int n;
  bool ended_by_order[LASTING_MAX]; /* and not at work since */
  KqTime at_work_last[LASTING_MAX];
} Lasting;

static Lasting lasting;
static FILE *record;
static KqTime began_at;
static int broken;
static int store_port;
static char temp_dir[64];
static bool trouble;

static int64_t
at_ms (void)
{
  return (kq_time_now () - began_at) / KQ_MS;
}

static void __attribute__ ((format (printf, 1, 2)))
note (const char *format, ...)
{
  va_list args;
  fprintf (record, "%7lld ", (long long)at_ms ());
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
}

static void
end_nodes (void)
{
  for (int i = 0; i < n_nodes; i++)
    if (nodes[i].pid > 0)
      {
        kill (nodes[i].pid, SIGKILL);
        waitpid (nodes[i].pid, NULL, 0);
        nodes[i].pid = 0;
      }
}

static void
remove_temp_dir (void)
{
  for (int i = 0; i < n_nodes; i++)
    {
      char path[200];
      snprintf (path, sizeof path, "%s/node.toml", nodes[i].dir);
      unlink (path);
      snprintf (path, sizeof path, "%s/log", nodes[i].dir);
      if (getenv ("KEEP") == NULL)
        unlink (path);
      rmdir (nodes[i].dir);
    }
  rmdir (temp_dir);
}

static void __attribute__ ((noreturn))
finish (int code)
{
  note ("exit %d", code);
  end_nodes ();
  remove_temp_dir ();
  exit (code);
}

static void __attribute__ ((noreturn))
cannot_run (const char *why)
{
  note ("the case could not run: %s", why);
  fprintf (stderr, "the case could not run: %s\n", why);
  finish (2);
}

/* The event loop from plain code. */

static void
on_wake (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (ev, EVBREAK_ONE);
}

static void
wait_ms (int64_t ms)
{
  struct ev_loop *ev = kq_loop_ev (loop);
  KqTime until = kq_time_now () + ms * KQ_MS;
  while (kq_time_now () < until)
    {
      ev_timer t;
      ev_now_update (ev);
      ev_timer_init (&t, on_wake, (double)(until - kq_time_now ()) / KQ_SEC, 0);
      ev_timer_start (ev, &t);
      ev_run (ev, 0);
      ev_timer_stop (ev, &t);
    }
}

typedef struct
{
  bool over;
  int status; /* 0: no answer */
  KqBuf body;
} Answer;

static void
on_head (void *arg, KqHttpCall *c, int status, const KqHeader *h, size_t n,
         int64_t length)
{
  (void)c;
  (void)h;
  (void)n;
  (void)length;
  ((Answer *)arg)->status = status;
}

static void
on_data (void *arg, KqHttpCall *c, KqStr chunk)
{
  (void)c;
  kq_buf_add_str (&((Answer *)arg)->body, chunk);
}

static void
on_done (void *arg, KqHttpCall *c, KqHttpOutcome outcome)
{
  Answer *a = arg;
  (void)c;
  a->over = true;
  if (outcome != KQ_HTTP_DONE)
    a->status = 0;
  ev_break (kq_loop_ev (loop), EVBREAK_ONE);
}

/* Makes a call and waits for its end. body: may be NULL. */
static int
call (const char *method, const char *ip, int port, const char *path, const char *body,
      size_t body_len, KqBuf *out)
{
  Answer a = { 0 };
  KqHttpCallback cb = { .arg = &a, .head = on_head, .data = on_data, .done = on_done };
  KqHeader headers[] = { { KQ_STR ("Host"), KQ_STR ("desk.example") },
                         { KQ_STR ("Content-Type"), KQ_STR ("application/json") },
                         { KQ_STR ("Deadline-Ms"), KQ_STR ("3000") } };
  char url[160];
  KqHttpRequest r = { .method = method,
                      .url = url,
                      .headers = headers,
                      .n_headers = 3,
                      .body = kq_str_n (body, body != NULL ? body_len : 0),
                      .connect_ms = 1000,
                      .total_ms = 3000 };
  snprintf (url, sizeof url, "http://%s:%d%s", ip, port, path);
  kq_http_call (http, &r, &cb);
  while (!a.over)
    ev_run (kq_loop_ev (loop), 0);
  if (out != NULL)
    kq_buf_add_str (out, kq_buf_str (&a.body));
  kq_buf_free (&a.body);
  return a.status;
}

/* The store as the operator and the runners see it. */

/* The stand-in prints its port. */
static void
start_store (void)
{
  char line[64] = "";
  int ends[2];
  int out = dup (1);
  if (pipe (ends) != 0)
    cannot_run ("no pipe");
  fflush (stdout);
  dup2 (ends[1], 1);
  kv = kq_platform_kv_new (loop);
  fflush (stdout);
  dup2 (out, 1);
  close (out);
  if (read (ends[0], line, sizeof line - 1) <= 0
      || sscanf (line, "store %d", &store_port) != 1)
    cannot_run ("the store has no port");
  close (ends[0]);
  close (ends[1]);
}

static void
put_json (const char *key, json_t *j)
{
  char *text = json_dumps (j, JSON_COMPACT);
  kq_platform_kv_put (kv, key, kq_str (text));
  free (text);
  json_decref (j);
}

static void
put_config (void)
{
  json_error_t e;
  json_t *j = json_loads (
      "{\"version\":7,\"routes\":[{\"name\":\"plans\",\"host\":\"desk.example\","
      "\"prefix\":\"/plans/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"desk\",\"attempts\":3,"
      "\"stretch\":1.5}],\"services\":[{\"name\":\"desk\",\"admission_check\":false}],"
      "\"limits\":{\"max_body_bytes\":262144}}",
      0, &e);
  put_json ("op/config", j);
}

static bool store_down;
static KqTime store_paused_at;
static KqTime store_paused; /* how long it has been down so far */

/* The store's clock for leases, which pause while it is down: build-2.sh has the store
 * use it. */
KqTime store_time_now (void);
KqTime
store_time_now (void)
{
  return (store_down ? store_paused_at : kq_time_now ()) - store_paused;
}

/* Runners. */

#define ROOM_CPU 8000
#define ROOM_MEM_MB 64000

static int64_t
clock_ms (const Machine *m)
{
  return 1000 + (kq_time_now () - m->born_at) / KQ_MS;
}

static void
put_entry (Machine *m)
{
  char key[48];
  char address[32];
  if (store_down)
    return;
  m->entry_at = kq_time_now ();
  snprintf (key, sizeof key, "servers/%s", m->id);
  snprintf (address, sizeof address, "127.0.0.1:%d", kq_web_port (m->web));
  put_json (key,
            json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:{s:i, s:i, s:i}, "
                       "s:[s, s], s:I, s:s}",
                       "service", "desk", "address", address, "zone", "north", "version",
                       "v1", "slots", 8, "state", "ready", "cold_left_ms", 0, "seq",
                       (json_int_t)++m->seq, "room", "cpu", ROOM_CPU, "mem_mb",
                       ROOM_MEM_MB, "gpu", 0, "labels", "a", "r1", "born",
                       (json_int_t)m->born_ms, "machine", m->name));
}

static json_t *
report (const Machine *m)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();
  for (int i = 0; i < m->n_runs; i++)
    {
      const Run *r = &m->runs[i];
      int64_t took = (kq_time_now () - r->began_at) / KQ_MS;
      int64_t percent = took * 100 / (r->duration_ms > 0 ? r->duration_ms : STARTUP_MS);
      if (percent > 99)
        percent = r->duration_ms > 0 ? 99 : 100;
      json_array_append_new (running,
                             json_pack ("[s, i, s, i, i]", r->task, (int)r->run, "",
                                        (int)percent, 0));
    }
  for (int i = 0; i < m->n_ends; i++)
    if (m->ends[i].number > m->acked_end)
      json_array_append_new (ended, json_pack ("[I, s, i, s, s]",
                                               (json_int_t)m->ends[i].number,
                                               m->ends[i].task, (int)m->ends[i].run,
                                               m->ends[i].how, ""));
  return json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)clock_ms (m), "born",
                    (json_int_t)m->born_ms, "running", running, "ended", ended);
}

static void
answer_hold (KqWebCall *c)
{
  Machine *m = c->data;
  g_ptr_array_remove (m->holds, c);
  kq_web_reply_json (c, 200, report (m));
}

static void
answer_holds (Machine *m)
{
  while (m->holds->len > 0)
    {
      KqWebCall *c = g_ptr_array_index (m->holds, 0);
      ev_timer_stop (kq_loop_ev (loop), &c->timer);
      answer_hold (c);
    }
}

static uint32_t
highest_run (const Machine *m, const char *task)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (m->highest, task));
}

/* The index of the run's task in the watched step; -1: it isn't of that step. */
static int
lasting_index (const Run *r)
{
  size_t n = strlen (lasting.job);
  if (n == 0 || strncmp (r->task, lasting.job, n) != 0)
    return -1;
  return atoi (strrchr (r->task, '.') + 1);
}

static bool
is_at_work (const Run *r)
{
  return kq_time_now () - r->began_at >= STARTUP_MS * KQ_MS;
}

static void
note_at_work (void)
{
  for (int i = 0; i < n_machines; i++)
    for (int k = 0; k < machines[i].n_runs; k++)
      {
        const Run *r = &machines[i].runs[k];
        int at = lasting_index (r);
        if (at < 0 || !is_at_work (r))
          continue;
        lasting.ended_by_order[at] = false;
        lasting.at_work_last[at] = kq_time_now ();
      }
}

/* An order ends the run, on a sound runner: checks AVAIL if it is at work. Call
 * note_at_work before the order takes effect. */
static void
check_order (const Machine *m, const Run *r, const char *order)
{
  int at = lasting_index (r);
  int away = 0;
  if (at < 0 || !is_at_work (r))
    return;
  for (int i = 0; i < lasting.n; i++)
    away += i != at
            && (lasting.ended_by_order[i]
                || kq_time_now () - lasting.at_work_last[i] >= NOTICE_MS * KQ_MS);
  lasting.ended_by_order[at] = true;
  note ("%s ends %s %u at work on %s, %d others of its step are away, may_miss %d", order,
        r->task, r->run, m->name, away, lasting.may_miss);
  if (away < lasting.may_miss)
    return;
  broken++;
  note ("BROKEN: AVAIL: %s ends %s %u on %s while %d others are away, may_miss %d", order,
        r->task, r->run, m->name, away, lasting.may_miss);
}

static void
end_run (Machine *m, int i, const char *how)
{
  Run r = m->runs[i];
  End *e = &m->ends[m->n_ends];
  note ("run %s %u ended %s on %s (%s)", r.task, r.run, how, m->name, m->id);
  m->runs[i] = m->runs[--m->n_runs];
  *e = (End){ .number = ++m->last_end, .run = r.run, .how = how };
  snprintf (e->task, sizeof e->task, "%s", r.task);
  m->n_ends++;
  if (r.run > highest_run (m, r.task))
    g_hash_table_insert (m->highest, strdup (r.task), GUINT_TO_POINTER (r.run));
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  Machine *m = w->data;
  int before = m->n_ends;
  (void)ev;
  (void)events;
  if (!m->alive)
    return;
  if (clock_ms (m) >= m->lease_end_ms)
    while (m->n_runs > 0)
      end_run (m, 0, "lapsed");
  for (int i = m->n_runs - 1; i >= 0; i--)
    if (m->runs[i].duration_ms > 0
        && kq_time_now () - m->runs[i].began_at >= m->runs[i].duration_ms * KQ_MS)
      end_run (m, i, "done");
  if (m->n_ends > before)
    answer_holds (m);
}

static void
refuse (const Machine *m, KqWebCall *c, const char *reason)
{
  kq_web_reply_json (c, 409,
                     json_pack ("{s:I, s:s}", "clock_ms", (json_int_t)clock_ms (m),
                                "reason", reason));
}

static void
answer_clock (const Machine *m, KqWebCall *c)
{
  kq_web_reply_json (c, 200, json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms (m)));
}

static void
extend_lease (Machine *m, int64_t end)
{
  int64_t latest = clock_ms (m) + HOLD_MAX_MS;
  end = end < latest ? end : latest;
  if (end > m->lease_end_ms)
    m->lease_end_ms = end;
}

static void (*on_start) (Machine *m, const json_t *order);

static void
do_start (Machine *m, KqWebCall *c, const json_t *j)
{
  const char *task = json_string_value (json_object_get (j, "task"));
  const char *spec = json_string_value (json_object_get (j, "spec"));
  uint32_t number = (uint32_t)json_integer_value (json_object_get (j, "run"));
  const char *ms = spec != NULL ? strstr (spec, "ms=") : NULL;
  Run *r;
  if (task == NULL || spec == NULL)
    {
      kq_web_error (c, 400, "not a start");
      return;
    }
  for (int i = 0; i < m->n_runs; i++)
    if (strcmp (m->runs[i].task, task) == 0 && m->runs[i].run == number)
      {
        answer_clock (m, c);
        return;
      }
  if (number <= highest_run (m, task))
    {
      extend_lease (m, json_integer_value (json_object_get (j, "expiry_ms")));
      refuse (m, c, "old");
      return;
    }
  if (json_integer_value (json_object_get (j, "expiry_ms")) <= clock_ms (m)
      || m->n_runs == RUNS_MAX)
    {
      refuse (m, c, "late");
      return;
    }
  extend_lease (m, json_integer_value (json_object_get (j, "expiry_ms")));
  note ("run %s %u began on %s (%s)", task, number, m->name, m->id);
  r = &m->runs[m->n_runs++];
  *r = (Run){ .run = number,
              .began_at = kq_time_now (),
              .duration_ms = ms != NULL ? atoll (ms + 3) : 0 };
  snprintf (r->task, sizeof r->task, "%s", task);
  if (on_start != NULL)
    on_start (m, j);
  answer_clock (m, c);
}

static void
do_stop (Machine *m, KqWebCall *c, const json_t *j)
{
  const char *task = json_string_value (json_object_get (j, "task"));
  uint32_t number = (uint32_t)json_integer_value (json_object_get (j, "run"));
  if (task == NULL)
    {
      kq_web_error (c, 400, "not a stop");
      return;
    }
  if (number > highest_run (m, task))
    g_hash_table_insert (m->highest, strdup (task), GUINT_TO_POINTER (number));
  note_at_work ();
  for (int i = m->n_runs - 1; i >= 0; i--)
    if (strcmp (m->runs[i].task, task) == 0 && m->runs[i].run <= number)
      {
        check_order (m, &m->runs[i], "a stop");
        end_run (m, i, "stopped");
      }
  answer_clock (m, c);
  answer_holds (m);
}

static void
do_hold (Machine *m, KqWebCall *c, const json_t *j)
{
  const json_t *end = json_object_get (j, "expiry_ms");
  uint64_t seen = (uint64_t)json_integer_value (json_object_get (j, "last_seen"));
  int64_t wait = json_integer_value (json_object_get (j, "wait_ms"));
  if (end != NULL)
    extend_lease (m, json_integer_value (end));
  if (seen > m->acked_end)
    m->acked_end = seen;
  c->data = m;
  if ((m->n_ends > 0 && m->ends[m->n_ends - 1].number > m->acked_end) || wait == 0)
    {
      kq_web_reply_json (c, 200, report (m));
      return;
    }
  g_ptr_array_add (m->holds, c);
  kq_web_after (c, wait, answer_hold);
}

static void
on_runner_call (void *arg, KqWebCall *c)
{
  Machine *m = arg;
  json_t *j = kq_json_parse (kq_buf_str (&c->body));
  uint64_t fence = (uint64_t)json_integer_value (json_object_get (j, "fence"));
  if (!m->alive)
    kq_http_abort (c->x); /* it is being closed */
  else if (!kq_str_eq (kq_http_header (c->x, "Target-Instance"), kq_str (m->id)))
    kq_web_error (c, 421, "another runner");
  else if (fence < m->runner_fence)
    refuse (m, c, "fence");
  else
    {
      m->runner_fence = fence;
      if (kq_web_is (c, "POST", "/run-start"))
        do_start (m, c, j);
      else if (kq_web_is (c, "POST", "/run-stop"))
        do_stop (m, c, j);
      else if (kq_web_is (c, "POST", "/hold"))
        do_hold (m, c, j);
      else
        answer_clock (m, c);
    }
  json_decref (j);
}

static void
on_runner_call_over (void *arg, KqWebCall *c)
{
  g_ptr_array_remove (((Machine *)arg)->holds, c);
}

/* Starts a new runner on the machine, under a new id. */
static void
start_runner (Machine *m)
{
  m->alive = true;
  m->state = "up";
  m->lives++;
  snprintf (m->id, sizeof m->id, "i-%02x%04x", (int)(m - machines) + 1, m->lives);
  m->born_ms = kq_time_wall_ms ();
  m->born_at = kq_time_now ();
  m->lease_end_ms = 0;
  m->runner_fence = m->last_end = m->acked_end = m->seq = 0;
  m->n_runs = m->n_ends = 0;
  g_hash_table_remove_all (m->highest);
  kq_web_open (m->web);
  note ("runner %s is up on %s", m->id, m->name);
  put_entry (m);
}

typedef struct
{
  ev_timer timer;
  char key[48];
} OldEntry;

static void
on_old_entry (struct ev_loop *ev, ev_timer *w, int events)
{
  OldEntry *e = w->data;
  (void)ev;
  (void)events;
  note ("entry %s is removed, after three heartbeats of silence", e->key);
  kq_platform_kv_remove (kv, e->key);
  free (e);
}

/* The runner ends at once, and all that it runs. Its entry goes with it, or, if it has
 * crashed, after three heartbeats. */
static void
end_runner (Machine *m, bool crash)
{
  char key[48];
  OldEntry *e;
  KqTime remove_at = m->entry_at + 3 * HEARTBEAT_MS * KQ_MS;
  m->alive = false;
  for (int i = 0; i < m->n_runs; i++)
    note ("run %s %u is gone with %s", m->runs[i].task, m->runs[i].run, m->id);
  m->n_runs = 0;
  kq_web_close (m->web);
  snprintf (key, sizeof key, "servers/%s", m->id);
  if (!crash)
    {
      kq_platform_kv_remove (kv, key);
      return;
    }
  e = kq_alloc (sizeof *e);
  snprintf (e->key, sizeof e->key, "%s", key);
  ev_now_update (kq_loop_ev (loop));
  ev_timer_init (&e->timer, on_old_entry, (double)(remove_at - kq_time_now ()) / KQ_SEC,
                 0);
  e->timer.data = e;
  ev_timer_start (kq_loop_ev (loop), &e->timer);
}

static void
on_heartbeat (struct ev_loop *ev, ev_timer *w, int events)
{
  Machine *m = w->data;
  (void)ev;
  (void)events;
  if (m->alive)
    put_entry (m);
}

static void
add_machine (int i)
{
  Machine *m = &machines[i];
  KqWebApp app = { .arg = m, .handle = on_runner_call, .finished = on_runner_call_over };
  snprintf (m->name, sizeof m->name, "m-%02d", i + 1);
  m->highest = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  m->holds = g_ptr_array_new ();
  m->web = kq_web_new (loop, 0, "runner", &app);
  kq_web_close (m->web);
  ev_timer_init (&m->tick, on_tick, 0.01, 0.01);
  m->tick.data = m;
  ev_timer_start (kq_loop_ev (loop), &m->tick);
  ev_timer_init (&m->heartbeat, on_heartbeat, (0.1 + 0.17 * i), HEARTBEAT_MS / 1000.0);
  m->heartbeat.data = m;
  ev_timer_start (kq_loop_ev (loop), &m->heartbeat);
  start_runner (m);
}

/* The control plane. */

static bool
in_wave (int machine)
{
  for (int i = 0; i < wave.n; i++)
    if (wave.members[i] == machine)
      return true;
  return false;
}

static int
count_down_for_wave (void)
{
  int n = 0;
  for (int i = 0; i < wave.n; i++)
    n += strcmp (machines[wave.members[i]].state, "upkeep") == 0;
  return n;
}

static void
on_upkeep_over (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)w;
  (void)events;
  note_at_work ();
  for (int i = 0; i < n_machines; i++)
    if (strcmp (machines[i].state, "upkeep") == 0
        && kq_time_now () >= machines[i].back_at)
      {
        note ("upkeep of %s is over", machines[i].name);
        start_runner (&machines[i]);
      }
}

typedef struct
{
  char machine[24];
  int64_t wave;
  uint64_t token;
} Upkeep;

/* Carries the call out, if it may be; returns the status, and the reason of a 409. */
static int
begin_upkeep (const Upkeep *u, const char **reason)
{
  Machine *m = NULL;
  int down = count_down_for_wave ();
  for (int i = 0; i < n_machines; i++)
    if (strcmp (machines[i].name, u->machine) == 0)
      m = &machines[i];
  if (m == NULL)
    return 400;
  *reason = "fence";
  if (u->token < m->fence)
    return 409;
  m->fence = u->token;
  *reason = "wave";
  if (u->wave != wave.number || !in_wave ((int)(m - machines)))
    return 409;
  if (m->wave_done == u->wave)
    return 200;
  *reason = "busy";
  if (strcmp (m->state, "up") != 0)
    return 409;
  m->wave_done = u->wave;
  m->state = "upkeep";
  m->back_at = kq_time_now () + UPKEEP_MS * KQ_MS;
  note ("upkeep of %s begins, %d of its wave are down already, cap %d", m->name, down,
        wave.cap);
  if (down >= wave.cap)
    {
      broken++;
      note ("BROKEN: LIMIT: the upkeep of %s begins while %d of its wave are down, cap %d",
            m->name, down, wave.cap);
    }
  note_at_work ();
  for (int i = 0; i < m->n_runs; i++)
    check_order (m, &m->runs[i], "an upkeep");
  end_runner (m, false);
  return 200;
}

/* A call that gets no answer and is carried out later. */
typedef struct
{
  ev_timer timer;
  Upkeep u;
} LateUpkeep;

static int64_t late_ms; /* not 0: the next call is such a call */
static int late_calls;

static void
on_late_upkeep (struct ev_loop *ev, ev_timer *w, int events)
{
  LateUpkeep *l = w->data;
  const char *reason = "";
  int status;
  (void)ev;
  (void)events;
  note ("the late call is carried out: upkeep of %s wave %lld token %llu", l->u.machine,
        (long long)l->u.wave, (unsigned long long)l->u.token);
  status = begin_upkeep (&l->u, &reason);
  note ("the late call came to %d %s", status, status == 409 ? reason : "");
  free (l);
}

static void
do_upkeep (KqWebCall *c)
{
  json_t *j = kq_json_parse (kq_buf_str (&c->body));
  const char *name = json_string_value (json_object_get (j, "machine"));
  KqStr holder = kq_http_header (c->x, "Lease-Holder");
  Upkeep u = { .wave = json_integer_value (json_object_get (j, "wave")) };
  const char *reason = "";
  snprintf (u.machine, sizeof u.machine, "%s", name != NULL ? name : "");
  kq_str_to_u64 (kq_http_header (c->x, "Fencing-Token"), &u.token);
  json_decref (j);
  note ("upkeep asked for: machine %s wave %lld holder %.*s token %llu, %d down",
        u.machine, (long long)u.wave, KQ_STR_ARG (holder), (unsigned long long)u.token,
        count_down_for_wave ());
  if (late_ms > 0)
    {
      LateUpkeep *l = kq_alloc (sizeof *l);
      l->u = u;
      ev_now_update (kq_loop_ev (loop));
      ev_timer_init (&l->timer, on_late_upkeep, (double)late_ms / 1000, 0);
      l->timer.data = l;
      ev_timer_start (kq_loop_ev (loop), &l->timer);
      note ("disruption: the call gets no answer and is carried out %lld ms later",
            (long long)late_ms);
      late_ms = 0;
      late_calls++;
      return;
    }
  switch (begin_upkeep (&u, &reason))
    {
    case 200:
      kq_web_reply_json (c, 200, json_object ());
      break;
    case 409:
      kq_web_reply_json (c, 409, json_pack ("{s:s}", "reason", reason));
      break;
    default:
      kq_web_error (c, 400, "no such machine");
    }
}

static void
do_list_machines (KqWebCall *c)
{
  json_t *list = json_array ();
  for (int i = 0; i < n_machines; i++)
    json_array_append_new (
        list, json_pack ("{s:s, s:s, s:s, s:s, s:[s, s], s:{s:i, s:i, s:i}, s:s}",
                         "machine", machines[i].name, "pool", "desk", "state",
                         machines[i].state, "zone", "north", "labels", "a", "r1", "room",
                         "cpu", ROOM_CPU, "mem_mb", ROOM_MEM_MB, "gpu", 0, "id",
                         machines[i].alive ? machines[i].id : ""));
  kq_web_reply_json (c, 200, json_pack ("{s:o}", "machines", list));
}

static void
on_cloud_call (void *arg, KqWebCall *c)
{
  (void)arg;
  if (kq_web_is (c, "POST", "/machine-upkeep"))
    do_upkeep (c);
  else if (kq_web_is (c, "GET", "/machines"))
    do_list_machines (c);
  else
    kq_web_error (c, 400, "no such call");
}

/* Nodes. */

/* A port that is free at that address. */
static int
free_port (const char *ip, int wanted)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)wanted) };
  socklen_t len = sizeof sa;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int port = -1;
  inet_pton (AF_INET, ip, &sa.sin_addr);
  if (fd >= 0 && bind (fd, (struct sockaddr *)&sa, sizeof sa) == 0
      && getsockname (fd, (struct sockaddr *)&sa, &len) == 0)
    port = ntohs (sa.sin_port);
  if (fd >= 0)
    close (fd);
  return port;
}

/* Fills in the deploy file's template as the platform does, for the names that occur. */
static void
write_settings (const Node *n, const char *path)
{
  gchar *text = NULL;
  char front[64];
  char ready[64];
  char peer[16];
  char store[40];
  char control[40];
  FILE *f = fopen (path, "w");
  int peer_port = free_port (n->ip, 0);
  int ready_port = free_port (n->ip, 0);
  const char *values[][2] = { { "{{node_name}}", n->name },
                              { "{{zone}}", "north" },
                              { "{{region}}", "region-1" },
                              { "{{limits.cpu_share}}", "0.25" },
                              { "{{ip}}", n->ip },
                              { "{{listen.front}}", front },
                              { "{{listen.ready}}", ready },
                              { "{{port_range.0}}", peer },
                              { "{{platform.address}}", store },
                              { "{{platform.ttl_min_ms}}", "1000" },
                              { "{{advice}}", "" },
                              { "{{cloud.address}}", control },
                              { "{{bounds.hold_max_ms}}", "6000" },
                              { "{{bounds.grace_s}}", "6" },
                              { "{{bounds.status_s}}", "120" },
                              { "{{bounds.upkeep_s}}", "2" } };
  snprintf (front, sizeof front, "%s:%d", n->ip, n->front);
  snprintf (ready, sizeof ready, "%s:%d", n->ip, ready_port);
  snprintf (peer, sizeof peer, "%d", peer_port);
  snprintf (store, sizeof store, "127.0.0.1:%d", store_port);
  snprintf (control, sizeof control, "127.0.0.1:%d", kq_web_port (cloud));
  if (f == NULL || !g_file_get_contents ("deploy/node.toml", &text, NULL, NULL))
    cannot_run ("the settings can't be written");
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      gchar **parts = g_strsplit (text, values[i][0], -1);
      g_free (text);
      text = g_strjoinv (values[i][1], parts);
      g_strfreev (parts);
    }
  fputs (text, f);
  fclose (f);
  g_free (text);
}

static void
start_node (Node *n)
{
  char path[200];
  char log_path[200];
  snprintf (path, sizeof path, "%s/node.toml", n->dir);
  snprintf (log_path, sizeof log_path, "%s/log", n->dir);
  n->pid = fork ();
  if (n->pid == 0)
    {
      int fd = open (log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execl ("target/kumquatd", "target/kumquatd", "--settings", path, (char *)NULL);
      _exit (127);
    }
  note ("node %s started", n->name);
}

static void
add_nodes (int count)
{
  int base = 2 + getpid () % 200;
  for (int i = 0; i < count; i++)
    {
      Node *n = &nodes[n_nodes++];
      char path[200];
      snprintf (n->name, sizeof n->name, "edge-north-%d", i + 1);
      /* The metrics port stands in the template, so each node has an address. */
      for (int k = 0; k < 200; k++)
        {
          snprintf (n->ip, sizeof n->ip, "127.%d.%d.%d", base, 1 + k, 10 + i);
          if (free_port (n->ip, 9464) == 9464)
            break;
        }
      n->front = free_port (n->ip, 0);
      n->metrics = 9464;
      snprintf (n->dir, sizeof n->dir, "%s/node-%d", temp_dir, i + 1);
      if (n->front < 0 || mkdir (n->dir, 0700) != 0)
        cannot_run ("no address or folder for a node");
      snprintf (path, sizeof path, "%s/node.toml", n->dir);
      write_settings (n, path);
      start_node (n);
    }
}

/* The value of a node's metric; -1: no answer. */
static double
metric (const Node *n, const char *name)
{
  KqBuf out = { 0 };
  char line[80];
  const char *at;
  double v = -1;
  snprintf (line, sizeof line, "\n%s ", name);
  if (call ("GET", n->ip, n->metrics, "/metrics", NULL, 0, &out) == 200)
    {
      at = strstr (out.ptr, line);
      v = at != NULL ? atof (at + strlen (line)) : -1;
    }
  kq_buf_free (&out);
  return v;
}

static Node *
find_leader (void)
{
  for (int i = 0; i < n_nodes; i++)
    if (nodes[i].pid > 0 && metric (&nodes[i], "kq_leading") > 0)
      return &nodes[i];
  return NULL;
}

/* Waits until all nodes have joined a leader that knows all runners. */
static Node *
wait_for_fleet (void)
{
  for (int i = 0; i < 100; i++)
    {
      Node *l = find_leader ();
      if (l != NULL && metric (l, "kq_agents_up") >= n_nodes
          && metric (l, "kq_runners_known") >= n_machines)
        return l;
      wait_ms (100);
    }
  cannot_run ("the fleet doesn't come up");
}

/* Hands a job in at the node; repeats as a client does. Returns the last status. */
static int
submit (const char *id, const char *body, size_t len, int first_node)
{
  char path[64];
  int status = 0;
  snprintf (path, sizeof path, "/plans/%s", id);
  for (int i = 0; i < 5; i++)
    {
      const Node *n = &nodes[(first_node + i) % n_nodes];
      note ("sent: POST %s at %s", path, n->name);
      status = call ("POST", n->ip, n->front, path, body, len, NULL);
      note ("answered: POST %s: %d", path, status);
      if (status >= 200 && status < 300)
        return status;
      wait_ms (200);
    }
  return status;
}

static int
total_runs (void)
{
  int n = 0;
  for (int i = 0; i < n_machines; i++)
    n += machines[i].n_runs;
  return n;
}

static void
wait_for_runs (int count)
{
  for (int i = 0; i < 100 && total_runs () != count; i++)
    wait_ms (20);
  if (total_runs () != count)
    cannot_run ("the tasks haven't been started as expected");
}

/* The operator requests the next wave. */
static void
request_wave (int cap, int duration_s, const int *members, int n)
{
  json_t *names = json_array ();
  char key[32];
  wave = (Wave){ .number = wave.number + 1, .cap = cap, .n = n };
  for (int i = 0; i < n; i++)
    {
      wave.members[i] = members[i];
      json_array_append_new (names, json_string (machines[members[i]].name));
      note ("wave %lld names %s", (long long)wave.number, machines[members[i]].name);
    }
  note ("sent: op/wave/%lld, cap %d, %d s", (long long)wave.number, cap, duration_s);
  snprintf (key, sizeof key, "op/wave/%lld", (long long)wave.number);
  put_json (key, json_pack ("{s:I, s:o, s:i, s:i}", "wave", (json_int_t)wave.number,
                            "machines", names, "duration_s", duration_s, "cap", cap));
}

/* Waits until each machine of the wave has had its upkeep and is up again. */
static void
wait_for_wave (void)
{
  int done = 0;
  for (int i = 0; i < 120 && done < wave.n; i++)
    {
      wait_ms (250);
      done = 0;
      for (int k = 0; k < wave.n; k++)
        done += machines[wave.members[k]].wave_done == wave.number
                && machines[wave.members[k]].alive;
    }
  if (done < wave.n)
    cannot_run ("the wave isn't done in time");
}

static void
set_up (int n_nodes_wanted, int n_machines_wanted)
{
  static ev_timer upkeep;
  KqWebApp app = { .handle = on_cloud_call };
  struct ev_loop *ev = kq_loop_ev (loop);
  cloud = kq_web_new (loop, 0, "cloud", &app);
  put_config ();
  for (n_machines = 0; n_machines < n_machines_wanted; n_machines++)
    add_machine (n_machines);
  ev_timer_init (&upkeep, on_upkeep_over, 0.02, 0.02);
  ev_timer_start (ev, &upkeep);
  add_nodes (n_nodes_wanted);
  wait_for_fleet ();
}

static int
compare_by_runs (const void *a, const void *b)
{
  return machines[*(const int *)b].n_runs - machines[*(const int *)a].n_runs;
}

#define FREEZE_ROUNDS 6
#define FREEZE_MS 4000

/* One wave of three machines, the one with the fewest tasks last. */
static void
freeze_round (int round)
{
  static const char job[]
      = "{\"spec\":\"ms=3000\",\"steps\":[{\"count\":11,\"cpu\":4000,\"mem_mb\":1000,"
        "\"est_ms\":3000}]}";
  char id[20];
  int members[MACHINES_MAX];
  Node *leader;
  snprintf (id, sizeof id, "5c0e7a21d94b36f%d", round);
  if (submit (id, job, strlen (job), 0) != 200)
    cannot_run ("the job wasn't accepted");
  wait_for_runs (11);
  for (int i = 0; i < n_machines; i++)
    members[i] = i;
  qsort (members, (size_t)n_machines, sizeof members[0], compare_by_runs);
  leader = find_leader ();
  if (leader == NULL)
    cannot_run ("no leader");
  request_wave (1, 40, members + 3, 3);
  wait_ms (1000);
  note ("the leader is %s", leader->name);
  if (trouble)
    {
      note ("disruption: %s freezes", leader->name);
      kill (leader->pid, SIGSTOP);
      wait_ms (FREEZE_MS);
      kill (leader->pid, SIGCONT);
      note ("disruption: %s wakes", leader->name);
    }
  wait_for_wave ();
}

/* Case freeze: the node that leads freezes while it drains a machine of a wave. */
static void
case_freeze (void)
{
  set_up (3, 6);
  for (int round = 1; round <= FREEZE_ROUNDS && broken == 0; round++)
    {
      wait_for_fleet ();
      /* A leader makes no upkeep in its first seconds. */
      if (round == 1)
        wait_ms (4000);
      freeze_round (round);
    }
}

/* Waits until that many tasks of the watched step are at work. */
static void
wait_for_work (int count)
{
  int n = 0;
  for (int i = 0; i < 400 && n < count; i++)
    {
      wait_ms (50);
      note_at_work ();
      n = 0;
      for (int k = 0; k < lasting.n; k++)
        n += lasting.at_work_last[k] != 0
             && kq_time_now () - lasting.at_work_last[k] < 100 * KQ_MS;
    }
  if (n < count)
    cannot_run ("the lasting tasks aren't at work");
}

/* Has 14 lasting tasks at work, two on each of seven machines; one machine is free. */
static void
start_lasting (void)
{
  static const char job[]
      = "{\"spec\":\"ms=0\",\"steps\":[{\"count\":14,\"cpu\":2000,\"mem_mb\":1000,"
        "\"est_ms\":500,\"daemon\":true,\"max_per_server\":2,\"may_miss\":1}]}";
  snprintf (lasting.job, sizeof lasting.job, "5c0e7a21d94b36f8");
  lasting.may_miss = 1;
  lasting.n = 14;
  if (submit (lasting.job, job, strlen (job), 0) != 200)
    cannot_run ("the job wasn't accepted");
  wait_for_work (14);
  wait_ms (4000);
}

/* Case crash: a runner crashes and is up again under a new id while a wave is on its way.
 */
static void
case_crash (void)
{
  int members[MACHINES_MAX];
  Machine *m;
  set_up (3, 8);
  start_lasting ();
  for (int i = 0; i < n_machines; i++)
    members[i] = i;
  qsort (members, (size_t)n_machines, sizeof members[0], compare_by_runs);
  m = &machines[members[6]];
  request_wave (1, 40, members + 5, 3);
  for (int i = 0; i < 200 && count_down_for_wave () == 0; i++)
    wait_ms (20);
  wait_ms (100);
  if (trouble)
    {
      note ("disruption: the runner of %s crashes", m->name);
      end_runner (m, true);
      wait_ms (300);
      start_runner (m);
    }
  wait_for_wave ();
  wait_for_work (14);
}

#define OUTAGE_MS 4500

/* The store answers nobody for 4.5 s. Entries that are three heartbeats old by then are
 * removed; the runners write theirs again with their next heartbeat. */
static void
take_store_down (void)
{
  static const char busy[] = "{\"outage\":\"refuse\"}";
  static const char clear[] = "{\"clear\":true}";
  int port = store_port;
  note ("disruption: the store is down");
  if (call ("POST", "127.0.0.1", port, "/v1/fault", busy, strlen (busy), NULL) != 200)
    cannot_run ("the store's fault can't be set");
  store_paused_at = kq_time_now ();
  store_down = true;
  wait_ms (OUTAGE_MS);
  for (int i = 0; i < n_machines; i++)
    {
      char key[48];
      snprintf (key, sizeof key, "servers/%s", machines[i].id);
      if (!machines[i].alive
          || kq_time_now () - machines[i].entry_at < 3 * HEARTBEAT_MS * KQ_MS)
        continue;
      note ("entry %s has expired", key);
      kq_platform_kv_remove (kv, key);
    }
  if (call ("POST", "127.0.0.1", port, "/v1/fault", clear, strlen (clear), NULL) != 200)
    cannot_run ("the store's fault can't be cleared");
  store_paused += kq_time_now () - store_paused_at;
  store_down = false;
  note ("disruption: the store is back");
}

/* Case outage: the store is down for a while, and entries of live runners have expired
 * when it is back. */
static void
case_outage (void)
{
  int members[MACHINES_MAX];
  set_up (3, 8);
  start_lasting ();
  for (int i = 0; i < n_machines; i++)
    members[i] = i;
  qsort (members, (size_t)n_machines, sizeof members[0], compare_by_runs);
  request_wave (3, 20, members + 3, 5);
  for (int i = 0; i < 200 && count_down_for_wave () == 0; i++)
    wait_ms (20);
  wait_ms (500);
  if (trouble)
    take_store_down ();
  wait_for_wave ();
  wait_for_work (14);
}

#define LATE_ROUNDS 4
#define LATE_MS 6000

static KqRand rand_state;
static int load_jobs;
static bool load_on;

/* Hands small jobs in, of different lengths. */
static void
load_for (int64_t ms)
{
  KqTime until = kq_time_now () + ms * KQ_MS;
  while (kq_time_now () < until)
    {
      char id[24];
      char job[200];
      int length = 600 + (int)kq_rand_below (&rand_state, 3400);
      snprintf (id, sizeof id, "a7d94b36f80%05x", ++load_jobs);
      snprintf (job, sizeof job,
                "{\"spec\":\"ms=%d\",\"steps\":[{\"count\":%d,\"cpu\":%d,"
                "\"mem_mb\":500,\"est_ms\":%d}]}",
                length, 1 + (int)kq_rand_below (&rand_state, 8),
                300 + (int)kq_rand_below (&rand_state, 1500), length);
      if (load_on)
        submit (id, job, strlen (job), load_jobs);
      wait_ms (250);
    }
}

/* Case late: a call for an upkeep gets no answer and is carried out late; the node that
 * sent it is killed meanwhile, and starts again. */
static void
case_late (void)
{
  int members[MACHINES_MAX];
  rand_state = kq_rand (62);
  set_up (3, 6);
  load_on = true;
  load_for (4000);
  for (int round = 1; round <= LATE_ROUNDS && broken == 0; round++)
    {
      Node *leader;
      wait_for_fleet ();
      leader = find_leader ();
      for (int i = 0; i < n_machines; i++)
        members[i] = i;
      late_ms = trouble ? LATE_MS : 0;
      late_calls = 0;
      request_wave (1, 40, members, n_machines);
      for (int i = 0; i < 500 && trouble && late_calls == 0; i++)
        load_for (20);
      if (trouble)
        {
          note ("disruption: %s is killed", leader->name);
          kill (leader->pid, SIGKILL);
          waitpid (leader->pid, NULL, 0);
          leader->pid = 0;
          wait_ms (500);
          start_node (leader);
        }
      load_for (9000);
      load_on = false;
      wait_for_wave ();
      load_on = true;
    }
}

/* Trial spec, no case: a client's spec has a NUL character. */

static const char *spec_sent;
static size_t spec_len;
static int spec_starts;

static void
check_spec (Machine *m, const json_t *order)
{
  const json_t *spec = json_object_get (order, "spec");
  size_t len = json_string_length (spec);
  bool same = len == spec_len && memcmp (json_string_value (spec), spec_sent, len) == 0;
  spec_starts++;
  note ("a start on %s has a spec of %zu bytes, the client's has %zu", m->name, len,
        spec_len);
  if (same)
    return;
  broken++;
  note ("BROKEN: UNASKED: a start with another spec");
}

static void
trial_spec (void)
{
  char job[200];
  spec_sent = trouble ? "ms=300\0tail" : "ms=300 tail";
  spec_len = strlen ("ms=300 tail");
  snprintf (job, sizeof job,
            "{\"spec\":\"ms=300%stail\",\"steps\":[{\"count\":3,\"cpu\":2000,"
            "\"mem_mb\":1000,\"est_ms\":300}]}",
            trouble ? "\\u0000" : " ");
  set_up (3, 6);
  on_start = check_spec;
  if (submit ("5c0e7a21d94b36f8", job, strlen (job), 0) != 200)
    cannot_run ("the job wasn't accepted");
  wait_ms (2000);
  if (spec_starts < 3)
    cannot_run ("the tasks haven't been started");
}

/* Trial stop, no case: nodes are stopped as planned while a client goes on asking them. */
static void
trial_stop (void)
{
  set_up (3, 4);
  for (int i = 0; i < 6; i++)
    {
      Node *n = &nodes[i % 3];
      KqTime until = kq_time_now () + 3 * KQ_SEC;
      int status = 0;
      int calls = 0;
      if (trouble)
        kill (n->pid, SIGTERM);
      while (trouble ? waitpid (n->pid, &status, WNOHANG) == 0 : kq_time_now () < until)
        {
          call ("GET", n->ip, n->front, "/plans/5c0e7a21d94b36f8", NULL, 0, NULL);
          calls++;
        }
      if (!trouble)
        continue;
      note ("%s has ended: status %d, signal %d, after %d calls", n->name,
            WIFEXITED (status) ? WEXITSTATUS (status) : -1,
            WIFSIGNALED (status) ? WTERMSIG (status) : 0, calls);
      broken += WIFSIGNALED (status);
      n->pid = 0;
      start_node (n);
      wait_ms (2000);
    }
}

static const struct
{
  const char *name;
  void (*run) (void);
} cases[]
    = { { "freeze", case_freeze },
        { "late", case_late },
        { "outage", case_outage },
        { "crash", case_crash },
        { "spec", trial_spec },
        { "stop", trial_stop } };

int
main (int argc, char **argv)
{
  char template[] = "/tmp/review-case-XXXXXX";
  void (*run) (void) = NULL;
  for (size_t i = 0; argc == 4 && i < sizeof cases / sizeof cases[0]; i++)
    if (strcmp (argv[1], cases[i].name) == 0)
      run = cases[i].run;
  record = argc == 4 ? fopen (argv[2], "w") : NULL;
  if (run == NULL || record == NULL || mkdtemp (template) == NULL)
    {
      fprintf (stderr, "usage: review-cases CASE RECORD TROUBLE\n");
      return 2;
    }
  snprintf (temp_dir, sizeof temp_dir, "%s", template);
  trouble = strcmp (argv[3], "0") != 0;
  signal (SIGPIPE, SIG_IGN);
  began_at = kq_time_now ();
  loop = kq_loop_new ();
  http = kq_http_client_new (loop, 8, 15000);
  start_store ();
  run ();
  note ("rule broken %d times", broken);
  printf ("%s: broken %d times\n", argv[1], broken);
  finish (broken > 0 ? 1 : 0);
}
