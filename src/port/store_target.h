#ifndef KQ_PORT_STORE_TARGET_H
#define KQ_PORT_STORE_TARGET_H

#include "port/store.h"

/* Appends the URL for the call and returns its method; docs/PLATFORM.md lists them. */
const char *kq_store_target (const char *base, const KqStoreOp *op, KqBuf *url);

#endif
