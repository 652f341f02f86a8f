#ifndef KQ_WIRE_HELLO_H
#define KQ_WIRE_HELLO_H

/* hello: the handshake messages that authenticate both ends of a mesh connection.
 *
 * Each end picks a nonce. The initiator sends a hello with a digest over peer nonce 0,
 * the responder answers with a digest over the initiator's nonce, and the initiator sends
 * a second hello with a digest over the responder's nonce. The digest is HMAC-SHA256,
 * keyed with the cluster's secret, over all fields and the peer's nonce; a recorded hello
 * therefore can't be replayed on another connection. */

#include "wire/msg.h"

typedef struct
{
  KqStr cluster;
  KqStr node;
  KqNodeId node_id;
  uint64_t incarnation;
  KqStr region;
  KqStr depot;
  KqStr secret;
} KqHelloSelf;

/* Copies *from with its strings. */
void kq_hello_self_copy (KqHelloSelf *to, const KqHelloSelf *from);
/* Frees the strings of a copy. */
void kq_hello_self_clear (KqHelloSelf *s);

/* Length of a digest in hex, without the NUL. */
#define KQ_HELLO_DIGEST_LEN 64

/* Fills *out. Its strings are those of *self and, for the digest, `digest`. */
void kq_hello_make (const KqHelloSelf *self, uint64_t nonce, uint64_t peer_nonce,
                    char digest[KQ_HELLO_DIGEST_LEN + 1], KqMsgHello *out);
/* Checks a hello of the peer against the nonce that its digest must cover. Returns KQ_OK,
 * KQ_ERR_HELLO_CLUSTER, KQ_ERR_HELLO_VERSION or KQ_ERR_HELLO_DIGEST. */
KqResult kq_hello_check (const KqHelloSelf *self, const KqMsgHello *h,
                         uint64_t our_nonce);

#endif
