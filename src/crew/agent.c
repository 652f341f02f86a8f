#include "crew/agent.h"

#include "base/log.h"

#include <ev.h>
#include <glib.h>

#include <stdlib.h>
#include <string.h>

#define PART "agent"
/* A question for the list waits this long for an end, and this part of a lease at most:
 * two that fail must not end it. An answer sooner than needed costs a call. */
#define WAIT_MS 1500
#define WAITS_PER_LEASE 3
/* Where filling tasks run beside serving ones, reports drive the pace. */
#define WATCHED_WAIT_MS 500
/* Ends that were listed are listed again, at once, until they are acknowledged; so the
 * next question waits for that, and this long if it doesn't come (the store may be away).
 * Without the wait there were three questions for each end (37,000 for 11,000 tasks). */
#define ACKNOWLEDGED_WITHIN (200 * KQ_MS)
/* Ends that come close together are fetched with one call. */
#define GATHER (20 * KQ_MS)
#define RETRY (150 * KQ_MS)
/* Over one call's way there and back between regions, with a queue on the link. */
#define CALL_TIMEOUT_MS 900
/* The service takes its time for each runner asked about, and answers in turn. */
#define ADVICE_TIMEOUT_MS 2000
/* So many questions without an answer make a runner silent. */
#define SILENT_AFTER 2
#define TELL_AGAIN KQ_SEC
/* Runners' clocks may be this much slow. */
#define CLOCK_SLOW 0.98

typedef struct
{
  KqCrewAgent *agent;
  char *id;
  char *address;
  uint64_t epoch;
  uint64_t serial; /* of this taking: answers to calls of an earlier one are dropped */
  uint64_t taking; /* the leader's number of it */
  ev_timer next;
  bool asking;
  bool watched;
  uint64_t ends_seen;
  uint64_t ends_told;   /* the highest number listed to us */
  KqTime listed_at;     /* when the last list came */
  uint64_t results;     /* outcomes told */
  int64_t born_ms;      /* of the life that was heard last; 0: never */
  KqTime life_at;       /* when that was first heard, if there was one before it: answers
                           to earlier calls may come from that one */
  int64_t clock_ms;     /* the runner's clock, as last told; -1: never */
  KqTime clock_at;      /* when that was received */
  int64_t lease_end_ms; /* the latest granted, on the runner's clock */
  int failures;         /* questions without an answer, in a row */
  uint64_t halt;        /* nothing is granted before the leader names this; 0: no halt */
  KqTime told_at;       /* last told to be silent */
  bool quiet;           /* nothing runs there */
} Held;

struct KqCrewAgent
{
  KqCrewAgentConfig config;
  GHashTable *held; /* id -> Held */
  uint64_t epoch;
  uint64_t serial;
  KqTime heard_at;
  KqTime counted_at; /* the leader counts us as there then, or later */
  uint64_t *renewals;
  uint64_t *renewals_failed;
};

typedef struct
{
  KqCrewAgent *agent;
  uint64_t serial;
  uint64_t order; /* renewals: results told when the question left */
  KqOrderKind kind;
  uint32_t run;
  char *runner;
  char *task;
} Call;

static void ask (Held *h, KqTime now);

static void
on_next (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  ask (w->data, kq_time_now ());
}

static void
ask_in (Held *h, KqTime wait)
{
  struct ev_loop *ev = kq_loop_ev (h->agent->config.loop);
  ev_timer_stop (ev, &h->next);
  ev_timer_set (&h->next, (double)wait / KQ_SEC, 0);
  ev_timer_start (ev, &h->next);
}

static void
free_held (gpointer p)
{
  Held *h = p;
  ev_timer_stop (kq_loop_ev (h->agent->config.loop), &h->next);
  free (h->id);
  free (h->address);
  free (h);
}

static Call *
new_call (Held *h, KqOrderKind kind, KqStr task, uint32_t run)
{
  Call *c = kq_alloc (sizeof *c);
  c->agent = h->agent;
  c->serial = h->serial;
  c->order = h->results;
  c->kind = kind;
  c->runner = kq_str_dup (kq_str (h->id));
  c->task = kq_str_dup (task);
  c->run = run;
  return c;
}

static void
free_call (Call *c)
{
  free (c->runner);
  free (c->task);
  free (c);
}

