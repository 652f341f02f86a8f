#ifndef KQ_STEPS_SPEC_H
#define KQ_STEPS_SPEC_H

/* spec: a job made of steps, as a client account hands it in, and its stored form.
 *
 * A step is a number of equal tasks. A step may begin when all tasks of the steps it
 * depends on are done. A timed job runs its steps several times, each time an occurrence
 * of its own. */

#include "base/result.h"
#include "base/str.h"

#include <stdint.h>

/* Bounds on what is taken in, so that one job can't take a node's memory. */
#define KQ_SPEC_STEPS_MAX 256
#define KQ_SPEC_TASKS_MAX 20000 /* over all steps of one occurrence */
#define KQ_SPEC_TEXT_MAX 4000   /* bytes of the text given to each task */
#define KQ_SPEC_TIMES_MAX 100000
#define KQ_SPEC_ID_MAX 40

typedef struct
{
  int32_t width; /* tasks */
  int32_t cpu_milli;
  int32_t mem_mb;
  int32_t gpus;
  int32_t estimate_ms; /* rough length of one task; 0: not told */
  int32_t *after;      /* numbers of earlier steps */
  int32_t n_after;
  bool checkpoints; /* saves its progress, can resume from it */
  bool gang;        /* works only when all tasks of one run are there */
  bool one_rack;    /* slow when spread over racks */
  bool copies;      /* two runs of one task do no harm; the first end counts */
  bool lasting;     /* runs until the job is cancelled; started anew however it ends */
  bool filling;     /* its cpu isn't reserved: it takes what others leave unused */
  int32_t per_runner_max; /* most tasks of the step on one runner; 0: any */
  int32_t away_most; /* lasting: so many may be away at once by our doing; -1: not told */
  int32_t target_ms; /* serving: the latency tail must stay below; 0: none */
  KqStr label;       /* the runner must carry it; "": any */
  KqStr rack;        /* where the data lies; "": anywhere */
  KqStr image;       /* what the tasks run: tasks of one image behave alike */
} KqStep;

typedef struct
{
  KqStr id;
  KqStr queue;
  KqStr service;           /* whose runners execute it */
  KqStr text;              /* handed to each task unread */
  int32_t priority;        /* 0 comes first */
  int32_t attempts;        /* a task may fail so often; the last failure fails the job */
  int32_t stretch_percent; /* objective: this share of the longest chain of work ... */
  int32_t slo_ms;          /* ... and so much more */
  bool advised;            /* starts need a ticket of the advice service */
  int64_t accepted_ms;     /* Unix time */
  int64_t first_ms;        /* Unix time at which occurrence 0 is due */
  int64_t interval_ms;
  int32_t times; /* occurrences; 0: one, at once */
  KqStep *steps;
  int32_t n_steps;
} KqSpec;

/* KQ_OK, or KQ_ERR_JOB_BAD with *why set to a static text. */
KqResult kq_spec_check (const KqSpec *s, const char **why);
/* Length in ms of the longest chain of steps by the estimates. */
int64_t kq_spec_chain_ms (const KqSpec *s);
/* The objective in ms from acceptance, or from an occurrence's due time. */
int64_t kq_spec_objective_ms (const KqSpec *s);
int32_t kq_spec_occurrences (const KqSpec *s); /* at least 1 */
bool kq_spec_lasting (const KqSpec *s);        /* some step lasts */

void kq_spec_pack (const KqSpec *s, KqBuf *out);
/* The steps are allocated and freed by kq_spec_clear; strings point into `bytes`. False:
 * not such a text, nothing to be freed. */
bool kq_spec_unpack (KqStr bytes, KqSpec *out);
void kq_spec_clear (KqSpec *s);

#endif
