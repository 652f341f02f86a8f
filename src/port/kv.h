#ifndef KQ_PORT_KV_H
#define KQ_PORT_KV_H

/* kv: the port to a key-value store with transactions, leases and watches.
 *
 * Each function leads to exactly one callback, always after it has returned. A reply and
 * all that it points to are valid only during the callback. Each call has a price at the
 * store; a lease renewal is the cheapest. */

#include "base/str.h"
#include "base/task.h"

typedef struct KqKv KqKv;

typedef enum
{
  KQ_KV_OK,
  KQ_KV_NOT_FOUND, /* get: no such key; lease calls: the lease has ended */
  KQ_KV_CONFLICT,  /* txn: a check failed, nothing was written; items are the checked keys
                      as they are now */
  KQ_KV_COMPACTED, /* watch: the requested history has been compacted; read the range
                      again */
  KQ_KV_REFUSED,   /* refused, e.g. for overload: certainly nothing was done */
  KQ_KV_UNKNOWN    /* no answer: a write may have happened or may still happen */
} KqKvResult;

typedef struct
{
  KqStr key;
  KqStr value;
  uint64_t revision; /* of the last write */
  uint64_t lease;    /* 0: none */
  bool deleted;      /* watch: the change was the key's deletion */
} KqKvItem;

typedef struct
{
  KqKvResult result;
  const KqKvItem *items;
  size_t n_items;
  bool more;     /* range: there are more keys after the last item's key */
  bool too_long; /* KQ_KV_UNKNOWN: the answer is longer than what is taken; to be asked
                    for in parts */
  bool partial;  /* KQ_KV_UNKNOWN: part of the answer arrived before the call failed */
  uint64_t revision; /* the store's revision; of a txn: the revision of its write */
  uint64_t lease;    /* of a grant: the lease's id */
  int64_t ttl_ms;    /* of a grant or a renewal */
  KqTime called_at;  /* when the call was made; the holder of a lease counts its ttl from
                        this time */
} KqKvReply;

typedef struct
{
  void (*done) (void *arg, const KqKvReply *r, KqTime now);
  void *arg;
} KqKvCallback;

typedef struct
{
  KqStr key;
  uint64_t revision; /* the key's expected revision; 0: the key must not exist */
} KqKvCheck;

typedef struct
{
  KqStr key;
  KqStr value;
  uint64_t lease; /* the key is deleted when this lease ends; 0: never */
} KqKvPut;

/* The store takes values of at most so many bytes. */
#define KQ_KV_VALUE_MAX ((size_t)1 << 20)

/* A transaction: all or nothing. The store takes at most KQ_KV_TXN_MAX checks, puts and
 * removes together. */
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
/* One page of the keys under prefix, starting after the key `after` ("" for the first
 * page). The pages together aren't a snapshot. answer_ms limits the time until the first
 * byte of the answer; after that the call goes on as long as bytes arrive. */
void kq_kv_range (KqKv *kv, KqStr prefix, KqStr after, int answer_ms, KqKvCallback cb);
/* Answers with the changes under prefix above the revision `after`, as soon as there is
 * one; without a change for wait_ms the reply has no items. The next watch continues from
 * the reply's revision. An answer that has begun is received like that of a range. */
void kq_kv_watch (KqKv *kv, KqStr prefix, uint64_t after, int wait_ms, KqKvCallback cb);
void kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb);
/* Asks the store for a new lease of ttl_ms. */
void kq_kv_lease_grant (KqKv *kv, int64_t ttl_ms, int timeout_ms, KqKvCallback cb);
/* Renews a lease; NOT_FOUND if it has ended. */
void kq_kv_lease_renew (KqKv *kv, uint64_t lease, int timeout_ms, KqKvCallback cb);
/* Revokes a lease; its keys are deleted. */
void kq_kv_lease_revoke (KqKv *kv, uint64_t lease, int timeout_ms, KqKvCallback cb);

#endif
