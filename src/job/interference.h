#ifndef KQ_JOB_INTERFERENCE_H
#define KQ_JOB_INTERFERENCE_H

/* interference: learns how much a task of one class slows down a task of another class
 * on the same worker.
 *
 * Which classes disturb each other isn't declared anywhere; it changes with the worker's
 * load and shows only in slowdowns reported 5 to 30 s late. Without estimates services
 * are placed beside the batch tasks that disturb them most, and nothing tells which task
 * to throttle or move.
 *
 * A cell (victim, other, load band) holds the slowdown that one such neighbour adds. A
 * report is compared with the sum over the neighbours that ran at the time it is about,
 * and the difference is divided among them in proportion (normalised least mean
 * squares). A cell without evidence has the value of the prior: the effect of the other
 * class on victims in general. Evidence has a half-life of half an hour, so that a class
 * that changed is learned again. No task is placed just to learn: where there is no
 * evidence, placements follow the prior, and their reports are the evidence. */

#include "base/time.h"
#include "job/classes.h"

#include <stdbool.h>
#include <stddef.h>

/* Number of load bands; see kq_load_band. */
#define KQ_BANDS 3

/* How many tasks of a class run on a worker; a throttled one counts as a fraction. */
typedef struct
{
  uint16_t class_index;
  float n;
} KqMixPart;

#define KQ_MIX_MAX 16 /* classes in one mix */

/* The tasks that run on one worker, by class. */
typedef struct
{
  KqMixPart parts[KQ_MIX_MAX];
  int n;
} KqMix;

typedef struct
{
  float effect;   /* slowdown added by one neighbour; 0.1: a tenth slower */
  float evidence; /* number of reports, decayed by age up to time `at` */
  KqTime at;
} KqCell;

typedef struct
{
  KqCell cells[KQ_CLASSES_MAX][KQ_CLASSES_MAX][KQ_BANDS];
  KqCell prior[KQ_CLASSES_MAX][KQ_BANDS]; /* by the neighbour's class */
  bool low_prior[KQ_CLASSES_MAX];         /* classes of services have a lower prior */
} KqInterference;

/* Adds n tasks of the class; a negative n removes tasks. A new class is ignored if the
 * mix has KQ_MIX_MAX classes already. */
void kq_mix_add (KqMix *m, uint16_t class_index, double n);
/* The load band of a worker of whose `whole` processors `used` are allocated: 0 below
 * half, 1 below four fifths, otherwise 2. */
int kq_load_band (int64_t used, int64_t whole);
/* Learns from one report: a task of class `victim` that ran beside `others` had this
 * `slowdown` (1.0: undisturbed). */
void kq_interference_learn (KqInterference *f, uint16_t victim, const KqMix *others,
                            int band, double slowdown, KqTime now);
/* The slowdown that one task of `other` adds to one of `victim`. */
double kq_interference_pair (const KqInterference *f, uint16_t victim, uint16_t other,
                             int band);
/* The slowdown that all tasks of `others` together add to one of `victim`. */
double kq_interference_sum (const KqInterference *f, uint16_t victim, const KqMix *others,
                            int band);

#endif
