#include "shard/owner_state.h"

#include "base/log.h"
#include "wire/pack.h"

#include <assert.h>
#include <stdio.h>

#define PART "owner"
#define CALL_NUMBER_BIT 0x80000000U
#define KEY_MAX 96
#define OWN_VERSION 1

/* Steps of taking a shard:
 *
 *   READ own/<shard>. If it names another node that isn't known to be alive,
 *   READ_NODE its key, as our list of nodes is outdated while watches are silent.
 *   SWAP: write ourselves with epoch + 1 against the revision that was read.
 *   READ_BACK after a write without an answer: the write id tells whether it is ours.
 *
 * In a planned move, while the present owner is alive and its digest lists the shard, the
 * next owner WATCHes own/<shard> for the release.
 *
 * A repeated SWAP writes the same value, so a first try that takes effect late is
 * recognized as ours. */

static void
encode (const KqOwnValue *v, KqBuf *out)
{
  KqPacker p;
  kq_packer_init (&p, out);
  kq_pack_array (&p, 7);
  kq_pack_u64 (&p, OWN_VERSION);
  kq_pack_u64 (&p, v->owner);
  kq_pack_name (&p, &v->name);
  kq_pack_u64 (&p, v->incarnation);
  kq_pack_u64 (&p, v->lease);
  kq_pack_u64 (&p, v->epoch);
  kq_pack_u64 (&p, v->write_id);
}

static bool
decode (KqStr text, KqOwnValue *v)
{
  KqUnpacked u;
  KqReader r;
  if (!kq_unpacked_open (&u, text, &r))
    return false;
  uint64_t version = kq_read_u64 (&r);
  v->owner = kq_read_u64 (&r);
  v->name = kq_read_name (&r);
  v->incarnation = kq_read_u64 (&r);
  v->lease = kq_read_u64 (&r);
  v->epoch = kq_read_u64 (&r);
  v->write_id = kq_read_u64 (&r);
  kq_unpacked_close (&u);
  return !r.bad && version == OWN_VERSION;
}

static void
send_op (KqOwner *o, uint32_t i, KqStoreOp *op, KqTime now, KqOutbox *out)
{
  KqOwnEntry *e = &o->entries[i];
  char key[KEY_MAX];
  assert (e->call_number == 0);
  o->next_call_number = (o->next_call_number + 1) | CALL_NUMBER_BIT;
  e->call_number = o->next_call_number;
  e->sent_at = now;
  if (op->key.len == 0)
    {
      snprintf (key, sizeof key, "own/%u", o->first + i);
      op->key = kq_str (key);
    }
  op->call_class = KQ_STORE_URGENT;
  op->part = KQ_PART_SHARD;
  op->token = (uint64_t)(o->first + i) << 32 | e->call_number;
  kq_outbox_store (out, op);
}

void
kq_owner_send (KqOwner *o, uint32_t i, KqTime now, KqOutbox *out)
{
  KqOwnEntry *e = &o->entries[i];
  KqStoreOp op = { .kind = KQ_STORE_GET };
  char key[KEY_MAX];
  KqBuf value;
  kq_buf_init (&value);
  switch (e->step)
    {
    case KQ_OWNER_IDLE:
      assert (false);
      break;
    case KQ_OWNER_READ_BACK:
    case KQ_OWNER_RELEASE_READ_BACK:
      o->count.read_backs++;
      break;
    case KQ_OWNER_READ:
      break;
    case KQ_OWNER_WATCH:
      op.kind = KQ_STORE_WATCH;
      op.expect = e->watch_revision;
      op.wait_ms = KQ_OWNER_WATCH_MS;
      break;
    case KQ_OWNER_READ_NODE:
      snprintf (key, sizeof key, "node/%.*s", KQ_STR_ARG (kq_name_str (&e->stored.name)));
      op.key = kq_str (key);
      break;
    case KQ_OWNER_SWAP:
    case KQ_OWNER_RELEASE:
      encode (&e->mine, &value);
      op.kind = KQ_STORE_PUT;
      op.value = kq_buf_str (&value);
      op.expect = e->revision;
      break;
    }
  send_op (o, i, &op, now, out);
  kq_buf_free (&value);
}

