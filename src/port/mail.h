#ifndef KQ_PORT_MAIL_H
#define KQ_PORT_MAIL_H

/* mail: the messages between the tasks of one process (base/task.h); messages between
 * nodes are in wire/msg.h. */

#include "base/task.h"
#include "port/hosts.h"
#include "port/outbox.h"
#include "table/table.h"

typedef enum
{
  KQ_MAIL_OUT,          /* to a port's task: carry out this call, or send this message */
  KQ_MAIL_MSG,          /* from the mesh: a message has arrived from `peer` */
  KQ_MAIL_PEER,         /* from the mesh: the connection to `peer` went up or down */
  KQ_MAIL_STORE_REPLY,  /* from the store's task */
  KQ_MAIL_WORKER_REPLY, /* from the workers' task */
  KQ_MAIL_HOSTS,        /* to the workers' task: a host list, which has the addresses */
  KQ_MAIL_SHARD_HOSTS,  /* to the runners' task: the hosts of a shard this node owns */
  KQ_MAIL_SHARD_GONE,   /* to the runners' task: this node no longer owns the shard */
  KQ_MAIL_TABLE,        /* from the node's task: a new table is in force */
  KQ_MAIL_NODE,         /* from the node's task: a node's state changed */
  KQ_MAIL_SERVICES,     /* from the runners' task: a digest of each service */
  KQ_MAIL_DRAIN,        /* to a task: accept no new work */
  KQ_MAIL_DRAINED       /* from a task that has drained: it has no open work left */
} KqMailKind;

typedef struct
{
  KqNodeId peer;
  uint64_t incarnation;
  bool up;
  bool was_up; /* if `up` is false: whether the connection was up before. If not, nothing
                  given to the mesh since the last mail with `up` false has been sent */
  KqResult reason; /* if `up` is false: why */
} KqMailPeer;

typedef struct
{
  uint32_t shard;
  bool taken_over; /* the shard was taken without a handover, so what runs on its hosts is
                      unknown */
  KqHostList hosts; /* owned */
} KqMailShardHosts;

typedef struct
{
  KqNodeId node;
  KqName region;
  KqName depot;
  bool usable; /* alive and not draining */
  bool gone;   /* it has left the cluster; all state about it can be dropped */
} KqMailNode;

typedef struct
{
  KqServiceDigest *digests; /* owned */
  size_t n_digests;
} KqMailServices;

struct KqMail
{
  KqMail *next;
  KqMailKind kind;
  union
  {
    KqOut out;
    struct
    {
      KqNodeId peer;
      KqMsg *msg; /* owned */
    } msg;
    KqMailPeer peer;
    KqStoreReply store_reply;   /* owns what it points to */
    KqWorkerReply worker_reply; /* owns what it points to */
    KqHostList hosts;           /* owned */
    KqMailShardHosts shard_hosts;
    uint32_t shard_gone;
    KqTable *table; /* a reference */
    KqMailNode node;
    KqMailServices services;
    const char *drained; /* the task's name */
  } u;
};

KqMail *kq_mail_new (KqMailKind kind);
void kq_mail_free (KqMail *m);
KqMail *kq_mail_out (KqOut *item); /* takes over what the item owns */
KqMail *kq_mail_msg (KqNodeId peer, const KqMsg *msg);
/* Makes the mesh send a copy of the message to the node `to`. */
void kq_mail_send_msg (KqTask *mesh, KqNodeId to, const KqMsg *msg);
/* Makes the mesh answer a QUERY message of the node `to`. text: JSON when code is KQ_OK,
 * otherwise an error message. */
void kq_mail_send_answer (KqTask *mesh, KqNodeId to, uint64_t call, KqResult code,
                          KqStr text);
KqMail *kq_mail_store_reply (const KqStoreReply *r);   /* deep copy */
KqMail *kq_mail_worker_reply (const KqWorkerReply *r); /* deep copy */

#endif
