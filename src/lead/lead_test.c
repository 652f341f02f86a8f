#include "base/log.h"
#include "lead/lead.h"
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

/* A store in memory in the port's place: calls are answered from the loop, and can be
 * left without an answer. */

typedef enum
{
  GET,
  RANGE,
  WATCH,
  TXN,
  LEASE,
  KEEP,
  END
} Sort;

typedef struct
{
  Sort sort;
  KqKvCallback cb;
  KqTime due;
  char *key;
  uint64_t after;
  uint64_t lease;
  KqBuf put; /* of a txn: the lead's record */
  bool conditions_hold;
} Pending;

static struct
{
  KqLoop *loop;
  GPtrArray *calls;
  uint64_t revision;
  uint64_t lead_revision; /* 0: vacant */
  KqBuf lead;
  uint64_t changed_at; /* revision of the last change of the lead */
  uint64_t term_revision;
  char term[24];
  uint64_t next_lease;
  bool lose_txn;    /* carried out, not answered */
  bool lease_ended; /* renewals are told so */
  int keeps;        /* renewals asked for */
  int term_reads;
  bool slow_keeps; /* they aren't answered for long */
  bool silent;
  bool hold_watch;         /* changes aren't told for now */
  uint64_t gone_untold;    /* revision of a deletion that was held back; 0: none */
  uint64_t lease_given_up; /* the last lease that was ended by a call; 0: none */
} fake;

static Pending *
add (Sort sort, KqKvCallback cb, KqTime wait)
{
  Pending *p = kq_alloc (sizeof *p);
  p->sort = sort;
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
  add (GET, cb, KQ_MS)->key = kq_str_dup (key);
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
  p->conditions_hold = t->checks[0].revision == fake.lead_revision
                       && t->checks[1].revision == fake.term_revision;
  if (!p->conditions_hold)
    return;
  fake.revision++;
  fake.lead_revision = fake.term_revision = fake.changed_at = fake.revision;
  kq_buf_clear (&fake.lead);
  kq_buf_add_str (&fake.lead, t->puts[0].value);
  snprintf (fake.term, sizeof fake.term, "%.*s", KQ_STR_ARG (t->puts[1].value));
}

void
kq_kv_lease (KqKv *kv, int64_t ttl_ms, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)ttl_ms;
  (void)timeout_ms;
  add (LEASE, cb, KQ_MS)->lease = ++fake.next_lease;
}

void
kq_kv_keep (KqKv *kv, uint64_t lease, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  fake.keeps++;
  add (KEEP, cb, fake.slow_keeps ? 60 * KQ_SEC : KQ_MS)->lease = lease;
}

void
kq_kv_lease_end (KqKv *kv, uint64_t lease, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  add (END, cb, KQ_MS);
  fake.lease_given_up = lease;
  fake.lead_revision = 0;
  fake.changed_at = ++fake.revision;
  if (fake.hold_watch)
    fake.gone_untold = fake.revision;
}

