#ifndef KQ_ELECTION_ELECTION_H
#define KQ_ELECTION_ELECTION_H

/* election: leader election. The leader is recorded in one key of the store, bound to the
 * leader's lease.
 *
 * The revision of the write that made a node leader is its epoch. Every write of a leader
 * is conditional on that key still having that revision, so a leader that has lost it
 * can't change anything in the store. The term counts leaders; it is kept in a key of its
 * own that outlives the lease. A process that finds its address in the record of an
 * earlier process revokes the lease of that process, so that no node has to wait until it
 * expires. */

#include "base/counter.h"
#include "port/kv.h"

typedef struct KqElection KqElection;

/* The leader, as far as this node knows. */
typedef struct
{
  KqName node;
  KqName address; /* "ip:port" to which agents connect; "": there is no leader */
  uint64_t epoch;
} KqLeaderRecord;

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
  /* Called when another node leads, or there is no leader. */
  void (*changed) (void *arg, const KqLeaderRecord *r, KqTime now);
  /* This node has become leader. */
  void (*elected) (void *arg, uint64_t epoch, uint32_t term, KqTime now);
  /* This node is no longer leader. why: the reason, a constant string. */
  void (*lost) (void *arg, const char *why, KqTime now);
  /* The store has answered a call that was sent at sent_at. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
} KqElectionConfig;

extern const KqStr kq_leader_key;

KqElection *kq_election_new (const KqElectionConfig *c);
void kq_election_free (KqElection *e);
/* The time until which this node's lease is certainly good; 0: this node isn't the
 * leader. */
KqTime kq_election_valid_until (const KqElection *e);
/* Takes another node's word of who leads, which this node may be unable to read in the
 * store. Ignores a leader that isn't later than all that this node knows of. */
void kq_election_hear (KqElection *e, const KqLeaderRecord *r, KqTime now);
/* The address of the last other leader; "": none is known. */
KqStr kq_election_last_address (const KqElection *e);
/* Since when the store has refused all renewals of this node's lease; 0: it hasn't. */
KqTime kq_election_refused_since (const KqElection *e);
/* The id of this node's last lease in the store. */
uint64_t kq_election_lease (const KqElection *e);
/* Ends the lease of a leader that has resigned and can't do so itself. */
void kq_election_end_lease (KqElection *e, uint64_t lease);
bool kq_election_is_leader (const KqElection *e);
const KqLeaderRecord *kq_election_record (const KqElection *e);
/* Renews the lease now; does nothing unless this node leads. */
void kq_election_renew (KqElection *e);
/* Resigns at once, for the reason `why`. retry: whether this node may stand for election
 * again later. */
void kq_election_resign (KqElection *e, const char *why, bool retry, KqTime now);

#endif
