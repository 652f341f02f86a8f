#ifndef KQ_STANDIN_PLATFORM_RUNNER_H
#define KQ_STANDIN_PLATFORM_RUNNER_H

/* platform_runner: a runner of the users' platform, and a ledger over all runners that
 * notices what must never happen.
 *
 * A task's text tells what it does: "ms=300" runs so long, "ms=0" lasts; "fail=2" makes
 * the task of index 2 fail each time. */

#include "platform_kv.h"

typedef struct KqPlatformLedger KqPlatformLedger;
typedef struct KqPlatformRunner KqPlatformRunner;

KqPlatformLedger *kq_platform_ledger_new (void);
/* {"breaches":N,"first":"...","starts":N,"done":N} */
json_t *kq_platform_ledger_json (const KqPlatformLedger *l);
/* Whether some task of the job has ever started. */
bool kq_platform_ledger_started (const KqPlatformLedger *l, const char *job);
/* Tasks of the job that run now; of its steps, all that have ended as done. */
int kq_platform_ledger_running (const KqPlatformLedger *l, const char *job);
int kq_platform_ledger_done (const KqPlatformLedger *l, const char *job);

typedef struct
{
  int number; /* its id follows from it */
  int port;   /* 0: the kernel's */
  int cpu_milli;
  int64_t clock_ms; /* its steady clock at the start of each life */
} KqPlatformRunnerConfig;

/* kv: where it registers; NULL: nowhere. */
KqPlatformRunner *kq_platform_runner_new (KqLoop *loop, KqPlatformKv *kv,
                                          KqPlatformLedger *l,
                                          const KqPlatformRunnerConfig *c);
/* Dies without a word and stays away, or comes back in a new life. */
void kq_platform_runner_crash (KqPlatformRunner *r);
void kq_platform_runner_rise (KqPlatformRunner *r);

#endif
