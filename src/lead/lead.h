#ifndef KQ_LEAD_LEAD_H
#define KQ_LEAD_LEAD_H

/* lead: which node leads, by one key in the store under the leader's lease.
 *
 * The revision of the write that made a node leader is its epoch; every write of a leader
 * is conditional on that key still having that revision, so a leader that has lost it
 * can't change anything in the store. The term counts leaders; it lies in a key of its
 * own that outlives the lease. A process that finds the record of an earlier one at its
 * own address ends that one's lease, so that nobody has to wait for its end. */

#include "base/counter.h"
#include "port/kv.h"

typedef struct KqLead KqLead;

/* Who leads, as far as this node knows. */
typedef struct
{
  KqName node;
  KqName address; /* "ip:port" where its agents connect; "" : nobody leads */
  uint64_t epoch;
} KqLeadRecord;

typedef struct
{
  KqLoop *loop;
  KqKv *kv;
  KqName node;
  KqName address;
  int64_t ttl_ms;
  int rank_ms; /* a node that is less fit waits so much longer before it tries */
  KqCounters *counters;
  void *arg;
  /* Another node leads, or nobody. */
  void (*changed) (void *arg, const KqLeadRecord *r, KqTime now);
  /* We lead, or no longer do. */
  void (*elected) (void *arg, uint64_t epoch, uint32_t term, KqTime now);
  void (*lost) (void *arg, const char *why, KqTime now);
  /* The store has answered a call that left at sent_at. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
} KqLeadConfig;

extern const KqStr kq_lead_key;

KqLead *kq_lead_new (const KqLeadConfig *c);
void kq_lead_free (KqLead *l);
/* Until when our lease is known to be good; 0: we don't lead. */
KqTime kq_lead_valid_until (const KqLead *l);
bool kq_lead_is_us (const KqLead *l);
const KqLeadRecord *kq_lead_record (const KqLead *l);
/* Renews the lease now; only while we lead. */
void kq_lead_renew (KqLead *l);
/* Gives the lead up at once: a planned stop, or a reason to believe that it is lost.
 * `ask` says whether to try again later. */
void kq_lead_resign (KqLead *l, const char *why, bool ask, KqTime now);

#endif
