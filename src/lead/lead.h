#ifndef KQ_LEAD_LEAD_H
#define KQ_LEAD_LEAD_H

/* lead: leader election. The leader is recorded in one key of the store, bound to the
 * leader's lease.
 *
 * The revision of the write that made a node leader is its epoch. Every write of a leader
 * is conditional on that key still having that revision, so a leader that has lost it
 * can't change anything in the store. The term counts leaders; it is kept in a key of its
 * own that outlives the lease. A process that finds its address in the record of an
 * earlier process revokes that one's lease, so that nobody waits until it expires. */

#include "base/counter.h"
#include "port/kv.h"

typedef struct KqLead KqLead;

/* The leader, as far as this node knows. */
typedef struct
{
  KqName node;
  KqName address; /* "ip:port" to which agents connect; "": there is no leader */
  uint64_t epoch;
} KqLeadRecord;

typedef struct
{
  KqLoop *loop;
  KqKv *kv;
  KqName node;
  KqName address;
  int64_t ttl_ms;
  int rank_ms; /* extra delay before an election, larger on less suitable nodes */
  KqCounters *counters;
  void *arg;
  /* Another node leads, or there is no leader. */
  void (*changed) (void *arg, const KqLeadRecord *r, KqTime now);
  /* This node has become leader. */
  void (*elected) (void *arg, uint64_t epoch, uint32_t term, KqTime now);
  /* This node is no longer leader. why: the reason, a constant string. */
  void (*lost) (void *arg, const char *why, KqTime now);
  /* The store has answered a call that was sent at sent_at. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
} KqLeadConfig;

extern const KqStr kq_lead_key;

KqLead *kq_lead_new (const KqLeadConfig *c);
void kq_lead_free (KqLead *l);
/* Until when this node's lease is certainly good; 0: this node isn't the leader. */
KqTime kq_lead_valid_until (const KqLead *l);
bool kq_election_is_leader (const KqLead *l);
const KqLeadRecord *kq_lead_record (const KqLead *l);
/* Renews the lease now; does nothing unless this node leads. */
void kq_lead_renew (KqLead *l);
/* Resigns at once, for the reason `why`. retry: whether this node may stand for election
 * again later. */
void kq_lead_resign (KqLead *l, const char *why, bool retry, KqTime now);

#endif
