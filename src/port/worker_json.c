#include "port/worker_json.h"

#include "port/json_reader.h"

#include <stdio.h>
#include <stdlib.h>

#define SIZE_FIELD_MAX ((int64_t)1 << 40)
#define SLOTS_MAX 100000
/* Longest run time accepted, in ms. It fits 64 bits in microseconds too. */
#define RUN_MS_MAX (INT64_MAX / 4000)

static const char *const call_names[]
    = { "lease", "start", "stop", "checkpoint", "throttle" };
static const char *const state_names[]
    = { "running", "finished", "failed", "checkpointed", "stopped" };

static const struct
{
  const char *name;
  KqResult result;
} errors[] = { { "old_epoch", KQ_ERR_OLD_EPOCH },
               { "old_attempt", KQ_ERR_OLD_ATTEMPT },
               { "no_lease", KQ_ERR_NO_LEASE },
               { "no_room", KQ_ERR_NO_ROOM },
               { "refused", KQ_ERR_WORKER_REFUSED } };

/* The name's index; -1: not found. */
static int
index_of (KqStr name, const char *const *names, int n)
{
  for (int i = 0; i < n; i++)
    {
      if (kq_str_eq (name, kq_str (names[i])))
        return i;
    }
  return -1;
}

const char *
kq_worker_call_name (KqWorkerCallKind kind)
{
  return call_names[kind];
}

bool
kq_worker_call_kind (KqStr name, KqWorkerCallKind *out)
{
  int i = index_of (name, call_names, KQ_WORKER_THROTTLE + 1);
  if (i >= 0)
    *out = (KqWorkerCallKind)i;
  return i >= 0;
}

static json_t *
number (uint64_t v)
{
  char text[24];
  snprintf (text, sizeof text, "%llu", (unsigned long long)v);
  return json_string (text);
}

static json_t *
name_json (const KqName *n)
{
  return json_stringn (n->bytes, n->len);
}

static void
set_key (json_t *j, KqTaskKey key)
{
  json_object_set_new (j, "job", number (key.job));
  json_object_set_new (j, "attempt", json_integer (key.attempt));
}

static json_t *
size_json (KqSize s)
{
  json_t *j = json_object ();
  json_object_set_new (j, "cpu_milli", json_integer (s.cpu_milli));
  json_object_set_new (j, "memory_mb", json_integer (s.memory_mb));
  json_object_set_new (j, "accelerators", json_integer (s.accelerators));
  return j;
}

static void
set_lease (json_t *j, const KqWorkerCall *c)
{
  json_t *acks = json_array ();
  for (size_t i = 0; i < c->n_acks; i++)
    {
      json_t *a = json_object ();
      set_key (a, c->acks[i]);
      json_array_append_new (acks, a);
    }
  json_object_set_new (j, "echo_stamp", number (c->echo_stamp));
  json_object_set_new (j, "lease_ms", json_integer (c->lease_ms));
  json_object_set_new (j, "acks", acks);
  if (c->list_stamp != 0)
    json_object_set_new (j, "list_stamp", number (c->list_stamp));
}

static void
set_start (json_t *j, const KqWorkerCall *c)
{
  json_object_set_new (j, "size", size_json (c->size));
  json_object_set_new (j, "class", name_json (&c->class_name));
  json_object_set_new (j, "checkpoint", name_json (&c->checkpoint));
  json_object_set_new (j, "latency_critical", json_boolean (c->latency_critical));
  json_object_set_new (j, "run_ms", json_integer (c->run_ms));
}

char *
kq_worker_call_json (const KqWorkerCall *c)
{
  json_t *j = json_object ();
  char *text;
  json_object_set_new (j, "shard", json_integer (c->shard));
  json_object_set_new (j, "epoch", number (c->epoch));
  json_object_set_new (j, "token", number (c->token));
  if (c->kind == KQ_WORKER_LEASE)
    set_lease (j, c);
  else
    set_key (j, c->task);
  if (c->kind == KQ_WORKER_START)
    set_start (j, c);
  if (c->kind == KQ_WORKER_THROTTLE)
    json_object_set_new (j, "throttle_percent", json_integer (c->throttle_percent));
  text = json_dumps (j, JSON_COMPACT);
  json_decref (j);
  return text;
}

