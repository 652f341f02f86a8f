#include "wire/mesh_counters.h"

void
kq_mesh_counters_init (KqMeshCounters *m, KqCounters *c)
{
  m->sent = kq_counter (c, "kq_mesh_messages_sent_total", "", "Messages sent to peers.");
  m->received
      = kq_counter (c, "kq_mesh_messages_received_total", "", "Messages from peers.");
  m->dropped = kq_counter (c, "kq_mesh_messages_dropped_total", "",
                           "Messages for peers that could not be reached.");
  for (int far = 0; far < 2; far++)
    {
      const char *labels = far ? "peers=\"far\"" : "peers=\"near\"";
      m->bytes_in[far] = kq_counter (c, "kq_mesh_bytes_in_total", labels,
                                     "Bytes from peers of this region or of others.");
      m->bytes_out[far] = kq_counter (c, "kq_mesh_bytes_out_total", labels,
                                      "Bytes to peers of this region or of others.");
    }
}

void
kq_mesh_count_bytes (KqMeshCounters *m, const KqConn *c, bool far,
                     KqMeshBytesCounted *counted)
{
  uint64_t in = kq_conn_bytes_in (c);
  uint64_t out = kq_conn_bytes_out (c);
  *m->bytes_in[far] += in - counted->in;
  *m->bytes_out[far] += out - counted->out;
  *counted = (KqMeshBytesCounted){ in, out };
}