/* The taking that a call belongs to; NULL: it is over. */
static Held *
held_of (const Call *c)
{
  Held *h = g_hash_table_lookup (c->agent->held, c->runner);
  return h != NULL && h->serial == c->serial ? h : NULL;
}

static void
tell (Held *h, KqCrewItem *i)
{
  i->runner = kq_str (h->id);
  h->agent->config.notice (h->agent->config.arg, h->epoch, i);
}

/* The runner's clock has at least reached this. */
static int64_t
clock_now (const Held *h, KqTime now)
{
  return h->clock_ms + (int64_t)((double)(now - h->clock_at) / KQ_MS * CLOCK_SLOW);
}

static int64_t
lease_left (const Held *h, KqTime now)
{
  int64_t left;
  if (h->clock_ms < 0)
    return -1;
  left = h->lease_end_ms - clock_now (h, now);
  return left < 0 ? 0 : (int64_t)((double)left / CLOCK_SLOW) + 1;
}

static void
note_clock (Held *h, const KqRunnerReply *r, KqTime now)
{
  bool first = h->clock_ms < 0;
  bool told_born = r->born_ms != 0 && h->born_ms != 0 && r->born_ms != h->born_ms;
  if (r->clock_ms < 0 || (r->born_ms == 0 && r->sent_at < h->life_at))
    return;
  if (!first
      && (told_born || r->clock_ms < clock_now (h, now) - h->agent->config.lease_ms))
    {
      /* A new life: its clock and its ends count anew. An acknowledgement of the earlier
       * life's ends would make it forget ends that nobody has seen. */
      first = true;
      h->ends_seen = 0;
      h->born_ms = 0;
      h->life_at = now;
    }
  if (r->born_ms != 0)
    h->born_ms = r->born_ms;
  if (!first && r->clock_ms < h->clock_ms)
    return; /* overtaken by a newer answer */
  h->clock_ms = r->clock_ms;
  h->clock_at = now;
  /* An agent before us may have granted as much. */
  if (first)
    h->lease_end_ms = r->clock_ms + h->agent->config.lease_ms;
}

static KqRunnerAim
aim (const Held *h, int timeout_ms)
{
  return (KqRunnerAim){ .address = kq_str (h->address),
                        .id = kq_str (h->id),
                        .epoch = h->epoch,
                        .timeout_ms = timeout_ms };
}

/* Beyond this the leader may have given the lease up, however late its words come. */
static bool
counts_on_us (const KqCrewAgent *a, KqTime now)
{
  return now - a->counted_at <= a->config.blind_ms * KQ_MS;
}

/* What is granted now; a later grant never ends sooner. Nothing more is granted to a
 * runner that doesn't answer: it may hear us all the same, and its lease must end some
 * time, or its tasks could never be started elsewhere. Nor before the leader has heard of
 * a runner that has just been taken or was silent: it may count the lease as over. */
static int64_t
grant (Held *h, KqTime now)
{
  int64_t end;
  if (h->clock_ms < 0 || h->failures > 0 || h->halt != 0 || !counts_on_us (h->agent, now))
    return -1;
  end = clock_now (h, now) + h->agent->config.lease_ms;
  if (end > h->lease_end_ms)
    h->lease_end_ms = end;
  return h->lease_end_ms;
}

static void
tell_unreached (Held *h, bool gone, KqTime now)
{
  KqCrewItem i = { .kind = KQ_CREW_UNREACHED };
  if (now - h->told_at < TELL_AGAIN)
    return;
  h->told_at = now;
  h->halt = ++h->agent->serial;
  i.u.unreached.lease_left_ms = lease_left (h, now);
  i.u.unreached.gone = gone;
  i.u.unreached.taking = h->taking;
  tell (h, &i);
}

static void
tell_list (Held *h, const KqRunnerReply *r, uint64_t order, KqTime now)
{
  KqCrewItem i = { .kind = KQ_CREW_LIST };
  i.u.list = (KqRunnerList){ .born_ms = r->born_ms,
                             .lease_left_ms = lease_left (h, now),
                             .order = order,
                             .halt = h->halt,
                             .taking = h->taking,
                             .running = r->running,
                             .n_running = r->n_running,
                             .ended = r->ended,
                             .n_ended = r->n_ended,
                             .ended_cut = r->ended_cut };
  tell (h, &i);
}

