#include "ctl/ctl.h"
#include "ctl/rows.h"

#include <stdlib.h>
#include <string.h>

#define FILE_BYTES_MAX (8 * 1024 * 1024)

int
kq_ctl_csv_export (KqCtl *c, int n, char **args)
{
  KqRowKind only = KQ_ROW_KINDS;
  KqBuf out = { 0 };
  json_t *table;
  if (n > 1 || (n == 1 && !kq_row_kind_parse (kq_str (args[0]), &only)))
    return kq_ctl_usage ("kumquatctl table export [KIND]\n");
  int code = kq_ctl_get (c, "/v1/table", &table);
  if (code != KQ_EXIT_OK)
    return code;
  kq_csv_export (table, only, &out);
  fwrite (out.ptr, 1, out.len, stdout);
  kq_buf_free (&out);
  json_decref (table);
  return KQ_EXIT_OK;
}

static bool
read_file (const char *path, KqBuf *out)
{
  FILE *f = strcmp (path, "-") == 0 ? stdin : fopen (path, "rb");
  char chunk[4096];
  size_t n = 0;
  if (f == NULL)
    return false;
  while (out->len <= FILE_BYTES_MAX && (n = fread (chunk, 1, sizeof chunk, f)) > 0)
    kq_buf_add (out, chunk, n);
  bool ok = ferror (f) == 0 && out->len <= FILE_BYTES_MAX;
  if (f != stdin)
    fclose (f);
  return ok;
}

static void
print_difference (const KqCtl *c, const KqCsvPlan *p)
{
  if (c->json)
    kq_ctl_print_json (p->changes);
  else
    fputs (p->difference.len > 0 ? p->difference.ptr : "no difference\n", stdout);
}

/* Sends all rows in one request, so that either all of them are written or none. */
static int
send_changes (const KqCtl *c, const KqCsvPlan *p)
{
  json_t *all = json_pack ("{s:O}", "changes", p->changes);
  char *body = json_dumps (all, JSON_COMPACT);
  json_t *answer;
  int code = kq_ctl_call (c, "POST", "/v1/table", NULL, kq_str (body), &answer);
  if (code == KQ_EXIT_OK && !c->json)
    printf ("%zu rows, revision %lld\n", json_array_size (p->changes),
            (long long)json_integer_value (json_object_get (answer, "revision")));
  else if (code == KQ_EXIT_OK)
    kq_ctl_print_json (answer);
  json_decref (answer);
  json_decref (all);
  free (body);
  return code;
}

int
kq_ctl_csv_import (KqCtl *c, int n, char **args)
{
  KqBuf csv = { 0 };
  KqCsvPlan plan = { 0 };
  json_t *table = NULL;
  int code = KQ_EXIT_USAGE;
  if (n != 1)
    return kq_ctl_usage ("kumquatctl table import FILE [--dry-run] [--prune]\n");
  if (!read_file (args[0], &csv))
    {
      fprintf (stderr, "kumquatctl: %s: can't be read, or is over 8 MB\n", args[0]);
      goto out;
    }
  code = kq_ctl_get (c, "/v1/table", &table);
  if (code != KQ_EXIT_OK)
    goto out;
  kq_csv_plan (table, kq_buf_str (&csv), c->prune, &plan);
  if (plan.faults.len > 0)
    {
      fputs (plan.faults.ptr, stderr);
      code = KQ_EXIT_USAGE;
    }
  else if (c->dry_run || json_array_size (plan.changes) == 0)
    print_difference (c, &plan);
  else
    code = send_changes (c, &plan);
out:
  kq_csv_plan_free (&plan);
  kq_buf_free (&csv);
  json_decref (table);
  return code;
}