static void
next_step (KqOwnEntry *e, KqOwnerStep step)
{
  e->step = step;
  e->wait_until = e->backoff = 0;
}

static void
back_off (KqOwner *o, KqOwnEntry *e, KqTime now)
{
  e->wait_until = kq_backoff_next (&e->backoff, &o->rand, now);
}

/* Gives up taking the shard for now. The next try follows after a random delay between
 * 0.5 and 1.5 times KQ_OWNER_RECHECK. */
static void
retry_later (KqOwner *o, uint32_t i, KqTime now)
{
  kq_owner_reset_entry (o, i);
  o->entries[i].wait_until
      = now + KQ_OWNER_RECHECK / 2
        + (KqTime)kq_rand_below (&o->rand, (uint64_t)KQ_OWNER_RECHECK);
}

/* Stores the value of own/<shard> from a reply in the entry. False when the value can't
 * be read: the error is logged and the shard isn't taken, as its owner isn't known. */
static bool
load_stored (KqOwner *o, uint32_t i, const KqStoreReply *r, KqTime now)
{
  KqOwnEntry *e = &o->entries[i];
  KqOwnValue v = { 0 };
  bool absent = r->result == KQ_ERR_STORE_NOT_FOUND
                || (r->result == KQ_ERR_STORE_CONFLICT && r->revision == 0);
  if (!absent && !decode (r->value, &v))
    {
      kq_log (KQ_LOG_ERROR, PART, "Owner record can't be read. key=own/%u", o->first + i);
      retry_later (o, i, now);
      return false;
    }
  if (v.write_id != e->stored.write_id)
    e->gone_since = 0;
  e->stored = v;
  e->revision = absent ? 0 : r->revision;
  return true;
}

static void
start_swap (KqOwner *o, uint32_t i, const KqMember *m)
{
  KqOwnEntry *e = &o->entries[i];
  e->mine = (KqOwnValue){ .owner = o->self.id,
                          .name = o->self.name,
                          .incarnation = o->self.incarnation,
                          .lease = kq_member_lease (m),
                          .epoch = e->stored.epoch + 1,
                          .write_id = kq_rand_next (&o->rand) };
  e->uncertain = true;
  next_step (e, KQ_OWNER_SWAP);
}

/* Takes the shard from an owner whose node key is gone. If the owner's heartbeats still
 * arrive, waits until the key has been gone for KQ_OWNER_GRACE. */
static void
take_from_gone (KqOwner *o, uint32_t i, const KqMember *m, KqTime now)
{
  KqOwnEntry *e = &o->entries[i];
  const KqNode *node = kq_member_find (m, e->stored.owner);
  bool heard = node != NULL && node->heard_at != 0
               && now - node->heard_at < KQ_OWNER_HEARD_AGE (o);
  if (e->gone_since == 0)
    e->gone_since = now;
  if (heard && now - e->gone_since < KQ_OWNER_GRACE (o))
    retry_later (o, i, now);
  else
    start_swap (o, i, m);
}

/* Chooses the next step of taking a shard, after own/<shard> was read. */
static void
continue_take (KqOwner *o, uint32_t i, const KqMember *m, KqTime now)
{
  KqOwnEntry *e = &o->entries[i];
  const KqNode *node = kq_member_find (m, e->stored.owner);
  if (!kq_owner_may_take_shards (o, m, now))
    retry_later (o, i, now);
  else if (e->stored.owner == 0 || e->stored.owner == o->self.id)
    start_swap (o, i, m); /* released, or taken by us in an earlier process or lease */
  else if (node != NULL && node->in_store && node->state != KQ_NODE_GONE
           && node->info.incarnation == e->stored.incarnation)
    {
      uint64_t epoch = 0;
      retry_later (o, i, now);
      if (kq_owner_find_reported (m, o->first + i, &epoch) != 0)
        {
          e->watch_revision = e->revision;
          next_step (e, KQ_OWNER_WATCH);
        }
      else /* the owner's digest no longer lists the shard: it is writing the release */
        e->wait_until = kq_backoff_next (&e->handover_backoff, &o->rand, now);
    }
  else
    next_step (e, KQ_OWNER_READ_NODE);
}

