#include "fleet/leader_load.h"

#include "base/log.h"
#include "fleet/keys.h"

#include <ev.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "bench/kv_no_leases.h"

/* Fake store: records the outstanding call of each kind under the jobs' prefix, and
 * answers all others at once as empty. */
static struct
{
  KqKvCallback range;
  KqKvCallback watch;
  KqKvCallback other;
  int cancels; /* items passed to the leader */
  int jobs;
  bool loaded;
} fake;

void
kq_kv_get (KqKv *kv, KqStr key, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)key;
  (void)timeout_ms;
  fake.other = cb;
}

void
kq_kv_range (KqKv *kv, KqStr prefix, KqStr after, int answer_ms, KqKvCallback cb)
{
  (void)kv;
  (void)after;
  (void)answer_ms;
  if (kq_str_eq (prefix, KQ_STR (KQ_KEY_IN)))
    fake.range = cb;
  else
    fake.other = cb;
}

void
kq_kv_watch (KqKv *kv, KqStr prefix, uint64_t after, int wait_ms, KqKvCallback cb)
{
  (void)kv;
  (void)after;
  (void)wait_ms;
  if (kq_str_eq (prefix, KQ_STR (KQ_KEY_IN)))
    fake.watch = cb;
}

/* Not called: defined so that the linker doesn't take the real store. */

void
kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)t;
  (void)timeout_ms;
  (void)cb;
  fail ();
}

static void
answer (KqKvCallback *cb, KqKvResult result, const KqKvItem *items, size_t n, bool more)
{
  KqKvReply r = { .result = result, .items = items, .n_items = n, .more = more };
  KqKvCallback c = *cb;
  cb->done = NULL;
  c.done (c.arg, &r, kq_time_now ());
}

static void
on_item (void *arg, const KqAgentItem *i, KqTime now)
{
  (void)arg;
  (void)now;
  fake.jobs += i->kind == KQ_AGENT_ITEM_JOB;
  fake.cancels += i->kind == KQ_AGENT_ITEM_CANCEL;
  /* The job must come behind its cancellation. */
  assert_true (fake.jobs <= fake.cancels);
}

static void
on_changed (void *arg)
{
  (void)arg;
}

static void
on_loaded (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
  fake.loaded = true;
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
}

static void
on_freed (void *arg)
{
  (void)arg;
}

/* Guards against a cancelled job that starts: a leader lists jobs and cancellations
 * again, as the store has forgotten what it missed, and reads the page with the job
 * first. */
static void
test_listed_again_job_comes_behind_its_cancellation (void **state)
{
  KqLoop *loop = kq_loop_new ();
  KqCounters *counters = kq_counters_new ();
  KqLeaderLoadConfig c = { .loop = loop,
                           .counters = counters,
                           .item = on_item,
                           .changed = on_changed,
                           .loaded = on_loaded,
                           .answered = on_answered,
                           .freed = on_freed };
  KqLeaderLoad *l = kq_leader_load_new (&c);
  KqKvItem job
      = { .key = KQ_STR ("kq/in/j/j1"), .value = KQ_STR ("stored"), .revision = 8 };
  KqKvItem cancel
      = { .key = KQ_STR ("kq/in/x/j1"), .value = KQ_STR ("1"), .revision = 7 };
  (void)state;
  memset (&fake, 0, sizeof fake);
  kq_log_set_level (KQ_LOG_ERROR);
  kq_leader_load_start (l);
  while (fake.range.done == NULL)
    answer (&fake.other, KQ_KV_NOT_FOUND, NULL, 0, false);
  answer (&fake.range, KQ_KV_OK, NULL, 0, false);
  while (!fake.loaded)
    answer (&fake.other, KQ_KV_OK, NULL, 0, false);
  answer (&fake.watch, KQ_KV_COMPACTED, NULL, 0, false);
  answer (&fake.range, KQ_KV_OK, &job, 1, true);
  assert_int_equal (fake.jobs, 0);
  answer (&fake.range, KQ_KV_OK, &cancel, 1, false);
  assert_int_equal (fake.cancels, 1);
  assert_int_equal (fake.jobs, 1);
  answer (&fake.watch, KQ_KV_COMPACTED, NULL, 0, false);
  job.revision = 9;
  answer (&fake.range, KQ_KV_OK, &job, 1, true);
  kq_leader_load_free (l); /* with a job that is held back */
  answer (&fake.range, KQ_KV_UNKNOWN, NULL, 0, false);
  kq_counters_free (counters);
  kq_loop_free (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_listed_again_job_comes_behind_its_cancellation) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
