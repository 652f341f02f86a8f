#ifndef KQ_TABLE_DIST_STATE_H
#define KQ_TABLE_DIST_STATE_H

/* dist_state: the state shared by dist.c (reading the store, peers) and commit.c
 * (changes). */

#include "base/rand.h"
#include "table/dist.h"
#include "table/head.h"

/* Time limit of one store call; the timeout of the store's client is shorter. */
#define KQ_TABLE_CALL_TIMEOUT (3 * KQ_SEC)
/* Size of the changes kept in memory for peers that lack them, in bytes. */
#define KQ_TABLE_RECENT_MAX_BYTES KQ_TAIL_CHANGE_MAX_BYTES

typedef struct
{
  KqNodeId id;
  bool far;
  KqTime heard_at; /* time of the last heartbeat */
} KqTablePeer;

typedef enum
{
  KQ_COMMIT_IDLE,
  KQ_COMMIT_READ,       /* the head is being read */
  KQ_COMMIT_WAIT_TABLE, /* the head is known; waiting for the table at its revision */
  KQ_COMMIT_PARTS,      /* a new base is being written */
  KQ_COMMIT_PUT,        /* the head is being swapped */
  KQ_COMMIT_VERIFY,     /* the swap's answer was lost: the head is being read back */
  KQ_COMMIT_STATES
} KqCommitState;

typedef struct KqPendingChange
{
  struct KqPendingChange *next;
  uint64_t call; /* as given to kq_table_dist_change */
  KqRowChange *changes;
  size_t n;
  KqTime deadline;
} KqPendingChange;

/* The change in progress: the first one of `pending`. */
typedef struct
{
  KqCommitState state;
  bool head_read;   /* the head was read since this change was started */
  uint64_t id;      /* random write id; a head in the store that lists it shows that this
                       commit took effect */
  KqTableHead head; /* the new head, to be written */
  uint64_t expect;  /* the store's revision of the head that the new head replaces. Not
                       d->head_store_revision: a watch may raise that while an answer is
                       awaited, and a swap against it would undo the changes in between */
  KqTableBase obsolete_base; /* base to delete once the new head is written */
  KqTable *next;             /* the table with the change */
  bool rebase;               /* the new head refers to a new base */
  KqBuf base_bytes;          /* the new base, packed */
  size_t part;               /* next part of the new base to write */
  uint64_t call;             /* token of the store call in flight; 0: none */
  KqTime call_deadline;
  KqTime retry_at;
} KqCommit;

struct KqTableDist
{
  KqNodeId self;
  KqRand rand;
  uint64_t token; /* token of the last store call */
  /* The table in force at this node. */
  KqTable *table;
  bool changed;       /* replaced since the last kq_table_dist_take_changed */
  bool from_peer;     /* the table came from a peer; the store hasn't confirmed it yet */
  KqTableTail recent; /* the last changes of the table, for peers that lack them */
  /* The head in the store as last read. */
  KqTableHead head;
  bool head_known;
  uint64_t head_store_revision; /* the head's revision in the store; 0: no head there */
  uint64_t watch_call;          /* token of the list or watch in flight; 0: none */
  KqTime watch_deadline;
  KqTime next_watch_at;
  uint64_t watch_revision; /* the store's revision to watch from; 0: list first */
  int watch_failures;      /* failed lists and watches in a row, at most LIST_DOUBLINGS */
  /* The base being read. */
  uint64_t load_call; /* token of the call in flight; 0: none */
  KqTime load_deadline;
  KqTime next_load_at;
  bool loading;
  KqTableBase load_base;
  size_t load_part;
  KqBuf load_bytes;
  /* Peers. */
  KqTablePeer *peers;
  size_t n_peers;
  size_t peers_capacity;
  KqTime lag_since;    /* since when a peer has had a higher revision; 0: none */
  KqTime far_lag_wait; /* wait before requesting changes from a peer of another region */
  KqNodeId lag_peer;   /* a peer with a higher revision, of this region if there is one */
  bool lag_peer_far;   /* lag_peer is in another region */
  KqTime next_request_at;
  /* Changes. */
  KqPendingChange *pending;
  KqCommit commit;
  KqTableResult *results;
  size_t n_results;
  size_t results_capacity;
};

/* Keeps a head that was read from the store as the current one, and brings the table up
 * to its revision, at once or by reading the base. False if the head is damaged. */
bool kq_dist_apply_head (KqTableDist *d, KqStr value, uint64_t head_store_revision,
                         KqTime now, KqOutbox *out);
/* Puts a table of a higher revision in force. Takes over the caller's reference. */
void kq_dist_set_table (KqTableDist *d, KqTable *table, bool from_peer);
/* The revision of the table in force, 0 if there is none. kq_table_dist_revision is the
 * same for other modules. */
uint64_t kq_dist_revision (const KqTableDist *d);

/* Starts the next pending change, and repeats or gives up calls that are due. */
void kq_commit_tick (KqTableDist *d, KqTime now, KqOutbox *out);
/* Handles the reply to the commit's store call; returns false if the reply is to another
 * call. */
bool kq_commit_reply (KqTableDist *d, const KqStoreReply *r, KqTime now, KqOutbox *out);
void kq_commit_free (KqTableDist *d);

#endif
