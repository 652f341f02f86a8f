/* standin-worker: workers with their runners, any number in one process, for tests.
 * docs/PLATFORM.md describes their calls and faults. */

#include "base/rand.h"
#include "http/client.h"
#include "port/worker_fake.h"
#include "port/worker_json.h"
#include "web.h"

#include <xxhash.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUNNERS_MAX 16
#define REGISTER_INTERVAL_S 1.0
#define TICK_INTERVAL_S 0.1
/* The last registration is at most this old when the process is paused. */
#define REGISTRATION_AGE_MAX (2 * KQ_SEC)
#define ANSWER_BLOCK_BYTES (64 * 1024)
/* Unsent bytes of an answer that are kept in memory for a slow client. */
#define UNSENT_MAX_BYTES (256 * 1024)

typedef struct
{
  int port;
  int count;
  char *store;
  char *region;
  char *depot;
  char *prefix;
  int rack_size;
  int first_rack;
  int cpu_milli;
  int memory_mb;
  int accelerators;
  int runners;
  int slots;
  int connections;
  char *services;
  int usage_lag_ms;
} Options;

typedef struct
{
  KqName name;
  KqName rack;
  KqWorkerFake worker;
  int busy_slots[RUNNERS_MAX]; /* of each runner */
} Host;

/* All workers of this process. */
typedef struct
{
  const Options *o;
  KqWeb *web;
  KqHttpClient *client;
  Host *hosts;
  KqWorkerFakeEffects effects;
  GHashTable *requests; /* id -> how often it was run */
  bool registering;
  KqBuf answer;     /* of the registration */
  KqTime pause_max; /* after a longer pause the leases have ended */
  KqTime last_tick;
} Fleet;

/* A request that a runner executes; it takes a slot. */
typedef struct
{
  int *busy_slots; /* the runner's count */
  KqBuf id;        /* request id or idempotency key */
  XXH3_state_t *hash;
  uint64_t length; /* of the request's body */
  /* Of a large answer: */
  uint64_t sent;
  uint64_t answer_bytes;
  uint64_t cut_at; /* aborted after so many bytes, if fewer than all */
} RunnerRequest;

/* Finds the worker of "/w/NAME/REST" and puts the rest into *rest. */
static Host *
find_host (Fleet *f, KqStr path, KqStr *rest)
{
  KqStr name;
  if (!kq_str_has_prefix (path, KQ_STR ("/w/")))
    return NULL;
  *rest = kq_str_n (path.ptr + 3, path.len - 3);
  name = kq_str_cut (rest, '/');
  for (int i = 0; i < f->o->count; i++)
    {
      if (kq_str_eq (kq_name_str (&f->hosts[i].name), name))
        return &f->hosts[i];
    }
  return NULL;
}

/* The count of busy slots of the runner in "/w/NAME/r/rN/REST"; NULL: no such runner. */
static int *
find_runner (Fleet *f, KqStr path)
{
  KqStr rest;
  KqStr name;
  int64_t n = 0;
  Host *h = find_host (f, path, &rest);
  if (h == NULL || !kq_str_has_prefix (rest, KQ_STR ("r/r")))
    return NULL;
  rest = kq_str_n (rest.ptr + 3, rest.len - 3);
  name = kq_str_cut (&rest, '/');
  if (!kq_str_to_i64 (name, &n) || n < 1 || n > f->o->runners)
    return NULL;
  return &h->busy_slots[n - 1];
}

static bool
begin (void *arg, KqWebCall *c)
{
  Fleet *f = arg;
  int *busy_slots = find_runner (f, kq_http_path (c->x));
  RunnerRequest *request;
  if (busy_slots == NULL)
    return false;
  if (*busy_slots >= f->o->slots)
    {
      c->ignored = true;
      kq_web_reply (c, 503, "X-Kq-Ran", "no", KQ_STR ("{\"error\":\"no slot\"}"));
      return false;
    }
  (*busy_slots)++;
  request = kq_alloc (sizeof *request);
  request->busy_slots = busy_slots;
  request->hash = XXH3_createState ();
  XXH3_64bits_reset (request->hash);
  kq_buf_add_str (&request->id, kq_http_header (c->x, "X-Request-Id"));
  if (request->id.len == 0)
    kq_buf_add_str (&request->id, kq_http_header (c->x, "Idempotency-Key"));
  c->data = request;
  return true;
}

