#include "soak_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SUBMIT_INTERVAL (60 * KQ_MS)
#define CALL_TIMEOUT_MS 3000
/* Within this time after the last fault every accepted job must have ended. */
#define SETTLE_TIMEOUT (60 * KQ_SEC)

int
soak_rand_below (Soak *s, int n)
{
  return (int)kq_rand_below (&s->rand, (uint64_t)n);
}

void
soak_breach (Soak *s, const char *rule, const char *what)
{
  s->breaches++;
  printf ("seed %llu at %.1f s: %s: %s\n", (unsigned long long)s->plan->seed,
          (double)(kq_time_now () - s->began_at) / KQ_SEC, rule, what);
}

/* Start of the processes. */

static bool
start_platform (Soak *s)
{
  char options[64];
  char rest[256];
  snprintf (options, sizeof options, "--runners %d --advice %d", s->plan->runners,
            s->plan->nodes);
  s->platform
      = procs_start_program (&s->procs, PROCS_PLATFORM, "standin-platform", options);
  if (s->platform < 0
      || !procs_wait_text (&s->procs, s->platform, "out", "control ", rest))
    return false;
  s->control_port = atoi (rest);
  procs_wait_text (&s->procs, s->platform, "out", "store ", rest);
  s->store_port = atoi (rest);
  return true;
}

static bool
start_relay (Soak *s, SoakNode *n)
{
  char target[32];
  char rest[256];
  snprintf (target, sizeof target, "127.0.0.1:%d", s->store_port);
  n->relay = procs_start_relay (&s->procs, target);
  if (n->relay < 0 || !procs_wait_text (&s->procs, n->relay, "out", "control ", rest))
    return false;
  n->relay_control_port = atoi (rest);
  return true;
}

static void
write_settings (Soak *s, int i, const char *path)
{
  FILE *f = fopen (path, "w");
  if (f == NULL)
    return;
  fprintf (f,
           "[fleet]\nnode = \"n%d\"\nfailure_domain = \"north\"\nregion = \"r\"\n"
           "[listen]\nip = \"127.0.0.1\"\nfront = \"127.0.0.1:0\"\n"
           "ready = \"127.0.0.1:0\"\npeer_port = 0\nmetrics_port = 0\n"
           "[store]\naddress = \"127.0.0.1:%d\"\n[bounds]\ngrace_s = 6\n"
           "[advice]\naddress = \"127.0.0.1:%d\"\n",
           i, s->procs.processes[s->nodes[i].relay].port, s->advice_ports[i]);
  fclose (f);
}

bool
soak_start_node (Soak *s, int i)
{
  SoakNode *n = &s->nodes[i];
  char path[128];
  char options[160];
  char rest[256];
  snprintf (path, sizeof path, "%s/node%d.toml", s->procs.dir, i);
  write_settings (s, i, path);
  snprintf (options, sizeof options, "--settings %s", path);
  if (n->process >= 0)
    procs_restart (&s->procs, n->process, "kumquatd", options);
  else
    n->process = procs_start_program (&s->procs, PROCS_FLEET_NODE, "kumquatd", options);
  if (n->process < 0
      || !procs_wait_text (&s->procs, n->process, "out", "Started. front=", rest))
    return false;
  n->front_port = atoi (rest);
  n->restart_at = 0;
  n->paused = false;
  return true;
}

/* Clients. */

static bool
has_ended (const SoakJob *j)
{
  return strcmp (j->state, "completed") == 0 || strcmp (j->state, "failed") == 0
         || strcmp (j->state, "canceled") == 0;
}

static void
on_state (void *arg, const ProcsAnswer *a)
{
  SoakJob *j = arg;
  json_t *o;
  const char *state;
  j->call_open = false;
  j->soak->answers++;
  if (a->outcome != KQ_HTTP_DONE)
    return;
  if (a->status == 410 && j->accepted)
    soak_breach (j->soak, "an accepted job is unknown", j->id);
  if (a->status != 200)
    return;
  o = json_loadb (a->body.ptr, a->body.len, 0, NULL);
  state = json_string_value (json_object_get (o, "state"));
  if (state == NULL)
    soak_breach (j->soak, "a state that can't be read", j->id);
  else
    {
      if (has_ended (j) && strcmp (state, j->state) != 0 && !j->cancel_sent)
        soak_breach (j->soak, "an ended job changes its state", j->id);
      if (strcmp (state, "canceled") == 0 && !j->cancel_sent)
        soak_breach (j->soak, "a job that nobody cancelled is shown as canceled", j->id);
      snprintf (j->state, sizeof j->state, "%s", state);
    }
  json_decref (o);
}

static void
on_submitted (void *arg, const ProcsAnswer *a)
{
  SoakJob *j = arg;
  j->call_open = false;
  j->soak->answers++;
  if (a->outcome == KQ_HTTP_DONE && a->status == 200)
    j->accepted = true;
  else if (a->outcome == KQ_HTTP_DONE && (a->status == 503 || a->status == 429))
    {
      j->rejected = true;
      j->soak->refusals++;
    }
  else if (a->outcome != KQ_HTTP_NOT_SENT)
    j->uncertain = true;
}

