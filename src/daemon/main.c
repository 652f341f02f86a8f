/* kumquatd: reads the settings file, starts the node's tasks on one event loop and runs
 * until SIGTERM or SIGINT. A file with a section [fleet] starts a fleet node
 * (FleetDaemon), which runs jobs of steps on a platform's runners. Any other file starts
 * an entry host (Daemon), which forwards callers' requests to runners and runs jobs on
 * workers. */

#include "api/operator.h"
#include "base/log.h"
#include "base/rand.h"
#include "fleet/fleet.h"
#include "node/node_task.h"
#include "port/store_http.h"
#include "port/worker_http.h"
#include "request/gateway.h"
#include "request/runner_task.h"

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define PART "daemon"
#define VERSION "0.1.0"
/* A mesh connection is replaced if nothing arrived for this many heartbeat periods. */
#define MESH_SILENCE_HEARTBEATS 6

#define LARGE_BUFFER_BYTES (128 * 1024)

/* Period of checks for clients that take too long. */
#define LIMITS_PERIOD_S 0.5

/* Period of checks for a changed settings file, so that a change needs no SIGHUP. */
#define SETTINGS_POLL_PERIOD_S 2.0

/* Exit codes; also in kumquatd(8). */
enum
{
  EXIT_CLEAN = 0,
  EXIT_INCOMPLETE = 1, /* stopped while work was still in progress */
  EXIT_SETTINGS = 2,   /* settings or arguments are wrong */
  EXIT_BIND = 3        /* an address can't be bound */
};

typedef struct
{
  KqSettings settings;
  KqLoop *loop;
  KqCounters *counters;
  KqClientLimits *limits;
  ev_timer limits_timer;
  KqMesh *mesh;
  KqStorePort *store;
  KqWorkerPort *workers;
  KqGateway *gateway;
  KqRunnerTask *runners;
  KqOperator *operators;
  KqNodeTask *node;
  ev_signal on_term;
  ev_signal on_int;
  ev_signal on_hup;
  bool stopping;
  int exit_code;
} Daemon;

static void
stop_loop (Daemon *d, int code)
{
  d->exit_code = code;
  kq_loop_stop (d->loop);
}

static void
on_stopped (void *arg, bool clean)
{
  Daemon *d = arg;
  if (clean)
    kq_log (KQ_LOG_INFO, PART, "Stopped; nothing was cut.");
  else
    kq_log (KQ_LOG_ERROR, PART, "Stop limit passed. callers_cut=%zu runners_cut=%zu",
            kq_gateway_open_requests (d->gateway),
            kq_runner_task_open_flights (d->runners));
  stop_loop (d, clean ? EXIT_CLEAN : EXIT_INCOMPLETE);
}

/* The first signal starts a planned stop. The second one stops at once and logs how much
 * work is cut off. */
static void
on_stop_signal (struct ev_loop *ev, ev_signal *w, int events)
{
  Daemon *d = w->data;
  (void)ev;
  (void)events;
  if (!d->stopping)
    {
      d->stopping = true;
      kq_node_task_drain (d->node, kq_time_now ());
      return;
    }
  kq_log (KQ_LOG_ERROR, PART,
          "Stopped at once by a second signal. callers_cut=%zu runners_cut=%zu",
          kq_gateway_open_requests (d->gateway),
          kq_runner_task_open_flights (d->runners));
  stop_loop (d, EXIT_INCOMPLETE);
}

static void
on_hup_signal (struct ev_loop *ev, ev_signal *w, int events)
{
  (void)ev;
  (void)w;
  (void)events;
  kq_log (KQ_LOG_WARN, PART,
          "SIGHUP ignored: configuration changes go through the table.");
}

static void
start_signals (Daemon *d)
{
  struct ev_loop *ev = kq_loop_ev (d->loop);
  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&d->on_term, on_stop_signal, SIGTERM);
  ev_signal_init (&d->on_int, on_stop_signal, SIGINT);
  ev_signal_init (&d->on_hup, on_hup_signal, SIGHUP);
  d->on_term.data = d->on_int.data = d->on_hup.data = d;
  ev_signal_start (ev, &d->on_term);
  ev_signal_start (ev, &d->on_int);
  ev_signal_start (ev, &d->on_hup);
}

static bool
is_ready (void *arg, KqTime now, const char **why)
{
  return kq_node_task_ready (arg, now, why);
}