static void
chunk (void *arg, KqWebCall *c, KqStr bytes)
{
  RunnerRequest *request = c->data;
  (void)arg;
  request->length += bytes.len;
  XXH3_64bits_update (request->hash, bytes.ptr, bytes.len);
}

static void
finished (void *arg, KqWebCall *c)
{
  RunnerRequest *request = c->data;
  (void)arg;
  if (request == NULL)
    return;
  (*request->busy_slots)--;
  XXH3_freeState (request->hash);
  kq_buf_free (&request->id);
  free (request);
}

/* Byte i of a large answer is 'a' + i % 23, so that a client notices a gap. */
static void
send_answer_blocks (KqWebCall *c)
{
  RunnerRequest *request = c->data;
  char block[ANSWER_BLOCK_BYTES];
  while (request->sent < request->cut_at && kq_http_unsent (c->x) < UNSENT_MAX_BYTES)
    {
      uint64_t left = request->cut_at - request->sent;
      size_t n = left < sizeof block ? (size_t)left : sizeof block;
      for (size_t i = 0; i < n; i++)
        block[i] = (char)('a' + (request->sent + i) % 23);
      request->sent += n;
      kq_http_reply_data (c->x, kq_str_n (block, n));
    }
  if (request->sent == request->answer_bytes)
    kq_http_reply_end (c->x);
  else if (request->sent == request->cut_at && kq_http_unsent (c->x) == 0)
    kq_http_abort (c->x);
}

static void
drained (void *arg, KqWebCall *c)
{
  RunnerRequest *request = c->data;
  (void)arg;
  if (request != NULL && request->answer_bytes > 0)
    send_answer_blocks (c);
}

static void
send_large (KqWebCall *c, int status, uint64_t bytes)
{
  RunnerRequest *request = c->data;
  KqWebCut cut = kq_web_cut (c);
  request->answer_bytes = bytes;
  request->cut_at = cut == KQ_WEB_PARTIAL ? bytes / 2 : bytes;
  if (cut == KQ_WEB_LOST)
    {
      kq_http_abort (c->x);
      return;
    }
  kq_http_reply_begin (c->x, status, NULL, 0, (int64_t)bytes);
  send_answer_blocks (c);
}

static void
answer_request (KqWebCall *c)
{
  const RunnerRequest *request = c->data;
  KqStr path = kq_http_path (c->x);
  uint64_t bytes = kq_web_query_u64 (c, "bytes", 0);
  int status = (int)kq_web_query_u64 (c, "status", 200);
  char hash[20];
  if (kq_web_fails (c))
    kq_web_error (c, 500, "fails everything");
  else if (bytes > 0)
    send_large (c, status, bytes);
  else
    {
      snprintf (hash, sizeof hash, "%016llx",
                (unsigned long long)XXH3_64bits_digest (request->hash));
      kq_web_reply_json (c, status,
                         json_pack ("{s:s%,s:s,s:I,s:s}", "path", path.ptr, path.len,
                                    "id", request->id.len > 0 ? request->id.ptr : "",
                                    "length", (json_int_t)request->length, "xxh3", hash));
    }
}

static void
run_request (Fleet *f, KqWebCall *c)
{
  const RunnerRequest *request = c->data;
  if (request->id.len > 0)
    {
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (f->requests, request->id.ptr));
      g_hash_table_insert (f->requests, g_strdup (request->id.ptr),
                           GUINT_TO_POINTER (n + 1));
    }
  kq_web_after (c, (int64_t)kq_web_query_u64 (c, "ms", 5), answer_request);
}

