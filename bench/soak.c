#include "soak.h"

#include <stdio.h>

/* Time between faults (mean), and the longest time until all end: some are shorter than
 * the lease of 10 s, some longer. The fleet often, but not always, settles in between. */
#define FAULT_INTERVAL_MEAN (12 * KQ_SEC)
#define FAULT_MAX (25 * KQ_SEC)
#define TIME_WITHOUT_FAULTS (90 * KQ_SEC)
/* Probability of each kind of store fault, at all times. */
#define BACKGROUND_LOSS 0.002

static void
set_background_loss (KqFleetSim *f)
{
  KqStoreFaults *s = kq_store_fake_faults (kq_fleet_sim_store (f));
  for (int kind = KQ_STORE_FAULT_LOST_BEFORE; kind < KQ_STORE_FAULT_COUNT; kind++)
    s->p[kind] = BACKGROUND_LOSS;
}

KqSoak
kq_soak (uint64_t seed, uint64_t steps)
{
  KqSoak r = { 0 };
  KqFleetSim *f = kq_fleet_sim_new (seed);
  KqRand faults = kq_rand (seed ^ 0x5eed);
  KqTime next_fault = 5 * KQ_SEC;
  KqTime next_heal = KQ_TIME_NEVER;
  KqTime start = kq_fleet_sim_now (f);
  set_background_loss (f);
  for (uint64_t i = 0; i < steps && kq_fleet_sim_violation (f) == NULL; i++)
    {
      kq_fleet_sim_step (f);
      if (kq_fleet_sim_now (f) >= next_fault)
        {
          KqFault fault = (KqFault)(1 + kq_rand_below (&faults, KQ_FAULT_COUNT - 1));
          kq_fleet_sim_inject_fault (f, fault,
                                     (int)kq_rand_below (&faults, KQ_FLEET_NODES));
          next_fault = kq_fleet_sim_now (f)
                       + (KqTime)kq_rand_below (&faults, 2 * FAULT_INTERVAL_MEAN);
          if (next_heal == KQ_TIME_NEVER)
            next_heal = kq_fleet_sim_now (f) + (KqTime)kq_rand_below (&faults, FAULT_MAX);
          r.faults++;
        }
      if (kq_fleet_sim_now (f) >= next_heal)
        {
          kq_fleet_sim_heal (f);
          set_background_loss (f);
          next_heal = KQ_TIME_NEVER;
        }
    }
  r.simulated_s = (double)(kq_fleet_sim_now (f) - start) / (double)KQ_SEC;
  kq_fleet_sim_heal (f);
  kq_fleet_sim_run (f, TIME_WITHOUT_FAULTS);
  if (kq_fleet_sim_violation (f) == NULL)
    kq_fleet_sim_compare (f);
  const char *v = kq_fleet_sim_violation (f);
  snprintf (r.violation, sizeof r.violation, "%s", v != NULL ? v : "");
  r.trace = kq_fleet_sim_trace (f);
  r.acked = kq_fleet_sim_acked (f);
  kq_fleet_sim_free (f);
  return r;
}