static KqNodeInfo
node_info (const KqSettings *s, uint64_t incarnation, int mesh_port, int operator_port)
{
  KqNodeInfo i = { 0 };
  char address[64];
  i.id = kq_str_hash (kq_name_str (&s->node));
  i.name = s->node;
  i.region = s->region;
  i.depot = s->depot;
  i.incarnation = incarnation;
  snprintf (address, sizeof address, "%s:%d", s->mesh_ip, mesh_port);
  i.mesh_address = kq_name (kq_str (address));
  snprintf (address, sizeof address, "%s:%d", s->operator_ip, operator_port);
  i.operator_address = kq_name (kq_str (address));
  return i;
}

static bool
make_mesh (Daemon *d, uint64_t incarnation)
{
  const KqSettings *s = &d->settings;
  KqMeshConfig c = { .id = kq_str_hash (kq_name_str (&s->node)),
                     .incarnation = incarnation,
                     .cluster = kq_name_str (&s->cluster),
                     .node = kq_name_str (&s->node),
                     .region = kq_name_str (&s->region),
                     .depot = kq_name_str (&s->depot),
                     .secret = kq_str (s->secret),
                     .ip = s->mesh_ip,
                     .port = s->mesh_port,
                     .silence = MESH_SILENCE_HEARTBEATS * s->heartbeat_ms * KQ_MS,
                     .counters = d->counters,
                     .receiver = kq_node_task_get_task (d->node),
                     .limits = d->limits };
  d->mesh = kq_mesh_new (d->loop, &c);
  return d->mesh != NULL;
}

static void
make_platform_clients (Daemon *d)
{
  KqStoreHttpConfig store = { .url = kq_str (d->settings.store_url),
                              .calls_per_second = (int)d->settings.store_calls_per_s,
                              .counters = d->counters,
                              .receiver = kq_node_task_get_task (d->node) };
  KqWorkerHttpConfig workers
      = { .counters = d->counters, .receiver = kq_node_task_get_task (d->node) };
  d->store = kq_store_http_new (d->loop, &store);
  d->workers = kq_worker_http_new (d->loop, &workers);
}

static bool
make_gateway (Daemon *d, uint64_t incarnation)
{
  KqNodeId self = kq_str_hash (kq_name_str (&d->settings.node));
  KqGatewayConfig g = { .settings = &d->settings,
                        .self = self,
                        .incarnation = incarnation,
                        .counters = d->counters,
                        .mesh = kq_mesh_task (d->mesh),
                        .node = kq_node_task_get_task (d->node),
                        .limits = d->limits };
  KqRunnerTaskConfig r = { .self = self,
                           .incarnation = incarnation,
                           .counters = d->counters,
                           .mesh = kq_mesh_task (d->mesh),
                           .node = kq_node_task_get_task (d->node),
                           .limits = d->limits };
  KqOperatorConfig o = { .settings = &d->settings,
                         .self = self,
                         .counters = d->counters,
                         .mesh = kq_mesh_task (d->mesh),
                         .limits = d->limits,
                         .ready = is_ready,
                         .arg = d->node };
  d->runners = kq_runner_task_new (d->loop, &r);
  d->gateway = kq_gateway_new (d->loop, &g);
  if (d->gateway == NULL)
    return false;
  d->operators = kq_operator_new (d->loop, &o);
  return d->operators != NULL;
}

static void
start_node (Daemon *d, uint64_t incarnation)
{
  const KqSettings *s = &d->settings;
  int mesh = kq_mesh_port (d->mesh);
  int operators = kq_operator_port (d->operators);
  KqNodeTaskPeers peers = { .mesh = d->mesh,
                            .store = kq_store_http_task (d->store),
                            .workers = kq_worker_http_task (d->workers),
                            .gateway = kq_gateway_task (d->gateway),
                            .runners = kq_runner_task_get_task (d->runners),
                            .operators = kq_operator_task (d->operators) };
  KqCoreConfig core = { .settings = s,
                        .self = node_info (s, incarnation, mesh, operators),
                        .seed = incarnation,
                        .counters = d->counters };
  kq_node_task_start (d->node, &peers, &core);
  kq_log (KQ_LOG_INFO, PART, "Listening. node=%.*s mesh=%d callers=%d operators=%d",
          KQ_STR_ARG (kq_name_str (&s->node)), mesh, kq_gateway_port (d->gateway),
          operators);
}

