#include "request/pool.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Lower bound of the success share in completion_time, whose result would otherwise be
 * infinite for a runner that fails every request. */
#define SUCCESS_SHARE_MIN 0.02

static int
slot_count (const KqRunner *r)
{
  int n = r->info.slots < r->info.connections ? r->info.slots : r->info.connections;
  return r->slots_reported > 0 && r->slots_reported < n ? r->slots_reported : n;
}

static bool
is_live (const KqRunner *r)
{
  return !r->dropped && !r->leaving_set && !r->leaving_reported;
}

static int
slots_allowed (const KqRunner *r, int checks)
{
  int n = slot_count (r);
  if (!is_live (r))
    return 0;
  if ((checks & KQ_CHECK_LIMIT) != 0 && r->limit.limit < n)
    n = r->limit.limit;
  if ((checks & KQ_CHECK_OUTLIER) != 0)
    {
      int max = kq_outlier_allowed (&r->outlier, &r->group->peers, slot_count (r));
      n = max < n ? max : n;
    }
  return n;
}

static void
free_list_add (KqGroup *g, int checks, KqRunner *r)
{
  if (g->n_free[checks] == g->capacity[checks])
    {
      g->capacity[checks] = g->capacity[checks] > 0 ? g->capacity[checks] * 2 : 16;
      g->free[checks]
          = kq_realloc (g->free[checks], g->capacity[checks] * sizeof (KqRunner *));
    }
  g->free[checks][g->n_free[checks]++] = r;
  r->free_index[checks] = g->n_free[checks];
}

static void
free_list_remove (KqGroup *g, int checks, KqRunner *r)
{
  KqRunner *last = g->free[checks][--g->n_free[checks]];
  g->free[checks][r->free_index[checks] - 1] = last;
  last->free_index[checks] = r->free_index[checks];
  r->free_index[checks] = 0;
}

/* Puts the runner into the group's probes if it is to be probed, else removes it. */
static void
update_probe (KqRunner *r)
{
  bool wanted = is_live (r) && r->outlier.state == KQ_OUTLIER_EJECTED && r->ours == 0
                && r->foreign < slot_count (r);
  if (r->by_probe.index > 0)
    kq_heap_remove (&r->group->probes, &r->by_probe);
  if (wanted)
    kq_heap_add (&r->group->probes, &r->by_probe, r->outlier.probe_at, r->info.id, r);
}

static void
update_free_lists (KqRunner *r)
{
  for (int checks = 0; checks < KQ_CHECK_SETS; checks++)
    {
      bool has_free = r->ours + r->foreign < r->allowed[checks];
      if (has_free && r->free_index[checks] == 0)
        free_list_add (r->group, checks, r);
      else if (!has_free && r->free_index[checks] > 0)
        free_list_remove (r->group, checks, r);
    }
}

/* Updates the slots that a runner may use. To be called when its slots, limit, outlier
 * state or is_live may have changed. */
static void
update_allowed (KqRunner *r)
{
  for (int checks = 0; checks < KQ_CHECK_SETS; checks++)
    {
      int allowed = slots_allowed (r, checks);
      r->group->slots[checks] += allowed - r->allowed[checks];
      r->allowed[checks] = allowed;
    }
  update_free_lists (r);
  update_probe (r);
}

static int
cmp_name (const void *a, const void *b)
{
  return kq_str_cmp (kq_name_str (a), kq_name_str (b));
}

static bool
same_services (const KqGroup *g, const KqRunner *r)
{
  if (g->n_services != r->info.n_services)
    return false;
  for (size_t i = 0; i < g->n_services; i++)
    if (!kq_name_eq (&g->services[i], &r->services[i]))
      return false;
  return true;
}

static KqName *
copy_names (const KqName *names, size_t n)
{
  KqName *copy = kq_alloc (n * sizeof *copy);
  if (n > 0)
    memcpy (copy, names, n * sizeof *copy);
  return copy;
}

static KqGroup *
get_group (KqPool *p, const KqRunner *r)
{
  KqGroup *g;
  for (size_t i = 0; i < p->n_groups; i++)
    if (same_services (p->groups[i], r))
      return p->groups[i];
  g = kq_alloc (sizeof *g);
  g->services = copy_names (r->services, r->info.n_services);
  g->n_services = r->info.n_services;
  p->groups = kq_realloc (p->groups, (p->n_groups + 1) * sizeof (KqGroup *));
  p->groups[p->n_groups++] = g;
  return g;
}

