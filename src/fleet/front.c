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
/* Time of one write, and how often one without an answer is repeated: the store takes
 * repeats for one, as the job's key must not exist. */
#define WRITE_MS 900
/* No request is tried longer than this: the client knows better what to do with its time.
 */
#define TRY_FOR (1000 * KQ_MS)
/* Left for the answer's way when a client's deadline is near. */
#define DEADLINE_SLACK_MS 250
/* When it isn't sure that the store answers, it is asked before it is written to: a
 * question without an answer has done nothing, so that the client can be told so. It is
 * given up after this long. */
#define QUESTION_MS 400
/* A call to the store without an answer is repeated after this long, doubled each time: a
 * store in trouble resets connections at once, and repeats without a pause were 500 calls
 * a second from nine nodes. */
#define RETRY_FIRST (80 * KQ_MS)
#define RETRY_LONGEST (640 * KQ_MS)
/* How long the leader is waited for before the store is asked. */
#define LEADER_WAIT (500 * KQ_MS)
/* The same for a job that the leader writes: both ways between regions, and its call. */
#define LEADER_WRITES (1000 * KQ_MS)
#define SWEEP_S 0.04
/* When a client that was refused should come back: the store's outages last seconds, and
 * many clients at once wouldn't help it. */
#define RETRY_STORE_MS 1000
#define RETRY_LEADER_MS 1000
#define RETRY_START_MS 1000

typedef enum
{
  SUBMIT,
  SUBMIT_READ,   /* is it there already, and does the store answer */
  SUBMIT_LEADER, /* the leader writes it */
  READ_LEADER,   /* waits for the leader's word */
  READ_PROGRESS,
  READ_CANCEL,
  READ_JOB,
  CANCEL_READ,
  CANCEL_WRITE,
  WAITING_LEADER
} Step;

typedef struct
{
  KqFrontDesk *desk;
  KqAsk *ask;
  Step step;
  uint64_t call;
  KqStr id;     /* owned */
  KqBuf stored; /* SUBMIT: the job */
  KqTime begun_at;
  KqTime deadline;
  KqTime leader_until;
  KqTime retry_at; /* in the list of those to be repeated */
  KqTime retry_gap;
  uint64_t revision; /* of the job's key */
  bool unsure;       /* some write had no answer */
} Request;

static const char *const step_names[]
    = { "submit",      "submit_read", "submit_leader", "ask_leader",   "read_progress",
        "read_cancel", "read_job",    "cancel_read",   "cancel_write", "count_waiting" };
struct KqFrontDesk
{
  KqFrontDeskConfig config;
  GHashTable *waiting; /* call -> Request, for the leader's word */
  GPtrArray *later;    /* Request, to be repeated at their times */
  uint64_t calls;
  ev_timer sweep;
  KqFrontCounts counts;
};

static void
start_sweep (KqFrontDesk *d)
{
  if (!ev_is_active (&d->sweep))
    ev_timer_again (kq_loop_ev (d->config.loop), &d->sweep);
}

static void read_from_store (Request *q, Step step);
static void submit (Request *q);

static void
finish (Request *q, const KqFrontReply *r, KqTime now)
{
  KqFrontDesk *d = q->desk;
  ++*d->counts.replies[r->kind];
  kq_histogram_add (&d->counts.took, now - q->begun_at);
  if (q->step <= SUBMIT_LEADER || q->step == CANCEL_WRITE || r->kind >= KQ_REPLY_NO_JOB)
    kq_log (KQ_LOG_INFO, PART,
            "Answered. job=%.*s at=%s reply=%s took_ms=%lld unsure=%d why=%s",
            KQ_STR_ARG (q->id), step_names[q->step], kq_reply_kind_name (r->kind),
            (long long)((now - q->begun_at) / KQ_MS), q->unsure,
            r->why != NULL ? r->why : "-");
  kq_ask_reply (q->ask, r);
  if (q->call != 0)
    g_hash_table_remove (d->waiting, &q->call);
  free ((char *)q->id.ptr);
  kq_buf_free (&q->stored);
  free (q);
}