/* Handles the reply to WATCH. A watch is for a key prefix, so the reply may have only
 * keys of other shards (own/1 is a prefix of own/12). */
static void
watch_reply (KqOwner *o, uint32_t i, const KqStoreReply *r, const KqMember *m, KqTime now)
{
  KqOwnEntry *e = &o->entries[i];
  char key[KEY_MAX];
  KqStoreReply own = { .result = KQ_ERR_STORE_NOT_FOUND };
  if (r->result != KQ_OK)
    {
      retry_later (o, i, now);
      return;
    }
  snprintf (key, sizeof key, "own/%u", o->first + i);
  for (size_t k = 0; k < r->n_items; k++)
    if (kq_str_eq (r->items[k].key, kq_str (key)))
      own = (KqStoreReply){ .result = KQ_OK,
                            .value = r->items[k].value,
                            .revision = r->items[k].revision };
  e->watch_revision = r->revision;
  if (own.revision == e->revision || !load_stored (o, i, &own, now))
    return;
  e->state = KQ_OWN_TAKING;
  continue_take (o, i, m, now);
}

/* Handles the reply to READ_NODE. */
static void
node_reply (KqOwner *o, uint32_t i, const KqStoreReply *r, const KqMember *m, KqTime now)
{
  KqOwnEntry *e = &o->entries[i];
  const KqNode *node = kq_member_find (m, e->stored.owner);
  if (r->result == KQ_ERR_STORE_NOT_FOUND)
    {
      take_from_gone (o, i, m, now);
      return;
    }
  /* The key exists. If the node has been heard with another incarnation for the whole
   * grace, the process that own/<shard> names has ended. */
  bool other = node != NULL && node->info.incarnation != e->stored.incarnation
               && node->heard_at != 0 && now - node->heard_at < KQ_OWNER_HEARD_AGE (o);
  if (!other)
    e->gone_since = 0;
  else if (e->gone_since == 0)
    e->gone_since = now;
  if (other && now - e->gone_since >= KQ_OWNER_GRACE (o))
    start_swap (o, i, m);
  else
    retry_later (o, i, now);
}

/* Called when our SWAP is in the store. It makes us owner only if the lease named in the
 * value is still our present one and live. */
static void
swap_committed (KqOwner *o, uint32_t i, uint64_t revision, const KqMember *m, KqTime now)
{
  KqOwnEntry *e = &o->entries[i];
  e->revision = revision;
  e->stored = e->mine;
  if (kq_member_lease (m) != e->mine.lease || !kq_member_lease_live (m, now))
    {
      retry_later (o, i, now);
      return;
    }
  assert (!e->holding);
  e->holding = true;
  e->uncertain = false;
  e->handover_backoff = 0;
  e->taken_at = now;
  e->state = KQ_OWN_MINE;
  o->count.taken++;
  next_step (e, KQ_OWNER_IDLE);
  kq_owner_add_event (o, KQ_OWNER_TAKEN, i);
}

static bool
stored_is_ours (const KqOwnEntry *e)
{
  return e->mine.write_id != 0 && e->stored.write_id == e->mine.write_id;
}

