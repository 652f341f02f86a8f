#ifndef KQ_REQUEST_PROBLEM_H
#define KQ_REQUEST_PROBLEM_H

/* problem: error answers to callers and operators, as application/problem+json (RFC 7807)
 * with the number and name of the result, and whether the request ran. */

#include "http/server.h"

/* Ends the exchange with an error answer. retry_after: 0: the answer has no retry time.
 * id: the request's id for `kumquatctl explain`; "": none. detail: text for the caller;
 * "": the general meaning of the result. */
void kq_problem_reply (KqHttpExchange *x, KqResult code, KqRan ran, KqTime retry_after,
                       KqStr id, KqStr detail);

#endif
