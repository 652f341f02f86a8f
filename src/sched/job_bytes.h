#ifndef KQ_SCHED_JOB_BYTES_H
#define KQ_SCHED_JOB_BYTES_H

/* job_bytes: the memory that the leader holds for jobs, as a sum over all.
 *
 * What a job takes has little to do with the length of its submission: a short one may
 * have 20,000 tasks, or 100,000 times that have all come. Two rules keep the sum under
 * KqSchedConfig.job_bytes_max. Further times of a job aren't begun while its occurrences
 * take more than a part of it, or all jobs one half, unless none is under way. And nodes
 * refuse new jobs that would take more than a part of what is free: the largest first. */

#include "steps/spec.h"

#include <stddef.h>

typedef struct KqSched KqSched;
typedef struct KqJob KqJob;
typedef struct KqOccurrence KqOccurrence;

/* What a job takes with one occurrence. stored: the length of its stored form. */
size_t kq_job_bytes (const KqSpec *spec, size_t stored);
/* Whether a new job of that size is to be refused. free: see kq_sched_job_bytes_free. */
bool kq_job_bytes_refuse (size_t job, int64_t free);
/* Counts a job that was added, and an occurrence that was added or is about to be freed.
 */
void kq_job_bytes_add_job (KqSched *s, KqJob *j);
void kq_job_bytes_add_occurrence (KqJob *j);
void kq_job_bytes_drop_occurrence (KqJob *j);
/* The job is about to be freed; its occurrences have been dropped. */
void kq_job_bytes_drop_job (KqJob *j);
/* Whether another occurrence of the job may be begun. */
bool kq_job_bytes_has_room (const KqSched *s, const KqJob *j);

#endif
