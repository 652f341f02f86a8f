#include "procs.h"

#include <stdio.h>
#include <string.h>

/* Waits for a fleet to be ready, and reads the stand-ins' counts. */

typedef struct
{
  int node;
  const char *changes;
} TableChange;

static bool
table_accepted (Procs *f, void *arg)
{
  const TableChange *t = arg;
  ProcsAnswer a;
  bool ok;
  procs_call_operator (f, t->node, "POST", "/v1/table", t->changes, NULL, &a);
  ok = a.status == 200;
  kq_buf_free (&a.body);
  return ok;
}

bool
procs_set_table (Procs *f, KqTime limit, int node, const char *changes)
{
  TableChange t = { node, changes };
  return procs_wait (f, limit, table_accepted, &t);
}

static bool
node_serves (Procs *f, int i, const char *path)
{
  char url[256];
  ProcsRequest q = { .method = "GET", .url = url };
  ProcsAnswer a;
  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", f->processes[i].callers_port, path);
  procs_call (f, &q, &a);
  kq_buf_free (&a.body);
  return a.status == 200;
}

bool
procs_all_serve (Procs *f, const char *path)
{
  for (int i = 0; i < f->n; i++)
    {
      const ProcsProcess *p = &f->processes[i];
      if (p->kind == PROCS_NODE && p->pid != 0 && !node_serves (f, i, path))
        return false;
    }
  return true;
}

static bool
all_serve (Procs *f, void *path)
{
  return procs_all_serve (f, path);
}

bool
procs_wait_serve (Procs *f, KqTime limit, const char *path)
{
  return procs_wait (f, limit, all_serve, (void *)path);
}

int
procs_count_runs (Procs *f, int workers, const char *id)
{
  json_t *o = procs_standin_json (f, workers, "/v1/effects");
  int n = (int)json_integer_value (json_object_get (json_object_get (o, "requests"), id));
  json_decref (o);
  return n;
}

static bool
node_ready (Procs *f, int i)
{
  ProcsAnswer a;
  bool ok;
  procs_call_operator (f, i, "GET", "/readyz", NULL, NULL, &a);
  ok = a.status == 200;
  kq_buf_free (&a.body);
  return ok;
}

/* Counts the shards that a node owns, and those of its region. */
static void
count_shards (Procs *f, int i, int *active, int *all)
{
  json_t *shards = procs_json (f, i, "/v1/shards");
  size_t k;
  json_t *s;
  *active = 0;
  *all = (int)json_array_size (shards);
  json_array_foreach (shards, k, s)
  {
    const char *state = json_string_value (json_object_get (s, "state"));
    *active += state != NULL && strcmp (state, "active") == 0;
  }
  json_decref (shards);
}

static bool
all_ready (Procs *f, void *arg)
{
  (void)arg;
  for (int i = 0; i < f->n; i++)
    {
      int held = 0;
      int all = 0;
      if (f->processes[i].kind != PROCS_NODE || f->processes[i].pid == 0)
        continue;
      if (!node_ready (f, i))
        return false;
      for (int k = 0; k < f->n; k++)
        {
          int active = 0;
          if (f->processes[k].kind != PROCS_NODE || f->processes[k].pid == 0
              || strcmp (f->processes[k].region, f->processes[i].region) != 0)
            continue;
          count_shards (f, k, &active, &all);
          held += active;
        }
      if (held != all || all == 0)
        return false;
    }
  return true;
}

bool
procs_wait_ready (Procs *f, KqTime limit)
{
  return procs_wait (f, limit, all_ready, NULL);
}