/* From a list to the next question; at_once: the last one didn't wait for an end. */
static KqTime
pause_after (const Held *h, bool at_once)
{
  if (h->halt != 0)
    return RETRY;
  if (h->ends_told > h->ends_seen)
    return ACKNOWLEDGED_WITHIN;
  return at_once ? GATHER : 0;
}

static void
on_list (void *arg, const KqRunnerReply *r, KqTime now)
{
  Call *c = arg;
  Held *h = held_of (c);
  KqCrewItem fenced = { .kind = KQ_CREW_FENCED };
  if (h == NULL)
    goto out;
  h->asking = false;
  switch (r->result)
    {
    case KQ_ORDER_OK:
      note_clock (h, r, now);
      if (h->failures >= SILENT_AFTER)
        kq_log (
            KQ_LOG_INFO, PART,
            "Runner answers again. runner=%s failures=%d running=%zu lease_left_ms=%lld",
            h->id, h->failures, r->n_running, (long long)lease_left (h, now));
      h->failures = 0;
      h->told_at = 0;
      h->quiet = r->n_running == 0;
      h->listed_at = now;
      h->ends_told = r->n_ended > 0 ? r->ended[r->n_ended - 1].number : 0;
      tell_list (h, r, c->order, now);
      h = held_of (c);
      if (h != NULL)
        ask_in (h, pause_after (h, c->run == 0));
      break;
    case KQ_ORDER_FENCED:
      kq_log (KQ_LOG_WARN, PART, "Runner has seen a higher epoch. runner=%s epoch=%llu",
              h->id, (unsigned long long)h->epoch);
      tell (h, &fenced);
      g_hash_table_remove (c->agent->held, c->runner);
      break;
    default:
      ++*c->agent->renewals_failed;
      h->failures++;
      if (h->failures == SILENT_AFTER)
        kq_log (KQ_LOG_WARN, PART,
                "Runner doesn't answer. runner=%s result=%s unsent=%d lease_left_ms=%lld",
                h->id, kq_order_result_name (r->result), r->unsent,
                (long long)lease_left (h, now));
      if (h->failures >= SILENT_AFTER || r->result == KQ_ORDER_OTHER_LIFE)
        tell_unreached (h, r->result == KQ_ORDER_OTHER_LIFE, now);
      h = held_of (c);
      if (h != NULL)
        ask_in (h, RETRY);
    }
out:
  free_call (c);
}

static int
wait_ms (const Held *h)
{
  int64_t most = h->agent->config.lease_ms / WAITS_PER_LEASE;
  int wait = h->watched ? WATCHED_WAIT_MS : WAIT_MS;
  return most < wait ? (int)most : wait;
}

static void
ask (Held *h, KqTime now)
{
  KqCrewAgent *a = h->agent;
  KqRunnerAim to;
  Call *c;
  uint64_t seen;
  int wait = wait_ms (h);
  if (h->asking)
    return;
  if (now - a->heard_at > a->config.blind_ms * KQ_MS)
    {
      kq_log (KQ_LOG_WARN, PART, "No leader for too long; not renewing. runner=%s",
              h->id);
      g_hash_table_remove (a->held, h->id);
      return;
    }
  /* The first question, and one after a silence, is answered at once. */
  if (h->clock_ms < 0 || h->failures > 0 || h->halt != 0)
    wait = 0;
  h->asking = true;
  ++*a->renewals;
  to = aim (h, wait + CALL_TIMEOUT_MS);
  c = new_call (h, KQ_ORDER_TAKE, KQ_STR (""), (uint32_t)wait);
  /* A runner that has started anew counts its ends anew: it would forget, by an
   * acknowledgement meant for its earlier life, ends that nobody has seen, and their
   * tasks would run again. Connections of the earlier life end with it, so those that
   * were open when the list came lead to the life that gave it, or nowhere. */
  seen = h->failures > 0 || h->listed_at == 0 ? 0 : h->ends_seen;
  if (seen > 0)
    to.opened_before = h->listed_at;
  kq_runner_renew (a->config.calls, &to, grant (h, now), seen, wait,
                   (KqRunnerCallback){ on_list, c });
}

