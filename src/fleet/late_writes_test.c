#include "base/log.h"
#include "fleet/accepts.h"
#include "fleet/front.h"
#include "fleet/keys.h"
#include "fleet/leader.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bench/kv_model.h"

/* Random submissions, cancellations and questions at three nodes, whose store loses
 * answers and carries writes out late, while leaders follow one another. Nodes, leaders
 * and the writing of jobs by a leader are the real code; the store is a model. There are
 * no runners: a job counts as startable when the leader knows it and doesn't count it as
 * cancelled. */

#define NODES 3
#define JOBS 480
#define TICK_S 0.004
/* A client is done with its job after this time; each job begins at its own. */
#define CLIENT_TIME (700 * KQ_MS)
#define BEGIN_TIME (3 * KQ_SEC)
/* Longer than CLIENT_TIME, the longest retry and KQ_KV_MODEL_LATE_MAX_MS together. */
#define KEEP_MS 4000
#define LEADER_TIME (1400 * KQ_MS)
/* A leader that doesn't hear of a cancellation from a node reads it within so many ticks,
 * about a second. Counted in ticks, as the process may be held up. */
#define READ_TICKS 250

typedef struct
{
  char id[16];
  KqTime begins_at;
  int submissions;
  int refusals;            /* submissions answered with KQ_REPLY_REFUSED */
  int cancellations;       /* sent */
  KqTime accepted_at;      /* 0: never */
  uint64_t cancelled_tick; /* when a cancellation was first acknowledged; 0: never */
  bool cancelled_early;    /* it wasn't in the store then */
} Job;

typedef struct
{
  Job *job;
  KqFrontKind kind;
  KqTime sent_at;
} Request;

static struct
{
  KqLoop *loop;
  KqCounters *counters;
  KqFrontHandler *nodes[NODES];
  KqAccepts *accepts;
  KqLeader *leader;
  KqTime leader_since;
  uint64_t leader_tick; /* when the present leader began */
  uint64_t ticks;
  Job jobs[JOBS];
  KqTime began_at;
} sim;

/* The link: a peer is the front end of a node. */

void
kq_link_send_peer (KqPeer *p, const KqAgentItem *i)
{
  kq_front_handler_answer ((KqFrontHandler *)p, i->u.answer.call, i->u.answer.value,
                           kq_time_now ());
}

int
kq_peer_agent (const KqPeer *p)
{
  (void)p;
  return -1;
}

void
kq_peer_set_agent (KqPeer *p, int agent)
{
  (void)p;
  (void)agent;
}

/* Leaders. */

static void
on_deposed (void *arg, const char *why, KqTime now)
{
  (void)arg;
  (void)why;
  (void)now;
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
}

static void
on_failed (void *arg, KqTime sent_at)
{
  (void)arg;
  (void)sent_at;
}

static void
notify_leader (void *arg, const KqAgentItem *i, KqTime now)
{
  (void)arg;
  if (sim.leader != NULL && !chance (30))
    kq_leader_handle_item (sim.leader, NULL, i, now);
}

static void
on_accepted (void *arg, KqStr stored, uint64_t revision, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_JOB };
  i.u.job.stored = stored;
  i.u.job.revision = revision;
  notify_leader (arg, &i, now);
}

static void
change_leader (KqTime now)
{
  KqLeaderConfig c = { .loop = sim.loop,
                       .term = 1,
                       .lease_ms = 5000,
                       .renew_without_leader_ms = 4000,
                       .keep_ms = KEEP_MS,
                       .counters = sim.counters,
                       .deposed = on_deposed,
                       .answered = on_answered };
  kq_leader_free (sim.leader);
  c.epoch = store_revision () + 1;
  add_change (KQ_STR ("kq/lead"), KQ_STR ("leader"), false, c.epoch);
  sim.leader = kq_leader_new (&c, now);
  sim.leader_since = now;
  sim.leader_tick = sim.ticks;
}

/* Nodes. */

static const KqQueueTable *
queue_table (void *arg)
{
  static KqQueue queue = { .prefix = { "/jobs/", 6 }, .attempts = 1 };
  static const KqQueueTable t = { .queues = &queue, .n_queues = 1 };
  (void)arg;
  return &t;
}

static KqReachState
store_state (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
  return chance (10) ? KQ_REACH_DOWN : chance (10) ? KQ_REACH_SUSPECT : KQ_REACH_UP;
}

static bool
store_reached_by_leader (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
  return sim.leader != NULL && !chance (20);
}