static void
on_cancelled (void *arg, const ProcsAnswer *a)
{
  SoakJob *j = arg;
  j->call_open = false;
  if (a->outcome != KQ_HTTP_DONE || (a->status != 200 && a->status != 410))
    return;
  j->cancelled = true;
  if (a->status == 200)
    return;
  j->no_such_job = true;
  if (j->accepted)
    soak_breach (j->soak, "an accepted job is unknown", j->id);
}

static void call (Soak *s, SoakJob *j, const char *method, KqStr body, ProcsDone done);

static void
cancel (Soak *s, SoakJob *j)
{
  j->cancel_sent = true;
  call (s, j, "DELETE", KQ_STR (""), on_cancelled);
}

static void
call (Soak *s, SoakJob *j, const char *method, KqStr body, ProcsDone done)
{
  char url[128];
  KqHeader h[] = { { KQ_STR ("Host"), KQ_STR ("desk.example") },
                   { KQ_STR ("Content-Type"), KQ_STR ("application/json") },
                   { KQ_STR ("Deadline-Ms"), KQ_STR ("3000") } };
  ProcsRequest q = { .method = method,
                     .url = url,
                     .headers = h,
                     .n_headers = 3,
                     .body = body,
                     .total_ms = CALL_TIMEOUT_MS };
  const SoakNode *n = &s->nodes[soak_rand_below (s, s->plan->nodes)];
  if (n->front_port == 0)
    return;
  snprintf (url, sizeof url, "http://127.0.0.1:%d/%s/%s", n->front_port,
            j->advised ? "checks" : "plans", j->id);
  j->call_open = true;
  procs_send (&s->procs, &q, done, j);
}

static void
submit (Soak *s, SoakJob *j)
{
  KqBuf b = { 0 };
  int ms = j->lasting ? 0 : 100 + (int)(kq_str_hash (kq_str (j->id)) % 700);
  kq_buf_printf (
      &b,
      "{\"spec\":\"ms=%d fail=%d advised=%d\",\"steps\":[{\"count\":%d,\"cpu\":700,"
      "\"mem_mb\":100,\"est_ms\":%d%s}",
      ms, j->fails ? 0 : -1, j->advised, j->lasting ? j->tasks : j->tasks - 1, ms,
      j->lasting ? ",\"daemon\":true" : "");
  if (!j->lasting)
    kq_buf_printf (&b,
                   ",{\"count\":1,\"cpu\":300,\"mem_mb\":50,\"est_ms\":%d,"
                   "\"after\":[0]}",
                   ms);
  kq_buf_printf (&b, "]}");
  j->attempts++;
  call (s, j, "POST", kq_buf_str (&b), on_submitted);
  kq_buf_free (&b);
}

static void
new_job (Soak *s)
{
  SoakJob *j = &s->jobs[s->n_jobs];
  if (s->n_jobs == JOBS_MAX)
    return;
  s->n_jobs++;
  j->soak = s;
  snprintf (j->id, sizeof j->id, "%016llx", (unsigned long long)kq_rand_next (&s->rand));
  j->tasks = 2 + soak_rand_below (s, 4);
  j->lasting = soak_rand_below (s, 12) == 0;
  j->fails = !j->lasting && soak_rand_below (s, 15) == 0;
  j->advised = soak_rand_below (s, 20) == 0;
  submit (s, j);
}

static void
call_for_job (Soak *s, SoakJob *j)
{
  if (j->call_open)
    return;
  if (!j->accepted && !j->cancelled
      && (j->cancel_sent || (j->uncertain && soak_rand_below (s, 3) == 0)))
    cancel (s, j);
  else if (!j->accepted && j->attempts < 8
           && (!j->cancelled || soak_rand_below (s, 40) == 0))
    submit (s, j);
  else if (j->accepted && !has_ended (j) && soak_rand_below (s, 30) == 0 && j->lasting
           && !j->cancelled)
    cancel (s, j);
  else if (j->accepted && !has_ended (j))
    call (s, j, "GET", KQ_STR (""), on_state);
}

/* Checks. */

/* GET from the stand-in's control port; the caller owns the result. */
static json_t *
query_platform (Soak *s, const char *path)
{
  char url[128];
  ProcsRequest q = { .method = "GET", .url = url, .total_ms = 2000 };
  ProcsAnswer a;
  json_t *o;
  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", s->control_port, path);
  procs_call (&s->procs, &q, &a);
  o = json_loadb (a.body.ptr, a.body.len, 0, NULL);
  kq_buf_free (&a.body);
  return o;
}

