#include "ctl/rows.h"

#include <stdlib.h>
#include <string.h>

static KqBuf *
next_cell (KqCsvRecord *r)
{
  if (r->n == r->capacity)
    {
      size_t old = r->capacity;
      r->capacity = old > 0 ? 2 * old : 16;
      r->cells = kq_realloc (r->cells, r->capacity * sizeof *r->cells);
      memset (r->cells + old, 0, (r->capacity - old) * sizeof *r->cells);
    }
  kq_buf_clear (&r->cells[r->n]);
  return &r->cells[r->n++];
}

void
kq_csv_free (KqCsvRecord *r)
{
  for (size_t i = 0; i < r->capacity; i++)
    kq_buf_free (&r->cells[i]);
  free (r->cells);
  *r = (KqCsvRecord){ 0 };
}

/* Reads a quoted cell after its opening quote; two quotes stand for one. */
static void
read_quoted (KqStr *s, KqBuf *cell, bool *unclosed)
{
  while (s->len > 0)
    {
      char c = s->ptr[0];
      *s = kq_str_n (s->ptr + 1, s->len - 1);
      if (c != '"')
        kq_buf_add (cell, &c, 1);
      else if (s->len > 0 && s->ptr[0] == '"')
        {
          kq_buf_add (cell, "\"", 1);
          *s = kq_str_n (s->ptr + 1, s->len - 1);
        }
      else
        return;
    }
  *unclosed = true;
}

static void
read_plain (KqStr *s, KqBuf *cell)
{
  size_t n = 0;
  while (n < s->len && s->ptr[n] != ',' && s->ptr[n] != '\n' && s->ptr[n] != '\r')
    n++;
  kq_buf_add (cell, s->ptr, n);
  *s = kq_str_n (s->ptr + n, s->len - n);
}

bool
kq_csv_read (KqStr *text, KqCsvRecord *r, bool *unclosed)
{
  r->n = 0;
  if (text->len == 0)
    return false;
  for (;;)
    {
      KqBuf *cell = next_cell (r);
      if (text->len > 0 && text->ptr[0] == '"')
        {
          *text = kq_str_n (text->ptr + 1, text->len - 1);
          read_quoted (text, cell, unclosed);
        }
      read_plain (text, cell);
      if (text->len == 0 || text->ptr[0] != ',')
        break;
      *text = kq_str_n (text->ptr + 1, text->len - 1);
    }
  if (text->len > 0 && text->ptr[0] == '\r')
    *text = kq_str_n (text->ptr + 1, text->len - 1);
  if (text->len > 0 && text->ptr[0] == '\n')
    *text = kq_str_n (text->ptr + 1, text->len - 1);
  return true;
}

void
kq_csv_write_cell (KqBuf *out, KqStr cell, bool first)
{
  bool quote = false;
  for (size_t i = 0; i < cell.len; i++)
    quote = quote || strchr (",\"\r\n", cell.ptr[i]) != NULL;
  if (!first)
    kq_buf_add (out, ",", 1);
  if (quote)
    kq_buf_add (out, "\"", 1);
  for (size_t i = 0; i < cell.len; i++)
    kq_buf_add (out, cell.ptr[i] == '"' ? "\"\"" : &cell.ptr[i],
                cell.ptr[i] == '"' ? 2 : 1);
  if (quote)
    kq_buf_add (out, "\"", 1);
}

/* Whether an exported kind before `kind` has a field of that name. */
static bool
is_exported_before (KqRowKind kind, KqRowKind only, const char *field)
{
  for (int k = 0; k < (int)kind; k++)
    if ((only == KQ_ROW_KINDS || only == (KqRowKind)k)
        && kq_row_field ((KqRowKind)k, kq_str (field)) != NULL)
      return true;
  return false;
}

/* The columns after kind and name: the union of the kinds' fields, without tokens. */
static size_t
export_columns (KqRowKind only, const char **out, size_t max)
{
  size_t n = 0;
  for (int k = 0; k < KQ_ROW_KINDS; k++)
    {
      int n_fields;
      const KqRowField *f = kq_row_fields ((KqRowKind)k, &n_fields);
      if (only != KQ_ROW_KINDS && only != (KqRowKind)k)
        continue;
      for (int i = 0; i < n_fields && n < max; i++)
        if (f[i].type != KQ_FIELD_TOKEN
            && !is_exported_before ((KqRowKind)k, only, f[i].name))
          out[n++] = f[i].name;
    }
  return n;
}

static void
export_row (KqRowKind kind, const json_t *o, const char **names, size_t n, KqBuf *out)
{
  KqRow row;
  if (!kq_ctl_row_from_json (kind, o, &row))
    return;
  kq_csv_write_cell (out, kq_str (kq_row_kind_name (kind)), true);
  kq_csv_write_cell (out, kq_name_str (&row.name), false);
  for (size_t i = 0; i < n; i++)
    {
      const KqRowField *f = kq_row_field (kind, kq_str (names[i]));
      KqBuf cell = { 0 };
      if (f != NULL)
        kq_row_field_text (&row, f, &cell);
      kq_csv_write_cell (out, kq_buf_str (&cell), false);
      kq_buf_free (&cell);
    }
  kq_buf_add (out, "\n", 1);
}

#define EXPORT_COLUMNS_MAX 128

void
kq_csv_export (const json_t *table, KqRowKind only, KqBuf *out)
{
  const char *names[EXPORT_COLUMNS_MAX];
  size_t n = export_columns (only, names, EXPORT_COLUMNS_MAX);
  kq_buf_printf (out, "kind,name");
  for (size_t i = 0; i < n; i++)
    kq_csv_write_cell (out, kq_str (names[i]), false);
  kq_buf_add (out, "\n", 1);
  for (int k = 0; k < KQ_ROW_KINDS; k++)
    {
      json_t *rows = kq_ctl_rows_of (table, (KqRowKind)k);
      json_t *row;
      size_t i;
      if (only == KQ_ROW_KINDS || only == (KqRowKind)k)
        json_array_foreach (rows, i, row) export_row ((KqRowKind)k, row, names, n, out);
      json_decref (rows);
    }
}