bool
kq_group_serves (const KqGroup *g, const KqName *service)
{
  if (g->n_services == 0)
    return true;
  return bsearch (service, g->services, g->n_services, sizeof *service, cmp_name) != NULL;
}

/* Adds the runner to the totals of its group (sign 1) or subtracts it (-1). The usable
 * slots are counted by update_allowed. */
static void
add_to_totals (KqRunner *r, int sign)
{
  r->group->live += is_live (r) ? sign : 0;
  r->group->busy += sign * (r->ours + r->foreign);
  r->group->long_busy += sign * r->long_ours;
  r->group->work += sign * r->work;
}

static void
join_group (KqPool *p, KqRunner *r)
{
  r->group = get_group (p, r);
  kq_outlier_join (&r->group->peers, &r->outlier);
  add_to_totals (r, 1);
  update_allowed (r);
}

static void
leave_group (KqRunner *r)
{
  kq_outlier_leave (&r->group->peers, &r->outlier);
  add_to_totals (r, -1);
  if (r->by_probe.index > 0)
    kq_heap_remove (&r->group->probes, &r->by_probe);
  for (int checks = 0; checks < KQ_CHECK_SETS; checks++)
    {
      if (r->free_index[checks] > 0)
        free_list_remove (r->group, checks, r);
      r->group->slots[checks] -= r->allowed[checks];
      r->allowed[checks] = 0;
    }
  r->group = NULL;
}

static void
free_runner (KqPool *p, KqRunner *r)
{
  leave_group (r);
  kq_map_remove (&p->runners, &r->by_id);
  free (r->services);
  free (r);
}

void
kq_pool_free (KqPool *p)
{
  KqMapNode *node;
  while ((node = kq_map_any (&p->runners)) != NULL)
    free_runner (p, node->container);
  for (size_t i = 0; i < p->n_groups; i++)
    {
      KqGroup *g = p->groups[i];
      for (int checks = 0; checks < KQ_CHECK_SETS; checks++)
        free (g->free[checks]);
      kq_heap_free (&g->probes);
      free (g->services);
      free (g);
    }
  free (p->groups);
  kq_map_free (&p->runners);
}

KqRunner *
kq_pool_find (const KqPool *p, KqRunnerId id)
{
  KqMapNode *node = kq_map_find (&p->runners, id);
  return node != NULL ? node->container : NULL;
}

void
kq_pool_set_runner (KqPool *p, const KqRunnerInfo *info, bool taken_over)
{
  KqRunner *r = kq_pool_find (p, info->id);
  KqName *services = copy_names (info->services, info->n_services);
  if (r == NULL)
    {
      r = kq_alloc (sizeof *r);
      kq_map_add (&p->runners, &r->by_id, info->id, r);
      kq_limit_init (&r->limit, info->slots);
      kq_outlier_init (&r->outlier);
    }
  else
    leave_group (r);
  if (info->n_services > 0)
    qsort (services, info->n_services, sizeof *services, cmp_name);
  free (r->services);
  r->services = services;
  r->info = *info;
  r->info.services = services;
  r->dropped = false;
  kq_limit_set_slots (&r->limit, slot_count (r));
  if (taken_over)
    {
      r->foreign = slot_count (r) > r->ours ? slot_count (r) - r->ours : 0;
      r->ours_min = r->ours;
    }
  join_group (p, r);
}

static void
drop_if_idle (KqPool *p, KqRunner *r)
{
  if (r->dropped && r->ours == 0)
    free_runner (p, r);
}

void
kq_pool_drop_runner (KqPool *p, KqRunnerId id)
{
  KqRunner *r = kq_pool_find (p, id);
  if (r == NULL || r->dropped)
    return;
  r->group->live -= is_live (r);
  r->dropped = true;
  update_allowed (r);
  drop_if_idle (p, r);
}

void
kq_pool_set_report (KqRunner *r, const KqRunnerReport *report)
{
  int foreign = report->slots_busy - r->ours_min;
  add_to_totals (r, -1);
  if (foreign < 0)
    foreign = 0;
  if (foreign < r->foreign)
    r->foreign = foreign;
  r->ours_min = r->ours;
  r->slots_reported = report->slots;
  kq_limit_set_slots (&r->limit, slot_count (r));
  r->leaving_reported = report->leaving;
  kq_outlier_reported (&r->outlier, &r->group->peers);
  add_to_totals (r, 1);
  update_allowed (r);
}

