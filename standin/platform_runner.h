#ifndef KQ_STANDIN_PLATFORM_RUNNER_H
#define KQ_STANDIN_PLATFORM_RUNNER_H

/* platform_runner: a stand-in for a runner of the platform, and a ledger.
 *
 * The ledger records starts and ends of tasks on all runners of the process and counts
 * breaches of invariants: two runs of a task at a time, a start after the task was done,
 * more attempts than allowed. Each breach is a line "breach: RULE: TASK" on stderr.
 *
 * A job's spec says what its tasks do: "ms=300" runs for 300 ms, "ms=0" until stopped;
 * "fail=2" makes the tasks of index 2 fail at each attempt; "advised=1" makes runners
 * refuse a start without a valid ticket. */

#include "platform_kv.h"

typedef struct KqPlatformLedger KqPlatformLedger;
typedef struct KqPlatformRunner KqPlatformRunner;

KqPlatformLedger *kq_platform_ledger_new (void);
/* {"breaches":N,"first":"...","starts":N,"done":N,"tickets_refused":N}; first: the first
 * breach, or "". */
json_t *kq_platform_ledger_json (const KqPlatformLedger *l);
/* Whether some task of the job has ever started. */
bool kq_platform_ledger_started (const KqPlatformLedger *l, const char *job);
/* How many tasks of the job run now, and how many have ended as done, over all steps. */
int kq_platform_ledger_running (const KqPlatformLedger *l, const char *job);
int kq_platform_ledger_done (const KqPlatformLedger *l, const char *job);

typedef struct
{
  int number; /* the runner's id is "i-" and number + 1 in hexadecimal */
  int port;   /* 0: chosen by the kernel */
  int cpu_milli;
  int64_t clock_ms; /* its monotonic clock at each start */
} KqPlatformRunnerConfig;

/* kv: the store where it registers; NULL: it doesn't register. kv and l must outlive the
 * runner, which lives as long as the process. Prints "runner PORT". */
KqPlatformRunner *kq_platform_runner_new (KqLoop *loop, KqPlatformKv *kv,
                                          KqPlatformLedger *l,
                                          const KqPlatformRunnerConfig *c);
/* Ends the runner as a kill of its process would: closes the port, loses runs and ends
 * and removes its entry from the store. Restart opens the same port with a new start
 * time and without the earlier state; a runner that is up only writes its entry again. */
void kq_platform_runner_crash (KqPlatformRunner *r);
void kq_platform_runner_restart (KqPlatformRunner *r);
/* The runner's lists have the fields of this JSON object instead of their own, and the
 * rows of its lists besides their own; text that isn't an object ends that. */
void kq_platform_runner_add_rows (KqPlatformRunner *r, KqStr text);
const char *kq_platform_runner_id (const KqPlatformRunner *r);
/* Issues a ticket for the step ("JOB.OCCURRENCE.STEP"), valid for valid_ms until the
 * runner crashes. */
void kq_platform_runner_issue_ticket (KqPlatformRunner *r, const char *step,
                                      int64_t valid_ms, char out[160]);
/* Writes an entry of another writer under the runner's key: fields are missing or of
 * another type, by the seed, and half of them have the values of the other runner. */
void kq_platform_runner_foreign_entry (KqPlatformRunner *r, const KqPlatformRunner *other,
                                       uint64_t seed);

#endif
