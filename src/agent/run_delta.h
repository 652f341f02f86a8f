#ifndef KQ_AGENT_RUN_DELTA_H
#define KQ_AGENT_RUN_DELTA_H

/* run_delta: delta encoding of the lists of one runner's runs that an agent sends to its
 * leader. Both keep the last list, so that a message carries only what has changed since.
 *
 * Hundreds of runners list twenty and more runs each, twice a second. Whole lists of 540
 * runners took 5 Mbit/s of the leader's link, and a leader on a slow link couldn't renew
 * its own lease beside them.
 *
 * Both ends start with an empty list whenever the runner is assigned to an agent, and the
 * connection preserves the order of messages. No I/O. */

#include "port/runner.h"

typedef struct KqRunDeltaState KqRunDeltaState;

typedef struct
{
  uint32_t slot;
  bool is_new;         /* a new run in this slot; otherwise task and run aren't given */
  bool has_checkpoint; /* the checkpoint is given */
  KqRunRow row;
} KqRunDeltaRow;

/* The difference between two consecutive lists. */
typedef struct
{
  uint64_t serial; /* number of lists sent before, since the runner was assigned */
  const KqRunDeltaRow *rows;
  size_t n_rows;
  const uint32_t *gone; /* slots that are free now */
  size_t n_gone;
} KqRunDelta;

KqRunDeltaState *kq_run_delta_state_new (void);
void kq_run_delta_state_free (KqRunDeltaState *t);
/* Number of lists encoded (at the agent) or applied (at the leader) so far. */
uint64_t kq_run_delta_serial (const KqRunDeltaState *t);
/* At the agent: the changes from the last list to this one, which becomes the last.
 * Strings point into `rows`; the arrays are owned by t and valid until the next call. */
void kq_run_delta_encode (KqRunDeltaState *t, const KqRunRow *rows, size_t n,
                          KqRunDelta *out);
/* At the leader: applies the changes to the last list. False: they were made from another
 * list, or are damaged. */
bool kq_run_delta_apply (KqRunDeltaState *t, const KqRunDelta *c);
/* All runs of the last list. Strings are owned by t and valid until the next call; the
 * caller frees the array. */
size_t kq_run_delta_list (const KqRunDeltaState *t, KqRunRow **out);

#endif
