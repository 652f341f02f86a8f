#include "fleet/waves.h"

#include "bench/sched_fixture.h"
#include "election/election.h"
#include "fleet/keys.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "bench/kv_no_leases.h"

#define EPOCH 5
#define WRITES_MAX 4
/* More than the delay after a failed write. */
#define PAUSE (400 * KQ_MS)

typedef struct
{
  KqKvCallback cb;
  bool checks_record;
  uint64_t record_revision; /* expected by the write */
  bool completed;           /* the wave's status in the write */
} Write;

/* Fake store: holds the writes until the test has them carried out. */
static struct
{
  Write writes[WRITES_MAX];
  int n_writes;
  KqKvCallback list;
  uint64_t revision;
  uint64_t leader_revision;
  uint64_t record_revision; /* 0: the key doesn't exist */
  bool completed;           /* the wave's status as stored */
  int deposed;
} store;

void
kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb)
{
  Write *w = &store.writes[store.n_writes++];
  (void)kv;
  (void)timeout_ms;
  assert_true (store.n_writes <= WRITES_MAX);
  *w = (Write){ .cb = cb };
  for (size_t i = 0; i < t->n_checks; i++)
    if (kq_str_eq (t->checks[i].key, KQ_STR (KQ_KEY_WAVES)))
      {
        w->checks_record = true;
        w->record_revision = t->checks[i].revision;
      }
  for (size_t i = 0; i < t->n_puts; i++)
    if (kq_str_has_prefix (t->puts[i].key, KQ_STR ("status/wave/")))
      w->completed = strstr (t->puts[i].value.ptr, "completed") != NULL;
}

void
kq_kv_range (KqKv *kv, KqStr prefix, KqStr after, int answer_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)after;
  (void)answer_ms;
  store.list = cb;
}

/* Not called here: defined so that the linker doesn't take the real store. */

void
kq_kv_get (KqKv *kv, KqStr key, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)key;
  (void)timeout_ms;
  (void)cb;
  fail ();
}

void
kq_kv_watch (KqKv *kv, KqStr prefix, uint64_t after, int wait_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)after;
  (void)wait_ms;
  (void)cb;
  fail ();
}

/* Carries the write out if its conditions hold; returns whether they do. */
static bool
carry_out (const Write *w)
{
  if (store.leader_revision != EPOCH
      || (w->checks_record && w->record_revision != store.record_revision))
    return false;
  store.record_revision = ++store.revision;
  store.completed = w->completed;
  return true;
}

static void
answer (const Write *w, KqKvResult result, KqTime now)
{
  KqKvItem items[2]
      = { { .key = kq_leader_key, .revision = store.leader_revision },
          { .key = KQ_STR (KQ_KEY_WAVES), .revision = store.record_revision } };
  KqKvReply r = { .result = result, .revision = store.revision, .items = items };
  r.n_items = result == KQ_KV_CONFLICT ? 2 : 0;
  w->cb.done (w->cb.arg, &r, now);
}

static void
carry_out_and_answer (const Write *w, KqTime now)
{
  answer (w, carry_out (w) ? KQ_KV_OK : KQ_KV_CONFLICT, now);
}

static void
on_changed (void *arg)
{
  (void)arg;
}

static void
on_deposed (void *arg, const char *why, KqTime now)
{
  (void)arg;
  (void)why;
  (void)now;
  store.deposed++;
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
}

static KqWaves *
new_waves (KqLoop *loop, KqSchedFixture *d)
{
  KqWavesConfig c = { .loop = loop,
                      .sched = d->sched,
                      .epoch = EPOCH,
                      .changed = on_changed,
                      .deposed = on_deposed,
                      .answered = on_answered };
  memset (&store, 0, sizeof store);
  d->store_down = true; /* the fixture doesn't write the record: the tests do */
  store.revision = 100;
  store.leader_revision = EPOCH;
  return kq_waves_new (&c);
}

static void
free_waves (KqWaves *w, KqLoop *loop)
{
  KqKvReply none = { .result = KQ_KV_UNKNOWN };
  kq_waves_free (w);
  store.list.done (store.list.arg, &none, 0);
  kq_loop_free (loop);
}

