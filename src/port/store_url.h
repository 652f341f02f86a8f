#ifndef KQ_PORT_STORE_URL_H
#define KQ_PORT_STORE_URL_H

#include "port/store.h"

/* Appends the call's URL and returns its HTTP method; docs/PLATFORM.md lists them. */
const char *kq_store_request_url (const char *base, const KqStoreOp *op, KqBuf *url);

#endif
