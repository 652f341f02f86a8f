#include "fleet/operator.h"

#include "base/log.h"

#include <ev.h>
#include <glib.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PART "operator"
/* Set in the numbers of operators' questions; clients' queries are counted from 1. */
#define CALL_BIT ((uint64_t)1 << 62)
#define EXPIRE_PERIOD_S 0.05
#define MILLI_MS_PER_CORE_S 1e6

typedef struct
{
  uint64_t call;
  void *exchange;
  KqAskKind what;
  char about[KQ_SPEC_ID_MAX + 1];
  KqTime asked_at;
} Question;

struct KqFleetOperator
{
  KqFleetOperatorConfig config;
  Question open[KQ_FLEET_OPERATOR_OPEN_MAX];
  size_t n_open;
  uint64_t last_call;
  uint64_t epoch; /* of the leader; 0: none */
  ev_timer timer;
  uint64_t *questions[3];
  uint64_t *answers;
  uint64_t *refusals;
};

/* The leader's part. */

bool
kq_fleet_operator_rate_take (KqFleetOperatorRate *r, KqTime now)
{
  if (r->second_at == 0 || now - r->second_at >= KQ_SEC)
    *r = (KqFleetOperatorRate){ .second_at = now };
  if (r->answers >= KQ_FLEET_OPERATOR_ANSWERS_PER_SECOND)
    return false;
  r->answers++;
  return true;
}

static void
print_row (const KqLoadRow *row, int64_t age_ms, KqBuf *out)
{
  int64_t wait = kq_load_wait_ms (row);
  kq_buf_printf (out, "%.*s %s: waiting %d jobs, late %d, ", KQ_STR_ARG (row->service),
                 kq_load_kind_name (row->kind), row->waiting_jobs, row->late_jobs);
  kq_buf_printf (out, "work %.1f core s in time, %.1f late, %.1f running, ",
                 (double)row->in_time_work / MILLI_MS_PER_CORE_S,
                 (double)row->late_work / MILLI_MS_PER_CORE_S,
                 (double)row->running_work / MILLI_MS_PER_CORE_S);
  if (row->rate > 0)
    kq_buf_printf (out, "rate %.1f cores, ", (double)row->rate / 1000);
  else
    kq_buf_printf (out, "rate unknown, ");
  if (wait >= 0)
    kq_buf_printf (out, "forecast wait %lld ms, ", (long long)wait);
  else
    kq_buf_printf (out, "forecast wait unknown, ");
  if (row->cut_work > 0)
    kq_buf_printf (out, "deferred from %.1f core s, ",
                   (double)row->cut_work / MILLI_MS_PER_CORE_S);
  kq_buf_printf (out, "free %.1f cores, at most %.1f on a runner, age %lld ms\n",
                 (double)row->free_milli / 1000, (double)row->largest_milli / 1000,
                 (long long)age_ms);
}

void
kq_fleet_operator_print_load (const KqLoadDigest *d, KqTime passed_at, KqTime now,
                              KqBuf *out)
{
  if (!d->known || passed_at == 0)
    {
      kq_buf_printf (out, "the load is not known yet\n");
      return;
    }
  for (size_t i = 0; i < d->n_rows; i++)
    print_row (&d->rows[i], (now - passed_at) / KQ_MS, out);
  if (d->n_rows == 0)
    kq_buf_printf (out, "nothing waits or runs\n");
}

void
kq_fleet_operator_bound (KqBuf *text)
{
  static const KqStr mark = { "(cut: the text is too long)\n", 28 };
  size_t n = KQ_FLEET_OPERATOR_TEXT_MAX - mark.len;
  if (text->len <= KQ_FLEET_OPERATOR_TEXT_MAX)
    return;
  while (n > 0 && text->ptr[n - 1] != '\n')
    n--;
  text->len = n;
  kq_buf_add_str (text, mark);
}

KqFleetOperatorAnswer
kq_fleet_operator_explain (const KqSched *s, KqFleetOperatorRate *r, KqAskKind what,
                           KqStr about, KqTime now, KqBuf *text)
{
  KqFleetOperatorAnswer value = KQ_FLEET_OPERATOR_ANSWERED;
  KqLoadDigest load;
  if (!kq_fleet_operator_rate_take (r, now))
    return KQ_FLEET_OPERATOR_BUSY;
  if (what == KQ_ASK_LOAD)
    {
      kq_sched_load (s, now, &load);
      kq_fleet_operator_print_load (&load, kq_sched_passed_at (s), now, text);
    }
  else if (what == KQ_ASK_CORDONS)
    kq_sched_explain_cordons (s, now, text);
  else
    {
      if (kq_sched_state (s, about) == KQ_JOB_UNKNOWN)
        value = KQ_FLEET_OPERATOR_NO_JOB;
      kq_sched_explain (s, about, now, text);
    }
  kq_fleet_operator_bound (text);
  return value;
}

