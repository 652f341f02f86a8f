#ifndef KQ_REQUEST_POOL_H
#define KQ_REQUEST_POOL_H

/* pool: the runners that this node owns, their slots, and which runners have a free slot.
 *
 * A runner's slots and connections are counted only here, exactly: they are taken by this
 * node's own flights and by those that a former owner may still have there. Sending to a
 * runner without a free slot is an assertion failure. Runners that serve the same
 * services form a group. Each group keeps a list of its runners with a free slot, so that
 * choosing one means drawing two from the list instead of scanning all.
 *
 * The adaptive limit and outlier ejection reduce the slots that a runner may use, and a
 * service can switch either off. So a group has a list for each set of checks (KQ_CHECK_
 * flags); a runner is in those lists in which it has a free slot.
 *
 * If the host list and the runner's own report differ in the number of slots, the smaller
 * number is used.
 *
 * After a takeover every slot counts as busy until the first report. Reports are delayed:
 * one may lack a flight that was sent after it was made, or still contain one that has
 * ended. But each report is made after the previous one arrived. So of the busy slots
 * in a report, at least as many as the minimum of this node's open flights since the
 * previous report are this node's. The rest is an upper bound for the former owner's
 * flights, which never rises. */

#include "base/rand.h"
#include "request/dispatch.h"
#include "request/heap.h"
#include "request/limit.h"
#include "request/map.h"
#include "request/outlier.h"

/* The checks that may reduce the slots that a runner may use. A set of checks is a sum of
 * these flags. */
#define KQ_CHECK_LIMIT 1   /* the adaptive limit */
#define KQ_CHECK_OUTLIER 2 /* outlier ejection */
#define KQ_CHECK_SETS 4    /* number of possible sets */

typedef struct KqGroup KqGroup;

typedef struct
{
  KqMapNode by_id;
  KqHeapNode by_probe; /* while ejected and no probe is under way */
  KqRunnerInfo info;
  KqName *services; /* owned, sorted */
  KqGroup *group;
  int foreign;           /* slots that a former owner's flights may still hold */
  int ours;              /* slots that this node's flights hold */
  int ours_min;          /* minimum of `ours` since the last report */
  int long_ours;         /* of `ours`, those of long requests */
  int slots_reported;    /* 0: no report yet */
  bool leaving_set;      /* leaving by the host list or an operator */
  bool leaving_reported; /* leaving by its own last report */
  bool dropped;          /* no longer owned; freed when its flights are done */
  int64_t work;          /* expected work of `ours`, microseconds */
  KqLimit limit;
  KqOutlier outlier;
  int allowed[KQ_CHECK_SETS];       /* slots that it may use, by set of checks */
  size_t free_index[KQ_CHECK_SETS]; /* in the group's list, from 1; 0: not in it */
} KqRunner;

struct KqGroup
{
  KqName *services; /* sorted; none: every service */
  size_t n_services;
  KqOutlierPeers peers;
  int live;                       /* runners that are neither leaving nor dropped */
  int busy;                       /* slots in use, `foreign` ones included */
  int long_busy;                  /* of `busy`, those of long requests of this node */
  int64_t work;                   /* expected work of this node's flights, microseconds */
  int slots[KQ_CHECK_SETS];       /* sum of `allowed` */
  KqRunner **free[KQ_CHECK_SETS]; /* runners with a free slot */
  size_t n_free[KQ_CHECK_SETS];
  size_t capacity[KQ_CHECK_SETS];
  KqHeap probes; /* ejected runners, by the time of the next probe */
};

typedef struct
{
  KqMap runners;
  KqGroup **groups;
  size_t n_groups;
  size_t n_running; /* this node's flights at all runners */
} KqPool;

void kq_pool_free (KqPool *p);
KqRunner *kq_pool_find (const KqPool *p, KqRunnerId id);
/* These work as the functions of the same name in dispatch.h (kq_dispatch_set_runner,
 * ...). */
void kq_pool_set_runner (KqPool *p, const KqRunnerInfo *info, bool taken_over);
void kq_pool_drop_runner (KqPool *p, KqRunnerId id);
void kq_pool_set_report (KqRunner *r, const KqRunnerReport *report);
void kq_pool_set_leaving (KqRunner *r, bool leaving);
/* Whether the group's runners serve the service. */
bool kq_group_serves (const KqGroup *g, const KqName *service);

/* Draws two runners with a free slot at random and returns the one that is expected to
 * answer a request of this cost (microseconds) first. Draws only one if !two_choices.
 * NULL: no free slot. */
KqRunner *kq_pool_choose (KqGroup *const *groups, size_t n, int checks, bool two_choices,
                          int64_t cost, KqRand *rand);
/* Returns an ejected runner whose probe is due; NULL: none. may_lose: the probe may lose
 * the request. Otherwise only a runner that refused its last connection is returned: if
 * it refuses again, the request has provably not run. */
KqRunner *kq_pool_due_probe (KqGroup *const *groups, size_t n, bool may_lose, KqTime now);

/* kq_pool_take_slot takes a slot for a flight, kq_pool_return_slot gives it back when the
 * flight is done, and frees a dropped runner with its last flight. cost: expected work,
 * microseconds. */
void kq_pool_take_slot (KqPool *p, KqRunner *r, int64_t cost, bool is_long);
void kq_pool_return_slot (KqPool *p, KqRunner *r, int64_t cost, bool is_long);
/* Counts a flight that was sent as short as long from now on. */
void kq_pool_mark_long (KqRunner *r);
json_t *kq_runner_state (const KqRunner *r); /* for operators; a new JSON object */

#endif
