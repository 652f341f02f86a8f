#ifndef KQ_SCHED_HOSTS_H
#define KQ_SCHED_HOSTS_H

/* hosts: which runner is on a target host.
 *
 * A host has one runner at a time, but the store may say otherwise: the entry of a runner
 * that has crashed stays there for some seconds beside that of its successor, and the
 * entry of a live runner may have expired while the store was down. So a runner counts as
 * on its host, with or without an entry, until nothing can run there any more. */

#include "sched/state.h"

typedef enum
{
  KQ_HOST_IS_EMPTY,   /* no task of this or an earlier leader can be there */
  KQ_HOST_IS_UNKNOWN, /* runs of an earlier leader may be there that weren't listed yet */
  KQ_HOST_HAS_RUNNER  /* all runs there are known */
} KqHostAnswer;

/* Sets *r to the present runner of the host: the one that started last. NULL: none. */
KqHostAnswer kq_hosts_runner (const KqSched *s, const char *host, KqTime now,
                              KqRunnerState **r);
/* Sets the runner's host; "": not known. */
void kq_hosts_set (KqSched *s, KqRunnerState *r, KqStr host);
/* Takes a runner out that is about to be freed. */
void kq_hosts_remove (KqSched *s, KqRunnerState *r);

#endif
