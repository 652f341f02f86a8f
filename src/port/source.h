#ifndef KQ_PORT_SOURCE_H
#define KQ_PORT_SOURCE_H

/* source: names the store's keys for the operators' configuration, cordons, maintenance
 * waves and the runners' entries, and parses their values. */

#include "port/maintenance.h"
#include "port/runner.h"
#include "steps/queues.h"

/* Prefixes of the keys to watch, for the configuration and for the runners' entries. */
KqStr kq_source_config_prefix (void);
KqStr kq_source_runners_prefix (void);

/* Parses the operators' configuration into a new table, owned by the caller. NULL: the
 * key isn't that of the configuration, or the value is invalid (then *bad is set). */
KqQueueTable *kq_source_config (KqStr key, KqStr value, bool *bad);
/* Whether the key is that of a cordon, which exists as long as its key does. *domain
 * receives the failure domain; "": the key names none. */
bool kq_source_cordon (KqStr key, KqStr *domain);
/* The prefix of the maintenance waves that operators request. */
KqStr kq_source_waves_prefix (void);
/* Parses a wave and calls take with it; false: the key or value is not that of a valid
 * wave, and take isn't called. */
bool kq_source_wave (KqStr key, KqStr value,
                     void (*take) (void *arg, const KqWaveInfo *w), void *arg);
/* Appends the key and value that report the state of a wave: in progress or completed. */
void kq_source_wave_state (int64_t number, bool completed, KqBuf *key, KqBuf *value);

/* The id of the runner whose entry has that key. */
KqStr kq_source_runner_id (KqStr key);
/* Parses a runner's entry and calls take with it; false: the entry describes no usable
 * runner, take isn't called, and *bad receives what is wrong, for logs. */
bool kq_source_runner (KqStr key, KqStr value, const char **bad,
                       void (*take) (void *arg, const KqRunnerEntry *e), void *arg);

#endif
