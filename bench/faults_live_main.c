/* faults_live: causes each fault of the table below in a fleet of real processes under a
 * load of requests and jobs, and checks the answers that callers received and the
 * workers' counts. Each case has its own fleet. In the environment: CASE=NAME runs one
 * case, LIST lists them, KEEP keeps the logs. The exit status is 0 if all cases could be
 * run, whether they passed or not. */

#include "procs.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
#define WORKERS 2 /* processes with 3 workers each */
#define REQUESTS_MAX 1200
#define JOBS_MAX 100
#define TICK (20 * KQ_MS)
#define LOAD_BEFORE (1500 * KQ_MS)
#define LOAD_AFTER (2500 * KQ_MS)
#define JOBS_TIMEOUT (60 * KQ_SEC)
/* Refused GETs allowed while only the store is down. Without any fault 1 to 3 are
 * refused, as all slots are taken for a moment. */
#define OUTAGE_REFUSALS_MAX 8

typedef struct
{
  const char *name;
  const char *store;  /* fault of the store, or NULL */
  const char *worker; /* fault of the first worker process, or NULL */
  const char *relay;  /* mode of the relay in front of the store, or NULL */
  int stop;           /* target of SIGSTOP, until the fault ends */
  int kill;           /* target of SIGKILL; not replaced */
  int term;           /* target of SIGTERM: a planned stop */
  int span_ms;
} Case;

/* Targets of signals. */
enum
{
  TARGET_NONE,
  TARGET_NODE,
  TARGET_WORKER,
  TARGET_STORE
};

static const Case cases[] = {
  { "none", NULL, NULL, NULL, 0, 0, 0, 1000 },
  { "store-refuses", "{\"outage\":\"refuse\"}", NULL, NULL, 0, 0, 0, 5000 },
  { "store-closes", "{\"outage\":\"close\"}", NULL, NULL, 0, 0, 0, 5000 },
  { "store-hangs", "{\"accept_and_hang\":true}", NULL, NULL, 0, 0, 0, 5000 },
  { "store-slow", "{\"delay_ms\":200,\"answer_delay_ms\":200}", NULL, NULL, 0, 0, 0,
    5000 },
  { "store-loses-answers", "{\"method\":\"PUT\",\"lose_answer\":-1}", NULL, NULL, 0, 0, 0,
    3000 },
  { "store-cuts-answers", "{\"partial_answer\":-1}", NULL, NULL, 0, 0, 0, 3000 },
  { "store-silent-watch", "{\"silent_watch\":true}", NULL, NULL, 0, 0, 0, 5000 },
  { "store-stopped", NULL, NULL, NULL, TARGET_STORE, 0, 0, 4000 },
  { "store-connections-silent", NULL, NULL, "{\"stall\":\"open\"}", 0, 0, 0, 3000 },
  { "store-one-way", NULL, NULL, "{\"stall\":\"all\",\"direction\":\"down\"}", 0, 0, 0,
    4000 },
  { "worker-hangs", NULL, "{\"path\":\"/w/a1/v1/\",\"accept_and_hang\":true}", NULL, 0, 0,
    0, 5000 },
  { "worker-loses-answers", NULL, "{\"path\":\"/w/a1/v1/\",\"lose_answer\":-1}", NULL, 0,
    0, 0, 5000 },
  { "worker-loses-starts", NULL, "{\"path\":\"/w/a1/v1/start\",\"lose_answer\":-1}", NULL,
    0, 0, 0, 4000 },
  { "worker-fails-everything", NULL, "{\"path\":\"/w/a1/v1/\",\"fail_everything\":true}",
    NULL, 0, 0, 0, 5000 },
  { "worker-stopped", NULL, NULL, NULL, TARGET_WORKER, 0, 0, 5000 },
  { "worker-killed", NULL, NULL, NULL, 0, TARGET_WORKER, 0, 4000 },
  { "runner-hangs", NULL, "{\"path\":\"/w/a1/r/\",\"accept_and_hang\":true}", NULL, 0, 0,
    0, 4000 },
  { "runner-loses-answers", NULL, "{\"path\":\"/w/a1/r/\",\"lose_answer\":-1}", NULL, 0,
    0, 0, 4000 },
  { "runner-cuts-answers", NULL, "{\"path\":\"/w/a1/r/\",\"partial_answer\":-1}", NULL, 0,
    0, 0, 4000 },
  { "runner-slow", NULL, "{\"path\":\"/w/a1/r/\",\"delay_ms\":1000}", NULL, 0, 0, 0,
    4000 },
  { "node-stopped", NULL, NULL, NULL, TARGET_NODE, 0, 0, 6000 },
  { "node-killed", NULL, NULL, NULL, 0, TARGET_NODE, 0, 4000 },
  { "node-planned-stop", NULL, NULL, NULL, 0, 0, TARGET_NODE, 4000 },
  { "store-refuses-node-killed", "{\"outage\":\"refuse\"}", NULL, NULL, 0, TARGET_NODE, 0,
    6000 },
  { "store-hangs-worker-killed", "{\"accept_and_hang\":true}", NULL, NULL, 0,
    TARGET_WORKER, 0, 6000 },
  { "store-loses-answers-node-killed", "{\"method\":\"PUT\",\"lose_answer\":-1}", NULL,
    NULL, 0, TARGET_NODE, 0, 4000 },
};

