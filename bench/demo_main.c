/* demo [BUILD [keep]]: starts a fleet on loopback, sends requests and jobs, kills a node
 * and a worker process meanwhile, and counts the results. The exit status is not 0 if
 * anything was lost or ran twice. keep: the directory with the logs stays. */

#include "procs.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS 180
#define KEYED 20
#define REPEATS 20
#define JOBS 60
#define NODES 3
#define WORKER_PROCESSES 3
#define KEYED_FIRST (REQUESTS - KEYED)

typedef enum
{
  WAITING,
  ANSWERED,
  REFUSED,
  UNKNOWN
} Outcome;

typedef struct
{
  int number;
  bool post;
  Outcome outcome;
  int code; /* result code, unless ANSWERED */
} Request;

typedef struct
{
  Procs fleet;
  int store;
  int nodes[NODES];
  int workers[WORKER_PROCESSES];
  Request requests[REQUESTS + REPEATS];
  int n_requests;
  int open;
  char jobs[JOBS][24];
  int n_jobs;
  int resubmitted;
  /* Results. */
  int answered;
  int refused;
  int unknown;
  int run_twice;
  int run_once; /* keyed requests */
  int lost;
  int finished;
  int evicted;
  int resumed;
  int other_ends;
  double in_force_s;
} Demo;

static const char *const table
    = "{\"changes\":["
      "{\"kind\":\"service\",\"name\":\"tag-watch\",\"fields\":{\"deadline_ms\":8000}},"
      "{\"kind\":\"service\",\"name\":\"seal-report\",\"fields\":{\"deadline_ms\":8000}},"
      "{\"kind\":\"class\",\"name\":\"plan\",\"fields\":{\"cpu_milli\":1000,"
      "\"memory_mb\":512}},"
      "{\"kind\":\"team\",\"name\":\"rounds\",\"fields\":{}}]}";

static void
print_progress (const char *text)
{
  printf ("demo: %s\n", text);
  fflush (stdout);
}

static bool
start_fleet (Demo *d)
{
  Procs *f = &d->fleet;
  const char *size = "--cpu-milli 16000 --memory-mb 60000 --rack-size 2";
  f->regions = "[[region]]\nname = \"east\"\nshards = 2\n"
               "[[region]]\nname = \"west\"\nshards = 1\n";
  d->store = procs_start_store (f, "--hosts-lag-ms 500 --hosts-gone-ms 3000");
  d->workers[0] = procs_start_workers (f, "ea", "east", "e1", 3, size);
  d->workers[1] = procs_start_workers (f, "eb", "east", "e1", 1,
                                       "--first-rack 3 --cpu-milli 16000 "
                                       "--memory-mb 60000");
  d->workers[2] = procs_start_workers (f, "wa", "west", "w1", 2, size);
  d->nodes[0] = procs_start_node (f, "east-1", "east", "e1");
  d->nodes[1] = procs_start_node (f, "east-2", "east", "e1");
  d->nodes[2] = procs_start_node (f, "west-1", "west", "w1");
  for (int i = 0; i < NODES; i++)
    {
      if (d->nodes[i] < 0 || d->workers[i] < 0)
        return false;
    }
  return d->store >= 0;
}

static int
running_node (Demo *d, int i)
{
  int node = d->nodes[i % NODES];
  if (d->fleet.processes[node].pid == 0)
    node = d->nodes[0];
  return node;
}

static void
on_answer (void *arg, const ProcsAnswer *a)
{
  void **pair = arg;
  Demo *d = pair[0];
  Request *r = pair[1];
  free (pair);
  d->open--;
  r->code = a->code;
  if (a->outcome == KQ_HTTP_NOT_SENT || strcmp (a->ran, "no") == 0)
    r->outcome = REFUSED;
  else if (a->outcome != KQ_HTTP_DONE || strcmp (a->ran, "unknown") == 0)
    r->outcome = UNKNOWN;
  else
    r->outcome = ANSWERED;
}