static void
on_outcome (void *arg, const KqRunnerReply *r, KqTime now)
{
  Call *c = arg;
  Held *h = held_of (c);
  KqCrewItem i = { .kind = KQ_CREW_OUTCOME };
  if (h != NULL)
    {
      note_clock (h, r, now);
      if (r->result == KQ_ORDER_UNHEALTHY)
        kq_log (KQ_LOG_INFO, PART,
                "Order came to nothing. task=%s run=%u runner=%s order=%s unsent=%d "
                "took_ms=%lld",
                c->task, c->run, h->id, kq_order_kind_name (c->kind), r->unsent,
                (long long)((now - r->sent_at) / KQ_MS));
      i.u.outcome = (KqOrderOutcome){ .kind = c->kind,
                                      .task = kq_str (c->task),
                                      .run = c->run,
                                      .result = r->result,
                                      .order = ++h->results,
                                      .taking = h->taking,
                                      .lease_left_ms = lease_left (h, now) };
      tell (h, &i);
    }
  free_call (c);
}

typedef struct
{
  KqCrewAgent *agent;
  uint64_t epoch;
  char *step;
} Question;

static void
tell_advice (KqCrewAgent *a, uint64_t epoch, KqStr step, const KqAdviceReply *r)
{
  KqCrewItem i = { .kind = KQ_CREW_ADVICE };
  i.u.advice.step = step;
  i.u.advice.reply = *r;
  a->config.notice (a->config.arg, epoch, &i);
}

static void
on_advice (void *arg, const KqAdviceReply *r, KqTime now)
{
  Question *q = arg;
  (void)now;
  tell_advice (q->agent, q->epoch, kq_str (q->step), r);
  free (q->step);
  free (q);
}

static void
advise (KqCrewAgent *a, uint64_t epoch, const KqOrder *o)
{
  Question *q;
  if (a->config.advice == NULL)
    {
      KqAdviceReply none = { .result = KQ_ADVICE_UNKNOWN };
      kq_log (KQ_LOG_ERROR, PART, "No advice service in the settings. step=%.*s",
              KQ_STR_ARG (o->u.advise.step));
      tell_advice (a, epoch, o->u.advise.step, &none);
      return;
    }
  q = kq_alloc (sizeof *q);
  q->agent = a;
  q->epoch = epoch;
  q->step = kq_str_dup (o->u.advise.step);
  kq_advice_ask (a->config.advice, o->u.advise.step, o->u.advise.runners,
                 o->u.advise.n_runners, ADVICE_TIMEOUT_MS,
                 (KqAdviceCallback){ on_advice, q });
}

static void
take (KqCrewAgent *a, uint64_t epoch, const KqOrder *o)
{
  Held *h = kq_alloc (sizeof *h);
  Held *old;
  h->agent = a;
  h->id = kq_str_dup (o->runner);
  h->address = kq_str_dup (o->u.take.address);
  h->epoch = epoch;
  h->serial = h->halt = ++a->serial;
  h->taking = o->u.take.taking;
  h->clock_ms = -1;
  ev_timer_init (&h->next, on_next, 0, 0);
  h->next.data = h;
  old = g_hash_table_lookup (a->held, h->id);
  if (old != NULL && strcmp (old->address, h->address) == 0 && old->clock_ms >= 0)
    {
      h->born_ms = old->born_ms;
      h->life_at = old->life_at;
      h->clock_ms = old->clock_ms;
      h->clock_at = old->clock_at;
      h->lease_end_ms = old->lease_end_ms;
    }
  g_hash_table_replace (a->held, h->id, h);
  ask_in (h, 0);
}

static void
start (Held *h, const KqOrder *o, KqTime now)
{
  KqRunnerAim to = aim (h, CALL_TIMEOUT_MS);
  Call *c = new_call (h, KQ_ORDER_START, o->u.start.task, o->u.start.run);
  int64_t end = grant (h, now);
  kq_runner_start (h->agent->config.calls, &to, o->u.start.task, o->u.start.run,
                   o->u.start.text, o->u.start.checkpoint, o->u.start.ticket,
                   end >= 0 ? end : h->lease_end_ms, (KqRunnerCallback){ on_outcome, c });
}

