#include "sched/estimates.h"

#include "base/log.h"
#include "wire/pack.h"

#include <glib.h>

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define PART "estimates"

/* Bins of a histogram: bin i holds the ratios from 2^(i / 8 - 5) to 2^((i + 1) / 8 - 5),
 * from 1/32 to 64 in all. */
#define BINS 88
#define BINS_PER_OCTAVE 8
#define OCTAVES_BELOW_ONE 5
/* Results are kept for the longest of 1, 2, 4 ... 2^15 tasks, and interpolated between.
 */
#define WIDTHS 16
/* The entry of `longest` that is logged and stands for a usual step, of 16 tasks. */
#define USUAL_WIDTH 4
/* A result changes only if the histogram's differs from it by this share. */
#define CHANGE_MIN 0.05
/* Results are computed anew after this many samples, or this part of all samples of the
 * queue if that is more. */
#define CHECK_SAMPLES_MIN 8
#define CHECK_PART 16
/* Version of the stored form, and the factor by which it multiplies counts, as it rounds
 * them to integers. */
#define STORED_VERSION 1
#define STORED_SCALE 2
/* Room for the head of the stored form. */
#define STORED_HEAD_MAX 16

typedef struct
{
  char *name; /* NULL: the entry is unused */
  double bins[BINS];
  double total;           /* sum of `bins` */
  double longest[WIDTHS]; /* results; 0: not known */
  int unchecked;          /* samples since the results were computed */
  uint64_t used;          /* KqEstimates.samples at the last sample */
} Queue;

struct KqEstimates
{
  Queue queues[KQ_ESTIMATES_QUEUES_MAX];
  uint64_t samples; /* samples so far */
  uint64_t packed;  /* `samples` at the last kq_estimates_pack */
  uint64_t stored;  /* `samples` of what is stored */
  uint64_t version;
};

KqEstimates *
kq_estimates_new (void)
{
  return kq_alloc (sizeof (KqEstimates));
}

static void
clear (KqEstimates *e)
{
  for (int i = 0; i < KQ_ESTIMATES_QUEUES_MAX; i++)
    free (e->queues[i].name);
  memset (e->queues, 0, sizeof e->queues);
}

void
kq_estimates_free (KqEstimates *e)
{
  if (e == NULL)
    return;
  clear (e);
  free (e);
}

static const Queue *
find (const KqEstimates *e, KqStr name)
{
  for (int i = 0; i < KQ_ESTIMATES_QUEUES_MAX; i++)
    if (e->queues[i].name != NULL && kq_str_eq (kq_str (e->queues[i].name), name))
      return &e->queues[i];
  return NULL;
}

/* The queue's entry, which replaces that without a sample for longest if it is new. */
static Queue *
get (KqEstimates *e, KqStr name)
{
  Queue *oldest = &e->queues[0];
  for (int i = 0; i < KQ_ESTIMATES_QUEUES_MAX; i++)
    {
      Queue *q = &e->queues[i];
      if (q->name != NULL && kq_str_eq (kq_str (q->name), name))
        return q;
      if (q->name == NULL ? oldest->name != NULL
                          : oldest->name != NULL && q->used < oldest->used)
        oldest = q;
    }
  if (oldest->name != NULL)
    kq_log (KQ_LOG_INFO, PART,
            "Dropping the learned run times of a queue. queue=%s samples=%.0f for=%.*s",
            oldest->name, oldest->total, KQ_STR_ARG (name));
  free (oldest->name);
  memset (oldest, 0, sizeof *oldest);
  oldest->name = kq_str_dup (name);
  return oldest;
}

static bool
is_known (const Queue *q)
{
  return q != NULL && q->total >= KQ_ESTIMATES_SAMPLES_MIN;
}

/* The least value that a result of the queue may have. */
static double
result_min (const Queue *q)
{
  return q->total < KQ_ESTIMATES_SHORT_MIN ? 1 : 0;
}

/* The ratio at a position in the histogram, which is counted in bins. */
static double
ratio_at (double position)
{
  return exp2 (position / BINS_PER_OCTAVE - OCTAVES_BELOW_ONE);
}

