#include "api/jobs_http.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define LIST_DEFAULT 100
#define LIST_MAX 1000
/* The node's task chooses the shard. */
#define SHARD_ANY UINT32_MAX

KqStr
kq_query_value (KqStr query, const char *name)
{
  while (query.len > 0)
    {
      KqStr value = kq_str_cut (&query, '&');
      KqStr key = kq_str_cut (&value, '=');
      if (kq_str_eq (key, kq_str (name)))
        return value;
    }
  return kq_str ("");
}

/* 16 hex digits. */
static bool
read_job_id (KqStr s, KqJobId *out)
{
  KqJobId id = 0;
  if (s.len != 16)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      const char *digits = "0123456789abcdef";
      const char *p = s.ptr[i] != '\0' ? strchr (digits, s.ptr[i]) : NULL;
      if (p == NULL)
        return false;
      id = id << 4 | (KqJobId)(p - digits);
    }
  *out = id;
  return true;
}

static bool
read_name (const json_t *o, const char *field, KqName *out, KqBuf *detail)
{
  const json_t *v = json_object_get (o, field);
  KqStr s = v != NULL ? kq_str_n (json_string_value (v), json_string_length (v))
                      : kq_str ("");
  if (v == NULL)
    return true;
  if (!json_is_string (v) || !kq_name_valid (s))
    {
      kq_buf_printf (detail, "%s: 1 to %d of a-z A-Z 0-9 . _ -", field, KQ_NAME_MAX);
      return false;
    }
  *out = kq_name (s);
  return true;
}

static bool
read_number (const json_t *o, const char *field, int64_t max, int64_t *out, KqBuf *detail)
{
  const json_t *v = json_object_get (o, field);
  if (v == NULL)
    return true;
  if (!json_is_integer (v) || json_integer_value (v) < 0 || json_integer_value (v) > max)
    {
      kq_buf_printf (detail, "%s: a whole number from 0 to %lld", field, (long long)max);
      return false;
    }
  *out = json_integer_value (v);
  return true;
}

static bool
read_priority (const json_t *o, KqPriority *out, KqBuf *detail)
{
  static const char *const names[] = { "low", "normal", "high", "urgent" };
  const json_t *v = json_object_get (o, "priority");
  if (v == NULL)
    return true;
  for (int i = 0; i < 4 && json_is_string (v); i++)
    {
      if (strcmp (json_string_value (v), names[i]) == 0)
        {
          *out = (KqPriority)(KQ_PRIORITY_LOW + i);
          return true;
        }
    }
  kq_buf_printf (detail, "priority: low, normal, high or urgent");
  return false;
}

static bool
known_fields (const json_t *o, KqBuf *detail)
{
  static const char *const names[] = { "team",      "class",     "priority",
                                       "cpu_milli", "memory_mb", "accelerators",
                                       "run_ms" };
  const char *key;
  json_t *v;
  json_object_foreach ((json_t *)o, key, v)
  {
    bool known = false;
    for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
      known = known || strcmp (key, names[i]) == 0;
    if (!known)
      {
        kq_buf_printf (detail, "%s: no such field", key);
        return false;
      }
  }
  return true;
}

/* Larger values are typing errors: no host has 10,000 cores or 100 TB of memory. */
#define CPU_MILLI_MAX 10000000
#define MEMORY_MB_MAX 100000000
#define ACCELERATORS_MAX 1000
#define RUN_MS_MAX (366LL * 24 * 3600 * 1000)

static bool
read_fields (const json_t *o, KqJobSpec *s, KqBuf *detail)
{
  return known_fields (o, detail) && read_priority (o, &s->priority, detail)
         && read_number (o, "cpu_milli", CPU_MILLI_MAX, &s->size.cpu_milli, detail)
         && read_number (o, "memory_mb", MEMORY_MB_MAX, &s->size.memory_mb, detail)
         && read_number (o, "accelerators", ACCELERATORS_MAX, &s->size.accelerators,
                         detail)
         && read_number (o, "run_ms", RUN_MS_MAX, &s->run_ms, detail);
}

/* Defaults from the job's class, before the job's own fields are read. */
static void
apply_class (const KqClassRow *row, KqJobSpec *s)
{
  s->size = row->size;
  s->run_ms = row->run_ms;
  s->latency_critical = row->latency_critical;
}

/* Parses the body of a submission; missing fields are taken from the class's row. Returns
 * KQ_OK, KQ_ERR_JOB_BAD or KQ_ERR_TEAM_UNKNOWN; describes the error in `detail`. */
