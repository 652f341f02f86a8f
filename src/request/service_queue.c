#include "request/service_queue.h"

#include <stdlib.h>

/* Time constant of the mean demand of short requests. */
#define DEMAND_TIME KQ_SEC
/* At least the mean demand times this is kept free of long requests, in slots. */
#define DEMAND_MARGIN 1.15
/* Largest share of the slots that is kept free of long requests. */
#define KEPT_MAX_SHARE 0.75

void
kq_service_init (KqServiceQueue *s, const KqName *name)
{
  *s = (KqServiceQueue){ .name = *name };
  kq_run_times_init (&s->run_times);
  for (int lane = 0; lane < KQ_LANES; lane++)
    kq_fair_init (&s->lanes[lane]);
}

void
kq_service_clear (KqServiceQueue *s)
{
  for (int lane = 0; lane < KQ_LANES; lane++)
    kq_fair_free (&s->lanes[lane]);
  free (s->groups);
}

void
kq_service_set_groups (KqServiceQueue *s, const KqPool *p)
{
  s->groups = kq_realloc (s->groups, p->n_groups * sizeof (KqGroup *));
  s->n_groups = 0;
  for (size_t i = 0; i < p->n_groups; i++)
    if (kq_group_serves (p->groups[i], &s->name))
      s->groups[s->n_groups++] = p->groups[i];
}

int
kq_service_checks (const KqServiceQueue *s)
{
  return (s->row.limit ? KQ_CHECK_LIMIT : 0) | (s->row.outlier ? KQ_CHECK_OUTLIER : 0);
}

size_t
kq_service_queued (const KqServiceQueue *s)
{
  return s->lanes[KQ_LANE_SHORT].queued + s->lanes[KQ_LANE_LONG].queued;
}

int
kq_service_live_runners (const KqServiceQueue *s)
{
  int n = 0;
  for (size_t i = 0; i < s->n_groups; i++)
    n += s->groups[i]->live - s->groups[i]->peers.unreachable;
  return n > 0 ? n : 0; /* a leaving runner may also be unreachable */
}

int
kq_service_slots (const KqServiceQueue *s)
{
  int n = 0;
  for (size_t i = 0; i < s->n_groups; i++)
    n += s->groups[i]->slots[kq_service_checks (s)];
  return n;
}

static int
long_busy (const KqServiceQueue *s)
{
  int n = 0;
  for (size_t i = 0; i < s->n_groups; i++)
    n += s->groups[i]->long_busy;
  return n;
}

void
kq_service_update_demand (KqServiceQueue *s, KqTime now)
{
  double used = s->in_flight[KQ_LANE_SHORT] + (double)s->lanes[KQ_LANE_SHORT].queued;
  double part = (double)(now - s->demand_at) / DEMAND_TIME;
  s->short_demand += (used - s->short_demand) * (part < 1 ? part : 1);
  s->demand_at = now;
}

/* Slots that long requests may hold: at least one, and not all unless there is only
 * one. */
static int
long_slots (const KqServiceQueue *s)
{
  double slots = kq_service_slots (s);
  double kept = slots * (double)s->row.short_percent / 100;
  if (kept < s->short_demand * DEMAND_MARGIN)
    kept = s->short_demand * DEMAND_MARGIN;
  if (kept > slots * KEPT_MAX_SHARE)
    kept = slots * KEPT_MAX_SHARE;
  if (kept < 1)
    kept = 1;
  return slots - kept > 1 ? (int)(slots - kept) : 1;
}

static bool
may_send (const KqServiceQueue *s, KqLane lane)
{
  int in_flight = s->in_flight[KQ_LANE_SHORT] + s->in_flight[KQ_LANE_LONG];
  if (s->lanes[lane].queued == 0)
    return false;
  if (s->row.in_flight_max > 0 && in_flight >= s->row.in_flight_max)
    return false;
  return lane == KQ_LANE_SHORT || !s->row.short_slots || long_busy (s) < long_slots (s);
}

KqFairItem *
kq_service_first (const KqServiceQueue *s, KqLane *lane)
{
  bool send_short = may_send (s, KQ_LANE_SHORT);
  bool send_long = may_send (s, KQ_LANE_LONG);
  if (!send_short && !send_long)
    return NULL;
  if (send_short && send_long)
    send_long = s->lane_tag[KQ_LANE_LONG] < s->lane_tag[KQ_LANE_SHORT];
  *lane = send_long ? KQ_LANE_LONG : KQ_LANE_SHORT;
  return kq_fair_first (&s->lanes[*lane]);
}

