#include "slopes.h"

#include "procs.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NODES_MAX 12
#define REGIONS_MAX 2
#define SETTLE_TIME (4 * KQ_SEC)
#define MEASURE_TIME (7 * KQ_SEC)
#define RUN_MS 300
/* Lowest r2 that a fit to real processes should reach. */
#define WANTED_R2 0.9

typedef struct
{
  int nodes;
  int regions;
  int workers;
  int loads; /* number of `loads` that are run, from the first */
} Fleet;

typedef struct
{
  int jobs;     /* submitted a second */
  int requests; /* a second */
} Load;

static const Fleet fleets[] = { { 2, 1, 10, 1 },  { 2, 1, 200, 5 }, { 4, 2, 50, 1 },
                                { 6, 1, 200, 1 }, { 8, 2, 200, 5 }, { 12, 2, 400, 1 } };
static const Load loads[] = { { 0, 0 }, { 5, 0 }, { 20, 0 }, { 0, 50 }, { 0, 200 } };

/* Counters of a node since its start, and its memory. */
typedef struct
{
  double cpu_us;
  double resident; /* bytes */
  double near;     /* mesh bytes within the region, both directions */
  double far;      /* mesh bytes between regions */
  double workers;  /* bytes of worker calls, both directions */
  double store;    /* bytes of store calls */
  double calls;    /* to the store */
  double starts;   /* worker calls of kind start */
} Sample;

enum
{
  FIT_CPU,
  FIT_MEMORY,
  FIT_NEAR,
  FIT_FAR,
  FIT_WORKERS,
  FIT_STORE_BYTES,
  FIT_STORE_CALLS,
  FITS
};

typedef struct
{
  Procs procs;
  const Fleet *fleet;
  int nodes[NODES_MAX];
  SlopesFit *fits;
  int open;
  int refused;
  int answered;
} Live;

static double
process_cpu_us (pid_t pid)
{
  char path[64];
  double ns = 0;
  FILE *f;
  snprintf (path, sizeof path, "/proc/%d/schedstat", (int)pid);
  f = fopen (path, "r");
  if (f == NULL)
    return 0;
  if (fscanf (f, "%lf", &ns) != 1)
    ns = 0;
  fclose (f);
  return ns / 1e3;
}

static double
process_resident (pid_t pid)
{
  char path[64];
  double all = 0;
  double pages = 0;
  FILE *f;
  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  f = fopen (path, "r");
  if (f == NULL)
    return 0;
  if (fscanf (f, "%lf %lf", &all, &pages) != 2)
    pages = 0;
  fclose (f);
  return pages * (double)sysconf (_SC_PAGESIZE);
}

/* Sum of the values of the metric lines that begin with `name` and contain `label`. */
static double
sum_of (const char *text, const char *name, const char *label)
{
  double sum = 0;
  for (const char *line = text; line != NULL && *line != '\0';)
    {
      const char *end = strchr (line, '\n');
      size_t len = end != NULL ? (size_t)(end - line) : strlen (line);
      char copy[256];
      snprintf (copy, sizeof copy, "%.*s", (int)len, line);
      if (strncmp (copy, name, strlen (name)) == 0 && strstr (copy, label) != NULL
          && strrchr (copy, ' ') != NULL)
        sum += strtod (strrchr (copy, ' '), NULL);
      line = end != NULL ? end + 1 : NULL;
    }
  return sum;
}

static Sample
take_sample (Live *l, int i)
{
  Sample s = { 0 };
  ProcsAnswer a;
  pid_t pid = l->procs.processes[l->nodes[i]].pid;
  procs_call_operator (&l->procs, l->nodes[i], "GET", "/metrics", NULL, NULL, &a);
  if (a.status == 200 && a.body.ptr != NULL)
    {
      s.near = sum_of (a.body.ptr, "kq_mesh_bytes_", "near");
      s.far = sum_of (a.body.ptr, "kq_mesh_bytes_", "far");
      s.workers = sum_of (a.body.ptr, "kq_worker_bytes_", "");
      s.store = sum_of (a.body.ptr, "kq_store_bytes_", "");
      s.calls = sum_of (a.body.ptr, "kq_store_calls_total", "");
      s.starts = sum_of (a.body.ptr, "kq_worker_calls_total{kind=\"start\"", "OK\"");
    }
  kq_buf_free (&a.body);
  s.cpu_us = process_cpu_us (pid);
  s.resident = process_resident (pid);
  return s;
}

static void
on_answer (void *arg, const ProcsAnswer *a)
{
  Live *l = arg;
  l->open--;
  if (a->status == 200)
    l->answered++;
  else
    l->refused++;
}

