#ifndef KQ_PORT_ETAG_CACHE_H
#define KQ_PORT_ETAG_CACHE_H

/* etag_cache: a cache of the last answer for each key with its entity tag (ETag), for
 * conditional HTTP reads.
 *
 * The host list of a depot is read every two seconds and changes some tens of times a
 * day. When it was transferred in full each time, it was the largest part of a node's
 * traffic (about 115 bytes a second for each host of the depot, docs/CAPACITY-SHARDS.md).
 * With the tag in If-None-Match the platform answers 304 without a body while the list is
 * unchanged; a platform without entity tags sends the full list. */

#include "base/str.h"

typedef struct KqEtagCache KqEtagCache;

KqEtagCache *kq_etag_cache_new (void);
void kq_etag_cache_free (KqEtagCache *c);
/* The key's tag and body, valid until the next put; "" when the key isn't cached. */
KqStr kq_etag_cache_tag (const KqEtagCache *c, KqStr key);
KqStr kq_etag_cache_body (const KqEtagCache *c, KqStr key);
/* Stores copies. An empty tag removes the key. */
void kq_etag_cache_put (KqEtagCache *c, KqStr key, KqStr tag, KqStr body);

#endif