static KqResult
read_spec (KqStr body, KqStr key, KqTable *table, KqJobSpec *out, KqBuf *detail)
{
  json_error_t error;
  json_t *o = json_loadb (body.ptr, body.len, JSON_REJECT_DUPLICATES, &error);
  const KqRow *class_row;
  KqResult r = KQ_ERR_JOB_BAD;

  *out = (KqJobSpec){ .priority = KQ_PRIORITY_NORMAL };
  if (!json_is_object (o))
    {
      kq_buf_printf (detail, "the body must be a JSON object: %s",
                     o == NULL ? error.text : "it is something else");
      goto out;
    }
  if (key.len > 0 && !kq_name_valid (key))
    {
      kq_buf_printf (detail, "Idempotency-Key: 1 to %d of a-z A-Z 0-9 . _ -",
                     KQ_NAME_MAX);
      goto out;
    }
  if (!read_name (o, "team", &out->team, detail)
      || !read_name (o, "class", &out->class_name, detail))
    goto out;
  out->key = kq_name (key);
  if (kq_table_find (table, KQ_ROW_TEAM, kq_name_str (&out->team)) == NULL)
    {
      r = KQ_ERR_TEAM_UNKNOWN;
      goto out;
    }
  class_row = kq_table_find (table, KQ_ROW_CLASS, kq_name_str (&out->class_name));
  if (class_row == NULL)
    {
      kq_buf_printf (detail, "class: the table has no such class");
      goto out;
    }
  apply_class (&class_row->u.job_class, out);
  if (!read_fields (o, out, detail))
    goto out;
  if (out->size.cpu_milli <= 0 || out->size.memory_mb <= 0)
    {
      kq_buf_printf (detail, "cpu_milli and memory_mb must be above 0");
      goto out;
    }
  r = KQ_OK;
out:
  json_decref (o);
  return r;
}

bool
kq_jobs_http_path (KqStr path)
{
  return kq_str_eq (path, KQ_STR ("/v1/jobs"))
         || kq_str_has_prefix (path, KQ_STR ("/v1/jobs/"));
}

static void
submit (KqCalls *c, KqNodeId self, KqTable *table, KqHttpExchange *x, KqStr body,
        KqTime now)
{
  KqBuf detail = { 0 };
  KqMsg m = { .kind = KQ_MSG_JOB_SUBMIT };
  KqResult r = read_spec (body, kq_http_header (x, "Idempotency-Key"), table,
                          &m.u.job_submit.spec, &detail);
  m.u.job_submit.shard = SHARD_ANY;
  if (r == KQ_OK)
    kq_calls_ask (c, self, &m, x, now);
  else
    kq_calls_refuse (c, x, r, kq_buf_str (&detail));
  kq_buf_free (&detail);
}

static void
list (KqCalls *c, KqNodeId self, KqHttpExchange *x, KqTime now)
{
  KqStr q = kq_http_query (x);
  KqStr after = kq_query_value (q, "after");
  uint64_t shard = 0;
  uint64_t limit = LIST_DEFAULT;
  KqMsg m = { .kind = KQ_MSG_JOB_CALL };
  m.u.job_call.kind = KQ_JOB_LIST;
  if ((after.len > 0 && !read_job_id (after, &m.u.job_call.job))
      || !kq_str_to_u64 (kq_query_value (q, "shard"), &shard) || shard >= SHARD_ANY
      || (kq_query_value (q, "limit").len > 0
          && (!kq_str_to_u64 (kq_query_value (q, "limit"), &limit) || limit < 1
              || limit > LIST_MAX)))
    {
      kq_calls_refuse (
          c, x, KQ_ERR_BAD_ARGUMENT,
          KQ_STR ("shard=N after=ID limit=1..1000: one of them is missing or wrong"));
      return;
    }
  m.u.job_call.shard = (uint32_t)shard;
  m.u.job_call.limit = (uint32_t)limit;
  kq_calls_ask (c, self, &m, x, now);
}

static void
handle_job (KqCalls *c, KqNodeId self, KqHttpExchange *x, KqStr rest, KqTime now)
{
  KqStr id = kq_str_cut (&rest, '/');
  KqStr method = kq_http_method (x);
  KqMsg m = { .kind = KQ_MSG_JOB_CALL };
  if (!read_job_id (id, &m.u.job_call.job))
    {
      kq_calls_refuse (c, x, KQ_ERR_JOB_UNKNOWN, KQ_STR ("a job's id is 16 hex digits"));
      return;
    }
  if (kq_str_eq (method, KQ_STR ("DELETE")) && rest.len == 0)
    m.u.job_call.kind = KQ_JOB_CANCEL;
  else if (kq_str_eq (method, KQ_STR ("GET")) && kq_str_eq (rest, KQ_STR ("explain")))
    m.u.job_call.kind = KQ_JOB_EXPLAIN;
  else if (kq_str_eq (method, KQ_STR ("GET")) && rest.len == 0)
    m.u.job_call.kind = KQ_JOB_GET;
  else
    {
      kq_calls_refuse (c, x, KQ_ERR_METHOD, kq_str (""));
      return;
    }
  m.u.job_call.shard = (uint32_t)(m.u.job_call.job >> 48);
  kq_calls_ask (c, self, &m, x, now);
}

void
kq_jobs_http_handle (KqCalls *c, KqNodeId self, KqTable *table, KqHttpExchange *x,
                     KqStr body, KqTime now)
{
  KqStr path = kq_http_path (x);
  KqStr prefix = KQ_STR ("/v1/jobs/");
  KqStr method = kq_http_method (x);
  if (table == NULL)
    kq_calls_refuse (c, x, KQ_ERR_TABLE_NONE, kq_str (""));
  else if (kq_str_has_prefix (path, prefix))
    handle_job (c, self, x, kq_str_n (path.ptr + prefix.len, path.len - prefix.len), now);
  else if (kq_str_eq (method, KQ_STR ("POST")))
    submit (c, self, table, x, body, now);
  else if (kq_str_eq (method, KQ_STR ("GET")))
    list (c, self, x, now);
  else
    kq_calls_refuse (c, x, KQ_ERR_METHOD, kq_str (""));
}
