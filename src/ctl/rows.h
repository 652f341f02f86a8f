#ifndef KQ_CTL_ROWS_H
#define KQ_CTL_ROWS_H

/* rows: converts rows of the table between JSON, KqRow and CSV. Private to src/ctl. */

#include "ctl/ctl.h"
#include "table/table.h"

/* The fields of all rows of a kind in the answer of GET /v1/table, as an array of flat
 * objects that the caller frees. */
json_t *kq_ctl_rows_of (const json_t *table, KqRowKind kind);
/* Reads the current row with its revision from the node. Returns an exit code. */
int kq_ctl_read_row (const KqCtl *c, KqRowKind kind, const char *name, KqRow *out);
/* Converts one object of kq_ctl_rows_of; false: it isn't a valid row. */
bool kq_ctl_row_from_json (KqRowKind kind, const json_t *o, KqRow *out);
/* The fields to send, freed by the caller; with the token only if `token`. */
json_t *kq_ctl_row_fields (const KqRow *row, bool token);

/* A record of CSV (RFC 4180). The cells are reused for the next record. */
typedef struct
{
  KqBuf *cells;
  size_t n;
  size_t capacity;
} KqCsvRecord;

/* Reads one record and removes it from *text; false at the end of the text. A quoted cell
 * without closing quote extends to the end of the text and sets *unclosed. */
bool kq_csv_read (KqStr *text, KqCsvRecord *r, bool *unclosed);
void kq_csv_free (KqCsvRecord *r);
void kq_csv_write_cell (KqBuf *out, KqStr cell, bool first);

/* Appends the table as CSV: kind, name, then the union of the fields. `only`: the kind to
 * export; KQ_ROW_KINDS: all. */
void kq_csv_export (const json_t *table, KqRowKind only, KqBuf *out);

/* The changes that an import makes. */
typedef struct
{
  json_t *changes;  /* in the form of POST /v1/table */
  KqBuf difference; /* lines: + added, - removed, ~ changed with each field */
  KqBuf faults;     /* lines; if not empty, nothing may be sent */
} KqCsvPlan;

/* Compares CSV with the table (the answer of GET /v1/table). An empty cell leaves a field
 * unchanged (in a new row: the default). `prune`: rows that the file lacks are removed,
 * of those kinds that occur in it. The caller frees *out with kq_csv_plan_free. */
void kq_csv_plan (const json_t *table, KqStr csv, bool prune, KqCsvPlan *out);
void kq_csv_plan_free (KqCsvPlan *p);

#endif
