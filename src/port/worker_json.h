#ifndef KQ_PORT_WORKER_JSON_H
#define KQ_PORT_WORKER_JSON_H

/* worker_json: worker calls and their answers as the JSON of docs/PLATFORM.md, both ways:
 * the port writes calls and reads answers, the stand-in the other way round. */

#include "port/worker.h"

/* The last part of the call's path, and back; false when there is no such call. */
const char *kq_worker_call_name (KqWorkerCallKind kind);
bool kq_worker_call_kind (KqStr name, KqWorkerCallKind *out);
/* The request's body; freed with free (). */
char *kq_worker_call_json (const KqWorkerCall *c);
/* Reads a request's body; its acks are freed by the caller, also after false. */
bool kq_worker_call_read (KqStr text, KqWorkerCallKind kind, KqWorkerCall *c);
/* An answer's body; freed with free (). The result OK is status 200, others are 409. */
char *kq_worker_answer_json (const KqWorkerReply *r);
/* Reads an answer to the call; ok: it was carried out. Fills the fields of *r that come
 * from the worker (the others are the caller's) and returns its result. An answer whose
 * kind, token or epoch isn't the call's is KQ_ERR_PLATFORM_FORMAT. */
KqResult kq_worker_answer_read (KqStr text, bool ok, const KqWorkerCall *c,
                                KqWorkerReply *r);
void kq_worker_answer_free (KqWorkerReply *r);

#endif
