#ifndef KQ_STEPS_QUEUES_H
#define KQ_STEPS_QUEUES_H

/* queues: one version of the operators' configuration of queues and services.
 *
 * A KqQueueTable isn't changed once it is built; it is replaced as a whole by a newer
 * version. */

#include "port/advice.h"

#include <stdint.h>

typedef struct
{
  KqStr name;
  KqStr host;   /* value of the Host header; "" matches any */
  KqStr prefix; /* the path of a request must begin with this */
  KqStr service;
  int32_t priority; /* priority, attempts, stretch_percent and slo_ms: as in KqSpec */
  int32_t attempts;
  int32_t stretch_percent;
  int32_t slo_ms;
  bool advised; /* starts need a ticket of the advice service, which names the runners */
  KqAdviceFigures advice;
} KqQueue;

typedef struct
{
  KqStr name;
  bool checks_capacity; /* its runners refuse tasks that don't fit */
  bool spare;           /* its hosts are switched off */
} KqService;

typedef struct
{
  int64_t version;
  KqQueue *queues;
  size_t n_queues;
  KqService *services;
  size_t n_services;
  int64_t body_max; /* most bytes of a request's body */
  KqBuf bytes;      /* holds the strings of queues and services */
} KqQueueTable;

void kq_queue_table_free (KqQueueTable *t);
/* Of the queues whose host matches the Host header's value, returns the one whose prefix
 * of the path is longest; NULL: none. */
const KqQueue *kq_queue_find (const KqQueueTable *t, KqStr host, KqStr path);
/* NULL: no queue has that name. */
const KqQueue *kq_queue_by_name (const KqQueueTable *t, KqStr name);

#endif