/* number < KEYED_FIRST: a GET; else a POST with a key. */
static void
send_request (Demo *d, int number, int node)
{
  char id[32];
  char url[128];
  Request *r = &d->requests[d->n_requests++];
  KqHeader h[3] = { { KQ_STR ("X-Request-Id"), { 0 } },
                    { KQ_STR ("X-Kq-Caller"), KQ_STR ("van-7") },
                    { KQ_STR ("Idempotency-Key"), { 0 } } };
  ProcsRequest q = { .url = url, .headers = h };
  void **pair = kq_alloc (2 * sizeof *pair);
  r->number = number;
  r->post = number >= KEYED_FIRST;
  q.method = r->post ? "POST" : "GET";
  q.body = r->post ? KQ_STR ("{\"seal\":1}") : kq_str ("");
  q.n_headers = r->post ? 3 : 2;
  snprintf (id, sizeof id, "req-%d", number);
  h[0].value = h[2].value = kq_str (id);
  snprintf (url, sizeof url, "http://127.0.0.1:%d/s/%s/visit?ms=20",
            d->fleet.processes[node].callers_port, r->post ? "seal-report" : "tag-watch");
  pair[0] = d;
  pair[1] = r;
  d->open++;
  procs_send (&d->fleet, &q, on_answer, pair);
}

/* True: the job was accepted. A refused job may be sent again, as it hasn't run. */
static bool
submit_once (Demo *d, int node, int run_ms)
{
  char body[128];
  char url[128];
  ProcsRequest q = { .method = "POST", .url = url, .body = { 0 } };
  ProcsAnswer a;
  json_t *o;
  const char *id;
  bool ok;
  snprintf (body, sizeof body, "{\"team\":\"rounds\",\"class\":\"plan\",\"run_ms\":%d}",
            run_ms);
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/jobs",
            d->fleet.processes[node].callers_port);
  q.body = kq_str (body);
  procs_call (&d->fleet, &q, &a);
  o = json_loadb (a.body.ptr != NULL ? a.body.ptr : "", a.body.len, 0, NULL);
  id = json_string_value (json_object_get (o, "id"));
  ok = a.status == 200 && id != NULL;
  if (ok)
    snprintf (d->jobs[d->n_jobs++], sizeof d->jobs[0], "%s", id);
  else if (strcmp (a.ran, "no") != 0)
    printf ("demo: a job has no sure answer: status %d\n", a.status);
  json_decref (o);
  kq_buf_free (&a.body);
  return ok;
}

static void
submit_job (Demo *d, int node, int run_ms)
{
  for (int i = 0; i < 100 && !submit_once (d, node, run_ms); i++)
    {
      d->resubmitted++;
      procs_run (&d->fleet, 100 * KQ_MS, NULL);
    }
}

static bool
none_open (Procs *f, void *arg)
{
  Demo *d = arg;
  (void)f;
  return d->open == 0;
}

static json_int_t
revision_at (Demo *d, int node)
{
  json_t *o = procs_json (&d->fleet, node, "/v1/node");
  json_int_t r = json_integer_value (json_object_get (o, "table_revision"));
  json_decref (o);
  return r;
}

/* Changes one row of the table at one node and measures the time until every node has
 * applied that revision. */
static bool
change_table (Demo *d)
{
  ProcsAnswer a;
  KqTime start = kq_time_now ();
  KqTime until = start + 10 * KQ_SEC;
  json_t *o;
  json_int_t revision;
  procs_call_operator (&d->fleet, d->nodes[2], "PUT", "/v1/table/service/tag-watch",
                       "{\"weight\":7}", "*", &a);
  o = json_loadb (a.body.ptr != NULL ? a.body.ptr : "", a.body.len, 0, NULL);
  revision = json_integer_value (json_object_get (o, "revision"));
  json_decref (o);
  kq_buf_free (&a.body);
  for (int i = 0; i < NODES && revision > 0;)
    {
      if (revision_at (d, d->nodes[i]) >= revision)
        i++;
      else if (kq_time_now () > until)
        return false;
      else
        procs_run (&d->fleet, 20 * KQ_MS, NULL);
    }
  d->in_force_s = (double)(kq_time_now () - start) / KQ_SEC;
  return revision > 0;
}