void
kq_pool_set_leaving (KqRunner *r, bool leaving)
{
  add_to_totals (r, -1);
  r->leaving_set = leaving;
  add_to_totals (r, 1);
  update_allowed (r);
}

/* Estimated time until the runner would answer the request, in microseconds: the expected
 * run time plus the work under way per slot, times the runner's latency ratio, over the
 * share of requests that succeed there. Without this divisor a runner that fails
 * immediately would look idle and attract most requests. */
static double
completion_time (const KqRunner *r, int64_t cost)
{
  double time
      = r->outlier.latency_ratio * ((double)cost + (double)r->work / slot_count (r));
  double success = 1 - r->outlier.failure_share;
  return time / (success > SUCCESS_SHARE_MIN ? success : SUCCESS_SHARE_MIN);
}

/* Draws one of the `total` runners with a free slot uniformly. */
static KqRunner *
draw_free_runner (KqGroup *const *groups, size_t n, int checks, size_t total,
                  KqRand *rand)
{
  size_t at = kq_rand_below (rand, total);
  for (size_t i = 0; i < n; i++)
    {
      if (at < groups[i]->n_free[checks])
        return groups[i]->free[checks][at];
      at -= groups[i]->n_free[checks];
    }
  return NULL;
}

KqRunner *
kq_pool_choose (KqGroup *const *groups, size_t n, int checks, bool two_choices,
                int64_t cost, KqRand *rand)
{
  size_t total = 0;
  KqRunner *a;
  KqRunner *b;
  for (size_t i = 0; i < n; i++)
    total += groups[i]->n_free[checks];
  if (total == 0)
    return NULL;
  a = draw_free_runner (groups, n, checks, total, rand);
  if (!two_choices || total == 1)
    return a;
  b = draw_free_runner (groups, n, checks, total, rand);
  return completion_time (b, cost) < completion_time (a, cost) ? b : a;
}

KqRunner *
kq_pool_due_probe (KqGroup *const *groups, size_t n, bool may_lose, KqTime now)
{
  for (size_t i = 0; i < n; i++)
    {
      KqHeapNode *top = kq_heap_top (&groups[i]->probes);
      KqRunner *r = top != NULL && top->key <= now ? top->container : NULL;
      if (r != NULL && (may_lose || r->outlier.unreachable))
        return r;
    }
  return NULL;
}

void
kq_pool_take_slot (KqPool *p, KqRunner *r, int64_t cost, bool is_long)
{
  assert (is_live (r));
  assert (r->ours + r->foreign < slot_count (r));
  r->ours++;
  r->work += cost;
  r->group->busy++;
  r->group->work += cost;
  r->group->long_busy += is_long;
  r->long_ours += is_long;
  r->outlier.probing = r->outlier.state == KQ_OUTLIER_EJECTED;
  p->n_running++;
  update_free_lists (r);
  /* A runner gets only one probe at a time. */
  if (r->by_probe.index > 0)
    kq_heap_remove (&r->group->probes, &r->by_probe);
}

void
kq_pool_return_slot (KqPool *p, KqRunner *r, int64_t cost, bool is_long)
{
  assert (r->ours > 0);
  r->ours--;
  if (r->ours < r->ours_min)
    r->ours_min = r->ours;
  r->work -= cost;
  r->group->busy--;
  r->group->work -= cost;
  r->group->long_busy -= is_long;
  r->long_ours -= is_long;
  r->outlier.probing = false;
  p->n_running--;
  update_allowed (r);
  drop_if_idle (p, r);
}

void
kq_pool_mark_long (KqRunner *r)
{
  r->long_ours++;
  r->group->long_busy++;
}

json_t *
kq_runner_state (const KqRunner *r)
{
  static const char *const names[] = { "normal", "out", "returning" };
  char id[24];
  snprintf (id, sizeof id, "%016llx", (unsigned long long)r->info.id);
  return json_pack (
      "{s:s,s:i,s:i,s:i,s:i,s:i,s:s,s:f,s:f,s:b}", "runner", id, "slots", r->info.slots,
      "ours", r->ours, "foreign", r->foreign, "limit", r->limit.limit, "allowed",
      r->allowed[KQ_CHECK_LIMIT | KQ_CHECK_OUTLIER], "state", names[r->outlier.state],
      "failures", r->outlier.failure_share, "slowness", r->outlier.latency_ratio,
      "leaving", r->leaving_set || r->leaving_reported);
}
