#ifndef KQ_BENCH_PLACE_MODEL_H
#define KQ_BENCH_PLACE_MODEL_H

/* place_model: a model of the tasks' actual resource use and interference, for the place
 * bench.
 *
 * It advances in steps of a second. In each, every running task is slowed by its
 * neighbours (an effect by pair of classes, unknown to the scheduler, times a factor by
 * load, times a periodic noise factor) and by overcommitted processors. A worker that
 * runs out of memory kills the task that exceeds its size most. Usage of each task is
 * reported every 10 s, 5 to 30 s late, with 5 percent noise. Declared sizes are wrong by
 * up to ten times, by class. */

#include "job_rig.h"

#define KQ_MODEL_SERVICES 6
#define KQ_MODEL_CLASSES 16 /* the first KQ_MODEL_SERVICES are services */

typedef struct
{
  const char *name;
  size_t workers;
  KqSize worker_size;
  size_t per_rack;
  size_t bad_workers; /* workers that fail every batch task after the warm-up */
  size_t accelerated; /* workers with 4 accelerators each */
  size_t teams;
  size_t services; /* tasks of services */
  double scale;    /* of task sizes */
  double batch_s;  /* mean run time of an undisturbed batch task */
  size_t backlog;  /* jobs of each batch class kept queued */
  double urgent_s; /* seconds between urgent jobs */
  int warm_up_s;   /* seconds before the measurement */
  int measured_s;
} KqDeployment;

typedef struct
{
  KqName name;
  KqSize actual;
  double declared; /* declared size / actual size */
  bool checkpoints;
  double seconds; /* of work; 0: a service, which doesn't end */
} KqModelClass;

typedef struct
{
  KqTime due;
  size_t worker;
  KqTime measured;
  KqUsageReport report;
} KqModelReport;

typedef struct
{
  const KqDeployment *d;
  KqRig rig;
  KqRand rand;
  KqModelClass classes[KQ_MODEL_CLASSES];
  double effect[KQ_MODEL_CLASSES]
               [KQ_MODEL_CLASSES]; /* of the second class on the first */
  double noise[KQ_MODEL_CLASSES];  /* present noise factor of a class's effects */
  KqJobId next_id;
  size_t waiting[KQ_MODEL_CLASSES]; /* jobs that were never started */
  KqModelReport *reports;
  size_t n_reports;
  GHashTable *urgent; /* job -> time of submission */
  bool measuring;
  /* Results. */
  uint64_t slowdowns[1000]; /* seconds of service, by hundredths of slowdown */
  double batch_done;        /* core-seconds of batch progress that wasn't lost */
  double batch_bound;       /* core-seconds that the services leave */
  double lost;              /* core-seconds of progress lost by kills */
  double memory_overruns;   /* worker-seconds out of memory */
  uint64_t killed;
  uint64_t failed;      /* by bad workers */
  uint64_t breaches;    /* worker-seconds with more allocated than the worker has */
  double *urgent_waits; /* seconds */
  size_t n_urgent;
  double quota_error; /* sum over the samples */
  int quota_samples;
  uint64_t evicted_before;
  uint64_t starts;
} KqModel;

void kq_model_init (KqModel *m, const KqDeployment *d, const KqPolicyRow *policy,
                    int place_rule, uint64_t seed);
void kq_model_clear (KqModel *m);
/* Runs the warm-up and the measurement; the results are in the model. */
void kq_model_run (KqModel *m);
/* The class's index, from its name. */
int kq_model_class (const KqName *n);

#endif
