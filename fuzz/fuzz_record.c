#include "fuzz.h"

#include "job/job.h"
#include "job/learn_record.h"
#include "request/claim_records.h"
#include "request/claims.h"

#include <stdlib.h>
#include <string.h>

#define CLAIM_RECORD_TYPE_FIRST 100
#define JOB_RECORD_TYPE_FIRST 200

static void
check_event (const KqRecord *r, KqJobSet *set)
{
  KqJobEvent e;
  KqJobEvent again;
  KqBuf first = { 0 };
  KqBuf second = { 0 };
  KqRecord packed;
  if (kq_job_event_unpack (r, &e) != KQ_OK)
    return;
  packed = kq_job_event_pack (&e, &first);
  kq_fuzz_check (kq_job_event_unpack (&packed, &again) == KQ_OK,
                 "an encoded event can be decoded");
  kq_job_event_pack (&again, &second);
  kq_fuzz_check (kq_str_eq (kq_buf_str (&first), kq_buf_str (&second)),
                 "encoding an event again gives the same bytes");
  if (kq_job_event_fits (set, &e))
    {
      kq_job_set_apply (set, &e);
      kq_fuzz_check (e.kind == KQ_JOB_EVENT_ASSIGNED || !kq_job_event_fits (set, &e)
                         || e.kind == KQ_JOB_EVENT_CANCEL,
                     "an event changes a job once");
    }
  kq_buf_free (&first);
  kq_buf_free (&second);
}

/* Learned values may be wrong, but must give a size that is possible for a task. */
static void
check_learned (const KqRecord *r)
{
  static KqClasses classes;
  static KqSizes sizes;
  static KqInterference interference;
  KqSize largest = { 64000, 250000, 8 };
  KqSize need;
  memset (&classes, 0, sizeof classes);
  memset (&sizes, 0, sizeof sizes);
  memset (&interference, 0, sizeof interference);
  if (kq_learned_apply (r, &classes, &sizes, &interference, 1) != KQ_OK)
    return;
  need = kq_sizes_required_size (&sizes, 0, (KqSize){ 1000, 512, 0 }, largest);
  kq_fuzz_check (need.cpu_milli >= 0 && need.memory_mb >= 0, "a size isn't negative");
  kq_fuzz_check (kq_size_fits (&need, &largest), "a size fits the largest worker");
}

static void
check_claim (const KqRecord *r, KqClaims *claims)
{
  KqUnpacked u;
  KqClaimFields f;
  if (r->version == KQ_CLAIM_RECORD_VERSION && r->type <= KQ_CLAIM_RECORD_NUMBER
      && kq_claim_record_unpack ((KqClaimRecordType)r->type, r->body, &u, &f))
    kq_claim_record_clear (&u, &f);
  kq_claims_apply (claims, r, 1);
}

/* A series of records: type - 100, version, length, body. A journal's records are read
 * only after their digest was checked; these may have any content. */
void
kq_fuzz_record (KqStr data)
{
  KqFakeLog fake = { 0 };
  KqLogPort port = { .kind = KQ_LOG_PORT_FAKE, .u.fake = &fake };
  KqClaims *claims = kq_claims_new (1, port);
  KqJobSet *set = kq_alloc (sizeof *set);
  kq_job_set_init (set);
  while (data.len >= 3)
    {
      KqRecord r = { .type = (uint16_t)(CLAIM_RECORD_TYPE_FIRST + (uint8_t)data.ptr[0]),
                     .version = (uint8_t)data.ptr[1] };
      size_t len = (uint8_t)data.ptr[2];
      data = kq_str_n (data.ptr + 3, data.len - 3);
      len = len < data.len ? len : data.len;
      r.body = kq_str_n (data.ptr, len);
      data = kq_str_n (data.ptr + len, data.len - len);
      if (r.type == KQ_JOB_RECORD_LEARNED)
        check_learned (&r);
      else if (r.type >= JOB_RECORD_TYPE_FIRST)
        check_event (&r, set);
      else
        check_claim (&r, claims);
    }
  kq_claims_recovered (claims, 2);
  kq_claims_free (claims);
  kq_fake_log_free (&fake);
  kq_job_set_clear (set);
  free (set);
}
