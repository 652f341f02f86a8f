#ifndef KQ_SCHED_GRANTORS_H
#define KQ_SCHED_GRANTORS_H

/* grantors: the agents that may have granted leases which last. The list of them is
 * stored before an agent is given runners, so that the next leader knows which agents to
 * ask for their leases. When all have answered, it needn't wait for the latest end of a
 * lease that an unknown agent could have granted. */

#include "sched/state.h"

typedef struct
{
  KqName name;
  bool up;       /* it is connected to this leader */
  bool earlier;  /* it may have granted leases under an earlier leader */
  bool reported; /* it has reported these leases to this leader */
  bool gone; /* no lease that it granted lasts, and it is to be left out of the list */
  KqTime gone_at;      /* while it isn't up: from then on it counts as gone */
  bool in_sent_list;   /* it is in the list that was packed last, to be stored */
  bool in_stored_list; /* it is in the stored list */
  KqTime restart_ends; /* latest end of leases of earlier processes on its node */
} KqGrantor;

/* KqGrantor by name. */
GHashTable *kq_grantors_new (void);
/* Notes that the agent has connected. */
void kq_grantors_agent_up (KqSched *s, const KqName *name);
/* Notes that the agent isn't connected, or isn't used, any more: its leases may last
 * until `ends`. */
void kq_grantors_agent_down (KqSched *s, const KqName *name, KqTime ends);
/* Keeps the leader's own agent in the list only while at most one other agent is up: in
 * larger fleets the leader's loss is then no loss of a grantor. */
void kq_grantors_check_leader (KqSched *s, KqTime now);
/* Marks agents without leases that last, to be left out of the list. */
void kq_grantors_check (KqSched *s, KqTime now);
/* Notes that the list packed last has been stored. */
void kq_grantors_stored (KqSched *s);
/* Once all agents of earlier leaders have reported: shortens the time for which their
 * leases are waited for to what was granted. */
void kq_grantors_apply (KqSched *s, KqTime now);

#endif
