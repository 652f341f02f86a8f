#ifndef KQ_PORT_SOURCE_H
#define KQ_PORT_SOURCE_H

/* source: where the operators' configuration and the runners' entries lie in the store,
 * and how they are read. */

#include "port/runner.h"
#include "steps/queues.h"

/* Prefixes of the store's keys to follow. */
KqStr kq_source_config_prefix (void);
KqStr kq_source_runners_prefix (void);

/* A new table from what lies under the configuration's prefix; NULL: the key isn't the
 * configuration, or can't be read (then *bad is set). */
KqQueueTable *kq_source_config (KqStr key, KqStr value, bool *bad);
/* Reads a runner's entry and calls take with it; false: it names no runner to use. *id
 * receives the runner's id in both cases. */
bool kq_source_runner (KqStr key, KqStr value, KqStr *id,
                       void (*take) (void *arg, const KqRunnerEntry *e), void *arg);

#endif
