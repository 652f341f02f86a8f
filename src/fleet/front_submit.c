/* front_submit: submissions of jobs. */

#include "base/log.h"
#include "fleet/accepts.h"
#include "fleet/front_pending.h"
#include "fleet/job_writes.h"
#include "sched/job_bytes.h"

#define PART "front"
/* Timeout of a job that the leader writes: a round trip between regions and its call. */
#define LEADER_WRITE_TIMEOUT (1000 * KQ_MS)
/* Timeout of the question whether to refuse a job; then it is accepted. */
#define ADMIT_TIMEOUT (200 * KQ_MS)
/* A job is accepted without a question if its client waits for less than this: the
 * question, the read before a refusal and a write would not fit. */
#define ADMIT_TIME_MIN (1500 * KQ_MS)

static void
notify_job (KqFrontPending *q, uint64_t revision, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_JOB };
  i.u.job.stored = kq_buf_str (&q->stored);
  i.u.job.revision = revision;
  q->handler->config.notify_leader (q->handler->config.arg, &i, now);
}

/* Tells the leader that a write of the job is about to be sent, or that the job is
 * refused (over). A client whose connection breaks repeats its job at another node. The
 * leader would tell that node to refuse it, and no key would be found there while the
 * first node's write is on its way. The leader doesn't refuse an id of which it has been
 * told. */
static void
announce_write (KqFrontPending *q, bool over, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_WRITING };
  i.u.writing.id = q->id;
  i.u.writing.over = over;
  if (q->handler->config.admission)
    q->handler->config.notify_leader (q->handler->config.arg, &i, now);
}

/* No write is being tried. Refuses the job, unless an earlier write of this request may
 * still be carried out. */
static void
reply_not_written (KqFrontPending *q, const char *why, KqTime now)
{
  if (q->write_unknown)
    kq_front_pending_reply_kind (q, KQ_REPLY_UNKNOWN, now);
  else
    kq_front_pending_refuse (q, why, KQ_FRONT_RETRY_STORE_MS,
                             q->handler->counts.refused_store, now);
}

/* Has the leader write the job, unless there is no time, or the leader doesn't reach the
 * store either. `why` is the reason for a refusal. */
static void
submit_via_leader (KqFrontPending *q, const char *why, KqTime now)
{
  KqFrontHandler *h = q->handler;
  KqTime left = q->deadline - KQ_FRONT_DEADLINE_SLACK_MS * KQ_MS - now;
  if (left <= 0 || !h->config.store_reached_by_leader (h->config.arg, now))
    {
      reply_not_written (q, why, now);
      return;
    }
  q->step = KQ_FRONT_SUBMIT_LEADER;
  ++*h->counts.via_leader;
  announce_write (q, false, now);
  kq_front_pending_query (q, KQ_ASK_ACCEPT, kq_buf_str (&q->stored),
                          MIN (left, LEADER_WRITE_TIMEOUT), now);
}

void
kq_front_submit_again (KqFrontPending *q, KqTime now)
{
  KqFrontHandler *h = q->handler;
  if (h->config.store_reached_by_leader (h->config.arg, now))
    submit_via_leader (q, "the store doesn't answer", now);
  else
    kq_front_submit_write (q);
}

/* The job is stored already, by an earlier request or an earlier try, or it was cancelled
 * before it could be stored. It is then stored beside its cancellation. */
static void
handle_conflict (KqFrontPending *q, const KqKvReply *r, KqTime now)
{
  if (kq_job_write_found_job (r, &q->cancel_revision))
    {
      kq_front_pending_reply_kind (q, KQ_REPLY_DONE, now);
      return;
    }
  kq_log (KQ_LOG_INFO, PART,
          "The job was cancelled before it was stored. job=%.*s revision=%llu",
          KQ_STR_ARG (q->id), (unsigned long long)q->cancel_revision);
  if (kq_front_pending_may_retry (q, now))
    kq_front_submit_write (q);
  else
    kq_front_pending_reply_kind (q, KQ_REPLY_UNKNOWN, now);
}

