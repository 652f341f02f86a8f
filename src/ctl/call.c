#include "ctl/ctl.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

static size_t
append_body (char *bytes, size_t size, size_t n, void *buf)
{
  kq_buf_add (buf, bytes, size * n);
  return size * n;
}

/* Maps a response to an exit code. The member "ran" of an error answer tells whether the
 * request ran: "no", "yes" or "unknown". KQ_ERR_STORE_UNREACHABLE and
 * KQ_ERR_COMMIT_UNKNOWN can mean that a write was done and the store's answer to it lost:
 * for every method but GET the outcome then counts as unknown, whatever "ran" says. */
static int
exit_code_of_status (const char *method, long status, const json_t *problem)
{
  json_int_t result = json_integer_value (json_object_get (problem, "code"));
  bool lost = result == KQ_ERR_STORE_UNREACHABLE || result == KQ_ERR_COMMIT_UNKNOWN;
  const char *ran = json_string_value (json_object_get (problem, "ran"));
  if (status >= 200 && status < 300)
    return KQ_EXIT_OK;
  if ((ran != NULL && strcmp (ran, "unknown") == 0)
      || (lost && strcmp (method, "GET") != 0))
    return KQ_EXIT_UNKNOWN;
  switch (status)
    {
    case 401:
    case 403:
      return KQ_EXIT_UNAUTHORIZED;
    case 404:
      return KQ_EXIT_NOT_FOUND;
    case 409:
    case 412:
      return KQ_EXIT_CONFLICT;
    default:
      return KQ_EXIT_REFUSED;
    }
}

static void
print_problem (long status, const json_t *problem)
{
  const char *title = json_string_value (json_object_get (problem, "title"));
  const char *detail = json_string_value (json_object_get (problem, "detail"));
  json_int_t code = json_integer_value (json_object_get (problem, "code"));
  if (title == NULL)
    fprintf (stderr, "kumquatctl: HTTP status %ld\n", status);
  else
    fprintf (stderr, "kumquatctl: %lld %s: %s\n", (long long)code, title,
             detail != NULL ? detail : "");
}

static void
add_node_parameter (const KqCtl *c, const char *path, KqBuf *url)
{
  if (c->node == NULL)
    return;
  kq_buf_printf (url, "%cnode=%s", strchr (path, '?') != NULL ? '&' : '?', c->node);
}

/* A request that was never sent changed nothing; one that was sent may have changed
 * something. */
static int
exit_code_of_failure (CURLcode r, const char *method)
{
  bool sent = r != CURLE_COULDNT_CONNECT && r != CURLE_COULDNT_RESOLVE_HOST
              && r != CURLE_URL_MALFORMAT && r != CURLE_UNSUPPORTED_PROTOCOL;
  return sent && strcmp (method, "GET") != 0 ? KQ_EXIT_UNKNOWN : KQ_EXIT_UNREACHABLE;
}

static struct curl_slist *
make_headers (const KqCtl *c, const char *header)
{
  struct curl_slist *list = NULL;
  KqBuf b = { 0 };
  if (c->token != NULL)
    {
      kq_buf_printf (&b, "Authorization: Bearer %s", c->token);
      list = curl_slist_append (list, b.ptr);
    }
  if (header != NULL)
    list = curl_slist_append (list, header);
  list = curl_slist_append (list, "Expect:");
  kq_buf_free (&b);
  return list;
}

int
kq_ctl_call (const KqCtl *c, const char *method, const char *path, const char *header,
             KqStr body, json_t **out)
{
  CURL *h = curl_easy_init ();
  struct curl_slist *headers = make_headers (c, header);
  KqBuf url = { 0 };
  KqBuf response = { 0 };
  long status = 0;
  int code;
  *out = NULL;
  kq_buf_printf (&url, "%s%s", c->server, path);
  add_node_parameter (c, path, &url);
  curl_easy_setopt (h, CURLOPT_URL, url.ptr);
  curl_easy_setopt (h, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (h, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (h, CURLOPT_TIMEOUT, (long)c->timeout_s);
  curl_easy_setopt (h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (h, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (h, CURLOPT_WRITEDATA, &response);
  if (strcmp (method, "GET") != 0)
    {
      curl_easy_setopt (h, CURLOPT_POSTFIELDSIZE, (long)body.len);
      curl_easy_setopt (h, CURLOPT_POSTFIELDS, body.len > 0 ? body.ptr : "");
    }
  CURLcode r = curl_easy_perform (h);
  if (r != CURLE_OK)
    {
      fprintf (stderr, "kumquatctl: %s: %s\n", c->server, curl_easy_strerror (r));
      code = exit_code_of_failure (r, method);
      goto out;
    }
  curl_easy_getinfo (h, CURLINFO_RESPONSE_CODE, &status);
  json_t *json
      = json_loadb (response.ptr != NULL ? response.ptr : "", response.len, 0, NULL);
  code = exit_code_of_status (method, status, json);
  if (code == KQ_EXIT_OK)
    *out = json;
  else
    {
      print_problem (status, json);
      json_decref (json);
    }
out:
  curl_slist_free_all (headers);
  curl_easy_cleanup (h);
  kq_buf_free (&url);
  kq_buf_free (&response);
  return code;
}

int
kq_ctl_get_text (const KqCtl *c, const char *url, KqBuf *text)
{
  CURL *h = curl_easy_init ();
  long status = 0;
  CURLcode r;
  curl_easy_setopt (h, CURLOPT_URL, url);
  curl_easy_setopt (h, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (h, CURLOPT_TIMEOUT, (long)c->timeout_s);
  curl_easy_setopt (h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (h, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (h, CURLOPT_WRITEDATA, text);
  r = curl_easy_perform (h);
  curl_easy_getinfo (h, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (h);
  if (r == CURLE_OK)
    return exit_code_of_status ("GET", status, NULL);
  fprintf (stderr, "kumquatctl: %s: %s\n", url, curl_easy_strerror (r));
  kq_buf_clear (text);
  return exit_code_of_failure (r, "GET");
}

int
kq_ctl_get (const KqCtl *c, const char *path, json_t **out)
{
  int code = kq_ctl_call (c, "GET", path, NULL, KQ_STR (""), out);
  if (code != KQ_EXIT_OK || *out != NULL)
    return code;
  fprintf (stderr, "kumquatctl: the response is not JSON\n");
  return KQ_EXIT_REFUSED;
}

int
kq_ctl_get_all (const KqCtl *c, const char *path, json_t **out)
{
  json_t *nodes;
  json_t *node;
  size_t i;
  int code = kq_ctl_get (c, "/v1/nodes", &nodes);
  *out = NULL;
  if (code != KQ_EXIT_OK)
    return code;
  *out = json_array ();
  json_array_foreach (nodes, i, node)
  {
    const char *name = json_string_value (json_object_get (node, "name"));
    const char *state = json_string_value (json_object_get (node, "state"));
    json_t *answer;
    KqCtl ask = *c;
    ask.node = (char *)name;
    if (name == NULL || state == NULL || strcmp (state, "alive") != 0)
      continue;
    if (kq_ctl_get (&ask, path, &answer) != KQ_EXIT_OK)
      {
        fprintf (stderr, "kumquatctl: no answer from node %s; it is left out\n", name);
        continue;
      }
    json_array_append_new (*out,
                           json_pack ("{s:s, s:o}", "node", name, "answer", answer));
  }
  json_decref (nodes);
  return KQ_EXIT_OK;
}
