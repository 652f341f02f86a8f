#ifndef KQ_AGENT_FRAME_H
#define KQ_AGENT_FRAME_H

/* frame: the items that a leader and the agents on the nodes send each other, several to
 * a message.
 *
 * During an upgrade nodes of two versions of the program work together. A node sends its
 * version in HELLO, the leader answers with its own in WELCOME, and both use the lower
 * one. New fields are appended after the known ones; a reader skips fields and kinds of
 * items that it doesn't know. */

#include "agent/run_delta.h"
#include "sched/sched.h"

/* Version 1 has no WELCOME, CHANGES and LEAVE: it sends whole lists. Version 2 has no
 * FOLLOW: each node watches the operators' keys. */
#define KQ_AGENT_PROTOCOL_VERSION 3

typedef enum
{
  KQ_AGENT_ITEM_UNKNOWN, /* a kind of a later version */
  /* leader to node */
  KQ_AGENT_ITEM_ORDER = 1,
  KQ_AGENT_ITEM_ANSWER, /* to an ASK */
  KQ_AGENT_ITEM_PING,   /* heartbeat of the leader */
  /* node to leader */
  KQ_AGENT_ITEM_HELLO,
  KQ_AGENT_ITEM_HEARTBEAT, /* heartbeat of the node, and how long ago the store last
                              answered it */
  KQ_AGENT_ITEM_LIST,      /* a runner's list of runs and ends */
  KQ_AGENT_ITEM_OUTCOME,   /* the result of an order to a runner */
  KQ_AGENT_ITEM_UNREACHED, /* a runner doesn't answer */
  KQ_AGENT_ITEM_FENCED,    /* a runner has seen a higher epoch: there is a newer leader */
  KQ_AGENT_ITEM_ASK,       /* a query: see KqAskKind */
  KQ_AGENT_ITEM_JOB,       /* a job was accepted and is in the store */
  KQ_AGENT_ITEM_CANCEL,    /* a cancellation was accepted and is in the store */
  KQ_AGENT_ITEM_ADVICE,    /* the answer to an order ADVISE */
  /* from version 2 on */
  KQ_AGENT_ITEM_WELCOME, /* leader to node: the answer to HELLO */
  KQ_AGENT_ITEM_CHANGES, /* node to leader: the difference from the last list */
  KQ_AGENT_ITEM_LEAVE,   /* node to leader: planned stop; all its runners are released */
  KQ_AGENT_ITEM_GRANTS,  /* node to leader: the leases that it has granted before */
  /* skipped by nodes that don't know them */
  KQ_AGENT_ITEM_LOAD,    /* leader to node: the load of all services */
  KQ_AGENT_ITEM_WRITING, /* node to leader: the node is about to write a job to the store,
                            or has refused it for load */
  /* from version 3 on */
  KQ_AGENT_ITEM_FOLLOW,     /* node to leader: relay changes of the operators' keys */
  KQ_AGENT_ITEM_KEY_CHANGE, /* leader to node: such a change */
  KQ_AGENT_ITEM_END_LEASE,  /* leader to node: it has resigned, and the store refuses it:
                               the node is to end its lease */
  KQ_AGENT_ITEM_LEADER      /* any node to any node: who leads */
} KqAgentItemKind;

typedef enum
{
  KQ_ASK_STATE,   /* the state of a job */
  KQ_ASK_WAITING, /* the number of waiting jobs of a queue */
  KQ_ASK_EXPLAIN, /* text for operators on what a job waits for */
  KQ_ASK_ACCEPT,  /* write this job to the store; a leader that doesn't know this
                      kind answers -1: it hasn't written the job */
  KQ_ASK_ADMIT,   /* whether to refuse this job for load (load_item.h); the answer is the
                      Retry-After in ms, or -1: accept. A leader that doesn't know this
                      kind answers -1 */
  KQ_ASK_LOAD,    /* text for operators on the load of each service */
  KQ_ASK_CORDONS  /* text for operators on the cordoned failure domains */
} KqAskKind;

/* A change of a key in the store (fleet/key_log.h). */
typedef struct
{
  KqStr key;
  uint64_t revision;
  bool deleted;
  uint64_t base; /* revision of the value that `data` is a difference from; 0: none */
  KqStr data;    /* the compressed value; "" if it is deleted */
} KqKeyChange;

typedef struct
{
  KqAgentItemKind kind;
  KqStr runner; /* LIST, CHANGES, OUTCOME, UNREACHED, FENCED */
  union
  {
    KqOrder order;
    struct
    {
      uint64_t call; /* number of the ASK */
      int64_t value; /* KqJobState, KqAcceptResult, KqFleetOperatorAnswer, a number of
                        jobs or ms; below 0: not known */
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
      int64_t kind; /* as received */
    } unknown;
    struct
    {
      int64_t store_age_ms; /* since the last answer of the store; -1: never */
      KqTime sent_at;       /* by the node's clock */
    } heartbeat;
    struct
    {
      KqTime heartbeat_sent_at; /* sent_at of the node's last HEARTBEAT received */
      int64_t
          store_age_ms; /* since the store's last answer to the leader; -1: not given */
      uint64_t keys_revision; /* all changes of the operators' keys up to it have been
                                 relayed on this connection */
      int64_t keys_age_ms;    /* since the leader was last told that there are no others;
                                 -1: changes aren't relayed to this node */
      int64_t jobs_free; /* memory that further jobs may take at the leader, in bytes; -1:
                            not limited */
    } ping;
    struct
    {
      uint64_t revision; /* the node knows all changes up to it */
    } follow;
    KqKeyChange key_change;
    struct
    {
      uint64_t lease; /* its id in the store */
    } end_lease;
    struct
    {
      KqName node;
      KqName address; /* "ip:port" to which nodes connect */
      uint64_t epoch;
    } leader;
    KqRunnerList list;
    struct
    {
      KqRunnerList list; /* without `running`; only the new ends */
      KqRunDelta running;
    } changes;
    KqOrderOutcome outcome;
    KqStepAdvice advice;
    KqGrantList grants;
    struct
    {
      int64_t lease_left_ms;
      bool other_runner; /* another runner answers at that address */
      uint64_t assignment;
    } unreached;
    struct
    {
      uint64_t call; /* the node's number of this query */
      KqAskKind what;
      KqStr about; /* job id or queue; of ACCEPT the job; of ADMIT a KqAdmitQuery; of
                      LOAD, CORDONS "" */
    } ask;
    struct
    {
      KqStr stored;      /* the job as it is stored */
      uint64_t revision; /* of the job's key */
    } job;
    struct
    {
      KqStr id;
      uint64_t revision; /* of its key; 0: not known. Not sent to other nodes */
    } cancel;
    struct
    {
      const KqLoadDigest *digest;
      uint32_t nodes;      /* connected nodes, the leader included */
      uint64_t jobs_added; /* kq_sched_jobs_added */
    } load;
    struct
    {
      KqStr id;
      bool over; /* the job has been refused: this request won't write it */
    } writing;
  } u;
} KqAgentItem;

void kq_agent_item_pack (const KqAgentItem *i, KqBuf *out);
/* Removes the next item from the front of *rest. Its strings point into *rest; its rows
 * are allocated, and freed by kq_agent_item_clear. False: no item is left, or it is
 * damaged (*rest then isn't empty). An item of an unknown kind is returned as
 * KQ_AGENT_ITEM_UNKNOWN. */
bool kq_agent_item_unpack (KqStr *rest, KqAgentItem *out);
void kq_agent_item_clear (KqAgentItem *i);

#endif