static KqResult
read_error (KqJsonReader *r)
{
  KqStr name = kq_json_str (r, "error");
  for (size_t i = 0; i < sizeof errors / sizeof errors[0]; i++)
    {
      if (kq_str_eq (name, kq_str (errors[i].name)))
        return errors[i].result;
    }
  return KQ_ERR_PLATFORM_FORMAT;
}

static KqTaskState
read_state (KqJsonReader *r)
{
  int i = index_of (kq_json_str (r, "state"), state_names, KQ_TASK_STOPPED + 1);
  r->bad = r->bad || i < 0;
  return i < 0 ? KQ_TASK_RUNNING : (KqTaskState)i;
}

static KqTaskKey
read_key (KqJsonReader *r)
{
  return (KqTaskKey){ kq_json_u64 (r, "job"),
                      (uint32_t)kq_json_i64 (r, "attempt", 0, UINT32_MAX) };
}

static KqSize
read_size (KqJsonReader *outer, const char *key)
{
  KqJsonReader r = kq_json_object (outer, key);
  KqSize s = { kq_json_i64 (&r, "cpu_milli", 0, SIZE_FIELD_MAX),
               kq_json_i64 (&r, "memory_mb", 0, SIZE_FIELD_MAX),
               kq_json_i64 (&r, "accelerators", 0, SIZE_FIELD_MAX) };
  kq_json_propagate (outer, &r);
  return s;
}

static void
read_lease_call (KqJsonReader *r, KqWorkerCall *c)
{
  size_t n;
  const json_t *acks = kq_json_array (r, "acks", &n);
  c->echo_stamp = kq_json_u64 (r, "echo_stamp");
  c->lease_ms = (int)kq_json_i64 (r, "lease_ms", 1, INT32_MAX);
  if (kq_json_has (r, "list_stamp"))
    c->list_stamp = kq_json_u64 (r, "list_stamp");
  c->acks = kq_alloc ((n + 1) * sizeof *c->acks);
  for (; c->n_acks < n; c->n_acks++)
    {
      KqJsonReader e = kq_json_element (acks, c->n_acks);
      c->acks[c->n_acks] = read_key (&e);
      kq_json_propagate (r, &e);
    }
}

static void
read_start_call (KqJsonReader *r, KqWorkerCall *c)
{
  c->size = read_size (r, "size");
  c->class_name = kq_json_name (r, "class");
  c->checkpoint = kq_json_name (r, "checkpoint");
  c->latency_critical = kq_json_bool (r, "latency_critical");
  c->run_ms = kq_json_i64 (r, "run_ms", 0, RUN_MS_MAX);
}

bool
kq_worker_call_read (KqStr text, KqWorkerCallKind kind, KqWorkerCall *c)
{
  json_t *j = kq_json_parse (text);
  KqJsonReader r = { .at = j, .bad = j == NULL };
  *c = (KqWorkerCall){ .kind = kind };
  c->shard = (uint32_t)kq_json_i64 (&r, "shard", 0, UINT32_MAX);
  c->epoch = kq_json_u64 (&r, "epoch");
  c->token = kq_json_u64 (&r, "token");
  if (kind == KQ_WORKER_LEASE)
    read_lease_call (&r, c);
  else
    c->task = read_key (&r);
  if (kind == KQ_WORKER_START)
    read_start_call (&r, c);
  if (kind == KQ_WORKER_THROTTLE)
    c->throttle_percent = (int)kq_json_i64 (&r, "throttle_percent", 1, 100);
  json_decref (j);
  return !r.bad;
}

static json_t *
task_json (const KqTaskReport *t)
{
  json_t *j = json_object ();
  set_key (j, t->task);
  json_object_set_new (j, "state", json_string (state_names[t->state]));
  json_object_set_new (j, "checkpoint", name_json (&t->checkpoint));
  json_object_set_new (j, "run_us", json_integer (t->run_us));
  json_object_set_new (j, "size", size_json (t->size));
  json_object_set_new (j, "class", name_json (&t->class_name));
  json_object_set_new (j, "latency_critical", json_boolean (t->latency_critical));
  return j;
}