/* The quantile of the histogram, interpolated within a bin on the logarithmic scale. */
static double
quantile (const Queue *q, double part)
{
  double left = part * q->total;
  int last = 0;
  for (int i = 0; i < BINS; i++)
    {
      if (q->bins[i] <= 0)
        continue;
      if (left <= q->bins[i])
        return ratio_at (i + left / q->bins[i]);
      left -= q->bins[i];
      last = i;
    }
  return ratio_at (last + 1);
}

/* Computes the queue's results anew, and takes over those that have changed. */
static void
update_results (KqEstimates *e, Queue *q)
{
  double was = q->longest[USUAL_WIDTH];
  bool changed = false;
  q->unchecked = 0;
  if (!is_known (q))
    return;
  for (int k = 0; k < WIDTHS; k++)
    {
      double n = exp2 (k);
      double now = fmax (quantile (q, n / (n + 1)), result_min (q));
      if (fabs (now - q->longest[k]) <= CHANGE_MIN * q->longest[k])
        continue;
      q->longest[k] = now;
      changed = true;
    }
  e->version += changed;
  if (q->longest[USUAL_WIDTH] != was)
    kq_log (KQ_LOG_INFO, PART,
            "Learned run times have changed. queue=%s samples=%.0f median_percent=%.0f "
            "longest_of_16_percent=%.0f was=%.0f",
            q->name, q->total, 100 * quantile (q, 0.5), 100 * q->longest[USUAL_WIDTH],
            100 * was);
}

static int
bin_of (double ratio)
{
  double at = floor ((log2 (ratio) + OCTAVES_BELOW_ONE) * BINS_PER_OCTAVE);
  return at < 0 ? 0 : at >= BINS ? BINS - 1 : (int)at;
}

void
kq_estimates_add (KqEstimates *e, KqStr queue, double ratio)
{
  Queue *q;
  if (!isfinite (ratio) || ratio <= 0)
    return;
  q = get (e, queue);
  q->used = ++e->samples;
  q->bins[bin_of (ratio)] += 1;
  q->total += 1;
  q->unchecked++;
  if (q->total >= KQ_ESTIMATES_SAMPLES_MAX)
    {
      for (int i = 0; i < BINS; i++)
        q->bins[i] /= 2;
      q->total /= 2;
    }
  if ((q->longest[0] <= 0 && is_known (q))
      || (q->unchecked >= CHECK_SAMPLES_MIN && q->unchecked >= q->total / CHECK_PART))
    update_results (e, q);
}

double
kq_estimates_mean (const KqEstimates *e, KqStr queue)
{
  const Queue *q = find (e, queue);
  double sum = 0;
  if (!is_known (q))
    return 1;
  for (int i = 0; i < BINS; i++)
    sum += q->bins[i] * ratio_at (i + 0.5);
  return fmax (sum / q->total, result_min (q));
}

double
kq_estimates_longest (const KqEstimates *e, KqStr queue, int32_t n)
{
  const Queue *q = find (e, queue);
  double at = n > 1 ? log2 (n) : 0;
  int k = (int)at;
  if (q == NULL || q->longest[0] <= 0)
    return 1;
  if (k >= WIDTHS - 1)
    return q->longest[WIDTHS - 1];
  return q->longest[k] + (at - k) * (q->longest[k + 1] - q->longest[k]);
}

uint64_t
kq_estimates_version (const KqEstimates *e)
{
  return e->version;
}

void
kq_estimates_each (const KqEstimates *e,
                   void (*take) (void *arg, const KqEstimatesRow *row), void *arg)
{
  for (int i = 0; i < KQ_ESTIMATES_QUEUES_MAX; i++)
    {
      const Queue *q = &e->queues[i];
      KqEstimatesRow row;
      if (!is_known (q))
        continue;
      row = (KqEstimatesRow){ .queue = kq_str (q->name),
                              .samples = q->total,
                              .median = quantile (q, 0.5),
                              .p95 = quantile (q, 0.95) };
      take (arg, &row);
    }
}

bool
kq_estimates_pending (const KqEstimates *e)
{
  return e->samples != e->stored;
}

void
kq_estimates_stored (KqEstimates *e)
{
  e->stored = e->packed;
}