/* First half: no faults. Second half: a node and a worker process are killed. */
static void
run_load (Demo *d)
{
  print_progress ("requests and jobs, all processes alive");
  for (int i = 0; i < REQUESTS / 2; i++)
    {
      send_request (d, i, running_node (d, i));
      if (i % 3 == 0 && d->n_jobs < JOBS / 2)
        submit_job (d, running_node (d, i), 300 + 50 * (i % 10));
      procs_run (&d->fleet, 10 * KQ_MS, NULL);
    }
  print_progress (change_table (d) ? "a table change is in force everywhere"
                                   : "THE TABLE CHANGE IS NOT IN FORCE");
  for (int i = 0; i < JOBS - JOBS / 2; i++)
    submit_job (d, running_node (d, i), 1500 + 100 * (i % 10));
  for (int i = REQUESTS / 2; i < REQUESTS; i++)
    {
      send_request (d, i, running_node (d, i));
      if (i == REQUESTS / 2 + 20)
        {
          print_progress ("killing kumquatd east-2 and one worker");
          procs_signal (&d->fleet, d->nodes[1], SIGKILL);
          procs_signal (&d->fleet, d->workers[1], SIGKILL);
          procs_wait_exit (&d->fleet, d->nodes[1], KQ_SEC);
          procs_wait_exit (&d->fleet, d->workers[1], KQ_SEC);
        }
      procs_run (&d->fleet, 20 * KQ_MS, NULL);
    }
  procs_wait (&d->fleet, 20 * KQ_SEC, none_open, d);
  print_progress (
      "the non-idempotent requests again, with their keys, through another node");
  for (int i = 0; i < REPEATS; i++)
    send_request (d, KEYED_FIRST + i, running_node (d, i + 2));
  procs_wait (&d->fleet, 20 * KQ_SEC, none_open, d);
}

/* state: "finished", "queued", ...; "" if the job isn't known. */
static void
job_state (Demo *d, const char *id, char state[32], int *evictions, int *attempts)
{
  char path[64];
  json_t *o;
  const char *s;
  snprintf (path, sizeof path, "/v1/jobs/%s", id);
  o = procs_json (&d->fleet, d->nodes[0], path);
  s = json_string_value (json_object_get (o, "state"));
  snprintf (state, 32, "%s", s != NULL ? s : "");
  *evictions = (int)json_integer_value (json_object_get (o, "evictions"));
  *attempts = (int)json_integer_value (json_object_get (o, "attempt"));
  json_decref (o);
}

static bool
is_end (const char *state)
{
  return strcmp (state, "finished") == 0 || strcmp (state, "failed") == 0
         || strcmp (state, "cancelled") == 0 || strcmp (state, "unplaceable") == 0;
}

static bool
jobs_ended (Procs *f, void *arg)
{
  Demo *d = arg;
  (void)f;
  for (int i = 0; i < d->n_jobs; i++)
    {
      char state[32];
      int evictions;
      int attempts;
      job_state (d, d->jobs[i], state, &evictions, &attempts);
      if (!is_end (state))
        return false;
    }
  return true;
}

static void
count_jobs (Demo *d)
{
  for (int i = 0; i < d->n_jobs; i++)
    {
      char state[32];
      int evictions;
      int attempts;
      job_state (d, d->jobs[i], state, &evictions, &attempts);
      d->evicted += evictions;
      d->resumed += attempts > 1;
      if (strcmp (state, "finished") == 0)
        d->finished++;
      else if (is_end (state))
        d->other_ends++;
      else
        {
          printf ("demo: job %s is lost: \"%s\"\n", d->jobs[i], state);
          d->lost++;
        }
    }
}

static void
print_codes (const Demo *d)
{
  for (int code = 1; code < KQ_RESULT_LIMIT; code++)
    {
      int n = 0;
      for (int i = 0; i < d->n_requests; i++)
        n += d->requests[i].code == code;
      if (n > 0)
        printf ("%-44s %8d\n", kq_result_name ((KqResult)code), n);
    }
}

/* Reads the workers' counts: how many copies of a job ran at once, and how often each
 * request ran. */
