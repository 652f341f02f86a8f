#ifndef KQ_CREW_FRAME_ROWS_H
#define KQ_CREW_FRAME_ROWS_H

/* frame_rows: the fields of items that carry rows, for frame.c. Rows that are read are
 * allocated. */

#include "crew/frame.h"
#include "wire/pack.h"

/* Opens an array of rows; their number, 0 and `bad` where there are too many. */
size_t kq_crew_open_rows (KqReader *r, KqReader *rows);
void kq_crew_pack_list_head (KqPacker *p, const KqRunnerList *l);
void kq_crew_read_list_head (KqReader *r, KqRunnerList *l);
void kq_crew_pack_running (KqPacker *p, const KqRunnerList *l);
void kq_crew_read_running (KqReader *r, KqRunnerList *l);
void kq_crew_pack_ended (KqPacker *p, const KqRunnerList *l);
void kq_crew_read_ended (KqReader *r, KqRunnerList *l);
void kq_crew_pack_changes (KqPacker *p, const KqToldChanges *c);
void kq_crew_read_changes (KqReader *r, KqToldChanges *c);
void kq_crew_pack_advice (KqPacker *p, const KqStepAdvice *a);
void kq_crew_read_advice (KqReader *r, KqStepAdvice *a);

#endif
