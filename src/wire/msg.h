#ifndef KQ_WIRE_MSG_H
#define KQ_WIRE_MSG_H

/* msg: the messages between kumquatd processes, and their encoding in msgpack.
 *
 * A frame is a 4-byte big-endian length and a msgpack array [kind, [fields...]]. Fields
 * are packed in the order of the struct. Unknown kinds and arrays with too few fields are
 * refused with KQ_ERR_FRAME_FORMAT; additional fields at the end are ignored, so that a
 * later version can add some. Tasks of one process use the same messages, so a task
 * needn't know whether its peer is local. */

#include "base/result.h"
#include "base/str.h"
#include "base/time.h"
#include "port/worker.h"

#include <stdbool.h>
#include <stdint.h>

typedef uint64_t KqNodeId; /* kq_str_hash of the node's name; 0: no node */

#define KQ_WIRE_VERSION 1
/* Bytes. A frame holds at most a body chunk, a table or a batch of digests; longer frames
 * are refused. */
#define KQ_FRAME_MAX (4 * 1024 * 1024)
/* Body bytes per message; small enough to interleave requests on a connection. */
#define KQ_CHUNK_MAX (64 * 1024)

/* Identifies a flight: one request in progress, from its arrival at an entry node to the
 * end of its response. The incarnation (a number that is new at each start of the node's
 * process) keeps ids unique when a node restarts. */
typedef struct
{
  KqNodeId node; /* the entry node */
  uint64_t incarnation;
  uint64_t number;
} KqFlightId;

typedef struct
{
  KqStr name;
  KqStr value;
} KqHeader;

/* Load of one service, as part of a KqShardDigest. */
typedef struct
{
  KqName service;
  int32_t slots; /* usable at present, after limits */
  int32_t busy;
  int32_t queued;
  int64_t work_us; /* expected run time of the requests in queue and slots */
  int64_t p50_us;  /* median duration of a request */
} KqServiceDigest;

/* Use of one team, as part of a KqShardDigest. */
typedef struct
{
  KqName team;
  KqSize used;
  KqSize queued; /* total size of queued jobs, capped */
} KqTeamDigest;

/* Summary of one shard; a heartbeat has one for each shard that the node owns. */
typedef struct
{
  uint32_t shard;
  uint64_t epoch;
  KqName depot;
  KqSize free;
  /* Maximum of each component over the workers; no single worker need have all three. */
  KqSize largest_free;
  KqSize largest_capacity; /* of the workers' total sizes */
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
  KQ_MSG_TABLE,         /* the whole table at a revision, or the changes since one */
  KQ_MSG_TABLE_REQUEST, /* asks a peer for a table newer than a revision */
  KQ_MSG_REQ_OPEN = 20,
  KQ_MSG_REQ_BODY,
  KQ_MSG_REQ_CANCEL,
  KQ_MSG_REQ_CREDIT, /* owner to entry node: more request body bytes may be sent */
  KQ_MSG_RESP_HEAD,
  KQ_MSG_RESP_BODY,
  KQ_MSG_RESP_CREDIT, /* entry node to owner: more response bytes may be sent */
  KQ_MSG_RESP_FAIL,
  KQ_MSG_CLAIM_BEGIN = 40,
  KQ_MSG_CLAIM_REPLY,
  KQ_MSG_CLAIM_DONE,
  KQ_MSG_JOB_SUBMIT = 60,
  KQ_MSG_JOB_CALL,
  KQ_MSG_JOB_REPLY,
  KQ_MSG_JOB_MOVE,   /* moves a queued job to another shard of the region */
  KQ_MSG_JOB_MOVED,  /* the job is in that shard's journal */
  KQ_MSG_QUERY = 80, /* a query of an operator to one node */
  KQ_MSG_ANSWER,
  KQ_MSG_AGENT = 90 /* a leader's orders or an agent's reports (agent/frame.h) */
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
  KqStr digest; /* HMAC-SHA256 in hex, see wire/hello.h */
} KqMsgHello;

typedef struct
{
  KqNodeId node;
  uint64_t incarnation;
  /* Sequence number in the upper 63 bits. The lowest bit means that the heartbeat has no
   * digests and that those sent before remain valid (member/nodes.h). */
  uint64_t sequence;
  uint64_t table_revision; /* that the sender uses */
  int64_t store_age_us;    /* time since the store last answered the sender */
  bool draining;
  KqNodeId forwarded_by; /* node that forwarded it in a batch; 0: `node` sent it */
  KqShardDigest *shards;
  size_t n_shards;
} KqMsgHeartbeat;

typedef struct
{
  uint64_t revision;
  uint64_t base; /* 0: the whole table; otherwise the changes since this revision */
  KqStr bytes;
} KqMsgTable;

typedef struct
{
  uint64_t above_revision; /* revision that the sender has */
} KqMsgTableRequest;

