#include "fleet/accepts.h"

#include "base/log.h"
#include "fleet/job_writes.h"
#include "fleet/keys.h"
#include "steps/spec.h"

#include <glib.h>

#include <stdlib.h>

#define PART "accepts"
/* Timeouts of a write, and of the read after one without an answer: together shorter by a
 * round trip than LEADER_WRITE_TIMEOUT (front_submit.c), for which the node waits. */
#define WRITE_TIMEOUT_MS 450
#define READ_TIMEOUT_MS 250
/* A write that has met a cancellation is repeated within this time; the node waits for
 * the repeated one as well. */
#define REWRITE_TIME (250 * KQ_MS)
/* No jobs are written for this long after a write without an answer: by then the leader's
 * other calls have shown whether it still reaches the store. */
#define PAUSE_AFTER_UNKNOWN (700 * KQ_MS)
/* Maximum number of outstanding writes; each holds a copy of its job. */
#define WRITES_MAX 500
/* Of a job: the call's copy, and the store's call with the job in base64, twice. */
#define WORK_BYTES 4096
#define WORK_COPIES 4

typedef struct
{
  KqAccepts *accepts;       /* NULL: freed meanwhile */
  KqPeer *peer;             /* NULL: disconnected meanwhile */
  uint64_t call;            /* the peer's number of its query */
  char *id;                 /* the job's */
  KqBuf stored;             /* the job in its stored form */
  uint64_t cancel_revision; /* of the cancellation stored before it; 0: none is known */
  KqTime begun_at;
  KqClientLimits *limits;
  size_t work; /* counted in the limits */
} Call;

struct KqAccepts
{
  KqKv *kv;
  KqAcceptsOwner owner;
  GPtrArray *calls;  /* outstanding Calls */
  KqTime unknown_at; /* when the last write ended without an answer; 0: never */
};

KqAccepts *
kq_accepts_new (KqKv *kv, const KqAcceptsOwner *owner)
{
  KqAccepts *a = kq_alloc (sizeof *a);
  a->kv = kv;
  a->owner = *owner;
  a->calls = g_ptr_array_new ();
  return a;
}

void
kq_accepts_free (KqAccepts *a)
{
  if (a == NULL)
    return;
  for (guint i = 0; i < a->calls->len; i++)
    ((Call *)g_ptr_array_index (a->calls, i))->accepts = NULL;
  g_ptr_array_free (a->calls, TRUE);
  free (a);
}

static void
answer (KqPeer *p, uint64_t call, KqAcceptResult result)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_ANSWER };
  i.u.answer.call = call;
  i.u.answer.value = result;
  kq_link_send_peer (p, &i);
}

static KqAcceptResult
result_of (KqKvResult r)
{
  switch (r)
    {
    case KQ_KV_OK:
    case KQ_KV_CONFLICT: /* stored already: the job was submitted again */
      return KQ_ACCEPT_DONE;
    case KQ_KV_REFUSED:
      return KQ_ACCEPT_REFUSED;
    case KQ_KV_NOT_FOUND:
    case KQ_KV_COMPACTED:
    case KQ_KV_UNKNOWN:
      break;
    }
  return KQ_ACCEPT_UNKNOWN;
}

static void
end_call (Call *c, KqAcceptResult result, const KqKvReply *r, uint64_t revision,
          KqTime now)
{
  KqAccepts *a = c->accepts;
  if (a == NULL)
    goto out;
  g_ptr_array_remove_fast (a->calls, c);
  if (result == KQ_ACCEPT_DONE)
    a->owner.answered (a->owner.arg, r->called_at, now);
  /* A job that was cancelled before reaches the leader by its watch, behind the
   * cancellation. */
  if (revision != 0 && c->cancel_revision == 0)
    a->owner.accepted (a->owner.arg, kq_buf_str (&c->stored), revision, now);
  if (c->peer != NULL)
    answer (c->peer, c->call, result);
out:
  kq_client_limits_end_work (c->limits, c->work);
  kq_buf_free (&c->stored);
  free (c->id);
  free (c);
}

