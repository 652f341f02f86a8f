#include "job/interference.h"

#include <math.h>

/* Slowdown that a batch task adds to a neighbour, by load band, as assumed before there
 * is evidence. */
static const double default_effect[KQ_BANDS] = { 0.01, 0.02, 0.04 };
/* Factor on default_effect for services, which answer short requests and disturb little.
 * Without the factor, services avoided each other before the first reports and spread
 * over the whole fleet. */
#define SERVICE_PRIOR_FACTOR 0.005
/* Part of a report's error by which a cell is corrected: GAIN_MAX without evidence,
 * falling to GAIN_MIN, which is above 0 so that the cell follows a class that changes. */
#define GAIN_MAX 0.5
#define GAIN_MIN 0.04
/* The same for the prior, which follows the cells. */
#define PRIOR_GAIN 0.05
#define EVIDENCE_MAX 100.0F
#define EVIDENCE_HALF_LIFE (1800 * KQ_SEC)
#define EFFECT_MAX 3.0
/* Largest error taken from one report: a task that hung for a minute must not change a
 * cell by more. */
#define ERROR_MAX 1.0

void
kq_mix_add (KqMix *m, uint16_t class_index, double n)
{
  for (int i = 0; i < m->n; i++)
    if (m->parts[i].class_index == class_index)
      {
        m->parts[i].n += (float)n;
        if (m->parts[i].n < 0.01F)
          m->parts[i] = m->parts[--m->n];
        return;
      }
  if (m->n < KQ_MIX_MAX && n > 0)
    m->parts[m->n++] = (KqMixPart){ class_index, (float)n };
}

int
kq_load_band (int64_t used, int64_t whole)
{
  if (whole <= 0 || used * 2 < whole)
    return 0;
  return used * 5 < whole * 4 ? 1 : 2;
}

static double
prior_of (const KqInterference *f, uint16_t other, int band)
{
  const KqCell *c = &f->prior[other][band];
  double weight = c->evidence / (c->evidence + 4);
  return weight * c->effect
         + (1 - weight) * default_effect[band]
               * (f->low_prior[other] ? SERVICE_PRIOR_FACTOR : 1);
}

double
kq_interference_pair (const KqInterference *f, uint16_t victim, uint16_t other, int band)
{
  const KqCell *c = &f->cells[victim][other][band];
  double weight = c->evidence / (c->evidence + 1);
  if (c->evidence <= 0)
    return prior_of (f, other, band);
  return weight * c->effect + (1 - weight) * prior_of (f, other, band);
}

double
kq_interference_sum (const KqInterference *f, uint16_t victim, const KqMix *others,
                     int band)
{
  double sum = 0;
  for (int i = 0; i < others->n; i++)
    sum += others->parts[i].n
           * kq_interference_pair (f, victim, others->parts[i].class_index, band);
  return sum;
}

static void
decay (KqCell *c, KqTime now)
{
  if (c->evidence > 0 && now > c->at)
    c->evidence *= (float)exp2 (-(double)(now - c->at) / (double)EVIDENCE_HALF_LIFE);
  c->at = now;
}

static void
update_cell (KqInterference *f, uint16_t victim, const KqMixPart *p, int band,
             double share, KqTime now)
{
  KqCell *c = &f->cells[victim][p->class_index][band];
  KqCell *prior = &f->prior[p->class_index][band];
  double gain;
  if (c->evidence <= 0)
    c->effect = (float)prior_of (f, p->class_index, band);
  decay (c, now);
  decay (prior, now);
  gain = fmax (GAIN_MAX / (1 + 0.2 * c->evidence), GAIN_MIN);
  c->effect = (float)fmin (fmax (c->effect + gain * share, 0), EFFECT_MAX);
  c->evidence = fminf (c->evidence + fminf (p->n, 1), EVIDENCE_MAX);
  if (prior->evidence <= 0)
    prior->effect = (float)(default_effect[band]
                            * (f->low_prior[p->class_index] ? SERVICE_PRIOR_FACTOR : 1));
  prior->effect += (float)PRIOR_GAIN * (c->effect - prior->effect);
  prior->evidence = fminf (prior->evidence + 0.2F, EVIDENCE_MAX);
}

void
kq_interference_learn (KqInterference *f, uint16_t victim, const KqMix *others, int band,
                       double slowdown, KqTime now)
{
  double norm = 0;
  double error = fmax (slowdown, 1) - 1 - kq_interference_sum (f, victim, others, band);
  error = fmin (fmax (error, -ERROR_MAX), ERROR_MAX);
  for (int i = 0; i < others->n; i++)
    norm += others->parts[i].n * others->parts[i].n;
  for (int i = 0; i < others->n; i++)
    update_cell (f, victim, &others->parts[i], band, error * others->parts[i].n / norm,
                 now);
}
