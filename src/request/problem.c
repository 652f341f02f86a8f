#include "request/problem.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const ran_names[] = { "no", "yes", "unknown" };

/* Retry-After has whole seconds; rounds up. */
static int
retry_seconds (KqTime t)
{
  return (int)((t + KQ_SEC - 1) / KQ_SEC);
}

void
kq_problem_reply (KqHttpExchange *x, KqResult code, KqRan ran, KqTime retry_after,
                  KqStr id, KqStr detail)
{
  char seconds[16];
  KqStr text = detail.len > 0 ? detail : kq_str (kq_result_meaning (code));
  KqHeader h[3] = { { KQ_STR ("Content-Type"), KQ_STR ("application/problem+json") } };
  size_t n = 1;
  json_t *o = json_pack ("{s:i, s:s, s:s%, s:s, s:i}", "code", (int)code, "title",
                         kq_result_name (code), "detail", text.ptr, text.len, "ran",
                         ran_names[ran], "status", kq_result_http (code));
  char *body;

  if (o == NULL)
    o = json_pack ("{s:i, s:s, s:s}", "code", (int)code, "title", kq_result_name (code),
                   "ran", ran_names[ran]);
  if (id.len > 0)
    json_object_set_new (o, "request", json_stringn (id.ptr, id.len));
  if (retry_after > 0)
    {
      json_object_set_new (o, "retry_after_ms", json_integer (retry_after / KQ_MS));
      snprintf (seconds, sizeof seconds, "%d", retry_seconds (retry_after));
      h[n++] = (KqHeader){ KQ_STR ("Retry-After"), kq_str (seconds) };
    }
  if (id.len > 0)
    h[n++] = (KqHeader){ KQ_STR ("X-Kq-Request"), id };
  body = json_dumps (o, JSON_COMPACT);
  kq_http_reply (x, kq_result_http (code), h, n, kq_str (body));
  free (body);
  json_decref (o);
}
