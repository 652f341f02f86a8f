#ifndef KQ_CREW_TOLD_H
#define KQ_CREW_TOLD_H

/* told: what a node has told its leader of one runner's runs, kept by both of them, so
 * that a list carries only what has changed since the one before.
 *
 * Load pattern: twenty runs and more on each of hundreds of runners, listed twice a
 * second. Whole lists of 540 runners took 5 Mbit/s of the leader's link; a leader on a
 * slow link couldn't renew its own lease beside them.
 *
 * Both ends begin anew with each taking of the runner, and the connection keeps the
 * order. Pure. */

#include "port/runner.h"

typedef struct KqTold KqTold;

typedef struct
{
  uint32_t slot;
  bool whole; /* a run that is new in its slot; otherwise task and run aren't given */
  bool saved; /* the checkpoint is given */
  KqRunRow row;
} KqToldRow;

/* From one list to the next. */
typedef struct
{
  uint64_t serial; /* lists told before in this taking */
  const KqToldRow *rows;
  size_t n_rows;
  const uint32_t *gone; /* slots */
  size_t n_gone;
} KqToldChanges;

KqTold *kq_told_new (void);
void kq_told_free (KqTold *t);
/* Lists told so far. */
uint64_t kq_told_serial (const KqTold *t);
/* At the node: what has changed, and notes it as told. Strings point into the list; the
 * arrays are t's, until the next call. */
void kq_told_note (KqTold *t, const KqRunRow *rows, size_t n, KqToldChanges *out);
/* At the leader: takes changes in. False: they don't follow what was told before. */
bool kq_told_apply (KqTold *t, const KqToldChanges *c);
/* All runs as told last. Strings are t's, until the next call; the array is allocated. */
size_t kq_told_list (const KqTold *t, KqRunRow **out);

#endif
