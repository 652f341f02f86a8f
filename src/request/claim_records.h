#ifndef KQ_REQUEST_CLAIM_RECORDS_H
#define KQ_REQUEST_CLAIM_RECORDS_H

/* claim_records: the journal records of claims, version 1, as msgpack arrays.
 *
 * A time is stored as the time left when the record was written, because the clocks of
 * two owners are unrelated. A takeover can thus prolong a claim, but never shorten it. */

#include "shard/journal.h"
#include "wire/msg.h"
#include "wire/pack.h"

#define KQ_CLAIM_RECORD_VERSION 1

typedef enum
{
  KQ_CLAIM_RECORD_OPENED = 100,
  KQ_CLAIM_RECORD_ANSWERED = 101,
  KQ_CLAIM_RECORD_FREED = 102,   /* provably not run: the key may be used again */
  KQ_CLAIM_RECORD_UNKNOWN = 103, /* may have run; its answer is lost */
  KQ_CLAIM_RECORD_NUMBER = 104   /* in snapshots: the last number assigned */
} KqClaimRecordType;

typedef struct
{
  uint64_t number;
  KqTime ttl;
  KqFlightId flight;     /* OPENED */
  KqStr service;         /* OPENED */
  KqStr caller;          /* OPENED */
  KqStr key;             /* OPENED */
  uint64_t request_hash; /* OPENED; of method, path and body */
  bool kept;             /* ANSWERED: status, headers and body are stored */
  int32_t status;        /* ANSWERED */
  KqHeader *headers;     /* ANSWERED; array owned, freed by kq_claim_record_clear */
  size_t n_headers;
  KqStr body; /* ANSWERED */
} KqClaimFields;

/* Appends the record's body to `out`. */
void kq_claim_record_pack (KqClaimRecordType t, const KqClaimFields *f, KqBuf *out);
/* Unpacks a record's body. If true, the strings of f point into u, and both must be freed
 * by kq_claim_record_clear. False: the body is damaged; nothing to free. */
bool kq_claim_record_unpack (KqClaimRecordType t, KqStr body, KqUnpacked *u,
                             KqClaimFields *f);
void kq_claim_record_clear (KqUnpacked *u, KqClaimFields *f);

#endif