static void
on_submit_written (void *arg, const KqKvReply *r, KqTime now)
{
  KqFrontPending *q = arg;
  kq_front_pending_report_call (q, r, now);
  switch (r->result)
    {
    case KQ_KV_OK:
      /* A job that was cancelled before reaches the leader by its watch, behind the
       * cancellation. */
      if (q->cancel_revision == 0)
        notify_job (q, r->revision, now);
      kq_front_pending_reply_kind (q, KQ_REPLY_DONE, now);
      break;
    case KQ_KV_CONFLICT:
      handle_conflict (q, r, now);
      break;
    case KQ_KV_UNKNOWN:
      q->write_unknown = true;
      kq_front_pending_schedule_retry (q, KQ_FRONT_SUBMIT_CHECK, now);
      break;
    default:
      /* An earlier try may still be carried out, so the job cannot be reported as
       * refused. */
      if (q->write_unknown)
        kq_front_pending_schedule_retry (q, KQ_FRONT_SUBMIT_WRITE, now);
      else
        submit_via_leader (q, "the store refused", now);
      break;
    }
}

void
kq_front_submit_write (KqFrontPending *q)
{
  KqTime now = kq_loop_now (q->handler->config.loop);
  q->step = KQ_FRONT_SUBMIT_WRITE;
  announce_write (q, false, now);
  kq_job_write (q->handler->config.kv, q->id, kq_buf_str (&q->stored), q->cancel_revision,
                kq_front_pending_timeout_ms (q, now),
                (KqKvCallback){ on_submit_written, q });
}

