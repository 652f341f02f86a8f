/* path: measures the time that two nodes add to a request compared with asking the runner
 * directly, and whether bodies of 100 MB pass in both directions in bounded memory. */

#include "procs.h"

#include "base/rand.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLIENTS 8
#define ROUND_REQUESTS 1500
#define ROUNDS 3
#define BODY_BYTES (100LL * 1024 * 1024)
#define GROWTH_LIMIT_MB 16.0

typedef struct
{
  Procs procs;
  int workers;
  int nodes[2];
  char runner[128]; /* the runner's own URL */
} Bench;

/* A closed loop with CLIENTS requests open at a time against one URL. */
typedef struct
{
  Bench *bench;
  const char *url;
  int left;
  int open;
  int failed;
  int n;
  KqTime took[ROUND_REQUESTS];
} Round;

static const char *const table
    = "{\"changes\":[{\"kind\":\"service\",\"name\":\"s\",\"fields\":"
      "{\"body_max_mb\":200,\"deadline_ms\":60000}}]}";

static void next_request (Round *r);

static void
on_answer (void *arg, const ProcsAnswer *a)
{
  Round *r = arg;
  r->open--;
  if (a->outcome != KQ_HTTP_DONE || a->status != 200)
    r->failed++;
  else
    r->took[r->n++] = a->duration;
  next_request (r);
}

static void
next_request (Round *r)
{
  ProcsRequest q = { .method = "GET", .url = r->url };
  if (r->left == 0)
    return;
  r->left--;
  r->open++;
  procs_send (&r->bench->procs, &q, on_answer, r);
}

static bool
round_done (Procs *p, void *arg)
{
  Round *r = arg;
  (void)p;
  return r->left == 0 && r->open == 0;
}

static int
compare (const void *a, const void *b)
{
  KqTime x = *(const KqTime *)a;
  KqTime y = *(const KqTime *)b;
  return (x > y) - (x < y);
}

typedef struct
{
  double per_second;
  double p50_ms;
  double p99_ms;
  int failed;
} Measure;

static Measure
measure (Bench *b, const char *url)
{
  static Round r;
  Measure m = { 0 };
  KqTime start = kq_time_now ();
  int middle;
  int high;
  r = (Round){ .bench = b, .url = url, .left = ROUND_REQUESTS };
  for (int i = 0; i < CLIENTS; i++)
    next_request (&r);
  procs_wait (&b->procs, 60 * KQ_SEC, round_done, &r);
  qsort (r.took, (size_t)r.n, sizeof r.took[0], compare);
  m.failed = r.failed;
  if (r.n == 0)
    return m;
  m.per_second = r.n * (double)KQ_SEC / (double)(kq_time_now () - start);
  middle = r.n / 2;
  high = r.n * 99 / 100;
  m.p50_ms = (double)r.took[middle] / (double)KQ_MS;
  m.p99_ms = (double)r.took[high] / (double)KQ_MS;
  return m;
}

/* A field of /proc/PID/status in megabytes: VmRSS: memory now, VmHWM: the highest. */
static double
memory_mb (const Bench *b, int node, const char *field)
{
  char path[64];
  char line[256];
  double kb = 0;
  FILE *f;
  snprintf (path, sizeof path, "/proc/%d/status",
            (int)b->procs.processes[b->nodes[node]].pid);
  f = fopen (path, "r");
  if (f == NULL)
    return 0;
  while (fgets (line, sizeof line, f) != NULL)
    {
      if (strncmp (line, field, strlen (field)) == 0)
        kb = strtod (line + strlen (field), NULL);
    }
  fclose (f);
  return kb / 1024.0;
}

static double
highest_growth (const Bench *b, const double before[2])
{
  double worst = 0;
  for (int i = 0; i < 2; i++)
    {
      double grown = memory_mb (b, i, "VmHWM:") - before[i];
      worst = grown > worst ? grown : worst;
    }
  return worst;
}