static void
send_one (Live *l, int number, bool job)
{
  char url[128];
  int node = l->nodes[number % l->fleet->nodes];
  ProcsRequest q = { .url = url, .method = job ? "POST" : "GET" };
  snprintf (url, sizeof url, "http://127.0.0.1:%d/%s",
            l->procs.processes[node].callers_port,
            job ? "v1/jobs" : "s/tag-watch/visit?ms=5");
  if (job)
    q.body = KQ_STR ("{\"team\":\"rounds\",\"class\":\"plan\",\"run_ms\":300}");
  l->open++;
  procs_send (&l->procs, &q, on_answer, l);
}

/* Sends a constant load for `span`. */
static void
drive (Live *l, const Load *load, KqTime span)
{
  KqTime start = kq_time_now ();
  int jobs = 0;
  int requests = 0;
  KqTime elapsed;
  while ((elapsed = kq_time_now () - start) < span)
    {
      while (jobs < load->jobs * elapsed / KQ_SEC)
        send_one (l, jobs++, true);
      while (requests < load->requests * elapsed / KQ_SEC)
        send_one (l, requests++, false);
      procs_run (&l->procs, 5 * KQ_MS, NULL);
    }
}

static int
shards_of (Live *l, int i)
{
  json_t *o = procs_json (&l->procs, l->nodes[i], "/v1/node");
  int n = (int)json_integer_value (json_object_get (o, "shards_active"));
  json_decref (o);
  return n;
}

static int
workers_of (Live *l, int i)
{
  json_t *o = procs_json (&l->procs, l->nodes[i], "/v1/workers");
  int n = (int)json_array_size (o);
  json_decref (o);
  return n;
}

/* Measures one load. The mean over the nodes is one point of every fit. */
static void
measure (Live *l, const Load *load)
{
  Sample before[NODES_MAX] = { { 0 } };
  Sample sum = { 0 };
  double shards = 0;
  double workers = 0;
  int n = l->fleet->nodes;
  double span = 0;
  l->answered = l->refused = 0;
  drive (l, load, SETTLE_TIME);
  for (int i = 0; i < n; i++)
    before[i] = take_sample (l, i);
  KqTime start = kq_time_now ();
  drive (l, load, MEASURE_TIME);
  span = (double)(kq_time_now () - start) / KQ_SEC;
  for (int i = 0; i < n; i++)
    {
      Sample s = take_sample (l, i);
      sum.cpu_us += s.cpu_us - before[i].cpu_us;
      sum.resident += s.resident;
      sum.near += s.near - before[i].near;
      sum.far += s.far - before[i].far;
      sum.workers += s.workers - before[i].workers;
      sum.store += s.store - before[i].store;
      sum.calls += s.calls - before[i].calls;
      sum.starts += s.starts - before[i].starts;
    }
  for (int i = 0; i < n; i++)
    {
      shards += shards_of (l, i);
      workers += workers_of (l, i);
    }
  double per = 1 / (n * span);
  double near = (double)n / l->fleet->regions - 1;
  double far = n - 1 - near;
  double starts = sum.starts * per;
  double requests = (double)load->requests / n;
  double w = workers / n;
  double sh = shards / n;
  printf (
      "point nodes=%d regions=%d workers=%d jobs/s=%d requests/s=%d: shards/node=%.2f "
      "workers/node=%.1f starts/s/node=%.2f cpu=%.3f%% resident=%.1fMB near=%.0fB/s "
      "far=%.0fB/s workers=%.0fB/s store=%.0fB/s calls=%.2f/s answered=%d refused=%d\n",
      n, l->fleet->regions, l->fleet->workers, load->jobs, load->requests, sh, w, starts,
      sum.cpu_us * per / 1e4, sum.resident / n / 1e6, sum.near * per, sum.far * per,
      sum.workers * per, sum.store * per, sum.calls * per, l->answered, l->refused);
  fflush (stdout);
  SlopesFit *f = l->fits;
  slopes_add (&f[FIT_CPU], (double[]){ 1, near + far, w, starts, requests },
              sum.cpu_us * per);
  slopes_add (&f[FIT_MEMORY], (double[]){ 1, w, near + far }, sum.resident / n);
  slopes_add (&f[FIT_NEAR], (double[]){ 1, near, starts, requests }, sum.near * per);
  /* Two regions exchange one bundle of heartbeats, however many nodes they have. */
  if (far > 0)
    slopes_add (&f[FIT_FAR], (double[]){ 1.0 / n, 1, starts }, sum.far * per);
  slopes_add (&f[FIT_WORKERS], (double[]){ w, starts }, sum.workers * per);
  slopes_add (&f[FIT_STORE_BYTES], (double[]){ 1, w, starts }, sum.store * per);
  slopes_add (&f[FIT_STORE_CALLS], (double[]){ 1, sh, starts }, sum.calls * per);
}

