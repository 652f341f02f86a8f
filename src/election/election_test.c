#include "base/log.h"
#include "election/election.h"
#include "wire/pack.h"

#include <ev.h>
#include <glib.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* An in-memory store behind the port kv. It answers from the loop, or not at all. */

typedef enum
{
  GET,
  RANGE,
  WATCH,
  TXN,
  LEASE,
  KEEP,
  END
} CallKind;

typedef struct
{
  CallKind kind;
  KqKvCallback cb;
  KqTime due;
  char *key;
  uint64_t after;
  uint64_t lease;
  KqBuf put; /* of a txn: the leader's record */
  bool conditions_hold;
} Pending;

static struct
{
  KqLoop *loop;
  GPtrArray *calls;
  uint64_t revision;
  uint64_t leader_revision; /* 0: no leader */
  KqBuf record;             /* the leader's record */
  uint64_t changed_at;      /* revision of the last change of the leader's key */
  uint64_t term_revision;
  char term[24];
  uint64_t next_lease;
  bool lose_txn_answer; /* transactions are carried out, but not answered */
  bool lease_ended;     /* renewals are answered with NOT_FOUND */
  int renewals;         /* renewals received */
  int term_reads;
  bool slow_renewals; /* renewals are answered after a minute */
  bool unavailable;
  bool refuses;
  bool slow_reads;
  int record_reads;            /* of the leader's record */
  bool hold_watch;             /* watches aren't answered for now */
  uint64_t held_back_deletion; /* revision of a deletion that was held back; 0: none */
  uint64_t revoked_lease;      /* the last lease revoked by a call; 0: none */
} fake;

static Pending *
add (CallKind kind, KqKvCallback cb, KqTime wait)
{
  Pending *p = kq_alloc (sizeof *p);
  p->kind = kind;
  p->cb = cb;
  p->due = kq_time_now () + wait;
  g_ptr_array_add (fake.calls, p);
  return p;
}

void
kq_kv_get (KqKv *kv, KqStr key, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  fake.term_reads += kq_str_eq (key, KQ_STR ("kq/term"));
  fake.record_reads += kq_str_eq (key, kq_leader_key);
  add (GET, cb, fake.slow_reads ? 100 * KQ_MS : KQ_MS)->key = kq_str_dup (key);
}

void
kq_kv_range (KqKv *kv, KqStr prefix, KqStr after, int answer_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)after;
  (void)answer_ms;
  add (RANGE, cb, KQ_MS);
}

void
kq_kv_watch (KqKv *kv, KqStr prefix, uint64_t after, int wait_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  add (WATCH, cb, wait_ms * KQ_MS)->after = after;
}

void
kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb)
{
  Pending *p = add (TXN, cb, KQ_MS);
  (void)kv;
  (void)timeout_ms;
  p->conditions_hold = t->checks[0].revision == fake.leader_revision
                       && t->checks[1].revision == fake.term_revision;
  if (!p->conditions_hold)
    return;
  fake.revision++;
  fake.leader_revision = fake.term_revision = fake.changed_at = fake.revision;
  kq_buf_clear (&fake.record);
  kq_buf_add_str (&fake.record, t->puts[0].value);
  snprintf (fake.term, sizeof fake.term, "%.*s", KQ_STR_ARG (t->puts[1].value));
}

void
kq_kv_lease_grant (KqKv *kv, int64_t ttl_ms, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)ttl_ms;
  (void)timeout_ms;
  add (LEASE, cb, KQ_MS)->lease = ++fake.next_lease;
}

void
kq_kv_lease_renew (KqKv *kv, uint64_t lease, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  fake.renewals++;
  add (KEEP, cb, fake.slow_renewals ? 60 * KQ_SEC : KQ_MS)->lease = lease;
}

void
kq_kv_lease_revoke (KqKv *kv, uint64_t lease, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  add (END, cb, KQ_MS);
  fake.revoked_lease = lease;
  fake.leader_revision = 0;
  fake.changed_at = ++fake.revision;
  if (fake.hold_watch)
    fake.held_back_deletion = fake.revision;
}