static void
on_limits_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  Daemon *d = w->data;
  (void)ev;
  (void)events;
  kq_client_limits_expire (d->limits, kq_time_now ());
}

static void
start_limits_timer (Daemon *d)
{
  ev_timer_init (&d->limits_timer, on_limits_timer, LIMITS_PERIOD_S, LIMITS_PERIOD_S);
  d->limits_timer.data = d;
  ev_timer_start (kq_loop_ev (d->loop), &d->limits_timer);
}

static int
run (Daemon *d)
{
  uint64_t incarnation = kq_rand_system ();
  KqNodeTaskConfig nc = { .stopped = on_stopped, .arg = d };
  curl_global_init (CURL_GLOBAL_DEFAULT);
  kq_log_set_level ((KqLogLevel)d->settings.log_level);
  d->loop = kq_loop_new ();
  d->counters = kq_counters_new ();
  d->limits = kq_client_limits_new (&d->settings.limits, d->counters);
  nc.counters = d->counters;
  d->node = kq_node_task_new (d->loop, &nc);
  make_platform_clients (d);
  if (make_mesh (d, incarnation) && make_gateway (d, incarnation))
    {
      start_node (d, incarnation);
      start_signals (d);
      start_limits_timer (d);
      kq_loop_run (d->loop);
    }
  else
    {
      kq_log (KQ_LOG_ERROR, PART, "An address can't be bound; see the settings.");
      d->exit_code = EXIT_BIND;
    }
  kq_operator_free (d->operators);
  kq_gateway_free (d->gateway);
  kq_runner_task_free (d->runners);
  kq_worker_http_free (d->workers);
  kq_store_http_free (d->store);
  kq_mesh_free (d->mesh);
  kq_node_task_free (d->node);
  kq_client_limits_free (d->limits);
  kq_counters_free (d->counters);
  kq_loop_free (d->loop);
  curl_global_cleanup ();
  return d->exit_code;
}

/* The fleet node (settings/fleet_settings.h). */

/* Limit of log lines on standard output. A line costs about 5 us, so 2000 lines per
 * second and core use 1% of the node's cpu share. The minimum applies to small shares. */
#define LOG_LINES_PER_S_MIN 200
#define LOG_LINES_PER_S_PER_CORE 2000

typedef struct
{
  KqLoop *loop;
  KqFleet *fleet;
  const char *path;
  ev_signal on_term;
  ev_signal on_int;
  ev_signal on_hup;
  int exit_code;
  struct stat settings_stat; /* of the settings file, when it was last checked */
  ev_timer settings_poll;
} FleetDaemon;

static bool
read_file (const char *path, KqBuf *out)
{
  gchar *text = NULL;
  gsize n = 0;
  if (!g_file_get_contents (path, &text, &n, NULL))
    return false;
  kq_buf_add (out, text, n);
  g_free (text);
  return true;
}

static void
print_faults (const KqSettingsFault *faults, int n)
{
  for (int i = 0; i < n && i < KQ_SETTINGS_FAULTS_MAX; i++)
    {
      KqBuf line = { 0 };
      kq_settings_fault_print (&faults[i], &line);
      fprintf (stderr, "%s\n", line.ptr);
      kq_buf_free (&line);
    }
}

static bool
load_fleet_settings (const char *path, KqFleetSettings *out)
{
  KqSettingsFault faults[KQ_SETTINGS_FAULTS_MAX];
  KqBuf text = { 0 };
  int n = 1;
  if (read_file (path, &text))
    {
      n = kq_fleet_settings_parse (kq_buf_str (&text), out, faults,
                                   KQ_SETTINGS_FAULTS_MAX);
      print_faults (faults, n);
    }
  else
    fprintf (stderr, "kumquatd: %s can't be read\n", path);
  kq_buf_free (&text);
  return n == 0;
}

static bool
is_fleet (const char *path)
{
  KqBuf text = { 0 };
  bool yes = read_file (path, &text) && kq_fleet_settings_detect (kq_buf_str (&text));
  kq_buf_free (&text);
  return yes;
}

