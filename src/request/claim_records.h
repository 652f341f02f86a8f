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
  KQ_CLAIM_RECORD_NUMBER = 104   /* in snapshots: the last claim number assigned */
} KqClaimRecordType;

typedef struct
{
  uint64_t number;       /* of the claim, unique in its shard */
  KqTime ttl;            /* time until the claim expires */
  KqFlightId flight;     /* OPENED: the flight to which the claim was granted */
  KqStr service;         /* OPENED */
  KqStr caller;          /* OPENED */
  KqStr key;             /* OPENED: the Idempotency-Key */
  uint64_t request_hash; /* OPENED; of method, path and body */
  bool kept;             /* ANSWERED: status, headers and body are stored */
  int32_t status;        /* ANSWERED */
  KqHeader *headers;     /* ANSWERED; array owned, freed by kq_claim_record_clear */
  size_t n_headers;
  KqStr body; /* ANSWERED */
} KqClaimFields;

/* Appends the record's body to `out`. */
void kq_claim_record_pack (KqClaimRecordType t, const KqClaimFields *f, KqBuf *out);
/* Unpacks a record's body. Returns true on success: the strings of f then point into u,
 * and kq_claim_record_clear must free both. Returns false if the body is damaged; there
 * is nothing to free then. */
bool kq_claim_record_unpack (KqClaimRecordType t, KqStr body, KqUnpacked *u,
                             KqClaimFields *f);
/* Frees what kq_claim_record_unpack allocated for u and f. */
void kq_claim_record_clear (KqUnpacked *u, KqClaimFields *f);

#endif
