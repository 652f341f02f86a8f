#ifndef KQ_STANDIN_PLATFORM_KV_H
#define KQ_STANDIN_PLATFORM_KV_H

/* platform_kv: the platform's key-value store, in memory and served over HTTP: revisions,
 * transactions, leases, watches. */

#include "web.h"

typedef struct KqPlatformKv KqPlatformKv;

/* Listens on a port chosen by the kernel and prints it as "store PORT". Lives as long as
 * the process. */
KqPlatformKv *kq_platform_kv_new (KqLoop *loop);
/* Unconditional writes without a lease, as the platform makes them; value is copied. */
void kq_platform_kv_put (KqPlatformKv *kv, const char *key, KqStr value);
void kq_platform_kv_remove (KqPlatformKv *kv, const char *key);

#endif
