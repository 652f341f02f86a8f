#ifndef KQ_FLEET_LEADER_ADMIT_H
#define KQ_FLEET_LEADER_ADMIT_H

/* leader_admit: the leader's side of the admission of jobs. It tells the nodes the load,
 * answers their question whether a job is to be refused, and keeps the refused ids in the
 * scheduler's table (refusals.h). Decisions are those of admission.h. */

#include "base/counter.h"
#include "fleet/link.h"

typedef struct KqLeaderAdmit KqLeaderAdmit;

/* The scheduler and the counters must outlive it. */
KqLeaderAdmit *kq_leader_admit_new (KqSched *sched, KqCounters *counters);
void kq_leader_admit_free (KqLeaderAdmit *a);
/* Answers the query KQ_ASK_ADMIT: the Retry-After in ms, at least 1, or -1: accept. load:
 * the scheduler's account, as of now. */
int64_t kq_leader_admit_answer (KqLeaderAdmit *a, const KqLoadDigest *load, KqStr about,
                                KqTime now);
/* Records that a node is about to write the job to the store; over: that it won't. */
void kq_leader_admit_note_write (KqLeaderAdmit *a, KqStr id, bool over, KqTime now);
/* Notes that writes may be outstanding of which this leader hasn't been told: it has just
 * been elected, or a node was lost. No job is refused for a while. */
void kq_leader_admit_note_unheard (KqLeaderAdmit *a, KqTime now);
/* Whether enough time has passed since the last digest for kq_leader_admit_send. */
bool kq_leader_admit_may_send (const KqLeaderAdmit *a, KqTime now);
/* Sends the scheduler's account as the item LOAD to the other nodes if that is due, and
 * returns the item; NULL: it isn't. Valid until the next call. peers may contain NULLs.
 */
const KqAgentItem *kq_leader_admit_send (KqLeaderAdmit *a, const KqLoadDigest *load,
                                         KqPeer *const *peers, size_t n_peers,
                                         KqTime now);

#endif
