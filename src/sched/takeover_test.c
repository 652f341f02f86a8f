#include "base/log.h"
#include "sched/sched.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define RUNNERS 400
#define FEW_RUNNERS 6
#define AGENTS 8

/* A new leader and its runners after all hosts went down. */
typedef struct
{
  KqSched *sched;
  KqCounters *counters;
  KqTime now;
  int n_runners;
  int takes;             /* TAKE orders so far */
  int agent_of[RUNNERS]; /* -1: none */
  uint64_t assignment[RUNNERS];
  bool listed[RUNNERS]; /* since the runner was assigned */
} Fleet;

static int
runner_of (KqStr id)
{
  int64_t n = -1;
  kq_str_to_i64 (kq_str_n (id.ptr + 1, id.len - 1), &n);
  return (int)n;
}

static void
on_order (void *arg, int agent, const KqOrder *o)
{
  Fleet *f = arg;
  int n = runner_of (o->runner);
  if (o->kind == KQ_ORDER_TAKE)
    {
      f->takes++;
      f->agent_of[n] = agent;
      f->assignment[n] = o->u.take.assignment;
      f->listed[n] = false;
    }
}

static int
count_runners_of (const Fleet *f, int agent)
{
  int n = 0;
  for (int i = 0; i < f->n_runners; i++)
    n += f->agent_of[i] == agent;
  return n;
}

static int
add_agent (Fleet *f, const char *name, int share_milli)
{
  KqAgentInfo info = { .name = kq_name (kq_str (name)), .share_milli = share_milli };
  return kq_sched_agent_up (f->sched, &info, f->now);
}

static void
store_lists (Fleet *f)
{
  KqBuf list = { 0 };
  if (kq_sched_used_runners_pack (f->sched, &list))
    {
      kq_sched_used_agents_pack (f->sched, &list);
      kq_sched_used_runners_stored (f->sched);
    }
  kq_buf_free (&list);
}

static void
run (Fleet *f, KqTime span)
{
  for (KqTime end = f->now + span; f->now < end; f->now += 10 * KQ_MS)
    {
      store_lists (f);
      kq_sched_run (f->sched, f->now, f->now / KQ_MS);
    }
}

/* Sends the first list of all runners that have been assigned to an agent. */
static void
send_first_lists (Fleet *f)
{
  for (int i = 0; i < f->n_runners; i++)
    {
      char id[16];
      KqRunnerList l
          = { .started_ms = 1, .lease_left_ms = 5000, .assignment = f->assignment[i] };
      if (f->agent_of[i] < 0 || f->listed[i])
        continue;
      f->listed[i] = true;
      snprintf (id, sizeof id, "r%d", i);
      kq_sched_list (f->sched, f->agent_of[i], kq_str (id), &l, f->now);
    }
}

static int
set_up_runners (void **state, int n_runners)
{
  Fleet *f = kq_alloc (sizeof *f);
  KqSchedConfig c = { .epoch = 5,
                      .term = 2,
                      .lease_ms = 5000,
                      .renew_without_leader_ms = 4000,
                      .keep_ms = 60000,
                      .order = on_order,
                      .arg = f };
  kq_log_set_level (KQ_LOG_ERROR);
  f->n_runners = n_runners;
  f->now = 100 * KQ_SEC;
  c.counters = f->counters = kq_counters_new ();
  f->sched = kq_sched_new (&c, f->now);
  for (int i = 0; i < f->n_runners; i++)
    {
      char id[16];
      KqRunnerEntry e = { .service = KQ_STR ("desk"),
                          .address = KQ_STR ("127.0.0.1:1"),
                          .failure_domain = KQ_STR ("d"),
                          .room = { 4000, 16000, 0 } };
      snprintf (id, sizeof id, "r%d", i);
      e.id = kq_str (id);
      f->agent_of[i] = -1;
      kq_sched_entry (f->sched, &e, f->now);
    }
  kq_sched_loaded (f->sched, f->now);
  store_lists (f);
  *state = f;
  return 0;
}

static int
set_up (void **state)
{
  return set_up_runners (state, RUNNERS);
}

static int
set_up_few (void **state)
{
  return set_up_runners (state, FEW_RUNNERS);
}

static int
tear_down (void **state)
{
  Fleet *f = *state;
  kq_sched_free (f->sched);
  kq_counters_free (f->counters);
  free (f);
  return 0;
}

/* Guards against leases that expire because the first agent back is assigned all runners,
 * more than it can renew. */
static void
test_first_agent_back_does_not_get_all_runners (void **state)
{
  Fleet *f = *state;
  int weak = add_agent (f, "weak", 70);
  int agents[AGENTS];
  run (f, KQ_SEC);
  assert_true (count_runners_of (f, weak) > 0);
  assert_true (count_runners_of (f, weak) < RUNNERS / 10);
  for (int i = 0; i < AGENTS; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "n%d", i);
      agents[i] = add_agent (f, name, 500);
    }
  for (int i = 0; i < 10; i++)
    {
      run (f, 50 * KQ_MS);
      send_first_lists (f);
    }
  assert_int_equal (count_runners_of (f, -1), 0);
  for (int i = 0; i < AGENTS; i++)
    assert_in_range (count_runners_of (f, agents[i]), 30, 70);
}

/* Guards against a leader that loses its own lease because the lists of all runners
 * arrive at once and fill its link. */
static void
test_runners_are_assigned_in_batches (void **state)
{
  Fleet *f = *state;
  for (int i = 0; i < AGENTS; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "n%d", i);
      add_agent (f, name, 1000);
    }
  run (f, KQ_SEC);
  assert_in_range (RUNNERS - count_runners_of (f, -1), 64, 128);
  send_first_lists (f);
  run (f, 10 * KQ_MS); /* the next batch is assigned at once */
  assert_true (RUNNERS - count_runners_of (f, -1) > 128);
}

/* Guards against runners that go back and forth for ever: with more agents than runners a
 * strong one has more than its share as soon as it has a few, and so has the next one
 * that gets them. Each move is two orders, and a lease to wait for. */
static void
test_few_runners_stay_with_many_agents (void **state)
{
  Fleet *f = *state;
  for (int i = 0; i < 100; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "n%d", i);
      add_agent (f, name, i < 2 ? 1000 : 120);
    }
  for (int i = 0; i < 50; i++)
    {
      run (f, 100 * KQ_MS);
      send_first_lists (f);
    }
  assert_int_equal (count_runners_of (f, -1), 0);
  assert_in_range (f->takes, FEW_RUNNERS, 2 * FEW_RUNNERS);
}

/* Guards against unreachable runners that keep the others from being assigned. */
static void
test_unreachable_runners_dont_delay_the_others (void **state)
{
  Fleet *f = *state;
  for (int i = 0; i < AGENTS; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "n%d", i);
      add_agent (f, name, 1000);
    }
  run (f, 300 * KQ_MS);
  for (int i = 0; i < f->n_runners; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "r%d", i);
      if (f->agent_of[i] >= 0)
        kq_sched_unreached (f->sched, f->agent_of[i], kq_str (id), f->assignment[i], 5000,
                            f->now);
    }
  run (f, 10 * KQ_MS);
  assert_true (RUNNERS - count_runners_of (f, -1) > 128);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_first_agent_back_does_not_get_all_runners,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_runners_are_assigned_in_batches, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_few_runners_stay_with_many_agents, set_up_few,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_unreachable_runners_dont_delay_the_others,
                                     set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
