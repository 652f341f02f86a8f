#ifndef KQ_JOB_QUOTA_H
#define KQ_JOB_QUOTA_H

/* quota: which team comes next, and how much a team may still start.
 *
 * Teams share a fleet that is full most of the day, and one of them may queue thousands
 * of jobs at once. Without quotas that team's jobs take every worker that becomes free,
 * and the others wait behind all of them.
 *
 * A team's share is its dominant share: the largest fraction that it uses of the fleet's
 * processors, memory or accelerators. Teams within their guarantee come first, in order
 * of the fraction of it that they use; then the others, by share divided by weight. Any
 * team may borrow resources that no other team claims.
 *
 * A team's limit holds over all shards, as far as they know of each other: each learns
 * the others' use from their digests. Until the next digests it starts at most half of
 * its part (by demand) of the room left under the limit, because digests are up to one
 * heartbeat old when they arrive and the others may have started their halves since.
 * Where that is less than a job needs, the shards take turns, one at each round of
 * digests. Demand that moves from one shard to another within two heartbeats can still
 * exceed the limit; bench-place measures by how much. */

#include "job/job.h"
#include "table/table.h"

typedef struct
{
  KqName name;
  bool in_table; /* the table has a row of the team */
  KqTeamRow row;
  KqSize used;          /* charged in this shard */
  KqSize own_wanted;    /* declared by jobs that wait in this shard */
  KqSize others_used;   /* charged in other shards, by their digests */
  KqSize others_wanted; /* wanted by jobs that wait in other shards, by their digests */
  KqSize charged_since_digests; /* charged here since the last digests, less releases */
  uint64_t last_number;         /* age and size of the job that was started last */
  KqSize last_size;
} KqTeam;

typedef struct
{
  KqTeam *teams;
  size_t n;
  uint32_t n_others;      /* number of other shards that sent a digest */
  uint64_t digest_rounds; /* rounds of digests so far, plus this shard's number: it is
                             this shard's turn when the number of shards divides it */
  KqSize fleet;           /* the total size of all workers, of this and other shards */
} KqQuota;

void kq_quota_clear (KqQuota *q);
/* Returns the team's index. Adds the team if it is new, which may move the array
 * q->teams. */
size_t kq_quota_find_or_add_team (KqQuota *q, const KqName *name);
/* Takes over the teams' rows; the table may be NULL. */
void kq_quota_set_table (KqQuota *q, const KqTable *t);
/* Takes over the digests of a round; that of shard `self` is skipped. */
void kq_quota_set_others (KqQuota *q, const KqShardDigest *d, size_t n, uint32_t self);
/* The team's rank in a scheduling round: the team with the smallest rank comes first. */
double kq_quota_rank (const KqQuota *q, size_t team);
/* Largest part of the fleet that the team uses, of any resource; 0 to 1. */
double kq_quota_share (const KqQuota *q, size_t team);
/* Whether the team may be charged with `more` under its limit, as far as this shard's
 * part of the room goes. */
bool kq_quota_allows (const KqQuota *q, size_t team, KqSize more);
/* Whether the team uses more than its guarantee, which means that it borrows; true for a
 * team without a guarantee. */
bool kq_quota_borrows (const KqQuota *q, size_t team);
/* Whether the team is still within its guarantee with `more` charged; false if it has no
 * guarantee. */
bool kq_quota_within_guarantee (const KqQuota *q, size_t team, KqSize more);
/* Add `s` to what the team uses, or take it away. */
void kq_quota_charge (KqQuota *q, size_t team, KqSize s);
void kq_quota_release (KqQuota *q, size_t team, KqSize s);

#endif
