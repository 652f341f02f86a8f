#include "fleet/admission.h"

#include <math.h>
#include <string.h>

/* Least time between two digests, and longest one while work waits. The latter is short
 * enough for the next digest to arrive before the last one is too old, though the leader
 * checks only every 250 ms. */
#define DIGEST_INTERVAL_MIN (500 * KQ_MS)
#define DIGEST_INTERVAL_MAX (700 * KQ_MS)
/* A figure has changed noticeably if it has changed by more than one part in this many.
 */
#define NOTICEABLE_PART 10
/* Newcomers of a kind count as accepted if one was within this time. */
#define NEWCOMER_PERIOD (2 * KQ_SEC)
/* Time constant of the means of accepted jobs: some jobs per node even when one node
 * accepts less than one a second. */
#define ARRIVALS_PERIOD (5.0 * KQ_SEC)
/* Most that one node's accepted work is multiplied by, as a multiple of the nodes. */
#define SHARE_RATIO_MAX 4

static int64_t
at_most (double v)
{
  const double most = (double)(INT64_MAX / 1024);
  return (int64_t)(v < most ? v : most);
}

/* Whether room is free that none of the waiting tasks can use. What is left where a task
 * of that size waits can't be used by the job either: it disturbs serving tasks, or is
 * kept for others. */
static bool
has_room (const KqLoadRow *row, const KqJobLoad *job, KqAdmitAhead ahead)
{
  return (row->waiting_milli == 0 || job->largest_milli < row->waiting_milli)
         && row->largest_milli >= job->largest_milli
         && row->free_milli - ahead.milli >= job->largest_milli;
}

static KqAdmitOutlook
outlook (const KqLoadRow *row, const KqJobLoad *job, KqAdmitAhead ahead,
         const KqAdmitForecast *f)
{
  if (row->late_work <= 0 || row->cut_work <= 0)
    return KQ_ADMIT_NO_OVERLOAD;
  if (has_room (row, job, ahead))
    return KQ_ADMIT_ROOM;
  if (f->wait_ms < 0)
    return KQ_ADMIT_UNKNOWN;
  if (job->work < row->cut_work)
    return KQ_ADMIT_SMALL;
  return f->end_ms > f->limit_ms ? KQ_ADMIT_TOO_LATE : KQ_ADMIT_OF_USE;
}

KqAdmitForecast
kq_admit_forecast (const KqLoadRow *row, const KqJobLoad *job, KqAdmitAhead ahead,
                   bool returned)
{
  KqAdmitForecast f = { .outlook = KQ_ADMIT_NO_OVERLOAD };
  KqLoadRow in_front;
  f.limit_ms = KQ_ADMIT_USE_RATIO * job->objective_ms;
  if (row == NULL)
    return f;
  in_front = *row;
  if (returned)
    in_front.late_work = 0;
  f.wait_ms = kq_load_wait_ms (&in_front);
  if (row->rate <= 0)
    f.wait_ms = -1;
  if (f.wait_ms >= 0)
    {
      f.wait_ms += ahead.work / row->rate;
      f.end_ms = f.wait_ms + job->chain_ms;
      f.in_time_ms = f.end_ms - job->objective_ms;
      if (f.in_time_ms < 0)
        f.in_time_ms = 0;
      f.interval_us = at_most ((double)job->work * KQ_MS / (double)row->rate);
    }
  f.outlook = outlook (row, job, ahead, &f);
  return f;
}

const char *
kq_admit_answer_name (KqAdmitAnswer a)
{
  static const char *const names[] = { "known",    "written", "unsettled",    "of_use",
                                       "returned", "refused", "refused_early" };
  return names[a];
}

KqAdmitAnswer
kq_admit_decide (const KqAdmitCase *c, const KqJobLoad *job, KqTime now,
                 KqAdmitForecast *forecast)
{
  const KqLoadRow *row;
  *forecast = (KqAdmitForecast){ 0 };
  if (c->known)
    return KQ_ADMIT_ACCEPT_KNOWN;
  if (c->has_open_write)
    return KQ_ADMIT_ACCEPT_WRITTEN;
  if (!c->settled || !c->load->known)
    return KQ_ADMIT_ACCEPT_UNSETTLED;
  row = kq_load_find (c->load, job->service, job->kind);
  *forecast = kq_admit_forecast (row, job, (KqAdmitAhead){ 0 }, false);
  if (forecast->outlook != KQ_ADMIT_TOO_LATE)
    return KQ_ADMIT_ACCEPT_OF_USE;
  if (c->refusal == NULL)
    return KQ_ADMIT_REFUSE;
  if (now < c->refusal->return_at)
    return KQ_ADMIT_REFUSE_EARLY;
  /* Refused once, it isn't refused again while newcomers of its kind are accepted. */
  if (c->newcomer_at != 0 && now - c->newcomer_at <= NEWCOMER_PERIOD)
    return KQ_ADMIT_ACCEPT_RETURNED;
  *forecast = kq_admit_forecast (row, job, (KqAdmitAhead){ 0 }, true);
  return forecast->outlook == KQ_ADMIT_TOO_LATE ? KQ_ADMIT_REFUSE
                                                : KQ_ADMIT_ACCEPT_RETURNED;
}