static void
worker_call (Fleet *f, Host *h, KqWebCall *c, KqStr call_name)
{
  KqWorkerCall call = { 0 };
  KqWorkerReply r;
  KqWorkerCallKind kind;
  KqRunnerReport runners[RUNNERS_MAX];
  char *text;
  if (!kq_worker_call_kind (call_name, &kind)
      || !kq_worker_call_read (kq_buf_str (&c->body), kind, &call))
    kq_web_error (c, 400, "malformed");
  else
    {
      h->worker.fails = kq_web_fails (c);
      kq_worker_fake_call (&h->worker, &call, kq_time_now (), &r);
      for (int i = 0; i < f->o->runners; i++)
        {
          char name[16];
          snprintf (name, sizeof name, "r%d", i + 1);
          runners[i]
              = (KqRunnerReport){ kq_name (kq_str (name)), f->o->slots, h->busy_slots[i],
                                  f->o->connections, h->worker.leaving };
        }
      r.runners = runners;
      r.n_runners = (size_t)f->o->runners;
      text = kq_worker_answer_json (&r);
      kq_web_reply (c, r.result == KQ_OK ? 200 : 409, NULL, NULL, kq_str (text));
      r.runners = NULL;
      kq_worker_answer_free (&r);
      free (text);
    }
  free (call.acks);
}

/* After a long pause of this process the host list has shown its workers as gone and
 * their tasks have been started elsewhere; they must not continue here, although the
 * leases may not have expired. So the leases end where the pause began. Called before
 * anything else when a request arrives. */
static void
end_leases_after_pause (Fleet *f)
{
  KqTime now = kq_time_now ();
  for (int i = 0; i < f->o->count && now - f->last_tick > f->pause_max; i++)
    {
      KqWorkerFake *w = &f->hosts[i].worker;
      if (w->lease_until > f->last_tick)
        w->lease_until = f->last_tick;
      kq_worker_fake_advance (w, now);
    }
  f->last_tick = now;
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  end_leases_after_pause (w->data);
}

static void
show_effects (Fleet *f, KqWebCall *c)
{
  json_t *jobs = json_object ();
  json_t *requests = json_object ();
  GHashTableIter it;
  void *key;
  void *value;
  int max = 0;
  for (int i = 0; i < f->o->count; i++)
    kq_worker_fake_advance (&f->hosts[i].worker, kq_time_now ());
  g_hash_table_iter_init (&it, f->effects.jobs);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const KqWorkerFakeEffect *e = value;
      char id[24];
      snprintf (id, sizeof id, "%llu", (unsigned long long)*(gint64 *)key);
      max = e->max_running > max ? e->max_running : max;
      json_object_set_new (jobs, id,
                           json_pack ("{s:i,s:i,s:i,s:i}", "starts", e->starts, "running",
                                      e->running, "max_running_at_once", e->max_running,
                                      "finished", e->finished));
    }
  g_hash_table_iter_init (&it, f->requests);
  while (g_hash_table_iter_next (&it, &key, &value))
    json_object_set_new (requests, key, json_integer (GPOINTER_TO_UINT (value)));
  kq_web_reply_json (c, 200,
                     json_pack ("{s:i,s:i,s:o,s:o}", "max_running_at_once", max,
                                "overcommits", f->effects.overcommits, "jobs", jobs,
                                "requests", requests));
}

static void
on_call (void *arg, KqWebCall *c)
{
  Fleet *f = arg;
  KqStr rest;
  Host *h = find_host (f, kq_http_path (c->x), &rest);
  end_leases_after_pause (f);
  if (c->data != NULL)
    run_request (f, c);
  else if (kq_web_is (c, "GET", "/v1/effects"))
    show_effects (f, c);
  else if (h != NULL && kq_str_eq (rest, KQ_STR ("v1/leave")))
    {
      h->worker.leaving = true;
      kq_web_reply (c, 200, NULL, NULL, KQ_STR ("{}"));
    }
  else if (h != NULL && kq_str_has_prefix (rest, KQ_STR ("v1/")))
    worker_call (f, h, c, kq_str_n (rest.ptr + 3, rest.len - 3));
  else
    kq_web_error (c, 404, "no such worker or call");
}

