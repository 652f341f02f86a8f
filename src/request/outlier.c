#include "request/outlier.h"

#include <math.h>

#define EJECTED_MAX_PERCENT 10
#define ERROR_WEIGHT (1.0 / 8)
#define LOST_WEIGHT (1.0 / 4)
/* Weight of an answer in latency_ratio. With exponential run times it gives the average a
 * standard deviation of 9%. With 1/16 (18%), healthy runners exceeded RATIO_FEWER_SLOTS
 * by chance, and at a load of 0.9 the p99 of short requests was 471 ms instead of 192 ms
 * (bench-load, long among short, seed 1, outliers as the only safeguard). */
#define RATIO_WEIGHT (1.0 / 64)
/* A runner is failing if its failure share exceeds FAILURE_SHARE_EJECT, and also
 * FAILURE_TIMES_OTHERS times the mean share of the others. */
#define FAILURE_SHARE_EJECT 0.5
#define FAILURE_TIMES_OTHERS 2
/* A runner gets fewer slots if its latency ratio exceeds the first value, and is ejected
 * if it exceeds the second. */
#define RATIO_FEWER_SLOTS 1.5
#define RATIO_EJECT 4.0
/* The latency ratio is used once it has averaged this many good answers. */
#define SAMPLES_MIN 32
#define PROBE_WAIT_MIN KQ_SEC
#define PROBE_WAIT_MAX (30 * KQ_SEC)
/* A refused connection costs a probe almost nothing, and a restarted runner should be
 * used again soon. */
#define PROBE_WAIT_UNREACHABLE_MAX (4 * KQ_SEC)
/* Time from a good probe to the next one. */
#define PROBE_INTERVAL (200 * KQ_MS)
#define PROBES_TO_RETURN 3
/* A probe that took longer, as a ratio to its class's mean, isn't good. */
#define PROBE_RATIO_MAX 2.5
/* Good answers after which a returning runner's slots are doubled. */
#define ANSWERS_PER_STEP 8

void
kq_outlier_init (KqOutlier *o)
{
  *o = (KqOutlier){ .latency_ratio = 1, .probe_wait = PROBE_WAIT_MIN };
}

void
kq_outlier_join (KqOutlierPeers *p, const KqOutlier *o)
{
  p->n_peers++;
  p->failure_sum += o->failure_share;
  p->ejected += o->state == KQ_OUTLIER_EJECTED && !o->unreachable;
  p->unreachable += o->unreachable;
}

void
kq_outlier_leave (KqOutlierPeers *p, const KqOutlier *o)
{
  p->n_peers--;
  p->failure_sum -= o->failure_share;
  p->ejected -= o->state == KQ_OUTLIER_EJECTED && !o->unreachable;
  p->unreachable -= o->unreachable;
}

static bool
may_eject (const KqOutlierPeers *p)
{
  int max = p->n_peers * EJECTED_MAX_PERCENT / 100;
  if (p->n_peers < 2)
    return false;
  return p->ejected < (max > 1 ? max : 1);
}

static void
set_failure_share (KqOutlier *o, KqOutlierPeers *p, double share)
{
  p->failure_sum += share - o->failure_share;
  o->failure_share = share;
}

static bool
is_failing (const KqOutlier *o, const KqOutlierPeers *p)
{
  double others;
  if (o->failure_share <= FAILURE_SHARE_EJECT || p->n_peers < 2)
    return false;
  others = (p->failure_sum - o->failure_share) / (p->n_peers - 1);
  return o->failure_share > FAILURE_TIMES_OTHERS * others;
}

static bool
is_slow (const KqOutlier *o)
{
  return o->samples >= SAMPLES_MIN && o->latency_ratio > RATIO_EJECT;
}

