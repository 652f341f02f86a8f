#ifndef KQ_STANDIN_PLATFORM_KV_H
#define KQ_STANDIN_PLATFORM_KV_H

/* platform_kv: the users' store in memory: revisions, transactions, leases, watches. */

#include "web.h"

typedef struct KqPlatformKv KqPlatformKv;

KqPlatformKv *kq_platform_kv_new (KqLoop *loop);
/* Writes as the platform itself does: no condition, no lease. */
void kq_platform_kv_put (KqPlatformKv *kv, const char *key, KqStr value);
void kq_platform_kv_remove (KqPlatformKv *kv, const char *key);

#endif
