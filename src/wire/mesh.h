#ifndef KQ_WIRE_MESH_H
#define KQ_WIRE_MESH_H

/* mesh: the task that owns the TCP connections between kumquatd processes.
 *
 * Connections to peers of the same region are persistent; the node with the lower id
 * opens them. Connections to peers of other regions are opened when there is something to
 * send and closed when idle, so that the link between regions doesn't carry pings between
 * all pairs of nodes. Each connection begins with a handshake (wire/hello.h). Both ends
 * send a ping after a third of the silence limit without other traffic. A connection on
 * which nothing arrives for the whole limit is closed and opened again: the peer hangs,
 * or a device on the path drops its packets.
 *
 * A message to this node itself is delivered without a socket. Messages to a node that
 * can't be reached are dropped and counted, and the receiver gets a KQ_MAIL_PEER that
 * reports the peer as down; a sender that needs an answer acts on that or on a timeout of
 * its own. */

#include "base/client_limits.h"
#include "base/counter.h"
#include "base/task.h"
#include "wire/msg.h"

typedef struct
{
  KqNodeId id;
  uint64_t incarnation;
  KqStr cluster;
  KqStr node;
  KqStr region;
  KqStr depot;
  KqStr secret;
  const char *ip;
  int port;       /* 0: chosen by the kernel */
  KqTime silence; /* silence limit, at least 300 ms */
  KqCounters *counters;
  KqTask *receiver;       /* gets KQ_MAIL_MSG and KQ_MAIL_PEER */
  KqClientLimits *limits; /* of what accepted connections hold until their handshake is
                             complete; NULL: none */
} KqMeshConfig;

typedef struct KqMesh KqMesh;

/* Listens on the configured address; NULL if it can't be bound. Copies the strings of *c
 * except `ip`. */
KqMesh *kq_mesh_new (KqLoop *loop, const KqMeshConfig *c);
void kq_mesh_free (KqMesh *m);
int kq_mesh_port (const KqMesh *m);
/* The mesh's task; accepts KQ_MAIL_OUT with KQ_OUT_SEND items. */
KqTask *kq_mesh_task (KqMesh *m);
/* Adds the peer at "ip:port", or updates it. persistent: the connection is kept open;
 * otherwise it is opened on demand. */
void kq_mesh_add (KqMesh *m, KqNodeId id, KqStr address, bool persistent);
/* Closes the connection to the peer and forgets its address. */
void kq_mesh_remove (KqMesh *m, KqNodeId id);

#endif
