#include "base/rand.h"
#include "ctl/ctl.h"

#include <stdlib.h>
#include <string.h>

#define USAGE                                                                            \
  "kumquatctl job submit --team T --class C [--priority low|normal|high|urgent]\n"       \
  "               [--cpu-milli N] [--memory-mb N] [--accelerators N] [--run-ms N]\n"     \
  "               [--key KEY]\n"                                                         \
  "           job show ID\n"                                                             \
  "           job list [--shard N] [--limit N]\n"                                        \
  "           job cancel ID\n"

#define JOBS_PER_PAGE 500

static const KqCtlColumn job_columns[] = {
  { "ID", "id" },           { "STATE", "state" },   { "TEAM", "team" },
  { "CLASS", "class" },     { "PRIO", "priority" }, { "TRY", "attempt" },
  { "EVICT", "evictions" }, { "WORKER", "worker" }, { "REASON", "reason" },
};

static void
set_text (json_t *o, const char *key, const char *value)
{
  if (value != NULL)
    json_object_set_new (o, key, json_string (value));
}

static void
set_number (json_t *o, const char *key, int64_t value)
{
  if (value >= 0)
    json_object_set_new (o, key, json_integer (value));
}

/* Generates an idempotency key if none is given and prints it if the outcome is unknown:
 * repeating the command with that key doesn't submit a second job. */
static int
submit (KqCtl *c)
{
  KqBuf header = { 0 };
  json_t *answer;
  json_t *o = json_object ();
  if (c->team == NULL || c->class_name == NULL)
    {
      json_decref (o);
      return kq_ctl_usage (USAGE);
    }
  set_text (o, "team", c->team);
  set_text (o, "class", c->class_name);
  set_text (o, "priority", c->priority);
  set_number (o, "cpu_milli", c->cpu_milli);
  set_number (o, "memory_mb", c->memory_mb);
  set_number (o, "accelerators", c->accelerators);
  set_number (o, "run_ms", c->run_ms);
  if (c->key != NULL)
    kq_buf_printf (&header, "Idempotency-Key: %s", c->key);
  else
    kq_buf_printf (&header, "Idempotency-Key: ctl-%016llx",
                   (unsigned long long)kq_rand_system ());
  char *body = json_dumps (o, JSON_COMPACT);
  int code = kq_ctl_call (c, "POST", "/v1/jobs", header.ptr, kq_str (body), &answer);
  if (code == KQ_EXIT_OK)
    kq_ctl_show_object (c, answer);
  else if (code == KQ_EXIT_UNKNOWN)
    fprintf (stderr,
             "kumquatctl: the job may have been accepted; to repeat safely: --key %s\n",
             header.ptr + strlen ("Idempotency-Key: "));
  json_decref (answer);
  json_decref (o);
  free (body);
  kq_buf_free (&header);
  return code;
}

static int
call_job (const KqCtl *c, const char *method, const char *id)
{
  KqBuf path = { 0 };
  json_t *answer;
  kq_buf_printf (&path, "/v1/jobs/%s", id);
  int code = kq_ctl_call (c, method, path.ptr, NULL, KQ_STR (""), &answer);
  kq_buf_free (&path);
  if (code == KQ_EXIT_OK && answer != NULL)
    kq_ctl_show_object (c, answer);
  json_decref (answer);
  return code;
}

/* The answer is an array of jobs or an object that contains one. */
static const json_t *
jobs_of (const json_t *answer)
{
  return json_is_array (answer) ? answer : json_object_get (answer, "jobs");
}

static int
list_shard (const KqCtl *c, int64_t shard, json_t *all)
{
  char after[32] = "";
  for (;;)
    {
      KqBuf path = { 0 };
      json_t *answer;
      kq_buf_printf (&path, "/v1/jobs?shard=%lld&limit=%d%s%s", (long long)shard,
                     JOBS_PER_PAGE, after[0] != '\0' ? "&after=" : "", after);
      int code = kq_ctl_get (c, path.ptr, &answer);
      kq_buf_free (&path);
      if (code != KQ_EXIT_OK)
        return code;
      const json_t *jobs = jobs_of (answer);
      size_t n = json_array_size (jobs);
      const char *last
          = n > 0
                ? json_string_value (json_object_get (json_array_get (jobs, n - 1), "id"))
                : NULL;
      json_array_extend (all, (json_t *)jobs);
      snprintf (after, sizeof after, "%s", last != NULL ? last : "");
      json_decref (answer);
      bool enough = c->limit > 0 && json_array_size (all) >= (size_t)c->limit;
      if (n < JOBS_PER_PAGE || last == NULL || enough)
        return KQ_EXIT_OK;
    }
}

static int
list_jobs (const KqCtl *c)
{
  json_t *shards = NULL;
  json_t *all = json_array ();
  json_t *s;
  size_t i;
  int code = KQ_EXIT_OK;
  if (c->shard >= 0)
    code = list_shard (c, c->shard, all);
  else
    code = kq_ctl_get (c, "/v1/shards", &shards);
  json_array_foreach (shards, i, s)
  {
    if (code == KQ_EXIT_OK)
      code = list_shard (c, json_integer_value (json_object_get (s, "shard")), all);
  }
  while (c->limit > 0 && json_array_size (all) > (size_t)c->limit)
    json_array_remove (all, json_array_size (all) - 1);
  if (code == KQ_EXIT_OK)
    kq_ctl_show (c, job_columns, sizeof job_columns / sizeof job_columns[0], all);
  json_decref (shards);
  json_decref (all);
  return code;
}

int
kq_ctl_job (KqCtl *c, int n, char **args)
{
  const char *verb = n > 0 ? args[0] : "";
  if (strcmp (verb, "submit") == 0 && n == 1)
    return submit (c);
  if (strcmp (verb, "list") == 0 && n == 1)
    return list_jobs (c);
  if (strcmp (verb, "show") == 0 && n == 2)
    return call_job (c, "GET", args[1]);
  if (strcmp (verb, "cancel") == 0 && n == 2)
    return call_job (c, "DELETE", args[1]);
  return kq_ctl_usage (USAGE);
}