static void
finish_kind (Request *q, KqReplyKind kind, KqTime now)
{
  KqFrontReply r = { .kind = kind };
  finish (q, &r, now);
}

static void
finish_state (Request *q, KqJobState state, KqTime now)
{
  KqFrontReply r = { .kind = KQ_REPLY_STATE, .state = state };
  finish (q, &r, now);
}

static void
refuse (Request *q, const char *why, int64_t retry_ms, uint64_t *counter, KqTime now)
{
  KqFrontReply r = { .kind = KQ_REPLY_REFUSED, .why = why, .retry_ms = retry_ms };
  ++*counter;
  finish (q, &r, now);
}

static bool
time_left (const Request *q, KqTime now)
{
  return now + (DEADLINE_SLACK_MS + 50) * KQ_MS < q->deadline
         && now - q->begun_at < TRY_FOR;
}

static int
timeout_ms (const Request *q, KqTime now)
{
  int64_t left = (q->deadline - now) / KQ_MS - DEADLINE_SLACK_MS;
  return left > WRITE_MS ? WRITE_MS : left < 50 ? 50 : (int)left;
}

static void
note_answer (Request *q, const KqKvReply *r, KqTime now)
{
  if (r->result != KQ_KV_UNKNOWN && r->result != KQ_KV_REFUSED)
    q->desk->config.answered (q->desk->config.arg, r->sent_at, now);
  else
    q->desk->config.failed (q->desk->config.arg, r->sent_at);
}

static void
tell_job (Request *q, uint64_t revision, KqTime now)
{
  KqCrewItem i = { .kind = KQ_CREW_JOB };
  i.u.job.stored = kq_buf_str (&q->stored);
  i.u.job.revision = revision;
  q->desk->config.tell (q->desk->config.arg, &i, now);
}

static void
repeat_later (Request *q, Step step, KqTime now)
{
  q->step = step;
  q->retry_gap = q->retry_gap == 0 ? RETRY_FIRST : 2 * q->retry_gap;
  if (q->retry_gap > RETRY_LONGEST)
    q->retry_gap = RETRY_LONGEST;
  q->retry_at = now + q->retry_gap;
  ++*q->desk->counts.retried;
  g_ptr_array_add (q->desk->later, q);
  start_sweep (q->desk);
}

static void
repeat (Request *q, KqTime now)
{
  if (!time_left (q, now) && (q->step == SUBMIT || q->step == CANCEL_READ))
    finish_kind (q, KQ_REPLY_UNKNOWN, now);
  else if (!time_left (q, now))
    refuse (q, "the store can't be read", RETRY_STORE_MS, q->desk->counts.refused_store,
            now);
  else if (q->step == SUBMIT)
    submit (q);
  else
    read_from_store (q, q->step);
}

