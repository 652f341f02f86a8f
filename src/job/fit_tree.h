#ifndef KQ_JOB_FIT_TREE_H
#define KQ_JOB_FIT_TREE_H

/* fit_tree: an index that finds workers with enough room without scanning all of them.
 *
 * A scan would examine every worker for each start: 2.6 million workers a second with
 * 4,100 workers and 640 starts a second. Here each node of a binary tree over the
 * workers' indices holds the componentwise maximum of the room below it, and a search
 * skips every subtree whose maximum is too small. It may still visit a subtree where one
 * worker has the memory and another one the processors, so a search isn't strictly O(log
 * n); bench-place measures it. */

#include "job/job.h"

#include <stdint.h>

#define KQ_FIT_NONE UINT32_MAX

typedef struct
{
  KqSize *nodes;  /* 2 * width nodes; node 1 is the root, node width + i worker i */
  uint32_t width; /* number of leaves, a power of two */
  uint32_t n;     /* number of workers */
} KqFitTree;

void kq_fit_tree_init (KqFitTree *t);
void kq_fit_tree_free (KqFitTree *t);
/* Sets the room (free resources) of worker i; O(log n). The tree grows as needed.
 * Negative room keeps the worker from being found. */
void kq_fit_tree_set (KqFitTree *t, uint32_t i, KqSize room);
/* The first worker at or after `from` with room for `need`, or KQ_FIT_NONE. */
uint32_t kq_fit_tree_find (const KqFitTree *t, uint32_t from, const KqSize *need);
/* The componentwise maximum of the room of all workers; negative if no worker was set. */
KqSize kq_fit_tree_largest (const KqFitTree *t);

#endif