void
kq_crew_agent_order (KqCrewAgent *a, uint64_t epoch, const KqOrder *o, KqTime now)
{
  char id[KQ_NAME_MAX + 1];
  KqRunnerAim to;
  Held *h;
  if (epoch < a->epoch || !kq_str_copy (o->runner, id, sizeof id))
    return;
  kq_crew_agent_heard (a, epoch, now);
  if (o->kind == KQ_ORDER_ADVISE)
    {
      advise (a, epoch, o);
      return;
    }
  h = g_hash_table_lookup (a->held, id);
  if (o->kind == KQ_ORDER_TAKE)
    {
      take (a, epoch, o);
      return;
    }
  if (h == NULL || h->epoch != epoch)
    return; /* the leader hears of it by the next TAKE, or by our silence */
  to = aim (h, CALL_TIMEOUT_MS);
  switch (o->kind)
    {
    case KQ_ORDER_TAKE:
    case KQ_ORDER_ADVISE:
      break;
    case KQ_ORDER_DROP:
      g_hash_table_remove (a->held, id);
      break;
    case KQ_ORDER_START:
      start (h, o, now);
      break;
    case KQ_ORDER_STOP:
      kq_runner_stop (
          a->config.calls, &to, o->u.stop.task, o->u.stop.run,
          (KqRunnerCallback){ on_outcome,
                              new_call (h, o->kind, o->u.stop.task, o->u.stop.run) });
      break;
    case KQ_ORDER_PACE:
      kq_runner_pace (
          a->config.calls, &to, o->u.pace.task, o->u.pace.run, o->u.pace.percent,
          (KqRunnerCallback){ on_outcome,
                              new_call (h, o->kind, o->u.pace.task, o->u.pace.run) });
      break;
    case KQ_ORDER_SEEN:
      if (o->u.seen.ends > h->ends_seen && o->u.seen.born_ms == h->born_ms)
        h->ends_seen = o->u.seen.ends;
      h->watched = o->u.seen.watched;
      if (!h->asking && h->ends_told <= h->ends_seen)
        ask_in (h, 0);
      break;
    case KQ_ORDER_RENEW:
      if (o->u.renew.halt != h->halt)
        break; /* silence has been reported again since */
      h->halt = 0;
      if (!h->asking)
        ask_in (h, 0);
      break;
    }
}

void
kq_crew_agent_heard (KqCrewAgent *a, uint64_t epoch, KqTime now)
{
  if (epoch < a->epoch)
    return;
  a->epoch = epoch;
  a->heard_at = now;
}

void
kq_crew_agent_counted (KqCrewAgent *a, uint64_t epoch, KqTime at)
{
  if (epoch < a->epoch || at <= a->counted_at)
    return;
  a->counted_at = at;
  if (at > a->heard_at)
    kq_crew_agent_heard (a, epoch, at);
}

/* Renewing on, unknown to the leader, kept a runner alive whose lease the leader counted
 * as over: nine tasks ran twice (a node whose connections were reset, and 13 s later a
 * runner that its next agent didn't reach). */
void
kq_crew_agent_released (KqCrewAgent *a)
{
  guint n = g_hash_table_size (a->held);
  if (n > 0)
    kq_log (KQ_LOG_INFO, PART, "Released from all runners. runners=%u epoch=%llu", n,
            (unsigned long long)a->epoch);
  g_hash_table_remove_all (a->held);
}

KqCrewAgent *
kq_crew_agent_new (const KqCrewAgentConfig *c)
{
  KqCrewAgent *a = kq_alloc (sizeof *a);
  a->config = *c;
  a->counted_at = kq_time_now (); /* nothing is held yet */
  a->held = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_held);
  a->renewals = kq_counter (c->counters, "kq_runner_renewals_total", "",
                            "Renewals of runners' leases asked for.");
  a->renewals_failed = kq_counter (c->counters, "kq_runner_renewals_failed_total", "",
                                   "Renewals without a good answer.");
  return a;
}

void
kq_crew_agent_free (KqCrewAgent *a)
{
  if (a == NULL)
    return;
  g_hash_table_destroy (a->held);
  free (a);
}

size_t
kq_crew_agent_runners (const KqCrewAgent *a)
{
  return g_hash_table_size (a->held);
}
