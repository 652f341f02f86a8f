/* advice_test: a platform whose queues need advice, its runners, an operator and clients
 * in one process, and nodes of a fleet as child processes; see claim.txt in review/9, 10
 * and 11.
 *
 *   target/review-advice CASE RECORD TROUBLE
 *
 * CASE is `burst`, or the queue that a second configuration adds. TROUBLE 0: the same
 * without the burst, or without that queue: all jobs then go to the first one.
 *
 * Exits with 0 if the rule held, with 1 if it was broken, with 2 if the case couldn't be
 * run. The store is the project's stand-in (standin/platform_kv.c). */

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

#define NODES 6
#define RUNNERS 48
#define RUNS_MAX 64
#define ENDS_MAX 256
/* Bounds of the sheet of gasilnik-rounds. */
#define HOLD_MAX_MS 6000
#define HEARTBEAT_MS 1500
#define FINISH_MS 14000
#define IDLE_MS 3000
/* More calls of one machine than this are answered with 429. */
#define ADVICE_QUEUE_MAX 32

/* A queue with advice, as its route in the configuration has it. */
typedef struct
{
  const char *name;
  const char *prefix;
  int decide_ms;
  int each_ms;
  int valid_ms;
} Queue;

static const Queue first_queue = { "plans", "/plans/", 100, 20, 3000 };
/* The only one of the case `burst`: 1.3 s for 30 runners. */
static const Queue burst_queue = { "orders", "/orders/", 100, 40, 3000 };
static const Queue added_queues[]
    = { { "reports", "/reports/", 200, 80, 3000 }, /* 2.6 s for 30 runners */
        { "checks", "/checks/", 200, 40, 1000 } }; /* 1.4 s for 30 runners */

typedef struct
{
  char id[20];
  const Queue *queue;
  bool accepted;
  KqTime accepted_at;
  KqTime began_at; /* of the first run of one of its tasks; 0: none yet */
  char state[16];  /* as last answered */
} Job;

#define JOBS_MAX 96

typedef struct
{
  char name[24];
  char ip[40];
  char dir[120];
  int front;
  int metrics;
  pid_t pid;
  KqWeb *advice; /* the advice service, as this node reaches it */
  GQueue calls;  /* KqWebCall: the first one is being handled */
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
  char id[24];
  KqWeb *web;
  int64_t born_ms;
  KqTime born_at;
  int64_t lease_end_ms;
  uint64_t runner_fence;
  uint64_t last_end;
  uint64_t acked_end;
  uint64_t seq;
  Run runs[RUNS_MAX];
  int n_runs;
  End ends[ENDS_MAX];
  int n_ends;
  GHashTable *highest; /* task -> highest run number that was stopped or ended there */
  GHashTable *tickets; /* step -> KqTime until which its ticket is valid */
  GPtrArray *holds;    /* KqWebCall that wait for an end */
  ev_timer tick;
  ev_timer heartbeat;
} Machine;

static KqLoop *loop;
static KqHttpClient *http;
static KqPlatformKv *kv;
static Node nodes[NODES];
static int n_nodes;
static Machine machines[RUNNERS];
static int n_machines;
static Job jobs[JOBS_MAX];
static int n_jobs;
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

static void __attribute__ ((format (printf, 1, 2))) note (const char *format, ...)
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

static void __attribute__ ((noreturn)) finish (int code)
{
  note ("exit %d", code);
  end_nodes ();
  remove_temp_dir ();
  exit (code);
}

static void __attribute__ ((noreturn)) cannot_run (const char *why)
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

static json_t *
route_of (const Queue *q)
{
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:f, s:{s:i, s:i, s:i}}", "name",
      q->name, "host", "desk.example", "prefix", q->prefix, "kind", "non_idempotent",
      "timeout_ms", 3000, "slo_ms", 500, "priority", 0, "service", "desk", "attempts", 3,
      "stretch", 1.5, "advice", "decide_ms", q->decide_ms, "each_ms", q->each_ms,
      "valid_ms", q->valid_ms);
}

