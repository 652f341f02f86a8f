#include "fleet/front.h"

#include "base/log.h"
#include "fleet/accepts.h"
#include "fleet/front_pending.h"
#include "fleet/job_writes.h"
#include "fleet/keys.h"

#include <stdlib.h>

#define PART "front"
/* Timeout of one write. A write without an answer may safely be retried: it is
 * conditional on the job's key not existing. Before that the key is read: stores lose
 * answers of writes that they carry out. */
#define WRITE_TIMEOUT_MS 500
/* Retries end after this time; the client can decide better whether to go on. */
#define RETRY_PERIOD_MAX (1000 * KQ_MS)
/* Timeout of the read that precedes a write while the store is suspected, and of the one
 * that precedes a refusal for load. A read without an answer has no effect: in the first
 * case the client can be told that its job was not accepted, in the second the job is
 * submitted. */
#define PROBE_TIMEOUT_MS 400
/* Timeout of the read after a write without an answer. */
#define CHECK_TIMEOUT_MS 300
/* Delay before a call without an answer is retried, doubled each time. A store in trouble
 * resets connections at once: without a delay nine nodes made 500 calls a second. */
#define RETRY_DELAY_MIN (80 * KQ_MS)
#define RETRY_DELAY_MAX (640 * KQ_MS)
/* Timeout of a query to the leader; then the store is read. */
#define LEADER_TIMEOUT (500 * KQ_MS)
/* Period of the check for late queries and due retries. */
#define SWEEP_PERIOD_S 0.04

static const char *const step_names[]
    = { "submit",        "submit_check",   "room_read",     "submit_read",
        "ask_admission", "admission_read", "submit_leader", "ask_leader",
        "read_progress", "read_job",       "read_cancel",   "cancel_read",
        "cancel_write",  "count_waiting" };

static void
start_sweep (KqFrontHandler *h)
{
  if (!ev_is_active (&h->sweep))
    ev_timer_again (kq_loop_ev (h->config.loop), &h->sweep);
}

void
kq_front_pending_reply (KqFrontPending *q, const KqFrontReply *r, KqTime now)
{
  KqFrontHandler *h = q->handler;
  ++*h->counts.replies[r->kind];
  kq_histogram_add (&h->counts.took, now - q->received_at);
  if (q->step <= KQ_FRONT_SUBMIT_LEADER || q->step == KQ_FRONT_CANCEL_WRITE
      || r->kind >= KQ_REPLY_NO_JOB)
    kq_log (KQ_LOG_INFO, PART,
            "Answered. job=%.*s at=%s reply=%s took_ms=%lld unsure=%d why=%s",
            KQ_STR_ARG (q->id), step_names[q->step], kq_reply_kind_name (r->kind),
            (long long)((now - q->received_at) / KQ_MS), q->write_unknown,
            r->why != NULL ? r->why : "-");
  kq_front_exchange_reply (q->exchange, r);
  h->room_open -= q->room;
  if (r->kind == KQ_REPLY_DONE)
    h->room_accepted += q->room;
  if (q->call != 0)
    g_hash_table_remove (h->queries, &q->call);
  free ((char *)q->id.ptr);
  kq_buf_free (&q->stored);
  free (q);
}

void
kq_front_pending_reply_kind (KqFrontPending *q, KqReplyKind kind, KqTime now)
{
  KqFrontReply r = { .kind = kind };
  kq_front_pending_reply (q, &r, now);
}

static void
reply_state (KqFrontPending *q, KqJobState state, KqTime now)
{
  KqFrontReply r = { .kind = KQ_REPLY_STATE, .state = state };
  kq_front_pending_reply (q, &r, now);
}

void
kq_front_pending_refuse (KqFrontPending *q, const char *why, int64_t retry_ms,
                         uint64_t *counter, KqTime now)
{
  KqFrontReply r = { .kind = KQ_REPLY_REFUSED, .why = why, .retry_ms = retry_ms };
  ++*counter;
  kq_front_pending_reply (q, &r, now);
}

