#ifndef KQ_TABLE_DIST_H
#define KQ_TABLE_DIST_H

/* dist: distribution of the table. Keeps the table in force at this node, which is the
 * one that its modules use, in step with the store and with peers.
 *
 * A change is committed by one compare-and-swap in the store. Each node has one long
 * watch in the store (a waiting watch counts as a call) and sends its own commits to its
 * peers. A node that sees a higher revision in a peer's heartbeat requests the missing
 * changes from it, in case its own watch doesn't report them. A table is only applied if
 * it is complete, valid and of a higher revision. */

#include "port/outbox.h"
#include "table/table.h"

typedef struct KqTableDist KqTableDist;

typedef struct
{
  uint64_t call;       /* as given to kq_table_dist_change */
  KqResult code;       /* KQ_OK, KQ_ERR_TABLE_*, KQ_ERR_STORE_UNREACHABLE */
  uint64_t revision;   /* KQ_OK: revision of the table with the change */
  size_t change_index; /* CONFLICT, NOT_FOUND: index of the refused row change */
} KqTableResult;

KqTableDist *kq_table_dist_new (KqNodeId self, uint64_t seed);
void kq_table_dist_free (KqTableDist *d);
/* The table in force; NULL before the first. The caller takes a reference to keep it. */
KqTable *kq_table_dist_current (KqTableDist *d);
/* The revision of the table in force; 0: no table. */
uint64_t kq_table_dist_revision (const KqTableDist *d);
/* Returns whether a new table has come in force since the last call. */
bool kq_table_dist_take_changed (KqTableDist *d);
/* Whether the table in force came from a peer and isn't confirmed by the store yet. */
bool kq_table_dist_from_peer (const KqTableDist *d);

/* Starts the store calls and the requests to peers that are due. */
void kq_table_dist_tick (KqTableDist *d, KqTime now, KqOutbox *out);
/* Handles the store's reply to one of this module's calls; ignores other replies. */
void kq_table_dist_reply (KqTableDist *d, const KqStoreReply *r, KqTime now,
                          KqOutbox *out);
/* To be called when a peer's heartbeat shows the revision of the peer's table. `far`: the
 * peer is in another region. */
void kq_table_dist_peer_revision (KqTableDist *d, KqNodeId peer, uint64_t revision,
                                  bool far, KqTime now, KqOutbox *out);
/* Handles a message KQ_MSG_TABLE or KQ_MSG_TABLE_REQUEST of a peer. */
void kq_table_dist_message (KqTableDist *d, KqNodeId peer, const KqMsg *m, KqTime now,
                            KqOutbox *out);
/* Starts a change of n rows, which are copied; its result comes from
 * kq_table_dist_take_result. If the store's answer is lost, the head is read back and its
 * write ids show whether the change took effect.
 */
void kq_table_dist_change (KqTableDist *d, uint64_t call, const KqRowChange *c, size_t n,
                           KqTime now, KqOutbox *out);
/* Takes the next result of a change; false if there is none. */
bool kq_table_dist_take_result (KqTableDist *d, KqTableResult *r);

#endif
