/* sched_rig_late: leaders that wake after they were replaced, and entries in the store
 * that are missing or late. */

#include "sched_rig_impl.h"

/* An entry that has expired is back so long after the store at most. */
#define ENTRY_BACK_MAX_MS 2000
/* A leader that was replaced wakes so long afterwards at most. */
#define WAKES_AFTER_MAX_MS 9000

void
kq_sched_rig_end_suspended (KqSchedRig *r)
{
  kq_sched_free (r->suspended);
  r->suspended = NULL;
}

void
kq_sched_rig_retire_leader (KqSchedRig *r)
{
  if ((r->plays & KQ_SCHED_RIG_WAKES) == 0 || r->sched == NULL)
    {
      kq_sched_free (r->sched);
      return;
    }
  kq_sched_rig_end_suspended (r);
  r->suspended = r->sched;
  r->suspended_epoch = r->epoch;
  r->wakes_at
      = r->now + (KqTime)kq_rand_below (&r->extra_rand, WAKES_AFTER_MAX_MS) * KQ_MS;
}

void
kq_sched_rig_wake_leader (KqSchedRig *r)
{
  if (r->suspended == NULL || r->now < r->wakes_at)
    return;
  r->waking = true;
  kq_sched_run (r->suspended, r->now, r->now / KQ_MS + r->clock_offset_ms);
  r->waking = false;
  kq_sched_rig_end_suspended (r);
}

void
kq_sched_rig_expire_entries (KqSchedRig *r)
{
  bool down = r->now < r->store_down_until;
  bool back = r->store_was_down && !down;
  r->store_was_down = down;
  for (int i = 0; back && (r->plays & KQ_SCHED_RIG_EXPIRED) != 0 && i < r->n_runners; i++)
    {
      KqSchedRigRunner *g = &r->runners[i];
      if (!g->alive || !g->in_store || kq_rand_below (&r->extra_rand, 2) != 0)
        continue;
      g->in_store = false;
      g->entry_expired = true;
      g->entry_due_at
          = r->now + (KqTime)kq_rand_below (&r->extra_rand, ENTRY_BACK_MAX_MS) * KQ_MS;
      kq_sched_rig_entry (r, i);
    }
}

void
kq_sched_rig_write_due_entries (KqSchedRig *r)
{
  for (int i = 0; i < r->n_runners; i++)
    {
      KqSchedRigRunner *g = &r->runners[i];
      if (g->entry_due_at == 0 || r->now < g->entry_due_at
          || r->now < r->store_down_until)
        continue;
      g->in_store = g->in_store || (g->entry_expired && g->alive);
      g->entry_due_at = 0;
      g->entry_expired = false;
      if (g->alive && g->in_store)
        kq_sched_rig_entry (r, i);
    }
}
