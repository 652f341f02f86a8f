#ifndef KQ_WIRE_MSG_FIELDS_H
#define KQ_WIRE_MSG_FIELDS_H

/* msg_fields: packing and unpacking of the fields of messages, one pair of functions for
 * each group of message kinds. Used by msg.c only.
 *
 * A put function packs one array with the fields in the order of the struct. A get
 * function reads the elements of that array; what it allocates is freed by kq_msg_clear,
 * also when it has set the reader's `bad`. */

#include "wire/msg.h"
#include "wire/pack.h"

void kq_msg_put_member (KqPacker *p, const KqMsg *m);
void kq_msg_get_member (KqReader *r, KqMsg *m);
void kq_msg_put_request (KqPacker *p, const KqMsg *m);
void kq_msg_get_request (KqReader *r, KqMsg *m);
void kq_msg_put_claim (KqPacker *p, const KqMsg *m);
void kq_msg_get_claim (KqReader *r, KqMsg *m);
void kq_msg_put_job (KqPacker *p, const KqMsg *m);
void kq_msg_get_job (KqReader *r, KqMsg *m);

void kq_put_size (KqPacker *p, const KqSize *s); /* packs three integers */
KqSize kq_get_size (KqReader *r);

#endif
