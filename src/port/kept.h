#ifndef KQ_PORT_KEPT_H
#define KQ_PORT_KEPT_H

/* kept: the last answer by key with its entity tag, for conditional HTTP reads.
 *
 * The host list of a depot is asked for every two seconds and changes some tens of times
 * a day. Read whole each time it was the largest stream of bytes of a node (about 115
 * bytes a second and host of the depot, docs/CAPACITY-SHARDS.md). With the tag in
 * If-None-Match the platform answers 304 without a body while nothing has changed; one
 * that gives no tags answers whole as before. */

#include "base/str.h"

typedef struct KqKept KqKept;

KqKept *kq_kept_new (void);
void kq_kept_free (KqKept *k);
/* The tag to ask with; "" when nothing is kept for the key. */
KqStr kq_kept_tag (const KqKept *k, KqStr key);
KqStr kq_kept_text (const KqKept *k, KqStr key);
/* An empty tag forgets the key. */
void kq_kept_put (KqKept *k, KqStr key, KqStr tag, KqStr text);

#endif
