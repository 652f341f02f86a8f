#include "sched/disturb.h"

#include "wire/pack.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Variance of a pair's loss before any report: the expected loss is 0, but a harmful pair
 * is quite possible. */
#define INITIAL_VARIANCE 36.0
/* Variance added by each report that has the filling image in it, as the disturbance
 * between two images may change slowly. */
#define DRIFT_VARIANCE 0.002
/* The lower bound of a loss is this many standard deviations below its estimate. Most
 * pairs are harmless, and the noise of many estimates would add up over the tasks of a
 * runner. */
#define BOUND_DEVIATIONS 0.4
/* Larger differences of slack between report and model are cut to this: for a moment a
 * task's queue can grow without bound though no filling image is the cause. */
#define ERROR_MAX 3.0

/* The losses of one serving image, by filling image. */
typedef struct
{
  double value[KQ_DISTURB_IMAGES_MAX]; /* estimated loss at the runner's whole cpu */
  double variance[KQ_DISTURB_IMAGES_MAX][KQ_DISTURB_IMAGES_MAX];
  double bound[KQ_DISTURB_IMAGES_MAX]; /* lower bound of the loss, at least 0 */
} ImageModel;

typedef struct
{
  char *names[KQ_DISTURB_IMAGES_MAX];
  int n;
} Names;

struct KqDisturb
{
  Names serving;
  Names filling;
  ImageModel *models[KQ_DISTURB_IMAGES_MAX]; /* by serving image */
};

KqDisturb *
kq_disturb_new (void)
{
  return kq_alloc (sizeof (KqDisturb));
}

static void
free_names (Names *n)
{
  for (int i = 0; i < n->n; i++)
    free (n->names[i]);
}

void
kq_disturb_free (KqDisturb *d)
{
  if (d == NULL)
    return;
  free_names (&d->serving);
  free_names (&d->filling);
  for (int i = 0; i < KQ_DISTURB_IMAGES_MAX; i++)
    free (d->models[i]);
  free (d);
}

static int
get_or_add_index (Names *n, KqStr image)
{
  for (int i = 0; i < n->n; i++)
    if (kq_str_eq (kq_str (n->names[i]), image))
      return i;
  if (n->n == KQ_DISTURB_IMAGES_MAX)
    return KQ_DISTURB_IMAGES_MAX - 1;
  n->names[n->n] = kq_str_dup (image);
  return n->n++;
}

int
kq_disturb_serving (KqDisturb *d, KqStr image)
{
  int index = get_or_add_index (&d->serving, image);
  ImageModel *m = d->models[index];
  if (m != NULL)
    return index;
  m = d->models[index] = kq_alloc (sizeof *m);
  for (int i = 0; i < KQ_DISTURB_IMAGES_MAX; i++)
    m->variance[i][i] = INITIAL_VARIANCE;
  return index;
}

int
kq_disturb_filling (KqDisturb *d, KqStr image)
{
  return get_or_add_index (&d->filling, image);
}

static void
update_bound (ImageModel *m, int filling)
{
  double variance = m->variance[filling][filling];
  double v = m->value[filling] - BOUND_DEVIATIONS * sqrt (variance > 0 ? variance : 0);
  m->bound[filling] = v > 0 ? v : 0;
}

void
kq_disturb_learn (KqDisturb *d, int serving, double lost, double variance,
                  const double shares[KQ_DISTURB_IMAGES_MAX])
{
  ImageModel *m = d->models[serving];
  int n = d->filling.n;
  int present[KQ_DISTURB_IMAGES_MAX]; /* the images with a share that isn't 0: few */
  int n_present = 0;
  double gain[KQ_DISTURB_IMAGES_MAX];
  double total_variance = variance;
  double error = lost;
  for (int i = 0; i < n; i++)
    {
      if (shares[i] == 0)
        continue;
      present[n_present++] = i;
      m->variance[i][i] += DRIFT_VARIANCE;
      error -= m->value[i] * shares[i];
    }
  for (int i = 0; i < n; i++)
    {
      gain[i] = 0;
      for (int k = 0; k < n_present; k++)
        gain[i] += m->variance[i][present[k]] * shares[present[k]];
      total_variance += gain[i] * shares[i];
    }
  error = fmax (-ERROR_MAX, fmin (ERROR_MAX, error));
  for (int i = 0; i < n; i++)
    m->value[i] += gain[i] / total_variance * error;
  for (int i = 0; i < n; i++)
    for (int k = 0; k <= i; k++)
      {
        m->variance[i][k] -= gain[i] * gain[k] / total_variance;
        m->variance[k][i] = m->variance[i][k];
      }
  for (int i = 0; i < n; i++)
    update_bound (m, i);
}