static json_t *
usage_json (const KqUsageReport *u)
{
  json_t *j = json_object ();
  set_key (j, u->task);
  json_object_set_new (j, "age_us", json_integer (u->age_us));
  json_object_set_new (j, "cpu_milli", json_integer (u->cpu_milli));
  json_object_set_new (j, "memory_mb", json_integer (u->memory_mb));
  json_object_set_new (j, "slowdown", json_real (u->slowdown));
  return j;
}

static json_t *
runner_json (const KqRunnerReport *u)
{
  json_t *j = json_object ();
  json_object_set_new (j, "runner", name_json (&u->runner));
  json_object_set_new (j, "slots", json_integer (u->slots));
  json_object_set_new (j, "slots_busy", json_integer (u->slots_busy));
  json_object_set_new (j, "connections", json_integer (u->connections));
  json_object_set_new (j, "leaving", json_boolean (u->leaving));
  return j;
}

static void
set_lease_answer (json_t *j, const KqWorkerReply *r)
{
  json_t *tasks = json_array ();
  json_t *usage = json_array ();
  json_t *runners = json_array ();
  for (size_t i = 0; i < r->n_tasks; i++)
    json_array_append_new (tasks, task_json (&r->tasks[i]));
  for (size_t i = 0; i < r->n_usage; i++)
    json_array_append_new (usage, usage_json (&r->usage[i]));
  for (size_t i = 0; i < r->n_runners; i++)
    json_array_append_new (runners, runner_json (&r->runners[i]));
  json_object_set_new (j, "stamp", number (r->stamp));
  json_object_set_new (j, "lease_live", json_boolean (r->lease_live));
  json_object_set_new (j, "leaving", json_boolean (r->leaving));
  json_object_set_new (j, "whole", size_json (r->capacity));
  json_object_set_new (j, "tasks", tasks);
  if (r->tasks_since != 0)
    json_object_set_new (j, "tasks_since", number (r->tasks_since));
  if (r->list_tag != 0)
    json_object_set_new (j, "list_tag", number (r->list_tag));
  json_object_set_new (j, "usage", usage);
  json_object_set_new (j, "runners", runners);
}

char *
kq_worker_answer_json (const KqWorkerReply *r)
{
  json_t *j = json_object ();
  char *text;
  json_object_set_new (j, "kind", json_string (call_names[r->kind]));
  json_object_set_new (j, "token", number (r->token));
  json_object_set_new (j, "epoch", number (r->epoch));
  json_object_set_new (j, "worker_epoch", number (r->worker_epoch));
  for (size_t i = 0; i < sizeof errors / sizeof errors[0]; i++)
    {
      if (r->result == errors[i].result)
        json_object_set_new (j, "error", json_string (errors[i].name));
    }
  if (r->result == KQ_OK && r->kind == KQ_WORKER_LEASE)
    set_lease_answer (j, r);
  if (r->result == KQ_OK && r->kind == KQ_WORKER_CHECKPOINT)
    json_object_set_new (j, "checkpoint", name_json (&r->checkpoint));
  text = json_dumps (j, JSON_COMPACT);
  json_decref (j);
  return text;
}

static void
read_tasks (KqJsonReader *outer, KqWorkerReply *to)
{
  size_t n;
  const json_t *list = kq_json_array (outer, "tasks", &n);
  to->tasks = kq_alloc ((n + 1) * sizeof *to->tasks);
  for (; to->n_tasks < n; to->n_tasks++)
    {
      KqJsonReader r = kq_json_element (list, to->n_tasks);
      KqTaskReport *t = &to->tasks[to->n_tasks];
      t->task = read_key (&r);
      t->state = read_state (&r);
      t->checkpoint = kq_json_name (&r, "checkpoint");
      t->run_us = kq_json_i64 (&r, "run_us", 0, INT64_MAX);
      t->size = read_size (&r, "size");
      t->class_name = kq_json_name (&r, "class");
      t->latency_critical = kq_json_bool (&r, "latency_critical");
      kq_json_propagate (outer, &r);
    }
}

