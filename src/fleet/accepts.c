#include "fleet/accepts.h"

#include "base/log.h"
#include "fleet/keys.h"
#include "steps/spec.h"

#include <glib.h>

#include <stdlib.h>

#define PART "accepts"
/* Of the time that a node waits for the answer; its way there and back takes the rest. */
#define WRITE_MS 700
/* Nothing is written for so long after a write without an answer: until the leader's
 * other calls have shown whether it still reaches the store. */
#define DOUBT (700 * KQ_MS)
/* Writes under way; each holds its job's text. */
#define CALLS_MAX 500

typedef struct
{
  KqAccepts *accepts; /* NULL: forgotten */
  KqPeer *peer;       /* NULL: gone */
  uint64_t call;
  KqBuf stored;
} Call;

struct KqAccepts
{
  KqKv *kv;
  KqAcceptsOwner owner;
  GPtrArray *calls;  /* Call */
  KqTime doubted_at; /* the last write without an answer; 0: none */
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
  KqCrewItem i = { .kind = KQ_CREW_ANSWER };
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
    case KQ_KV_CONFLICT: /* it is there: a repeat */
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
on_written (void *arg, const KqKvReply *r, KqTime now)
{
  Call *c = arg;
  KqAccepts *a = c->accepts;
  KqAcceptResult result = result_of (r->result);
  if (a == NULL)
    goto out;
  g_ptr_array_remove_fast (a->calls, c);
  if (result == KQ_ACCEPT_UNKNOWN)
    a->doubted_at = now;
  if (result == KQ_ACCEPT_DONE)
    a->owner.answered (a->owner.arg, r->sent_at, now);
  if (r->result == KQ_KV_OK)
    a->owner.accepted (a->owner.arg, kq_buf_str (&c->stored), r->revision, now);
  if (c->peer != NULL)
    answer (c->peer, c->call, result);
out:
  kq_buf_free (&c->stored);
  free (c);
}

static void
write_job (KqAccepts *a, Call *c, KqStr id)
{
  KqStr key = kq_key_of (KQ_KEY_JOB, id);
  KqKvCheck check = { key, 0 };
  KqKvPut put = { key, kq_buf_str (&c->stored), 0 };
  KqKvTxn t = { &check, 1, &put, 1, NULL, 0 };
  kq_kv_txn (a->kv, &t, WRITE_MS, (KqKvCallback){ on_written, c });
  free ((char *)key.ptr);
}

void
kq_accepts_take (KqAccepts *a, KqPeer *p, uint64_t call, KqStr stored, KqTime now)
{
  bool doubt = a->doubted_at != 0 && now - a->doubted_at < DOUBT;
  KqSpec spec;
  Call *c;
  if (doubt || a->calls->len >= CALLS_MAX || !kq_spec_unpack (stored, &spec))
    {
      kq_log (KQ_LOG_INFO, PART,
              "A node's job isn't written. doubt=%d under_way=%u bytes=%zu", doubt,
              a->calls->len, stored.len);
      answer (p, call, KQ_ACCEPT_REFUSED);
      return;
    }
  kq_log (KQ_LOG_INFO, PART, "Writing a job for a node. job=%.*s agent=%d",
          KQ_STR_ARG (spec.id), kq_peer_agent (p));
  c = kq_alloc (sizeof *c);
  c->accepts = a;
  c->peer = p;
  c->call = call;
  kq_buf_add_str (&c->stored, stored);
  g_ptr_array_add (a->calls, c);
  write_job (a, c, spec.id);
  kq_spec_clear (&spec);
}

void
kq_accepts_left (KqAccepts *a, const KqPeer *p)
{
  for (guint i = 0; i < a->calls->len; i++)
    {
      Call *c = g_ptr_array_index (a->calls, i);
      if (c->peer == p)
        c->peer = NULL;
    }
}
