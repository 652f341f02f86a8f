#include "node/shard_map.h"

#include <assert.h>

static int
region_shards (const KqSettings *s)
{
  for (int i = 0; i < s->n_regions; i++)
    {
      if (kq_name_eq (&s->regions[i].name, &s->region))
        return s->regions[i].shards;
    }
  return 0;
}

static int
depot_index (const KqSettings *s, const KqName *depot)
{
  for (int i = 0; i < s->n_depots; i++)
    {
      if (kq_name_eq (&s->depots[i], depot))
        return i;
    }
  return 0;
}

/* The host must be in this node's region. */
static uint32_t
shard_of_host (const KqSettings *s, const KqHost *h)
{
  int first = kq_settings_first_shard (s, kq_name_str (&s->region));
  int n = region_shards (s);
  uint64_t rack = kq_str_hash (kq_name_str (&h->rack));
  int depot = depot_index (s, &h->depot);
  int per_depot;
  assert (n > 0);
  if (n < s->n_depots || s->n_depots == 0)
    return (uint32_t)(first + (int)(rack % (uint64_t)n));
  /* Shards depot, depot + n_depots, depot + 2 * n_depots, ... are in the depot. */
  per_depot = (n - depot + s->n_depots - 1) / s->n_depots;
  assert (per_depot > 0);
  return (uint32_t)(first + depot + (int)(rack % (uint64_t)per_depot) * s->n_depots);
}

uint32_t
kq_shard_of_key (const KqSettings *s, KqStr team, KqStr key)
{
  uint64_t h = kq_hash2 (kq_str_hash (team), kq_str_hash (key));
  return (uint32_t)(h % (uint64_t)kq_settings_total_shards (s));
}

void
kq_shard_copy_hosts (const KqSettings *s, const KqHostList *lists, int n_lists,
                     uint32_t shard, KqHostList *out)
{
  size_t total = 0;
  for (int l = 0; l < n_lists; l++)
    total += lists[l].n_hosts;
  out->hosts = kq_alloc (total * sizeof *out->hosts);
  out->n_hosts = 0;
  for (int l = 0; l < n_lists; l++)
    {
      for (size_t i = 0; i < lists[l].n_hosts; i++)
        {
          if (shard_of_host (s, &lists[l].hosts[i]) == shard)
            out->hosts[out->n_hosts++] = kq_host_copy (&lists[l].hosts[i]);
        }
    }
}
