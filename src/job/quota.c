#include "job/quota.h"

#include <stdlib.h>
#include <string.h>

void
kq_quota_clear (KqQuota *q)
{
  free (q->teams);
  *q = (KqQuota){ 0 };
}

size_t
kq_quota_find_or_add_team (KqQuota *q, const KqName *name)
{
  for (size_t i = 0; i < q->n; i++)
    if (kq_name_eq (&q->teams[i].name, name))
      return i;
  q->teams = kq_realloc (q->teams, (q->n + 1) * sizeof *q->teams);
  q->teams[q->n] = (KqTeam){ .name = *name, .row.weight = 1 };
  return q->n++;
}

void
kq_quota_set_table (KqQuota *q, const KqTable *t)
{
  for (size_t i = 0; i < q->n; i++)
    q->teams[i].in_table = false;
  for (size_t i = 0; t != NULL && i < kq_table_size (t); i++)
    {
      const KqRow *row = kq_table_row (t, i);
      KqTeam *team;
      size_t k;
      if (row->kind != KQ_ROW_TEAM)
        continue;
      k = kq_quota_find_or_add_team (q, &row->name); /* may move the array */
      team = &q->teams[k];
      team->in_table = true;
      team->row = row->u.team;
    }
}

void
kq_quota_set_others (KqQuota *q, const KqShardDigest *d, size_t n, uint32_t self)
{
  for (size_t i = 0; i < q->n; i++)
    {
      KqTeam *team = &q->teams[i];
      team->others_used = team->others_wanted = team->charged_since_digests
          = (KqSize){ 0 };
    }
  /* Shards count rounds from their own number, so that at each round it is the turn of
   * another shard as long as all get the same rounds. */
  q->digest_rounds = q->n_others == 0 ? self : q->digest_rounds + 1;
  q->n_others = 0;
  for (size_t i = 0; i < n; i++)
    q->n_others += d[i].shard != self;
  for (size_t i = 0; i < n; i++)
    for (size_t k = 0; d[i].shard != self && k < d[i].n_teams; k++)
      {
        size_t at = kq_quota_find_or_add_team (q, &d[i].teams[k].team);
        KqTeam *team = &q->teams[at];
        team->others_used = kq_size_add (team->others_used, d[i].teams[k].used);
        team->others_wanted = kq_size_add (team->others_wanted, d[i].teams[k].queued);
      }
}

static double
fraction (int64_t used, int64_t whole)
{
  return whole > 0 ? (double)used / (double)whole : 0;
}

static double
dominant_share (KqSize used, KqSize whole)
{
  double a = fraction (used.cpu_milli, whole.cpu_milli);
  double b = fraction (used.memory_mb, whole.memory_mb);
  double c = fraction (used.accelerators, whole.accelerators);
  return MAX (a, MAX (b, c));
}

static KqSize
total_used (const KqTeam *t)
{
  return kq_size_add (t->used, t->others_used);
}

double
kq_quota_share (const KqQuota *q, size_t team)
{
  return dominant_share (total_used (&q->teams[team]), q->fleet);
}

/* Within the guarantee: -1 (nothing used) to 0. Beyond it: the share over the weight. */
double
kq_quota_rank (const KqQuota *q, size_t team)
{
  const KqTeam *t = &q->teams[team];
  double weight = t->row.weight > 0 ? (double)t->row.weight : 1;
  if (!kq_size_is_zero (&t->row.guaranteed) && !kq_quota_borrows (q, team))
    return dominant_share (total_used (t), t->row.guaranteed) - 1;
  return kq_quota_share (q, team) / weight;
}

/* A team's limit on one resource (0: none), and what is used and wanted of it in this
 * shard and in the others. */
typedef struct
{
  int64_t limit;
  int64_t own;     /* used in this shard */
  int64_t others;  /* used in the others */
  int64_t charged; /* charged in this shard since the last digests */
  int64_t wanted;  /* wanted by jobs that wait in this shard */
  int64_t others_wanted;
} ResourceLimit;

/* The fraction of its part of the room under a limit that a shard may use until the next
 * digests; see quota.h. */
#define PART_PER_ROUND 0.5

/* Whether the team may be charged with `more` of the resource. */
static bool
within_limit (const KqQuota *q, const ResourceLimit *p, int64_t more)
{
  double room = (double)(p->limit - p->others - (p->own - p->charged));
  double wanted = (double)MAX (p->wanted + p->charged, more);
  double share = wanted / (wanted + (double)MAX (p->others_wanted, 0));
  if (p->limit == 0 || more == 0)
    return true;
  if (p->own + p->others + more > p->limit)
    return false;
  if (q->n_others == 0 || (double)(p->charged + more) <= room * PART_PER_ROUND * share)
    return true;
  return p->charged == 0 && q->digest_rounds % (q->n_others + 1) == 0;
}

bool
kq_quota_allows (const KqQuota *q, size_t team, KqSize more)
{
  const KqTeam *t = &q->teams[team];
  const KqSize *l = &t->row.limit;
  ResourceLimit cpu = { l->cpu_milli,
                        t->used.cpu_milli,
                        t->others_used.cpu_milli,
                        t->charged_since_digests.cpu_milli,
                        t->own_wanted.cpu_milli,
                        t->others_wanted.cpu_milli };
  ResourceLimit memory = { l->memory_mb,
                           t->used.memory_mb,
                           t->others_used.memory_mb,
                           t->charged_since_digests.memory_mb,
                           t->own_wanted.memory_mb,
                           t->others_wanted.memory_mb };
  ResourceLimit accelerators = { l->accelerators,
                                 t->used.accelerators,
                                 t->others_used.accelerators,
                                 t->charged_since_digests.accelerators,
                                 t->own_wanted.accelerators,
                                 t->others_wanted.accelerators };
  return within_limit (q, &cpu, more.cpu_milli)
         && within_limit (q, &memory, more.memory_mb)
         && within_limit (q, &accelerators, more.accelerators);
}

static bool
exceeds (int64_t used, int64_t guaranteed)
{
  return guaranteed > 0 && used > guaranteed;
}

bool
kq_quota_within_guarantee (const KqQuota *q, size_t team, KqSize more)
{
  const KqTeam *t = &q->teams[team];
  KqSize used = kq_size_add (total_used (t), more);
  const KqSize *g = &t->row.guaranteed;
  if (kq_size_is_zero (g))
    return false;
  return !exceeds (used.cpu_milli, g->cpu_milli)
         && !exceeds (used.memory_mb, g->memory_mb)
         && !exceeds (used.accelerators, g->accelerators);
}

bool
kq_quota_borrows (const KqQuota *q, size_t team)
{
  return !kq_quota_within_guarantee (q, team, (KqSize){ 0 });
}

void
kq_quota_charge (KqQuota *q, size_t team, KqSize s)
{
  q->teams[team].used = kq_size_add (q->teams[team].used, s);
  q->teams[team].charged_since_digests
      = kq_size_add (q->teams[team].charged_since_digests, s);
}

void
kq_quota_release (KqQuota *q, size_t team, KqSize s)
{
  q->teams[team].used = kq_size_sub (q->teams[team].used, s);
  q->teams[team].charged_since_digests = kq_size_max (
      (KqSize){ 0 }, kq_size_sub (q->teams[team].charged_since_digests, s));
}
