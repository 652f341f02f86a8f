/* kumquatd: reads its settings, wires the tasks together, and runs until told to stop. */

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

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define PART "daemon"
#define VERSION "0.1.0"
/* A mesh connection that was silent for this many heartbeats is replaced. */
#define SILENT_BEATS 6

/* The settings file is looked at so often; a change needn't come with a signal. */
#define SETTINGS_LOOK_S 2.0

/* Exit codes; also in kumquatd(8). */
enum
{
  EXIT_WHOLE = 0,
  EXIT_CUT = 1,      /* stopped with work still open */
  EXIT_SETTINGS = 2, /* settings or arguments are wrong */
  EXIT_BIND = 3      /* an address can't be bound */
};

typedef struct
{
  KqSettings settings;
  KqLoop *loop;
  KqCounters *counters;
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
stop_now (Daemon *d, int code)
{
  d->exit_code = code;
  kq_loop_stop (d->loop);
}

static void
stopped (void *arg, bool whole)
{
  Daemon *d = arg;
  if (whole)
    kq_log (KQ_LOG_INFO, PART, "Stopped; nothing was cut.");
  else
    kq_log (KQ_LOG_ERROR, PART, "Stop limit passed. callers_cut=%zu runners_cut=%zu",
            kq_gateway_open (d->gateway), kq_runner_task_open (d->runners));
  stop_now (d, whole ? EXIT_WHOLE : EXIT_CUT);
}

/* The first signal is a planned stop; the second one ends at once and says what it cut.
 */
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
  kq_log (KQ_LOG_ERROR, PART, "Stopped at once. callers_cut=%zu runners_cut=%zu",
          kq_gateway_open (d->gateway), kq_runner_task_open (d->runners));
  stop_now (d, EXIT_CUT);
}

static void
on_hup_signal (struct ev_loop *ev, ev_signal *w, int events)
{
  (void)ev;
  (void)w;
  (void)events;
  kq_log (KQ_LOG_WARN, PART, "SIGHUP refused: configuration is in the table.");
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
                     .silence = SILENT_BEATS * s->heartbeat_ms * KQ_MS,
                     .counters = d->counters,
                     .receiver = kq_node_task_task (d->node) };
  d->mesh = kq_mesh_new (d->loop, &c);
  return d->mesh != NULL;
}