static void
answer (Pending *p)
{
  KqKvItem leader
      = { kq_leader_key, kq_buf_str (&fake.record), fake.leader_revision, 1, false };
  KqKvItem gone = { kq_leader_key, KQ_STR (""), fake.changed_at, 0, true };
  KqKvItem both[2];
  KqKvItem term
      = { KQ_STR ("kq/term"), kq_str (fake.term), fake.term_revision, 0, false };
  KqKvReply r = { .revision = fake.revision, .called_at = kq_time_now () - KQ_MS };
  switch (p->kind)
    {
    case GET:
      if (strcmp (p->key, "kq/term") == 0)
        r.items = &term;
      else
        r.items = &leader;
      r.n_items = r.items->revision > 0;
      r.result = r.n_items > 0 ? KQ_KV_OK : KQ_KV_NOT_FOUND;
      break;
    case RANGE:
      r.items = &leader;
      r.n_items = fake.leader_revision > 0;
      break;
    case WATCH:
      r.items = fake.leader_revision > 0 ? &leader : &gone;
      r.n_items = fake.changed_at > p->after;
      if (fake.held_back_deletion > p->after)
        {
          both[0] = gone;
          both[0].revision = fake.held_back_deletion;
          both[1] = leader;
          r.items = both;
          r.n_items = 2;
          fake.held_back_deletion = 0;
        }
      break;
    case TXN:
      r.result = !p->conditions_hold    ? KQ_KV_CONFLICT
                 : fake.lose_txn_answer ? KQ_KV_UNKNOWN
                                        : KQ_KV_OK;
      break;
    case LEASE:
      r.lease = p->lease;
      r.ttl_ms = 400;
      break;
    case KEEP:
      r.result = fake.lease_ended ? KQ_KV_NOT_FOUND : KQ_KV_OK;
      break;
    case END:
      break;
    }
  if (fake.refuses)
    r.result = KQ_KV_REFUSED;
  else if (fake.unavailable)
    r = (KqKvReply){ .result = KQ_KV_UNKNOWN };
  p->cb.done (p->cb.arg, &r, kq_time_now ());
}

static bool
due (const Pending *p)
{
  if (p->kind == WATCH && fake.hold_watch)
    return false;
  return kq_time_now () >= p->due || (p->kind == WATCH && fake.changed_at > p->after);
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)w;
  (void)events;
  for (guint i = 0; i < fake.calls->len; i++)
    {
      Pending *p = g_ptr_array_index (fake.calls, i);
      if (!due (p))
        continue;
      g_ptr_array_remove_index (fake.calls, i);
      i--;
      answer (p);
      free (p->key);
      free (p);
    }
}

typedef struct
{
  KqElection *election;
  KqCounters *counters;
  ev_timer tick;
  uint64_t epoch;
  uint32_t term;
  int elected;
  int lost;
} Rig;

static void
on_changed (void *arg, const KqLeaderRecord *r, KqTime now)
{
  (void)arg;
  (void)r;
  (void)now;
}

static void
on_elected (void *arg, uint64_t epoch, uint32_t term, KqTime now)
{
  Rig *r = arg;
  (void)now;
  r->epoch = epoch;
  r->term = term;
  r->elected++;
}

static void
on_lost (void *arg, const char *why, KqTime now)
{
  Rig *r = arg;
  (void)why;
  (void)now;
  r->lost++;
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
}

static void
stop_loop (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (ev, EVBREAK_ALL);
}

/* Runs until *n reaches `wanted`; false after two seconds. */
static bool
run_until (const int *n, int wanted)
{
  KqTime until = kq_time_now () + 2 * KQ_SEC;
  while (*n < wanted && kq_time_now () < until)
    {
      ev_timer stop;
      ev_timer_init (&stop, stop_loop, 0.01, 0);
      ev_timer_start (kq_loop_ev (fake.loop), &stop);
      kq_loop_run (fake.loop);
    }
  return *n >= wanted;
}

static int
set_up (void **state)
{
  Rig *r = kq_alloc (sizeof *r);
  KqElectionConfig c = { .arg = r,
                         .node = kq_name (KQ_STR ("n1")),
                         .address = kq_name (KQ_STR ("127.0.0.1:1")),
                         .ttl_ms = 400,
                         .changed = on_changed,
                         .elected = on_elected,
                         .lost = on_lost,
                         .answered = on_answered };
  kq_log_set_level (KQ_LOG_ERROR);
  memset (&fake, 0, sizeof fake);
  fake.loop = c.loop = kq_loop_new ();
  fake.calls = g_ptr_array_new ();
  fake.revision = 5;
  kq_buf_reserve (&fake.record, 64);
  r->counters = c.counters = kq_counters_new ();
  ev_timer_init (&r->tick, on_tick, 0.002, 0.002);
  ev_timer_start (kq_loop_ev (fake.loop), &r->tick);
  r->election = kq_election_new (&c);
  *state = r;
  return 0;
}

