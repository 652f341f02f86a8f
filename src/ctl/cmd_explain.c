#include "ctl/ctl.h"

#include <string.h>

/* A job's id has 16 hex digits; a request's (header X-Kq-Request) contains dashes. */
static bool
is_job_id (const char *id)
{
  return strlen (id) == 16 && strspn (id, "0123456789abcdef") == 16;
}

/* Only the entry node that accepted the request knows it, so the nodes are asked in
 * turn. */
static int
explain_request (const KqCtl *c, const char *id)
{
  json_t *nodes;
  json_t *node;
  json_t *answer = NULL;
  size_t i;
  KqBuf path = { 0 };
  int code = kq_ctl_get (c, "/v1/nodes", &nodes);
  if (code != KQ_EXIT_OK)
    return code;
  code = KQ_EXIT_NOT_FOUND;
  kq_buf_printf (&path, "/v1/explain/%s", id);
  json_array_foreach (nodes, i, node)
  {
    KqCtl ask = *c;
    const char *state = json_string_value (json_object_get (node, "state"));
    ask.node = (char *)json_string_value (json_object_get (node, "name"));
    if (answer == NULL && state != NULL && strcmp (state, "alive") == 0)
      code = kq_ctl_get (&ask, path.ptr, &answer);
  }
  if (answer != NULL)
    {
      kq_ctl_show_object (c, answer);
      code = KQ_EXIT_OK;
    }
  json_decref (answer);
  json_decref (nodes);
  kq_buf_free (&path);
  return code;
}

int
kq_ctl_explain (KqCtl *c, int n, char **args)
{
  KqBuf path = { 0 };
  json_t *answer;
  if (n != 1 || args[0][strcspn (args[0], "/?# ")] != '\0')
    return kq_ctl_usage ("kumquatctl explain JOB|REQUEST-ID\n");
  if (!is_job_id (args[0]))
    return explain_request (c, args[0]);
  kq_buf_printf (&path, "/v1/jobs/%s/explain", args[0]);
  int code = kq_ctl_get (c, path.ptr, &answer);
  if (code == KQ_EXIT_OK)
    kq_ctl_show_object (c, answer);
  json_decref (answer);
  kq_buf_free (&path);
  return code;
}
