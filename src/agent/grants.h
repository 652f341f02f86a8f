#ifndef KQ_AGENT_GRANTS_H
#define KQ_AGENT_GRANTS_H

/* grants: until when leases that this agent has granted may last, also those of runners
 * that it has released since. A new leader asks for them: it may start the tasks of a
 * runner that doesn't answer only when no lease is left there. No I/O. */

#include "sched/sched.h"

typedef struct KqGrants KqGrants;

KqGrants *kq_grants_new (void);
void kq_grants_free (KqGrants *g);
/* Records that a lease of the runner may last until `ends`. */
void kq_grants_record (KqGrants *g, const char *runner, KqTime ends);
/* Returns the leases that may last beyond now, and forgets the others. Rows are freed by
 * the caller; their strings are valid until the next call. */
KqGrantRow *kq_grants_list (KqGrants *g, KqTime now, size_t *n);

#endif