typedef enum
{
  WAITING,
  ANSWERED,
  REFUSED, /* reported as not run */
  UNKNOWN
} Outcome;

typedef enum
{
  GET,
  POST,
  POST_KEYED
} Kind;

struct Run;

typedef struct
{
  struct Run *run;
  int number;
  Kind kind;
  Outcome outcome;
  int code;          /* result code, unless ANSWERED */
  bool wrong_answer; /* the answer is another request's or incomplete */
} Request;

typedef struct Run
{
  const Case *c;
  Procs p;
  int store;
  int relay;
  int nodes[NODES];
  int workers[WORKERS];
  bool avoid[NODES]; /* gets no calls: it is being stopped */
  Request requests[REQUESTS_MAX];
  int n_requests;
  int open;
  char jobs[JOBS_MAX][24];
  int n_jobs;
  int jobs_unknown;
  int ticks;
  KqTime slowest;
  int violations; /* of the expected results; each is printed */
} Run;

static void
report_violation (Run *r, const char *rule, int number)
{
  printf ("  %s: %s, request or job %d\n", r->c->name, rule, number);
  r->violations++;
}

static bool
start_fleet (Run *r)
{
  Procs *f = &r->p;
  f->regions = "[[region]]\nname = \"east\"\nshards = 3\n";
  r->store = procs_start_store (f, "--hosts-lag-ms 500 --hosts-gone-ms 10000");
  r->workers[0] = procs_start_workers (f, "a", "east", "e1", 3, "--rack-size 2");
  r->workers[1]
      = procs_start_workers (f, "b", "east", "e1", 3, "--rack-size 2 --first-rack 3");
  if (r->store < 0 || r->workers[0] < 0 || r->workers[1] < 0)
    return false;
  r->relay = procs_start_relay (f, f->store_url + strlen ("http://"));
  if (r->relay < 0)
    return false;
  snprintf (f->store_url, sizeof f->store_url, "http://127.0.0.1:%d",
            f->processes[r->relay].port);
  for (int i = 0; i < NODES; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "east-%d", i + 1);
      r->nodes[i] = procs_start_node (f, name, "east", "e1");
      if (r->nodes[i] < 0)
        return false;
    }
  return true;
}

static bool
has_table (Procs *f, void *arg)
{
  static const char *const table
      = "{\"changes\":["
        "{\"kind\":\"service\",\"name\":\"recalc\",\"fields\":{\"deadline_ms\":6000}},"
        "{\"kind\":\"class\",\"name\":\"plan\",\"fields\":{\"cpu_milli\":1000,"
        "\"memory_mb\":512}},"
        "{\"kind\":\"team\",\"name\":\"rounds\",\"fields\":{}}]}";
  Run *r = arg;
  ProcsAnswer a;
  bool ok;
  procs_call_operator (f, r->nodes[0], "POST", "/v1/table", table, NULL, &a);
  ok = a.status == 200;
  kq_buf_free (&a.body);
  return ok;
}

static bool
serves (Procs *f, void *arg)
{
  Run *r = arg;
  for (int i = 0; i < NODES; i++)
    {
      char url[128];
      ProcsRequest q = { .method = "GET", .url = url };
      ProcsAnswer a;
      snprintf (url, sizeof url, "http://127.0.0.1:%d/s/recalc/ready",
                f->processes[r->nodes[i]].callers_port);
      procs_call (f, &q, &a);
      kq_buf_free (&a.body);
      if (a.status != 200)
        return false;
    }
  return true;
}

/* The node for the next call. Like a load balancer it avoids nodes that are down. */
static int
pick_node (Run *r, int n)
{
  for (int i = 0; i < NODES; i++)
    {
      int k = (n + i) % NODES;
      if (!r->avoid[k] && r->p.processes[r->nodes[k]].pid != 0)
        return r->nodes[k];
    }
  return r->nodes[0];
}

