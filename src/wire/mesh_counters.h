#ifndef KQ_WIRE_MESH_COUNTERS_H
#define KQ_WIRE_MESH_COUNTERS_H

/* mesh_counters: the mesh's counters of messages and bytes. Used by mesh.c only.
 *
 * Bytes are counted separately for near peers (same region, persistent connections) and
 * far peers (other regions, connections on demand), since traffic between regions is paid
 * for. */

#include "base/counter.h"
#include "wire/conn.h"

typedef struct
{
  uint64_t *sent;
  uint64_t *received;
  uint64_t *dropped;
  uint64_t *bytes_in[2]; /* near, far */
  uint64_t *bytes_out[2];
} KqMeshCounters;

/* Bytes of one connection that the counters already include. */
typedef struct
{
  uint64_t in;
  uint64_t out;
} KqMeshBytesCounted;

void kq_mesh_counters_init (KqMeshCounters *m, KqCounters *c);
/* Adds the bytes since the last call. To be called while the connection is open as well:
 * a connection may last for weeks, and counting only when it closes would show no traffic
 * of a healthy mesh. */
void kq_mesh_count_bytes (KqMeshCounters *m, const KqConn *c, bool far,
                          KqMeshBytesCounted *counted);

#endif
