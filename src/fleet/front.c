#include "fleet/front.h"

#include "base/log.h"
#include "fleet/accepts.h"
#include "fleet/front_counts.h"
#include "fleet/keys.h"

#include <ev.h>
#include <glib.h>

#include <stdio.h>
#include <stdlib.h>

#define PART "front"
/* Timeout of one write. A write without an answer may safely be retried: it is
 * conditional on the job's key not existing. */
#define WRITE_TIMEOUT_MS 900
/* Retries end after this time; the client can decide better whether to go on. */
#define RETRY_PERIOD_MAX (1000 * KQ_MS)
/* Part of the client's deadline that is reserved for sending the reply. */
#define DEADLINE_SLACK_MS 250
/* Timeout of the read that precedes a write while the store is suspected. A read without
 * an answer has no effect, so the client can be told that its job was not accepted. */
#define PROBE_TIMEOUT_MS 400
/* Delay before a call without an answer is retried, doubled each time. A store in trouble
 * resets connections at once: without a delay nine nodes made 500 calls a second. */
#define RETRY_DELAY_MIN (80 * KQ_MS)
#define RETRY_DELAY_MAX (640 * KQ_MS)
/* Timeout of a query to the leader; then the store is read. */
#define LEADER_TIMEOUT (500 * KQ_MS)
/* Timeout of a job that the leader writes: a round trip between regions and its call. */
#define LEADER_WRITE_TIMEOUT (1000 * KQ_MS)
/* Period of the check for late queries and due retries. */
#define SWEEP_PERIOD_S 0.04
/* Retry-After of refusals, by their reason. Earlier retries of many clients would only
 * add load. */
#define RETRY_STORE_MS 1000  /* store unreachable or refused; outages last seconds */
#define RETRY_LEADER_MS 1000 /* there is no leader, or it didn't answer the query */
#define RETRY_START_MS 1000  /* this node has no configuration yet */

typedef enum
{
  SUBMIT,
  SUBMIT_PROBE,  /* reads the job's key to see whether the store answers */
  SUBMIT_LEADER, /* the leader writes the job */
  STATE_LEADER,  /* waits for the state from the leader */
  READ_PROGRESS, /* the READ_ steps find a job's state in the store */
  READ_CANCEL,
  READ_JOB,
  CANCEL_READ,
  CANCEL_WRITE,
  COUNT_LEADER /* waits for the number of waiting jobs from the leader */
} Step;

typedef struct
{
  KqFrontHandler *handler;
  KqFrontExchange *exchange;
  Step step;
  uint64_t call; /* of the outstanding query to the leader; 0: none */
  KqStr id;      /* owned */
  KqBuf stored;  /* of a submission: the job as it is stored */
  KqTime received_at;
  KqTime deadline;
  KqTime leader_deadline;
  KqTime retry_at; /* set while in `retries` */
  KqTime retry_delay;
  uint64_t revision;  /* of the job's key */
  bool write_unknown; /* a write of this request got no answer */
} Request;

static const char *const step_names[]
    = { "submit",      "submit_read", "submit_leader", "ask_leader",   "read_progress",
        "read_cancel", "read_job",    "cancel_read",   "cancel_write", "count_waiting" };
struct KqFrontHandler
{
  KqFrontHandlerConfig config;
  GHashTable *queries; /* call -> Request, for outstanding queries to the leader */
  GPtrArray *retries;  /* Request, to be retried at its retry_at */
  uint64_t last_call;  /* number of the last query */
  ev_timer sweep;
  KqFrontCounts counts;
};

static void
start_sweep (KqFrontHandler *h)
{
  if (!ev_is_active (&h->sweep))
    ev_timer_again (kq_loop_ev (h->config.loop), &h->sweep);
}

static void read_from_store (Request *q, Step step);
static void submit (Request *q);

static void
reply (Request *q, const KqFrontReply *r, KqTime now)
{
  KqFrontHandler *h = q->handler;
  ++*h->counts.replies[r->kind];
  kq_histogram_add (&h->counts.took, now - q->received_at);
  if (q->step <= SUBMIT_LEADER || q->step == CANCEL_WRITE || r->kind >= KQ_REPLY_NO_JOB)
    kq_log (KQ_LOG_INFO, PART,
            "Answered. job=%.*s at=%s reply=%s took_ms=%lld unsure=%d why=%s",
            KQ_STR_ARG (q->id), step_names[q->step], kq_reply_kind_name (r->kind),
            (long long)((now - q->received_at) / KQ_MS), q->write_unknown,
            r->why != NULL ? r->why : "-");
  kq_front_exchange_reply (q->exchange, r);
  if (q->call != 0)
    g_hash_table_remove (h->queries, &q->call);
  free ((char *)q->id.ptr);
  kq_buf_free (&q->stored);
  free (q);
}