static void
check_job (Soak *s, SoakJob *j)
{
  char path[64];
  json_t *o;
  bool started;
  int done;
  snprintf (path, sizeof path, "/v1/job?id=%s", j->id);
  o = query_platform (s, path);
  started = json_is_true (json_object_get (o, "started"));
  done = (int)json_integer_value (json_object_get (o, "done"));
  if (!j->accepted && !j->uncertain && j->rejected && started)
    soak_breach (s, "refused as not run, and it ran", j->id);
  if (j->no_such_job && started)
    soak_breach (s, "cancelled as unknown, and it ran", j->id);
  if (j->accepted && !has_ended (j))
    soak_breach (s, "an accepted job never ended", j->id);
  if (strcmp (j->state, "completed") == 0 && done != j->tasks)
    soak_breach (s, "completed without all its tasks done", j->id);
  if (strcmp (j->state, "failed") == 0 && !j->fails)
    soak_breach (s, "shown as failed without a cause", j->id);
  json_decref (o);
}

static void
check_ledger (Soak *s)
{
  json_t *o = query_platform (s, "/v1/ledger");
  int early = 0;
  for (int i = 0; i < s->n_jobs; i++)
    early += s->jobs[i].no_such_job;
  if (json_integer_value (json_object_get (o, "breaches")) > 0)
    soak_breach (s, "seen by a runner", json_string_value (json_object_get (o, "first")));
  printf ("seed %llu: %d jobs, %d answers, %d refusals, %d cancelled as unknown, %lld "
          "starts, "
          "%lld tasks done, %lld tickets refused, %d breaches\n",
          (unsigned long long)s->plan->seed, s->n_jobs, s->answers, s->refusals, early,
          (long long)json_integer_value (json_object_get (o, "starts")),
          (long long)json_integer_value (json_object_get (o, "done")),
          (long long)json_integer_value (json_object_get (o, "tickets_refused")),
          s->breaches);
  json_decref (o);
}

static bool
all_ended (const Soak *s)
{
  for (int i = 0; i < s->n_jobs; i++)
    if (s->jobs[i].accepted && !has_ended (&s->jobs[i]))
      return false;
  return true;
}

static void
cancel_lasting (Soak *s)
{
  for (int i = 0; i < s->n_jobs; i++)
    {
      SoakJob *j = &s->jobs[i];
      if (!j->lasting || !j->accepted || j->cancelled || j->call_open)
        continue;
      cancel (s, j);
    }
}

static void
run_clients (Soak *s, KqTime until, bool faults)
{
  KqTime submit_at = 0;
  KqTime fault_at = kq_time_now () + KQ_SEC;
  while (kq_time_now () < until && (faults || !all_ended (s)))
    {
      KqTime now = kq_time_now ();
      if (faults && now >= submit_at)
        {
          new_job (s);
          submit_at = now + SUBMIT_INTERVAL;
        }
      if (faults && now >= fault_at)
        {
          soak_inject_fault (s);
          fault_at = now + (KqTime)(100 + soak_rand_below (s, 900)) * KQ_MS;
        }
      soak_end_faults (s, false);
      if (!faults)
        cancel_lasting (s);
      for (int i = 0; i < s->n_jobs; i++)
        if (soak_rand_below (s, 12) == 0)
          call_for_job (s, &s->jobs[i]);
      procs_run (&s->procs, 20 * KQ_MS, NULL);
    }
}

static bool
start_all (Soak *s)
{
  if (!start_platform (s))
    return false;
  procs_read_ports (&s->procs, s->platform, "runner ", s->runner_ports, 64);
  procs_read_ports (&s->procs, s->platform, "advice ", s->advice_ports, NODES_MAX);
  for (int i = 0; i < s->plan->nodes; i++)
    {
      s->nodes[i].process = -1;
      if (!start_relay (s, &s->nodes[i]))
        return false;
    }
  for (int i = 0; i < s->plan->nodes; i++)
    if (!soak_start_node (s, i))
      return false;
  return true;
}

int
kq_soak_run (const KqSoakPlan *p)
{
  Soak *s = kq_alloc (sizeof *s);
  int breaches = -1;
  s->plan = p;
  s->rand = kq_rand (p->seed);
  s->began_at = kq_time_now ();
  if (!procs_init (&s->procs, p->build) || !start_all (s))
    goto out;
  run_clients (s, kq_time_now () + p->seconds * KQ_SEC, true);
  soak_end_faults (s, true);
  soak_end_link_faults (s);
  run_clients (s, kq_time_now () + SETTLE_TIMEOUT, false);
  procs_run (&s->procs, KQ_SEC, NULL);
  for (int i = 0; i < s->n_jobs; i++)
    check_job (s, &s->jobs[i]);
  check_ledger (s);
  breaches = s->breaches;
out:
  if (p->keep || breaches != 0)
    printf ("seed %llu: output in %s\n", (unsigned long long)p->seed, s->procs.dir);
  procs_free (&s->procs, p->keep || breaches != 0);
  free (s);
  return breaches;
}
