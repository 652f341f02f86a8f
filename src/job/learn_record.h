#ifndef KQ_JOB_LEARN_RECORD_H
#define KQ_JOB_LEARN_RECORD_H

/* learn_record: packs what was learned about a class into a journal record.
 *
 * Without these records a new owner of the shard would start from declared sizes, and
 * before the first reports arrive it would pack tasks that are declared ten times too
 * small until workers run out of memory. The records are hints: if the last ones are
 * lost, some minutes of learning are lost. */

#include "job/interference.h"
#include "job/learn_size.h"
#include "shard/journal.h"

#define KQ_JOB_RECORD_LEARNED 220

/* Packs the class's learned sizes and the effects of other classes on it as a record,
 * whose body points into `b`. */
KqRecord kq_learned_pack (const KqClasses *c, const KqSizes *s, const KqInterference *f,
                          uint16_t class_index, KqBuf *b);
/* Reads a record back into the tables. Impossible values (negative, NaN, too large) are
 * skipped. Returns KQ_OK, KQ_ERR_JOURNAL_VERSION or KQ_ERR_JOURNAL_DAMAGED. */
KqResult kq_learned_apply (const KqRecord *r, KqClasses *c, KqSizes *s, KqInterference *f,
                           KqTime now);

#endif
