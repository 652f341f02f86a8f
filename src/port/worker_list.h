#ifndef KQ_PORT_WORKER_LIST_H
#define KQ_PORT_WORKER_LIST_H

/* worker_list: a cached copy of a worker's task list, so that the answer to a renewal
 * carries only the tasks that changed.
 *
 * Most renewals find no change. If each answer carried the full list, 16 tasks would be
 * 3.5 KB, and 41 workers renewed every 3 s would cost a node 48 KB a second, while
 * 20 KB a second are allowed (make bench-platform).
 *
 * A LEASE call carries the stamp of the answer that the cached list is from; the worker
 * may answer with just the tasks that changed at that stamp or later. The answer's tag is
 * a hash over the worker's full list. The merged list is used only if its tag is the
 * same: a task that is missing from a list counts as stopped and is started again, so one
 * that is missing by mistake would run twice. If the tags differ, the cached list is
 * dropped and the next answer is a full list. */

#include "port/worker.h"

typedef struct
{
  KqTaskReport *tasks;
  size_t n;
  size_t capacity;
  uint64_t stamp; /* of the answer that the list is from; 0: nothing is cached */
} KqWorkerList;

void kq_worker_list_free (KqWorkerList *l);
/* A hash over job, attempt and state of the tasks, not of their order; never 0. */
uint64_t kq_worker_list_tag (const KqTaskReport *tasks, size_t n);
/* Updates the list by the answer to the LEASE call and replaces r->tasks by the full
 * list. KQ_OK or KQ_ERR_PLATFORM_FORMAT. */
KqResult kq_worker_list_apply (KqWorkerList *l, const KqWorkerCall *c, KqWorkerReply *r);

#endif
