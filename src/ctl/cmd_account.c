#include "ctl/account.h"

#include <stdlib.h>
#include <string.h>

static void
add_to_member (json_t *to, const char *key, json_int_t v)
{
  json_int_t old = json_integer_value (json_object_get (to, key));
  json_object_set_new (to, key, json_integer (old + v));
}

/* Adds one node's {service: {taken, in_flight, ...}} to a sum of the same form. */
static void
add_services (json_t *sum, const json_t *answer)
{
  const char *name;
  const char *key;
  json_t *service;
  json_t *v;
  json_object_foreach ((json_t *)answer, name, service)
  {
    json_t *totals = json_object_get (sum, name);
    if (totals == NULL)
      {
        totals = json_object ();
        json_object_set_new (sum, name, totals);
      }
    json_object_foreach (service, key, v)
        add_to_member (totals, key, json_integer_value (v));
  }
}

/* Taken must equal the sum of all other members: requests that ended and that are in
 * flight. */
static bool
is_balanced (const json_t *totals)
{
  json_int_t left = json_integer_value (json_object_get (totals, "taken"));
  const char *key;
  json_t *v;
  json_object_foreach ((json_t *)totals, key, v)
  {
    if (strcmp (key, "taken") != 0)
      left -= json_integer_value (v);
  }
  return left == 0;
}

json_t *
kq_account_requests (const json_t *answers)
{
  json_t *sum = json_object ();
  json_t *rows = json_array ();
  json_t *node_answer;
  json_t *totals;
  const char *name;
  size_t i;
  json_array_foreach ((json_t *)answers, i, node_answer)
      add_services (sum, json_object_get (node_answer, "answer"));
  json_object_foreach (sum, name, totals)
  {
    json_t *row
        = json_pack ("{s:s, s:b}", "service", name, "balanced", is_balanced (totals));
    json_object_update (row, totals);
    json_array_append_new (rows, row);
  }
  json_decref (sum);
  return rows;
}

json_t *
kq_account_jobs (const json_t *answers)
{
  json_t *rows = json_array ();
  json_t *node_answer;
  json_t *shard;
  size_t i;
  size_t k;
  json_array_foreach ((json_t *)answers, i, node_answer)
  {
    json_array_foreach (json_object_get (node_answer, "answer"), k, shard)
    {
      json_int_t left = json_integer_value (json_object_get (shard, "accepted"));
      static const char *const states[]
          = { "queued", "running", "finished", "failed", "cancelled" };
      for (size_t e = 0; e < sizeof states / sizeof states[0]; e++)
        left -= json_integer_value (json_object_get (shard, states[e]));
      json_object_set_new (shard, "balanced", json_boolean (left == 0));
      json_array_append (rows, shard);
    }
  }
  return rows;
}

bool
kq_account_balanced (const json_t *rows)
{
  json_t *row;
  size_t i;
  json_array_foreach ((json_t *)rows, i, row)
  {
    if (!json_is_true (json_object_get (row, "balanced")))
      return false;
  }
  return true;
}

static const KqCtlColumn request_columns[] = {
  { "SERVICE", "service" },     { "TAKEN", "taken" },       { "ANSWERED", "answered" },
  { "REFUSED", "refused" },     { "UNKNOWN", "unknown" },   { "ABANDONED", "abandoned" },
  { "IN FLIGHT", "in_flight" }, { "BALANCED", "balanced" },
};

static const KqCtlColumn job_columns[] = {
  { "SHARD", "shard" },         { "ACCEPTED", "accepted" }, { "QUEUED", "queued" },
  { "RUNNING", "running" },     { "FINISHED", "finished" }, { "FAILED", "failed" },
  { "CANCELLED", "cancelled" }, { "EVICTED", "evicted" },   { "RESUMED", "resumed" },
  { "BALANCED", "balanced" },
};

#define LEN(a) (sizeof (a) / sizeof (a)[0])

int
kq_ctl_account (KqCtl *c, int n, char **args)
{
  json_t *requests = NULL;
  json_t *jobs = NULL;
  (void)args;
  if (n > 0)
    return kq_ctl_usage ("kumquatctl account\n");
  int code = kq_ctl_get_all (c, "/v1/account/requests", &requests);
  if (code == KQ_EXIT_OK)
    code = kq_ctl_get_all (c, "/v1/account/jobs", &jobs);
  if (code == KQ_EXIT_OK)
    {
      json_t *r = kq_account_requests (requests);
      json_t *j = kq_account_jobs (jobs);
      if (c->json)
        {
          json_t *accounts = json_pack ("{s:O, s:O}", "requests", r, "jobs", j);
          kq_ctl_print_json (accounts);
          json_decref (accounts);
        }
      else
        {
          kq_ctl_print (stdout, c->color, request_columns, LEN (request_columns), r);
          printf ("\n");
          kq_ctl_print (stdout, c->color, job_columns, LEN (job_columns), j);
        }
      if (!kq_account_balanced (r) || !kq_account_balanced (j))
        code = KQ_EXIT_REFUSED;
      json_decref (r);
      json_decref (j);
    }
  json_decref (requests);
  json_decref (jobs);
  return code;
}
