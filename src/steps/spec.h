#ifndef KQ_STEPS_SPEC_H
#define KQ_STEPS_SPEC_H

/* spec: a job as submitted by a client account, and its stored form.
 *
 * A job consists of steps, a step of a number of equal tasks. A step may start when all
 * tasks of the steps that it depends on have completed. A timed job runs all its steps
 * several times; each time is an occurrence. */

#include "base/result.h"
#include "base/str.h"

#include <stdint.h>

/* Limits on accepted jobs, so that one job can't exhaust a node's memory. */
#define KQ_SPEC_STEPS_MAX 256
#define KQ_SPEC_TASKS_MAX 20000        /* over all steps of one occurrence */
#define KQ_SPEC_TEXT_MAX 4000          /* bytes of the text passed to each task */
#define KQ_SPEC_OCCURRENCES_MAX 100000 /* occurrences of a timed job */
#define KQ_SPEC_ID_MAX 40              /* bytes of the job's id */

typedef struct
{
  int32_t width; /* number of tasks */
  int32_t cpu_milli;
  int32_t mem_mb;
  int32_t gpus;
  int32_t estimate_ms; /* rough duration of one task; 0: unknown */
  int32_t *after;      /* numbers of the earlier steps that it depends on */
  int32_t n_after;
  bool checkpoints; /* its tasks save checkpoints and can resume from them */
  bool gang;        /* its tasks make progress only while all of them run */
  bool one_rack;    /* slow when its tasks are spread over racks */
  bool speculative; /* a second run of a task may be started; the first to end counts */
  bool lasting;     /* runs until the job is cancelled; restarted however it ends */
  bool filling;     /* its cpu isn't reserved: it uses what others leave unused */
  int32_t per_runner_max;  /* most tasks of the step on one runner; 0: no limit */
  int32_t max_unavailable; /* lasting: no task is stopped for maintenance while this many
                        are down; -1: no limit */
  int32_t target_ms;       /* serving: bound on the tail latency; 0: none */
  KqStr label;             /* required label of the runner; "": none */
  KqStr rack;              /* rack of its data; "": any */
  KqStr image; /* program that the tasks run; tasks of one image behave alike */
} KqStep;

typedef struct
{
  KqStr id;
  KqStr queue;
  KqStr service;           /* the job runs on the runners of this service */
  KqStr text;              /* passed to each task unchanged */
  int32_t priority;        /* 0 is the highest */
  int32_t attempts;        /* the job fails when one of its tasks has failed this often */
  int32_t stretch_percent; /* the objective is this percentage of the critical path ... */
  int32_t slo_ms;          /* ... plus this */
  bool advised;            /* starts need a ticket of the advice service */
  int64_t accepted_ms;     /* Unix time */
  int64_t first_ms;        /* Unix time at which occurrence 0 is due */
  int64_t interval_ms;     /* time between the due times of two occurrences */
  int32_t n_occurrences;   /* number of occurrences; 0: one, due at acceptance */
  KqStep *steps;
  int32_t n_steps;
} KqSpec;

/* Whether a job may have that id: it isn't empty or too long. */
bool kq_spec_id_is_valid (KqStr id);
/* Checks a job. Returns KQ_OK with *why NULL, or KQ_ERR_JOB_BAD with *why set to a static
 * text. */
KqResult kq_spec_check (const KqSpec *s, const char **why);
/* Returns the estimated duration of the longest chain of dependent steps, in ms. */
int64_t kq_spec_critical_path_ms (const KqSpec *s);
/* Returns the time within which an occurrence should complete, in ms from acceptance or
 * from when it is due. */
int64_t kq_spec_objective_ms (const KqSpec *s);
int32_t kq_spec_occurrences (const KqSpec *s); /* number of occurrences, at least 1 */
bool kq_spec_lasting (const KqSpec *s);        /* whether some step is lasting */

/* Appends the job's stored form to out. */
void kq_spec_pack (const KqSpec *s, KqBuf *out);
/* Decodes and checks a stored job. The strings of `out` point into `bytes`; its steps are
 * allocated, and the caller frees them with kq_spec_clear. Returns false if the job is
 * invalid; then there is nothing to free. */
bool kq_spec_unpack (KqStr bytes, KqSpec *out);
void kq_spec_clear (KqSpec *s);

#endif