static int
tear_down (void **state)
{
  Rig *r = *state;
  kq_election_free (r->election);
  ev_timer_stop (kq_loop_ev (fake.loop), &r->tick);
  for (guint i = 0; i < fake.calls->len; i++)
    {
      Pending *p = g_ptr_array_index (fake.calls, i);
      KqKvReply gone = { .result = KQ_KV_UNKNOWN };
      if (p->kind == RANGE || p->kind == WATCH)
        p->cb.done (p->cb.arg, &gone, kq_time_now ()); /* the watch frees itself */
      else
        free (p->cb.arg);
      free (p->key);
      free (p);
    }
  g_ptr_array_free (fake.calls, TRUE);
  kq_buf_free (&fake.record);
  kq_counters_free (r->counters);
  kq_loop_free (fake.loop);
  free (r);
  return 0;
}

static void
test_vacant_leadership_is_taken (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (r->epoch, fake.leader_revision);
  assert_int_equal (r->term, 1);
  assert_true (kq_election_valid_until (r->election) > kq_time_now ());
}

/* Guards against a time without a working leader: the write that makes a node leader is
 * carried out, but its answer is lost, and the node doesn't learn that it leads. It must
 * read the record back. */
static void
test_lost_answer_to_the_write (void **state)
{
  Rig *r = *state;
  fake.lose_txn_answer = true;
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (r->epoch, fake.leader_revision);
}

/* Guards against a time without a leader, for the length of a lease: the write's answer
 * is lost, and while the node reads the record back, its watch reports it. The node takes
 * it for another one's. */
static void
test_own_record_is_reported_while_it_is_read_back (void **state)
{
  Rig *r = *state;
  fake.lose_txn_answer = fake.slow_reads = fake.hold_watch = true;
  assert_true (run_until (&fake.record_reads, 1));
  fake.hold_watch = false;
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (r->epoch, fake.leader_revision);
}

static void
test_expired_lease_ends_leadership (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  fake.lease_ended = true;
  assert_true (run_until (&r->lost, 1));
  assert_int_equal (kq_election_valid_until (r->election), 0);
}

/* Guards against two leaders: the store deletes the leader's key although its lease is
 * still ok, and only the watch shows it. */
static void
test_deleted_key_ends_leadership (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  fake.leader_revision = 0;
  fake.changed_at = ++fake.revision;
  assert_true (run_until (&r->lost, 1));
  assert_true (run_until (&r->elected, 2));
  assert_int_equal (r->term, 2);
}

/* Guards against a leader on a busy link that loses its lease: its renewals wait for each
 * other's answers. */
static void
test_renewals_dont_wait_for_answers (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  fake.slow_renewals = true;
  fake.renewals = 0;
  assert_true (run_until (&fake.renewals, 3));
}

/* Guards against a change of leader whenever the store is unavailable. Whether to resign
 * then depends on what other nodes report (fleet/leader_lease.c). */
static void
test_unavailable_store_keeps_the_leader (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  fake.unavailable = true;
  assert_false (run_until (&r->lost, 1));
  assert_true (kq_election_is_leader (r->election));
  assert_true (kq_election_valid_until (r->election) < kq_time_now ());
}

/* Guards against a leader that doesn't notice, or never forgets, that the store refuses
 * it: whether to resign before the lease ends follows from that. */
static void
test_refused_renewals_are_noted (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (kq_election_refused_since (r->election), 0);
  fake.refuses = true;
  fake.renewals = 0;
  run_until (&fake.renewals, 3);
  assert_true (kq_election_refused_since (r->election) != 0);
  fake.refuses = false;
  fake.renewals = 0;
  run_until (&fake.renewals, 3);
  assert_int_equal (kq_election_refused_since (r->election), 0);
}

static bool
hears_of (Rig *r, uint64_t epoch)
{
  KqLeaderRecord other = { .node = kq_name (KQ_STR ("other")),
                           .address = kq_name (KQ_STR ("127.0.0.1:9")),
                           .epoch = epoch };
  kq_election_hear (r->election, &other, kq_time_now ());
  return kq_election_record (r->election)->epoch == epoch;
}

/* Guards against a node that the store refuses and that knows no leader, and against an
 * outdated word: of a leader whose record is known to be gone, no node would stand for
 * election. */
static void
test_other_nodes_tell_who_leads (void **state)
{
  Rig *r = *state;
  uint64_t first;
  assert_true (run_until (&r->elected, 1));
  first = r->epoch;
  assert_false (hears_of (r, first - 1));
  assert_true (kq_election_is_leader (r->election));
  assert_true (hears_of (r, first + 1));
  assert_int_equal (r->lost, 1);
  assert_true (
      kq_str_eq (kq_election_last_address (r->election), KQ_STR ("127.0.0.1:9")));
  fake.revision += 10;
  fake.leader_revision = 0;
  fake.changed_at = ++fake.revision;
  assert_true (run_until (&r->elected, 2));
  assert_false (hears_of (r, fake.changed_at - 1));
}

