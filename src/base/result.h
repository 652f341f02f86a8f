#ifndef KQ_BASE_RESULT_H
#define KQ_BASE_RESULT_H

/* result: the result codes of the whole program.
 *
 * A number never changes its meaning and is never used again for another code. Ranges:
 * 1xx general and settings, 2xx wire, 3xx platform, 4xx shard and member, 5xx table, 6xx
 * requests, 7xx jobs, 8xx operators' interface. Numbers of removed codes: 506, 620, 708.
 * result.c has one row per code; docs/RESULTS.md is generated from it. */

#include <stdbool.h>

typedef enum
{
  KQ_OK = 0,

  KQ_ERR_BAD_ARGUMENT = 101,
  KQ_ERR_SETTINGS_SYNTAX = 102,
  KQ_ERR_SETTINGS_UNKNOWN_KEY = 103,
  KQ_ERR_SETTINGS_TYPE = 104,
  KQ_ERR_SETTINGS_RANGE = 105,
  KQ_ERR_SETTINGS_MISSING = 106,
  KQ_ERR_SETTINGS_CONFLICT = 107,
  KQ_ERR_FILE = 108,

  KQ_ERR_FRAME_SIZE = 201,
  KQ_ERR_FRAME_FORMAT = 202,
  KQ_ERR_HELLO_CLUSTER = 203,
  KQ_ERR_HELLO_VERSION = 204,
  KQ_ERR_HELLO_DIGEST = 205,
  KQ_ERR_PEER_LOST = 206,
  KQ_ERR_PEER_SILENT = 207,
  KQ_ERR_PEER_UNKNOWN = 208,
  KQ_ERR_PEER_KIND = 209,

  KQ_ERR_STORE_UNREACHABLE = 301, /* no answer, or an error: the write may be done */
  KQ_ERR_STORE_CONFLICT = 302,    /* the revision didn't match: not written */
  KQ_ERR_STORE_NOT_FOUND = 303,
  KQ_ERR_STORE_LEASE_LOST = 304,
  KQ_ERR_STORE_TOO_LARGE = 305,
  KQ_ERR_STORE_BUSY = 306, /* rate limit of this node or the store: no effect */
  KQ_ERR_WORKER_UNREACHABLE = 307,
  KQ_ERR_WORKER_REFUSED = 308,
  KQ_ERR_PLATFORM_FORMAT = 309,

  KQ_ERR_NOT_OWNER = 401,
  KQ_ERR_FENCED = 402, /* the shard's next owner wrote into the journal */
  KQ_ERR_JOURNAL_DAMAGED = 403,
  KQ_ERR_JOURNAL_VERSION = 404,
  KQ_ERR_JOURNAL_FULL = 405,
  KQ_ERR_NOT_COMMITTED = 406, /* abandoned before the commit was sent: no effect */
  KQ_ERR_COMMIT_UNKNOWN = 407,
  KQ_ERR_NO_OWNER = 408,

  KQ_ERR_TABLE_ROW = 501,
  KQ_ERR_TABLE_TYPE = 502,
  KQ_ERR_TABLE_RANGE = 503,
  KQ_ERR_TABLE_UNKNOWN_FIELD = 504,
  KQ_ERR_TABLE_CONFLICT = 505,
  KQ_ERR_TABLE_TOO_LARGE = 507,
  KQ_ERR_TABLE_NOT_FOUND = 508,
  KQ_ERR_TABLE_NONE = 509,

  KQ_ERR_NO_SERVICE = 601,
  KQ_ERR_BAD_REQUEST = 602,
  KQ_ERR_QUEUE_FULL = 603,
  KQ_ERR_DEADLINE_FORECAST = 604, /* the expected wait exceeds the deadline */
  KQ_ERR_DEADLINE_PASSED = 605,
  KQ_ERR_CALLER_SHARE = 606,
  KQ_ERR_NO_TARGET = 607,
  KQ_ERR_RETRY_BUDGET = 608, /* an attempt failed, no other was allowed; only counted */
  KQ_ERR_OUTCOME_UNKNOWN = 609,
  KQ_ERR_CLAIM_MISMATCH = 610,
  KQ_ERR_CLAIM_PENDING = 611,
  KQ_ERR_CLAIM_UNAVAILABLE = 612,
  KQ_ERR_CALLER_TOKEN = 613,
  KQ_ERR_DRAINING = 614,
  KQ_ERR_TARGET_FAILED = 615,
  KQ_ERR_BODY_TOO_LARGE = 616,
  KQ_ERR_LINK_BUDGET = 617,
  KQ_ERR_CALLER_GONE = 618,
  KQ_ERR_TARGET_SILENT = 619,
  KQ_ERR_CLAIM_NOT_KEPT = 621,
  KQ_RETRY_NOT_RUN = 640,    /* retried: the first attempt certainly did not run */
  KQ_RETRY_IDEMPOTENT = 641, /* retried: running twice is harmless */
  KQ_RETRY_OTHER_OWNER = 642,

  KQ_ERR_JOB_UNKNOWN = 701,
  KQ_ERR_JOB_BAD = 702,
  KQ_ERR_JOB_UNPLACEABLE = 703,
  KQ_ERR_JOB_QUOTA = 704,
  KQ_ERR_JOB_ENDED = 705,
  KQ_ERR_JOB_KEY_MISMATCH = 706,
  KQ_ERR_NO_ROOM = 707,
  KQ_ERR_OLD_EPOCH = 709,
  KQ_ERR_OLD_ATTEMPT = 710,
  KQ_ERR_NO_LEASE = 711,
  KQ_ERR_JOB_QUEUE_FULL = 712,
  KQ_ERR_TEAM_UNKNOWN = 713,
  KQ_ERR_JOB_DISTURBS = 714,
  KQ_RETRY_JOB_FAILED = 740,
  KQ_RETRY_WORKER_LOST = 741,
  KQ_RETRY_EVICTED = 742,

  KQ_ERR_NOT_AUTHORIZED = 801,
  KQ_ERR_NOT_FOUND = 802,
  KQ_ERR_METHOD = 803,
  KQ_ERR_PRECONDITION = 804,
  KQ_ERR_NOT_READY = 805,
  KQ_ERR_NO_LEADER = 806,
  KQ_ERR_LEADER_SILENT = 807,
  KQ_ERR_QUESTIONS_MANY = 808,

  KQ_RESULT_LIMIT = 900
} KqResult;

/* Whether a caller's request was executed. */
typedef enum
{
  KQ_RAN_NO,
  KQ_RAN_YES,
  KQ_RAN_UNKNOWN
} KqRan;

typedef struct
{
  KqResult code;
  const char *name;
  int http_status; /* 0: not used in HTTP responses */
  const char *meaning;
} KqResultRow;

/* Returns all rows, sorted by code; *n receives their number. */
const KqResultRow *kq_result_rows (int *n);
const char *kq_result_name (KqResult r);    /* "UNKNOWN" if there is no row */
const char *kq_result_meaning (KqResult r); /* one sentence */
int kq_result_http (KqResult r);            /* 500 if there is no row */

#endif