double
kq_disturb_loss_bound (const KqDisturb *d, int serving, int filling)
{
  return d->models[serving]->bound[filling];
}

double
kq_disturb_loss (const KqDisturb *d, int serving,
                 const double shares[KQ_DISTURB_IMAGES_MAX], double *variance)
{
  const ImageModel *m = d->models[serving];
  double loss = 0;
  *variance = 0;
  for (int i = 0; i < d->filling.n; i++)
    {
      if (shares[i] == 0)
        continue;
      loss += m->value[i] * shares[i];
      for (int k = 0; k < d->filling.n; k++)
        *variance += m->variance[i][k] * shares[i] * shares[k];
    }
  *variance = fmax (*variance, 0);
  return loss;
}

/* First field of the stored form: its version. */
#define STORED_VERSION 2

void
kq_disturb_pack (const KqDisturb *d, KqBuf *out)
{
  KqPacker p;
  kq_packer_init (&p, out);
  kq_pack_array (&p, 3);
  kq_pack_i64 (&p, STORED_VERSION);
  kq_pack_array (&p, (size_t)d->filling.n);
  for (int i = 0; i < d->filling.n; i++)
    kq_pack_str (&p, kq_str (d->filling.names[i]));
  kq_pack_array (&p, (size_t)d->serving.n);
  for (int i = 0; i < d->serving.n; i++)
    {
      const ImageModel *m = d->models[i];
      kq_pack_array (&p, 1 + 2 * (size_t)d->filling.n);
      kq_pack_str (&p, kq_str (d->serving.names[i]));
      for (int k = 0; k < d->filling.n; k++)
        {
          kq_pack_double (&p, m->value[k]);
          kq_pack_double (&p, m->variance[k][k]);
        }
    }
}

static void
read_model (KqDisturb *d, KqReader *r, int filling)
{
  KqStr name = kq_read_str (r);
  int index;
  ImageModel *m;
  if (r->bad || d->serving.n == KQ_DISTURB_IMAGES_MAX)
    return;
  index = kq_disturb_serving (d, name);
  m = d->models[index];
  for (int k = 0; k < filling; k++)
    {
      double value = kq_read_double (r);
      double variance = kq_read_double (r);
      if (r->bad || !isfinite (value) || !isfinite (variance) || variance < 0)
        continue;
      m->value[k] = value;
      m->variance[k][k] = variance;
      update_bound (m, k);
    }
}

bool
kq_disturb_unpack (KqDisturb *d, KqStr stored)
{
  KqUnpacked u;
  KqReader r;
  KqReader list;
  bool good;
  if (!kq_unpacked_open (&u, stored, &r))
    return false;
  good = kq_read_i64 (&r) == STORED_VERSION;
  kq_read_array (&r, &list);
  good = good && list.left <= KQ_DISTURB_IMAGES_MAX;
  for (uint32_t n = list.left; good && n > 0; n--)
    kq_disturb_filling (d, kq_read_str (&list));
  kq_read_array_end (&r, &list);
  kq_read_array (&r, &list);
  while (good && !list.bad && list.left > 0)
    {
      KqReader one;
      kq_read_array (&list, &one);
      read_model (d, &one, d->filling.n);
      kq_read_array_end (&list, &one);
    }
  kq_read_array_end (&r, &list);
  good = good && !r.bad;
  kq_unpacked_close (&u);
  return good;
}
