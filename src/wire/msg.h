#ifndef KQ_WIRE_MSG_H
#define KQ_WIRE_MSG_H

/* msg: the typed messages between kumquatd processes, and their msgpack form.
 *
 * A frame is a 4-byte big-endian length and one msgpack array: [kind, fields...].
 * Fields are packed in the order in which the structs list them. Unknown kinds and
 * short arrays are KQ_ERR_FRAME_FORMAT; extra fields at the end are ignored, so that a
 * newer node can add one. The same messages carry calls between tasks of one process,
 * so a task needn't know whether its peer is local. */

#include "base/result.h"
#include "base/str.h"
#include "base/time.h"
#include "port/worker.h"

#include <stdbool.h>
#include <stdint.h>

typedef uint64_t KqNodeId; /* kq_str_hash of the node's name; 0: none */

#define KQ_WIRE_VERSION 1
/* A frame holds a body chunk, a table or a batch of digests; more is a fault. */
#define KQ_FRAME_MAX (4 * 1024 * 1024)
/* Body bytes a message carries at most: small enough to interleave flights. */
#define KQ_CHUNK_MAX (64 * 1024)

/* A request's way through the system. The incarnation makes the id of a restarted node
 * differ from those it gave before. */
typedef struct
{
  KqNodeId node;
  uint64_t incarnation;
  uint64_t number;
} KqFlightId;

typedef struct
{
  KqStr name;
  KqStr value;
} KqHeader;

/* One line per shard that a node owns, in its heartbeat. */
typedef struct
{
  KqName service;
  int32_t slots; /* usable now, after limits */
  int32_t busy;
  int32_t queued;
  int64_t work_us; /* expected work in queue and slots */
  int64_t p50_us;
} KqServiceDigest;

typedef struct
{
  KqName team;
  KqSize used;
  KqSize wanted; /* size of queued jobs, capped */
} KqTeamDigest;

typedef struct
{
  uint32_t shard;
  uint64_t epoch;
  KqName depot;
  KqSize free;
  KqSize largest_free; /* componentwise over workers: a hint, not a promise */
  KqSize largest_whole;
  int32_t workers;
  int32_t queued_jobs;
  int32_t running_tasks;
  KqServiceDigest *services;
  size_t n_services;
  KqTeamDigest *teams;
  size_t n_teams;
} KqShardDigest;

typedef enum
{
  KQ_MSG_HELLO = 1,
  KQ_MSG_HEARTBEAT,
  KQ_MSG_TABLE,      /* the whole table at a revision, or what changed */
  KQ_MSG_TABLE_WANT, /* asks a peer for the table above a revision */
  KQ_MSG_REQ_OPEN = 20,
  KQ_MSG_REQ_BODY,
  KQ_MSG_REQ_CANCEL,
  KQ_MSG_REQ_CREDIT, /* owner to entry: may send that many more body bytes */
  KQ_MSG_RESP_HEAD,
  KQ_MSG_RESP_BODY,
  KQ_MSG_RESP_CREDIT, /* entry to owner: may send that many more answer bytes */
  KQ_MSG_RESP_FAIL,
  KQ_MSG_CLAIM_BEGIN = 40,
  KQ_MSG_CLAIM_REPLY,
  KQ_MSG_CLAIM_DONE,
  KQ_MSG_JOB_SUBMIT = 60,
  KQ_MSG_JOB_CALL,
  KQ_MSG_JOB_REPLY,
  KQ_MSG_JOB_MOVE,   /* a queued job goes to another shard of the region */
  KQ_MSG_JOB_MOVED,  /* it is in that shard's journal */
  KQ_MSG_QUERY = 80, /* operators' questions to one node */
  KQ_MSG_ANSWER,
  KQ_MSG_CREW = 90 /* a leader's orders, or an agent's notices (crew/frame.h) */
} KqMsgKind;

typedef struct
{
  KqStr cluster;
  uint32_t version;
  KqStr node;
  KqNodeId node_id;
  uint64_t incarnation;
  KqStr region;
  KqStr depot;
  uint64_t nonce;
  KqStr digest; /* HMAC-SHA256 in hex over the fields above and the peer's nonce */
} KqMsgHello;

typedef struct
{
  KqNodeId node;
  uint64_t incarnation;
  uint64_t beat;           /* counts up; an older one is ignored */
  uint64_t table_revision; /* in force at the sender */
  int64_t store_age_us;    /* since the store last answered the sender */
  bool draining;
  KqNodeId via; /* 0: from the node itself; else who bundled it */
  KqShardDigest *shards;
  size_t n_shards;
} KqMsgHeartbeat;

typedef struct
{
  uint64_t revision;
  uint64_t base; /* 0: the whole table; else what changed since this revision */
  KqStr bytes;
} KqMsgTable;

typedef struct
{
  uint64_t above;
} KqMsgTableWant;

typedef struct
{
  KqFlightId flight;
  KqStr service;
  KqStr caller;
  KqStr method;
  KqStr path;          /* with the query; begins with '/' */
  int64_t deadline_us; /* time left, never a time of day */
  bool idempotent;
  bool may_forward;    /* the owner may refuse in favour of another one */
  int64_t body_length; /* -1: unknown until the end mark */
  KqStr claim_key;     /* for the log and the runner; "" without one */
  KqHeader *headers;
  size_t n_headers;
} KqMsgReqOpen;

typedef struct
{
  KqFlightId flight;
  uint64_t offset; /* of the first byte; a gap is a fault */
  bool end;
  KqStr bytes;
} KqMsgBody; /* REQ_BODY and RESP_BODY */

typedef struct
{
  KqFlightId flight;
  KqResult reason;
} KqMsgReqCancel;

