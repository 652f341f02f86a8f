#include "steps/queues.h"

#include <stdlib.h>

void
kq_queue_table_free (KqQueueTable *t)
{
  if (t == NULL)
    return;
  free (t->queues);
  free (t->services);
  kq_buf_free (&t->bytes);
  free (t);
}

/* Whether a queue's host matches a Host header, whose port is ignored. */
static bool
host_matches (KqStr configured, KqStr given)
{
  KqStr name = kq_str_cut (&given, ':');
  return configured.len == 0 || kq_str_eq (configured, name);
}

const KqQueue *
kq_queue_find (const KqQueueTable *t, KqStr host, KqStr path)
{
  const KqQueue *best = NULL;
  for (size_t i = 0; i < t->n_queues; i++)
    {
      const KqQueue *q = &t->queues[i];
      if (!host_matches (q->host, host) || !kq_str_has_prefix (path, q->prefix))
        continue;
      if (best == NULL || q->prefix.len > best->prefix.len)
        best = q;
    }
  return best;
}

const KqQueue *
kq_queue_by_name (const KqQueueTable *t, KqStr name)
{
  for (size_t i = 0; i < t->n_queues; i++)
    if (kq_str_eq (t->queues[i].name, name))
      return &t->queues[i];
  return NULL;
}