/* The asked node's part. */

bool
kq_fleet_operator_id_valid (KqStr id)
{
  if (id.len == 0 || id.len > KQ_SPEC_ID_MAX)
    return false;
  for (size_t i = 0; i < id.len; i++)
    if (id.ptr[i] <= ' ' || id.ptr[i] > '~' || strchr ("/?#\"<>\\", id.ptr[i]) != NULL)
      return false;
  return true;
}

KqResult
kq_fleet_operator_read (KqStr method, KqStr path, KqAskKind *what, KqStr *about)
{
  const KqStr explain = KQ_STR ("/explain/");
  *about = KQ_STR ("");
  if (kq_str_has_prefix (path, explain))
    {
      *what = KQ_ASK_EXPLAIN;
      *about = kq_str_n (path.ptr + explain.len, path.len - explain.len);
    }
  else if (kq_str_eq (path, KQ_STR ("/load")))
    *what = KQ_ASK_LOAD;
  else if (kq_str_eq (path, KQ_STR ("/cordons")))
    *what = KQ_ASK_CORDONS;
  else
    return KQ_ERR_NOT_FOUND;
  if (!kq_str_eq (method, KQ_STR ("GET")))
    return KQ_ERR_METHOD;
  if (*what == KQ_ASK_EXPLAIN && !kq_fleet_operator_id_valid (*about))
    return KQ_ERR_BAD_REQUEST;
  return KQ_OK;
}

/* The names of the questions, for logs and counters. */
static const char *const names[] = { "explain", "load", "cordons" };

static size_t
name_index (KqAskKind what)
{
  if (what == KQ_ASK_EXPLAIN)
    return 0;
  return what == KQ_ASK_LOAD ? 1 : 2;
}

/* Replies with the number of the result, and then with `text`. */
static void
refuse (KqFleetOperator *o, void *exchange, KqResult r, KqStr text)
{
  KqBuf b = { 0 };
  kq_buf_printf (&b, "%d %s: %s\n", r, kq_result_name (r), kq_result_meaning (r));
  kq_buf_add_bounded (&b, text, KQ_FLEET_OPERATOR_TEXT_MAX);
  ++*o->refusals;
  kq_counter_result (o->config.counters, r);
  o->config.reply (o->config.arg, exchange, kq_result_http (r), kq_buf_str (&b));
  kq_buf_free (&b);
}

/* Removes a question, which gets a reply or needs none. */
static Question
take_open (KqFleetOperator *o, size_t n)
{
  Question q = o->open[n];
  o->open[n] = o->open[--o->n_open];
  if (o->n_open == 0)
    ev_timer_stop (kq_loop_ev (o->config.loop), &o->timer);
  return q;
}

/* Refuses a question that has been removed from the open ones. */
static void
refuse_question (KqFleetOperator *o, const Question *q, KqResult r, KqStr text,
                 KqTime now)
{
  kq_log (r == KQ_ERR_JOB_UNKNOWN ? KQ_LOG_INFO : KQ_LOG_WARN, PART,
          "An operator's question is not answered. error=%d about=%s job=%s epoch=%llu "
          "asked_ms_ago=%lld",
          r, names[name_index (q->what)], q->about, (unsigned long long)o->epoch,
          (long long)((now - q->asked_at) / KQ_MS));
  refuse (o, q->exchange, r, text);
}

static int
find_open (const KqFleetOperator *o, uint64_t call)
{
  for (size_t i = 0; i < o->n_open; i++)
    if (o->open[i].call == call)
      return (int)i;
  return -1;
}

bool
kq_fleet_operator_is_call (uint64_t call)
{
  return (call & CALL_BIT) != 0;
}