static void
answer (Pending *p)
{
  KqKvItem lead = { kq_lead_key, kq_buf_str (&fake.lead), fake.lead_revision, 1, false };
  KqKvItem gone = { kq_lead_key, KQ_STR (""), fake.changed_at, 0, true };
  KqKvItem both[2];
  KqKvItem term
      = { KQ_STR ("kq/term"), kq_str (fake.term), fake.term_revision, 0, false };
  KqKvReply r = { .revision = fake.revision, .sent_at = kq_time_now () - KQ_MS };
  switch (p->sort)
    {
    case GET:
      if (strcmp (p->key, "kq/term") == 0)
        r.items = &term;
      else
        r.items = &lead;
      r.n_items = r.items->revision > 0;
      r.result = r.n_items > 0 ? KQ_KV_OK : KQ_KV_NOT_FOUND;
      break;
    case RANGE:
      r.items = &lead;
      r.n_items = fake.lead_revision > 0;
      break;
    case WATCH:
      r.items = fake.lead_revision > 0 ? &lead : &gone;
      r.n_items = fake.changed_at > p->after;
      if (fake.gone_untold > p->after)
        {
          both[0] = gone;
          both[0].revision = fake.gone_untold;
          both[1] = lead;
          r.items = both;
          r.n_items = 2;
          fake.gone_untold = 0;
        }
      break;
    case TXN:
      r.result = !p->conditions_hold ? KQ_KV_CONFLICT
                 : fake.lose_txn     ? KQ_KV_UNKNOWN
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
  if (fake.silent)
    r = (KqKvReply){ .result = KQ_KV_UNKNOWN };
  p->cb.done (p->cb.arg, &r, kq_time_now ());
}

static bool
due (const Pending *p)
{
  if (p->sort == WATCH && fake.hold_watch)
    return false;
  return kq_time_now () >= p->due || (p->sort == WATCH && fake.changed_at > p->after);
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
  KqLead *lead;
  KqCounters *counters;
  ev_timer tick;
  uint64_t epoch;
  uint32_t term;
  int elected;
  int lost;
} Rig;

static void
on_changed (void *arg, const KqLeadRecord *r, KqTime now)
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
  KqLeadConfig c = { .arg = r,
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
  kq_buf_reserve (&fake.lead, 64);
  r->counters = c.counters = kq_counters_new ();
  ev_timer_init (&r->tick, on_tick, 0.002, 0.002);
  ev_timer_start (kq_loop_ev (fake.loop), &r->tick);
  r->lead = kq_lead_new (&c);
  *state = r;
  return 0;
}

static int
tear_down (void **state)
{
  Rig *r = *state;
  kq_lead_free (r->lead);
  ev_timer_stop (kq_loop_ev (fake.loop), &r->tick);
  for (guint i = 0; i < fake.calls->len; i++)
    {
      Pending *p = g_ptr_array_index (fake.calls, i);
      KqKvReply gone = { .result = KQ_KV_UNKNOWN };
      if (p->sort == RANGE || p->sort == WATCH)
        p->cb.done (p->cb.arg, &gone, kq_time_now ()); /* the watch frees itself */
      else
        free (p->cb.arg);
      free (p->key);
      free (p);
    }
  g_ptr_array_free (fake.calls, TRUE);
  kq_buf_free (&fake.lead);
  kq_counters_free (r->counters);
  kq_loop_free (fake.loop);
  free (r);
  return 0;
}

static void
test_vacant_lead_is_taken (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (r->epoch, fake.lead_revision);
  assert_int_equal (r->term, 1);
  assert_true (kq_lead_valid_until (r->lead) > kq_time_now ());
}

/* The node never learns that it leads, and the others wait for a leader that does
 * nothing. Its write is carried out, the answer is lost; reading the record back tells.
 */
static void
test_lost_answer_to_the_write (void **state)
{
  Rig *r = *state;
  fake.lose_txn = true;
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (r->epoch, fake.lead_revision);
}

static void
test_lapsed_lease_ends_the_lead (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  fake.lease_ended = true;
  assert_true (run_until (&r->lost, 1));
  assert_int_equal (kq_lead_valid_until (r->lead), 0);
}

/* Two leaders: the store takes the key away although the lease lives, and nothing but the
 * watch shows it. */
static void
test_key_taken_away_ends_the_lead (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  fake.lead_revision = 0;
  fake.changed_at = ++fake.revision;
  assert_true (run_until (&r->lost, 1));
  assert_true (run_until (&r->elected, 2));
  assert_int_equal (r->term, 2);
}

/* A leader on a full link loses the lead: its renewals wait for each other's answers. */
static void
test_renewals_dont_wait_for_answers (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  fake.slow_keeps = true;
  fake.keeps = 0;
  assert_true (run_until (&fake.keeps, 3));
}

/* A store that answers nobody must not end the lead by itself: whether to go on is
 * decided by what other nodes say (fleet/fleet.c). */
static void
test_silent_store_leaves_the_lead_open (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  fake.silent = true;
  assert_false (run_until (&r->lost, 1));
  assert_true (kq_lead_is_us (r->lead));
  assert_true (kq_lead_valid_until (r->lead) < kq_time_now ());
}

/* Nobody leads for as long as a lease lasts: a leader takes the end of its earlier lead,
 * which its watch tells late, for the end of this one. */
static void
test_late_word_of_an_earlier_end (void **state)
{
  Rig *r = *state;
  assert_true (run_until (&r->elected, 1));
  assert_false (run_until (&r->lost, 1)); /* the watch has told of it */
  fake.hold_watch = true;
  kq_lead_resign (r->lead, "in doubt", true, kq_time_now ());
  assert_true (run_until (&r->elected, 2));
  assert_int_equal (r->lost, 1);
  fake.hold_watch = false;
  assert_false (run_until (&r->lost, 2));
  assert_true (kq_lead_is_us (r->lead));
}

/* A leader at that address holds the lead by lease 77, which doesn't end by itself.
 * term 0: it is of the version that doesn't tell. */
static void
hold_lead (const char *address, uint64_t term)
{
  KqPacker p;
  kq_buf_clear (&fake.lead);
  kq_packer_init (&p, &fake.lead);
  kq_pack_array (&p, term > 0 ? 4 : 3);
  kq_pack_str (&p, KQ_STR ("n1"));
  kq_pack_str (&p, kq_str (address));
  kq_pack_u64 (&p, 77);
  if (term > 0)
    kq_pack_u64 (&p, term);
  fake.lead_revision = fake.term_revision = fake.changed_at = ++fake.revision;
  snprintf (fake.term, sizeof fake.term, "%llu",
            (unsigned long long)(term > 0 ? term : 6));
}

static void
vacate_lead (void)
{
  fake.lead_revision = 0;
  fake.changed_at = ++fake.revision;
}

/* Nobody leads for the time of one call more: with a store that takes 0.2 s a call an
 * election takes 0.6 s. */
static void
test_term_is_known_by_the_record (void **state)
{
  Rig *r = *state;
  hold_lead ("127.0.0.1:2", 4);
  assert_false (run_until (&r->elected, 1));
  vacate_lead ();
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (r->term, 5);
  assert_int_equal (fake.term_reads, 0);
}

static void
test_term_is_read_after_a_leader_of_an_earlier_version (void **state)
{
  Rig *r = *state;
  hold_lead ("127.0.0.1:2", 0);
  assert_false (run_until (&r->elected, 1));
  vacate_lead ();
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (r->term, 7);
  assert_int_equal (fake.term_reads, 1);
}

/* Run numbers of two leaders are the same: the term is older than it seems. */
static void
test_term_that_has_changed_is_read (void **state)
{
  Rig *r = *state;
  hold_lead ("127.0.0.1:2", 4);
  assert_false (run_until (&r->elected, 1));
  vacate_lead ();
  fake.term_revision = ++fake.revision;
  snprintf (fake.term, sizeof fake.term, "9");
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (r->term, 10);
  assert_int_equal (fake.term_reads, 1);
}

/* Nobody leads for as long as a dead leader's lease lasts, though its process is back. */
static void
test_restarted_leader_gives_up_its_old_lease (void **state)
{
  Rig *r = *state;
  hold_lead ("127.0.0.1:1", 4);
  assert_true (run_until (&r->elected, 1));
  assert_int_equal (fake.lease_given_up, 77);
}

/* Two leaders: a node at another address with our name may be alive. */
static void
test_lease_of_another_address_stands (void **state)
{
  Rig *r = *state;
  hold_lead ("127.0.0.1:2", 4);
  assert_false (run_until (&r->elected, 1));
  assert_int_equal (fake.lease_given_up, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_vacant_lead_is_taken, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_lost_answer_to_the_write, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_lapsed_lease_ends_the_lead, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_key_taken_away_ends_the_lead, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_renewals_dont_wait_for_answers, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_silent_store_leaves_the_lead_open, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_late_word_of_an_earlier_end, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_term_is_known_by_the_record, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_term_is_read_after_a_leader_of_an_earlier_version, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_term_that_has_changed_is_read, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_restarted_leader_gives_up_its_old_lease, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_lease_of_another_address_stands, set_up,
                                     tear_down)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
