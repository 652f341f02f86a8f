/* kumquatctl: the command line tool of operators. */

#include "ctl/ctl.h"

#include <curl/curl.h>
#include <glib.h>

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define VERSION "0.1.0"
#define TOKEN_MAX 4096

typedef struct
{
  const char *name;
  int (*run) (KqCtl *c, int n, char **args);
  const char *help;
} Group;

static const Group groups[] = {
  { "table", kq_ctl_table, "show, get, set, add, rm, export, import, wait" },
  { "job", kq_ctl_job, "submit, show, list, cancel" },
  { "worker", kq_ctl_worker, "list" },
  { "node", kq_ctl_node, "list, show, drain, log-level" },
  { "fleet", kq_ctl_fleet, "explain, load, cordons: of a node's fleet" },
  { "shard", kq_ctl_shard, "list" },
  { "top", kq_ctl_top, "a view that refreshes" },
  { "explain", kq_ctl_explain, "why a job waits, or how a request ended" },
  { "account", kq_ctl_account, "what was taken and how it ended; must balance" },
  { "results", kq_ctl_results, "the numbered result codes (--markdown)" },
  { "reference", kq_ctl_reference, "settings and table fields, for manual pages" },
};

static char *
groups_help (void)
{
  KqBuf b = { 0 };
  kq_buf_printf (&b, "Commands:\n");
  for (size_t i = 0; i < sizeof groups / sizeof groups[0]; i++)
    kq_buf_printf (&b, "  %-10s %s\n", groups[i].name, groups[i].help);
  kq_buf_printf (&b, "\nEnvironment: KUMQUATCTL_SERVER, KUMQUATCTL_TOKEN. Exit codes: "
                     "kumquatctl(1).");
  return b.ptr;
}

/* The token comes from a file or the environment, never from the command line, which
 * other users can read. */
static bool
read_token (const char *path, KqCtl *c)
{
  const char *env = getenv ("KUMQUATCTL_TOKEN");
  char text[TOKEN_MAX];
  if (path == NULL)
    {
      c->token = env != NULL ? kq_str_dup (kq_str (env)) : NULL;
      return true;
    }
  FILE *f = fopen (path, "rb");
  if (f == NULL)
    {
      fprintf (stderr, "kumquatctl: %s: can't be read\n", path);
      return false;
    }
  size_t n = fread (text, 1, sizeof text, f);
  fclose (f);
  c->token = kq_str_dup (kq_str_trim (kq_str_n (text, n)));
  return true;
}

static int
run_command (KqCtl *c, int n, char **args)
{
  if (n < 1)
    return kq_ctl_usage ("kumquatctl [OPTIONS] COMMAND [WORDS]; see kumquatctl --help\n");
  for (size_t i = 0; i < sizeof groups / sizeof groups[0]; i++)
    if (strcmp (args[0], groups[i].name) == 0)
      return groups[i].run (c, n - 1, args + 1);
  fprintf (stderr, "kumquatctl: %s: no such command\n", args[0]);
  return KQ_EXIT_USAGE;
}

/* Options that aren't parsed directly into KqCtl: its flags are bool, while GLib writes
 * gboolean, an int. */
typedef struct
{
  char *token_file;
  char *node;
  gboolean version;
  gboolean json;
  gboolean no_color;
  gboolean dry_run;
  gboolean prune;
  gboolean markdown; /* ignored; `results` always prints markdown */
} Options;