/* added: NULL: only the first queue. */
static void
put_config (int version, const Queue *first, const Queue *added)
{
  json_t *routes = json_array ();
  json_array_append_new (routes, route_of (first));
  if (added != NULL)
    json_array_append_new (routes, route_of (added));
  note ("configuration %d, queues: %s %s", version, first->name,
        added != NULL ? added->name : "");
  put_json ("op/config",
            json_pack ("{s:i, s:o, s:[{s:s, s:b}], s:{s:i}}", "version", version,
                       "routes", routes, "services", "name", "desk", "admission_check", 0,
                       "limits", "max_body_bytes", 262144));
}

/* The job of a task or step; NULL: no client has sent it. */
static Job *
find_job (const char *name)
{
  for (int i = 0; i < n_jobs; i++)
    if (strncmp (name, jobs[i].id, strlen (jobs[i].id)) == 0)
      return &jobs[i];
  return NULL;
}

/* Runners. */

#define ROOM_CPU 16000
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
  snprintf (key, sizeof key, "servers/%s", m->id);
  snprintf (address, sizeof address, "127.0.0.1:%d", kq_web_port (m->web));
  put_json (key, json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:{s:i, s:i, s:i}, "
                            "s:[s, s], s:I, s:s}",
                            "service", "desk", "address", address, "zone", "north",
                            "version", "v1", "slots", 8, "state", "ready", "cold_left_ms",
                            0, "seq", (json_int_t)++m->seq, "room", "cpu", ROOM_CPU,
                            "mem_mb", ROOM_MEM_MB, "gpu", 0, "labels", "a", "r1", "born",
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
      int64_t percent = took * 100 / (r->duration_ms);
      if (percent > 99)
        percent = 99;
      json_array_append_new (running, json_pack ("[s, i, s, i, i]", r->task, (int)r->run,
                                                 "", (int)percent, 0));
    }
  for (int i = 0; i < m->n_ends; i++)
    if (m->ends[i].number > m->acked_end)
      json_array_append_new (
          ended, json_pack ("[I, s, i, s, s]", (json_int_t)m->ends[i].number,
                            m->ends[i].task, (int)m->ends[i].run, m->ends[i].how, ""));
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
  if (clock_ms (m) >= m->lease_end_ms)
    while (m->n_runs > 0)
      end_run (m, 0, "lapsed");
  for (int i = m->n_runs - 1; i >= 0; i--)
    if (kq_time_now () - m->runs[i].began_at >= m->runs[i].duration_ms * KQ_MS)
      end_run (m, i, "done");
  if (m->n_ends > before)
    answer_holds (m);
}

