#include "table/row_pack.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

static const char *const kind_names[KQ_ROW_KINDS]
    = { "service", "class", "team", "worker", "caller", "policy" };
static const char *const mode_names[] = { "normal", "drain", "evacuate" };

const char *
kq_row_kind_name (KqRowKind k)
{
  assert (k < KQ_ROW_KINDS);
  return kind_names[k];
}

bool
kq_row_kind_parse (KqStr s, KqRowKind *out)
{
  for (int k = 0; k < KQ_ROW_KINDS; k++)
    if (kq_str_eq (s, kq_str (kind_names[k])))
      {
        *out = (KqRowKind)k;
        return true;
      }
  return false;
}

int64_t
kq_row_get (const KqRow *row, const KqRowField *f)
{
  const void *at = (const char *)row + f->offset;
  if (f->type == KQ_FIELD_BOOL)
    return *(const bool *)at;
  if (f->type == KQ_FIELD_MODE)
    return *(const KqWorkerMode *)at;
  assert (f->type == KQ_FIELD_INT);
  return *(const int64_t *)at;
}

void
kq_row_put (KqRow *row, const KqRowField *f, int64_t v)
{
  void *at = (char *)row + f->offset;
  if (f->type == KQ_FIELD_BOOL)
    *(bool *)at = v != 0;
  else if (f->type == KQ_FIELD_MODE)
    *(KqWorkerMode *)at = (KqWorkerMode)v;
  else
    *(int64_t *)at = v;
}

KqName *
kq_row_name_field (KqRow *row, const KqRowField *f)
{
  assert (f->type == KQ_FIELD_NAME || f->type == KQ_FIELD_TOKEN);
  return (KqName *)(void *)((char *)row + f->offset);
}

bool
kq_row_field_valid (const KqRowField *f, int64_t v)
{
  return v >= f->min && v <= f->max;
}

static bool
text_valid (const KqRowField *f, KqStr s)
{
  if (s.len == 0)
    return true;
  return kq_name_valid (s) && (f->type == KQ_FIELD_NAME || (int64_t)s.len >= f->min);
}

static bool
is_text (const KqRowField *f)
{
  return f->type == KQ_FIELD_NAME || f->type == KQ_FIELD_TOKEN;
}

KqRow
kq_row_default (KqRowKind kind, KqStr name)
{
  KqRow row;
  int n;
  const KqRowField *f = kq_row_fields (kind, &n);
  memset (&row, 0, sizeof row);
  row.kind = kind;
  row.name = kq_name (name);
  for (int i = 0; i < n; i++)
    if (!is_text (&f[i]))
      kq_row_put (&row, &f[i], f[i].fallback);
  return row;
}

static KqResult
set_fault (KqRowFault *fault, KqResult code, KqStr field, const char *allowed)
{
  fault->code = code;
  fault->field = kq_name (field);
  snprintf (fault->allowed, sizeof fault->allowed, "%s", allowed);
  return code;
}

static KqResult
field_fault (KqRowFault *fault, KqResult code, const KqRowField *f)
{
  char allowed[96];
  kq_row_field_allowed (f, allowed, sizeof allowed);
  return set_fault (fault, code, kq_str (f->name), allowed);
}

/* Whether `low` is at most `high` in every resource; a resource of 0 in `high` means no
 * limit. */
static bool
within_limits (const KqSize *low, const KqSize *high)
{
  return (high->cpu_milli == 0 || low->cpu_milli <= high->cpu_milli)
         && (high->memory_mb == 0 || low->memory_mb <= high->memory_mb)
         && (high->accelerators == 0 || low->accelerators <= high->accelerators);
}

