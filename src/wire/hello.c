#include "wire/hello.h"

#include <glib.h>

#include <string.h>

static void
digest_field (GHmac *mac, KqStr s)
{
  uint64_t n = s.len;
  g_hmac_update (mac, (const guchar *)&n, sizeof n);
  g_hmac_update (mac, (const guchar *)s.ptr, (gssize)s.len);
}

static void
digest_number (GHmac *mac, uint64_t v)
{
  g_hmac_update (mac, (const guchar *)&v, sizeof v);
}

static void
make_digest (KqStr secret, const KqMsgHello *h, uint64_t peer_nonce,
             char out[KQ_HELLO_DIGEST_LEN + 1])
{
  GHmac *mac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)secret.ptr, secret.len);
  digest_field (mac, h->cluster);
  digest_number (mac, h->version);
  digest_field (mac, h->node);
  digest_number (mac, h->node_id);
  digest_number (mac, h->incarnation);
  digest_field (mac, h->region);
  digest_field (mac, h->depot);
  digest_number (mac, h->nonce);
  digest_number (mac, peer_nonce);
  memcpy (out, g_hmac_get_string (mac), KQ_HELLO_DIGEST_LEN + 1);
  g_hmac_unref (mac);
}

void
kq_hello_self_copy (KqHelloSelf *to, const KqHelloSelf *from)
{
  *to = *from;
  to->cluster = kq_str_own (from->cluster);
  to->node = kq_str_own (from->node);
  to->region = kq_str_own (from->region);
  to->depot = kq_str_own (from->depot);
  to->secret = kq_str_own (from->secret);
}

void
kq_hello_self_clear (KqHelloSelf *s)
{
  kq_str_drop (&s->cluster);
  kq_str_drop (&s->node);
  kq_str_drop (&s->region);
  kq_str_drop (&s->depot);
  kq_str_drop (&s->secret);
}

void
kq_hello_make (const KqHelloSelf *self, uint64_t nonce, uint64_t peer_nonce,
               char digest[KQ_HELLO_DIGEST_LEN + 1], KqMsgHello *out)
{
  *out = (KqMsgHello){ .cluster = self->cluster,
                       .version = KQ_WIRE_VERSION,
                       .node = self->node,
                       .node_id = self->node_id,
                       .incarnation = self->incarnation,
                       .region = self->region,
                       .depot = self->depot,
                       .nonce = nonce };
  make_digest (self->secret, out, peer_nonce, digest);
  out->digest = kq_str_n (digest, KQ_HELLO_DIGEST_LEN);
}

KqResult
kq_hello_check (const KqHelloSelf *self, const KqMsgHello *h, uint64_t our_nonce)
{
  char digest[KQ_HELLO_DIGEST_LEN + 1];
  if (!kq_str_eq (h->cluster, self->cluster))
    return KQ_ERR_HELLO_CLUSTER;
  if (h->version != KQ_WIRE_VERSION)
    return KQ_ERR_HELLO_VERSION;
  make_digest (self->secret, h, our_nonce, digest);
  if (!kq_str_eq_secret (h->digest, kq_str_n (digest, KQ_HELLO_DIGEST_LEN))
      || h->node_id != kq_str_hash (h->node))
    return KQ_ERR_HELLO_DIGEST;
  return KQ_OK;
}