bool
kq_front_pending_may_retry (const KqFrontPending *q, KqTime now)
{
  return now + (KQ_FRONT_DEADLINE_SLACK_MS + 50) * KQ_MS < q->deadline
         && now - q->received_at < RETRY_PERIOD_MAX;
}

int
kq_front_pending_timeout_ms (const KqFrontPending *q, KqTime now)
{
  int64_t left = (q->deadline - now) / KQ_MS - KQ_FRONT_DEADLINE_SLACK_MS;
  return left > WRITE_TIMEOUT_MS ? WRITE_TIMEOUT_MS : left < 50 ? 50 : (int)left;
}

void
kq_front_pending_report_call (KqFrontPending *q, const KqKvReply *r, KqTime now)
{
  if (r->result != KQ_KV_UNKNOWN && r->result != KQ_KV_REFUSED)
    q->handler->config.answered (q->handler->config.arg, r->called_at, now);
  else
    q->handler->config.failed (q->handler->config.arg, r->called_at);
}

void
kq_front_pending_schedule_retry (KqFrontPending *q, KqFrontStep step, KqTime now)
{
  q->step = step;
  q->retry_delay = q->retry_delay == 0 ? RETRY_DELAY_MIN : 2 * q->retry_delay;
  if (q->retry_delay > RETRY_DELAY_MAX)
    q->retry_delay = RETRY_DELAY_MAX;
  q->retry_at = now + q->retry_delay;
  ++*q->handler->counts.retried;
  g_ptr_array_add (q->handler->retries, q);
  start_sweep (q->handler);
}

static void
retry (KqFrontPending *q, KqTime now)
{
  if (!kq_front_pending_may_retry (q, now)
      && (q->step <= KQ_FRONT_ROOM_READ || q->step == KQ_FRONT_CANCEL_READ))
    kq_front_pending_reply_kind (q, KQ_REPLY_UNKNOWN, now);
  else if (!kq_front_pending_may_retry (q, now))
    kq_front_pending_refuse (q, "the store can't be read", KQ_FRONT_RETRY_STORE_MS,
                             q->handler->counts.refused_store, now);
  else if (q->step == KQ_FRONT_SUBMIT_WRITE)
    kq_front_submit_again (q, now);
  else
    kq_front_pending_read (q, q->step);
}

static void
notify_cancel (KqFrontPending *q, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_CANCEL };
  i.u.cancel.id = q->id;
  q->handler->config.notify_leader (q->handler->config.arg, &i, now);
}

static void
on_cancel_written (void *arg, const KqKvReply *r, KqTime now)
{
  KqFrontPending *q = arg;
  kq_front_pending_report_call (q, r, now);
  if (r->result == KQ_KV_OK)
    {
      notify_cancel (q, now);
      kq_front_pending_reply_kind (q, q->revision != 0 ? KQ_REPLY_DONE : KQ_REPLY_NO_JOB,
                                   now);
    }
  else if (r->result == KQ_KV_CONFLICT)
    kq_front_pending_read (
        q, KQ_FRONT_CANCEL_READ); /* the job's key has changed or was deleted */
  else
    kq_front_pending_schedule_retry (q, KQ_FRONT_CANCEL_READ, now);
}

/* Stores the cancellation, also of a job that isn't stored: a write of it may be
 * outstanding at another node. */
static void
write_cancel (KqFrontPending *q, KqTime now)
{
  q->step = KQ_FRONT_CANCEL_WRITE;
  kq_cancel_write (q->handler->config.kv, q->id, q->revision,
                   kq_front_pending_timeout_ms (q, now),
                   (KqKvCallback){ on_cancel_written, q });
}

/* Replies with the job's stored final state, or else reads whether it is stored. */
static void
handle_progress (KqFrontPending *q, const KqKvReply *r, KqTime now)
{
  KqJobState state = r->result == KQ_KV_OK ? kq_sched_stored_state (r->items[0].value)
                                           : KQ_JOB_UNKNOWN;
  if (state >= KQ_JOB_COMPLETED && state < KQ_JOB_UNKNOWN)
    reply_state (q, state, now);
  else
    kq_front_pending_read (q, KQ_FRONT_READ_JOB);
}

