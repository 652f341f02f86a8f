#include "ctl/ctl.h"
#include "settings/settings.h"
#include "table/table.h"

#include <string.h>

/* Prints the documentation that is generated from the program: result codes, settings and
 * table fields. */

int
kq_ctl_results (KqCtl *c, int n, char **args)
{
  int count;
  const KqResultRow *rows = kq_result_rows (&count);
  (void)c;
  (void)n;
  (void)args;
  puts ("# Result codes\n\nPrinted by `kumquatctl results --markdown` from "
        "src/base/result.c; `make pages` writes it, `make check` compares it.\n");
  puts ("| code | name | HTTP | meaning |\n| --- | --- | --- | --- |");
  for (int i = 0; i < count; i++)
    printf ("| %d | %s | %d | %s |\n", (int)rows[i].code, rows[i].name,
            rows[i].http_status, rows[i].meaning);
  return KQ_EXIT_OK;
}

/* Prints a text as roff: '-' becomes a minus sign, and a leading dot or quote, which
 * would start a request, is escaped. */
static void
print_roff (KqStr s)
{
  for (size_t i = 0; i < s.len; i++)
    {
      if (s.ptr[i] == '-' || s.ptr[i] == '\\')
        putchar ('\\');
      if (i == 0 && (s.ptr[i] == '.' || s.ptr[i] == '\''))
        fputs ("\\&", stdout);
      putchar (s.ptr[i]);
    }
}

static void
print_entry (KqStr name, KqStr type, KqStr allowed, KqStr fallback, KqStr meaning)
{
  fputs (".TP\n.B ", stdout);
  print_roff (name);
  fputs ("\n", stdout);
  print_roff (meaning);
  fputs ("\n.br\n", stdout);
  print_roff (type);
  fputs (": ", stdout);
  print_roff (allowed);
  fputs ("; default ", stdout);
  print_roff (fallback);
  fputs ("\n", stdout);
}

static void
print_settings_page (void)
{
  KqBuf text = { 0 };
  puts (
      ".TH KUMQUATD.TOML 5 \"\" kumquatfield\n.SH NAME\n"
      "kumquatd.toml \\- settings of kumquatd\n.SH DESCRIPTION\n"
      "A TOML file, read once at the start. kumquatd \\-\\-check\\-settings FILE tells\n"
      "every fault with its line, key, what is allowed and a result code (102 to 107);\n"
      "unknown keys are faults. Everything that operators change while the program\n"
      "runs stands in the table instead; see kumquat\\-table(5).\n.SH KEYS");
  kq_settings_print_reference (&text);
  KqStr rest = kq_buf_str (&text);
  KqStr last = KQ_STR ("");
  while (rest.len > 0)
    {
      KqStr line = kq_str_cut (&rest, '\n');
      KqStr section = kq_str_cut (&line, '\t');
      KqStr key = kq_str_cut (&line, '\t');
      KqStr type = kq_str_cut (&line, '\t');
      KqStr allowed = kq_str_cut (&line, '\t');
      KqStr fallback = kq_str_cut (&line, '\t');
      if (!kq_str_eq (section, last))
        printf (".SS [%.*s]\n", KQ_STR_ARG (section));
      last = section;
      print_entry (key, type, allowed, fallback, line);
    }
  kq_buf_free (&text);
  puts (".SH WHAT MUST FIT TOGETHER\n"
        "node.region is one of the [[region]] names, each of which stands once.\n"
        "No two listeners share an address and port. mesh.ip isn't 0.0.0.0.\n"
        "heartbeat_ms is at most a quarter of node_lease_ms.\n"
        "blind_ms is 0 or at least worker_lease_ms.\n"
        ".SH EXAMPLE\n.nf\n"
        "[node]\nname = \"entry\\-3\"\nregion = \"east\"\ndepot = \"east\\-1\"\n"
        "[cluster]\nname = \"granite\"\nsecret = \"at least sixteen bytes\"\n"
        "[mesh]\nip = \"10.0.0.7\"\n[callers]\nip = \"10.0.0.7\"\n"
        "[operators]\nip = \"10.0.0.7\"\ntoken = \"at least sixteen bytes, too\"\n"
        "[store]\nurl = \"http://10.0.0.2:8000\"\n"
        "[[region]]\nname = \"east\"\nshards = 4\n"
        "[[region]]\nname = \"west\"\nshards = 2\n.fi\n"
        ".SH SEE ALSO\nkumquatd(8), kumquat\\-table(5)");
}

static void
print_table_page (void)
{
  puts (".TH KUMQUAT-TABLE 5 \"\" kumquatfield\n.SH NAME\n"
        "kumquat\\-table \\- rows of the operators' table\n.SH DESCRIPTION\n"
        "Row kinds and their fields. Values are checked when an operator sends them and\n"
        "again when a node applies them. The row of kind policy is named \"default\".\n"
        ".SH KINDS");
  static const char *const types[] = { "integer", "boolean", "name", "token", "mode" };
  for (int k = 0; k < KQ_ROW_KINDS; k++)
    {
      int n;
      const KqRowField *f = kq_row_fields ((KqRowKind)k, &n);
      KqRow row = kq_row_default ((KqRowKind)k, KQ_STR ("default"));
      printf (".SS %s\n", kq_row_kind_name ((KqRowKind)k));
      for (int i = 0; i < n; i++)
        {
          char allowed[96];
          KqBuf fallback = { 0 };
          kq_row_field_allowed (&f[i], allowed, sizeof allowed);
          kq_row_field_text (&row, &f[i], &fallback);
          if (fallback.len == 0)
            kq_buf_printf (&fallback, "empty");
          print_entry (kq_str (f[i].name), kq_str (types[f[i].type]), kq_str (allowed),
                       kq_buf_str (&fallback), kq_str (f[i].meaning));
          kq_buf_free (&fallback);
        }
    }
  puts (".SH SEE ALSO\nkumquatctl(1)");
}

int
kq_ctl_reference (KqCtl *c, int n, char **args)
{
  (void)c;
  if (n == 1 && strcmp (args[0], "settings") == 0)
    print_settings_page ();
  else if (n == 1 && strcmp (args[0], "table") == 0)
    print_table_page ();
  else
    return kq_ctl_usage ("kumquatctl reference settings|table   (manual pages, roff)\n");
  return KQ_EXIT_OK;
}