static void
on_answer (void *arg, const ProcsAnswer *a)
{
  Request *q = arg;
  Run *r = q->run;
  char id[40];
  r->open--;
  r->slowest = a->duration > r->slowest ? a->duration : r->slowest;
  q->code = a->code;
  if (a->outcome == KQ_HTTP_NOT_SENT || strcmp (a->ran, "no") == 0)
    q->outcome = REFUSED;
  else if (a->outcome != KQ_HTTP_DONE || strcmp (a->ran, "unknown") == 0)
    q->outcome = UNKNOWN;
  else
    {
      snprintf (id, sizeof id, "\"fl-%d\"", q->number);
      q->outcome = ANSWERED;
      q->wrong_answer
          = a->status == 200 && (a->body.ptr == NULL || strstr (a->body.ptr, id) == NULL);
    }
}

static void
send_request (Run *r, Kind kind)
{
  char id[32];
  char url[128];
  Request *q = &r->requests[r->n_requests];
  KqHeader h[3] = { { KQ_STR ("X-Request-Id"), { 0 } },
                    { KQ_STR ("X-Kq-Caller"), KQ_STR ("dispatch") },
                    { KQ_STR ("Idempotency-Key"), { 0 } } };
  ProcsRequest w = { .url = url, .headers = h };
  if (r->n_requests == REQUESTS_MAX)
    return;
  *q = (Request){ .run = r, .number = r->n_requests, .kind = kind };
  snprintf (id, sizeof id, "fl-%d", q->number);
  h[0].value = h[2].value = kq_str (id);
  w.method = kind == GET ? "GET" : "POST";
  w.n_headers = kind == POST_KEYED ? 3 : 2;
  w.body = kind == GET ? kq_str ("") : KQ_STR ("{\"pickup\":1}");
  snprintf (url, sizeof url, "http://127.0.0.1:%d/s/recalc/r?ms=15",
            r->p.processes[pick_node (r, q->number)].callers_port);
  r->n_requests++;
  r->open++;
  procs_send (&r->p, &w, on_answer, q);
}

static void
on_submitted (void *arg, const ProcsAnswer *a)
{
  Run *r = arg;
  json_t *o = json_loadb (a->body.ptr != NULL ? a->body.ptr : "", a->body.len, 0, NULL);
  const char *id = json_string_value (json_object_get (o, "id"));
  r->open--;
  if (a->status == 200 && id != NULL)
    snprintf (r->jobs[r->n_jobs++], sizeof r->jobs[0], "%s", id);
  else if (a->outcome != KQ_HTTP_NOT_SENT && strcmp (a->ran, "no") != 0)
    r->jobs_unknown++;
  json_decref (o);
}

static void
submit_job (Run *r)
{
  char body[128];
  char url[128];
  ProcsRequest q = { .method = "POST", .url = url };
  if (r->n_jobs + r->open >= JOBS_MAX)
    return;
  snprintf (body, sizeof body, "{\"team\":\"rounds\",\"class\":\"plan\",\"run_ms\":%d}",
            300 + 200 * (r->ticks % 7));
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/jobs",
            r->p.processes[pick_node (r, r->ticks)].callers_port);
  q.body = kq_str (body);
  r->open++;
  procs_send (&r->p, &q, on_submitted, r);
}

static void
load_for (Run *r, KqTime span)
{
  KqTime until = kq_time_now () + span;
  while (kq_time_now () < until)
    {
      r->ticks++;
      send_request (r, GET);
      if (r->ticks % 4 == 0)
        send_request (r, POST);
      if (r->ticks % 4 == 2)
        send_request (r, POST_KEYED);
      if (r->ticks % 10 == 0)
        submit_job (r);
      procs_run (&r->p, TICK, NULL);
    }
}

static void
post_relay (Run *r, const char *mode)
{
  char rest[256];
  char url[128];
  ProcsRequest q = { .method = "POST", .url = url, .body = kq_str (mode) };
  ProcsAnswer a;
  snprintf (rest, sizeof rest, "%s/%d.out", r->p.dir, r->relay);
  FILE *f = fopen (rest, "r");
  int port = 0;
  while (f != NULL && fgets (rest, sizeof rest, f) != NULL)
    {
      if (strncmp (rest, "control ", 8) == 0)
        port = atoi (rest + 8);
    }
  if (f != NULL)
    fclose (f);
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/relay", port);
  procs_call (&r->p, &q, &a);
  kq_buf_free (&a.body);
}