static void
reply_kind (Request *q, KqReplyKind kind, KqTime now)
{
  KqFrontReply r = { .kind = kind };
  reply (q, &r, now);
}

static void
reply_state (Request *q, KqJobState state, KqTime now)
{
  KqFrontReply r = { .kind = KQ_REPLY_STATE, .state = state };
  reply (q, &r, now);
}

static void
refuse (Request *q, const char *why, int64_t retry_ms, uint64_t *counter, KqTime now)
{
  KqFrontReply r = { .kind = KQ_REPLY_REFUSED, .why = why, .retry_ms = retry_ms };
  ++*counter;
  reply (q, &r, now);
}

static bool
may_retry (const Request *q, KqTime now)
{
  return now + (DEADLINE_SLACK_MS + 50) * KQ_MS < q->deadline
         && now - q->received_at < RETRY_PERIOD_MAX;
}

static int
timeout_ms (const Request *q, KqTime now)
{
  int64_t left = (q->deadline - now) / KQ_MS - DEADLINE_SLACK_MS;
  return left > WRITE_TIMEOUT_MS ? WRITE_TIMEOUT_MS : left < 50 ? 50 : (int)left;
}

static void
report_store_call (Request *q, const KqKvReply *r, KqTime now)
{
  if (r->result != KQ_KV_UNKNOWN && r->result != KQ_KV_REFUSED)
    q->handler->config.answered (q->handler->config.arg, r->called_at, now);
  else
    q->handler->config.failed (q->handler->config.arg, r->called_at);
}

static void
notify_job (Request *q, uint64_t revision, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_JOB };
  i.u.job.stored = kq_buf_str (&q->stored);
  i.u.job.revision = revision;
  q->handler->config.notify_leader (q->handler->config.arg, &i, now);
}

static void
schedule_retry (Request *q, Step step, KqTime now)
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
retry (Request *q, KqTime now)
{
  if (!may_retry (q, now) && (q->step == SUBMIT || q->step == CANCEL_READ))
    reply_kind (q, KQ_REPLY_UNKNOWN, now);
  else if (!may_retry (q, now))
    refuse (q, "the store can't be read", RETRY_STORE_MS,
            q->handler->counts.refused_store, now);
  else if (q->step == SUBMIT)
    submit (q);
  else
    read_from_store (q, q->step);
}

static void
on_submit_written (void *arg, const KqKvReply *r, KqTime now)
{
  Request *q = arg;
  report_store_call (q, r, now);
  switch (r->result)
    {
    case KQ_KV_OK:
      notify_job (q, r->revision, now);
      reply_kind (q, KQ_REPLY_DONE, now);
      break;
    case KQ_KV_CONFLICT: /* stored already, by an earlier request or an earlier try */
      reply_kind (q, KQ_REPLY_DONE, now);
      break;
    case KQ_KV_UNKNOWN:
      q->write_unknown = true;
      schedule_retry (q, SUBMIT, now);
      break;
    default:
      /* An earlier try may still be carried out, so the job cannot be reported as
       * refused. */
      if (q->write_unknown)
        schedule_retry (q, SUBMIT, now);
      else
        refuse (q, "the store refused", RETRY_STORE_MS, q->handler->counts.refused_store,
                now);
      break;
    }
}

static void
submit (Request *q)
{
  KqStr key = kq_key_of (KQ_KEY_JOB, q->id);
  KqKvCheck check = { key, 0 };
  KqKvPut put = { key, kq_buf_str (&q->stored), 0 };
  KqKvTxn t = { &check, 1, &put, 1, NULL, 0 };
  q->step = SUBMIT;
  kq_kv_txn (q->handler->config.kv, &t,
             timeout_ms (q, kq_loop_now (q->handler->config.loop)),
             (KqKvCallback){ on_submit_written, q });
  free ((char *)key.ptr);
}

static void
notify_cancel (Request *q, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_CANCEL };
  i.u.cancel.id = q->id;
  q->handler->config.notify_leader (q->handler->config.arg, &i, now);
}

static void
on_cancel_written (void *arg, const KqKvReply *r, KqTime now)
{
  Request *q = arg;
  report_store_call (q, r, now);
  if (r->result == KQ_KV_OK)
    {
      notify_cancel (q, now);
      reply_kind (q, KQ_REPLY_DONE, now);
    }
  else if (r->result == KQ_KV_CONFLICT)
    read_from_store (q, CANCEL_READ); /* the job's key has changed or was deleted */
  else
    schedule_retry (q, CANCEL_READ, now);
}

