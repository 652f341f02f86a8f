#ifndef KQ_SHARD_LOG_PORT_H
#define KQ_SHARD_LOG_PORT_H

/* log_port: the interface through which jobs and claims append records. Backed by the
 * journal or, in tests, by an array. */

#include "shard/journal.h"

typedef enum
{
  KQ_LOG_PORT_JOURNAL,
  KQ_LOG_PORT_FAKE
} KqLogPortKind;

/* For tests: keeps copies of all records. The test sets `committed` and `lag`. */
typedef struct
{
  KqRecord *records;
  size_t n_records;
  size_t capacity;
  KqSeq committed; /* returned by kq_log_port_committed */
  KqTime lag;      /* returned by kq_log_port_lag */
} KqFakeLog;

typedef struct
{
  KqLogPortKind kind;
  union
  {
    KqJournal *journal;
    KqFakeLog *fake;
  } u;
} KqLogPort;

/* The same as the functions of kq_journal_* with these names (shard/journal.h). */
KqSeq kq_log_port_append (KqLogPort p, const KqRecord *r, KqCommitClass c, KqTime now);
KqSeq kq_log_port_committed (KqLogPort p);
KqTime kq_log_port_lag (KqLogPort p, KqTime now);
/* Frees the copied records and empties the log. */
void kq_fake_log_free (KqFakeLog *f);

#endif
