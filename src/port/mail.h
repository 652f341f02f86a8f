#ifndef KQ_PORT_MAIL_H
#define KQ_PORT_MAIL_H

/* mail: what tasks of one process send each other (see base/task.h). */

#include "base/task.h"
#include "port/hosts.h"
#include "port/outbox.h"
#include "table/table.h"

typedef enum
{
  KQ_MAIL_OUT,          /* to a port's task: carry this out */
  KQ_MAIL_MSG,          /* from the mesh: a message came from `peer` */
  KQ_MAIL_PEER,         /* from the mesh: the connection to `peer` came up or went */
  KQ_MAIL_STORE_REPLY,  /* from the store's task */
  KQ_MAIL_WORKER_REPLY, /* from the workers' task */
  KQ_MAIL_HOSTS,        /* to the workers' task: addresses of all workers we own */
  KQ_MAIL_SHARD_HOSTS,  /* to the runners' task: the hosts of a shard we own */
  KQ_MAIL_SHARD_GONE,   /* to the runners' task: the shard is no longer ours */
  KQ_MAIL_TABLE,        /* from the node's task: a new table is in force */
  KQ_MAIL_NODE,         /* from the node's task: a node's state changed */
  KQ_MAIL_SERVICES,     /* from the runners' task: its digest, one line a service */
  KQ_MAIL_DRAIN,        /* take no new work */
  KQ_MAIL_DRAINED       /* from a task that was told to: nothing is left open */
} KqMailKind;

typedef struct
{
  KqNodeId peer;
  uint64_t incarnation;
  bool up;
  bool was_up; /* down: false means that nothing sent since the last `down` has left */
  KqResult reason; /* of going down */
} KqMailPeer;

typedef struct
{
  uint32_t shard;
  bool taken_over;  /* we don't know what runs there: the former owner didn't tell */
  KqHostList hosts; /* owned */
} KqMailShardHosts;

typedef struct
{
  KqNodeId node;
  KqName region;
  KqName depot;
  bool usable; /* alive and not draining */
  bool gone;   /* forget it */
} KqMailNode;

typedef struct
{
  KqServiceDigest *lines; /* owned */
  size_t n_lines;
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
    KqStoreReply store_reply;   /* owns what it points at */
    KqWorkerReply worker_reply; /* owns what it points at */
    KqHostList hosts;           /* owned */
    KqMailShardHosts shard_hosts;
    uint32_t shard_gone;
    KqTable *table; /* a reference */
    KqMailNode node;
    KqMailServices services;
    const char *drained; /* who */
  } u;
};

KqMail *kq_mail_new (KqMailKind kind);
void kq_mail_free (KqMail *m);
KqMail *kq_mail_out (KqOut *item); /* takes over what the item owns */
KqMail *kq_mail_msg (KqNodeId peer, const KqMsg *msg);
/* Has the mesh send a copy of the message to the node `to`. */
void kq_mail_send_msg (KqTask *mesh, KqNodeId to, const KqMsg *msg);
/* Answers a QUERY: JSON, or with another code than KQ_OK what is wrong. */
void kq_mail_send_answer (KqTask *mesh, KqNodeId to, uint64_t call, KqResult code,
                          KqStr text);
KqMail *kq_mail_store_reply (const KqStoreReply *r);   /* deep copy */
KqMail *kq_mail_worker_reply (const KqWorkerReply *r); /* deep copy */

#endif
