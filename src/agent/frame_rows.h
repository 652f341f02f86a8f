#ifndef KQ_AGENT_FRAME_ROWS_H
#define KQ_AGENT_FRAME_ROWS_H

/* frame_rows: packs and reads the fields of items that carry rows, for frame.c. Rows that
 * are read are allocated, and freed by kq_agent_item_clear. */

#include "agent/frame.h"
#include "wire/pack.h"

/* Opens the array of rows that r reads next, and returns the number of rows. If there are
 * too many, returns 0 and sets `bad` in both readers. */
size_t kq_agent_item_open_rows (KqReader *r, KqReader *rows);
void kq_agent_item_pack_list_head (KqPacker *p, const KqRunnerList *l);
void kq_agent_item_read_list_head (KqReader *r, KqRunnerList *l);
void kq_agent_item_pack_running (KqPacker *p, const KqRunnerList *l);
void kq_agent_item_read_running (KqReader *r, KqRunnerList *l);
void kq_agent_item_pack_ended (KqPacker *p, const KqRunnerList *l);
void kq_agent_item_read_ended (KqReader *r, KqRunnerList *l);
void kq_agent_item_pack_changes (KqPacker *p, const KqRunDelta *c);
void kq_agent_item_read_changes (KqReader *r, KqRunDelta *c);
void kq_agent_item_pack_advice (KqPacker *p, const KqStepAdvice *a);
void kq_agent_item_read_advice (KqReader *r, KqStepAdvice *a);

/* GRANTS */
void kq_agent_item_pack_grants (KqPacker *p, const KqGrantList *l);
void kq_agent_item_read_grants (KqReader *r, KqGrantList *l);

void kq_agent_item_pack_leader (KqPacker *p, const KqAgentItem *i);
void kq_agent_item_read_leader (KqReader *r, KqAgentItem *i);
void kq_agent_item_pack_key_change (KqPacker *p, const KqKeyChange *c);
void kq_agent_item_read_key_change (KqReader *r, KqKeyChange *c);

#endif
