#ifndef KQ_REQUEST_REQUEST_COUNTS_H
#define KQ_REQUEST_REQUEST_COUNTS_H

/* request counts: the requests of each service by how they ended: answered, refused,
 * unknown or abandoned, or still in flight.
 *
 * The entry node keeps these counts. At the end of each request an assertion checks that
 * they add up to the requests accepted: this finds a request that ends without an
 * outcome. */

#include "base/result.h"
#include "base/str.h"

#include <jansson.h>

typedef enum
{
  KQ_END_ANSWERED,  /* the caller got the complete answer */
  KQ_END_REFUSED,   /* the caller was told "not run" */
  KQ_END_UNKNOWN,   /* it was told "outcome unknown", or its answer was cut short */
  KQ_END_ABANDONED, /* the caller left first */
  KQ_END_KINDS
} KqRequestEnd;

typedef struct KqRequestCounts KqRequestCounts;

KqRequestCounts *kq_request_counts_new (void);
void kq_request_counts_free (KqRequestCounts *a);
/* Counts an accepted request for the service. */
void kq_request_counts_accepted (KqRequestCounts *a, KqStr service);
/* Counts the end of a request that kq_request_counts_accepted has counted. */
void kq_request_counts_ended (KqRequestCounts *a, KqStr service, KqRequestEnd end);
/* Returns a new JSON object with the counts of each service, by its name. */
json_t *kq_request_counts_json (const KqRequestCounts *a);
/* Number of accepted requests, of all services, that have not ended. */
uint64_t kq_request_counts_in_flight (const KqRequestCounts *a);

#endif
