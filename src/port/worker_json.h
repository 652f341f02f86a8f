#ifndef KQ_PORT_WORKER_JSON_H
#define KQ_PORT_WORKER_JSON_H

/* worker_json: encodes and decodes worker calls and their answers as the JSON of
 * docs/PLATFORM.md. The port writes calls and reads answers; the stand-in reads calls and
 * writes answers. */

#include "port/worker.h"

/* The last segment of the path of a call of this kind, and the kind for such a segment
 * (false: there is none). */
const char *kq_worker_call_name (KqWorkerCallKind kind);
bool kq_worker_call_kind (KqStr name, KqWorkerCallKind *out);
/* The request body; freed by free (). */
char *kq_worker_call_json (const KqWorkerCall *c);
/* Parses a request body; false: invalid. The caller frees c->acks in both cases. */
bool kq_worker_call_read (KqStr text, KqWorkerCallKind kind, KqWorkerCall *c);
/* The answer's body; freed by free (). The HTTP status is 200 for KQ_OK, else 409. */
char *kq_worker_answer_json (const KqWorkerReply *r);
/* Parses the answer to the call c; ok: the answer's HTTP status was 200. Fills the fields
 * of *r that come from the worker (not those that repeat the call) and returns the
 * result; KQ_ERR_PLATFORM_FORMAT for an invalid answer, or one whose kind, token or epoch
 * isn't the call's. */
KqResult kq_worker_answer_read (KqStr text, bool ok, const KqWorkerCall *c,
                                KqWorkerReply *r);
void kq_worker_answer_free (KqWorkerReply *r);

#endif
