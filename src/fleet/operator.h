#ifndef KQ_FLEET_OPERATOR_H
#define KQ_FLEET_OPERATOR_H

/* operator: questions of operators about a fleet, which any node takes over HTTP.
 *
 *   GET /explain/ID  why the job waits and what is before it
 *   GET /load        a line for each service and kind of task
 *   GET /cordons     a line for each cordoned failure domain
 *
 * Only the leader knows the answers. A node that leads answers itself; any other node
 * asks the leader over its link and waits for KQ_FLEET_OPERATOR_TIMEOUT. An answer is
 * plain text of at most KQ_FLEET_OPERATOR_TEXT_MAX bytes; a refusal is one line with the
 * number of its result.
 *
 * Questions must not delay scheduling, however many are asked: a node has at most
 * KQ_FLEET_OPERATOR_OPEN_MAX of them open, and the leader answers at most
 * KQ_FLEET_OPERATOR_ANSWERS_PER_SECOND. */

#include "agent/frame.h"
#include "base/counter.h"
#include "base/task.h"

#define KQ_FLEET_OPERATOR_TIMEOUT (500 * KQ_MS)
#define KQ_FLEET_OPERATOR_TEXT_MAX 16384
#define KQ_FLEET_OPERATOR_OPEN_MAX 16
#define KQ_FLEET_OPERATOR_ANSWERS_PER_SECOND 20

/* The leader's part. */

/* The value of an answer of the leader to a question of an operator; below 0: it has yet
 * to load the jobs, or is of a version that doesn't know the question. */
typedef enum
{
  KQ_FLEET_OPERATOR_ANSWERED,
  KQ_FLEET_OPERATOR_NO_JOB, /* the text tells what is known of that id */
  KQ_FLEET_OPERATOR_BUSY    /* it has answered enough in this second; no text */
} KqFleetOperatorAnswer;

/* The answers that the leader has given within a second. */
typedef struct
{
  KqTime second_at; /* when that second began; 0: none has */
  int answers;
} KqFleetOperatorRate;

/* Counts an answer. False: there have been enough in this second. */
bool kq_fleet_operator_rate_take (KqFleetOperatorRate *r, KqTime now);
/* Answers a question from the scheduler's state: appends the text, returns the value. */
KqFleetOperatorAnswer kq_fleet_operator_explain (const KqSched *s, KqFleetOperatorRate *r,
                                                 KqAskKind what, KqStr about, KqTime now,
                                                 KqBuf *text);
/* Appends the load; passed_at: the time of the pass that it tells of, 0: none yet. */
void kq_fleet_operator_print_load (const KqLoadDigest *d, KqTime passed_at, KqTime now,
                                   KqBuf *out);
/* Cuts a text that is too long behind one of its lines, and says so in the last one. */
void kq_fleet_operator_bound (KqBuf *text);

/* The asked node's part. */

/* Whether a job may have that id: 1 to KQ_SPEC_ID_MAX printable bytes, of which none ends
 * a path or is quoted in one. */
bool kq_fleet_operator_id_valid (KqStr id);
/* Reads a request. KQ_OK: the question is in *what and *about, which points into path;
 * otherwise the refusal. */
KqResult kq_fleet_operator_read (KqStr method, KqStr path, KqAskKind *what, KqStr *about);

typedef struct KqFleetOperator KqFleetOperator;

typedef struct
{
  KqLoop *loop;
  KqCounters *counters;
  void *arg;
  /* Sends a question to the leader; its answer is passed to kq_fleet_operator_answer,
   * possibly before this returns. False: there is no leader, or this node doesn't reach
   * it. */
  bool (*query_leader) (void *arg, const KqAgentItem *query, KqTime now);
  /* Replies to an exchange, exactly once. */
  void (*reply) (void *arg, void *exchange, int status, KqStr text);
} KqFleetOperatorConfig;

KqFleetOperator *kq_fleet_operator_new (const KqFleetOperatorConfig *c);
/* Drops open questions without a reply. */
void kq_fleet_operator_free (KqFleetOperator *o);
/* Takes a request; replies now or later. */
void kq_fleet_operator_ask (KqFleetOperator *o, void *exchange, KqStr method, KqStr path,
                            KqTime now);
/* Whether the number is that of an operator's question, not of a client's. */
bool kq_fleet_operator_is_call (uint64_t call);
/* Takes the leader's answer; ignored when the question is no longer open. */
void kq_fleet_operator_answer (KqFleetOperator *o, uint64_t call, int64_t value,
                               KqStr text, KqTime now);
/* Takes the epoch of the present leader, 0: none. Open questions to an earlier one are
 * refused: no answer of it may come any more, and it may no longer be true. */
void kq_fleet_operator_leader_changed (KqFleetOperator *o, uint64_t epoch, KqTime now);
/* Refuses the questions that are open for too long; called by a timer of its own. */
void kq_fleet_operator_expire (KqFleetOperator *o, KqTime now);
/* The client of an exchange is gone: it gets no reply. */
void kq_fleet_operator_gone (KqFleetOperator *o, const void *exchange);

#endif