static int
process_of (const Run *r, int target)
{
  return target == TARGET_NODE     ? r->nodes[1]
         : target == TARGET_WORKER ? r->workers[0]
                                   : r->store;
}

static void
begin_fault (Run *r)
{
  const Case *c = r->c;
  if (c->store != NULL)
    procs_set_fault (&r->p, r->store, c->store);
  if (c->worker != NULL)
    procs_set_fault (&r->p, r->workers[0], c->worker);
  if (c->relay != NULL)
    post_relay (r, c->relay);
  r->avoid[1] = c->term == TARGET_NODE || c->stop == TARGET_NODE;
  if (c->stop != TARGET_NONE)
    procs_signal (&r->p, process_of (r, c->stop), SIGSTOP);
  if (c->term != TARGET_NONE)
    procs_signal (&r->p, process_of (r, c->term), SIGTERM);
  if (c->kill != TARGET_NONE)
    {
      procs_signal (&r->p, process_of (r, c->kill), SIGKILL);
      procs_wait_exit (&r->p, process_of (r, c->kill), KQ_SEC);
    }
}

static void
end_fault (Run *r)
{
  const Case *c = r->c;
  if (c->stop != TARGET_NONE)
    procs_signal (&r->p, process_of (r, c->stop), SIGCONT);
  if (c->store != NULL)
    procs_set_fault (&r->p, r->store, "{\"clear\":true}");
  if (c->worker != NULL)
    procs_set_fault (&r->p, r->workers[0], "{\"clear\":true}");
  if (c->relay != NULL)
    post_relay (r, "{}");
  if (c->term != TARGET_NONE
      && procs_wait_exit (&r->p, process_of (r, c->term), 15 * KQ_SEC) != 0)
    report_violation (r, "the planned stop did not exit with 0", 0);
}

static bool
none_open (Procs *f, void *arg)
{
  Run *r = arg;
  (void)f;
  return r->open == 0;
}

static void
job_state (Run *r, int i, char state[32])
{
  char path[64];
  json_t *o;
  const char *s;
  snprintf (path, sizeof path, "/v1/jobs/%s", r->jobs[i]);
  o = procs_json (&r->p, pick_node (r, 0), path);
  s = json_string_value (json_object_get (o, "state"));
  snprintf (state, 32, "%s", s != NULL ? s : "");
  json_decref (o);
}

static bool
jobs_finished (Procs *f, void *arg)
{
  Run *r = arg;
  (void)f;
  for (int i = 0; i < r->n_jobs; i++)
    {
      char state[32];
      job_state (r, i, state);
      if (strcmp (state, "finished") != 0)
        return false;
    }
  return true;
}

static int
runs_of (json_t *const *effects, int number)
{
  char id[32];
  int n = 0;
  snprintf (id, sizeof id, "fl-%d", number);
  for (int w = 0; w < WORKERS; w++)
    n += (int)json_integer_value (
        json_object_get (json_object_get (effects[w], "requests"), id));
  return n;
}

/* Idempotent requests have to be served throughout an outage of the store. */
static void
check_outage (Run *r)
{
  bool store_alone
      = (r->c->store != NULL || r->c->relay != NULL || r->c->stop == TARGET_STORE)
        && r->c->kill == TARGET_NONE;
  int refused = 0;
  for (int i = 0; i < r->n_requests; i++)
    refused += r->requests[i].kind == GET && r->requests[i].outcome == REFUSED;
  if (store_alone && refused > OUTAGE_REFUSALS_MAX)
    report_violation (r, "idempotent requests refused while only the store was away",
                      refused);
}

static void
check_run (Run *r)
{
  json_t *effects[WORKERS] = { 0 };
  bool counts_complete
      = r->c->kill != TARGET_WORKER; /* the counts of a killed process are lost */
  for (int w = 0; w < WORKERS; w++)
    {
      if (r->p.processes[r->workers[w]].pid != 0)
        effects[w] = procs_standin_json (&r->p, r->workers[w], "/v1/effects");
      if (json_integer_value (json_object_get (effects[w], "max_running_at_once")) > 1)
        report_violation (r, "a job ran in two places at once", 0);
      if (json_integer_value (json_object_get (effects[w], "overcommits")) > 0)
        report_violation (r, "a worker was given more than it holds", 0);
    }
  for (int i = 0; i < r->n_requests; i++)
    {
      const Request *q = &r->requests[i];
      int runs = runs_of (effects, i);
      if (q->outcome == WAITING)
        report_violation (r, "no answer", i);
      if (q->outcome == REFUSED && runs > 0)
        report_violation (r, "refused as not run, but ran", i);
      if (q->kind != GET && runs > 1)
        report_violation (r, "ran twice", i);
      if (q->outcome == ANSWERED && runs == 0 && counts_complete)
        report_violation (r, "answered, but never ran", i);
      if (q->wrong_answer)
        report_violation (r, "an answer that isn't its own or isn't whole", i);
      if (q->outcome == UNKNOWN && r->c->term != TARGET_NONE)
        report_violation (r, "cut by a planned stop", i);
    }
  check_outage (r);
  for (int i = 0; i < r->n_jobs; i++)
    {
      char state[32];
      job_state (r, i, state);
      if (strcmp (state, "finished") != 0)
        report_violation (r, state[0] != '\0' ? state : "job not known", i);
    }
  for (int w = 0; w < WORKERS; w++)
    json_decref (effects[w]);
}

