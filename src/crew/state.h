#ifndef KQ_CREW_STATE_H
#define KQ_CREW_STATE_H

/* state: what the agent's files share. Nobody else includes this. */

#include "crew/agent.h"
#include "crew/gate.h"
#include "crew/lease.h"

#include <ev.h>
#include <glib.h>

#define PART "agent"
/* Over one call's way there and back between regions, with a queue on the link. */
#define KQ_CREW_CALL_MS 900

/* A start that the leader has ordered. */
typedef struct
{
  char *task;
  uint32_t run;
  char *text;
  char *checkpoint;
  char *ticket;
  KqTime ordered_at;
} KqStart;

typedef struct
{
  KqCrewAgent *agent;
  char *id;
  char *address;
  uint64_t epoch;
  uint64_t serial; /* of this taking: answers to calls of an earlier one are dropped */
  uint64_t taking; /* the leader's number of it */
  ev_timer next;
  bool asking;
  bool watched;
  uint64_t ends_seen;
  uint64_t ends_told;   /* the highest number listed to us */
  uint64_t results;     /* outcomes told */
  KqTold *told;         /* to a leader that takes changes */
  uint64_t ends_passed; /* the highest number told to it */
  KqLease lease;
  KqGate gate;
  GQueue starts;  /* KqStart, waiting for a connection */
  bool proving;   /* a question is out just to prove one */
  int failures;   /* questions without an answer, in a row */
  uint64_t halt;  /* nothing is granted before the leader names this; 0: no halt */
  KqTime told_at; /* last told to be silent */
} KqHeld;

struct KqCrewAgent
{
  KqCrewAgentConfig config;
  GHashTable *held; /* id -> KqHeld */
  uint64_t epoch;
  uint64_t serial;
  KqTime heard_at;
  KqTime counted_at;  /* the leader counts us as there then, or later */
  bool tells_changes; /* the leader takes them in place of lists */
  uint64_t *renewals;
  uint64_t *renewals_failed;
  uint64_t *proofs;
};

typedef struct
{
  KqCrewAgent *agent;
  uint64_t serial;
  uint64_t order; /* renewals: results told when the question left */
  int in_use;     /* calls to the runner under way when it was made */
  KqOrderKind kind;
  uint32_t run;
  char *runner;
  char *task;
  KqStart *start; /* of a start */
} KqHeldCall;

/* held.c */
void kq_start_free (gpointer start);
void kq_held_free (gpointer held);
/* A call to the runner that is about to be made. */
KqHeldCall *kq_held_call (KqHeld *h, KqOrderKind kind, KqStr task, uint32_t run);
void kq_held_call_free (KqHeldCall *c);
/* The taking that a call belongs to; NULL: it is over. */
KqHeld *kq_held_of (const KqHeldCall *c);
/* The same at the call's end. */
KqHeld *kq_held_call_ended (const KqHeldCall *c, const KqRunnerReply *r);
void kq_held_note_clock (KqHeld *h, const KqRunnerReply *r, KqTime now);
KqRunnerAim kq_held_aim (const KqHeld *h, int timeout_ms);
/* The end of the lease that is granted now, on the runner's clock; -1: nothing may be
 * granted. */
int64_t kq_held_grant (KqHeld *h, KqTime now);
void kq_held_tell (KqHeld *h, KqCrewItem *i);
void kq_held_tell_outcome (KqHeld *h, const KqOrderOutcome *o, KqTime now);

/* renew.c: leases and lists */
/* Unless a question is under way. The runner is let go if no leader is heard. */
void kq_held_ask (KqHeld *h, KqTime now);
void kq_held_ask_in (KqHeld *h, KqTime wait);
void kq_held_on_next (struct ev_loop *ev, ev_timer *w, int events);

/* starts.c: starts, and how all orders end */
void kq_starts_add (KqHeld *h, const KqOrder *o, KqTime now);
/* Sends the starts that may leave. */
void kq_starts_pump (KqHeld *h, KqTime now);
/* Asks for a list on a connection that isn't in use, so that starts may use it. */
void kq_starts_prove (KqHeld *h);
void kq_held_on_outcome (void *arg, const KqRunnerReply *r, KqTime now);

/* advise.c */
void kq_crew_agent_advise (KqCrewAgent *a, uint64_t epoch, const KqOrder *o);

#endif