/* Guards against a wave that stays running for ever in what operators see, and against a
 * host that goes down twice: an earlier write of the waves' state, whose answer was lost,
 * is carried out after a newer one. */
static void
test_late_write_does_not_replace_a_newer_one (void **state)
{
  KqSchedFixture *d = *state;
  KqLoop *loop = kq_loop_new ();
  KqWaves *w = new_waves (loop, d);
  kq_sched_fixture_request_wave_of (d, 1, "h0");
  kq_waves_write (w, d->now);
  assert_int_equal (store.n_writes, 1);
  answer (&store.writes[0], KQ_KV_UNKNOWN, d->now);

  kq_sched_fixture_run (d, 5 * KQ_SEC);
  assert_int_equal (d->hosts_down, 0);
  kq_waves_write (w, d->now); /* names the host */
  assert_int_equal (store.n_writes, 2);
  carry_out_and_answer (&store.writes[1], d->now);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->hosts_down, 1);
  kq_sched_maintenance_ended (d->sched, 1, KQ_STR ("h0"), KQ_MAINTENANCE_OK, d->now);
  kq_sched_fixture_run (d, KQ_SEC);
  kq_waves_write (w, d->now);
  assert_int_equal (store.n_writes, 3);
  assert_true (store.writes[2].completed);
  carry_out_and_answer (&store.writes[2], d->now);
  assert_true (store.completed);

  assert_false (carry_out (&store.writes[0]));
  assert_true (store.completed);
  free_waves (w, loop);
}

/* Guards against a leader that never writes the waves' state because it doesn't know the
 * revision that another write has left: it writes again, and goes on leading. */
static void
test_write_is_repeated_with_the_present_revision (void **state)
{
  KqSchedFixture *d = *state;
  KqLoop *loop = kq_loop_new ();
  KqWaves *w = new_waves (loop, d);
  store.record_revision = 50; /* written by an earlier leader */
  kq_sched_fixture_request_wave_of (d, 1, "h0");
  kq_waves_write (w, d->now);
  carry_out_and_answer (&store.writes[0], d->now);
  kq_waves_write (w, d->now + PAUSE);
  assert_int_equal (store.n_writes, 2);
  carry_out_and_answer (&store.writes[1], d->now);
  assert_int_equal (store.record_revision, store.revision);
  assert_false (kq_sched_waves_pending (d->sched));
  assert_int_equal (store.deposed, 0);

  store.leader_revision = EPOCH + 1;
  kq_sched_fixture_request_wave_of (d, 2, "h0");
  kq_waves_write (w, d->now + 2 * PAUSE);
  carry_out_and_answer (&store.writes[store.n_writes - 1], d->now);
  assert_int_equal (store.deposed, 1);
  free_waves (w, loop);
}

/* Guards against a host taken down beside those of the next leader: this leader was
 * suspended while it drained the host, and another one has been elected meanwhile. */
static void
test_leader_that_wakes_takes_no_host_down (void **state)
{
  KqSchedFixture *d = *state;
  KqLoop *loop = kq_loop_new ();
  KqWaves *w = new_waves (loop, d);
  kq_sched_fixture_run (d, 5 * KQ_SEC);
  kq_sched_fixture_request_wave_of (d, 1, "h0");
  kq_waves_write (w, d->now);
  carry_out_and_answer (&store.writes[0], d->now);
  store.leader_revision = EPOCH + 1;
  d->now += 4 * KQ_SEC;
  kq_sched_fixture_run (d, KQ_SEC);
  kq_waves_write (w, d->now);
  assert_int_equal (store.n_writes, 2);
  carry_out_and_answer (&store.writes[1], d->now);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (store.deposed, 1);
  assert_int_equal (d->hosts_down, 0);
  free_waves (w, loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_late_write_does_not_replace_a_newer_one,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_write_is_repeated_with_the_present_revision,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_leader_that_wakes_takes_no_host_down,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