static json_t *
host_json (const Fleet *f, const Host *h)
{
  const Options *o = f->o;
  const KqWorkerFake *w = &h->worker;
  json_t *runners = json_array ();
  json_t *services = json_array ();
  char **names = g_strsplit (o->services, ",", 0);
  char worker_url[128];
  char runner_url[192];
  for (int i = 0; names[i] != NULL; i++)
    {
      if (names[i][0] != '\0')
        json_array_append_new (services, json_string (names[i]));
    }
  snprintf (worker_url, sizeof worker_url, "http://127.0.0.1:%d/w/%.*s",
            kq_web_port (f->web), KQ_STR_ARG (kq_name_str (&h->name)));
  for (int i = 0; i < o->runners; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "r%d", i + 1);
      snprintf (runner_url, sizeof runner_url, "%s/r/%s", worker_url, name);
      json_array_append_new (runners,
                             json_pack ("{s:s,s:s,s:i,s:i,s:O}", "name", name, "address",
                                        runner_url, "slots", o->slots, "connections",
                                        o->connections, "services", services));
    }
  json_decref (services);
  g_strfreev (names);
  return json_pack ("{s:s%,s:s,s:s,s:s%,s:s,s:s,s:{s:I,s:I,s:I},s:o}", "name",
                    h->name.bytes, (size_t)h->name.len, "region", o->region, "depot",
                    o->depot, "rack", h->rack.bytes, (size_t)h->rack.len, "address",
                    worker_url, "state", w->leaving ? "leaving" : "live", "size",
                    "cpu_milli", (json_int_t)w->capacity.cpu_milli, "memory_mb",
                    (json_int_t)w->capacity.memory_mb, "accelerators",
                    (json_int_t)w->capacity.accelerators, "runners", runners);
}

static void
on_answer (void *arg, KqHttpCall *c, KqStr chunk)
{
  Fleet *f = arg;
  (void)c;
  kq_buf_add_str (&f->answer, chunk);
}

static void
on_registered (void *arg, KqHttpCall *c, KqHttpOutcome end)
{
  Fleet *f = arg;
  json_t *j = kq_json_parse (kq_buf_str (&f->answer));
  KqTime gone = json_integer_value (json_object_get (j, "gone_ms")) * KQ_MS;
  (void)c;
  (void)end;
  if (gone > 0)
    f->pause_max = MAX (gone - REGISTRATION_AGE_MAX, 3 * TICK_INTERVAL_S * KQ_SEC);
  json_decref (j);
  kq_buf_clear (&f->answer);
  f->registering = false;
}

static void
on_register (struct ev_loop *ev, ev_timer *w, int events)
{
  Fleet *f = w->data;
  KqHttpCallback cb = { .arg = f, .data = on_answer, .done = on_registered };
  KqHttpRequest r = { .method = "POST", .connect_ms = 500, .total_ms = 2000 };
  json_t *list = json_array ();
  json_t *j = json_pack ("{s:o}", "hosts", list);
  char url[256];
  char *text;
  (void)ev;
  (void)events;
  for (int i = 0; i < f->o->count; i++)
    json_array_append_new (list, host_json (f, &f->hosts[i]));
  text = json_dumps (j, JSON_COMPACT);
  snprintf (url, sizeof url, "%s/v1/hosts", f->o->store);
  r.url = url;
  r.body = kq_str (text);
  if (!f->registering)
    kq_http_call (f->client, &r, &cb);
  f->registering = true;
  json_decref (j);
  free (text);
}

static void
make_hosts (Fleet *f)
{
  const Options *o = f->o;
  f->hosts = kq_alloc ((size_t)o->count * sizeof *f->hosts);
  for (int i = 0; i < o->count; i++)
    {
      Host *h = &f->hosts[i];
      char text[KQ_NAME_MAX + 1];
      snprintf (text, sizeof text, "%s%d", o->prefix, i + 1);
      h->name = kq_name (kq_str (text));
      snprintf (text, sizeof text, "%s-r%d", o->depot, o->first_rack + i / o->rack_size);
      h->rack = kq_name (kq_str (text));
      kq_worker_fake_init (&h->worker, &f->effects,
                           (KqSize){ o->cpu_milli, o->memory_mb, o->accelerators });
    }
}