static void
read_usage (KqJsonReader *outer, KqWorkerReply *to)
{
  size_t n;
  const json_t *list = kq_json_array (outer, "usage", &n);
  to->usage = kq_alloc ((n + 1) * sizeof *to->usage);
  for (; to->n_usage < n; to->n_usage++)
    {
      KqJsonReader r = kq_json_element (list, to->n_usage);
      KqUsageReport *u = &to->usage[to->n_usage];
      u->task = read_key (&r);
      u->age_us = kq_json_i64 (&r, "age_us", 0, INT64_MAX);
      u->cpu_milli = kq_json_i64 (&r, "cpu_milli", 0, SIZE_FIELD_MAX);
      u->memory_mb = kq_json_i64 (&r, "memory_mb", 0, SIZE_FIELD_MAX);
      u->slowdown = kq_json_double (&r, "slowdown");
      kq_json_propagate (outer, &r);
    }
}

static void
read_runners (KqJsonReader *outer, KqWorkerReply *to)
{
  size_t n;
  const json_t *list = kq_json_array (outer, "runners", &n);
  to->runners = kq_alloc ((n + 1) * sizeof *to->runners);
  for (; to->n_runners < n; to->n_runners++)
    {
      KqJsonReader r = kq_json_element (list, to->n_runners);
      KqRunnerReport *u = &to->runners[to->n_runners];
      u->runner = kq_json_name (&r, "runner");
      u->slots = (int)kq_json_i64 (&r, "slots", 0, SLOTS_MAX);
      u->slots_busy = (int)kq_json_i64 (&r, "slots_busy", 0, SLOTS_MAX);
      u->connections = (int)kq_json_i64 (&r, "connections", 0, SLOTS_MAX);
      u->leaving = kq_json_bool (&r, "leaving");
      kq_json_propagate (outer, &r);
    }
}

static void
read_lease (KqJsonReader *r, KqWorkerReply *to)
{
  to->stamp = kq_json_u64 (r, "stamp");
  to->lease_live = kq_json_bool (r, "lease_live");
  to->leaving = kq_json_bool (r, "leaving");
  to->capacity = read_size (r, "whole");
  if (kq_json_has (r, "tasks_since"))
    to->tasks_since = kq_json_u64 (r, "tasks_since");
  if (kq_json_has (r, "list_tag"))
    to->list_tag = kq_json_u64 (r, "list_tag");
  read_tasks (r, to);
  read_usage (r, to);
  read_runners (r, to);
}

void
kq_worker_answer_free (KqWorkerReply *r)
{
  free (r->tasks);
  free (r->usage);
  free (r->runners);
  *r = (KqWorkerReply){ 0 };
}

KqResult
kq_worker_answer_read (KqStr text, bool ok, const KqWorkerCall *c, KqWorkerReply *r)
{
  json_t *j = kq_json_parse (text);
  KqJsonReader reader = { .at = j, .bad = j == NULL };
  KqResult result = KQ_OK;
  KqStr kind = kq_json_str (&reader, "kind");
  if (!kq_str_eq (kind, kq_str (kq_worker_call_name (c->kind)))
      || kq_json_u64 (&reader, "token") != c->token
      || kq_json_u64 (&reader, "epoch") != c->epoch)
    reader.bad = true;
  r->worker_epoch = kq_json_u64 (&reader, "worker_epoch");
  if (!ok)
    result = read_error (&reader);
  else if (c->kind == KQ_WORKER_LEASE)
    read_lease (&reader, r);
  else if (c->kind == KQ_WORKER_CHECKPOINT)
    {
      /* Without an id the task would have to be repeated from its beginning. */
      r->checkpoint = kq_json_name (&reader, "checkpoint");
      reader.bad = reader.bad || r->checkpoint.len == 0;
    }
  json_decref (j);
  if (!reader.bad)
    return result;
  kq_worker_answer_free (r);
  return KQ_ERR_PLATFORM_FORMAT;
}
