#include "ctl/ctl.h"
#include "ctl/rows.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#define USAGE                                                                            \
  "kumquatctl table show [KIND]\n"                                                       \
  "           table get KIND NAME\n"                                                     \
  "           table set KIND NAME FIELD=VALUE...   (--revision N: as seen then)\n"       \
  "           table add KIND NAME [FIELD=VALUE...]\n"                                    \
  "           table rm KIND NAME\n"                                                      \
  "           table export [KIND]                  CSV to standard output\n"             \
  "           table import FILE [--dry-run] [--prune]\n"                                 \
  "           table wait REVISION                  until in force on every node\n"       \
  "kinds: service, class, team, worker, caller, policy\n"

#define POLL_PERIOD_NS 200000000L

static int
show_kind (const KqCtl *c, KqRowKind kind, const json_t *all)
{
  KqCtlColumn columns[64] = { { "NAME", "name" }, { "REV", "revision" } };
  int n_fields;
  const KqRowField *f = kq_row_fields (kind, &n_fields);
  json_t *rows = kq_ctl_rows_of (all, kind);
  size_t n = 2;
  for (int i = 0; i < n_fields && n < 64; i++)
    {
      bool token = f[i].type == KQ_FIELD_TOKEN;
      columns[n].title = f[i].name;
      columns[n++].path = token ? "has_token" : f[i].name;
    }
  if (json_array_size (rows) > 0)
    {
      printf ("%s\n", kq_row_kind_name (kind));
      kq_ctl_print (stdout, c->color, columns, n, rows);
      printf ("\n");
    }
  json_decref (rows);
  return KQ_EXIT_OK;
}

static int
show_table (const KqCtl *c, const char *kind_name)
{
  KqRowKind only = KQ_ROW_KINDS;
  json_t *all;
  if (kind_name != NULL && !kq_row_kind_parse (kq_str (kind_name), &only))
    return kq_ctl_usage (USAGE);
  int code = kq_ctl_get (c, "/v1/table", &all);
  if (code != KQ_EXIT_OK)
    return code;
  if (c->json)
    kq_ctl_print_json (all);
  else
    {
      printf ("revision %lld\n\n",
              (long long)json_integer_value (json_object_get (all, "revision")));
      for (int k = 0; k < KQ_ROW_KINDS; k++)
        if (only == KQ_ROW_KINDS || only == (KqRowKind)k)
          show_kind (c, (KqRowKind)k, all);
    }
  json_decref (all);
  return KQ_EXIT_OK;
}

static int
get_row (const KqCtl *c, KqRowKind kind, const char *name)
{
  KqRow row;
  int code = kq_ctl_read_row (c, kind, name, &row);
  if (code != KQ_EXIT_OK)
    return code;
  json_t *o = kq_row_to_json (&row, false);
  kq_ctl_show_object (c, o);
  json_decref (o);
  return KQ_EXIT_OK;
}

static void
print_fault (const KqRowFault *f)
{
  fprintf (stderr, "kumquatctl: %.*s (%d %s): %s\n", KQ_STR_ARG (kq_name_str (&f->field)),
           (int)f->code, kq_result_name (f->code), f->allowed);
}

/* Sets the row's fields from FIELD=VALUE arguments; all faults are reported. */
static bool
apply_args (KqRow *row, int n, char **args)
{
  bool ok = true;
  KqRowFault fault = { 0 };
  for (int i = 0; i < n; i++)
    {
      KqStr value = kq_str (args[i]);
      KqStr field = kq_str_cut (&value, '=');
      if (strchr (args[i], '=') == NULL)
        {
          fprintf (stderr, "kumquatctl: %s: expected FIELD=VALUE\n", args[i]);
          ok = false;
        }
      else if (kq_row_set_text (row, field, value, &fault) != KQ_OK)
        {
          print_fault (&fault);
          ok = false;
        }
    }
  if (!ok || kq_row_check (row, &fault))
    return ok;
  print_fault (&fault);
  return false;
}

static void
print_revision (const KqCtl *c, json_t *answer)
{
  if (c->json)
    kq_ctl_print_json (answer);
  else
    printf ("revision %lld\n",
            (long long)json_integer_value (json_object_get (answer, "revision")));
  json_decref (answer);
}

static int
write_row (const KqCtl *c, const char *method, const KqRow *row, const char *match,
           const char *token)
{
  KqBuf path = { 0 };
  json_t *answer;
  json_t *fields = kq_ctl_row_fields (row, token != NULL);
  char *body = json_dumps (fields, JSON_COMPACT);
  bool removal = strcmp (method, "DELETE") == 0;
  kq_buf_printf (&path, "/v1/table/%s/%.*s", kq_row_kind_name (row->kind),
                 KQ_STR_ARG (kq_name_str (&row->name)));
  int code = kq_ctl_call (c, method, path.ptr, match,
                          removal ? KQ_STR ("") : kq_str (body), &answer);
  if (code == KQ_EXIT_OK)
    print_revision (c, answer);
  kq_buf_free (&path);
  free (body);
  json_decref (fields);
  return code;
}

