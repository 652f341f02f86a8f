#ifndef KQ_PORT_KV_H
#define KQ_PORT_KV_H

/* kv: the port to a key-value store with transactions, leases and watches.
 *
 * Every call ends in exactly one callback, never before the call has returned. A reply
 * and all that it points to are valid during the callback only. The store counts and
 * prices each call; a lease renewal is the cheapest. */

#include "base/str.h"
#include "base/task.h"

typedef struct KqKv KqKv;

typedef enum
{
  KQ_KV_OK,
  KQ_KV_NOT_FOUND, /* get: no such key; lease calls: the lease has ended */
  KQ_KV_CONFLICT,  /* txn: a check failed, nothing was written; items are the checked keys
                      as they are now */
  KQ_KV_COMPACTED, /* watch: the history asked for is gone; list anew */
  KQ_KV_REFUSED,   /* overloaded or turned away: provably nothing was done */
  KQ_KV_UNKNOWN    /* no answer: a write may have happened or may still happen */
} KqKvResult;

typedef struct
{
  KqStr key;
  KqStr value;
  uint64_t revision; /* of the last write */
  uint64_t lease;    /* 0: none */
  bool deleted;      /* in a watch only */
} KqKvItem;

typedef struct
{
  KqKvResult result;
  const KqKvItem *items;
  size_t n_items;
  bool more;         /* range: continue behind the last item's key */
  bool cut;          /* KQ_KV_UNKNOWN: the answer had begun */
  uint64_t revision; /* the store's revision; after a txn that of the write */
  uint64_t lease;    /* of a grant */
  int64_t ttl_ms;    /* of a grant or a renewal */
  KqTime sent_at;    /* a lease is counted from here by its holder */
} KqKvReply;

typedef struct
{
  void (*done) (void *arg, const KqKvReply *r, KqTime now);
  void *arg;
} KqKvCallback;

typedef struct
{
  KqStr key;
  uint64_t revision; /* 0: the key must not exist */
} KqKvCheck;

typedef struct
{
  KqStr key;
  KqStr value;
  uint64_t lease; /* 0: the key stays */
} KqKvPut;

/* All or nothing. The store takes at most KQ_KV_TXN_MAX rows of all three together. */
#define KQ_KV_TXN_MAX 32
typedef struct
{
  const KqKvCheck *checks;
  size_t n_checks;
  const KqKvPut *puts;
  size_t n_puts;
  const KqStr *removes;
  size_t n_removes;
} KqKvTxn;

void kq_kv_get (KqKv *kv, KqStr key, int timeout_ms, KqKvCallback cb);
/* One page of the keys under prefix, behind the key `after` ("" for the first). Pages
 * don't make up a snapshot. The answer begins within answer_ms or is given up; once it
 * has begun, it is taken in as long as it comes. */
void kq_kv_range (KqKv *kv, KqStr prefix, KqStr after, int answer_ms, KqKvCallback cb);
/* Changes under prefix with a revision above `after`, as soon as there is one; without
 * any for wait_ms the reply has no items. Go on from the reply's revision. An answer that
 * has begun is taken in as that of a range is. */
void kq_kv_watch (KqKv *kv, KqStr prefix, uint64_t after, int wait_ms, KqKvCallback cb);
void kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb);
void kq_kv_lease (KqKv *kv, int64_t ttl_ms, int timeout_ms, KqKvCallback cb);
void kq_kv_keep (KqKv *kv, uint64_t lease, int timeout_ms, KqKvCallback cb);
void kq_kv_lease_end (KqKv *kv, uint64_t lease, int timeout_ms, KqKvCallback cb);

#endif