static void
on_read (void *arg, const KqKvReply *r, KqTime now)
{
  KqFrontPending *q = arg;
  kq_front_pending_report_call (q, r, now);
  if (q->step == KQ_FRONT_ADMIT_READ)
    {
      kq_front_submit_read (q, r->result, now);
      return;
    }
  if (q->step == KQ_FRONT_ROOM_READ)
    {
      kq_front_submit_room_read (q, r->result, now);
      return;
    }
  if (r->result != KQ_KV_OK && r->result != KQ_KV_NOT_FOUND)
    {
      if (q->step == KQ_FRONT_CANCEL_READ)
        kq_front_pending_schedule_retry (q, KQ_FRONT_CANCEL_READ, now);
      else if (q->step == KQ_FRONT_SUBMIT_CHECK)
        kq_front_pending_schedule_retry (q, KQ_FRONT_SUBMIT_WRITE, now);
      else if (q->step == KQ_FRONT_SUBMIT_PROBE)
        kq_front_pending_refuse (q, "the store doesn't answer", KQ_FRONT_RETRY_STORE_MS,
                                 q->handler->counts.refused_store, now);
      else if (kq_front_pending_may_retry (q, now))
        kq_front_pending_schedule_retry (q, q->step, now);
      else
        kq_front_pending_refuse (q, "the store can't be read", KQ_FRONT_RETRY_STORE_MS,
                                 q->handler->counts.refused_store, now);
      return;
    }
  switch (q->step)
    {
    case KQ_FRONT_READ_PROGRESS:
      handle_progress (q, r, now);
      break;
    case KQ_FRONT_READ_JOB:
      if (r->result == KQ_KV_OK)
        kq_front_pending_read (q, KQ_FRONT_READ_CANCEL);
      else
        kq_front_pending_reply_kind (q, KQ_REPLY_NO_JOB, now);
      break;
    case KQ_FRONT_READ_CANCEL:
      reply_state (q, r->result == KQ_KV_OK ? KQ_JOB_CANCELLED : KQ_JOB_RUNNING, now);
      break;
    case KQ_FRONT_CANCEL_READ:
      q->revision = r->n_items == 1 ? r->items[0].revision : 0;
      write_cancel (q, now);
      break;
    case KQ_FRONT_SUBMIT_CHECK:
      if (r->result == KQ_KV_OK)
        kq_front_pending_reply_kind (q, KQ_REPLY_DONE, now);
      else
        kq_front_submit_again (q, now);
      break;
    case KQ_FRONT_SUBMIT_PROBE:
      if (r->result == KQ_KV_OK)
        kq_front_pending_reply_kind (q, KQ_REPLY_DONE, now);
      else
        kq_front_submit_write (q);
      break;
    case KQ_FRONT_SUBMIT_WRITE:
    case KQ_FRONT_ADMIT_ASK:
    case KQ_FRONT_ADMIT_READ:
    case KQ_FRONT_ROOM_READ:
    case KQ_FRONT_SUBMIT_LEADER:
    case KQ_FRONT_STATE_LEADER:
    case KQ_FRONT_CANCEL_WRITE:
    case KQ_FRONT_COUNT_LEADER:
      break;
    }
}

void
kq_front_pending_read (KqFrontPending *q, KqFrontStep step)
{
  const char *prefix = step == KQ_FRONT_READ_PROGRESS ? KQ_KEY_PROGRESS
                       : step == KQ_FRONT_READ_CANCEL ? KQ_KEY_CANCEL
                                                      : KQ_KEY_JOB;
  KqStr key = kq_key_of (prefix, q->id);
  int timeout = kq_front_pending_timeout_ms (q, kq_loop_now (q->handler->config.loop));
  q->step = step;
  ++*q->handler->counts.from_store;
  if (step == KQ_FRONT_SUBMIT_PROBE || step == KQ_FRONT_ADMIT_READ)
    timeout = MIN (timeout, PROBE_TIMEOUT_MS);
  else if (step == KQ_FRONT_SUBMIT_CHECK)
    timeout = MIN (timeout, CHECK_TIMEOUT_MS);
  kq_kv_get (q->handler->config.kv, key, timeout, (KqKvCallback){ on_read, q });
  free ((char *)key.ptr);
}