static void
refuse (const Machine *m, KqWebCall *c, const char *reason)
{
  kq_web_reply_json (
      c, 409,
      json_pack ("{s:I, s:s}", "clock_ms", (json_int_t)clock_ms (m), "reason", reason));
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

/* The step of a task: its name without the index. */
static void
step_of (const char *task, char out[96])
{
  char *at;
  snprintf (out, 96, "%s", task);
  at = strrchr (out, '.');
  if (at != NULL)
    *at = '\0';
}

/* A ticket is "t-", the runner's id, "-" and the step. */
static bool
has_ticket (const Machine *m, const char *task, const char *ticket)
{
  char step[96];
  char expected[160];
  const KqTime *until;
  step_of (task, step);
  snprintf (expected, sizeof expected, "t-%s-%s", m->id, step);
  until = g_hash_table_lookup (m->tickets, step);
  return ticket != NULL && strcmp (ticket, expected) == 0 && until != NULL
         && kq_time_now () < *until;
}

static void
note_start (const Run *r)
{
  Job *j = find_job (r->task);
  if (j != NULL && j->began_at == 0)
    j->began_at = kq_time_now ();
}

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
  if (!has_ticket (m, task, json_string_value (json_object_get (j, "ticket"))))
    {
      note ("run %s %u refused on %s for want of a ticket", task, number, m->name);
      refuse (m, c, "ticket");
      return;
    }
  note ("run %s %u began on %s (%s)", task, number, m->name, m->id);
  r = &m->runs[m->n_runs++];
  *r = (Run){ .run = number,
              .began_at = kq_time_now (),
              .duration_ms = ms != NULL ? atoll (ms + 3) : 1 };
  snprintf (r->task, sizeof r->task, "%s", task);
  note_start (r);
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
  for (int i = m->n_runs - 1; i >= 0; i--)
    if (strcmp (m->runs[i].task, task) == 0 && m->runs[i].run <= number)
      end_run (m, i, "stopped");
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
  if (!kq_str_eq (kq_http_header (c->x, "Target-Instance"), kq_str (m->id)))
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

static void
on_heartbeat (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  put_entry (w->data);
}

static void
add_machine (int i)
{
  Machine *m = &machines[i];
  KqWebApp app = { .arg = m, .handle = on_runner_call, .finished = on_runner_call_over };
  snprintf (m->name, sizeof m->name, "m-%02d", i + 1);
  snprintf (m->id, sizeof m->id, "i-%02x", i + 1);
  m->highest = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  m->tickets = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  m->holds = g_ptr_array_new ();
  m->web = kq_web_new (loop, 0, "runner", &app);
  m->born_ms = kq_time_wall_ms ();
  m->born_at = kq_time_now ();
  ev_timer_init (&m->tick, on_tick, 0.01, 0.01);
  m->tick.data = m;
  ev_timer_start (kq_loop_ev (loop), &m->tick);
  ev_timer_init (&m->heartbeat, on_heartbeat, (0.1 + 0.03 * i), HEARTBEAT_MS / 1000.0);
  m->heartbeat.data = m;
  ev_timer_start (kq_loop_ev (loop), &m->heartbeat);
  put_entry (m);
}

/* The advice service. */

/* The policy: each second runner may run the step. Fills in a ticket for it. */
static void
advise (Machine *m, const Queue *q, const char *step, json_t *good)
{
  char ticket[160];
  KqTime *until;
  if ((m - machines) % 2 != 0)
    return;
  until = kq_alloc (sizeof *until);
  *until = kq_time_now () + q->valid_ms * KQ_MS;
  g_hash_table_replace (m->tickets, strdup (step), until);
  snprintf (ticket, sizeof ticket, "t-%s-%s", m->id, step);
  json_array_append_new (good, json_pack ("[s, s]", m->id, ticket));
}

static void
answer_advice (KqWebCall *c, const Job *job)
{
  json_t *j = kq_json_parse (kq_buf_str (&c->body));
  const char *step = json_string_value (json_object_get (j, "step"));
  const json_t *workers = json_object_get (j, "workers");
  json_t *good = json_array ();
  for (size_t i = 0; i < json_array_size (workers); i++)
    for (int k = 0; k < n_machines; k++)
      if (g_strcmp0 (json_string_value (json_array_get (workers, i)), machines[k].id)
          == 0)
        advise (&machines[k], job->queue, step, good);
  note ("answered: advice for %s, %zu of %zu runners", step, json_array_size (good),
        json_array_size (workers));
  kq_web_reply_json (
      c, 200, json_pack ("{s:o, s:i}", "good", good, "valid_ms", job->queue->valid_ms));
  json_decref (j);
}

static void serve_next (Node *n);

static void
on_advised (KqWebCall *c)
{
  Node *n = c->data;
  json_t *j = kq_json_parse (kq_buf_str (&c->body));
  const char *step = json_string_value (json_object_get (j, "step"));
  const Job *job = step != NULL ? find_job (step) : NULL;
  g_queue_remove (&n->calls, c);
  if (job == NULL)
    kq_web_error (c, 400, "no such step");
  else
    answer_advice (c, job);
  json_decref (j);
  serve_next (n);
}

/* Begins the node's first call: it takes decide_ms, and each_ms for each runner named. */
static void
serve_next (Node *n)
{
  KqWebCall *c = g_queue_peek_head (&n->calls);
  json_t *j = c != NULL ? kq_json_parse (kq_buf_str (&c->body)) : NULL;
  const char *step = json_string_value (json_object_get (j, "step"));
  const Job *job = step != NULL ? find_job (step) : NULL;
  int64_t ms = 1;
  if (job != NULL)
    ms = job->queue->decide_ms
         + job->queue->each_ms
               * (int64_t)json_array_size (json_object_get (j, "workers"));
  if (c != NULL)
    kq_web_after (c, ms, on_advised);
  json_decref (j);
}

static void
on_advice_call (void *arg, KqWebCall *c)
{
  Node *n = arg;
  if (!kq_web_is (c, "POST", "/advise"))
    {
      kq_web_error (c, 404, "no such call");
      return;
    }
  note ("asked: advice by %s: %.*s", n->name, KQ_STR_ARG (kq_buf_str (&c->body)));
  if (g_queue_get_length (&n->calls) > ADVICE_QUEUE_MAX)
    {
      kq_web_error (c, 429, "too many calls wait");
      return;
    }
  c->data = n;
  g_queue_push_tail (&n->calls, c);
  if (g_queue_get_length (&n->calls) == 1)
    serve_next (n);
}

/* A call whose connection has ended is dropped, also while it is being handled. */
static void
on_advice_call_over (void *arg, KqWebCall *c)
{
  Node *n = arg;
  bool first = g_queue_peek_head (&n->calls) == c;
  if (!g_queue_remove (&n->calls, c))
    return;
  note ("a call of %s for advice has ended without an answer", n->name);
  if (first)
    serve_next (n);
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
  char advice[40];
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
                              { "{{advice}}", advice },
                              { "{{cloud.address}}", "" },
                              { "{{bounds.hold_max_ms}}", "6000" },
                              { "{{bounds.grace_s}}", "6" },
                              { "{{bounds.status_s}}", "120" },
                              { "{{bounds.upkeep_s}}", "2" } };
  snprintf (front, sizeof front, "%s:%d", n->ip, n->front);
  snprintf (ready, sizeof ready, "%s:%d", n->ip, ready_port);
  snprintf (peer, sizeof peer, "%d", peer_port);
  snprintf (store, sizeof store, "127.0.0.1:%d", store_port);
  snprintf (advice, sizeof advice, "127.0.0.1:%d", kq_web_port (n->advice));
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
      execl ("target/kumquatd", "target/kumquatd", "--settings", path, "--memory-mb",
             "260", "--max-fds", "4100", (char *)NULL);
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
      KqWebApp app
          = { .arg = n, .handle = on_advice_call, .finished = on_advice_call_over };
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
      g_queue_init (&n->calls);
      n->advice = kq_web_new (loop, 0, "advice", &app);
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

/* Clients. */

/* Hands a job in; repeats as a client does. */
static void
submit (const Queue *q, int number)
{
  static const char body[]
      = "{\"spec\":\"ms=500\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":256,"
        "\"est_ms\":500}]}";
  Job *j = &jobs[n_jobs++];
  char path[64];
  snprintf (j->id, sizeof j->id, "%016x", 0x5c0e0000 + number);
  snprintf (path, sizeof path, "%s%s", q->prefix, j->id);
  j->queue = q;
  for (int i = 0; i < 5 && !j->accepted; i++)
    {
      const Node *n = &nodes[(number + i) % n_nodes];
      int status;
      note ("sent: POST %s at %s", path, n->name);
      status = call ("POST", n->ip, n->front, path, body, sizeof body - 1, NULL);
      note ("answered: POST %s: %d", path, status);
      j->accepted = status >= 200 && status < 300;
      j->accepted_at = kq_time_now ();
      if (!j->accepted)
        wait_ms (200);
    }
  if (!j->accepted)
    cannot_run ("a job isn't accepted");
}

static void
ask_state (Job *j, const Node *n)
{
  KqBuf body = { 0 };
  char *path = g_strdup_printf ("%s%s", j->queue->prefix, j->id);
  json_t *o;
  int status;
  status = call ("GET", n->ip, n->front, path, NULL, 0, &body);
  o = kq_json_parse (kq_buf_str (&body));
  snprintf (j->state, sizeof j->state, "%.15s",
            status == 200 && json_object_get (o, "state") != NULL
                ? json_string_value (json_object_get (o, "state"))
                : "?");
  note ("answered: GET %s at %s: %d %s", path, n->name, status, j->state);
  json_decref (o);
  kq_buf_free (&body);
  g_free (path);
}

static bool
all_have (const char *state)
{
  bool all = true;
  for (int i = 0; i < n_jobs; i++)
    {
      ask_state (&jobs[i], &nodes[i % n_nodes]);
      all = all && strcmp (jobs[i].state, state) == 0;
    }
  return all;
}

/* The check: finish_s after the last job was handed in, and for 3 s more, no task of an
 * accepted job has ever run. All runners are sound and nearly empty all the while. */
static void
check_jobs (void)
{
  wait_ms (FINISH_MS + IDLE_MS);
  all_have ("completed");
  for (int i = 0; i < n_jobs; i++)
    {
      const Job *j = &jobs[i];
      if (j->began_at != 0)
        {
          note ("job %s of %s began after %lld ms", j->id, j->queue->name,
                (long long)((j->began_at - j->accepted_at) / KQ_MS));
          continue;
        }
      broken++;
      note ("BROKEN: LOST: job %s of %s was accepted %lld ms ago, no task of it has run, "
            "its state is %s",
            j->id, j->queue->name, (long long)((kq_time_now () - j->accepted_at) / KQ_MS),
            j->state);
    }
}

static void
set_up (const Queue *first)
{
  put_config (7, first, NULL);
  for (n_machines = 0; n_machines < RUNNERS; n_machines++)
    add_machine (n_machines);
  add_nodes (NODES);
  wait_for_fleet ();
  wait_ms (1000);
}

/* A job every 2 s for 12 s, and, from the fourth second on, 30 more within 1.5 s. */
static void
case_burst (void)
{
  int number = 0;
  set_up (&burst_queue);
  for (int tenth = 0; tenth < 120; tenth++)
    {
      if (tenth % 20 == 0)
        submit (&burst_queue, number++);
      for (int i = 0; i < 2 && trouble && tenth >= 40 && tenth < 55; i++)
        submit (&burst_queue, number++);
      wait_ms (100);
    }
  check_jobs ();
}

static void
case_added (const Queue *added)
{
  set_up (&first_queue);
  for (int i = 0; i < 3; i++)
    submit (&first_queue, i);
  for (int i = 0; i < 40 && !all_have ("completed"); i++)
    wait_ms (500);
  if (!all_have ("completed"))
    cannot_run ("the first jobs don't complete");
  /* The disruption: a configuration that adds a queue. */
  if (trouble)
    put_config (8, &first_queue, added);
  wait_ms (4000);
  for (int i = 3; i < 6; i++)
    submit (trouble ? added : &first_queue, i);
  check_jobs ();
}

int
main (int argc, char **argv)
{
  char template[] = "/tmp/review-advice-XXXXXX";
  bool burst = argc == 4 && strcmp (argv[1], "burst") == 0;
  const Queue *added = NULL;
  for (size_t i = 0; argc == 4 && i < sizeof added_queues / sizeof added_queues[0]; i++)
    if (strcmp (argv[1], added_queues[i].name) == 0)
      added = &added_queues[i];
  record = burst || added != NULL ? fopen (argv[2], "w") : NULL;
  if (record == NULL || mkdtemp (template) == NULL)
    {
      fprintf (stderr, "usage: review-advice CASE RECORD TROUBLE\n");
      return 2;
    }
  snprintf (temp_dir, sizeof temp_dir, "%s", template);
  trouble = strcmp (argv[3], "0") != 0;
  signal (SIGPIPE, SIG_IGN);
  began_at = kq_time_now ();
  loop = kq_loop_new ();
  http = kq_http_client_new (loop, 8, 15000);
  start_store ();
  if (burst)
    case_burst ();
  else
    case_added (added);
  note ("rule broken %d times", broken);
  printf ("%s: broken %d times\n", argv[1], broken);
  finish (broken > 0 ? 1 : 0);
}
