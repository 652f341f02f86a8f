#ifndef KQ_PORT_SOURCE_H
#define KQ_PORT_SOURCE_H

/* source: where the operators' configuration and the runners' entries lie in the store,
 * and how they are read. */

#include "port/maintenance.h"
#include "port/runner.h"
#include "steps/queues.h"

/* Prefixes of the store's keys to follow. */
KqStr kq_source_config_prefix (void);
KqStr kq_source_runners_prefix (void);

/* A new table from what lies under the configuration's prefix; NULL: the key isn't the
 * configuration, or can't be read (then *bad is set). */
KqQueueTable *kq_source_config (KqStr key, KqStr value, bool *bad);
/* Waves of maintenance: where they lie, and where what has become of them is told. */
KqStr kq_source_waves_prefix (void);
/* Calls take with the wave; false: no wave, or one that can't be read. */
bool kq_source_wave (KqStr key, KqStr value,
                     void (*take) (void *arg, const KqWaveInfo *w), void *arg);
/* What tells that a wave goes on, or is over. The texts are appended. */
void kq_source_wave_state (int64_t number, bool completed, KqBuf *key, KqBuf *value);

/* Reads a runner's entry and calls take with it; false: it names no runner to use. *id
 * receives the runner's id in both cases. */
bool kq_source_runner (KqStr key, KqStr value, KqStr *id,
                       void (*take) (void *arg, const KqRunnerEntry *e), void *arg);

#endif
