#include "request/claim_ends.h"

#include <stdlib.h>

/* An end is kept for as long as the death of its claim's owner may go unnoticed: twice
 * the sum of a node lease and the wait for its expiry. */
#define KEEP_TIME (30 * KQ_SEC)
/* How long ends are resent after a node was lost: covers that node's lease, the recovery
 * at the successors and their grace time. */
#define RESEND_TIME (40 * KQ_SEC)
#define RESEND_INTERVAL (2 * KQ_SEC)
/* Bounds the sum of the answers, each of which has at most 64 KB. The oldest are dropped
 * first: they have most likely been committed. */
#define TOTAL_MAX_BYTES (8 * 1024 * 1024)

typedef struct End
{
  struct End *next;
  KqMsg *msg;
  KqTime added_at;
  size_t bytes;
} End;

struct KqClaimEnds
{
  End *first;
  End *last;
  size_t n;
  size_t bytes;
  KqTime resend_until;
  KqTime next_resend;
};

KqClaimEnds *
kq_claim_ends_new (void)
{
  return kq_alloc (sizeof (KqClaimEnds));
}

static void
drop_first (KqClaimEnds *e)
{
  End *x = e->first;
  e->first = x->next;
  if (e->first == NULL)
    e->last = NULL;
  e->n--;
  e->bytes -= x->bytes;
  kq_msg_free (x->msg);
  free (x);
}

void
kq_claim_ends_free (KqClaimEnds *e)
{
  if (e == NULL)
    return;
  while (e->first != NULL)
    drop_first (e);
  free (e);
}

void
kq_claim_ends_add (KqClaimEnds *e, const KqMsg *done, KqTime now)
{
  End *x = kq_alloc (sizeof *x);
  x->msg = kq_msg_copy (done);
  x->added_at = now;
  x->bytes = sizeof *x + done->u.claim_done.body.len;
  if (e->last != NULL)
    e->last->next = x;
  else
    e->first = x;
  e->last = x;
  e->n++;
  e->bytes += x->bytes;
  while (e->bytes > TOTAL_MAX_BYTES && e->first != x)
    drop_first (e);
}

void
kq_claim_ends_node_lost (KqClaimEnds *e, KqTime now)
{
  e->resend_until = now + RESEND_TIME;
  if (e->next_resend < now)
    e->next_resend = now + RESEND_INTERVAL;
}

void
kq_claim_ends_tick (KqClaimEnds *e, KqTime now,
                    void (*send) (void *arg, const KqMsg *done), void *arg)
{
  while (e->first != NULL && now - e->first->added_at > KEEP_TIME
         && now >= e->resend_until)
    drop_first (e);
  if (now >= e->resend_until || now < e->next_resend)
    return;
  e->next_resend = now + RESEND_INTERVAL;
  for (End *x = e->first; x != NULL; x = x->next)
    send (arg, x->msg);
}

size_t
kq_claim_ends_count (const KqClaimEnds *e)
{
  return e->n;
}