void
kq_fleet_operator_answer (KqFleetOperator *o, uint64_t call, int64_t value, KqStr text,
                          KqTime now)
{
  int n = find_open (o, call);
  Question q;
  if (n < 0)
    return;
  q = take_open (o, (size_t)n);
  if (value == KQ_FLEET_OPERATOR_ANSWERED)
    {
      ++*o->answers;
      o->config.reply (o->config.arg, q.exchange, 200, text);
    }
  else if (value == KQ_FLEET_OPERATOR_NO_JOB)
    refuse_question (o, &q, KQ_ERR_JOB_UNKNOWN, text, now);
  else if (value == KQ_FLEET_OPERATOR_BUSY)
    refuse_question (o, &q, KQ_ERR_QUESTIONS_MANY, KQ_STR (""), now);
  else
    refuse_question (o, &q, KQ_ERR_NOT_READY,
                     KQ_STR ("The leader is loading, or older.\n"), now);
}

void
kq_fleet_operator_ask (KqFleetOperator *o, void *exchange, KqStr method, KqStr path,
                       KqTime now)
{
  KqAgentItem query = { .kind = KQ_AGENT_ITEM_ASK };
  Question q = { .exchange = exchange, .asked_at = now };
  KqStr about;
  KqResult r = kq_fleet_operator_read (method, path, &q.what, &about);
  int n;
  if (r != KQ_OK)
    {
      kq_log (KQ_LOG_INFO, PART, "A request is no valid question. error=%d length=%zu", r,
              path.len);
      refuse (o, exchange, r, KQ_STR (""));
      return;
    }
  kq_str_copy (about, q.about, sizeof q.about);
  ++*o->questions[name_index (q.what)];
  if (o->n_open == KQ_FLEET_OPERATOR_OPEN_MAX)
    {
      refuse_question (o, &q, KQ_ERR_QUESTIONS_MANY, KQ_STR (""), now);
      return;
    }
  q.call = CALL_BIT | ++o->last_call;
  if (o->n_open == 0)
    ev_timer_again (kq_loop_ev (o->config.loop), &o->timer);
  o->open[o->n_open++] = q;
  query.u.ask.call = q.call;
  query.u.ask.what = q.what;
  query.u.ask.about = kq_str (q.about);
  if (o->config.query_leader (o->config.arg, &query, now))
    return;
  n = find_open (o, q.call);
  if (n >= 0)
    {
      take_open (o, (size_t)n);
      refuse_question (o, &q, KQ_ERR_NO_LEADER, KQ_STR (""), now);
    }
}

void
kq_fleet_operator_leader_changed (KqFleetOperator *o, uint64_t epoch, KqTime now)
{
  if (epoch == o->epoch)
    return;
  o->epoch = epoch;
  while (o->n_open > 0)
    {
      Question q = take_open (o, o->n_open - 1);
      refuse_question (o, &q, KQ_ERR_NO_LEADER, KQ_STR ("The leader has changed.\n"),
                       now);
    }
}

void
kq_fleet_operator_expire (KqFleetOperator *o, KqTime now)
{
  size_t i = 0;
  while (i < o->n_open)
    {
      Question q;
      if (now - o->open[i].asked_at < KQ_FLEET_OPERATOR_TIMEOUT)
        {
          i++;
          continue;
        }
      q = take_open (o, i);
      refuse_question (o, &q, KQ_ERR_LEADER_SILENT, KQ_STR (""), now);
    }
}

void
kq_fleet_operator_gone (KqFleetOperator *o, const void *exchange)
{
  for (size_t i = 0; i < o->n_open; i++)
    if (o->open[i].exchange == exchange)
      {
        take_open (o, i);
        return;
      }
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  KqFleetOperator *o = w->data;
  (void)ev;
  (void)events;
  kq_fleet_operator_expire (o, kq_loop_now (o->config.loop));
}

KqFleetOperator *
kq_fleet_operator_new (const KqFleetOperatorConfig *c)
{
  KqFleetOperator *o = kq_alloc (sizeof *o);
  o->config = *c;
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char labels[32];
      snprintf (labels, sizeof labels, "about=\"%s\"", names[i]);
      o->questions[i] = kq_counter (c->counters, "kq_operator_questions_total", labels,
                                    "Valid questions of operators to this node.");
    }
  o->answers = kq_counter (c->counters, "kq_operator_answers_total", "",
                           "Questions of operators that were answered.");
  o->refusals = kq_counter (c->counters, "kq_operator_refusals_total", "",
                            "Questions of operators that were refused.");
  ev_timer_init (&o->timer, on_timer, 0, EXPIRE_PERIOD_S);
  o->timer.data = o;
  return o;
}

void
kq_fleet_operator_free (KqFleetOperator *o)
{
  if (o == NULL)
    return;
  ev_timer_stop (kq_loop_ev (o->config.loop), &o->timer);
  free (o);
}
