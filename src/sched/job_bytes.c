#include "sched/job_bytes.h"

#include "sched/state.h"

/* Parts of the limit that a job may take with all its occurrences, and up to which
 * further times are begun; the part of what is free that a new job may take. */
#define JOB_PARTS 16
#define TIMES_PARTS 2
#define FREE_PARTS 8

static size_t
occurrence_bytes (const KqSpec *spec)
{
  size_t bytes = sizeof (KqOccurrence);
  for (int32_t i = 0; i < spec->n_steps; i++)
    bytes += sizeof (KqStepState) + (size_t)spec->steps[i].width * sizeof (KqTaskState);
  return bytes;
}

static size_t
fixed_bytes (const KqSpec *spec, size_t stored)
{
  size_t bytes = sizeof (KqJob) + stored;
  for (int32_t i = 0; i < spec->n_steps; i++)
    bytes += sizeof (KqStep) + (size_t)spec->steps[i].n_after * sizeof (int32_t);
  return bytes;
}

size_t
kq_job_bytes (const KqSpec *spec, size_t stored)
{
  return fixed_bytes (spec, stored) + occurrence_bytes (spec);
}

bool
kq_job_bytes_refuse (size_t job, int64_t free)
{
  return free >= 0 && job > (size_t)free / FREE_PARTS;
}

static void
add_bytes (KqJob *j, size_t bytes)
{
  j->bytes += bytes;
  *j->all_bytes += bytes;
}

static void
drop_bytes (KqJob *j, size_t bytes)
{
  if (j->all_bytes == NULL)
    return;
  j->bytes -= bytes;
  *j->all_bytes -= bytes;
}

void
kq_job_bytes_add_job (KqSched *s, KqJob *j)
{
  j->all_bytes = &s->job_bytes;
  add_bytes (j, fixed_bytes (&j->spec, j->stored.len));
}

void
kq_job_bytes_add_occurrence (KqJob *j)
{
  add_bytes (j, occurrence_bytes (&j->spec));
}

void
kq_job_bytes_drop_occurrence (KqJob *j)
{
  drop_bytes (j, occurrence_bytes (&j->spec));
}

void
kq_job_bytes_drop_job (KqJob *j)
{
  drop_bytes (j, j->bytes);
}

bool
kq_job_bytes_has_room (const KqSched *s, const KqJob *j)
{
  size_t most = s->config.job_bytes_max;
  size_t more;
  if (most == 0 || j->occurrences == NULL)
    return true;
  more = occurrence_bytes (&j->spec);
  return j->bytes + more <= most / JOB_PARTS && s->job_bytes + more <= most / TIMES_PARTS;
}

int64_t
kq_sched_job_bytes_free (const KqSched *s)
{
  if (s->config.job_bytes_max == 0)
    return -1;
  return s->job_bytes < s->config.job_bytes_max
             ? (int64_t)(s->config.job_bytes_max - s->job_bytes)
             : 0;
}
