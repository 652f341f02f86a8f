#include "ctl/ctl.h"

#include <stdlib.h>
#include <string.h>

/* Commands about nodes, shards and workers. */

#define NODE_USAGE                                                                       \
  "kumquatctl node [list]\n"                                                             \
  "           node show [NAME]\n"                                                        \
  "           node drain NAME                  planned stop: no new work, then exit\n"   \
  "           node log-level NAME LEVEL        error, warn, info or debug\n"

static const KqCtlColumn node_columns[] = {
  { "NAME", "name" },         { "REGION", "region" },        { "DEPOT", "depot" },
  { "STATE", "state" },       { "TABLE", "table_revision" }, { "SHARDS", "shards" },
  { "IN STORE", "in_store" }, { "DRAINING", "draining" },    { "OPERATORS", "operators" },
};

static const KqCtlColumn shard_columns[] = {
  { "SHARD", "shard" }, { "OWNER", "owner" },           { "STATE", "state" },
  { "EPOCH", "epoch" }, { "LAG MS", "journal_lag_ms" }, { "CLAIMS", "claims" },
};

static const KqCtlColumn worker_columns[] = {
  { "NAME", "name" },
  { "DEPOT", "depot" },
  { "RACK", "rack" },
  { "HOST", "host" },
  { "LEASE", "lease" },
  { "TAKES", "takes_work" },
  { "TASKS", "tasks" },
  { "CPU FREE", "free.cpu_milli" },
  { "CPU", "size.cpu_milli" },
  { "MB FREE", "free.memory_mb" },
  { "MB", "size.memory_mb" },
  { "ACC FREE", "free.accelerators" },
  { "ACC", "size.accelerators" },
};

#define LEN(a) (sizeof (a) / sizeof (a)[0])

static int
show_list (const KqCtl *c, const char *path, const KqCtlColumn *columns, size_t n)
{
  json_t *rows;
  int code = kq_ctl_get (c, path, &rows);
  if (code == KQ_EXIT_OK)
    kq_ctl_show (c, columns, n, rows);
  json_decref (rows);
  return code;
}

static int
show_node (KqCtl *c, char *name)
{
  json_t *o;
  if (name != NULL)
    c->node = name;
  int code = kq_ctl_get (c, "/v1/node", &o);
  if (code == KQ_EXIT_OK)
    kq_ctl_show_object (c, o);
  json_decref (o);
  return code;
}

static int
call_node (KqCtl *c, char *node, const char *method, const char *path, const char *body)
{
  json_t *answer;
  c->node = node;
  int code = kq_ctl_call (c, method, path, NULL, kq_str (body), &answer);
  if (code == KQ_EXIT_OK && c->json)
    kq_ctl_print_json (answer);
  json_decref (answer);
  return code;
}

int
kq_ctl_node (KqCtl *c, int n, char **args)
{
  const char *verb = n > 0 ? args[0] : "list";
  if (strcmp (verb, "list") == 0 && n <= 1)
    return show_list (c, "/v1/nodes", node_columns, LEN (node_columns));
  if (strcmp (verb, "show") == 0 && n <= 2)
    return show_node (c, n == 2 ? args[1] : NULL);
  if (strcmp (verb, "drain") == 0 && n == 2)
    return call_node (c, args[1], "POST", "/v1/node/drain", "");
  if (strcmp (verb, "log-level") == 0 && n == 3)
    return call_node (c, args[1], "PUT", "/v1/node/log-level", args[2]);
  return kq_ctl_usage (NODE_USAGE);
}

int
kq_ctl_shard (KqCtl *c, int n, char **args)
{
  if (n > 1 || (n == 1 && strcmp (args[0], "list") != 0))
    return kq_ctl_usage ("kumquatctl shard [list]    of the asked node's region\n");
  return show_list (c, "/v1/shards", shard_columns, LEN (shard_columns));
}

/* Each node lists the workers of the shards that it owns. */
int
kq_ctl_worker (KqCtl *c, int n, char **args)
{
  json_t *answers;
  json_t *node_answer;
  size_t i;
  json_t *all = json_array ();
  if (n > 1 || (n == 1 && strcmp (args[0], "list") != 0))
    {
      json_decref (all);
      return kq_ctl_usage ("kumquatctl worker [list]\n");
    }
  int code = kq_ctl_get_all (c, "/v1/workers", &answers);
  json_array_foreach (answers, i, node_answer)
      json_array_extend (all, json_object_get (node_answer, "answer"));
  if (code == KQ_EXIT_OK)
    kq_ctl_show (c, worker_columns, LEN (worker_columns), all);
  json_decref (answers);
  json_decref (all);
  return code;
}