/* Returns whether the settings file has changed since the last call. */
static bool
check_settings_file (FleetDaemon *d)
{
  struct stat now;
  bool differs;
  if (stat (d->path, &now) != 0)
    return false; /* being replaced; the next check sees the new file */
  differs = now.st_ino != d->settings_stat.st_ino
            || now.st_size != d->settings_stat.st_size
            || now.st_mtim.tv_sec != d->settings_stat.st_mtim.tv_sec
            || now.st_mtim.tv_nsec != d->settings_stat.st_mtim.tv_nsec;
  d->settings_stat = now;
  return differs;
}

static void
on_fleet_stopped (void *arg, bool clean)
{
  FleetDaemon *d = arg;
  kq_log (KQ_LOG_INFO, PART, "Stopped. whole=%d", clean);
  d->exit_code = clean ? EXIT_CLEAN : EXIT_INCOMPLETE;
  kq_loop_stop (d->loop);
}

static void
on_fleet_stop_signal (struct ev_loop *ev, ev_signal *w, int events)
{
  FleetDaemon *d = w->data;
  (void)ev;
  (void)events;
  kq_fleet_stop (d->fleet, kq_time_now ());
}

/* Reads the settings file again. Only the log level is applied; all other settings, such
 * as addresses and bounds, take effect at the next start. */
static void
reload_fleet (FleetDaemon *d, const char *cause)
{
  KqFleetSettings s;
  if (!load_fleet_settings (d->path, &s))
    {
      kq_log (KQ_LOG_ERROR, PART,
              "Settings not reloaded: the file has faults. cause=%s file=%s", cause,
              d->path);
      return;
    }
  kq_log_set_level ((KqLogLevel)s.log_level);
  kq_log (KQ_LOG_INFO, PART, "Settings reloaded. cause=%s log_level=%d", cause,
          s.log_level);
}

static void
on_fleet_hup_signal (struct ev_loop *ev, ev_signal *w, int events)
{
  FleetDaemon *d = w->data;
  (void)ev;
  (void)events;
  reload_fleet (d, "SIGHUP");
  check_settings_file (d); /* so that the poll doesn't reload it again */
}

static void
on_settings_poll (struct ev_loop *ev, ev_timer *w, int events)
{
  FleetDaemon *d = w->data;
  (void)ev;
  (void)events;
  if (check_settings_file (d))
    reload_fleet (d, "file changed");
}

static void
start_fleet_signals (FleetDaemon *d)
{
  struct ev_loop *ev = kq_loop_ev (d->loop);
  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&d->on_term, on_fleet_stop_signal, SIGTERM);
  ev_signal_init (&d->on_int, on_fleet_stop_signal, SIGINT);
  ev_signal_init (&d->on_hup, on_fleet_hup_signal, SIGHUP);
  d->on_term.data = d->on_int.data = d->on_hup.data = d;
  ev_signal_start (ev, &d->on_term);
  ev_signal_start (ev, &d->on_int);
  ev_signal_start (ev, &d->on_hup);
  check_settings_file (d);
  ev_timer_init (&d->settings_poll, on_settings_poll, SETTINGS_POLL_PERIOD_S,
                 SETTINGS_POLL_PERIOD_S);
  d->settings_poll.data = d;
  ev_timer_start (ev, &d->settings_poll);
}

static int
run_fleet (const char *path, const KqFleetSettings *s)
{
  FleetDaemon d = { .path = path, .exit_code = EXIT_BIND };
  KqFleetConfig c = { .settings = s, .stopped = on_fleet_stopped, .arg = &d };
  curl_global_init (CURL_GLOBAL_DEFAULT);
  kq_log_set_level ((KqLogLevel)s->log_level);
  kq_log_to_stdout (
      (int)(s->cpu_share_milli * LOG_LINES_PER_S_PER_CORE / 1000 > LOG_LINES_PER_S_MIN
                ? s->cpu_share_milli * LOG_LINES_PER_S_PER_CORE / 1000
                : LOG_LINES_PER_S_MIN));
  d.loop = c.loop = kq_loop_new ();
  c.counters = kq_counters_new ();
  start_fleet_signals (&d);
  d.fleet = kq_fleet_new (&c);
  if (d.fleet != NULL)
    {
      int ports[4];
      kq_fleet_ports (d.fleet, &ports[0], &ports[1], &ports[2], &ports[3]);
      kq_log (KQ_LOG_INFO, PART,
              "Started. front=%d ready=%d peers=%d metrics=%d node=%.*s store=%s "
              "version=" VERSION,
              ports[0], ports[1], ports[2], ports[3], KQ_STR_ARG (kq_name_str (&s->node)),
              s->store);
      kq_log_flush ();
      kq_loop_run (d.loop);
    }
  else
    kq_log (KQ_LOG_ERROR, PART, "An address can't be bound; see the settings.");
  kq_log_flush ();
  kq_fleet_free (d.fleet);
  kq_counters_free (c.counters);
  kq_loop_free (d.loop);
  curl_global_cleanup ();
  return d.exit_code;
}