static void
write_cancel (Request *q, KqTime now)
{
  KqStr job = kq_key_of (KQ_KEY_JOB, q->id);
  KqStr mark = kq_key_of (KQ_KEY_CANCEL, q->id);
  KqKvCheck check = { job, q->revision };
  KqKvPut put = { mark, KQ_STR ("1"), 0 };
  KqKvTxn t = { &check, 1, &put, 1, NULL, 0 };
  q->step = CANCEL_WRITE;
  kq_kv_txn (q->handler->config.kv, &t, timeout_ms (q, now),
             (KqKvCallback){ on_cancel_written, q });
  free ((char *)job.ptr);
  free ((char *)mark.ptr);
}

/* Replies with the job's stored final state, or else reads the cancellation's key. */
static void
handle_progress (Request *q, const KqKvReply *r, KqTime now)
{
  KqJobState state = r->result == KQ_KV_OK ? kq_sched_stored_state (r->items[0].value)
                                           : KQ_JOB_UNKNOWN;
  if (state >= KQ_JOB_COMPLETED && state < KQ_JOB_UNKNOWN)
    reply_state (q, state, now);
  else
    read_from_store (q, READ_CANCEL);
}

static void
on_read (void *arg, const KqKvReply *r, KqTime now)
{
  Request *q = arg;
  report_store_call (q, r, now);
  if (r->result != KQ_KV_OK && r->result != KQ_KV_NOT_FOUND)
    {
      if (q->step == CANCEL_READ)
        schedule_retry (q, CANCEL_READ, now);
      else if (q->step == SUBMIT_PROBE)
        refuse (q, "the store doesn't answer", RETRY_STORE_MS,
                q->handler->counts.refused_store, now);
      else if (may_retry (q, now))
        schedule_retry (q, q->step, now);
      else
        refuse (q, "the store can't be read", RETRY_STORE_MS,
                q->handler->counts.refused_store, now);
      return;
    }
  switch (q->step)
    {
    case READ_PROGRESS:
      handle_progress (q, r, now);
      break;
    case READ_CANCEL:
      if (r->result == KQ_KV_OK)
        reply_state (q, KQ_JOB_CANCELLED, now);
      else
        read_from_store (q, READ_JOB);
      break;
    case READ_JOB:
      if (r->result == KQ_KV_OK)
        reply_state (q, KQ_JOB_RUNNING, now);
      else
        reply_kind (q, KQ_REPLY_NO_JOB, now);
      break;
    case CANCEL_READ:
      q->revision = r->n_items == 1 ? r->items[0].revision : 0;
      if (r->result == KQ_KV_OK)
        write_cancel (q, now);
      else
        reply_kind (q, KQ_REPLY_NO_JOB, now);
      break;
    case SUBMIT_PROBE:
      if (r->result == KQ_KV_OK)
        reply_kind (q, KQ_REPLY_DONE, now);
      else
        submit (q);
      break;
    case SUBMIT:
    case SUBMIT_LEADER:
    case STATE_LEADER:
    case CANCEL_WRITE:
    case COUNT_LEADER:
      break;
    }
}

static void
read_from_store (Request *q, Step step)
{
  const char *prefix = step == READ_PROGRESS ? KQ_KEY_PROGRESS
                       : step == READ_CANCEL ? KQ_KEY_CANCEL
                                             : KQ_KEY_JOB;
  KqStr key = kq_key_of (prefix, q->id);
  int timeout = timeout_ms (q, kq_loop_now (q->handler->config.loop));
  q->step = step;
  ++*q->handler->counts.from_store;
  if (step == SUBMIT_PROBE)
    timeout = MIN (timeout, PROBE_TIMEOUT_MS);
  kq_kv_get (q->handler->config.kv, key, timeout, (KqKvCallback){ on_read, q });
  free ((char *)key.ptr);
}

static void
query_leader (Request *q, KqAskKind what, KqStr about, KqTime wait, KqTime now)
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

static void
submit_via_leader (Request *q, KqTime now)
{
  KqFrontHandler *h = q->handler;
  KqTime left = q->deadline - DEADLINE_SLACK_MS * KQ_MS - now;
  if (left <= 0 || !h->config.store_reached_by_leader (h->config.arg, now))
    {
      refuse (q, "the store is away", RETRY_STORE_MS, h->counts.refused_store, now);
      return;
    }
  q->step = SUBMIT_LEADER;
  ++*h->counts.via_leader;
  query_leader (q, KQ_ASK_ACCEPT, kq_buf_str (&q->stored),
                MIN (left, LEADER_WRITE_TIMEOUT), now);
}

/* result: a KqAcceptResult; any other value: the leader hasn't tried to write the job. */
static void
on_leader_written (Request *q, int64_t result, KqTime now)
{
  if (result == KQ_ACCEPT_DONE)
    reply_kind (q, KQ_REPLY_DONE, now);
  else if (result == KQ_ACCEPT_UNKNOWN)
    reply_kind (q, KQ_REPLY_UNKNOWN, now);
  else
    refuse (q, "the store is away", RETRY_STORE_MS, q->handler->counts.refused_store,
            now);
}

