#ifndef KQ_FLEET_JOB_WRITES_H
#define KQ_FLEET_JOB_WRITES_H

/* job_writes: the transactions that store a job and its cancellation.
 *
 * The store may carry out a write whose answer was lost seconds later, if its condition
 * still holds. So the conditions of both writes exclude each other:
 *
 *   job           its key doesn't exist, and its cancellation is as the writer knows it:
 *                 absent, or at the given revision
 *   cancellation  the job's key is as the writer has read it: absent, or at the given
 *                 revision
 *
 * A cancellation that is stored without its job thus stops every outstanding write of the
 * job. A later submission of that id is stored beside its cancellation, by a writer that
 * knows of it. */

#include "port/kv.h"

/* Stores a job under its id. cancel_revision: of its cancellation, which was stored
 * before it; 0: there is none. */
void kq_job_write (KqKv *kv, KqStr id, KqStr stored, uint64_t cancel_revision,
                   int timeout_ms, KqKvCallback cb);
/* Whether a kq_job_write with that cancel_revision failed because the job is stored
 * already. If not, its cancellation has changed: *cancel_revision gets its revision; 0:
 * it was deleted. r: a reply with KQ_KV_CONFLICT. */
bool kq_job_write_found_job (const KqKvReply *r, uint64_t *cancel_revision);
/* Stores the cancellation of a job. job_revision: of the job's key; 0: the job isn't
 * stored. */
void kq_cancel_write (KqKv *kv, KqStr id, uint64_t job_revision, int timeout_ms,
                      KqKvCallback cb);

#endif