/* Guards against a time without a leader, for the length of a lease: the leader has
 * resigned and can't end its lease itself. */
static void
test_lease_of_a_resigned_leader_is_ended (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (kq_election_lease (r->election), fake.next_lease);
  kq_election_end_lease (r->election, 77);
  assert_int_equal (fake.revoked_lease, 77);
}

/* Guards against a time without a leader, for the length of a lease: a leader is elected
 * again, its watch reports late that its earlier record was deleted, and it takes that
 * for the current one. */
static void
test_late_deletion_of_an_earlier_record (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  assert_false (run_until (&r->lost, 1)); /* the watch has reported it */
  fake.hold_watch = true;
  kq_election_resign (r->election, "in doubt", true, kq_time_now ());
  assert_true (run_until (&r->elected, 2));
  assert_int_equal (r->lost, 1);
  fake.hold_watch = false;
  assert_false (run_until (&r->lost, 2));
  assert_true (kq_election_is_leader (r->election));
}

/* Records a leader at that address with lease 77, which doesn't expire. term 0: a record
 * of the earlier version, which has no term. */
static void
set_leader (const char *address, uint64_t term)
{
  KqPacker p;
  kq_buf_clear (&fake.record);
  kq_packer_init (&p, &fake.record);
  kq_pack_array (&p, term > 0 ? 4 : 3);
  kq_pack_str (&p, KQ_STR ("n1"));
  kq_pack_str (&p, kq_str (address));
  kq_pack_u64 (&p, 77);
  if (term > 0)
    kq_pack_u64 (&p, term);
  fake.leader_revision = fake.term_revision = fake.changed_at = ++fake.revision;
  snprintf (fake.term, sizeof fake.term, "%llu",
            (unsigned long long)(term > 0 ? term : 6));
}

static void
delete_leader (void)
{
  fake.leader_revision = 0;
  fake.changed_at = ++fake.revision;
}

/* Guards against an election that takes one call more than it needs, as the term is read
 * although the leader's record has it: with 0.2 s a call an election takes 0.6 s. */
static void
test_term_is_known_by_the_record (void **state)
{
  Rig *r = *state;
  set_leader ("127.0.0.1:2", 4);
  assert_false (run_until (&r->elected, 1));
  delete_leader ();
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (r->term, 5);
  assert_int_equal (fake.term_reads, 0);
}

static void
test_term_is_read_after_a_leader_of_an_earlier_version (void **state)
{
  Rig *r = *state;
  set_leader ("127.0.0.1:2", 0);
  assert_false (run_until (&r->elected, 1));
  delete_leader ();
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (r->term, 7);
  assert_int_equal (fake.term_reads, 1);
}

/* Two leaders use the same run numbers: the term of the last record is outdated, and
 * isn't read again. */
static void
test_term_that_has_changed_is_read (void **state)
{
  Rig *r = *state;
  set_leader ("127.0.0.1:2", 4);
  assert_false (run_until (&r->elected, 1));
  delete_leader ();
  fake.term_revision = ++fake.revision;
  snprintf (fake.term, sizeof fake.term, "9");
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (r->term, 10);
  assert_int_equal (fake.term_reads, 1);
}

/* Guards against a time without a leader, until the lease of a restarted leader's earlier
 * process expires. */
static void
test_restarted_leader_revokes_its_earlier_lease (void **state)
{
  Rig *r = *state;
  set_leader ("127.0.0.1:1", 4);
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (fake.revoked_lease, 77);
}

/* Guards against two leaders: a node revokes the lease of a live node of its own name at
 * another address. */
static void
test_lease_of_another_address_stands (void **state)
{
  Rig *r = *state;
  set_leader ("127.0.0.1:2", 4);
  assert_false (run_until (&r->elected, 1));
  assert_int_equal (fake.revoked_lease, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_vacant_leadership_is_taken, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_lost_answer_to_the_write, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_own_record_is_reported_while_it_is_read_back,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_expired_lease_ends_leadership, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_deleted_key_ends_leadership, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_renewals_dont_wait_for_answers, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_other_nodes_tell_who_leads, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_refused_renewals_are_noted, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_lease_of_a_resigned_leader_is_ended, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_unavailable_store_keeps_the_leader, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_late_deletion_of_an_earlier_record, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_term_is_known_by_the_record, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_term_is_read_after_a_leader_of_an_earlier_version, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_term_that_has_changed_is_read, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_restarted_leader_revokes_its_earlier_lease,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_lease_of_another_address_stands, set_up,
                                     tear_down)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
