#include "request/claim_set.h"

#include <assert.h>
#include <stdlib.h>

static uint64_t
flight_hash (KqFlightId f)
{
  return kq_hash2 (kq_hash2 (f.node, f.incarnation), f.number);
}

static uint64_t
key_hash (KqStr service, KqStr caller, KqStr key)
{
  return kq_hash2 (kq_hash2 (kq_str_hash (service), kq_str_hash (caller)),
                   kq_str_hash (key));
}

KqClaim *
kq_claim_set_find (const KqClaimSet *c, KqStr service, KqStr caller, KqStr key)
{
  KqMapNode *n = kq_map_find (&c->by_key, key_hash (service, caller, key));
  for (; n != NULL; n = kq_map_next (n))
    {
      KqClaim *claim = n->container;
      if (kq_str_eq (claim->key, key) && kq_str_eq (kq_name_str (&claim->caller), caller)
          && kq_str_eq (kq_name_str (&claim->service), service))
        return claim;
    }
  return NULL;
}

KqClaim *
kq_claim_set_find_flight (const KqClaimSet *c, KqFlightId f)
{
  KqMapNode *n = kq_map_find (&c->by_flight, flight_hash (f));
  while (n != NULL && !kq_flight_eq (((KqClaim *)n->container)->flight, f))
    n = kq_map_next (n);
  return n != NULL ? n->container : NULL;
}

KqClaim *
kq_claim_set_find_number (const KqClaimSet *c, uint64_t number)
{
  KqMapNode *n = kq_map_find (&c->by_number, number);
  return n != NULL ? n->container : NULL;
}

static size_t
claim_size (const KqClaim *claim)
{
  return sizeof *claim + claim->key.len;
}

void
kq_claim_set_expire_at (KqClaimSet *c, KqClaim *claim, KqTime at)
{
  if (claim->by_expiry.index > 0)
    kq_heap_remove (&c->by_expiry, &claim->by_expiry);
  kq_heap_add (&c->by_expiry, &claim->by_expiry, at, c->next_order++, claim);
}

KqClaim *
kq_claim_set_add (KqClaimSet *c, const KqClaimFields *f, KqTime now)
{
  KqClaim *claim = kq_alloc (sizeof *claim);
  claim->number = f->number;
  claim->flight = f->flight;
  claim->service = kq_name (f->service);
  claim->caller = kq_name (f->caller);
  claim->key = kq_str_own (f->key);
  claim->request_hash = f->request_hash;
  claim->ttl = f->ttl;
  kq_map_add (&c->by_key, &claim->by_key, key_hash (f->service, f->caller, f->key),
              claim);
  kq_map_add (&c->by_flight, &claim->by_flight, flight_hash (f->flight), claim);
  kq_map_add (&c->by_number, &claim->by_number, f->number, claim);
  claim->prev = c->last;
  *(c->last != NULL ? &c->last->next : &c->first) = claim;
  c->last = claim;
  c->last_number = f->number;
  c->bytes += claim_size (claim);
  /* It expires even if its entry node never reports the end. */
  kq_claim_set_expire_at (c, claim, now + claim->ttl);
  return claim;
}

static void
drop_answer (KqClaimSet *c, KqClaim *claim)
{
  c->answer_bytes -= claim->answer.len;
  c->bytes -= claim->answer.len;
  kq_buf_free (&claim->answer);
}

void
kq_claim_set_remove (KqClaimSet *c, KqClaim *claim)
{
  assert (claim->waiters == NULL);
  kq_map_remove (&c->by_key, &claim->by_key);
  kq_map_remove (&c->by_flight, &claim->by_flight);
  kq_map_remove (&c->by_number, &claim->by_number);
  kq_heap_remove (&c->by_expiry, &claim->by_expiry);
  *(claim->prev != NULL ? &claim->prev->next : &c->first) = claim->next;
  *(claim->next != NULL ? &claim->next->prev : &c->last) = claim->prev;
  drop_answer (c, claim);
  c->bytes -= claim_size (claim);
  free ((char *)claim->key.ptr);
  free (claim);
}

KqClaimWaiter *
kq_claim_set_take_waiter (KqClaimSet *c, KqClaim *claim)
{
  KqClaimWaiter *w = claim->waiters;
  if (w == NULL)
    return NULL;
  claim->waiters = w->next;
  claim->n_waiters--;
  kq_heap_remove (&c->waiters_by_timeout, &w->by_timeout);
  return w;
}

void
kq_claim_set_end (KqClaimSet *c, KqClaim *claim, KqClaimState state, KqTime ttl,
                  KqTime now)
{
  claim->state = state;
  kq_claim_set_expire_at (c, claim, now + ttl);
}

void
kq_claim_set_store_answer (KqClaimSet *c, KqClaim *claim, KqStr record)
{
  drop_answer (c, claim);
  kq_buf_add_str (&claim->answer, record);
  c->answer_bytes += record.len;
  c->bytes += record.len;
}

void
kq_claim_set_free (KqClaimSet *c)
{
  while (c->first != NULL)
    {
      KqClaimWaiter *w;
      while ((w = kq_claim_set_take_waiter (c, c->first)) != NULL)
        free (w);
      kq_claim_set_remove (c, c->first);
    }
  kq_map_free (&c->by_key);
  kq_map_free (&c->by_flight);
  kq_map_free (&c->by_number);
  kq_heap_free (&c->by_expiry);
  kq_heap_free (&c->waiters_by_timeout);
}
