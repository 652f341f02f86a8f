#include "ctl/rows.h"

#include <stdlib.h>
#include <string.h>

/* State while a plan is made. */
typedef struct
{
  const json_t *table;
  KqCsvPlan *out;
  KqCsvRecord header;
  int line;
  bool kinds[KQ_ROW_KINDS]; /* kinds that occur in the file */
  json_t *seen;             /* a member "kind/name" for each row of the file */
} Plan;

void
kq_csv_plan_free (KqCsvPlan *p)
{
  json_decref (p->changes);
  kq_buf_free (&p->difference);
  kq_buf_free (&p->faults);
}

static void
add_fault (Plan *p, KqStr column, const char *why)
{
  kq_buf_printf (&p->out->faults, "line %d: %.*s: %s\n", p->line, KQ_STR_ARG (column),
                 why);
}

static bool
find_row (const Plan *p, KqRowKind kind, KqStr name, KqRow *out)
{
  json_t *rows = kq_ctl_rows_of (p->table, kind);
  json_t *o;
  size_t i;
  bool found = false;
  json_array_foreach (rows, i, o)
  {
    if (kq_str_eq (kq_str (json_string_value (json_object_get (o, "name"))), name))
      {
        found = kq_ctl_row_from_json (kind, o, out);
        break;
      }
  }
  json_decref (rows);
  return found;
}

/* Sets the row's fields from the record's cells. *token: a token was among them. */
static bool
apply_cells (Plan *p, const KqCsvRecord *r, KqRow *row, bool *token)
{
  KqRowFault fault;
  bool ok = true;
  for (size_t i = 2; i < r->n; i++)
    {
      KqStr value = kq_buf_str (&r->cells[i]);
      KqStr field = i < p->header.n ? kq_buf_str (&p->header.cells[i]) : KQ_STR ("?");
      if (value.len == 0)
        continue;
      *token = *token || kq_str_eq (field, KQ_STR ("token"));
      if (kq_row_set_text (row, field, value, &fault) == KQ_OK)
        continue;
      add_fault (p, field, fault.allowed);
      ok = false;
    }
  if (ok && !kq_row_check (row, &fault))
    {
      add_fault (p, kq_name_str (&fault.field), fault.allowed);
      ok = false;
    }
  return ok;
}

/* Adds a line such as "~ team rounds: weight 100 -> 7" for each field that differs.
 * Returns whether there is one. */
static bool
add_difference (Plan *p, const KqRow *old, const KqRow *row)
{
  int n;
  const KqRowField *f = kq_row_fields (row->kind, &n);
  bool differs = false;
  for (int i = 0; i < n; i++)
    {
      KqBuf a = { 0 };
      KqBuf b = { 0 };
      kq_row_field_text (old, &f[i], &a);
      kq_row_field_text (row, &f[i], &b);
      if (!kq_str_eq (kq_buf_str (&a), kq_buf_str (&b)))
        {
          kq_buf_printf (&p->out->difference, "~ %s %.*s: %s %.*s -> %.*s\n",
                         kq_row_kind_name (row->kind),
                         KQ_STR_ARG (kq_name_str (&row->name)), f[i].name,
                         KQ_STR_ARG (kq_buf_str (&a)), KQ_STR_ARG (kq_buf_str (&b)));
          differs = true;
        }
      kq_buf_free (&a);
      kq_buf_free (&b);
    }
  return differs;
}

static void
add_change (Plan *p, const KqRow *row, uint64_t expect, json_t *fields)
{
  KqStr name = kq_name_str (&row->name);
  json_t *o = json_pack ("{s:s, s:s%, s:I}", "kind", kq_row_kind_name (row->kind), "name",
                         name.ptr, name.len, "expect", (json_int_t)expect);
  if (fields != NULL)
    json_object_set_new (o, "fields", fields);
  else
    json_object_set_new (o, "remove", json_true ());
  json_array_append_new (p->out->changes, o);
}