void
kq_front_pending_query (KqFrontPending *q, KqAskKind what, KqStr about, KqTime wait,
                        KqTime now)
{
  KqFrontHandler *h = q->handler;
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_ASK };
  q->call = ++h->last_call;
  q->leader_deadline = now + wait;
  g_hash_table_insert (h->queries, &q->call, q);
  start_sweep (h);
  i.u.ask.call = q->call;
  i.u.ask.what = what;
  i.u.ask.about = about;
  if (!h->config.query_leader (h->config.arg, &i, now))
    kq_front_handler_answer (h, q->call, -1, now);
}

/* A job that is unknown to the leader may have just been accepted, so the store is read.
 */
void
kq_front_handler_answer (KqFrontHandler *h, uint64_t call, int64_t value, KqTime now)
{
  KqFrontPending *q = g_hash_table_lookup (h->queries, &call);
  KqFrontReply waiting = { .kind = KQ_REPLY_WAITING, .waiting = value };
  if (q == NULL)
    return;
  g_hash_table_remove (h->queries, &call);
  q->call = 0;
  if (q->step == KQ_FRONT_SUBMIT_LEADER)
    kq_front_submit_written_by_leader (q, value, now);
  else if (q->step == KQ_FRONT_ADMIT_ASK)
    kq_front_submit_judged (q, value, now);
  else if (q->step == KQ_FRONT_COUNT_LEADER)
    {
      if (value < 0)
        kq_front_pending_refuse (q, "no leader", KQ_FRONT_RETRY_LEADER_MS,
                                 h->counts.refused_leader, now);
      else
        kq_front_pending_reply (q, &waiting, now);
    }
  else if ((value < 0 || value == KQ_JOB_UNKNOWN)
           && h->config.store_state (h->config.arg, now) == KQ_REACH_DOWN)
    kq_front_pending_refuse (q, "neither leader nor store", KQ_FRONT_RETRY_STORE_MS,
                             h->counts.refused_store, now);
  else if (value < 0)
    kq_front_pending_read (q, KQ_FRONT_READ_PROGRESS);
  else if (value == KQ_JOB_UNKNOWN)
    kq_front_pending_read (q, KQ_FRONT_READ_JOB);
  else
    reply_state (q, (KqJobState)value, now);
}

static KqFrontPending *
new_request (KqFrontHandler *h, KqFrontExchange *x, const KqFrontRequest *r, KqStr id,
             KqTime now)
{
  KqFrontPending *q = kq_alloc (sizeof *q);
  q->handler = h;
  q->exchange = x;
  q->id = kq_str_own (id);
  q->received_at = now;
  q->deadline = now + r->deadline_ms * KQ_MS;
  return q;
}

