#ifndef KQ_NODE_QUERIES_H
#define KQ_NODE_QUERIES_H

/* queries: operators' queries about one node, answered as JSON. */

#include "node/core.h"

#include <jansson.h>

/* Each of the functions kq_query_NAME returns a new JSON value, which the caller frees.
 */

/* The state of this node. */
json_t *kq_query_node (KqCore *c, KqTime now);
/* All nodes known to this one. */
json_t *kq_query_nodes (KqCore *c);
/* All shards of this region: the owner known to this node, and the state here. */
json_t *kq_query_shards (KqCore *c, KqTime now);
/* The workers of each active shard of this node. */
json_t *kq_query_workers (KqCore *c, KqTime now);
/* Numbers of jobs of each active shard of this node. Every accepted job is counted as
 * queued, running or ended. */
json_t *kq_query_jobs_account (KqCore *c);
/* The table in force; NULL when there is none. */
json_t *kq_query_table (KqCore *c);

/* Reads {"changes": [{"kind", "name", "fields": {...}, "remove", "expect"}]}; fields that
 * aren't named keep their value in the table in force. "expect": the row's revision that
 * the operator saw, 0 if the row must not exist; without it any revision is accepted. The
 * caller frees *out with free (). On an error *detail says which row and field, and what
 * is allowed. */
KqResult kq_query_read_changes (KqCore *c, KqStr json, KqRowChange **out, size_t *n,
                                KqBuf *detail);

#endif
