#include "node/queries.h"

#include <stdlib.h>

/* Maximum number of rows of a change; a larger one is taken for a mistake or an attack.
 */
#define CHANGES_MAX 20000
#define FAULTS_MAX 16

static json_t *
name_json (const KqName *n)
{
  return json_stringn (n->bytes, n->len);
}

static const char *
node_state_name (KqNodeState s)
{
  switch (s)
    {
    case KQ_NODE_ALIVE:
      return "alive";
    case KQ_NODE_SUSPECT:
      return "suspect";
    case KQ_NODE_GONE:
      return "gone";
    }
  return "?";
}

static const char *
shard_state_name (KqShardState s)
{
  switch (s)
    {
    case KQ_SHARD_IDLE:
      return "idle";
    case KQ_SHARD_RECOVERING:
      return "recovering";
    case KQ_SHARD_ACTIVE:
      return "active";
    case KQ_SHARD_RELEASING:
      return "giving-up";
    }
  return "?";
}

json_t *
kq_query_node (KqCore *c, KqTime now)
{
  const KqMember *m = kq_core_member (c);
  KqTable *t = kq_core_table (c);
  const char *why;
  bool ready = kq_core_ready (c, now, &why);
  json_t *o
      = json_pack ("{s:b, s:s, s:I, s:b, s:I, s:b}", "ready", ready, "why", why,
                   "table_revision", (json_int_t)(t != NULL ? kq_table_revision (t) : 0),
                   "draining", kq_core_draining (c), "store_silence_ms",
                   (json_int_t)(kq_member_store_silence (m, now) / KQ_MS), "lease_live",
                   kq_member_lease_live (m, now));
  uint32_t active = 0;
  for (uint32_t i = 0; i < kq_core_shards (c); i++)
    {
      KqShard *s = kq_core_shard (c, kq_core_first_shard (c) + i);
      active += kq_shard_state (s) == KQ_SHARD_ACTIVE;
    }
  json_object_set_new (o, "shards_active", json_integer (active));
  return o;
}

json_t *
kq_query_nodes (KqCore *c)
{
  const KqMember *m = kq_core_member (c);
  json_t *a = json_array ();
  for (size_t i = 0; i < kq_member_count (m); i++)
    {
      const KqNode *n = kq_member_at (m, i);
      json_t *o = json_pack ("{s:s, s:I, s:b, s:b, s:I}", "state",
                             node_state_name (n->state), "table_revision",
                             (json_int_t)n->table_revision, "draining", n->draining,
                             "in_store", n->in_store, "shards", (json_int_t)n->n_shards);
      json_object_set_new (o, "name", name_json (&n->info.name));
      json_object_set_new (o, "region", name_json (&n->info.region));
      json_object_set_new (o, "depot", name_json (&n->info.depot));
      json_object_set_new (o, "operators", name_json (&n->info.operator_address));
      json_array_append_new (a, o);
    }
  return a;
}

/* Adds the shard's state on this node to `o`. */
static void
add_local_state (KqCore *c, KqShard *s, KqTime now, json_t *o)
{
  const KqClaims *claims = kq_shard_claims (s);
  (void)c;
  json_object_set_new (o, "state", json_string (shard_state_name (kq_shard_state (s))));
  json_object_set_new (o, "epoch", json_integer ((json_int_t)kq_shard_epoch (s)));
  json_object_set_new (o, "journal_lag_ms",
                       json_integer (kq_shard_journal_lag (s, now) / KQ_MS));
  if (claims != NULL)
    json_object_set_new (o, "claims",
                         json_integer ((json_int_t)kq_claims_count (claims)));
}

json_t *
kq_query_shards (KqCore *c, KqTime now)
{
  json_t *a = json_array ();
  for (uint32_t i = 0; i < kq_core_shards (c); i++)
    {
      uint32_t shard = kq_core_first_shard (c) + i;
      KqNodeId id = kq_owner_of (kq_core_owner (c), kq_core_member (c), shard);
      const KqNode *n = kq_member_find (kq_core_member (c), id);
      json_t *o = json_pack ("{s:I}", "shard", (json_int_t)shard);
      json_object_set_new (o, "owner",
                           n != NULL ? name_json (&n->info.name) : json_null ());
      add_local_state (c, kq_core_shard (c, shard), now, o);
      json_array_append_new (a, o);
    }
  return a;
}

json_t *
kq_query_workers (KqCore *c, KqTime now)
{
  json_t *a = json_array ();
  for (uint32_t i = 0; i < kq_core_shards (c); i++)
    {
      KqShard *s = kq_core_shard (c, kq_core_first_shard (c) + i);
      const KqJobs *j = kq_shard_jobs (s);
      json_t *part;
      if (j == NULL)
        continue;
      part = kq_jobs_workers (j, now);
      json_array_extend (a, part);
      json_decref (part);
    }
  return a;
}