typedef struct
{
  KqFlightId flight;
  uint64_t bytes;
} KqMsgCredit; /* REQ_CREDIT and RESP_CREDIT */

typedef struct
{
  KqFlightId flight;
  int32_t status;
  int64_t body_length; /* -1: unknown until the end mark */
  KqHeader *headers;
  size_t n_headers;
} KqMsgRespHead;

typedef struct
{
  KqFlightId flight;
  KqResult code;
  KqRan ran;
  int64_t retry_after_us; /* 0: no advice */
} KqMsgRespFail;

typedef struct
{
  KqFlightId flight;
  uint32_t shard;
  KqStr service;
  KqStr caller;
  KqStr key;
  uint64_t body_hash; /* over method, path and body */
} KqMsgClaimBegin;

typedef enum
{
  KQ_CLAIM_GRANTED = 1, /* committed; the asker may send the request, once */
  KQ_CLAIM_ANSWERED,    /* the stored answer is in the reply */
  KQ_CLAIM_UNKNOWN,     /* an earlier try may have run and its answer is lost */
  KQ_CLAIM_REFUSED      /* see code; the request was not run by this try */
} KqClaimVerdict;

typedef struct
{
  KqFlightId flight;
  KqClaimVerdict verdict;
  KqResult code;
  uint64_t claim_number;
  int32_t status;
  KqHeader *headers;
  size_t n_headers;
  KqStr body;
} KqMsgClaimReply;

/* How the claim's request ended: with an answer to keep, provably not run (the key may
 * be used again), or unknown. */
typedef struct
{
  KqFlightId flight;
  uint32_t shard;
  KqRan ran;
  bool kept; /* false: the answer was too large to keep */
  int32_t status;
  KqHeader *headers;
  size_t n_headers;
  KqStr body;
} KqMsgClaimDone;

typedef enum
{
  KQ_PRIORITY_LOW = 1,
  KQ_PRIORITY_NORMAL = 2,
  KQ_PRIORITY_HIGH = 3,
  KQ_PRIORITY_URGENT = 4
} KqPriority;

typedef struct
{
  KqName team;
  KqName class_name;
  KqName key; /* idempotency key; "" without one */
  KqPriority priority;
  bool latency_critical;
  KqSize size; /* declared */
  int64_t run_ms;
} KqJobSpec;

typedef struct
{
  uint64_t call; /* of the asker, echoed */
  KqNodeId asker;
  uint32_t shard;
  KqJobId job; /* drawn by the asker */
  KqJobSpec spec;
} KqMsgJobSubmit;

typedef enum
{
  KQ_JOB_GET = 1,
  KQ_JOB_CANCEL,
  KQ_JOB_LIST,
  KQ_JOB_EXPLAIN
} KqJobCallKind;

typedef struct
{
  uint64_t call;
  KqNodeId asker;
  uint32_t shard;
  KqJobCallKind kind;
  KqJobId job;    /* LIST: only jobs above this id */
  uint32_t limit; /* LIST */
} KqMsgJobCall;

typedef struct
{
  uint64_t call;
  KqResult code;
  KqStr json;
} KqMsgAnswer; /* JOB_REPLY and ANSWER */

typedef struct
{
  uint32_t shard; /* where it goes */
  uint32_t from;
  KqJobId job;
  KqStr record; /* the whole job, as in the journal */
} KqMsgJobMove;

typedef struct
{
  uint32_t shard; /* whence it came */
  uint32_t from;  /* where it is now */
  KqJobId job;
  uint32_t moves; /* which of the job's moves this ends */
} KqMsgJobMoved;

typedef struct
{
  uint64_t call;
  KqStr what; /* "node", "shards", "workers", "queues", "drain", "account", "log-level" */
  KqStr argument;
} KqMsgQuery;

/* Orders to agents or their notices, packed by crew/frame.c. */
typedef struct
{
  uint64_t epoch; /* of the leader that sends, or that is answered */
  KqStr items;
} KqMsgCrew;

typedef struct
{
  KqMsgKind kind;
  union
  {
    KqMsgHello hello;
    KqMsgHeartbeat heartbeat;
    KqMsgTable table;
    KqMsgTableWant table_want;
    KqMsgReqOpen req_open;
    KqMsgBody body;
    KqMsgReqCancel req_cancel;
    KqMsgCredit credit;
    KqMsgRespHead resp_head;
    KqMsgRespFail resp_fail;
    KqMsgClaimBegin claim_begin;
    KqMsgClaimReply claim_reply;
    KqMsgClaimDone claim_done;
    KqMsgJobSubmit job_submit;
    KqMsgJobCall job_call;
    KqMsgJobMove job_move;
    KqMsgJobMoved job_moved;
    KqMsgQuery query;
    KqMsgAnswer answer;
    KqMsgCrew crew;
  } u;
} KqMsg;

bool kq_flight_eq (KqFlightId a, KqFlightId b);

/* Appends the message as one frame (length and body). */
void kq_msg_pack (const KqMsg *m, KqBuf *out);

/* Reads one message from a frame's body (without its length). Strings point into
 * `body`; arrays are allocated and freed by kq_msg_clear. Result: KQ_OK or
 * KQ_ERR_FRAME_FORMAT (then nothing is to be freed). */
KqResult kq_msg_unpack (KqStr body, KqMsg *out);
void kq_msg_clear (KqMsg *m);

/* A deep copy in one allocation chain, for mailboxes and fakes; freed by
 * kq_msg_free. Made by packing and unpacking, so it has passed the codec. */
KqMsg *kq_msg_copy (const KqMsg *m);
void kq_msg_free (KqMsg *m);

#endif