/* The node doesn't return a row's token, so a token is sent only if it is among the
 * arguments. */
static const char *
token_arg (int n, char **args)
{
  for (int i = 0; i < n; i++)
    if (strncmp (args[i], "token=", 6) == 0)
      return args[i];
  return NULL;
}

/* Sends the whole row with the revision at which it was read, or --revision. If another
 * operator has changed the row since, the node refuses, so their change isn't undone. */
static int
change_row (const KqCtl *c, KqRowKind kind, const char *name, int n, char **args,
            bool removal)
{
  KqRow row;
  char match[64];
  int code = kq_ctl_read_row (c, kind, name, &row);
  if (code != KQ_EXIT_OK)
    return code;
  if (c->revision != NULL)
    snprintf (match, sizeof match, "If-Match: \"%.20s\"", c->revision);
  else
    snprintf (match, sizeof match, "If-Match: \"%llu\"",
              (unsigned long long)row.revision);
  if (removal)
    return write_row (c, "DELETE", &row, match, NULL);
  if (!apply_args (&row, n, args))
    return KQ_EXIT_USAGE;
  return write_row (c, "PUT", &row, match, token_arg (n, args));
}

static int
add_row (const KqCtl *c, KqRowKind kind, const char *name, int n, char **args)
{
  KqRow row = kq_row_default (kind, kq_str (name));
  if (!apply_args (&row, n, args))
    return KQ_EXIT_USAGE;
  return write_row (c, "PUT", &row, "If-None-Match: *", token_arg (n, args));
}

/* Returns how many live nodes have an older revision and appends their names; -1 if the
 * request fails, with *code as the exit code. */
static int
count_lagging_nodes (const KqCtl *c, int64_t revision, json_t *names, int *code)
{
  json_t *nodes;
  json_t *node;
  size_t i;
  *code = kq_ctl_get (c, "/v1/nodes", &nodes);
  if (*code != KQ_EXIT_OK)
    return -1;
  json_array_foreach (nodes, i, node)
  {
    const char *state = json_string_value (json_object_get (node, "state"));
    if (state != NULL && strcmp (state, "alive") == 0
        && json_integer_value (json_object_get (node, "table_revision")) < revision)
      json_array_append (names, json_object_get (node, "name"));
  }
  json_decref (nodes);
  return (int)json_array_size (names);
}

static int
wait_for_revision (const KqCtl *c, const char *text)
{
  struct timespec pause = { 0, POLL_PERIOD_NS };
  int64_t revision;
  if (!kq_str_to_i64 (kq_str (text), &revision) || revision < 0)
    return kq_ctl_usage (USAGE);
  for (int64_t left = (int64_t)c->timeout_s * 1000000000L / POLL_PERIOD_NS;; left--)
    {
      json_t *names = json_array ();
      int code;
      int n = count_lagging_nodes (c, revision, names, &code);
      if (n > 0 && left <= 0)
        {
          char *list = json_dumps (names, JSON_COMPACT);
          fprintf (stderr, "kumquatctl: not yet in force on %s\n", list);
          free (list);
          code = KQ_EXIT_TIMEOUT;
        }
      json_decref (names);
      if (n == 0 && !c->json)
        printf ("revision %lld is in force on every node\n", (long long)revision);
      if (n <= 0 || code != KQ_EXIT_OK)
        return code;
      nanosleep (&pause, NULL);
    }
}

int
kq_ctl_table (KqCtl *c, int n, char **args)
{
  const char *verb = n > 0 ? args[0] : "show";
  KqRowKind kind = KQ_ROW_KINDS;
  if (strcmp (verb, "show") == 0 && n <= 2)
    return show_table (c, n == 2 ? args[1] : NULL);
  if (strcmp (verb, "export") == 0)
    return kq_ctl_csv_export (c, n - 1, args + 1);
  if (strcmp (verb, "import") == 0)
    return kq_ctl_csv_import (c, n - 1, args + 1);
  if (strcmp (verb, "wait") == 0 && n == 2)
    return wait_for_revision (c, args[1]);
  if (n < 3 || !kq_row_kind_parse (kq_str (args[1]), &kind)
      || !kq_name_valid (kq_str (args[2])))
    return kq_ctl_usage (USAGE);
  if (strcmp (verb, "get") == 0 && n == 3)
    return get_row (c, kind, args[2]);
  if (strcmp (verb, "set") == 0 && n > 3)
    return change_row (c, kind, args[2], n - 3, args + 3, false);
  if (strcmp (verb, "add") == 0)
    return add_row (c, kind, args[2], n - 3, args + 3);
  if (strcmp (verb, "rm") == 0 && n == 3)
    return change_row (c, kind, args[2], 0, NULL, true);
  return kq_ctl_usage (USAGE);
}