static void
update_averages (KqOutlier *o, KqOutlierPeers *p, KqOutlierSample s, double ratio)
{
  double weight = s == KQ_SAMPLE_ERROR ? ERROR_WEIGHT : LOST_WEIGHT;
  double bad = s != KQ_SAMPLE_GOOD;
  set_failure_share (o, p, o->failure_share + (bad - o->failure_share) * weight);
  if (s != KQ_SAMPLE_GOOD)
    return;
  /* A single answer counts at most as twice the ratio that ejects a runner. */
  o->latency_ratio += (fmin (ratio, 2 * RATIO_EJECT) - o->latency_ratio) * RATIO_WEIGHT;
  o->samples++;
}

static void
eject (KqOutlier *o, KqOutlierPeers *p, bool unreachable, KqTime now)
{
  o->state = KQ_OUTLIER_EJECTED;
  o->unreachable = unreachable;
  if (unreachable)
    p->unreachable++;
  else
    p->ejected++;
  o->good_in_row = 0;
  o->probe_at = now + o->probe_wait;
}

static void
readmit (KqOutlier *o, KqOutlierPeers *p)
{
  if (o->unreachable)
    p->unreachable--;
  else
    p->ejected--;
  o->unreachable = false;
  o->state = KQ_OUTLIER_RETURNING;
  o->good_in_row = 0;
  o->slots_allowed = 1;
  set_failure_share (o, p, 0);
  o->latency_ratio = 1;
  o->samples = 0;
}

static void
judge_probe (KqOutlier *o, KqOutlierPeers *p, KqOutlierSample s, double ratio, KqTime now)
{
  KqTime wait_max = o->unreachable ? PROBE_WAIT_UNREACHABLE_MAX : PROBE_WAIT_MAX;
  if (s != KQ_SAMPLE_GOOD || ratio > PROBE_RATIO_MAX)
    {
      o->good_in_row = 0;
      o->probe_wait = o->probe_wait * 2 < wait_max ? o->probe_wait * 2 : wait_max;
      o->probe_at = now + o->probe_wait;
      return;
    }
  o->probe_at = now + PROBE_INTERVAL;
  if (++o->good_in_row < PROBES_TO_RETURN)
    return;
  readmit (o, p);
}

static void
count_good_answer (KqOutlier *o, int slots)
{
  if (++o->good_in_row < ANSWERS_PER_STEP)
    return;
  o->good_in_row = 0;
  o->slots_allowed *= 2;
  if (o->slots_allowed < slots)
    return;
  o->state = KQ_OUTLIER_NORMAL;
  o->probe_wait = PROBE_WAIT_MIN;
}

void
kq_outlier_add_sample (KqOutlier *o, KqOutlierPeers *p, KqOutlierSample s, double ratio,
                       int slots, KqTime now)
{
  update_averages (o, p, s, ratio);
  if (o->state == KQ_OUTLIER_EJECTED)
    {
      /* Requests that were sent before the ejection say nothing new. */
      if (o->probing)
        judge_probe (o, p, s, ratio, now);
    }
  else if (s == KQ_SAMPLE_REFUSED)
    eject (o, p, true, now);
  else if ((is_failing (o, p) || is_slow (o)) && may_eject (p))
    eject (o, p, false, now);
  else if (o->state == KQ_OUTLIER_RETURNING && s == KQ_SAMPLE_GOOD)
    count_good_answer (o, slots);
}

void
kq_outlier_reported (KqOutlier *o, KqOutlierPeers *p)
{
  if (o->state == KQ_OUTLIER_EJECTED && o->unreachable)
    readmit (o, p);
}

int
kq_outlier_allowed (const KqOutlier *o, const KqOutlierPeers *p, int slots)
{
  int allowed = slots;
  if (o->state == KQ_OUTLIER_EJECTED)
    return 0;
  if (o->state == KQ_OUTLIER_RETURNING && o->slots_allowed < slots)
    allowed = o->slots_allowed;
  if (p->n_peers < 2)
    return slots;
  if (is_failing (o, p) || is_slow (o))
    return 1;
  if (o->samples >= SAMPLES_MIN && o->latency_ratio > RATIO_FEWER_SLOTS)
    allowed = (int)fmax (1, fmin (allowed, slots / o->latency_ratio));
  return allowed;
}