void
kq_admit_digest_copy (KqAdmitDigest *to, const KqLoadDigest *from)
{
  KqLoadDigest *d = &to->digest;
  *d = (KqLoadDigest){ .number = from->number, .known = from->known };
  for (size_t i = 0; i < from->n_rows && i < KQ_LOAD_ROWS_MAX; i++)
    {
      if (from->rows[i].service.len > KQ_NAME_MAX)
        continue;
      to->services[d->n_rows] = kq_name (from->rows[i].service);
      d->rows[d->n_rows] = from->rows[i];
      d->rows[d->n_rows].service = kq_name_str (&to->services[d->n_rows]);
      d->n_rows++;
    }
}

static bool
differs (int64_t a, int64_t b)
{
  int64_t change = a > b ? a - b : b - a;
  return (a == 0) != (b == 0) || change > (a > b ? a : b) / NOTICEABLE_PART;
}

static bool
row_differs (const KqLoadRow *a, const KqLoadRow *b)
{
  return differs (a->in_time_work + a->late_work, b->in_time_work + b->late_work)
         || differs (a->late_work, b->late_work) || differs (a->rate, b->rate)
         || differs (a->cut_work, b->cut_work)
         || differs (a->largest_milli, b->largest_milli);
}

bool
kq_admit_digest_may_be_sent (KqTime sent_at, KqTime now)
{
  return sent_at == 0 || now - sent_at >= DIGEST_INTERVAL_MIN;
}

bool
kq_admit_digest_is_due (const KqLoadDigest *sent, KqTime sent_at,
                        const KqLoadDigest *next, KqTime now)
{
  bool waits = false;
  bool changed = sent->known != next->known || sent->n_rows != next->n_rows;
  if (sent_at == 0 && !next->known)
    return false;
  if (!kq_admit_digest_may_be_sent (sent_at, now))
    return false;
  for (size_t i = 0; i < next->n_rows; i++)
    {
      const KqLoadRow *row = &next->rows[i];
      const KqLoadRow *before = kq_load_find (sent, row->service, row->kind);
      changed = changed || before == NULL || row_differs (before, row);
      waits = waits || row->in_time_work + row->late_work > 0;
    }
  return changed || (waits && now - sent_at >= DIGEST_INTERVAL_MAX);
}

bool
kq_admit_view_take (KqAdmitView *v, uint64_t epoch, const KqLoadDigest *d, uint32_t nodes,
                    uint64_t jobs_added, KqTime now)
{
  double keep = exp (-(double)(now - v->at) / ARRIVALS_PERIOD);
  if (epoch < v->epoch || (epoch == v->epoch && d->number <= v->last.digest.number))
    return false;
  if (epoch != v->epoch || jobs_added < v->jobs_added)
    v->own_mean = v->all_mean = 0;
  else
    {
      v->own_mean = v->own_mean * keep + v->own_since;
      v->all_mean = v->all_mean * keep + (double)(jobs_added - v->jobs_added);
    }
  kq_admit_digest_copy (&v->last, d);
  v->epoch = epoch;
  v->at = now;
  v->nodes = nodes > 0 ? nodes : 1;
  v->jobs_added = jobs_added;
  v->own_since = 0;
  memset (v->accepted, 0, sizeof v->accepted);
  return true;
}

bool
kq_admit_view_is_usable (const KqAdmitView *v, uint64_t epoch, KqTime now)
{
  return v->epoch != 0 && v->epoch == epoch && v->last.digest.known
         && now - v->at <= KQ_ADMIT_DIGEST_AGE_MAX;
}

/* What all nodes accept for each job that this one accepts. */
static double
arrivals_ratio (const KqAdmitView *v)
{
  double most = (double)v->nodes * SHARE_RATIO_MAX;
  double ratio;
  if (v->own_mean < 1)
    return v->nodes;
  ratio = v->all_mean / v->own_mean;
  return ratio < 1 ? 1 : ratio > most ? most : ratio;
}

bool
kq_admit_view_doubts (const KqAdmitView *v, const KqJobLoad *job, uint64_t epoch,
                      KqTime now, KqAdmitForecast *forecast)
{
  const KqLoadDigest *d = &v->last.digest;
  const KqLoadRow *row;
  KqAdmitAhead ahead;
  double ratio;
  if (!kq_admit_view_is_usable (v, epoch, now))
    return false;
  row = kq_load_find (d, job->service, job->kind);
  if (row == NULL)
    return false;
  ratio = arrivals_ratio (v);
  ahead = v->accepted[row - d->rows];
  ahead.work = at_most ((double)ahead.work * ratio);
  ahead.milli = at_most ((double)ahead.milli * ratio);
  *forecast = kq_admit_forecast (row, job, ahead, false);
  return forecast->outlook == KQ_ADMIT_TOO_LATE;
}

void
kq_admit_view_count (KqAdmitView *v, const KqJobLoad *load)
{
  const KqLoadRow *row = NULL;
  KqAdmitAhead *ahead;
  v->own_since++;
  if (load != NULL)
    row = kq_load_find (&v->last.digest, load->service, load->kind);
  if (row == NULL)
    return;
  ahead = &v->accepted[row - v->last.digest.rows];
  ahead->work = at_most ((double)ahead->work + (double)load->work);
  ahead->milli = at_most ((double)ahead->milli + (double)load->start_milli);
}
