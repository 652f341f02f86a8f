#ifndef KQ_CREW_FRAME_H
#define KQ_CREW_FRAME_H

/* frame: what a leader and the other nodes tell each other, many items to one message.
 *
 * Nodes of two versions of the program work together while one replaces the other. A
 * node greets with its version, the leader answers with its own, and both speak the lower
 * one. Fields that a reader doesn't know stand behind those that it does, and are passed
 * over; so are items of a kind that it doesn't know. */

#include "crew/told.h"
#include "sched/sched.h"

/* 1: no answer to the greeting, whole lists, no word of leaving. */
#define KQ_CREW_VERSION 2

typedef enum
{
  KQ_CREW_UNKNOWN, /* of a later version */
  /* leader to node */
  KQ_CREW_ORDER = 1,
  KQ_CREW_ANSWER, /* to an ASK */
  KQ_CREW_PING,   /* the leader is alive */
  /* node to leader */
  KQ_CREW_HELLO,
  KQ_CREW_BEAT, /* the node is alive; when it last reached the store */
  KQ_CREW_LIST,
  KQ_CREW_OUTCOME,
  KQ_CREW_UNREACHED,
  KQ_CREW_FENCED, /* a runner has seen a higher epoch */
  KQ_CREW_ASK,
  KQ_CREW_JOB,    /* accepted: it is in the store */
  KQ_CREW_CANCEL, /* as well */
  KQ_CREW_ADVICE, /* the answer to an order to ask for it */
  /* from version 2 on */
  KQ_CREW_WELCOME, /* leader to node: the answer to HELLO */
  KQ_CREW_CHANGES, /* node to leader: a LIST, as far as it differs from the last one */
  KQ_CREW_LEAVE /* node to leader: it stops as planned, and has let go of all runners */
} KqCrewKind;

typedef enum
{
  KQ_ASK_STATE,
  KQ_ASK_WAITING,
  KQ_ASK_EXPLAIN,
  KQ_ASK_ACCEPT /* write this job to the store; version 2 answers that it hasn't */
} KqAskKind;

typedef struct
{
  KqCrewKind kind;
  KqStr runner; /* LIST, CHANGES, OUTCOME, UNREACHED, FENCED */
  union
  {
    KqOrder order;
    struct
    {
      uint64_t call;
      int64_t value; /* KqJobState, or a number of jobs */
      KqStr text;
    } answer;
    struct
    {
      KqAgentInfo info;
      uint32_t version;
    } hello;
    struct
    {
      uint32_t version;
    } welcome;
    struct
    {
      int64_t kind;
    } unknown;
    struct
    {
      int64_t store_age_ms; /* since the last answer of the store; -1: never */
      KqTime sent_at;       /* by the node's clock */
    } beat;
    struct
    {
      KqTime beat_sent_at; /* of a BEAT of the node that has come */
      int64_t
          store_age_ms; /* since the store's last answer to the leader; -1: not told */
    } ping;
    KqRunnerList list;
    struct
    {
      KqRunnerList list; /* without `running`; of the ends the new ones */
      KqToldChanges running;
    } changes;
    KqOrderOutcome outcome;
    KqStepAdvice advice;
    struct
    {
      int64_t lease_left_ms;
      bool gone; /* another runner answers at that address */
      uint64_t taking;
    } unreached;
    struct
    {
      uint64_t call;
      KqAskKind what;
      KqStr about; /* job id or queue; of ACCEPT the job */
    } ask;
    struct
    {
      KqStr stored;
      uint64_t revision;
    } job;
    struct
    {
      KqStr id;
    } cancel;
  } u;
} KqCrewItem;

void kq_crew_pack (const KqCrewItem *i, KqBuf *out);
/* Takes the next item from the front of *rest. Strings point into it; rows are allocated
 * and freed by kq_crew_clear. False: none left, or damaged (then *rest is not empty). An
 * item of a kind that isn't known is KQ_CREW_UNKNOWN. */
bool kq_crew_unpack (KqStr *rest, KqCrewItem *out);
void kq_crew_clear (KqCrewItem *i);

#endif
