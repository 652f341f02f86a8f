/* sched_rig_load: what the runs on the rig's runners report of their load, and how fast
 * filling ones work. */

#include "sched_rig_impl.h"

#include <math.h>

/* Serving tasks use this share of the cpu that they reserve. */
#define SERVING_USE 0.5
/* The slack (target divided by tail) of a serving task by itself: its mean, and how much
 * it varies with the load of its step; and while its step is overloaded. */
#define SLACK_MEAN 1.9
#define SLACK_SWING 0.4
#define SLACK_OVERLOADED 0.6
#define SLACK_MIN 0.1
#define LOAD_PERIOD (20 * KQ_SEC)
/* The slack lost to a filling image on the whole cpu, for one pair of images in three,
 * and for the others. */
#define LOSS_STRONG 8.0
#define LOSS_WEAK 0.4

static const KqStep *
step_of (const KqSchedRig *r, const KqSchedRigRun *run)
{
  int32_t step;
  int32_t index;
  const KqSchedRigJob *j = kq_sched_rig_job_of (r, run->task, &step, &index);
  return j != NULL ? &j->spec.steps[step] : NULL;
}

static double
loss_of_pair (KqStr serving, KqStr filling)
{
  unsigned a = serving.len > 0 ? (unsigned char)serving.ptr[serving.len - 1] : 0;
  unsigned b = filling.len > 0 ? (unsigned char)filling.ptr[filling.len - 1] : 0;
  return (a + 2 * b) % 3 == 0 ? LOSS_STRONG : LOSS_WEAK;
}

double
kq_sched_rig_speed (const KqSchedRig *r, const KqSchedRigRunner *g,
                    const KqSchedRigRun *run)
{
  double unused = (double)g->room.cpu_milli;
  double asked = 0;
  for (guint i = 0; i < g->runs->len; i++)
    {
      const KqSchedRigRun *other = g_ptr_array_index (g->runs, i);
      const KqStep *p = step_of (r, other);
      if (p != NULL && p->filling)
        asked += p->cpu_milli * other->pace / 100.0;
      else if (p != NULL)
        unused -= p->cpu_milli * (p->target_ms > 0 ? SERVING_USE : 1);
    }
  return run->pace / 100.0 * (asked > unused ? fmax (unused, 0) / asked : 1);
}

static int
tail_ms (const KqSchedRig *r, const KqSchedRigRunner *g, const KqSchedRigRun *run)
{
  int32_t step;
  int32_t index;
  const KqSchedRigJob *j = kq_sched_rig_job_of (r, run->task, &step, &index);
  const KqStep *p = &j->spec.steps[step];
  double phase = (double)(r->now % LOAD_PERIOD) / LOAD_PERIOD * 6.283;
  double slack = SLACK_MEAN + SLACK_SWING * sin (phase + (double)(j->revision % 7));
  if (r->now < j->overloaded_until)
    slack = SLACK_OVERLOADED;
  for (guint i = 0; i < g->runs->len; i++)
    {
      const KqSchedRigRun *other = g_ptr_array_index (g->runs, i);
      const KqStep *q = step_of (r, other);
      if (q != NULL && q->filling)
        slack -= loss_of_pair (p->image, q->image) * q->cpu_milli
                 / (double)g->room.cpu_milli * kq_sched_rig_speed (r, g, other);
    }
  return (int)(p->target_ms / fmax (slack, SLACK_MIN));
}

int
kq_sched_rig_load (const KqSchedRig *r, const KqSchedRigRunner *g,
                   const KqSchedRigRun *run)
{
  const KqStep *p = step_of (r, run);
  if (!r->models_load || p == NULL)
    return -1;
  if (p->filling)
    return (int)(p->cpu_milli * kq_sched_rig_speed (r, g, run));
  return p->target_ms > 0 ? tail_ms (r, g, run) : p->cpu_milli;
}
