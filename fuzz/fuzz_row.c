#include "fuzz.h"

#include "table/table.h"

#define FAULTS_MAX 16

static void
set_json (KqRowKind kind, KqStr text)
{
  KqRow row = kq_row_default (kind, KQ_STR ("x"));
  KqRowFault faults[FAULTS_MAX];
  json_t *o = json_loadb (text.ptr, text.len, 0, NULL);
  json_t *back;
  if (json_is_object (o) && kq_row_set (&row, o, faults, FAULTS_MAX) == 0
      && kq_row_check (&row, faults))
    {
      back = kq_row_to_json (&row, true);
      kq_fuzz_check (kq_row_set (&row, back, faults, FAULTS_MAX) == 0,
                     "a row's JSON can be read again");
      kq_fuzz_check (kq_row_check (&row, faults),
                     "a row read from its own JSON is valid");
      json_decref (back);
    }
  json_decref (o);
}

static void
set_text (KqRowKind kind, KqStr text)
{
  KqRow row = kq_row_default (kind, KQ_STR ("x"));
  KqRowFault fault;
  KqStr field = kq_str_cut (&text, '=');
  kq_row_set_text (&row, field, text, &fault);
}

/* The first byte selects the kind. */
void
kq_fuzz_row (KqStr data)
{
  KqRowKind kind;
  if (data.len == 0)
    return;
  kind = (KqRowKind)((uint8_t)data.ptr[0] % KQ_ROW_KINDS);
  data = kq_str_n (data.ptr + 1, data.len - 1);
  set_json (kind, data);
  set_text (kind, data);
}
