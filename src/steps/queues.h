#ifndef KQ_STEPS_QUEUES_H
#define KQ_STEPS_QUEUES_H

/* queues: the operators' configuration of queues and services, as one version of it.
 *
 * A table is built once and then only read. A newer version replaces it as a whole; an
 * older one never does. */

#include "base/str.h"

#include <stdint.h>

typedef struct
{
  KqStr name;
  KqStr host;   /* value of the Host header; "" matches any */
  KqStr prefix; /* of the path */
  KqStr service;
  int32_t priority;
  int32_t attempts;
  int32_t stretch_percent;
  int32_t slo_ms;
  bool advised; /* an advice service names the runners allowed */
} KqQueue;

typedef struct
{
  KqStr name;
  bool checks_room; /* its runners refuse what doesn't fit */
  bool spare;       /* its hosts are off */
} KqService;

typedef struct
{
  int64_t version;
  KqQueue *queues;
  size_t n_queues;
  KqService *services;
  size_t n_services;
  int64_t body_max;
  KqBuf bytes; /* what the strings point into */
} KqQueueTable;

void kq_queue_table_free (KqQueueTable *t);
/* The queue with the longest prefix of path at that host; NULL: none. */
const KqQueue *kq_queue_find (const KqQueueTable *t, KqStr host, KqStr path);
const KqQueue *kq_queue_by_name (const KqQueueTable *t, KqStr name);

#endif