static int
run (const Options *o)
{
  Fleet f = { .o = o };
  KqWebApp app = { &f, begin, chunk, on_call, finished, drained };
  KqLoop *loop = kq_loop_new ();
  ev_timer registering;
  ev_timer tick;
  kq_worker_fake_effects_init (&f.effects, kq_rand_system () >> 2,
                               o->usage_lag_ms * KQ_MS);
  f.requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  make_hosts (&f);
  f.web = kq_web_new (loop, o->port, "listening", &app);
  f.client = kq_http_client_new (loop, 2, 5000);
  ev_timer_init (&registering, on_register, 0, REGISTER_INTERVAL_S);
  registering.data = &f;
  f.pause_max = KQ_TIME_NEVER;
  f.last_tick = kq_time_now ();
  ev_timer_init (&tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
  tick.data = &f;
  ev_timer_start (kq_loop_ev (loop), &tick);
  if (o->store != NULL)
    ev_timer_start (kq_loop_ev (loop), &registering);
  kq_loop_run (loop);
  return 0;
}

int
main (int argc, char **argv)
{
  Options o = { .count = 1,
                .region = "north",
                .depot = "d1",
                .prefix = "w",
                .rack_size = 8,
                .first_rack = 1,
                .cpu_milli = 16000,
                .memory_mb = 60000,
                .runners = 1,
                .slots = 8,
                .connections = 64,
                .services = "",
                .usage_lag_ms = 5000 };
  const GOptionEntry options[] = {
    { "port", 0, 0, G_OPTION_ARG_INT, &o.port, "Port; 0: the kernel's", "N" },
    { "count", 0, 0, G_OPTION_ARG_INT, &o.count, "Workers in this process", "N" },
    { "store", 0, 0, G_OPTION_ARG_STRING, &o.store, "Where to register", "URL" },
    { "region", 0, 0, G_OPTION_ARG_STRING, &o.region, "Region", "NAME" },
    { "depot", 0, 0, G_OPTION_ARG_STRING, &o.depot, "Depot", "NAME" },
    { "prefix", 0, 0, G_OPTION_ARG_STRING, &o.prefix, "Of the workers' names", "NAME" },
    { "rack-size", 0, 0, G_OPTION_ARG_INT, &o.rack_size, "Workers to a rack", "N" },
    { "first-rack", 0, 0, G_OPTION_ARG_INT, &o.first_rack, "First rack's number", "N" },
    { "cpu-milli", 0, 0, G_OPTION_ARG_INT, &o.cpu_milli, "Of each worker", "N" },
    { "memory-mb", 0, 0, G_OPTION_ARG_INT, &o.memory_mb, "Of each worker", "N" },
    { "accelerators", 0, 0, G_OPTION_ARG_INT, &o.accelerators, "Of each worker", "N" },
    { "runners", 0, 0, G_OPTION_ARG_INT, &o.runners, "For each worker, 0 to 16", "N" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &o.slots, "For each runner", "N" },
    { "connections", 0, 0, G_OPTION_ARG_INT, &o.connections, "For each runner", "N" },
    { "services", 0, 0, G_OPTION_ARG_STRING, &o.services, "Served; none: all", "A,B" },
    { "usage-lag-ms", 0, 0, G_OPTION_ARG_INT, &o.usage_lag_ms, "Of reports", "MS" },
    { 0 },
  };
  kq_web_options ("- the platform's workers, for tests", options, argc, argv);
  if (o.count < 1 || o.rack_size < 1 || o.runners < 0 || o.runners > RUNNERS_MAX)
    {
      fputs ("standin-worker: An option is out of range; see --help.\n", stderr);
      return 2;
    }
  return run (&o);
}
