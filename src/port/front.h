#ifndef KQ_PORT_FRONT_H
#define KQ_PORT_FRONT_H

/* front: the port to client accounts: their requests about jobs of steps, and the
 * answers. */

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
  KqSpec *spec;        /* SUBMIT: with steps, text and times; NULL: couldn't be parsed */
  int64_t deadline_ms; /* how long the client waits for the answer */
} KqFrontRequest;

typedef enum
{
  KQ_REPLY_DONE, /* accepted, or cancelled */
  KQ_REPLY_STATE,
  KQ_REPLY_WAITING,
  KQ_REPLY_NO_JOB,
  KQ_REPLY_NO_QUEUE,
  KQ_REPLY_REFUSED, /* not done and never will be: the client may retry later */
  KQ_REPLY_BAD,     /* the request is invalid */
  KQ_REPLY_TOO_LARGE,
  KQ_REPLY_UNKNOWN /* it may have been done: the client should retry at once */
} KqReplyKind;

typedef struct
{
  KqReplyKind kind;
  int state;        /* KqJobState */
  int64_t waiting;  /* jobs */
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
  bool (*ready) (void *arg, KqTime now); /* answer of the readiness check */
  bool (*leaving) (void *arg);     /* connections are to be closed after their answers */
  int64_t (*body_max) (void *arg); /* longest accepted request body, in bytes */
} KqFrontCallbacks;

typedef struct KqFront KqFront;
/* Listens at both "ip:port" addresses (for requests and for readiness checks); NULL when
 * one can't be bound. */
KqFront *kq_front_new (KqLoop *loop, KqStr front, KqStr ready,
                       const KqFrontCallbacks *callbacks);
void kq_front_ports (const KqFront *f, int *front, int *ready);
void kq_front_free (KqFront *f);
size_t kq_front_open_requests (const KqFront *f); /* requests without an answer */

#endif