static bool
post_table (Procs *f, void *arg)
{
  Live *l = arg;
  ProcsAnswer a;
  bool ok;
  procs_call_operator (
      f, l->nodes[0], "POST", "/v1/table",
      "{\"changes\":[{\"kind\":\"service\",\"name\":\"tag-watch\",\"fields\":"
      "{\"deadline_ms\":8000}},{\"kind\":\"class\",\"name\":\"plan\","
      "\"fields\":{\"cpu_milli\":1000,\"memory_mb\":512}},{\"kind\":\"team\","
      "\"name\":\"rounds\",\"fields\":{}}]}",
      NULL, &a);
  ok = a.status == 200;
  kq_buf_free (&a.body);
  return ok;
}

static bool
start_fleet (Live *l)
{
  Procs *f = &l->procs;
  const Fleet *g = l->fleet;
  static const char *const regions[REGIONS_MAX] = { "east", "west" };
  static const char *const depots[REGIONS_MAX] = { "e1", "w1" };
  assert (g->nodes <= NODES_MAX && g->regions <= REGIONS_MAX);
  f->heartbeat_ms = 500;
  f->node_lease_ms = 10000;
  f->worker_lease_ms = 10000;
  f->calls_per_second = 20;
  f->regions = g->regions == 1
                   ? "[[region]]\nname = \"east\"\nshards = 4\n"
                   : "[[region]]\nname = \"east\"\nshards = 4\n[[region]]\nname = "
                     "\"west\"\nshards = 4\n";
  if (procs_start_store (f, "") < 0)
    return false;
  for (int i = 0; i < g->regions; i++)
    {
      if (procs_start_workers (f, regions[i], regions[i], depots[i],
                               g->workers / g->regions,
                               "--cpu-milli 16000 --memory-mb 60000 --rack-size 5")
          < 0)
        return false;
    }
  for (int i = 0; i < g->nodes; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "n%d", i);
      l->nodes[i]
          = procs_start_node (f, name, regions[i % g->regions], depots[i % g->regions]);
      if (l->nodes[i] < 0)
        return false;
    }
  return procs_wait (f, 10 * KQ_SEC, post_table, l) && procs_wait_ready (f, 30 * KQ_SEC);
}

static bool
run_fleet (const char *build, const Fleet *g, SlopesFit *fits)
{
  static Live l;
  bool ok;
  l = (Live){ .fleet = g, .fits = fits };
  if (!procs_init (&l.procs, build))
    return false;
  ok = start_fleet (&l);
  for (int i = 0; ok && i < g->loads; i++)
    measure (&l, &loads[i]);
  for (int i = 0; i < 100 && l.open > 0; i++)
    procs_run (&l.procs, 50 * KQ_MS, NULL);
  procs_free (&l.procs, false);
  return ok;
}

bool
slopes_live (const char *build)
{
  SlopesFit fits[FITS] = {
    { .name = "live_cpu",
      .unit = "us/s",
      .n_terms = 5,
      .terms = { "node", "peer", "worker", "start", "request" } },
    { .name = "live_memory",
      .unit = "bytes",
      .n_terms = 3,
      .terms = { "node", "worker", "peer" } },
    { .name = "live_near",
      .unit = "bytes/s",
      .n_terms = 4,
      .terms = { "node", "peer", "start", "request" } },
    { .name = "live_far",
      .unit = "bytes/s",
      .n_terms = 3,
      .terms = { "region_pair", "node", "start" } },
    { .name = "live_workers",
      .unit = "bytes/s",
      .n_terms = 2,
      .terms = { "worker", "start" } },
    { .name = "live_store_bytes",
      .unit = "bytes/s",
      .n_terms = 3,
      .terms = { "node", "worker", "start" } },
    { .name = "live_store_calls",
      .unit = "calls/s",
      .n_terms = 3,
      .terms = { "node", "shard", "start" } },
  };
  for (size_t i = 0; i < sizeof fleets / sizeof fleets[0]; i++)
    {
      if (!run_fleet (build, &fleets[i], fits))
        return false;
    }
  for (int i = 0; i < FITS; i++)
    slopes_print (&fits[i], WANTED_R2);
  return true;
}