void
kq_front_handler_request (KqFrontHandler *h, KqFrontExchange *x, const KqFrontRequest *r,
                          KqTime now)
{
  const KqQueueTable *t = h->config.table (h->config.arg);
  const KqQueue *queue = t != NULL ? kq_queue_find (t, r->host, r->path) : NULL;
  KqStr id = KQ_STR ("");
  KqFrontPending *q;
  if (queue != NULL)
    id = kq_str_n (r->path.ptr + queue->prefix.len, r->path.len - queue->prefix.len);
  q = new_request (h, x, r, id, now);
  if (t == NULL)
    kq_front_pending_refuse (q, "no configuration yet", KQ_FRONT_RETRY_START_MS,
                             h->counts.refused_start, now);
  else if (queue == NULL)
    kq_front_pending_reply_kind (q, KQ_REPLY_NO_QUEUE, now);
  else if (r->kind == KQ_FRONT_SUBMIT)
    kq_front_submit_begin (q, r, queue, now);
  else if (!kq_spec_id_is_valid (id) && (id.len > 0 || r->kind == KQ_FRONT_CANCEL))
    kq_front_pending_reply_kind (q, KQ_REPLY_NO_JOB, now);
  else if (r->kind == KQ_FRONT_CANCEL
           && h->config.store_state (h->config.arg, now) == KQ_REACH_DOWN)
    kq_front_pending_refuse (q, "the store is away", KQ_FRONT_RETRY_STORE_MS,
                             h->counts.refused_store, now);
  else if (r->kind == KQ_FRONT_CANCEL)
    kq_front_pending_read (q, KQ_FRONT_CANCEL_READ);
  else if (id.len == 0)
    {
      q->step = KQ_FRONT_COUNT_LEADER;
      kq_front_pending_query (q, KQ_ASK_WAITING, queue->name, LEADER_TIMEOUT, now);
    }
  else
    {
      q->step = KQ_FRONT_STATE_LEADER;
      kq_front_pending_query (q, KQ_ASK_STATE, q->id, LEADER_TIMEOUT, now);
    }
}

void
kq_front_handler_load (KqFrontHandler *h, uint64_t epoch, const KqAgentItem *i,
                       KqTime now)
{
  kq_front_admit_load (h->admit, epoch, i, now);
}

static void
expire_queries (KqFrontHandler *h, KqTime now)
{
  GHashTableIter it;
  gpointer value;
  GArray *late = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_hash_table_iter_init (&it, h->queries);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const KqFrontPending *q = value;
      if (now >= q->leader_deadline)
        g_array_append_val (late, q->call);
    }
  for (guint i = 0; i < late->len; i++)
    {
      uint64_t call = g_array_index (late, uint64_t, i);
      const KqFrontPending *q = g_hash_table_lookup (h->queries, &call);
      bool is_write = q != NULL && q->step == KQ_FRONT_SUBMIT_LEADER;
      kq_front_handler_answer (h, call, is_write ? KQ_ACCEPT_UNKNOWN : -1, now);
    }
  g_array_free (late, TRUE);
}

static void
run_due_retries (KqFrontHandler *h, KqTime now)
{
  for (guint i = 0; i < h->retries->len; i++)
    {
      KqFrontPending *q = g_ptr_array_index (h->retries, i);
      if (now < q->retry_at)
        continue;
      g_ptr_array_remove_index (h->retries, i);
      i--;
      retry (q, now);
    }
}

static void
on_sweep (struct ev_loop *ev, ev_timer *w, int events)
{
  KqFrontHandler *h = w->data;
  KqTime now = kq_loop_now (h->config.loop);
  (void)events;
  expire_queries (h, now);
  run_due_retries (h, now);
  if (g_hash_table_size (h->queries) == 0 && h->retries->len == 0)
    ev_timer_stop (ev, w);
}

KqFrontHandler *
kq_front_handler_new (const KqFrontHandlerConfig *c)
{
  KqFrontHandler *h = kq_alloc (sizeof *h);
  h->config = *c;
  h->queries = g_hash_table_new (g_int64_hash, g_int64_equal);
  h->retries = g_ptr_array_new ();
  kq_front_counts_init (&h->counts, c->counters);
  h->admit = kq_front_admit_new (c->counters);
  ev_timer_init (&h->sweep, on_sweep, SWEEP_PERIOD_S, SWEEP_PERIOD_S);
  h->sweep.data = h;
  return h;
}

void
kq_front_handler_free (KqFrontHandler *h)
{
  if (h == NULL)
    return;
  ev_timer_stop (kq_loop_ev (h->config.loop), &h->sweep);
  g_hash_table_destroy (h->queries);
  g_ptr_array_free (h->retries, TRUE);
  kq_front_admit_free (h->admit);
  free (h);
}
