#ifndef KQ_PORT_STORE_H
#define KQ_PORT_STORE_H

/* store: the port to the platform's key-value service.
 *
 * Decision modules put a KqStoreOp into their outbox and later receive the KqStoreReply
 * with the same part and token. store_http.c carries the calls out over HTTP;
 * store_fake.c is an in-memory store with injected faults, for tests.
 *
 * The store numbers all writes with one growing counter; a key's revision is the number
 * of its last write. As an expected revision, 0 means that the key must not exist. */

#include "base/result.h"
#include "base/str.h"
#include "base/time.h"

#include <stdint.h>

/* Longest value the store accepts, in bytes. */
#define KQ_STORE_VALUE_MAX 1000000

typedef enum
{
  KQ_STORE_GET,          /* reads the value and revision of `key`; NOT_FOUND */
  KQ_STORE_PUT,          /* compare-and-swap: the key's revision must be `expect`; on
                            CONFLICT the reply holds the current value and revision */
  KQ_STORE_DELETE,       /* compare-and-swap as for PUT */
  KQ_STORE_LIST,         /* all keys under the prefix `key`, with values */
  KQ_STORE_LEASE_GRANT,  /* replies with the id of a new lease, which expires lease_ms
                            after the store's answer */
  KQ_STORE_LEASE_RENEW,  /* renews `lease`; LEASE_LOST when it has expired */
  KQ_STORE_LEASE_REVOKE, /* ends `lease`; its keys are deleted at once */
  KQ_STORE_WATCH,        /* waits until a key under the prefix `key` has a revision above
                            `expect`, or for wait_ms; answers like LIST */
  KQ_STORE_HOSTS         /* the platform's host list of depot `key`, as JSON in `value`;
                            it may lag behind the true state (hosts.h) */
} KqStoreOpKind;

/* The module that made the call and gets the reply. */
typedef enum
{
  KQ_PART_MEMBER,
  KQ_PART_TABLE,
  KQ_PART_SHARD, /* token: shard index in the upper 32 bits */
  KQ_PART_HOSTS,
  KQ_PART_COUNT
} KqPart;

/* Priority in the node's call budget; urgent and lease calls may use its reserve
 * (budget.h). */
typedef enum
{
  KQ_STORE_NORMAL,
  KQ_STORE_URGENT
} KqStoreClass;

typedef struct
{
  KqStoreOpKind kind;
  KqStoreClass call_class;
  KqPart part;
  uint64_t token;  /* chosen by the caller, echoed in the reply */
  KqStr key;       /* copied by kq_outbox_store */
  KqStr value;     /* copied by kq_outbox_store */
  uint64_t expect; /* PUT, DELETE: expected revision; WATCH: revision to wait beyond */
  uint64_t lease;  /* PUT: the key is deleted when this lease expires; 0: never. RENEW,
                      REVOKE: the lease */
  int lease_ms;    /* GRANT, RENEW: duration of the lease */
  int wait_ms;     /* WATCH */
} KqStoreOp;

typedef struct
{
  KqStr key;
  KqStr value;
  uint64_t revision;
} KqStoreItem;

/* A reply is valid only during the function call that delivers it. result: KQ_OK,
 * KQ_ERR_STORE_* or KQ_ERR_PLATFORM_FORMAT. After UNREACHABLE a write may or may not have
 * taken effect: the caller must read the key and look for its own write id in the value.
 */
typedef struct
{
  KqStoreOpKind kind;
  KqPart part;
  uint64_t token;
  KqResult result;
  KqStr value;       /* GET, CONFLICT, HOSTS */
  uint64_t revision; /* GET, PUT, CONFLICT; LIST and WATCH: the store's highest */
  uint64_t lease;
  KqStoreItem *items; /* LIST and WATCH */
  size_t n_items;
  KqTime sent_at; /* when the request was sent; holders count their lease from here */
} KqStoreReply;

#endif
