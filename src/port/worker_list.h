#ifndef KQ_PORT_WORKER_LIST_H
#define KQ_PORT_WORKER_LIST_H

/* worker_list: a worker's tasks, kept from answer to answer, so that a renewal carries
 * only what changed since.
 *
 * Load pattern: a renewal a worker and period, nearly all of them without news. Without
 * it each repeats the whole list: 16 tasks are 3.5 KB, 41 workers every 3 s 48 KB a
 * second for one node, which may spend 20 (make bench-platform).
 *
 * A LEASE call names the stamp of the answer from which the port keeps the list; the
 * worker may answer with the tasks that changed at that stamp or later. The answer's tag
 * is over the worker's whole list: only when the merged list has the same tag is it
 * given out, for a task that is missing from a list counts as stopped, and one wrongly
 * missing would run twice. A tag that doesn't fit drops the kept list, so that the next
 * answer is whole. */

#include "port/worker.h"

typedef struct
{
  KqTaskReport *tasks;
  size_t n;
  size_t capacity;
  uint64_t stamp; /* of the answer it is from; 0: nothing is kept */
} KqWorkerList;

void kq_worker_list_free (KqWorkerList *l);
/* Over job, attempt and state of each task, in any order; never 0. */
uint64_t kq_worker_list_tag (const KqTaskReport *tasks, size_t n);
/* Takes in the answer to the LEASE call and puts the whole list into r->tasks. KQ_OK or
 * KQ_ERR_PLATFORM_FORMAT. */
KqResult kq_worker_list_apply (KqWorkerList *l, const KqWorkerCall *c, KqWorkerReply *r);

#endif
