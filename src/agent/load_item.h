#ifndef KQ_AGENT_LOAD_ITEM_H
#define KQ_AGENT_LOAD_ITEM_H

/* load_item: packs and reads the item LOAD and the query KQ_ASK_ADMIT, for frame.c and
 * for the two sides of that query. Fields that a later version appends are skipped. */

#include "agent/frame.h"
#include "sched/job_load.h"
#include "wire/pack.h"

void kq_agent_item_pack_load (KqPacker *p, const KqAgentItem *i);
/* The digest is allocated, and freed by kq_agent_item_clear. Rows of an unknown kind are
 * left out. */
void kq_agent_item_read_load (KqReader *r, KqAgentItem *i);

/* A job about which a node asks before it accepts it. */
typedef struct
{
  KqStr id;
  KqJobLoad load;
} KqAdmitQuery;

/* Appends the query as it stands in the ASK's `about`. */
void kq_admit_query_pack (const KqAdmitQuery *q, KqBuf *out);
/* Reads it; the strings point into `about`, which stays the caller's. False: it can't be
 * read. */
bool kq_admit_query_unpack (KqStr about, KqAdmitQuery *out);

#endif