static void
make_ports (Daemon *d)
{
  KqStoreHttpConfig store = { .url = kq_str (d->settings.store_url),
                              .calls_per_second = (int)d->settings.store_calls_per_s,
                              .counters = d->counters,
                              .receiver = kq_node_task_task (d->node) };
  KqWorkerHttpConfig workers
      = { .counters = d->counters, .receiver = kq_node_task_task (d->node) };
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
                        .node = kq_node_task_task (d->node) };
  KqRunnerTaskConfig r = { .self = self,
                           .incarnation = incarnation,
                           .counters = d->counters,
                           .mesh = kq_mesh_task (d->mesh),
                           .node = kq_node_task_task (d->node) };
  KqOperatorConfig o = { .settings = &d->settings,
                         .self = self,
                         .counters = d->counters,
                         .mesh = kq_mesh_task (d->mesh),
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
                            .runners = kq_runner_task_task (d->runners),
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

static int
run (Daemon *d)
{
  uint64_t incarnation = kq_rand_system ();
  KqNodeTaskConfig nc = { .stopped = stopped, .arg = d };
  curl_global_init (CURL_GLOBAL_DEFAULT);
  kq_log_set_level ((KqLogLevel)d->settings.log_level);
  d->loop = kq_loop_new ();
  d->counters = kq_counters_new ();
  nc.counters = d->counters;
  d->node = kq_node_task_new (d->loop, &nc);
  make_ports (d);
  if (make_mesh (d, incarnation) && make_gateway (d, incarnation))
    {
      start_node (d, incarnation);
      start_signals (d);
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
  kq_counters_free (d->counters);
  kq_loop_free (d->loop);
  curl_global_cleanup ();
  return d->exit_code;
}

/* A node of a fleet (settings/fleet_settings.h). */

/* Lines a second on standard output: a line costs some 5 us, so this is at most 1% of the
 * share of a processor that the host has. */
#define LOG_LINES_PER_S 200
#define LOG_LINES_PER_CORE 2000

typedef struct
{
  KqLoop *loop;
  KqFleet *fleet;
  const char *path;
  ev_signal on_term;
  ev_signal on_int;
  ev_signal on_hup;
  int exit_code;
  struct stat file; /* of the settings, as last looked at */
  ev_timer look;
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
  bool yes = read_file (path, &text) && kq_fleet_settings_is (kq_buf_str (&text));
  kq_buf_free (&text);
  return yes;
}

/* Whether the settings file differs from when it was last looked at. */
static bool
note_settings_file (FleetDaemon *d)
{
  struct stat now;
  bool differs;
  if (stat (d->path, &now) != 0)
    return false; /* it is being replaced; the next look finds the new one */
  differs = now.st_ino != d->file.st_ino || now.st_size != d->file.st_size
            || now.st_mtim.tv_sec != d->file.st_mtim.tv_sec
            || now.st_mtim.tv_nsec != d->file.st_mtim.tv_nsec;
  d->file = now;
  return differs;
}

static void
fleet_stopped (void *arg, bool whole)
{
  FleetDaemon *d = arg;
  kq_log (KQ_LOG_INFO, PART, "Stopped. whole=%d", whole);
  d->exit_code = whole ? EXIT_WHOLE : EXIT_CUT;
  kq_loop_stop (d->loop);
}

static void
on_fleet_stop (struct ev_loop *ev, ev_signal *w, int events)
{
  FleetDaemon *d = w->data;
  (void)ev;
  (void)events;
  kq_fleet_stop (d->fleet, kq_time_now ());
}

/* The log level may change in a process's life. Everything else, addresses and bounds,
 * is in force from the next start on. */
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
on_fleet_reload (struct ev_loop *ev, ev_signal *w, int events)
{
  FleetDaemon *d = w->data;
  (void)ev;
  (void)events;
  reload_fleet (d, "SIGHUP");
  note_settings_file (d); /* or the same change would be read twice */
}

static void
on_settings_look (struct ev_loop *ev, ev_timer *w, int events)
{
  FleetDaemon *d = w->data;
  (void)ev;
  (void)events;
  if (note_settings_file (d))
    reload_fleet (d, "file changed");
}

static void
start_fleet_signals (FleetDaemon *d)
{
  struct ev_loop *ev = kq_loop_ev (d->loop);
  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&d->on_term, on_fleet_stop, SIGTERM);
  ev_signal_init (&d->on_int, on_fleet_stop, SIGINT);
  ev_signal_init (&d->on_hup, on_fleet_reload, SIGHUP);
  d->on_term.data = d->on_int.data = d->on_hup.data = d;
  ev_signal_start (ev, &d->on_term);
  ev_signal_start (ev, &d->on_int);
  ev_signal_start (ev, &d->on_hup);
  note_settings_file (d);
  ev_timer_init (&d->look, on_settings_look, SETTINGS_LOOK_S, SETTINGS_LOOK_S);
  d->look.data = d;
  ev_timer_start (ev, &d->look);
}

static int
run_fleet (const char *path, const KqFleetSettings *s)
{
  FleetDaemon d = { .path = path, .exit_code = EXIT_BIND };
  KqFleetConfig c = { .settings = s, .stopped = fleet_stopped, .arg = &d };
  curl_global_init (CURL_GLOBAL_DEFAULT);
  kq_log_set_level ((KqLogLevel)s->log_level);
  kq_log_to_stdout ((int)(s->cpu_share_milli * LOG_LINES_PER_CORE / 1000 > LOG_LINES_PER_S
                              ? s->cpu_share_milli * LOG_LINES_PER_CORE / 1000
                              : LOG_LINES_PER_S));
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
          { "version", 'V', 0, G_OPTION_ARG_NONE, &version, "Print the version", NULL },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  GOptionContext *options = g_option_context_new ("- entry host of kumquatfield");
  GError *error = NULL;
  int code = EXIT_SETTINGS;

  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &error))
    fprintf (stderr, "kumquatd: %s\n", error->message);
  else if (version)
    {
      puts ("kumquatd " VERSION);
      code = EXIT_WHOLE;
    }
  else if (check != NULL && is_fleet (check))
    {
      if (load_fleet_settings (check, &fleet))
        code = EXIT_WHOLE;
    }
  else if (check != NULL)
    {
      if (load_settings (check, &d.settings))
        code = EXIT_WHOLE;
    }
  else if (settings == NULL)
    fprintf (stderr, "kumquatd: --settings FILE is needed; see --help\n");
  else if (is_fleet (settings))
    {
      if (load_fleet_settings (settings, &fleet))
        code = run_fleet (settings, &fleet);
    }
  else if (load_settings (settings, &d.settings))
    code = run (&d);
  g_clear_error (&error);
  g_option_context_free (options);
  g_free (settings);
  g_free (check);
  return code;
}