typedef struct
{
  KqFlightId flight;
  KqStr service;
  KqStr caller;
  KqStr method;
  KqStr path;          /* includes the query; begins with '/' */
  int64_t deadline_us; /* remaining time; clocks of nodes are not compared */
  bool idempotent;
  bool may_forward;    /* the owner may refuse so that another owner is tried */
  int64_t body_length; /* -1: unknown until the last chunk */
  KqStr claim_key;     /* idempotency key, for the log and the runner; "": none */
  KqHeader *headers;
  size_t n_headers;
} KqMsgReqOpen;

typedef struct
{
  KqFlightId flight;
  uint64_t offset; /* of the first byte; chunks must follow each other without a gap */
  bool end;        /* the last chunk */
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
  uint64_t bytes; /* in addition to earlier credit */
} KqMsgCredit;    /* REQ_CREDIT and RESP_CREDIT */

typedef struct
{
  KqFlightId flight;
  int32_t status;
  int64_t body_length; /* -1: unknown until the last chunk */
  KqHeader *headers;
  size_t n_headers;
} KqMsgRespHead;

typedef struct
{
  KqFlightId flight;
  KqResult code;
  KqRan ran;
  int64_t retry_after_us; /* 0: none given */
} KqMsgRespFail;

typedef struct
{
  KqFlightId flight;
  uint32_t shard;
  KqStr service;
  KqStr caller;
  KqStr key;
  uint64_t request_hash; /* over method, path and body */
} KqMsgClaimBegin;

typedef enum
{
  KQ_CLAIM_GRANTED = 1, /* committed; the entry node may send the request, once */
  KQ_CLAIM_ANSWERED,    /* the reply holds the stored answer */
  KQ_CLAIM_UNKNOWN,     /* an earlier attempt may have run, and its answer is lost */
  KQ_CLAIM_REFUSED      /* see `code`; this attempt did not run the request */
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

/* Result of the request that holds a claim: answered (the answer is stored), certainly
 * not run (the key may be used again), or unknown. */
typedef struct
{
  KqFlightId flight;
  uint32_t shard;
  KqRan ran;
  bool kept; /* false: the answer was too large to store */
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
  KqName key; /* idempotency key; "": none */
  KqPriority priority;
  bool latency_critical;
  KqSize size; /* declared */
  int64_t run_ms;
} KqJobSpec;

typedef struct
{
  uint64_t call;     /* chosen by the asking node; the reply repeats it */
  KqNodeId reply_to; /* the asking node, to which the reply goes */
  uint32_t shard;
  KqJobId job; /* id chosen by the asking node */
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
  KqNodeId reply_to;
  uint32_t shard;
  KqJobCallKind kind;
  KqJobId job;    /* LIST: only jobs with higher ids */
  uint32_t limit; /* LIST: at most this many jobs */
} KqMsgJobCall;

typedef struct
{
  uint64_t call;
  KqResult code;
  KqStr json;  /* if code isn't KQ_OK, a description of the error */
} KqMsgAnswer; /* JOB_REPLY and ANSWER */

typedef struct
{
  uint32_t shard; /* destination */
  uint32_t from;  /* shard that sends the job */
  KqJobId job;
  KqStr record; /* the job's journal record */
} KqMsgJobMove;

typedef struct
{
  uint32_t shard; /* shard that sent the job */
  uint32_t from;  /* shard that has it now */
  KqJobId job;
  uint32_t moves; /* number of this move, counted per job */
} KqMsgJobMoved;

typedef struct
{
  uint64_t call;
  KqStr what; /* name of the query, for example "shards"; see api/operator.c */
  KqStr argument;
} KqMsgQuery;

/* Orders to an agent (the part of a node that carries out the leader's orders at its
 * runners), or the agent's reports; packed by agent/frame.c. */
typedef struct
{
  uint64_t epoch; /* of the leader that sends or receives this */
  KqStr items;
} KqMsgAgent;

typedef struct
{
  KqMsgKind kind;
  union
  {
    KqMsgHello hello;
    KqMsgHeartbeat heartbeat;
    KqMsgTable table;
    KqMsgTableRequest table_request;
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
    KqMsgAgent agent;
  } u;
} KqMsg;

bool kq_flight_eq (KqFlightId a, KqFlightId b);

/* Appends the message to *out as one frame (length and body). */
void kq_msg_pack (const KqMsg *m, KqBuf *out);

/* Unpacks the body of a frame (without its length). Strings point into `body`; arrays are
 * allocated and must be freed with kq_msg_clear. Returns KQ_OK or KQ_ERR_FRAME_FORMAT
 * (then there is nothing to free). */
KqResult kq_msg_unpack (KqStr body, KqMsg *out);
void kq_msg_clear (KqMsg *m);

/* Returns a deep copy, for mails between tasks and for the fakes of tests; free it with
 * kq_msg_free. The copy is made by packing and unpacking, so that messages within a
 * process pass the codec as well. */
KqMsg *kq_msg_copy (const KqMsg *m);
void kq_msg_free (KqMsg *m);

#endif
