#include "ctl/ctl.h"
#include "fleet/operator.h"

#include <string.h>

#define USAGE                                                                            \
  "kumquatctl fleet --node IP:PORT explain ID   why a job waits, what is before it\n"    \
  "           fleet --node IP:PORT load         a line for each service and kind\n"      \
  "           fleet --node IP:PORT cordons      a line for each cordoned domain\n"       \
  "IP:PORT is the metrics port of any node of the fleet.\n"

int
kq_ctl_fleet (KqCtl *c, int n, char **args)
{
  const char *verb = n > 0 ? args[0] : "";
  bool explain = strcmp (verb, "explain") == 0 && n == 2;
  KqBuf url = { 0 };
  KqBuf text = { 0 };
  int code;
  if (c->node == NULL
      || (!explain
          && (n != 1 || (strcmp (verb, "load") != 0 && strcmp (verb, "cordons") != 0))))
    return kq_ctl_usage (USAGE);
  if (explain && !kq_fleet_operator_id_valid (kq_str (args[1])))
    {
      fprintf (stderr, "kumquatctl: %d %s: not a job's id\n", KQ_ERR_BAD_REQUEST,
               kq_result_name (KQ_ERR_BAD_REQUEST));
      return KQ_EXIT_USAGE;
    }
  kq_buf_printf (&url, "http://%s/%s%s%s", c->node, verb, explain ? "/" : "",
                 explain ? args[1] : "");
  code = kq_ctl_get_text (c, url.ptr, &text);
  if (text.len > 0)
    fwrite (text.ptr, 1, text.len, code == KQ_EXIT_OK ? stdout : stderr);
  kq_buf_free (&text);
  kq_buf_free (&url);
  return code;
}