/* GLib reports any other argument that begins with "-" as an error. */
static bool
read_options (int *argc, char ***argv, KqCtl *c, Options *o)
{
  const GOptionEntry entries[] = {
    { "server", 's', 0, G_OPTION_ARG_STRING, &c->server, "A node's operators' address",
      "URL" },
    { "token-file", 't', 0, G_OPTION_ARG_FILENAME, &o->token_file, "Bearer token",
      "FILE" },
    { "node", 'n', 0, G_OPTION_ARG_STRING, &o->node,
      "Ask this node; for fleet its metrics port", "NAME" },
    { "timeout", 0, 0, G_OPTION_ARG_INT, &c->timeout_s, "For each call, and table wait",
      "SECONDS" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &o->json, "Print JSON", NULL },
    { "no-color", 0, 0, G_OPTION_ARG_NONE, &o->no_color, "No colours on a terminal",
      NULL },
    { "dry-run", 0, 0, G_OPTION_ARG_NONE, &o->dry_run, "table import: show only", NULL },
    { "prune", 0, 0, G_OPTION_ARG_NONE, &o->prune,
      "table import: remove rows the file lacks", NULL },
    { "revision", 0, 0, G_OPTION_ARG_STRING, &c->revision, "table set, rm: as seen",
      "REV" },
    { "shard", 0, 0, G_OPTION_ARG_INT, &c->shard, "job list", "N" },
    { "limit", 0, 0, G_OPTION_ARG_INT, &c->limit, "job list", "N" },
    { "interval", 0, 0, G_OPTION_ARG_INT, &c->interval_s, "top", "SECONDS" },
    { "count", 0, 0, G_OPTION_ARG_INT, &c->count, "top: refresh so often, then end",
      "N" },
    { "team", 0, 0, G_OPTION_ARG_STRING, &c->team, "job submit", "TEAM" },
    { "class", 0, 0, G_OPTION_ARG_STRING, &c->class_name, "job submit", "CLASS" },
    { "priority", 0, 0, G_OPTION_ARG_STRING, &c->priority, "job submit", "PRIORITY" },
    { "key", 0, 0, G_OPTION_ARG_STRING, &c->key, "job submit: idempotency key", "KEY" },
    { "cpu-milli", 0, 0, G_OPTION_ARG_INT64, &c->cpu_milli, "job submit", "N" },
    { "memory-mb", 0, 0, G_OPTION_ARG_INT64, &c->memory_mb, "job submit", "N" },
    { "accelerators", 0, 0, G_OPTION_ARG_INT64, &c->accelerators, "job submit", "N" },
    { "run-ms", 0, 0, G_OPTION_ARG_INT64, &c->run_ms, "job submit", "N" },
    { "markdown", 0, 0, G_OPTION_ARG_NONE, &o->markdown, "results", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &o->version, "Print the version", NULL },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new ("COMMAND [WORDS]");
  GError *error = NULL;
  char *help = groups_help ();
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (context, help);
  bool ok = g_option_context_parse (context, argc, argv, &error);
  if (!ok)
    {
      fprintf (stderr, "kumquatctl: %s\n", error->message);
      g_error_free (error);
    }
  g_option_context_free (context);
  free (help);
  return ok;
}

static void
apply_options (KqCtl *c, const Options *o)
{
  c->json = o->json;
  c->node = o->node;
  c->dry_run = o->dry_run;
  c->prune = o->prune;
  c->color = !o->no_color && isatty (STDOUT_FILENO) && getenv ("NO_COLOR") == NULL;
  if (c->server == NULL)
    {
      const char *env = getenv ("KUMQUATCTL_SERVER");
      c->server = g_strdup (env != NULL ? env : "http://127.0.0.1:7703");
    }
}

int
main (int argc, char **argv)
{
  KqCtl c = { .timeout_s = 10, .shard = -1, .interval_s = 2, .cpu_milli = -1 };
  Options o = { 0 };
  int code = KQ_EXIT_USAGE;
  c.memory_mb = c.accelerators = c.run_ms = -1;
  if (!read_options (&argc, &argv, &c, &o))
    goto out;
  if (o.version)
    {
      printf ("kumquatctl %s\n", VERSION);
      code = KQ_EXIT_OK;
      goto out;
    }
  apply_options (&c, &o);
  if (c.timeout_s < 1 || c.interval_s < 1)
    fprintf (stderr, "kumquatctl: --timeout and --interval must be at least 1\n");
  else if (read_token (o.token_file, &c))
    {
      curl_global_init (CURL_GLOBAL_DEFAULT);
      code = run_command (&c, argc - 1, argv + 1);
      curl_global_cleanup ();
    }
out:
  free (c.token);
  g_free (o.token_file);
  g_free (c.server);
  g_free (o.node);
  return code;
}