/* Sends a body of 100 MB up or down; returns whether it arrived complete. */
static bool
send_large_body (Bench *b, bool up)
{
  char url[160];
  ProcsRequest q = { .method = up ? "PUT" : "GET", .url = url, .total_ms = 60000 };
  ProcsAnswer a;
  char *bytes = up ? kq_alloc (BODY_BYTES) : NULL;
  bool complete;
  snprintf (url, sizeof url, "http://127.0.0.1:%d/s/s/big?ms=0&bytes=%lld",
            b->procs.processes[b->nodes[0]].callers_port, up ? 0LL : BODY_BYTES);
  if (up)
    {
      q.body = kq_str_n (bytes, BODY_BYTES);
      snprintf (url, sizeof url, "http://127.0.0.1:%d/s/s/big?ms=0",
                b->procs.processes[b->nodes[0]].callers_port);
    }
  procs_call (&b->procs, &q, &a);
  complete = a.outcome == KQ_HTTP_DONE && a.status == 200;
  if (complete && up)
    {
      json_t *o = json_loadb (a.body.ptr, a.body.len, 0, NULL);
      complete = json_integer_value (json_object_get (o, "length")) == BODY_BYTES;
      json_decref (o);
    }
  else if (complete)
    complete = a.body.len == (size_t)BODY_BYTES;
  if (!complete)
    printf ("body not whole: end=%d status=%d bytes=%zu %.80s\n", a.outcome, a.status,
            a.body.len, a.body.len < 400 ? a.body.ptr : "");
  kq_buf_free (&a.body);
  free (bytes);
  return complete;
}

static void
result (const char *name, double value, const char *unit, const char *limit, bool ok)
{
  printf ("RESULT %s %.2f %s %s %s\n", name, value, unit, limit, ok ? "ok" : "short");
}

static void
run (Bench *b)
{
  char url[128];
  double before[2];
  Measure direct = { 0 };
  Measure path = { 0 };
  bool up;
  bool down;
  snprintf (url, sizeof url, "http://127.0.0.1:%d/s/s/x?ms=0",
            b->procs.processes[b->nodes[1]].callers_port);
  /* The two are measured alternately; only the last round counts, after a warm-up. */
  for (int i = 0; i < ROUNDS; i++)
    {
      direct = measure (b, b->runner);
      path = measure (b, url);
      printf (
          "round %d: direct %.0f/s p50 %.2f p99 %.2f ms; path %.0f/s p50 %.2f p99 %.2f "
          "ms\n",
          i + 1, direct.per_second, direct.p50_ms, direct.p99_ms, path.per_second,
          path.p50_ms, path.p99_ms);
    }
  for (int i = 0; i < 2; i++)
    before[i] = memory_mb (b, i, "VmRSS:");
  down = send_large_body (b, false);
  result ("path_down_100mb_growth", highest_growth (b, before), "MB", "<16",
          down && highest_growth (b, before) < GROWTH_LIMIT_MB);
  up = send_large_body (b, true);
  result ("path_up_100mb_growth", highest_growth (b, before), "MB", "<16",
          up && highest_growth (b, before) < GROWTH_LIMIT_MB);
  result ("path_bodies_whole", up + down, "of-2", "=2", up && down);
  result ("path_requests_per_s", path.per_second, "1/s", "-", path.failed == 0);
  result ("path_direct_per_s", direct.per_second, "1/s", "-", direct.failed == 0);
  result ("path_added_p50", path.p50_ms - direct.p50_ms, "ms", "-", true);
  result ("path_added_p99", path.p99_ms - direct.p99_ms, "ms", "-", true);
}

int
main (int argc, char **argv)
{
  static Bench b;
  int code = 1;
  if (!procs_init (&b.procs, argc > 1 ? argv[1] : "build"))
    return 1;
  b.procs.regions = "[[region]]\nname = \"r\"\nshards = 1\n";
  if (procs_start_store (&b.procs, "") < 0)
    goto out;
  b.workers = procs_start_workers (&b.procs, "w", "r", "d", 1,
                                   "--slots 64 --connections 256 --cpu-milli 8000 "
                                   "--memory-mb 8000");
  b.nodes[0] = procs_start_node (&b.procs, "n0", "r", "d");
  b.nodes[1] = procs_start_node (&b.procs, "n1", "r", "d");
  if (b.workers < 0 || b.nodes[0] < 0 || b.nodes[1] < 0
      || !procs_set_table (&b.procs, 10 * KQ_SEC, b.nodes[0], table)
      || !procs_wait_ready (&b.procs, 15 * KQ_SEC)
      || !procs_wait_serve (&b.procs, 15 * KQ_SEC, "/s/s/x?ms=0"))
    {
      puts ("the processes did not come up");
      goto out;
    }
  json_t *hosts = NULL;
  char path[160];
  snprintf (path, sizeof path, "/v1/hosts?depot=d");
  hosts = procs_standin_json (&b.procs, 0, path);
  json_t *h = json_array_get (json_object_get (hosts, "hosts"), 0);
  json_t *runner = json_array_get (json_object_get (h, "runners"), 0);
  const char *address = json_string_value (json_object_get (runner, "address"));
  snprintf (b.runner, sizeof b.runner, "%s/x?ms=0", address != NULL ? address : "");
  json_decref (hosts);
  run (&b);
  code = 0;
out:
  procs_free (&b.procs, false);
  return code;
}
