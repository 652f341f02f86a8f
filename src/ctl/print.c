#include "ctl/ctl.h"

#include <stdlib.h>
#include <string.h>

#define BOLD "\033[1m"
#define RESET "\033[0m"
#define COLUMN_GAP 2

static const json_t *
find_path (const json_t *o, const char *path)
{
  KqStr rest = kq_str (path);
  while (o != NULL && rest.len > 0)
    {
      KqStr key = kq_str_cut (&rest, '.');
      char *text = kq_str_dup (key);
      o = json_object_get (o, text);
      free (text);
    }
  return o;
}

/* Appends the value at a path as text: "-" for null, an empty string or a missing member;
 * real numbers with two decimals. */
static void
print_value (const json_t *o, const char *path, KqBuf *out)
{
  const json_t *v = find_path (o, path);
  if (json_is_string (v))
    kq_buf_add (out, json_string_value (v), json_string_length (v));
  else if (json_is_integer (v))
    kq_buf_printf (out, "%lld", (long long)json_integer_value (v));
  else if (json_is_real (v))
    kq_buf_printf (out, "%.2f", json_real_value (v));
  else if (json_is_boolean (v))
    kq_buf_printf (out, "%s", json_is_true (v) ? "yes" : "no");
  else if (json_is_object (v) || json_is_array (v))
    {
      char *text = json_dumps (v, JSON_COMPACT);
      kq_buf_printf (out, "%s", text);
      free (text);
    }
  if (out->len == 0)
    kq_buf_printf (out, "-");
}

/* Width in characters of a UTF-8 text. */
static size_t
width_of (KqStr s)
{
  size_t w = 0;
  for (size_t i = 0; i < s.len; i++)
    w += ((unsigned char)s.ptr[i] & 0xc0) != 0x80; /* not a continuation byte */
  return w;
}

static void
put_cell (FILE *f, KqStr s, size_t width, bool right, bool last)
{
  int pad = (int)(width - width_of (s));
  if (right)
    fprintf (f, "%*s%.*s", pad, "", KQ_STR_ARG (s));
  else
    fprintf (f, "%.*s%*s", KQ_STR_ARG (s), last ? 0 : pad, "");
  fprintf (f, "%*s", last ? 0 : COLUMN_GAP, "");
}

/* Returns the width of a column; *right: all its values are numbers or missing. */
static size_t
measure_column (const KqCtlColumn *c, const json_t *rows, bool *right)
{
  size_t width = width_of (kq_str (c->title));
  size_t i;
  json_t *row;
  *right = json_array_size (rows) > 0;
  json_array_foreach ((json_t *)rows, i, row)
  {
    KqBuf b = { 0 };
    print_value (row, c->path, &b);
    size_t w = width_of (kq_buf_str (&b));
    width = w > width ? w : width;
    *right = *right
             && (json_is_number (find_path (row, c->path))
                 || find_path (row, c->path) == NULL);
    kq_buf_free (&b);
  }
  return width;
}

void
kq_ctl_print (FILE *f, bool color, const KqCtlColumn *columns, size_t n,
              const json_t *rows)
{
  size_t *width = kq_alloc (n * sizeof *width);
  bool *right = kq_alloc (n * sizeof *right);
  json_t *row;
  size_t r;
  for (size_t i = 0; i < n; i++)
    width[i] = measure_column (&columns[i], rows, &right[i]);
  fprintf (f, "%s", color ? BOLD : "");
  for (size_t i = 0; i < n; i++)
    put_cell (f, kq_str (columns[i].title), width[i], right[i], i + 1 == n);
  fprintf (f, "%s\n", color ? RESET : "");
  json_array_foreach ((json_t *)rows, r, row)
  {
    for (size_t i = 0; i < n; i++)
      {
        KqBuf b = { 0 };
        print_value (row, columns[i].path, &b);
        put_cell (f, kq_buf_str (&b), width[i], right[i], i + 1 == n);
        kq_buf_free (&b);
      }
    fprintf (f, "\n");
  }
  free (width);
  free (right);
}

void
kq_ctl_print_json (const json_t *v)
{
  char *text = json_dumps (v, JSON_INDENT (2) | JSON_ENCODE_ANY);
  puts (text != NULL ? text : "null");
  free (text);
}

void
kq_ctl_show (const KqCtl *c, const KqCtlColumn *columns, size_t n, const json_t *rows)
{
  if (c->json)
    kq_ctl_print_json (rows);
  else
    kq_ctl_print (stdout, c->color, columns, n, rows);
}

void
kq_ctl_show_object (const KqCtl *c, const json_t *o)
{
  static const KqCtlColumn columns[] = { { "FIELD", "field" }, { "VALUE", "value" } };
  json_t *lines = json_array ();
  const char *key;
  json_t *v;
  if (c->json)
    {
      kq_ctl_print_json (o);
      json_decref (lines);
      return;
    }
  json_object_foreach ((json_t *)o, key, v)
      json_array_append_new (lines, json_pack ("{s:s, s:O}", "field", key, "value", v));
  kq_ctl_print (stdout, c->color, columns, 2, lines);
  json_decref (lines);
}

int
kq_ctl_usage (const char *text)
{
  fprintf (stderr, "usage: %s", text);
  return KQ_EXIT_USAGE;
}
