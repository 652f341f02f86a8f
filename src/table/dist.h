#ifndef KQ_TABLE_DIST_H
#define KQ_TABLE_DIST_H

/* dist: the table in force at this node, kept up with the store and with peers.
 *
 * A change is one compare-and-swap in the store, nothing less. The node watches one
 * prefix (a waiting watch counts as a call: one per node, long) and passes what it
 * learns on to peers; a peer whose heartbeat shows a lower revision is sent what it
 * lacks, so that a node with a silent watch learns within a heartbeat. Only a whole,
 * checked table of a higher revision is applied. */

#include "port/outbox.h"
#include "table/table.h"

typedef struct KqTableDist KqTableDist;

typedef struct
{
  uint64_t call;     /* of the asker */
  KqResult code;     /* KQ_OK, KQ_ERR_TABLE_*, KQ_ERR_STORE_UNREACHABLE */
  uint64_t revision; /* KQ_OK: in which the change stands */
  size_t which;      /* CONFLICT, NOT_FOUND: the change at fault */
} KqTableResult;

KqTableDist *kq_table_dist_new (KqNodeId self, uint64_t seed);
void kq_table_dist_free (KqTableDist *d);
/* The table in force; NULL before the first. Ref it to keep it. */
KqTable *kq_table_dist_current (KqTableDist *d);
uint64_t kq_table_dist_revision (const KqTableDist *d);
/* True once after each new table. */
bool kq_table_dist_changed (KqTableDist *d);
/* Whether the present table came from a peer and not yet from the store. */
bool kq_table_dist_from_peer (const KqTableDist *d);

void kq_table_dist_tick (KqTableDist *d, KqTime now, KqOutbox *out);
void kq_table_dist_reply (KqTableDist *d, const KqStoreReply *r, KqTime now,
                          KqOutbox *out);
/* A peer's heartbeat showed this revision. `far`: the peer lies in another region. */
void kq_table_dist_peer (KqTableDist *d, KqNodeId peer, uint64_t revision, bool far,
                         KqTime now, KqOutbox *out);
/* KQ_MSG_TABLE or KQ_MSG_TABLE_WANT. */
void kq_table_dist_message (KqTableDist *d, KqNodeId peer, const KqMsg *m, KqTime now,
                            KqOutbox *out);
/* Starts a change; its end comes out of kq_table_dist_result. A lost answer is resolved
 * by reading back and comparing the write id. */
void kq_table_dist_change (KqTableDist *d, uint64_t call, const KqRowChange *c, size_t n,
                           KqTime now, KqOutbox *out);
bool kq_table_dist_result (KqTableDist *d, KqTableResult *r);

#endif
