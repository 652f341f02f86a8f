#ifndef KQ_JOB_LEARN_RECORD_H
#define KQ_JOB_LEARN_RECORD_H

/* learn_record: packs what was learned about a class into a journal record.
 *
 * Without the records a new owner of the shard starts from declared sizes: tasks
 * declared ten times too small are packed until memory runs out, before the first
 * reports arrive. The records are hints; losing the last ones costs some minutes of
 * learning. */

#include "job/interference.h"
#include "job/learn_size.h"
#include "shard/journal.h"

#define KQ_JOB_RECORD_LEARNED 220

/* Packs the class's learned sizes and the effects of others on it; the body points into
 * `b`. */
KqRecord kq_learned_pack (const KqClasses *c, const KqSizes *s, const KqInterference *f,
                          uint16_t class_index, KqBuf *b);
/* Reads a record back into the tables. Values that can't be true are skipped. KQ_OK,
 * KQ_ERR_JOURNAL_VERSION or KQ_ERR_JOURNAL_DAMAGED. */
KqResult kq_learned_apply (const KqRecord *r, KqClasses *c, KqSizes *s, KqInterference *f,
                           KqTime now);

#endif
