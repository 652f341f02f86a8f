#include "ctl/rows.h"

#include <string.h>

json_t *
kq_ctl_rows_of (const json_t *table, KqRowKind kind)
{
  json_t *out = json_array ();
  json_t *row;
  size_t i;
  json_array_foreach (json_object_get (table, "rows"), i, row)
  {
    const char *k = json_string_value (json_object_get (row, "kind"));
    if (k != NULL && strcmp (k, kq_row_kind_name (kind)) == 0)
      json_array_append (out, json_object_get (row, "fields"));
  }
  return out;
}

bool
kq_ctl_row_from_json (KqRowKind kind, const json_t *o, KqRow *out)
{
  const char *name = json_string_value (json_object_get (o, "name"));
  KqRowFault fault;
  if (name == NULL)
    return false;
  *out = kq_row_default (kind, kq_str (name));
  out->revision = (uint64_t)json_integer_value (json_object_get (o, "revision"));
  return kq_row_set (out, o, &fault, 1) == 0;
}

int
kq_ctl_read_row (const KqCtl *c, KqRowKind kind, const char *name, KqRow *out)
{
  KqBuf path = { 0 };
  json_t *o;
  kq_buf_printf (&path, "/v1/table/%s/%s", kq_row_kind_name (kind), name);
  int code = kq_ctl_get (c, path.ptr, &o);
  kq_buf_free (&path);
  if (code != KQ_EXIT_OK)
    return code;
  if (!kq_ctl_row_from_json (kind, o, out))
    {
      fprintf (stderr, "kumquatctl: the row has fields unknown to this version\n");
      code = KQ_EXIT_REFUSED;
    }
  json_decref (o);
  return code;
}

json_t *
kq_ctl_row_fields (const KqRow *row, bool token)
{
  json_t *o = kq_row_to_json (row, token);
  json_object_del (o, "revision");
  json_object_del (o, "has_token");
  return o;
}
