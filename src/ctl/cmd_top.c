#include "ctl/account.h"

#include <string.h>
#include <time.h>

#define CLEAR_SCREEN "\033[H\033[2J"

static const KqCtlColumn node_columns[] = {
  { "NODE", "name" },     { "STATE", "state" },
  { "DEPOT", "depot" },   { "TABLE", "table_revision" },
  { "SHARDS", "shards" }, { "DRAINING", "draining" },
};

static const KqCtlColumn queue_columns[] = {
  { "NODE", "node" },     { "SERVICE", "service" },     { "QUEUED", "queued" },
  { "SLOTS", "slots" },   { "IN FLIGHT", "in_flight" }, { "RUNNERS", "runners" },
  { "P50 US", "p50_us" },
};

static const KqCtlColumn job_columns[] = {
  { "SHARD", "shard" },       { "QUEUED", "queued" },   { "RUNNING", "running" },
  { "FINISHED", "finished" }, { "EVICTED", "evicted" },
};

#define LEN(a) (sizeof (a) / sizeof (a)[0])

/* One row per node and service. */
static json_t *
queue_rows (const json_t *answers)
{
  json_t *rows = json_array ();
  json_t *node_answer;
  json_t *service;
  size_t i;
  size_t k;
  json_array_foreach ((json_t *)answers, i, node_answer)
  {
    const json_t *services
        = json_object_get (json_object_get (node_answer, "answer"), "services");
    json_array_foreach ((json_t *)services, k, service)
    {
      json_object_set (service, "node", json_object_get (node_answer, "node"));
      json_array_append (rows, service);
    }
  }
  return rows;
}

static int
show_once (const KqCtl *c)
{
  json_t *nodes = NULL;
  json_t *queues = NULL;
  json_t *jobs = NULL;
  int code = kq_ctl_get (c, "/v1/nodes", &nodes);
  if (code == KQ_EXIT_OK)
    code = kq_ctl_get_all (c, "/v1/queues", &queues);
  if (code == KQ_EXIT_OK)
    code = kq_ctl_get_all (c, "/v1/account/jobs", &jobs);
  if (code == KQ_EXIT_OK)
    {
      json_t *q = queue_rows (queues);
      json_t *j = kq_account_jobs (jobs);
      if (c->json)
        {
          json_t *all
              = json_pack ("{s:O, s:O, s:O}", "nodes", nodes, "queues", q, "jobs", j);
          kq_ctl_print_json (all);
          json_decref (all);
        }
      else
        {
          printf ("%s", c->color ? CLEAR_SCREEN : "");
          kq_ctl_print (stdout, c->color, node_columns, LEN (node_columns), nodes);
          printf ("\n");
          kq_ctl_print (stdout, c->color, queue_columns, LEN (queue_columns), q);
          printf ("\n");
          kq_ctl_print (stdout, c->color, job_columns, LEN (job_columns), j);
        }
      fflush (stdout);
      json_decref (q);
      json_decref (j);
    }
  json_decref (nodes);
  json_decref (queues);
  json_decref (jobs);
  return code;
}

int
kq_ctl_top (KqCtl *c, int n, char **args)
{
  struct timespec pause = { c->interval_s, 0 };
  (void)args;
  if (n > 0)
    return kq_ctl_usage ("kumquatctl top [--interval SECONDS] [--count N]\n");
  for (int i = 1;; i++)
    {
      int code = show_once (c);
      if (code != KQ_EXIT_OK || (c->count > 0 && i >= c->count))
        return code;
      nanosleep (&pause, NULL);
    }
}
