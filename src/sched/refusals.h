#ifndef KQ_SCHED_REFUSALS_H
#define KQ_SCHED_REFUSALS_H

/* refusals: the leader's table of jobs that were refused for load, and of writes that may
 * still be carried out.
 *
 * In a burst refused clients come back while newcomers arrive. Without a record of them
 * they would queue up behind all newcomers again, so those refused first would be served
 * last or never. A job that comes back at its time is placed before the newcomers of its
 * kind (KqJob.returned). Only the first refusal counts, so asking often gains nothing.
 *
 * A refusal says that the job won't run. A client whose connection has broken repeats its
 * job at another node, while the first node's write may be on its way to the store; the
 * read that precedes a refusal then finds nothing. Nodes that refuse therefore announce
 * each write beforehand, and an announced id isn't refused. A node that is told to refuse
 * a job submits it all the same if the answer comes too late or the store can't be read.
 * So the id counts as announced until the node reports the refusal. If the client repeats
 * it at a second node before that, it is accepted there, and the first node's report
 * doesn't end the second one's announcement.
 *
 * Everything is memory of the leader, bounded in number and time: a new leader knows of
 * no refusal, and the order of return is lost. */

#include "sched/load_account.h"

/* Most ids of each table; the oldest is evicted. */
#define KQ_REFUSALS_MAX 4096
/* For so long an id is kept after its first refusal or its announcement. Clients retry
 * four times at most, with at most 10 s before each retry. */
#define KQ_REFUSALS_KEEP (60 * KQ_SEC)

typedef struct KqRefusals KqRefusals;

typedef struct
{
  KqTime first_at;  /* of the first refusal */
  KqTime return_at; /* the client may come back from then on */
  int64_t end_ms;   /* the forecast time until its end, at the last refusal */
  int64_t wait_ms;  /* the forecast wait of new work then */
  int64_t limit_ms; /* the time after which it is of no use */
  int32_t times;    /* how often it was refused */
} KqRefusal;

KqRefusals *kq_refusals_new (void);
void kq_refusals_free (KqRefusals *r);
/* Records a refusal. Of an id that was refused before, first_at stays. */
void kq_refusals_add (KqRefusals *r, KqStr id, const KqRefusal *refusal, KqTime now);
/* The refusal of that id; NULL: none that is kept. Valid until the next call. */
const KqRefusal *kq_refusals_find (KqRefusals *r, KqStr id, KqTime now);
/* Takes the id out of both tables, as its job has been accepted. Returns whether it has
 * come back after a refusal, at its time or later. */
bool kq_refusals_accepted (KqRefusals *r, KqStr id, KqTime now);
/* Records that a node writes the job to the store, or is about to. */
void kq_refusals_note_write (KqRefusals *r, KqStr id, KqTime now);
/* Records that a node is told to refuse the job, and may write it all the same. */
void kq_refusals_note_asked (KqRefusals *r, KqStr id, KqTime now);
/* Records that this node has refused it. A write by another node stays open: the client
 * may have repeated the job there meanwhile. */
void kq_refusals_note_not_written (KqRefusals *r, KqStr id, KqTime now);
/* Whether such a write may still be carried out. */
bool kq_refusals_has_open_write (KqRefusals *r, KqStr id, KqTime now);
/* Records that a job of this kind was accepted that had not been refused before. */
void kq_refusals_note_newcomer (KqRefusals *r, KqStr service, KqLoadKind kind,
                                KqTime now);
/* When the last such job was accepted; 0: never. */
KqTime kq_refusals_newcomer_at (const KqRefusals *r, KqStr service, KqLoadKind kind);
/* Appends lines of text for operators on the refusal of that id. False: none is kept. */
bool kq_refusals_explain (KqRefusals *r, KqStr id, KqTime now, KqBuf *out);

#endif
