#ifndef KQ_BENCH_KV_NO_LEASES_H
#define KQ_BENCH_KV_NO_LEASES_H

/* kv_no_leases: the lease calls of a fake store, for one file of a test program whose
 * subject makes none: they fail the test. They are defined so that the linker doesn't
 * take the real store. To be included after cmocka.h. */

#include "port/kv.h"

void
kq_kv_lease_grant (KqKv *kv, int64_t ttl_ms, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)ttl_ms;
  (void)timeout_ms;
  (void)cb;
  fail ();
}

void
kq_kv_lease_renew (KqKv *kv, uint64_t lease, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)lease;
  (void)timeout_ms;
  (void)cb;
  fail ();
}

void
kq_kv_lease_revoke (KqKv *kv, uint64_t lease, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)lease;
  (void)timeout_ms;
  (void)cb;
  fail ();
}

#endif