static int
compare_used (const void *a, const void *b)
{
  const Queue *x = *(const Queue *const *)a;
  const Queue *y = *(const Queue *const *)b;
  return x->used > y->used ? -1 : x->used < y->used;
}

/* A queue is stored as its name, the number of its first bin that isn't empty, and the
 * counts from there to the last such bin. */
static void
pack_queue (const Queue *q, KqBuf *out)
{
  KqPacker p;
  int first = 0;
  int end = BINS;
  while (first < BINS && lround (q->bins[first] * STORED_SCALE) == 0)
    first++;
  while (end > first && lround (q->bins[end - 1] * STORED_SCALE) == 0)
    end--;
  kq_packer_init (&p, out);
  kq_pack_array (&p, 2 + (size_t)(end - first));
  kq_pack_str (&p, kq_str (q->name));
  kq_pack_i64 (&p, first);
  for (int i = first; i < end; i++)
    kq_pack_i64 (&p, lround (q->bins[i] * STORED_SCALE));
}

void
kq_estimates_pack (KqEstimates *e, KqBuf *out)
{
  const Queue *list[KQ_ESTIMATES_QUEUES_MAX];
  KqBuf rows = { 0 };
  KqPacker p;
  size_t n = 0;
  size_t n_packed = 0;
  for (int i = 0; i < KQ_ESTIMATES_QUEUES_MAX; i++)
    if (e->queues[i].name != NULL)
      list[n++] = &e->queues[i];
  qsort (list, n, sizeof (gpointer), compare_used);
  for (; n_packed < n; n_packed++)
    {
      KqBuf one = { 0 };
      bool fits;
      pack_queue (list[n_packed], &one);
      fits = kq_buf_add_bounded (&rows, kq_buf_str (&one),
                                 KQ_ESTIMATES_STORED_MAX - STORED_HEAD_MAX);
      kq_buf_free (&one);
      if (!fits)
        break;
    }
  kq_packer_init (&p, out);
  kq_pack_array (&p, 1 + n_packed);
  kq_pack_i64 (&p, STORED_VERSION);
  kq_buf_add_str (out, kq_buf_str (&rows));
  kq_buf_free (&rows);
  e->packed = e->samples;
}

static bool
read_queue (KqReader *r, Queue *q)
{
  KqStr name = kq_read_str (r);
  int64_t first = kq_read_i64 (r);
  if (r->bad || name.len == 0 || first < 0 || first + r->left > BINS)
    return false;
  for (int64_t i = first; r->left > 0; i++)
    {
      int64_t count = kq_read_i64 (r);
      if (r->bad || count < 0 || count > KQ_ESTIMATES_SAMPLES_MAX * STORED_SCALE)
        return false;
      q->bins[i] = (double)count / STORED_SCALE;
      q->total += q->bins[i];
    }
  if (q->total > KQ_ESTIMATES_SAMPLES_MAX + BINS) /* each count was rounded */
    return false;
  q->name = kq_str_dup (name);
  return true;
}

bool
kq_estimates_unpack (KqEstimates *e, KqStr stored)
{
  KqEstimates *read = kq_estimates_new ();
  KqUnpacked u;
  KqReader r;
  bool good = false;
  if (!kq_unpacked_open (&u, stored, &r))
    goto out;
  good
      = kq_read_i64 (&r) == STORED_VERSION && !r.bad && r.left <= KQ_ESTIMATES_QUEUES_MAX;
  for (uint32_t n = r.left; good && n > 0; n--)
    {
      KqReader one;
      Queue *q = &read->queues[n - 1];
      kq_read_array (&r, &one);
      q->used = n; /* they are stored in the order of their last samples, latest first */
      good = !r.bad && read_queue (&one, q);
    }
  kq_unpacked_close (&u);
  if (!good)
    goto out;
  clear (e);
  memcpy (e->queues, read->queues, sizeof e->queues);
  memset (read->queues, 0, sizeof read->queues);
  e->samples = e->packed = e->stored = KQ_ESTIMATES_QUEUES_MAX;
  e->version++;
  for (int i = 0; i < KQ_ESTIMATES_QUEUES_MAX; i++)
    if (e->queues[i].name != NULL)
      update_results (e, &e->queues[i]);
out:
  kq_estimates_free (read);
  return good;
}