void
kq_service_push (KqServiceQueue *s, KqLane lane, KqFairItem *item, uint64_t caller,
                 int64_t weight, uint64_t key, KqTime deadline)
{
  if (s->lanes[lane].queued == 0 && s->lane_tag[lane] < s->lane_virtual_time)
    s->lane_tag[lane] = s->lane_virtual_time;
  /* One service time of all slots, as fair.h explains. */
  s->lanes[lane].burst = item->cost * kq_service_slots (s);
  kq_fair_push (&s->lanes[lane], item, caller, weight, key, deadline);
}

void
kq_service_take (KqServiceQueue *s, KqLane lane, KqFairItem *item)
{
  if (s->lane_virtual_time < s->lane_tag[lane])
    s->lane_virtual_time = s->lane_tag[lane];
  s->lane_tag[lane] += item->cost;
  kq_fair_take (&s->lanes[lane], item);
}

void
kq_service_remove (KqServiceQueue *s, KqLane lane, KqFairItem *item)
{
  kq_fair_remove (&s->lanes[lane], item);
}

/* Slots available for the lane's work. While the lane has a queue, that is what its
 * requests hold. */
static double
lane_slots (const KqServiceQueue *s, KqLane lane)
{
  int slots = kq_service_slots (s);
  if (s->lanes[lane].queued > 0 && s->in_flight[lane] > 0)
    return s->in_flight[lane];
  if (!s->row.short_slots)
    return slots;
  return lane == KQ_LANE_LONG ? long_slots (s) : slots - long_busy (s);
}

static bool
has_free_slot (const KqServiceQueue *s, KqLane lane)
{
  int checks = kq_service_checks (s);
  if (s->lanes[lane].queued > 0)
    return false;
  if (lane == KQ_LANE_LONG && s->row.short_slots && long_busy (s) >= long_slots (s))
    return false;
  for (size_t i = 0; i < s->n_groups; i++)
    if (s->groups[i]->n_free[checks] > 0)
      return true;
  return false;
}

KqAdmissionInput
kq_service_admission_input (const KqServiceQueue *s, KqLane lane, uint64_t caller,
                            int64_t weight, uint64_t key)
{
  const KqFairQueue *f = &s->lanes[lane];
  KqFairShare share = kq_fair_share (f, caller, key);
  KqFairShare other = kq_fair_share (&s->lanes[1 - lane], caller, key);
  KqAdmissionInput in
      = { .queued = kq_service_queued (s),
          .queue_max = s->row.queue_max,
          .work = f->work,
          .slots = lane_slots (s, lane),
          .slot_free = has_free_slot (s, lane),
          .fair = s->row.fairness,
          .caller_queued = share.queued + other.queued,
          .caller_percent = s->row.caller_percent,
          .caller_work = share.work,
          .key_queued = key != 0 ? share.key_queued + other.key_queued : 0,
          .key_work = share.key_work,
          .caller_weight = weight };
  in.active_weight = f->active_weight + (share.queued > 0 ? 0 : weight);
  in.active_keys = share.active_keys + (share.key_queued > 0 ? 0 : 1);
  return in;
}

KqServiceDigest
kq_service_digest (const KqServiceQueue *s)
{
  KqServiceDigest digest = { .service = s->name,
                             .slots = kq_service_slots (s),
                             .queued = (int32_t)kq_service_queued (s),
                             .p50_us = kq_run_times_median (&s->run_times) };
  for (int lane = 0; lane < KQ_LANES; lane++)
    digest.work_us += s->lanes[lane].work;
  for (size_t i = 0; i < s->n_groups; i++)
    {
      digest.busy += s->groups[i]->busy;
      digest.work_us += s->groups[i]->work;
    }
  return digest;
}

json_t *
kq_service_state (const KqServiceQueue *s)
{
  return json_pack ("{s:s%,s:I,s:I,s:i,s:i,s:i,s:I,s:I}", "service", s->name.bytes,
                    (size_t)s->name.len, "queued", (json_int_t)kq_service_queued (s),
                    "queued_long", (json_int_t)s->lanes[KQ_LANE_LONG].queued, "in_flight",
                    s->in_flight[KQ_LANE_SHORT] + s->in_flight[KQ_LANE_LONG], "slots",
                    kq_service_slots (s), "runners", kq_service_live_runners (s),
                    "p50_us", (json_int_t)kq_run_times_median (&s->run_times), "mean_us",
                    (json_int_t)kq_run_times_forecast (&s->run_times, 0).mean);
}
