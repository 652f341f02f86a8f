#ifndef KQ_PORT_FRONT_H
#define KQ_PORT_FRONT_H

/* front: the port to client accounts: receives their requests about jobs (which consist
 * of steps) and sends the answers. */

#include "base/client_limits.h"
#include "base/task.h"
#include "steps/spec.h"

/* A request that has not been answered yet. */
typedef struct KqFrontExchange KqFrontExchange;

typedef enum
{
  KQ_FRONT_SUBMIT,
  KQ_FRONT_READ, /* a job's state; with a queue's path, the number of its waiting jobs */
  KQ_FRONT_CANCEL
} KqFrontKind;

typedef struct
{
  KqFrontKind kind;
  KqStr host;
  KqStr path;
  KqSpec *spec; /* SUBMIT: the job's steps, text and times, valid during the callback;
                   NULL: the body couldn't be parsed */
  int64_t deadline_ms; /* how long the client waits for the answer */
} KqFrontRequest;

typedef enum
{
  KQ_REPLY_DONE,    /* the job was accepted or cancelled */
  KQ_REPLY_STATE,   /* the job's state, in `state` */
  KQ_REPLY_WAITING, /* the queue's number of waiting jobs, in `waiting` */
  KQ_REPLY_NO_JOB,
  KQ_REPLY_NO_QUEUE,
  KQ_REPLY_REFUSED, /* the request was not and won't be carried out: the client may retry
                       later */
  KQ_REPLY_BAD,     /* the request is invalid */
  KQ_REPLY_TOO_LARGE,
  KQ_REPLY_UNKNOWN /* the request may have been carried out: the client should retry at
                      once */
} KqReplyKind;

typedef struct
{
  KqReplyKind kind;
  int state;        /* STATE: a KqJobState */
  int64_t waiting;  /* WAITING: number of jobs */
  int64_t retry_ms; /* REFUSED: delay before a retry */
  const char *why;  /* REFUSED, BAD: the reason, a few words; NULL: none */
} KqFrontReply;

/* Answers the request and frees `e`. Sends nothing if the client has disconnected. */
void kq_front_exchange_reply (KqFrontExchange *e, const KqFrontReply *r);

typedef struct
{
  void *arg;
  /* Must lead to exactly one kq_front_exchange_reply, at once or later. */
  void (*request) (void *arg, KqFrontExchange *e, const KqFrontRequest *r, KqTime now);
  bool (*ready) (void *arg, KqTime now); /* whether the readiness check succeeds */
  bool (*leaving) (void *arg);     /* whether to close each connection after its answer */
  int64_t (*body_max) (void *arg); /* longest accepted request body, in bytes */
  KqClientLimits *limits;          /* of what clients hold; NULL: none */
} KqFrontCallbacks;

typedef struct KqFront KqFront;
/* Listens at both "ip:port" addresses (for requests and for readiness checks); NULL when
 * one can't be bound. */
KqFront *kq_front_new (KqLoop *loop, KqStr front, KqStr ready,
                       const KqFrontCallbacks *callbacks);
/* The ports that the two servers are bound to (for an address with port 0). */
void kq_front_ports (const KqFront *f, int *front, int *ready);
/* Closes both servers and all connections; later replies to open requests are dropped. */
void kq_front_close (KqFront *f);
void kq_front_free (KqFront *f);
size_t kq_front_open_requests (const KqFront *f); /* requests without an answer */

#endif
