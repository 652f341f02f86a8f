#ifndef KQ_CTL_ACCOUNT_H
#define KQ_CTL_ACCOUNT_H

/* account: sums the nodes' counts of requests and jobs and checks that they balance.
 * Private to src/ctl. `answers` is the result of kq_ctl_get_all. Rows are arrays that the
 * caller frees. */

#include "ctl/ctl.h"

/* A row per service; "balanced": taken = ended in any way + in flight. */
json_t *kq_account_requests (const json_t *answers);
/* A row per shard; "balanced": accepted = queued + running + ended. */
json_t *kq_account_jobs (const json_t *answers);
/* Whether every row is balanced. */
bool kq_account_balanced (const json_t *rows);

#endif