json_t *
kq_query_jobs_account (KqCore *c)
{
  json_t *a = json_array ();
  for (uint32_t i = 0; i < kq_core_shards (c); i++)
    {
      uint32_t shard = kq_core_first_shard (c) + i;
      const KqJobs *j = kq_shard_jobs (kq_core_shard (c, shard));
      KqJobsAccount n;
      if (j == NULL)
        continue;
      n = kq_jobs_account (j);
      json_array_append_new (
          a, json_pack (
                 "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
                 "shard", (json_int_t)shard, "accepted", (json_int_t)n.accepted, "queued",
                 (json_int_t)n.queued, "running", (json_int_t)n.running, "finished",
                 (json_int_t)n.finished, "failed", (json_int_t)n.failed, "cancelled",
                 (json_int_t)n.cancelled, "unplaceable", (json_int_t)n.unplaceable,
                 "moving", (json_int_t)n.moving, "moved", (json_int_t)n.moved, "evicted",
                 (json_int_t)n.evicted, "resumed", (json_int_t)n.resumed, "lost_attempts",
                 (json_int_t)n.lost_attempts));
    }
  return a;
}

json_t *
kq_query_table (KqCore *c)
{
  KqTable *t = kq_core_table (c);
  json_t *rows;
  if (t == NULL)
    return NULL;
  rows = json_array ();
  for (size_t i = 0; i < kq_table_size (t); i++)
    {
      const KqRow *r = kq_table_row (t, i);
      json_t *o
          = json_pack ("{s:s, s:I, s:o}", "kind", kq_row_kind_name (r->kind), "revision",
                       (json_int_t)r->revision, "fields", kq_row_to_json (r, false));
      json_object_set_new (o, "name", name_json (&r->name));
      json_array_append_new (rows, o);
    }
  return json_pack ("{s:I, s:o}", "revision", (json_int_t)kq_table_revision (t), "rows",
                    rows);
}

static void
append_faults (const KqRowFault *f, int n, KqBuf *detail)
{
  for (int i = 0; i < n && i < FAULTS_MAX; i++)
    kq_buf_printf (detail, "%s%.*s (%d %s): %s", i > 0 ? "; " : "",
                   KQ_STR_ARG (kq_name_str (&f[i].field)), f[i].code,
                   kq_result_name (f[i].code), f[i].allowed);
}

static KqResult
read_fields (KqCore *c, const json_t *o, KqRowChange *out, KqBuf *detail)
{
  KqTable *t = kq_core_table (c);
  const json_t *fields = json_object_get (o, "fields");
  const KqRow *old = NULL;
  KqRowFault faults[FAULTS_MAX];
  int n;
  if (t != NULL)
    old = kq_table_find (t, out->row.kind, kq_name_str (&out->row.name));
  if (old != NULL)
    out->row = *old;
  /* This node's table may be out of date. The fields copied from it must not undo what
   * others have changed in the row since: the change is refused if the row's revision is
   * no longer `base_revision`. */
  out->derived = true;
  out->base_revision = old != NULL ? old->revision : 0;
  if (fields == NULL || out->remove)
    return KQ_OK;
  n = kq_row_set (&out->row, fields, faults, FAULTS_MAX);
  append_faults (faults, n, detail);
  return n > 0 ? faults[0].code : KQ_OK;
}

static KqResult
read_change (KqCore *c, const json_t *o, KqRowChange *out, KqBuf *detail)
{
  const char *kind = json_string_value (json_object_get (o, "kind"));
  const json_t *name = json_object_get (o, "name");
  const json_t *expect = json_object_get (o, "expect");
  KqStr text = kq_str_n (json_string_value (name), json_string_length (name));
  KqRowKind k;
  if (kind == NULL || !kq_row_kind_parse (kq_str (kind), &k))
    {
      kq_buf_printf (detail, "kind: service, class, team, worker, caller or policy");
      return KQ_ERR_TABLE_ROW;
    }
  if (!json_is_string (name) || !kq_name_valid (text))
    {
      kq_buf_printf (detail, "name: 1 to %d of a-z A-Z 0-9 . _ -", KQ_NAME_MAX);
      return KQ_ERR_TABLE_ROW;
    }
  if (expect != NULL && (!json_is_integer (expect) || json_integer_value (expect) < 0))
    {
      kq_buf_printf (detail, "expect: a revision, or 0 for a row that must not exist");
      return KQ_ERR_TABLE_TYPE;
    }
  out->row = kq_row_default (k, text);
  out->remove = json_is_true (json_object_get (o, "remove"));
  out->expect = expect != NULL ? (uint64_t)json_integer_value (expect) : UINT64_MAX;
  return read_fields (c, o, out, detail);
}

KqResult
kq_query_read_changes (KqCore *c, KqStr json, KqRowChange **out, size_t *n, KqBuf *detail)
{
  json_error_t error;
  json_t *o = json_loadb (json.ptr, json.len, JSON_REJECT_DUPLICATES, &error);
  const json_t *list = json_object_get (o, "changes");
  KqResult r = KQ_OK;
  *out = NULL;
  *n = json_array_size (list);
  if (*n == 0 || *n > CHANGES_MAX)
    {
      kq_buf_printf (detail, "changes: a list of 1 to %d rows", CHANGES_MAX);
      json_decref (o);
      return KQ_ERR_TABLE_ROW;
    }
  *out = kq_alloc (*n * sizeof **out);
  for (size_t i = 0; i < *n && r == KQ_OK; i++)
    {
      KqBuf why = { 0 };
      r = read_change (c, json_array_get (list, i), &(*out)[i], &why);
      if (r != KQ_OK)
        kq_buf_printf (detail, "row %zu: %.*s", i + 1, KQ_STR_ARG (kq_buf_str (&why)));
      kq_buf_free (&why);
    }
  json_decref (o);
  return r;
}
