#include "sched/disturb.h"

#include "wire/pack.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The model's terms: one constant, one for each filling image. */
#define TERMS (KQ_DISTURB_IMAGES + 1)
/* What is believed before any report: tails at 45% of their target, no image harmful but
 * each quite possibly so. */
#define FIRST_BASE (-0.8)
#define FIRST_BASE_VARIANCE 0.3
#define FIRST_PRESS_VARIANCE 16.0
/* Variance of a report around the model (residuals of the fit named in the header). */
#define REPORT_VARIANCE 0.25
/* Beliefs age by this much variance with each report that bears on them. Serving load
 * swings within seconds, for all tasks of an image alike; what images do to each other
 * stays for much longer. */
#define BASE_DRIFT 0.003
#define PRESS_DRIFT 0.0003
/* An image counts as harmful by what exceeds so many standard deviations: a third of all
 * pairs are, and the noise of the others would add up over the tasks of a runner. With
 * 0.8 harm was believed late, with 0.1 too much was held back: 32 simulated days of two
 * fleets earned 68.3% with 0.8 and 69.2% with 0.4, 16 of them 63.1% with 0.1 and 63.9%
 * with 0.4. */
#define SURE 0.4
/* A report further off than this is taken for so far off: queues can explode for a moment
 * without the images being to blame. */
#define SURPRISE_MAX 1.5
/* A peak of the serving load is remembered for about so long: the load swings with a
 * period of some seconds. */
#define PEAK_FADES (12.0 * KQ_SEC)

typedef struct
{
  double value[TERMS];
  double variance[TERMS][TERMS];
} Model;

typedef struct
{
  char *names[KQ_DISTURB_IMAGES];
  int n;
} Names;

struct KqDisturb
{
  Names serving;
  Names filling;
  Model *models[KQ_DISTURB_IMAGES]; /* by serving image */
  double peaks[KQ_DISTURB_IMAGES];
  KqTime peaks_at[KQ_DISTURB_IMAGES];
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
  for (int i = 0; i < KQ_DISTURB_IMAGES; i++)
    free (d->models[i]);
  free (d);
}

static int
place_of (Names *n, KqStr image)
{
  for (int i = 0; i < n->n; i++)
    if (kq_str_eq (kq_str (n->names[i]), image))
      return i;
  if (n->n == KQ_DISTURB_IMAGES)
    return KQ_DISTURB_IMAGES - 1;
  n->names[n->n] = kq_str_dup (image);
  return n->n++;
}

int
kq_disturb_serving (KqDisturb *d, KqStr image)
{
  int at = place_of (&d->serving, image);
  Model *m = d->models[at];
  if (m != NULL)
    return at;
  m = d->models[at] = kq_alloc (sizeof *m);
  m->value[0] = FIRST_BASE;
  d->peaks[at] = FIRST_BASE;
  m->variance[0][0] = FIRST_BASE_VARIANCE;
  for (int i = 1; i < TERMS; i++)
    m->variance[i][i] = FIRST_PRESS_VARIANCE;
  return at;
}

int
kq_disturb_filling (KqDisturb *d, KqStr image)
{
  return place_of (&d->filling, image);
}

static void
note_peak (KqDisturb *d, int serving, KqTime now)
{
  double base = d->models[serving]->value[0];
  double age = (double)(now - d->peaks_at[serving]) / PEAK_FADES;
  double faded = base + (d->peaks[serving] - base) * exp (-age);
  d->peaks[serving] = faded > base ? faded : base;
  d->peaks_at[serving] = now;
}

void
kq_disturb_learn (KqDisturb *d, int serving, double log_tail,
                  const double shares[KQ_DISTURB_IMAGES], KqTime now)
{
  Model *m = d->models[serving];
  int n = d->filling.n + 1;
  double x[TERMS] = { 1 };
  double gain[TERMS];
  double spread = REPORT_VARIANCE;
  double surprise = log_tail;
  memcpy (x + 1, shares, KQ_DISTURB_IMAGES * sizeof *shares);
  for (int i = 0; i < n; i++)
    {
      if (x[i] > 0)
        m->variance[i][i] += i == 0 ? BASE_DRIFT : PRESS_DRIFT;
      surprise -= m->value[i] * x[i];
    }
  for (int i = 0; i < n; i++)
    {
      gain[i] = 0;
      for (int k = 0; k < n; k++)
        gain[i] += m->variance[i][k] * x[k];
      spread += gain[i] * x[i];
    }
  surprise = fmax (-SURPRISE_MAX, fmin (SURPRISE_MAX, surprise));
  for (int i = 0; i < n; i++)
    m->value[i] += gain[i] / spread * surprise;
  for (int i = 0; i < n; i++)
    for (int k = 0; k < n; k++)
      m->variance[i][k] -= gain[i] * gain[k] / spread;
  note_peak (d, serving, now);
}

double
kq_disturb_press (const KqDisturb *d, int serving, int filling)
{
  const Model *m = d->models[serving];
  double variance = m->variance[filling + 1][filling + 1];
  double v = m->value[filling + 1] - SURE * sqrt (variance > 0 ? variance : 0);
  return v > 0 ? v : 0;
}

double
kq_disturb_base (const KqDisturb *d, int serving)
{
  return d->models[serving]->value[0];
}

double
kq_disturb_peak (const KqDisturb *d, int serving)
{
  return d->peaks[serving];
}

/* First field of the stored form. */
#define FORM 1

void
kq_disturb_pack (const KqDisturb *d, KqBuf *out)
{
  KqPacker p;
  kq_packer_init (&p, out);
  kq_pack_array (&p, 3);
  kq_pack_i64 (&p, FORM);
  kq_pack_array (&p, (size_t)d->filling.n);
  for (int i = 0; i < d->filling.n; i++)
    kq_pack_str (&p, kq_str (d->filling.names[i]));
  kq_pack_array (&p, (size_t)d->serving.n);
  for (int i = 0; i < d->serving.n; i++)
    {
      const Model *m = d->models[i];
      kq_pack_array (&p, 2 + 2 * ((size_t)d->filling.n + 1));
      kq_pack_str (&p, kq_str (d->serving.names[i]));
      kq_pack_double (&p, d->peaks[i]);
      for (int k = 0; k <= d->filling.n; k++)
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
  double peak = kq_read_double (r);
  int at;
  Model *m;
  if (r->bad || d->serving.n == KQ_DISTURB_IMAGES)
    return;
  at = kq_disturb_serving (d, name);
  m = d->models[at];
  d->peaks[at] = isfinite (peak) ? peak : FIRST_BASE;
  for (int k = 0; k <= filling; k++)
    {
      double value = kq_read_double (r);
      double variance = kq_read_double (r);
      if (r->bad || !isfinite (value) || !isfinite (variance) || variance < 0)
        continue;
      m->value[k] = value;
      m->variance[k][k] = variance;
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
  good = kq_read_i64 (&r) == FORM;
  kq_read_array (&r, &list);
  good = good && list.left <= KQ_DISTURB_IMAGES;
  for (uint32_t n = list.left; good && n > 0; n--)
    kq_disturb_filling (d, kq_read_str (&list));
  kq_read_join (&r, &list);
  kq_read_array (&r, &list);
  while (good && !list.bad && list.left > 0)
    {
      KqReader one;
      kq_read_array (&list, &one);
      read_model (d, &one, d->filling.n);
      kq_read_join (&list, &one);
    }
  kq_read_join (&r, &list);
  good = good && !r.bad;
  kq_unpacked_close (&u);
  return good;
}