bool
kq_row_check (const KqRow *row, KqRowFault *fault)
{
  int n;
  const KqRowField *f = kq_row_fields (row->kind, &n);
  KqStr name = kq_name_str (&row->name);
  if (!kq_name_valid (name))
    set_fault (fault, KQ_ERR_TABLE_ROW, KQ_STR ("name"), "1 to 63 of a-z A-Z 0-9 . _ -");
  else if (row->kind == KQ_ROW_POLICY && !kq_str_eq (name, KQ_STR ("default")))
    set_fault (fault, KQ_ERR_TABLE_ROW, KQ_STR ("name"), "the policy row is \"default\"");
  else if (row->kind == KQ_ROW_TEAM
           && !within_limits (&row->u.team.guaranteed, &row->u.team.limit))
    set_fault (fault, KQ_ERR_TABLE_ROW, KQ_STR ("guaranteed"),
               "at most the limit where there is one");
  else
    {
      for (int i = 0; i < n; i++)
        {
          bool ok = is_text (&f[i]) ? text_valid (
                        &f[i], kq_name_str (kq_row_name_field ((KqRow *)row, &f[i])))
                                    : kq_row_field_valid (&f[i], kq_row_get (row, &f[i]));
          if (!ok)
            {
              field_fault (fault, KQ_ERR_TABLE_RANGE, &f[i]);
              return false;
            }
        }
      return true;
    }
  return false;
}

static KqResult
set_number (KqRow *row, const KqRowField *f, int64_t v, KqRowFault *fault)
{
  if (!kq_row_field_valid (f, v))
    return field_fault (fault, KQ_ERR_TABLE_RANGE, f);
  kq_row_put (row, f, v);
  return KQ_OK;
}

static KqResult
set_name (KqRow *row, const KqRowField *f, KqStr s, KqRowFault *fault)
{
  if (!text_valid (f, s))
    return field_fault (fault, KQ_ERR_TABLE_RANGE, f);
  *kq_row_name_field (row, f) = kq_name (s);
  return KQ_OK;
}

static KqResult
set_mode (KqRow *row, const KqRowField *f, KqStr s, KqRowFault *fault)
{
  for (int m = 0; m <= KQ_WORKER_EVACUATE; m++)
    if (kq_str_eq (s, kq_str (mode_names[m])))
      {
        kq_row_put (row, f, m);
        return KQ_OK;
      }
  return field_fault (fault, KQ_ERR_TABLE_RANGE, f);
}

/* Returns 1 for "true", 0 for "false", and -1 for any other text. */
static int
parse_bool (KqStr s)
{
  if (kq_str_eq (s, KQ_STR ("true")))
    return 1;
  return kq_str_eq (s, KQ_STR ("false")) ? 0 : -1;
}

KqResult
kq_row_set_text (KqRow *row, KqStr field, KqStr value, KqRowFault *fault)
{
  const KqRowField *f = kq_row_field (row->kind, field);
  int64_t v;
  if (f == NULL)
    return set_fault (fault, KQ_ERR_TABLE_UNKNOWN_FIELD, field, "a field of the kind");
  switch (f->type)
    {
    case KQ_FIELD_INT:
      if (!kq_str_to_i64 (value, &v))
        return field_fault (fault, KQ_ERR_TABLE_TYPE, f);
      return set_number (row, f, v, fault);
    case KQ_FIELD_BOOL:
      v = parse_bool (value);
      if (v < 0)
        return field_fault (fault, KQ_ERR_TABLE_TYPE, f);
      return set_number (row, f, v, fault);
    case KQ_FIELD_MODE:
      return set_mode (row, f, value, fault);
    case KQ_FIELD_NAME:
    case KQ_FIELD_TOKEN:
      break;
    }
  return set_name (row, f, value, fault);
}

static KqResult
set_json (KqRow *row, const KqRowField *f, const json_t *v, KqRowFault *fault)
{
  if (f->type == KQ_FIELD_INT && json_is_integer (v))
    return set_number (row, f, json_integer_value (v), fault);
  if (f->type == KQ_FIELD_BOOL && json_is_boolean (v))
    return set_number (row, f, json_is_true (v), fault);
  if (f->type != KQ_FIELD_INT && f->type != KQ_FIELD_BOOL && json_is_string (v))
    {
      KqStr s = kq_str_n (json_string_value (v), json_string_length (v));
      if (f->type == KQ_FIELD_MODE)
        return set_mode (row, f, s, fault);
      return set_name (row, f, s, fault);
    }
  return field_fault (fault, KQ_ERR_TABLE_TYPE, f);
}

/* Checks a member that isn't a field of the row. Those that kq_row_to_json adds to the
 * fields are accepted, so that its object can be written back. */