static void
print_case (const Run *r)
{
  int n[4] = { 0 };
  for (int i = 0; i < r->n_requests; i++)
    n[r->requests[i].outcome]++;
  printf ("%-32s %5d %5d %5d %5d %5d %5d %7.2f  %s\n", r->c->name, r->n_requests,
          n[ANSWERED], n[REFUSED], n[UNKNOWN], r->n_jobs, r->jobs_unknown,
          (double)r->slowest / KQ_SEC, r->violations == 0 ? "passed" : "FAILED");
  fflush (stdout);
}

static void
print_codes (const Run *r)
{
  static const char *const kinds[] = { "GET", "POST", "keyed" };
  for (int code = 0; code < KQ_RESULT_LIMIT; code++)
    {
      int n[3] = { 0 };
      for (int i = 0; i < r->n_requests; i++)
        n[r->requests[i].kind]
            += r->requests[i].outcome >= REFUSED && r->requests[i].code == code;
      for (int k = 0; k < 3; k++)
        {
          if (n[k] > 0)
            printf ("  %-30s %5s %5d\n",
                    code != 0 ? kq_result_name ((KqResult)code) : "no answer", kinds[k],
                    n[k]);
        }
    }
}

/* Returns 1, or 0: the fleet didn't start. */
static int
run_case (const Case *c, int *failed)
{
  Run *r = kq_alloc (sizeof *r);
  int ok = 0;
  r->c = c;
  if (!procs_init (&r->p, "build"))
    {
      free (r);
      return 0;
    }
  if (getenv ("KEEP") != NULL)
    printf ("%s: logs in %s\n", c->name, r->p.dir);
  if (start_fleet (r) && procs_wait_ready (&r->p, 20 * KQ_SEC)
      && procs_wait (&r->p, 10 * KQ_SEC, has_table, r)
      && procs_wait (&r->p, 20 * KQ_SEC, serves, r))
    {
      load_for (r, LOAD_BEFORE);
      begin_fault (r);
      load_for (r, c->span_ms * KQ_MS);
      end_fault (r);
      r->avoid[1] = r->avoid[1] && c->term != TARGET_NONE;
      load_for (r, LOAD_AFTER);
      procs_wait (&r->p, 30 * KQ_SEC, none_open, r);
      procs_wait (&r->p, JOBS_TIMEOUT, jobs_finished, r);
      check_run (r);
      print_case (r);
      print_codes (r);
      *failed += r->violations > 0;
      ok = 1;
    }
  else
    printf ("%-32s not run: the fleet did not come up\n", c->name);
  procs_free (&r->p, getenv ("KEEP") != NULL);
  free (r);
  return ok;
}

int
main (void)
{
  const char *only = getenv ("CASE");
  bool list = getenv ("LIST") != NULL;
  int run = 0;
  int failed = 0;
  int wanted = 0;
  for (size_t i = 0; list && i < sizeof cases / sizeof cases[0]; i++)
    puts (cases[i].name);
  if (list)
    return 0;
  setvbuf (stdout, NULL, _IOLBF, 0);
  printf ("%-32s %5s %5s %5s %5s %5s %5s %7s\n", "fault", "sent", "answ", "refus", "unkn",
          "jobs", "unsur", "worst s");
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      if (only != NULL && strcmp (only, cases[i].name) != 0)
        continue;
      wanted++;
      run += run_case (&cases[i], &failed);
    }
  printf ("%d passed, %d failed, %d not run\n", run - failed, failed, wanted - run);
  printf ("RESULT faults_live_failed %d cases 0 %s\n", failed,
          failed == 0 ? "ok" : "short");
  return run == wanted ? 0 : 1;
}