void
kq_front_submit_written_by_leader (KqFrontPending *q, int64_t result, KqTime now)
{
  if (result == KQ_ACCEPT_DONE)
    kq_front_pending_reply_kind (q, KQ_REPLY_DONE, now);
  else if (result == KQ_ACCEPT_UNKNOWN)
    kq_front_pending_reply_kind (q, KQ_REPLY_UNKNOWN, now);
  else
    reply_not_written (q, "the store is away", now);
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

/* Submits a job that isn't refused for load. */
static void
accept_job (KqFrontPending *q, KqTime now)
{
  KqFrontHandler *h = q->handler;
  if (h->config.admission)
    kq_front_admit_count (h->admit, kq_buf_str (&q->stored));
  switch (h->config.store_state (h->config.arg, now))
    {
    case KQ_REACH_DOWN:
      submit_via_leader (q, "the store is away", now);
      break;
    case KQ_REACH_SUSPECT:
      kq_front_pending_read (q, KQ_FRONT_SUBMIT_PROBE);
      break;
    case KQ_REACH_UP:
      kq_front_submit_write (q);
      break;
    }
}

/* Asks the leader whether to refuse the job, if it seems to be of no use. False: it
 * doesn't, or nothing is refused now. While the store is down the leader writes the job,
 * and whether the id has been accepted before can't be read. */
static bool
ask_leader (KqFrontPending *q, const KqSpec *spec, KqTime now)
{
  KqFrontHandler *h = q->handler;
  KqBuf query = { 0 };
  bool doubts;
  if (!h->config.admission || q->deadline - now < ADMIT_TIME_MIN
      || h->config.store_state (h->config.arg, now) == KQ_REACH_DOWN)
    return false;
  doubts = kq_front_admit_doubts (h->admit, spec, h->config.leader_epoch (h->config.arg),
                                  now, &q->doubt, &query);
  if (doubts)
    {
      q->step = KQ_FRONT_ADMIT_ASK;
      kq_front_pending_query (q, KQ_ASK_ADMIT, kq_buf_str (&query), ADMIT_TIMEOUT, now);
    }
  kq_buf_free (&query);
  return doubts;
}

void
kq_front_submit_judged (KqFrontPending *q, int64_t retry_ms, KqTime now)
{
  if (retry_ms < 1)
    {
      kq_front_admit_ended (q->handler->admit, q->id, &q->doubt, KQ_FRONT_ADMIT_ACCEPTED,
                            0);
      accept_job (q, now);
      return;
    }
  q->refused_ms = retry_ms;
  kq_front_pending_read (q, KQ_FRONT_ADMIT_READ);
}

void
kq_front_submit_read (KqFrontPending *q, KqKvResult result, KqTime now)
{
  KqFrontHandler *h = q->handler;
  switch (result)
    {
    case KQ_KV_OK: /* accepted before; the leader hasn't learned of it yet */
      kq_front_admit_ended (h->admit, q->id, &q->doubt, KQ_FRONT_ADMIT_STORED, 0);
      kq_front_pending_reply_kind (q, KQ_REPLY_DONE, now);
      break;
    case KQ_KV_NOT_FOUND:
      kq_front_admit_ended (h->admit, q->id, &q->doubt, KQ_FRONT_ADMIT_REFUSED,
                            q->refused_ms);
      announce_write (q, true, now);
      kq_front_pending_refuse (q, "overloaded", q->refused_ms, h->counts.refused_overload,
                               now);
      break;
    case KQ_KV_CONFLICT:
    case KQ_KV_COMPACTED:
    case KQ_KV_REFUSED:
    case KQ_KV_UNKNOWN: /* it isn't known whether the id has been accepted before */
      kq_front_admit_ended (h->admit, q->id, &q->doubt, KQ_FRONT_ADMIT_UNREAD, 0);
      accept_job (q, now);
      break;
    }
}

/* Memory that further jobs may take at the leader, less that of the jobs of which it
 * can't have told yet; -1: not limited. */
static int64_t
room_left (KqFrontHandler *h, KqTime now)
{
  KqTime as_of;
  int64_t left = h->config.jobs_free (h->config.arg, now, &as_of);
  if (as_of > h->room_as_of)
    h->room_accepted = 0;
  h->room_as_of = as_of;
  if (left < 0)
    return -1;
  left -= (int64_t)(h->room_open + h->room_accepted);
  return left > 0 ? left : 0;
}

/* Whether the leader's memory has no room for the job. One that is stored already is
 * accepted all the same, which has to be read first. */
static bool
lacks_room (KqFrontPending *q, const KqSpec *spec, KqTime now)
{
  KqFrontHandler *h = q->handler;
  size_t bytes = kq_job_bytes (spec, q->stored.len);
  int64_t left;
  if (h->config.jobs_free == NULL
      || h->config.store_state (h->config.arg, now) == KQ_REACH_DOWN)
    return false;
  left = room_left (h, now);
  if (!kq_job_bytes_refuse (bytes, left))
    {
      q->room = bytes;
      h->room_open += bytes;
      return false;
    }
  kq_log (KQ_LOG_INFO, PART,
          "The leader's memory has no room. job=%.*s bytes=%zu free=%lld",
          KQ_STR_ARG (q->id), bytes, (long long)left);
  return true;
}

void
kq_front_submit_room_read (KqFrontPending *q, KqKvResult result, KqTime now)
{
  if (result == KQ_KV_OK)
    kq_front_pending_reply_kind (q, KQ_REPLY_DONE, now);
  else if (result == KQ_KV_NOT_FOUND)
    kq_front_pending_refuse (q, "too many jobs", KQ_FRONT_RETRY_ROOM_MS,
                             q->handler->counts.refused_room, now);
  else
    kq_front_pending_schedule_retry (q, KQ_FRONT_ROOM_READ, now);
}

void
kq_front_submit_begin (KqFrontPending *q, const KqFrontRequest *r, const KqQueue *queue,
                       KqTime now)
{
  KqFrontReply bad = { .kind = KQ_REPLY_BAD, .why = "not a job" };
  q->step = KQ_FRONT_SUBMIT_WRITE;
  if (r->spec != NULL)
    fill_spec (r->spec, queue, q->id);
  if (r->spec == NULL || kq_spec_check (r->spec, &bad.why) != KQ_OK)
    {
      kq_front_pending_reply (q, &bad, now);
      return;
    }
  kq_spec_pack (r->spec, &q->stored);
  if (lacks_room (q, r->spec, now))
    kq_front_pending_read (q, KQ_FRONT_ROOM_READ);
  else if (!ask_leader (q, r->spec, now))
    accept_job (q, now);
}
