#include "port/store_url.h"

#include "port/json_reader.h"

const char *
kq_store_request_url (const char *base, const KqStoreOp *op, KqBuf *url)
{
  unsigned long long expect = op->expect;
  unsigned long long lease = op->lease;
  kq_buf_printf (url, "%s/v1/", base);
  switch (op->kind)
    {
    case KQ_STORE_GET:
    case KQ_STORE_PUT:
    case KQ_STORE_DELETE:
      kq_buf_printf (url, "kv/");
      kq_url_escape (url, op->key);
      if (op->kind == KQ_STORE_GET)
        return "GET";
      kq_buf_printf (url, "?expect=%llu", expect);
      if (op->kind == KQ_STORE_DELETE)
        return "DELETE";
      if (lease != 0)
        kq_buf_printf (url, "&lease=%llu", lease);
      return "PUT";
    case KQ_STORE_LIST:
      kq_buf_printf (url, "list?prefix=");
      kq_url_escape (url, op->key);
      return "GET";
    case KQ_STORE_WATCH:
      kq_buf_printf (url, "watch?above=%llu&wait_ms=%d&prefix=", expect, op->wait_ms);
      kq_url_escape (url, op->key);
      return "GET";
    case KQ_STORE_LEASE_GRANT:
      kq_buf_printf (url, "leases?ttl_ms=%d", op->lease_ms);
      return "POST";
    case KQ_STORE_LEASE_RENEW:
      kq_buf_printf (url, "leases/%llu?ttl_ms=%d", lease, op->lease_ms);
      return "PUT";
    case KQ_STORE_LEASE_REVOKE:
      kq_buf_printf (url, "leases/%llu", lease);
      return "DELETE";
    case KQ_STORE_HOSTS:
      kq_buf_printf (url, "hosts?depot=");
      kq_url_escape (url, op->key);
      break;
    }
  return "GET";
}