static bool
load_settings (const char *path, KqSettings *out)
{
  KqSettingsFault faults[KQ_SETTINGS_FAULTS_MAX];
  int n = kq_settings_load (path, out, faults, KQ_SETTINGS_FAULTS_MAX);
  print_faults (faults, n);
  return n == 0;
}

/* Keeps large buffers out of the heap, so that they are returned to the system when they
 * are freed. By default the C library raises the threshold with the first one. */
static void
set_up_allocator (void)
{
  mallopt (M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
  mallopt (M_TRIM_THRESHOLD, LARGE_BUFFER_BYTES);
}

/* From the command line; 0: as in the settings. */
static gint64 option_memory_mb;
static gint64 option_max_fds;

/* Puts the options in the place of the settings. False: one is out of its range. */
static bool
apply_limit_options (KqClientLimitsConfig *c)
{
  if (option_memory_mb != 0)
    c->memory_mb = option_memory_mb;
  if (option_max_fds != 0)
    c->max_fds = option_max_fds;
  if (c->memory_mb >= KQ_LIMIT_MEMORY_MB_MIN && c->memory_mb <= KQ_LIMIT_MAX
      && c->max_fds >= KQ_LIMIT_MAX_FDS_MIN && c->max_fds <= KQ_LIMIT_MAX)
    return true;
  fprintf (stderr, "kumquatd: --memory-mb: %d to %d, --max-fds: %d to %d (%d %s)\n",
           KQ_LIMIT_MEMORY_MB_MIN, KQ_LIMIT_MAX, KQ_LIMIT_MAX_FDS_MIN, KQ_LIMIT_MAX,
           KQ_ERR_SETTINGS_RANGE, kq_result_name (KQ_ERR_SETTINGS_RANGE));
  return false;
}

int
main (int argc, char **argv)
{
  static Daemon d;
  static KqFleetSettings fleet;
  gchar *settings = NULL;
  gchar *check = NULL;
  gboolean version = FALSE;
  GOptionEntry entries[]
      = { { "settings", 's', 0, G_OPTION_ARG_FILENAME, &settings, "Settings file",
            "FILE" },
          { "check-settings", 0, 0, G_OPTION_ARG_FILENAME, &check,
            "Check a settings file, print every fault, and exit", "FILE" },
          { "memory-mb", 0, 0, G_OPTION_ARG_INT64, &option_memory_mb,
            "In place of limits.memory_mb in the settings", "N" },
          { "max-fds", 0, 0, G_OPTION_ARG_INT64, &option_max_fds,
            "In place of limits.max_fds in the settings", "N" },
          { "version", 'V', 0, G_OPTION_ARG_NONE, &version, "Print the version", NULL },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  GOptionContext *options = g_option_context_new ("- entry host of kumquatfield");
  GError *error = NULL;
  int code = EXIT_SETTINGS;

  set_up_allocator ();
  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &error))
    fprintf (stderr, "kumquatd: %s\n", error->message);
  else if (version)
    {
      puts ("kumquatd " VERSION);
      code = EXIT_CLEAN;
    }
  else if (check != NULL && is_fleet (check))
    {
      if (load_fleet_settings (check, &fleet))
        code = EXIT_CLEAN;
    }
  else if (check != NULL)
    {
      if (load_settings (check, &d.settings))
        code = EXIT_CLEAN;
    }
  else if (settings == NULL)
    fprintf (stderr, "kumquatd: --settings FILE is needed; see --help\n");
  else if (is_fleet (settings))
    {
      if (load_fleet_settings (settings, &fleet) && apply_limit_options (&fleet.limits))
        code = run_fleet (settings, &fleet);
    }
  else if (load_settings (settings, &d.settings)
           && apply_limit_options (&d.settings.limits))
    code = run (&d);
  g_clear_error (&error);
  g_option_context_free (options);
  g_free (settings);
  g_free (check);
  return code;
}