static void
count_effects (Demo *d)
{
  int runs[REQUESTS] = { 0 };
  for (int w = 0; w < WORKER_PROCESSES; w++)
    {
      json_t *o = NULL;
      if (d->fleet.processes[d->workers[w]].pid != 0)
        o = procs_standin_json (&d->fleet, d->workers[w], "/v1/effects");
      if (json_integer_value (json_object_get (o, "max_running_at_once")) > 1)
        d->run_twice++;
      for (int i = 0; i < REQUESTS; i++)
        {
          char id[32];
          snprintf (id, sizeof id, "req-%d", i);
          runs[i] += (int)json_integer_value (
              json_object_get (json_object_get (o, "requests"), id));
        }
      json_decref (o);
    }
  /* The requests with a key were sent after the kill, so their workers' counts exist. */
  for (int i = KEYED_FIRST; i < REQUESTS; i++)
    {
      d->run_twice += runs[i] > 1;
      d->run_once += runs[i] == 1;
    }
  for (int i = 0; i < d->n_requests; i++)
    {
      const Request *r = &d->requests[i];
      d->answered += r->outcome == ANSWERED;
      d->refused += r->outcome == REFUSED;
      d->unknown += r->outcome == UNKNOWN;
      d->lost += r->outcome == WAITING;
    }
}

static int
report (const Demo *d)
{
  bool bad = d->run_twice > 0 || d->lost > 0 || d->n_jobs < JOBS || d->run_once > KEYED
             || d->run_once < KEYED / 2;
  printf ("\n%-44s %8s\n", "what", "count");
  printf ("%-44s %8d\n", "requests sent", d->n_requests);
  printf ("%-44s %8d\n", "  answered", d->answered);
  printf ("%-44s %8d\n", "  refused (not run)", d->refused);
  printf ("%-44s %8d\n", "  unknown (told so)", d->unknown);
  print_codes (d);
  printf ("%-44s %8d\n", "jobs accepted", d->n_jobs);
  printf ("%-44s %8d\n", "  submissions refused and sent again", d->resubmitted);
  printf ("%-44s %8d\n", "  finished", d->finished);
  printf ("%-44s %8d\n", "  ended otherwise", d->other_ends);
  printf ("%-44s %8d\n", "evictions", d->evicted);
  printf ("%-44s %8d\n", "jobs resumed or started again", d->resumed);
  printf ("%-44s %8d\n", "keyed requests that ran once, of 20", d->run_once);
  printf ("%-44s %8d\n", "run twice", d->run_twice);
  printf ("%-44s %8d\n", "lost", d->lost);
  printf ("%-44s %8.2f\n", "seconds until the change was in force", d->in_force_s);
  puts (bad ? "\nFAILED: something was lost or ran twice."
            : "\nNothing lost, nothing run twice.");
  return bad ? 1 : 0;
}

int
main (int argc, char **argv)
{
  static Demo d;
  KqTime start = kq_time_now ();
  bool keep = argc > 2 && strcmp (argv[2], "keep") == 0;
  int code = 1;
  if (!procs_init (&d.fleet, argc > 1 ? argv[1] : "build"))
    return 1;
  print_progress ("starting store, 3 kumquatd, 6 workers");
  if (!start_fleet (&d) || !procs_set_table (&d.fleet, 10 * KQ_SEC, d.nodes[0], table)
      || !procs_wait_ready (&d.fleet, 15 * KQ_SEC)
      || !procs_wait_serve (&d.fleet, 15 * KQ_SEC, "/s/tag-watch/ready"))
    {
      print_progress ("the fleet did not come up");
      goto out;
    }
  run_load (&d);
  print_progress ("waiting for the jobs to end");
  if (!procs_wait (&d.fleet, 30 * KQ_SEC, jobs_ended, &d))
    print_progress ("some jobs have not ended");
  count_jobs (&d);
  count_effects (&d);
  code = report (&d);
  printf ("took %.1f s\n", (double)(kq_time_now () - start) / KQ_SEC);
out:
  procs_free (&d.fleet, keep);
  if (keep)
    printf ("logs are in %s\n", d.fleet.dir);
  return code;
}
