#ifndef KQ_API_JOBS_HTTP_H
#define KQ_API_JOBS_HTTP_H

/* jobs_http: the HTTP interface for jobs, on the callers' and the operators' address:
 *
 *   POST   /v1/jobs             submits a job; with Idempotency-Key a repeat is safe
 *   GET    /v1/jobs?shard=N&after=ID&limit=N
 *   GET    /v1/jobs/ID          GET /v1/jobs/ID/explain
 *   DELETE /v1/jobs/ID          cancels
 *
 * The body of a POST is a JSON object: team, class, priority (low, normal, high,
 * urgent), cpu_milli, memory_mb, accelerators, run_ms. Missing sizes and run_ms are taken
 * from the table's row of the class; unknown fields are refused.
 * A job's id is 16 hex digits; the first four are the shard's number. */

#include "api/calls.h"
#include "table/table.h"

/* Bytes; a longer body is refused. */
#define KQ_JOB_BODY_MAX (64 * 1024)

/* Whether the path belongs to this interface. */
bool kq_jobs_http_path (KqStr path);
/* Handles a complete request. The node's task determines the shard and its owner. */
void kq_jobs_http_handle (KqCalls *c, KqNodeId self, KqTable *table, KqHttpExchange *x,
                          KqStr body, KqTime now);
/* The value of name=value in a URL's query, without percent-decoding; "" if absent. */
KqStr kq_query_value (KqStr query, const char *name);

#endif