static void
on_read_back (void *arg, const KqKvReply *r, KqTime now)
{
  Call *c = arg;
  bool found = r->result == KQ_KV_OK && r->n_items == 1;
  /* Any other record is of an earlier submission, and the job may have been run since. */
  bool ours = found && kq_str_eq (r->items[0].value, kq_buf_str (&c->stored));
  end_call (c, found ? KQ_ACCEPT_DONE : KQ_ACCEPT_UNKNOWN, r,
            ours ? r->items[0].revision : 0, now);
}

static void
read_back (Call *c, KqTime now)
{
  KqStr key = kq_key_of (KQ_KEY_JOB, kq_str (c->id));
  c->accepts->unknown_at = now;
  kq_kv_get (c->accepts->kv, key, READ_TIMEOUT_MS, (KqKvCallback){ on_read_back, c });
  free ((char *)key.ptr);
}

static void on_written (void *arg, const KqKvReply *r, KqTime now);

static void
write_job (Call *c)
{
  kq_job_write (c->accepts->kv, kq_str (c->id), kq_buf_str (&c->stored),
                c->cancel_revision, WRITE_TIMEOUT_MS, (KqKvCallback){ on_written, c });
}

/* The job was cancelled before it could be stored: stores it beside its cancellation. */
static void
write_cancelled (Call *c, const KqKvReply *r, KqTime now)
{
  kq_log (KQ_LOG_INFO, PART,
          "The job was cancelled before it was stored. job=%s revision=%llu", c->id,
          (unsigned long long)c->cancel_revision);
  if (now - c->begun_at < REWRITE_TIME)
    write_job (c);
  else
    end_call (c, KQ_ACCEPT_UNKNOWN, r, 0, now);
}

/* A write without an answer is read back: stores lose answers of writes that they carry
 * out. */
static void
on_written (void *arg, const KqKvReply *r, KqTime now)
{
  Call *c = arg;
  KqAcceptResult result = result_of (r->result);
  if (c->accepts == NULL)
    end_call (c, result, r, 0, now);
  else if (r->result == KQ_KV_CONFLICT
           && !kq_job_write_found_job (r, &c->cancel_revision))
    write_cancelled (c, r, now);
  else if (result == KQ_ACCEPT_UNKNOWN)
    read_back (c, now);
  else
    end_call (c, result, r, r->result == KQ_KV_OK ? r->revision : 0, now);
}

void
kq_accepts_write (KqAccepts *a, KqPeer *p, uint64_t call, KqStr stored, KqTime now)
{
  bool paused = a->unknown_at != 0 && now - a->unknown_at < PAUSE_AFTER_UNKNOWN;
  size_t work = WORK_BYTES + WORK_COPIES * stored.len;
  KqSpec spec = { 0 };
  Call *c;
  if (paused || a->calls->len >= WRITES_MAX || !kq_spec_unpack (stored, &spec)
      || !kq_client_limits_begin_work (a->owner.limits, work, now))
    {
      kq_spec_clear (&spec);
      kq_log (KQ_LOG_INFO, PART,
              "Refusing to write a job for a node. doubt=%d under_way=%u bytes=%zu",
              paused, a->calls->len, stored.len);
      answer (p, call, KQ_ACCEPT_REFUSED);
      return;
    }
  kq_log (KQ_LOG_INFO, PART, "Writing a job for a node. job=%.*s agent=%d",
          KQ_STR_ARG (spec.id), kq_peer_agent (p));
  c = kq_alloc (sizeof *c);
  c->accepts = a;
  c->peer = p;
  c->call = call;
  c->id = kq_str_dup (spec.id);
  c->begun_at = now;
  c->limits = a->owner.limits;
  c->work = work;
  kq_buf_add_str (&c->stored, stored);
  g_ptr_array_add (a->calls, c);
  write_job (c);
  kq_spec_clear (&spec);
}

void
kq_accepts_peer_left (KqAccepts *a, const KqPeer *p)
{
  for (guint i = 0; i < a->calls->len; i++)
    {
      Call *c = g_ptr_array_index (a->calls, i);
      if (c->peer == p)
        c->peer = NULL;
    }
}
