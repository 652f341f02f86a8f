#include "port/json_reader.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

void
kq_json_count (KqStr text, size_t *containers, size_t *values)
{
  bool in_string = false;
  *containers = 0;
  *values = 1;
  for (size_t i = 0; i < text.len; i++)
    {
      char c = text.ptr[i];
      if (in_string && c == '\\')
        i++;
      else if (c == '"')
        in_string = !in_string;
      else if (!in_string && (c == '{' || c == '['))
        ++*containers;
      else if (!in_string && c == ',')
        ++*values;
    }
  *values += *containers;
}

json_t *
kq_json_parse (KqStr text)
{
  json_t *j
      = json_loadb (text.ptr != NULL ? text.ptr : "", text.len, JSON_ALLOW_NUL, NULL);
  if (j != NULL && !json_is_object (j))
    {
      json_decref (j);
      j = NULL;
    }
  return j;
}

bool
kq_json_has (const KqJsonReader *r, const char *key)
{
  return json_object_get (r->at, key) != NULL;
}

static const json_t *
field (KqJsonReader *r, const char *key, bool type_ok (const json_t *))
{
  const json_t *f = json_object_get (r->at, key);
  if (f != NULL && type_ok (f))
    return f;
  r->bad = true;
  return NULL;
}

static bool
is_string (const json_t *j)
{
  return json_is_string (j);
}

static bool
is_integer (const json_t *j)
{
  return json_is_integer (j);
}

static bool
is_number (const json_t *j)
{
  return json_is_number (j);
}

static bool
is_bool (const json_t *j)
{
  return json_is_boolean (j);
}

static bool
is_object (const json_t *j)
{
  return json_is_object (j);
}

static bool
is_array (const json_t *j)
{
  return json_is_array (j);
}

KqStr
kq_json_str (KqJsonReader *r, const char *key)
{
  const json_t *f = field (r, key, is_string);
  if (f == NULL)
    return kq_str ("");
  return kq_str_n (json_string_value (f), json_string_length (f));
}

KqName
kq_json_name (KqJsonReader *r, const char *key)
{
  KqStr s = kq_json_str (r, key);
  if (s.len > 0 && !kq_name_valid (s))
    {
      r->bad = true;
      s = kq_str ("");
    }
  return kq_name (s);
}

uint64_t
kq_json_u64 (KqJsonReader *r, const char *key)
{
  uint64_t v = 0;
  if (!kq_str_to_u64 (kq_json_str (r, key), &v))
    r->bad = true;
  return v;
}

int64_t
kq_json_i64 (KqJsonReader *r, const char *key, int64_t min, int64_t max)
{
  const json_t *f = field (r, key, is_integer);
  int64_t v = json_integer_value (f);
  if (f == NULL)
    return 0;
  if (v >= min && v <= max)
    return v;
  r->bad = true;
  return 0;
}

double
kq_json_double (KqJsonReader *r, const char *key)
{
  return json_number_value (field (r, key, is_number));
}

bool
kq_json_bool (KqJsonReader *r, const char *key)
{
  return json_is_true (field (r, key, is_bool));
}

KqJsonReader
kq_json_object (KqJsonReader *r, const char *key)
{
  return (KqJsonReader){ .at = field (r, key, is_object) };
}

const json_t *
kq_json_array (KqJsonReader *r, const char *key, size_t *n)
{
  const json_t *f = field (r, key, is_array);
  *n = json_array_size (f);
  return f;
}

KqJsonReader
kq_json_element (const json_t *array, size_t i)
{
  const json_t *e = json_array_get (array, i);
  return (KqJsonReader){ .at = e, .bad = !json_is_object (e) };
}

void
kq_json_propagate (KqJsonReader *r, const KqJsonReader *inner)
{
  r->bad = r->bad || inner->bad;
}

void
kq_url_escape (KqBuf *out, KqStr s)
{
  for (size_t i = 0; i < s.len; i++)
    {
      unsigned char c = (unsigned char)s.ptr[i];
      bool plain = c != '\0' && (isalnum (c) || strchr ("._-~/", c) != NULL);
      if (plain)
        kq_buf_add (out, &s.ptr[i], 1);
      else
        kq_buf_printf (out, "%%%02X", c);
    }
}

void
kq_url_unescape (KqBuf *out, KqStr s)
{
  for (size_t i = 0; i < s.len; i++)
    {
      char c = s.ptr[i];
      if (c == '%' && i + 2 < s.len && isxdigit ((unsigned char)s.ptr[i + 1])
          && isxdigit ((unsigned char)s.ptr[i + 2]))
        {
          char hex[3] = { s.ptr[i + 1], s.ptr[i + 2], '\0' };
          c = (char)strtol (hex, NULL, 16);
          i += 2;
        }
      kq_buf_add (out, &c, 1);
    }
}