static void
swap_reply (KqOwner *o, uint32_t i, const KqStoreReply *r, const KqMember *m, KqTime now)
{
  KqOwnEntry *e = &o->entries[i];
  uint64_t expect = e->revision;
  bool read_back = e->step == KQ_OWNER_READ_BACK;
  if (r->result == KQ_OK && !read_back)
    {
      swap_committed (o, i, r->revision, m, now);
      return;
    }
  if (r->result != KQ_OK && r->result != KQ_ERR_STORE_CONFLICT
      && r->result != KQ_ERR_STORE_NOT_FOUND)
    {
      if (r->result != KQ_ERR_STORE_BUSY)
        e->step = KQ_OWNER_READ_BACK;
      back_off (o, e, now);
      return;
    }
  if (!load_stored (o, i, r, now))
    return;
  if (stored_is_ours (e))
    swap_committed (o, i, e->revision, m, now);
  else if (read_back && e->revision == expect)
    next_step (e, KQ_OWNER_SWAP);
  else
    {
      /* Another write has changed the revision, so ours can't take effect any more. */
      e->uncertain = false;
      continue_take (o, i, m, now);
    }
}

void
kq_owner_start_release (KqOwner *o, uint32_t i)
{
  KqOwnEntry *e = &o->entries[i];
  uint64_t epoch = e->mine.epoch > e->stored.epoch ? e->mine.epoch : e->stored.epoch;
  e->state = KQ_OWN_RELEASING;
  e->mine = (KqOwnValue){ .epoch = epoch, .write_id = kq_rand_next (&o->rand) };
  e->uncertain = true;
  next_step (e, KQ_OWNER_RELEASE);
}

static void
release_done (KqOwner *o, uint32_t i, KqTime now)
{
  o->entries[i].uncertain = false;
  kq_owner_reset_entry (o, i);
  o->entries[i].wait_until = now;
}

static void
release_reply (KqOwner *o, uint32_t i, const KqStoreReply *r, KqTime now)
{
  KqOwnEntry *e = &o->entries[i];
  uint64_t expect = e->revision;
  bool read_back = e->step == KQ_OWNER_RELEASE_READ_BACK;
  if (r->result == KQ_OK && !read_back)
    {
      release_done (o, i, now);
      return;
    }
  if (r->result != KQ_OK && r->result != KQ_ERR_STORE_CONFLICT
      && r->result != KQ_ERR_STORE_NOT_FOUND)
    {
      if (r->result != KQ_ERR_STORE_BUSY)
        e->step = KQ_OWNER_RELEASE_READ_BACK;
      back_off (o, e, now);
      return;
    }
  if (!load_stored (o, i, r, now))
    return;
  /* The release is written again if own/<shard> names us although we no longer hold the
   * shard, or if a write of ours may still take effect against this revision. A release
   * ends both states, as it removes the owner and changes the revision. */
  bool named
      = e->stored.owner == o->self.id && e->stored.incarnation == o->self.incarnation;
  bool released_by_us = stored_is_ours (e) && e->stored.owner == 0;
  if (released_by_us)
    release_done (o, i, now);
  else if (named || e->revision == expect)
    kq_owner_start_release (o, i);
  else
    release_done (o, i, now);
}

void
kq_owner_handle_reply (KqOwner *o, uint32_t i, const KqStoreReply *r, const KqMember *m,
                       KqTime now)
{
  KqOwnEntry *e = &o->entries[i];
  bool known = r->result == KQ_OK || r->result == KQ_ERR_STORE_NOT_FOUND;
  switch (e->step)
    {
    case KQ_OWNER_IDLE:
      break;
    case KQ_OWNER_READ:
      if (!known)
        retry_later (o, i, now);
      else if (load_stored (o, i, r, now))
        continue_take (o, i, m, now);
      break;
    case KQ_OWNER_WATCH:
      watch_reply (o, i, r, m, now);
      break;
    case KQ_OWNER_READ_NODE:
      if (!known)
        retry_later (o, i, now);
      else
        node_reply (o, i, r, m, now);
      break;
    case KQ_OWNER_SWAP:
    case KQ_OWNER_READ_BACK:
      swap_reply (o, i, r, m, now);
      break;
    case KQ_OWNER_RELEASE:
    case KQ_OWNER_RELEASE_READ_BACK:
      release_reply (o, i, r, now);
      break;
    }
}