/* A job that is unknown to the leader may have just been accepted, so the store is read.
 */
void
kq_front_handler_answer (KqFrontHandler *h, uint64_t call, int64_t value, KqTime now)
{
  Request *q = g_hash_table_lookup (h->queries, &call);
  KqFrontReply waiting = { .kind = KQ_REPLY_WAITING, .waiting = value };
  if (q == NULL)
    return;
  g_hash_table_remove (h->queries, &call);
  q->call = 0;
  if (q->step == SUBMIT_LEADER)
    on_leader_written (q, value, now);
  else if (q->step == COUNT_LEADER)
    {
      if (value < 0)
        refuse (q, "no leader", RETRY_LEADER_MS, h->counts.refused_leader, now);
      else
        reply (q, &waiting, now);
    }
  else if ((value < 0 || value == KQ_JOB_UNKNOWN)
           && h->config.store_state (h->config.arg, now) == KQ_REACH_DOWN)
    refuse (q, "neither leader nor store", RETRY_STORE_MS, h->counts.refused_store, now);
  else if (value < 0)
    read_from_store (q, READ_PROGRESS);
  else if (value == KQ_JOB_UNKNOWN)
    read_from_store (q, READ_JOB);
  else
    reply_state (q, (KqJobState)value, now);
}

static void
fill_spec (KqSpec *s, const KqQueue *queue, KqStr id)
{
  s->advised = queue->advised;
  s->id = id;
  s->queue = queue->name;
  s->service = queue->service;
  s->priority = queue->priority;
  s->attempts = queue->attempts;
  s->stretch_percent = queue->stretch_percent;
  s->slo_ms = queue->slo_ms;
  s->accepted_ms = kq_time_wall_ms ();
}

static void
begin_submit (Request *q, const KqFrontRequest *r, const KqQueue *queue, KqTime now)
{
  KqFrontReply bad = { .kind = KQ_REPLY_BAD, .why = "not a job" };
  q->step = SUBMIT;
  if (r->spec != NULL)
    fill_spec (r->spec, queue, q->id);
  if (r->spec == NULL || kq_spec_check (r->spec, &bad.why) != KQ_OK)
    {
      reply (q, &bad, now);
      return;
    }
  kq_spec_pack (r->spec, &q->stored);
  switch (q->handler->config.store_state (q->handler->config.arg, now))
    {
    case KQ_REACH_DOWN:
      submit_via_leader (q, now);
      break;
    case KQ_REACH_SUSPECT:
      read_from_store (q, SUBMIT_PROBE);
      break;
    case KQ_REACH_UP:
      submit (q);
      break;
    }
}

static Request *
new_request (KqFrontHandler *h, KqFrontExchange *x, const KqFrontRequest *r, KqStr id,
             KqTime now)
{
  Request *q = kq_alloc (sizeof *q);
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
  Request *q;
  if (queue != NULL)
    id = kq_str_n (r->path.ptr + queue->prefix.len, r->path.len - queue->prefix.len);
  q = new_request (h, x, r, id, now);
  if (t == NULL)
    refuse (q, "no configuration yet", RETRY_START_MS, h->counts.refused_start, now);
  else if (queue == NULL)
    reply_kind (q, KQ_REPLY_NO_QUEUE, now);
  else if (r->kind == KQ_FRONT_SUBMIT)
    begin_submit (q, r, queue, now);
  else if (r->kind == KQ_FRONT_CANCEL
           && h->config.store_state (h->config.arg, now) == KQ_REACH_DOWN)
    refuse (q, "the store is away", RETRY_STORE_MS, h->counts.refused_store, now);
  else if (r->kind == KQ_FRONT_CANCEL)
    read_from_store (q, CANCEL_READ);
  else if (id.len == 0)
    {
      q->step = COUNT_LEADER;
      query_leader (q, KQ_ASK_WAITING, queue->name, LEADER_TIMEOUT, now);
    }
  else
    {
      q->step = STATE_LEADER;
      query_leader (q, KQ_ASK_STATE, q->id, LEADER_TIMEOUT, now);
    }
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
      const Request *q = value;
      if (now >= q->leader_deadline)
        g_array_append_val (late, q->call);
    }
  for (guint i = 0; i < late->len; i++)
    {
      uint64_t call = g_array_index (late, uint64_t, i);
      const Request *q = g_hash_table_lookup (h->queries, &call);
      bool is_write = q != NULL && q->step == SUBMIT_LEADER;
      kq_front_handler_answer (h, call, is_write ? KQ_ACCEPT_UNKNOWN : -1, now);
    }
  g_array_free (late, TRUE);
}

static void
run_due_retries (KqFrontHandler *h, KqTime now)
{
  for (guint i = 0; i < h->retries->len; i++)
    {
      Request *q = g_ptr_array_index (h->retries, i);
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
  free (h);
}