static void
on_submitted (void *arg, const KqKvReply *r, KqTime now)
{
  Request *q = arg;
  note_answer (q, r, now);
  switch (r->result)
    {
    case KQ_KV_OK:
      tell_job (q, r->revision, now);
      finish_kind (q, KQ_REPLY_DONE, now);
      break;
    case KQ_KV_CONFLICT: /* it is there: a repeat, or our own write without an answer */
      finish_kind (q, KQ_REPLY_DONE, now);
      break;
    case KQ_KV_UNKNOWN:
      q->unsure = true;
      repeat_later (q, SUBMIT, now);
      break;
    default:
      /* An earlier try may still be carried out: then "not run" could become untrue. */
      if (q->unsure)
        repeat_later (q, SUBMIT, now);
      else
        refuse (q, "the store refused", RETRY_STORE_MS, q->desk->counts.refused_store,
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
  kq_kv_txn (q->desk->config.kv, &t, timeout_ms (q, kq_loop_now (q->desk->config.loop)),
             (KqKvCallback){ on_submitted, q });
  free ((char *)key.ptr);
}

static void
tell_cancel (Request *q, KqTime now)
{
  KqCrewItem i = { .kind = KQ_CREW_CANCEL };
  i.u.cancel.id = q->id;
  q->desk->config.tell (q->desk->config.arg, &i, now);
}

static void
on_cancelled (void *arg, const KqKvReply *r, KqTime now)
{
  Request *q = arg;
  note_answer (q, r, now);
  if (r->result == KQ_KV_OK)
    {
      tell_cancel (q, now);
      finish_kind (q, KQ_REPLY_DONE, now);
    }
  else if (r->result == KQ_KV_CONFLICT)
    read_from_store (q, CANCEL_READ); /* the job has gone meanwhile */
  else
    repeat_later (q, CANCEL_READ, now);
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
  kq_kv_txn (q->desk->config.kv, &t, timeout_ms (q, now),
             (KqKvCallback){ on_cancelled, q });
  free ((char *)job.ptr);
  free ((char *)mark.ptr);
}

/* How a job stands by its stored progress; KQ_JOB_UNKNOWN: it hasn't ended by that. */
static void
take_progress (Request *q, const KqKvReply *r, KqTime now)
{
  KqJobState state = r->result == KQ_KV_OK ? kq_sched_stored_state (r->items[0].value)
                                           : KQ_JOB_UNKNOWN;
  if (state >= KQ_JOB_COMPLETED && state < KQ_JOB_UNKNOWN)
    finish_state (q, state, now);
  else
    read_from_store (q, READ_CANCEL);
}

static void
on_read (void *arg, const KqKvReply *r, KqTime now)
{
  Request *q = arg;
  note_answer (q, r, now);
  if (r->result != KQ_KV_OK && r->result != KQ_KV_NOT_FOUND)
    {
      if (q->step == CANCEL_READ)
        repeat_later (q, CANCEL_READ, now);
      else if (q->step == SUBMIT_READ)
        refuse (q, "the store doesn't answer", RETRY_STORE_MS,
                q->desk->counts.refused_store, now);
      else if (time_left (q, now))
        read_from_store (q, q->step);
      else
        refuse (q, "the store can't be read", RETRY_STORE_MS,
                q->desk->counts.refused_store, now);
      return;
    }
  switch (q->step)
    {
    case READ_PROGRESS:
      take_progress (q, r, now);
      break;
    case READ_CANCEL:
      if (r->result == KQ_KV_OK)
        finish_state (q, KQ_JOB_CANCELLED, now);
      else
        read_from_store (q, READ_JOB);
      break;
    case READ_JOB:
      if (r->result == KQ_KV_OK)
        finish_state (q, KQ_JOB_RUNNING, now);
      else
        finish_kind (q, KQ_REPLY_NO_JOB, now);
      break;
    case CANCEL_READ:
      q->revision = r->n_items == 1 ? r->items[0].revision : 0;
      if (r->result == KQ_KV_OK)
        write_cancel (q, now);
      else
        finish_kind (q, KQ_REPLY_NO_JOB, now);
      break;
    case SUBMIT_READ:
      if (r->result == KQ_KV_OK)
        finish_kind (q, KQ_REPLY_DONE, now);
      else
        submit (q);
      break;
    case SUBMIT:
    case SUBMIT_LEADER:
    case READ_LEADER:
    case CANCEL_WRITE:
    case WAITING_LEADER:
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
  int timeout = timeout_ms (q, kq_loop_now (q->desk->config.loop));
  q->step = step;
  ++*q->desk->counts.from_store;
  if (step == SUBMIT_READ)
    timeout = MIN (timeout, QUESTION_MS);
  kq_kv_get (q->desk->config.kv, key, timeout, (KqKvCallback){ on_read, q });
  free ((char *)key.ptr);
}

static void
ask_leader (Request *q, KqAskKind what, KqStr about, KqTime wait, KqTime now)
{
  KqFrontDesk *d = q->desk;
  KqCrewItem i = { .kind = KQ_CREW_ASK };
  q->call = ++d->calls;
  q->leader_until = now + wait;
  g_hash_table_insert (d->waiting, &q->call, q);
  start_sweep (d);
  i.u.ask.call = q->call;
  i.u.ask.what = what;
  i.u.ask.about = about;
  if (!d->config.ask (d->config.arg, &i, now))
    kq_front_desk_answer (d, q->call, -1, now);
}

static void
submit_by_leader (Request *q, KqTime now)
{
  KqFrontDesk *d = q->desk;
  KqTime left = q->deadline - DEADLINE_SLACK_MS * KQ_MS - now;
  if (left <= 0 || !d->config.by_leader (d->config.arg, now))
    {
      refuse (q, "the store is away", RETRY_STORE_MS, d->counts.refused_store, now);
      return;
    }
  q->step = SUBMIT_LEADER;
  ++*d->counts.by_leader;
  ask_leader (q, KQ_ASK_ACCEPT, kq_buf_str (&q->stored), MIN (left, LEADER_WRITES), now);
}

/* result: a KqAcceptResult, or what says that the leader hasn't tried. */
static void
leader_has_written (Request *q, int64_t result, KqTime now)
{
  if (result == KQ_ACCEPT_DONE)
    finish_kind (q, KQ_REPLY_DONE, now);
  else if (result == KQ_ACCEPT_UNKNOWN)
    finish_kind (q, KQ_REPLY_UNKNOWN, now);
  else
    refuse (q, "the store is away", RETRY_STORE_MS, q->desk->counts.refused_store, now);
}

/* A job that the leader doesn't know may have been accepted a moment ago. */
void
kq_front_desk_answer (KqFrontDesk *d, uint64_t call, int64_t value, KqTime now)
{
  Request *q = g_hash_table_lookup (d->waiting, &call);
  KqFrontReply waiting = { .kind = KQ_REPLY_WAITING, .waiting = value };
  if (q == NULL)
    return;
  g_hash_table_remove (d->waiting, &call);
  q->call = 0;
  if (q->step == SUBMIT_LEADER)
    leader_has_written (q, value, now);
  else if (q->step == WAITING_LEADER)
    {
      if (value < 0)
        refuse (q, "no leader", RETRY_LEADER_MS, d->counts.refused_leader, now);
      else
        finish (q, &waiting, now);
    }
  else if ((value < 0 || value == KQ_JOB_UNKNOWN)
           && d->config.store (d->config.arg, now) == KQ_REACH_AWAY)
    refuse (q, "neither leader nor store", RETRY_STORE_MS, d->counts.refused_store, now);
  else if (value < 0)
    read_from_store (q, READ_PROGRESS);
  else if (value == KQ_JOB_UNKNOWN)
    read_from_store (q, READ_JOB);
  else
    finish_state (q, (KqJobState)value, now);
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
      finish (q, &bad, now);
      return;
    }
  kq_spec_pack (r->spec, &q->stored);
  switch (q->desk->config.store (q->desk->config.arg, now))
    {
    case KQ_REACH_AWAY:
      submit_by_leader (q, now);
      break;
    case KQ_REACH_IN_DOUBT:
      read_from_store (q, SUBMIT_READ);
      break;
    case KQ_REACH_UP:
      submit (q);
      break;
    }
}

static Request *
new_request (KqFrontDesk *d, KqAsk *a, const KqFrontRequest *r, KqStr id, KqTime now)
{
  Request *q = kq_alloc (sizeof *q);
  q->desk = d;
  q->ask = a;
  q->id = kq_str_own (id);
  q->begun_at = now;
  q->deadline = now + r->deadline_ms * KQ_MS;
  return q;
}

void
kq_front_desk_request (KqFrontDesk *d, KqAsk *a, const KqFrontRequest *r, KqTime now)
{
  const KqQueueTable *t = d->config.table (d->config.arg);
  const KqQueue *queue = t != NULL ? kq_queue_find (t, r->host, r->path) : NULL;
  KqStr id = KQ_STR ("");
  Request *q;
  if (queue != NULL)
    id = kq_str_n (r->path.ptr + queue->prefix.len, r->path.len - queue->prefix.len);
  q = new_request (d, a, r, id, now);
  if (t == NULL)
    refuse (q, "no configuration yet", RETRY_START_MS, d->counts.refused_start, now);
  else if (queue == NULL)
    finish_kind (q, KQ_REPLY_NO_QUEUE, now);
  else if (r->kind == KQ_FRONT_SUBMIT)
    begin_submit (q, r, queue, now);
  else if (r->kind == KQ_FRONT_CANCEL
           && d->config.store (d->config.arg, now) == KQ_REACH_AWAY)
    refuse (q, "the store is away", RETRY_STORE_MS, d->counts.refused_store, now);
  else if (r->kind == KQ_FRONT_CANCEL)
    read_from_store (q, CANCEL_READ);
  else if (id.len == 0)
    {
      q->step = WAITING_LEADER;
      ask_leader (q, KQ_ASK_WAITING, queue->name, LEADER_WAIT, now);
    }
  else
    {
      q->step = READ_LEADER;
      ask_leader (q, KQ_ASK_STATE, q->id, LEADER_WAIT, now);
    }
}

static void
sweep_waiting (KqFrontDesk *d, KqTime now)
{
  GHashTableIter it;
  gpointer value;
  GArray *late = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_hash_table_iter_init (&it, d->waiting);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const Request *q = value;
      if (now >= q->leader_until)
        g_array_append_val (late, q->call);
    }
  for (guint i = 0; i < late->len; i++)
    {
      uint64_t call = g_array_index (late, uint64_t, i);
      const Request *q = g_hash_table_lookup (d->waiting, &call);
      bool writes = q != NULL && q->step == SUBMIT_LEADER;
      kq_front_desk_answer (d, call, writes ? KQ_ACCEPT_UNKNOWN : -1, now);
    }
  g_array_free (late, TRUE);
}

static void
sweep_later (KqFrontDesk *d, KqTime now)
{
  for (guint i = 0; i < d->later->len; i++)
    {
      Request *q = g_ptr_array_index (d->later, i);
      if (now < q->retry_at)
        continue;
      g_ptr_array_remove_index (d->later, i);
      i--;
      repeat (q, now);
    }
}

static void
on_sweep (struct ev_loop *ev, ev_timer *w, int events)
{
  KqFrontDesk *d = w->data;
  KqTime now = kq_loop_now (d->config.loop);
  (void)events;
  sweep_waiting (d, now);
  sweep_later (d, now);
  if (g_hash_table_size (d->waiting) == 0 && d->later->len == 0)
    ev_timer_stop (ev, w);
}

KqFrontDesk *
kq_front_desk_new (const KqFrontDeskConfig *c)
{
  KqFrontDesk *d = kq_alloc (sizeof *d);
  d->config = *c;
  d->waiting = g_hash_table_new (g_int64_hash, g_int64_equal);
  d->later = g_ptr_array_new ();
  kq_front_counts_init (&d->counts, c->counters);
  ev_timer_init (&d->sweep, on_sweep, SWEEP_S, SWEEP_S);
  d->sweep.data = d;
  return d;
}

void
kq_front_desk_free (KqFrontDesk *d)
{
  if (d == NULL)
    return;
  ev_timer_stop (kq_loop_ev (d->config.loop), &d->sweep);
  g_hash_table_destroy (d->waiting);
  g_ptr_array_free (d->later, TRUE);
  free (d);
}
