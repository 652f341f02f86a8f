#include "base/result.h"

#include <stddef.h>

static const KqResultRow rows[] = {
  { KQ_OK, "OK", 200, "Done." },
  { KQ_ERR_BAD_ARGUMENT, "BAD_ARGUMENT", 400,
    "An argument is not one of those allowed." },
  { KQ_ERR_SETTINGS_SYNTAX, "SETTINGS_SYNTAX", 0, "The settings file is not TOML." },
  { KQ_ERR_SETTINGS_UNKNOWN_KEY, "SETTINGS_UNKNOWN_KEY", 0,
    "The settings file has a key that does not exist." },
  { KQ_ERR_SETTINGS_TYPE, "SETTINGS_TYPE", 0, "A settings value has the wrong type." },
  { KQ_ERR_SETTINGS_RANGE, "SETTINGS_RANGE", 0, "A settings value is out of its range." },
  { KQ_ERR_SETTINGS_MISSING, "SETTINGS_MISSING", 0,
    "A settings key that must be there is missing." },
  { KQ_ERR_SETTINGS_CONFLICT, "SETTINGS_CONFLICT", 0,
    "Two settings exclude each other." },
  { KQ_ERR_FILE, "FILE", 0, "A file could not be read or written." },
  { KQ_ERR_FRAME_SIZE, "FRAME_SIZE", 0,
    "A frame is longer than the limit; the connection is closed." },
  { KQ_ERR_FRAME_FORMAT, "FRAME_FORMAT", 0,
    "A frame does not hold a known message; the connection is closed." },
  { KQ_ERR_HELLO_CLUSTER, "HELLO_CLUSTER", 0, "A peer belongs to another cluster." },
  { KQ_ERR_HELLO_VERSION, "HELLO_VERSION", 0,
    "A peer speaks another version of the protocol." },
  { KQ_ERR_HELLO_DIGEST, "HELLO_DIGEST", 0, "A peer does not know the secret." },
  { KQ_ERR_PEER_LOST, "PEER_LOST", 503, "The connection to the peer closed." },
  { KQ_ERR_PEER_SILENT, "PEER_SILENT", 503,
    "The peer gave no sign of life in time; its connection is closed." },
  { KQ_ERR_PEER_UNKNOWN, "PEER_UNKNOWN", 503, "No peer of that name is known." },
  { KQ_ERR_PEER_KIND, "PEER_KIND", 0,
    "A peer has sent an item of a kind that this version does not know; it is passed "
    "over." },
  { KQ_ERR_STORE_UNREACHABLE, "STORE_UNREACHABLE", 503,
    "The store did not answer; a write may have taken effect." },
  { KQ_ERR_STORE_CONFLICT, "STORE_CONFLICT", 409,
    "The value in the store was another one; nothing was written." },
  { KQ_ERR_STORE_NOT_FOUND, "STORE_NOT_FOUND", 404, "The store has no such key." },
  { KQ_ERR_STORE_LEASE_LOST, "STORE_LEASE_LOST", 503,
    "The lease in the store has lapsed." },
  { KQ_ERR_STORE_TOO_LARGE, "STORE_TOO_LARGE", 413,
    "The value is larger than the store takes." },
  { KQ_ERR_STORE_BUSY, "STORE_BUSY", 503,
    "This node's budget of store calls, or the store's rate, is spent; no effect." },
  { KQ_ERR_WORKER_UNREACHABLE, "WORKER_UNREACHABLE", 503, "The worker did not answer." },
  { KQ_ERR_WORKER_REFUSED, "WORKER_REFUSED", 503, "The worker refused the command." },
  { KQ_ERR_PLATFORM_FORMAT, "PLATFORM_FORMAT", 502,
    "An answer of the platform is not in the agreed form." },
  { KQ_ERR_NOT_OWNER, "NOT_OWNER", 503, "This node does not own the shard." },
  { KQ_ERR_FENCED, "FENCED", 503, "A successor has taken over the shard." },
  { KQ_ERR_JOURNAL_DAMAGED, "JOURNAL_DAMAGED", 500,
    "A journal record does not match its digest." },
  { KQ_ERR_JOURNAL_VERSION, "JOURNAL_VERSION", 500,
    "A journal record has a version this program does not know." },
  { KQ_ERR_JOURNAL_FULL, "JOURNAL_FULL", 503,
    "The journal has no room until a snapshot is written." },
  { KQ_ERR_NOT_COMMITTED, "NOT_COMMITTED", 503,
    "The record was not written; the operation had no effect." },
  { KQ_ERR_COMMIT_UNKNOWN, "COMMIT_UNKNOWN", 503, "The record may have been written." },
  { KQ_ERR_NO_OWNER, "NO_OWNER", 503, "The shard has no owner at present." },
  { KQ_ERR_TABLE_ROW, "TABLE_ROW", 400, "The table row is not in the right form." },
  { KQ_ERR_TABLE_TYPE, "TABLE_TYPE", 400, "A field of the row has the wrong type." },
  { KQ_ERR_TABLE_RANGE, "TABLE_RANGE", 400, "A field of the row is out of its range." },
  { KQ_ERR_TABLE_UNKNOWN_FIELD, "TABLE_UNKNOWN_FIELD", 400,
    "The row has a field that does not exist." },
  { KQ_ERR_TABLE_CONFLICT, "TABLE_CONFLICT", 412,
    "Somebody else changed the row first." },
  { KQ_ERR_TABLE_TOO_LARGE, "TABLE_TOO_LARGE", 413,
    "The table would not fit into the store." },
  { KQ_ERR_TABLE_NOT_FOUND, "TABLE_NOT_FOUND", 404, "The table has no such row." },
  { KQ_ERR_TABLE_NONE, "TABLE_NONE", 503, "This node has no table yet." },
  { KQ_ERR_NO_SERVICE, "NO_SERVICE", 404, "The table has no such service." },
  { KQ_ERR_BAD_REQUEST, "BAD_REQUEST", 400, "The request is not in the right form." },
  { KQ_ERR_QUEUE_FULL, "QUEUE_FULL", 503, "The queue of the service is full." },
  { KQ_ERR_DEADLINE_FORECAST, "DEADLINE_FORECAST", 503,
    "The forecast wait passes the deadline." },
  { KQ_ERR_DEADLINE_PASSED, "DEADLINE_PASSED", 504,
    "The deadline passed before the request was sent to a runner." },
  { KQ_ERR_CALLER_SHARE, "CALLER_SHARE", 429,
    "The caller has used its share of the queue." },
  { KQ_ERR_NO_TARGET, "NO_TARGET", 503,
    "No runner of the service can take the request." },
  { KQ_ERR_RETRY_BUDGET, "RETRY_BUDGET", 0,
    "The budget of retries is spent; the failed try's own result is the answer." },
  { KQ_ERR_OUTCOME_UNKNOWN, "OUTCOME_UNKNOWN", 502,
    "The request may have run; its answer was lost." },
  { KQ_ERR_CLAIM_MISMATCH, "CLAIM_MISMATCH", 422,
    "The idempotency key was used with another request." },
  { KQ_ERR_CLAIM_PENDING, "CLAIM_PENDING", 409,
    "The first request with this idempotency key is still running." },
  { KQ_ERR_CLAIM_UNAVAILABLE, "CLAIM_UNAVAILABLE", 503,
    "The idempotency key could not be recorded; the request was not run." },
  { KQ_ERR_CALLER_TOKEN, "CALLER_TOKEN", 401, "The caller's token is missing or wrong." },
  { KQ_ERR_DRAINING, "DRAINING", 503, "This node is stopping and takes no new work." },
  { KQ_ERR_TARGET_FAILED, "TARGET_FAILED", 502, "The runner failed." },
  { KQ_ERR_BODY_TOO_LARGE, "BODY_TOO_LARGE", 413, "The body is longer than the limit." },
  { KQ_ERR_LINK_BUDGET, "LINK_BUDGET", 503,
    "The budget of bytes between the regions is spent." },
  { KQ_ERR_CALLER_GONE, "CALLER_GONE", 0, "The caller closed its connection." },
  { KQ_ERR_TARGET_SILENT, "TARGET_SILENT", 504, "The runner sent nothing for too long." },
  { KQ_ERR_CLAIM_NOT_KEPT, "CLAIM_NOT_KEPT", 409,
    "The request with this idempotency key ran once; its answer was not kept." },
  { KQ_RETRY_NOT_RUN, "RETRY_NOT_RUN", 0,
    "Tried again: the first try provably did not run." },
  { KQ_RETRY_IDEMPOTENT, "RETRY_IDEMPOTENT", 0,
    "Tried again: the request is idempotent." },
  { KQ_RETRY_OTHER_OWNER, "RETRY_OTHER_OWNER", 0, "Tried again at another owner." },
  { KQ_ERR_JOB_UNKNOWN, "JOB_UNKNOWN", 404, "There is no such job." },
  { KQ_ERR_JOB_BAD, "JOB_BAD", 400, "The job is not in the right form." },
  { KQ_ERR_JOB_UNPLACEABLE, "JOB_UNPLACEABLE", 422,
    "No worker of the fleet is large enough for the job." },
  { KQ_ERR_JOB_QUOTA, "JOB_QUOTA", 0, "The team has used its quota; the job waits." },
  { KQ_ERR_JOB_ENDED, "JOB_ENDED", 409, "The job has already ended." },
  { KQ_ERR_JOB_KEY_MISMATCH, "JOB_KEY_MISMATCH", 422,
    "The idempotency key was used for another job." },
  { KQ_ERR_NO_ROOM, "NO_ROOM", 0, "No worker has room at present; the job waits." },
  { KQ_ERR_OLD_EPOCH, "OLD_EPOCH", 409,
    "The command carries an epoch that is no longer in force." },
  { KQ_ERR_OLD_ATTEMPT, "OLD_ATTEMPT", 409,
    "The command carries an attempt that is not above the last one." },
  { KQ_ERR_NO_LEASE, "NO_LEASE", 409, "The worker holds no lease." },
  { KQ_ERR_JOB_QUEUE_FULL, "JOB_QUEUE_FULL", 503, "The queue of jobs is full." },
  { KQ_ERR_TEAM_UNKNOWN, "TEAM_UNKNOWN", 400, "The table has no such team." },
  { KQ_ERR_JOB_DISTURBS, "JOB_DISTURBS", 0,
    "Every worker with room runs a service that the job would slow down; it waits." },
  { KQ_RETRY_JOB_FAILED, "RETRY_JOB_FAILED", 0, "Started again: the task failed." },
  { KQ_RETRY_WORKER_LOST, "RETRY_WORKER_LOST", 0, "Started again: the worker was lost." },
  { KQ_RETRY_EVICTED, "RETRY_EVICTED", 0, "Started again: the task was evicted." },
  { KQ_ERR_NOT_AUTHORIZED, "NOT_AUTHORIZED", 401,
    "The operator's token is missing or wrong." },
  { KQ_ERR_NOT_FOUND, "NOT_FOUND", 404, "There is nothing under this path." },
  { KQ_ERR_METHOD, "METHOD", 405, "The path does not take this method." },
  { KQ_ERR_PRECONDITION, "PRECONDITION", 428, "The change needs If-Match." },
  { KQ_ERR_NOT_READY, "NOT_READY", 503, "The node is not ready." },
  { KQ_ERR_NO_LEADER, "NO_LEADER", 503,
    "There is no leader, or this node does not reach it." },
  { KQ_ERR_LEADER_SILENT, "LEADER_SILENT", 503, "The leader did not answer in time." },
  { KQ_ERR_QUESTIONS_MANY, "QUESTIONS_MANY", 503,
    "Operators ask more than is answered at a time; ask again in a second." },
};

#define N_ROWS ((int)(sizeof rows / sizeof rows[0]))

const KqResultRow *
kq_result_rows (int *n)
{
  *n = N_ROWS;
  return rows;
}

/* Binary search; the rows are sorted by code. */
static const KqResultRow *
find_row (KqResult r)
{
  int lo = 0;
  int hi = N_ROWS;
  while (lo < hi)
    {
      int mid = (lo + hi) / 2;
      if (rows[mid].code < r)
        lo = mid + 1;
      else
        hi = mid;
    }
  return lo < N_ROWS && rows[lo].code == r ? &rows[lo] : NULL;
}

const char *
kq_result_name (KqResult r)
{
  const KqResultRow *row = find_row (r);
  return row != NULL ? row->name : "UNKNOWN";
}

const char *
kq_result_meaning (KqResult r)
{
  const KqResultRow *row = find_row (r);
  return row != NULL ? row->meaning : "A result without a row; please report it.";
}

int
kq_result_http (KqResult r)
{
  const KqResultRow *row = find_row (r);
  return row != NULL && row->http_status != 0 ? row->http_status : 500;
}
