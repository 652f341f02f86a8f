#include "member/lease.h"

#include "base/log.h"

#include <assert.h>

/* How often the lease is renewed within its duration: two renewals in a row may fail
 * before it expires. */
#define RENEWALS_PER_LEASE 3
/* Delay of the first retry after a failure; doubles up to a third of the lease. Its
 * second half is random, so that the nodes don't all call a recovered store at the same
 * time. */
#define RETRY_MIN (200 * KQ_MS)

void
kq_node_lease_init (KqNodeLease *l, KqStr name, KqStr value, KqTime lease, KqRand *rand)
{
  assert (lease >= KQ_SEC);
  *l = (KqNodeLease){ .lease_time = lease, .rand = rand };
  kq_buf_add_str (&l->key, KQ_STR ("node/"));
  kq_buf_add_str (&l->key, name);
  kq_buf_add_str (&l->value, value);
}

void
kq_node_lease_clear (KqNodeLease *l)
{
  kq_buf_free (&l->key);
  kq_buf_free (&l->value);
}

static KqTime
retry_wait (KqNodeLease *l)
{
  KqTime wait = RETRY_MIN;
  for (int i = 0; i < l->failures && wait < l->lease_time / RENEWALS_PER_LEASE; i++)
    wait *= 2;
  if (wait > l->lease_time / RENEWALS_PER_LEASE)
    wait = l->lease_time / RENEWALS_PER_LEASE;
  l->failures++;
  return wait / 2 + (KqTime)kq_rand_below (l->rand, (uint64_t)(wait / 2));
}

static void
send (KqNodeLease *l, KqStoreOpKind kind, uint64_t *token, KqOutbox *out)
{
  KqStoreOp op = { .kind = kind, .call_class = KQ_STORE_URGENT, .part = KQ_PART_MEMBER };
  op.token = ++*token;
  op.lease = l->id;
  op.lease_ms = (int)(l->lease_time / KQ_MS);
  if (kind == KQ_STORE_PUT)
    {
      op.key = kq_buf_str (&l->key);
      op.value = kq_buf_str (&l->value);
      op.expect = l->expect;
    }
  l->call_token = op.token;
  kq_outbox_store (out, &op);
}

void
kq_node_lease_tick (KqNodeLease *l, uint64_t *token, KqTime now, KqOutbox *out)
{
  if (l->call_timeout_at != 0 && now >= l->call_timeout_at)
    {
      l->call_timeout_at = 0;
      l->next_call_at = now;
    }
  if (l->call_timeout_at != 0 || now < l->next_call_at)
    return;
  switch (l->state)
    {
    case KQ_NODE_LEASE_NONE:
      send (l, KQ_STORE_LEASE_GRANT, token, out);
      break;
    case KQ_NODE_LEASE_GRANTED:
      send (l, KQ_STORE_PUT, token, out);
      break;
    case KQ_NODE_LEASE_HELD:
      send (l, KQ_STORE_LEASE_RENEW, token, out);
      break;
    case KQ_NODE_LEASE_REPLACED:
    case KQ_NODE_LEASE_REVOKED:
      return;
    }
  l->call_timeout_at = now + l->lease_time / RENEWALS_PER_LEASE;
}

static void
drop_lost_lease (KqNodeLease *l, KqTime now)
{
  kq_log (KQ_LOG_WARN, "member", "The node's lease is lost. lease=%llu",
          (unsigned long long)l->id);
  l->state = KQ_NODE_LEASE_NONE;
  l->id = 0;
  l->valid_until = 0;
  l->next_call_at = now;
}

static void
put_reply (KqNodeLease *l, const KqStoreReply *r, KqTime now)
{
  bool ours = r->result == KQ_ERR_STORE_CONFLICT
              && kq_str_eq (r->value, kq_buf_str (&l->value));
  if (r->result == KQ_OK || ours)
    {
      l->state = KQ_NODE_LEASE_HELD;
      l->put_revision = r->revision;
      l->next_call_at
          = l->valid_until - l->lease_time + l->lease_time / RENEWALS_PER_LEASE;
      l->failures = 0;
    }
  else if (r->result == KQ_ERR_STORE_CONFLICT)
    {
      /* Written by an earlier process of the same name whose lease hasn't expired yet. */
      l->expect = r->revision;
      l->next_call_at = now;
    }
  else if (r->result == KQ_ERR_STORE_LEASE_LOST)
    drop_lost_lease (l, now);
  else
    l->next_call_at = now + retry_wait (l);
}

static void
renew_reply (KqNodeLease *l, const KqStoreReply *r, KqTime now)
{
  if (r->result == KQ_OK)
    {
      assert (r->sent_at + l->lease_time >= l->valid_until);
      l->valid_until = r->sent_at + l->lease_time;
      l->next_call_at = r->sent_at + l->lease_time / RENEWALS_PER_LEASE;
      l->failures = 0;
    }
  else if (r->result == KQ_ERR_STORE_LEASE_LOST)
    {
      l->expect = 0;
      drop_lost_lease (l, now);
    }
  else
    l->next_call_at = now + retry_wait (l);
}

bool
kq_node_lease_reply (KqNodeLease *l, const KqStoreReply *r, KqTime now)
{
  if (l->call_timeout_at == 0 || r->token != l->call_token)
    return false;
  l->call_timeout_at = 0;
  switch (l->state)
    {
    case KQ_NODE_LEASE_NONE:
      l->next_call_at = now;
      if (r->result == KQ_OK)
        {
          l->id = r->lease;
          l->valid_until = r->sent_at + l->lease_time;
          l->state = KQ_NODE_LEASE_GRANTED;
        }
      else
        l->next_call_at = now + retry_wait (l);
      break;
    case KQ_NODE_LEASE_GRANTED:
      put_reply (l, r, now);
      break;
    case KQ_NODE_LEASE_HELD:
      renew_reply (l, r, now);
      break;
    case KQ_NODE_LEASE_REPLACED:
    case KQ_NODE_LEASE_REVOKED:
      break;
    }
  return true;
}

bool
kq_node_lease_live (const KqNodeLease *l, KqTime now)
{
  return l->state == KQ_NODE_LEASE_HELD && now < l->valid_until;
}

void
kq_node_lease_check_replaced (KqNodeLease *l, uint64_t revision)
{
  if (l->state != KQ_NODE_LEASE_HELD || revision <= l->put_revision)
    return;
  kq_log (KQ_LOG_ERROR, "member", "Another process has this node's name. key=%.*s",
          KQ_STR_ARG (kq_buf_str (&l->key)));
  l->state = KQ_NODE_LEASE_REPLACED;
  l->id = 0;
  l->valid_until = 0;
}

void
kq_node_lease_revoke (KqNodeLease *l, uint64_t *token, KqOutbox *out)
{
  if (l->id != 0)
    send (l, KQ_STORE_LEASE_REVOKE, token, out);
  l->state = KQ_NODE_LEASE_REVOKED;
  l->id = 0;
  l->valid_until = 0;
  l->call_timeout_at = 0;
}