static KqResult
check_meta_member (const KqRow *row, KqStr key, const json_t *v, KqRowFault *fault)
{
  KqStr have = kq_str (kq_row_kind_name (row->kind));
  if (kq_str_eq (key, KQ_STR ("revision")) || kq_str_eq (key, KQ_STR ("has_token")))
    return KQ_OK;
  if (kq_str_eq (key, KQ_STR ("name")))
    have = kq_name_str (&row->name);
  else if (!kq_str_eq (key, KQ_STR ("kind")))
    return set_fault (fault, KQ_ERR_TABLE_UNKNOWN_FIELD, key, "a field of the kind");
  if (json_is_string (v)
      && kq_str_eq (have, kq_str_n (json_string_value (v), json_string_length (v))))
    return KQ_OK;
  return set_fault (fault, KQ_ERR_TABLE_ROW, key, "the row's own kind and name");
}

int
kq_row_set (KqRow *row, const json_t *fields, KqRowFault *faults, int max)
{
  const char *key;
  json_t *v;
  int n = 0;
  KqRowFault fault;
  if (!json_is_object (fields))
    {
      set_fault (&fault, KQ_ERR_TABLE_TYPE, KQ_STR (""), "a JSON object of fields");
      if (max > 0)
        faults[0] = fault;
      return 1;
    }
  json_object_foreach ((json_t *)fields, key, v)
  {
    const KqRowField *f = kq_row_field (row->kind, kq_str (key));
    KqResult r = f != NULL ? set_json (row, f, v, &fault)
                           : check_meta_member (row, kq_str (key), v, &fault);
    if (r == KQ_OK)
      continue;
    if (n < max)
      faults[n] = fault;
    n++;
  }
  if (n == 0 && !kq_row_check (row, &fault))
    {
      if (max > 0)
        faults[0] = fault;
      n = 1;
    }
  return n;
}

static json_t *
field_json (const KqRow *row, const KqRowField *f)
{
  if (is_text (f))
    {
      KqStr s = kq_name_str (kq_row_name_field ((KqRow *)row, f));
      return json_stringn (s.ptr, s.len);
    }
  if (f->type == KQ_FIELD_BOOL)
    return json_boolean (kq_row_get (row, f) != 0);
  if (f->type == KQ_FIELD_MODE)
    return json_string (mode_names[kq_row_get (row, f)]);
  return json_integer (kq_row_get (row, f));
}

json_t *
kq_row_to_json (const KqRow *row, bool secrets)
{
  json_t *o = json_object ();
  int n;
  const KqRowField *f = kq_row_fields (row->kind, &n);
  KqStr name = kq_name_str (&row->name);
  json_object_set_new (o, "kind", json_string (kq_row_kind_name (row->kind)));
  json_object_set_new (o, "name", json_stringn (name.ptr, name.len));
  json_object_set_new (o, "revision", json_integer ((json_int_t)row->revision));
  for (int i = 0; i < n; i++)
    {
      if (f[i].type != KQ_FIELD_TOKEN || secrets)
        json_object_set_new (o, f[i].name, field_json (row, &f[i]));
      else
        json_object_set_new (
            o, "has_token",
            json_boolean (kq_row_name_field ((KqRow *)row, &f[i])->len > 0));
    }
  return o;
}

void
kq_row_field_text (const KqRow *row, const KqRowField *f, KqBuf *out)
{
  switch (f->type)
    {
    case KQ_FIELD_INT:
      kq_buf_printf (out, "%lld", (long long)kq_row_get (row, f));
      break;
    case KQ_FIELD_BOOL:
      kq_buf_printf (out, "%s", kq_row_get (row, f) != 0 ? "true" : "false");
      break;
    case KQ_FIELD_MODE:
      kq_buf_printf (out, "%s", mode_names[kq_row_get (row, f)]);
      break;
    case KQ_FIELD_NAME:
      kq_buf_add_str (out, kq_name_str (kq_row_name_field ((KqRow *)row, f)));
      break;
    case KQ_FIELD_TOKEN:
      if (kq_row_name_field ((KqRow *)row, f)->len > 0)
        kq_buf_add_str (out, KQ_STR ("set"));
      break;
    }
}