static void
plan_row (Plan *p, const KqCsvRecord *r, KqRowKind kind, KqStr name)
{
  KqRow old;
  KqRow row = kq_row_default (kind, name);
  bool exists = find_row (p, kind, name, &old);
  bool token = false;
  if (exists)
    row = old;
  if (!apply_cells (p, r, &row, &token))
    return;
  if (!exists)
    {
      kq_buf_printf (&p->out->difference, "+ %s %.*s\n", kq_row_kind_name (kind),
                     KQ_STR_ARG (name));
      add_change (p, &row, 0, kq_ctl_row_fields (&row, token));
    }
  else if (add_difference (p, &old, &row))
    add_change (p, &row, old.revision, kq_ctl_row_fields (&row, token));
}

static void
plan_record (Plan *p, const KqCsvRecord *r)
{
  KqRowKind kind;
  KqBuf key = { 0 };
  if (r->n == 1 && r->cells[0].len == 0)
    return; /* an empty line */
  if (r->n < 2 || r->n > p->header.n)
    {
      add_fault (p, KQ_STR ("record"), "as many cells as the first line has");
      return;
    }
  KqStr name = kq_buf_str (&r->cells[1]);
  if (!kq_row_kind_parse (kq_buf_str (&r->cells[0]), &kind))
    add_fault (p, KQ_STR ("kind"), "service, class, team, worker, caller or policy");
  else if (!kq_name_valid (name))
    add_fault (p, KQ_STR ("name"), "1 to 63 of a-z A-Z 0-9 . _ -");
  else
    {
      kq_buf_printf (&key, "%s/%.*s", kq_row_kind_name (kind), KQ_STR_ARG (name));
      p->kinds[kind] = true;
      if (json_object_get (p->seen, key.ptr) != NULL)
        add_fault (p, name, "each row once");
      else
        plan_row (p, r, kind, name);
      json_object_set_new (p->seen, key.ptr, json_true ());
    }
  kq_buf_free (&key);
}

/* Plans the removal of rows that the file lacks, of those kinds that occur in it. */
static void
plan_removals (Plan *p)
{
  for (int k = 0; k < KQ_ROW_KINDS; k++)
    {
      json_t *rows = kq_ctl_rows_of (p->table, (KqRowKind)k);
      json_t *o;
      size_t i;
      json_array_foreach (rows, i, o)
      {
        KqBuf key = { 0 };
        KqRow row;
        bool ok = p->kinds[k] && kq_ctl_row_from_json ((KqRowKind)k, o, &row);
        if (ok)
          kq_buf_printf (&key, "%s/%.*s", kq_row_kind_name (row.kind),
                         KQ_STR_ARG (kq_name_str (&row.name)));
        if (ok && json_object_get (p->seen, key.ptr) == NULL)
          {
            kq_buf_printf (&p->out->difference, "- %s %.*s\n",
                           kq_row_kind_name (row.kind),
                           KQ_STR_ARG (kq_name_str (&row.name)));
            add_change (p, &row, row.revision, NULL);
          }
        kq_buf_free (&key);
      }
      json_decref (rows);
    }
}

static bool
is_valid_header (const KqCsvRecord *h)
{
  return h->n >= 2 && kq_str_eq (kq_buf_str (&h->cells[0]), KQ_STR ("kind"))
         && kq_str_eq (kq_buf_str (&h->cells[1]), KQ_STR ("name"));
}

void
kq_csv_plan (const json_t *table, KqStr csv, bool prune, KqCsvPlan *out)
{
  Plan p = { .table = table, .out = out, .line = 1 };
  KqCsvRecord r = { 0 };
  bool unclosed = false;
  *out = (KqCsvPlan){ .changes = json_array () };
  p.seen = json_object ();
  if (!kq_csv_read (&csv, &p.header, &unclosed) || !is_valid_header (&p.header))
    add_fault (&p, KQ_STR ("header"), "kind,name and the fields' names");
  else
    {
      for (p.line = 2; kq_csv_read (&csv, &r, &unclosed); p.line++)
        plan_record (&p, &r);
      if (prune)
        plan_removals (&p);
    }
  if (unclosed)
    add_fault (&p, KQ_STR ("quote"), "the closing quote is missing");
  json_decref (p.seen);
  kq_csv_free (&p.header);
  kq_csv_free (&r);
}