static bool
query_leader (void *arg, const KqAgentItem *query, KqTime now)
{
  KqFrontHandler *node = sim.nodes[GPOINTER_TO_INT (arg)];
  if (sim.leader == NULL || chance (10))
    return false;
  if (query->u.ask.what == KQ_ASK_ACCEPT)
    kq_accepts_write (sim.accepts, (KqPeer *)node, query->u.ask.call, query->u.ask.about,
                      now);
  else
    kq_front_handler_answer (
        node, query->u.ask.call,
        kq_leader_query (sim.leader, query->u.ask.what, query->u.ask.about, now, NULL),
        now);
  return true;
}

/* Clients. */

static bool
has_key (const char *prefix, const Job *j)
{
  KqStr key = kq_key_of (prefix, kq_str (j->id));
  bool found = current (key) != NULL;
  free ((char *)key.ptr);
  return found;
}

static void
on_submit_reply (Job *j, const KqFrontReply *r, KqTime now)
{
  if (r->kind == KQ_REPLY_REFUSED)
    j->refusals++;
  else if (r->kind == KQ_REPLY_DONE)
    {
      assert_true (has_key (KQ_KEY_JOB, j));
      if (j->accepted_at == 0)
        j->accepted_at = now;
    }
}

static void
on_cancel_reply (Job *j, const KqFrontReply *r)
{
  if ((r->kind != KQ_REPLY_DONE && r->kind != KQ_REPLY_NO_JOB) || j->cancelled_tick != 0)
    return;
  j->cancelled_tick = sim.ticks;
  j->cancelled_early = !has_key (KQ_KEY_JOB, j);
}

static void
on_state_reply (const Request *q, const KqFrontReply *r)
{
  const Job *j = q->job;
  if (r->kind == KQ_REPLY_NO_JOB)
    assert_false (j->accepted_at != 0 && j->accepted_at < q->sent_at
                  && j->cancellations == 0);
  else if (r->kind == KQ_REPLY_STATE && r->state == KQ_JOB_CANCELLED)
    assert_true (j->cancellations > 0 && j->submissions > 0);
}

void
kq_front_exchange_reply (KqFrontExchange *x, const KqFrontReply *r)
{
  Request *q = (Request *)x;
  KqTime now = kq_time_now ();
  if (chance (10)) /* the client's connection has broken */
    {
      free (q);
      return;
    }
  switch (q->kind)
    {
    case KQ_FRONT_SUBMIT:
      on_submit_reply (q->job, r, now);
      break;
    case KQ_FRONT_CANCEL:
      on_cancel_reply (q->job, r);
      break;
    case KQ_FRONT_READ:
      on_state_reply (q, r);
      break;
    }
  free (q);
}

static void
send_request (Job *j, KqFrontKind kind, KqTime now)
{
  KqStep step = { .width = 1, .cpu_milli = 100, .max_unavailable = -1 };
  KqSpec spec = { .steps = &step, .n_steps = 1 };
  KqFrontRequest r = { .kind = kind, .spec = &spec, .deadline_ms = 1500 };
  Request *q = kq_alloc (sizeof *q);
  char path[32];
  snprintf (path, sizeof path, "/jobs/%s", j->id);
  r.path = kq_str (path);
  q->job = j;
  q->kind = kind;
  q->sent_at = now;
  j->submissions += kind == KQ_FRONT_SUBMIT;
  j->cancellations += kind == KQ_FRONT_CANCEL;
  kq_front_handler_request (sim.nodes[kq_rand_below (&kq_kv_model.rand, NODES)],
                            (KqFrontExchange *)q, &r, now);
}

static void
act (Job *j, KqTime now)
{
  uint64_t n = kq_rand_below (&kq_kv_model.rand, 100);
  if (j->submissions == 0)
    {
      if (n < 90)
        send_request (j, KQ_FRONT_SUBMIT, now);
      else
        send_request (j, KQ_FRONT_CANCEL, now);
    }
  else
    send_request (j,
                  n < 35   ? KQ_FRONT_SUBMIT
                  : n < 55 ? KQ_FRONT_CANCEL
                           : KQ_FRONT_READ,
                  now);
}

/* A job whose cancellation was acknowledged before it was stored never becomes startable;
 * one that was stored is cancelled once the leader has read that. */
