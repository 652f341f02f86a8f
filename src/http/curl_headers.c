#include "http/curl_headers.h"

#include <string.h>
#include <strings.h>

static bool
has_header (const KqHttpRequest *r, const char *name)
{
  size_t n = strlen (name);
  for (size_t i = 0; i < r->n_headers; i++)
    {
      if (r->headers[i].name.len == n
          && strncasecmp (r->headers[i].name.ptr, name, n) == 0)
        return true;
    }
  return false;
}

struct curl_slist *
kq_curl_headers (const KqHttpRequest *r)
{
  /* Headers that libcurl would add; removed unless the caller sets them. */
  static const char *const added[] = { "Accept", "Content-Type", "User-Agent", "Expect" };
  struct curl_slist *list = NULL;
  KqBuf line = { 0 };
  for (size_t i = 0; i < r->n_headers; i++)
    {
      kq_buf_clear (&line);
      /* libcurl sends a header without a value only if it ends in a semicolon. */
      if (r->headers[i].value.len == 0)
        kq_buf_printf (&line, "%.*s;", KQ_STR_ARG (r->headers[i].name));
      else
        kq_buf_printf (&line, "%.*s: %.*s", KQ_STR_ARG (r->headers[i].name),
                       KQ_STR_ARG (r->headers[i].value));
      list = curl_slist_append (list, line.ptr);
    }
  for (size_t i = 0; i < sizeof added / sizeof added[0]; i++)
    {
      kq_buf_clear (&line);
      kq_buf_printf (&line, "%s:", added[i]);
      if (!has_header (r, added[i]))
        list = curl_slist_append (list, line.ptr);
    }
  kq_buf_free (&line);
  return list;
}
