#ifndef KQ_PORT_STORE_H
#define KQ_PORT_STORE_H

/* store: the port to the platform's key-value service.
 *
 * Decision modules put a KqStoreOp into their outbox and later receive the KqStoreReply
 * that carries the same part and token. Only src/port/store_http.c knows HTTP;
 * src/port/store_fake.c answers from memory for tests, with faults.
 *
 * A revision is the store's own number of the last write of a key; it grows with every
 * write of any key. Revision 0 means "the key must not exist". */

#include "base/result.h"
#include "base/str.h"
#include "base/time.h"

#include <stdint.h>

/* A value longer than this is refused by the store (the brief: up to a megabyte). */
#define KQ_STORE_VALUE_MAX 1000000

typedef enum
{
  KQ_STORE_GET,          /* key -> value, revision; NOT_FOUND */
  KQ_STORE_PUT,          /* compare-and-swap: revision must be `expect`; CONFLICT gives
                            the present value and revision in the reply */
  KQ_STORE_DELETE,       /* compare-and-swap as for PUT */
  KQ_STORE_LIST,         /* all keys under the prefix `key`, with values */
  KQ_STORE_LEASE_GRANT,  /* -> lease id; lives lease_ms from the store's answer */
  KQ_STORE_LEASE_RENEW,  /* lease; LEASE_LOST when it has lapsed */
  KQ_STORE_LEASE_REVOKE, /* lease; its keys go at once */
  KQ_STORE_WATCH,        /* waits until something under prefix `key` is newer than
                            `expect`, or wait_ms pass; answers like LIST */
  KQ_STORE_HOSTS         /* the lagging list of hosts of depot `key`; the answer is the
                            platform's text in `value` */
} KqStoreOpKind;

/* Which module asked: the reply goes back to it. */
typedef enum
{
  KQ_PART_MEMBER,
  KQ_PART_TABLE,
  KQ_PART_SHARD, /* token: shard index in the upper 32 bits */
  KQ_PART_HOSTS,
  KQ_PART_COUNT
} KqPart;

/* Which budget pays for the call: urgent and lease calls have a reserve. */
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
  uint64_t token; /* chosen by the asker, echoed */
  KqStr key;      /* copied by kq_outbox_store */
  KqStr value;    /* copied too */
  uint64_t expect;
  uint64_t lease; /* PUT: the key goes when this lease lapses; 0: it stays */
  int lease_ms;
  int wait_ms;
} KqStoreOp;

typedef struct
{
  KqStr key;
  KqStr value;
  uint64_t revision;
} KqStoreItem;

/* Valid only during the call that delivers it. result: KQ_OK, KQ_ERR_STORE_* or
 * KQ_ERR_PLATFORM_FORMAT. After UNREACHABLE a write may or may not have taken effect:
 * the asker reads back and compares its own write id, it never assumes. */
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
  KqTime sent_at; /* when the request left; leases count from here at the holder */
} KqStoreReply;

#endif