static void
check_job (const Job *j, KqTime now)
{
  KqJobState state = kq_sched_state (kq_leader_sched (sim.leader), kq_str (j->id));
  uint64_t allowed = j->cancelled_early ? 0 : READ_TICKS;
  if (j->cancelled_tick == 0)
    return;
  if (sim.ticks - j->cancelled_tick > allowed && sim.ticks - sim.leader_tick > allowed)
    assert_true (state == KQ_JOB_UNKNOWN || state == KQ_JOB_CANCELLED
                 || kq_leader_query (sim.leader, KQ_ASK_STATE, kq_str (j->id), now, NULL)
                        < 0);
  if (has_key (KQ_KEY_JOB, j))
    assert_true (has_key (KQ_KEY_CANCEL, j));
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  KqTime now = kq_time_now ();
  (void)events;
  (void)w;
  sim.ticks++;
  for (int i = 0; i < JOBS; i++)
    {
      Job *j = &sim.jobs[i];
      if (now >= j->begins_at && now - j->begins_at < CLIENT_TIME
          && kq_rand_below (&kq_kv_model.rand, 25) == 0)
        act (j, now);
      check_job (j, now);
    }
  if (!kq_kv_model.quiet && now - sim.leader_since > LEADER_TIME)
    change_leader (now);
  if (now - sim.began_at > BEGIN_TIME + 2 * KQ_SEC)
    kq_kv_model.quiet = true;
  if (now - sim.began_at > BEGIN_TIME + 4 * KQ_SEC + KEEP_MS * KQ_MS)
    ev_break (ev, EVBREAK_ALL);
}

static void
set_up_nodes (void)
{
  KqAcceptsOwner accepts = { NULL, on_accepted, on_answered, NULL };
  for (int i = 0; i < NODES; i++)
    {
      KqFrontHandlerConfig c = { .loop = sim.loop,
                                 .counters = sim.counters,
                                 .arg = GINT_TO_POINTER (i),
                                 .table = queue_table,
                                 .store_state = store_state,
                                 .store_reached_by_leader = store_reached_by_leader,
                                 .query_leader = query_leader,
                                 .notify_leader = notify_leader,
                                 .answered = on_answered,
                                 .failed = on_failed };
      sim.nodes[i] = kq_front_handler_new (&c);
    }
  sim.accepts = kq_accepts_new (NULL, &accepts);
}

static void
check_end (void)
{
  int n_early = 0;
  for (int i = 0; i < JOBS; i++)
    {
      const Job *j = &sim.jobs[i];
      /* Refused by all nodes: it is never stored. */
      if (j->submissions == j->refusals)
        assert_false (has_key (KQ_KEY_JOB, j));
      if (!has_key (KQ_KEY_JOB, j))
        assert_false (has_key (KQ_KEY_CANCEL, j));
      n_early += j->cancelled_early && j->accepted_at != 0;
    }
  print_message ("%d writes late, of these %d in vain; %d jobs accepted after their "
                 "cancellation\n",
                 kq_kv_model.late, kq_kv_model.late_failed, n_early);
  assert_true (kq_kv_model.late > 50 && kq_kv_model.late_failed > 10 && n_early > 5);
}

static void
play (uint64_t seed)
{
  ev_timer tick;
  memset (&sim, 0, sizeof sim);
  kq_log_set_level (KQ_LOG_ERROR);
  sim.loop = kq_loop_new ();
  kq_kv_model_init (sim.loop, seed);
  sim.counters = kq_counters_new ();
  sim.began_at = kq_time_now ();
  for (int i = 0; i < JOBS; i++)
    {
      snprintf (sim.jobs[i].id, sizeof sim.jobs[i].id, "j%d", i);
      sim.jobs[i].begins_at
          = sim.began_at + (KqTime)kq_rand_below (&kq_kv_model.rand, BEGIN_TIME);
    }
  set_up_nodes ();
  change_leader (sim.began_at);
  ev_timer_init (&tick, on_tick, TICK_S, TICK_S);
  ev_timer_start (kq_loop_ev (sim.loop), &tick);
  kq_loop_run (sim.loop);
  check_end ();
  ev_timer_stop (kq_loop_ev (sim.loop), &tick);
}

/* Guards against a job that may start after its cancellation was acknowledged, that is
 * stored after all its submissions were refused, or that is said not to exist though it
 * was accepted: the store carries out writes whose answers it has lost. */
static void
test_late_writes_make_no_answer_untrue (void **state)
{
  play (*(uint64_t *)*state);
}

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  const struct CMUnitTest tests[]
      = { cmocka_unit_test_prestate (test_late_writes_make_no_answer_untrue, &seed) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
