#ifndef KQ_BASE_CLIENT_LIMITS_H
#define KQ_BASE_CLIENT_LIMITS_H

/* client_limits: bounds what the connections of clients hold in this process, as a sum
 * over all of them and over all ports.
 *
 * Clients are those that haven't proved to be nodes of this fleet; nothing is assumed
 * about what they send or read. Each connection has an entry here, with the memory that
 * is held for it. While their number or the sum of the memory is too large, connections
 * are closed: first the one with the largest product of its memory and the time for which
 * it has held it without finishing what it began. A client that sends its request and
 * reads its answer without delay has a small product, however many others are connected.
 *
 * Requests that are being handled hold memory as well, also when their clients have left.
 * It counts in the same sum. A connection whose request is being handled isn't closed;
 * instead, further requests are refused while such requests hold one half of the sum. */

#include "base/counter.h"
#include "base/time.h"

/* Section [limits] of the settings. Clients may hold a sixth of the memory, of which
 * requests that are being handled one half, and connections may have one half of the
 * descriptors that aren't for files. */
typedef struct
{
  int64_t memory_mb; /* what the process may use */
  int64_t max_fds;   /* descriptors that it may open, files included */
  /* How long a connection may have no whole head, or take to send a body or to accept an
   * answer. A body or an answer gets one second more for each KQ_CLIENT_BYTES_PER_S. */
  int64_t request_ms;
} KqClientLimitsConfig;

#define KQ_CLIENT_BYTES_PER_S 4096

/* Memory of a connection without a request: what the HTTP server allocates for it, and
 * received bytes that aren't read yet. */
#define KQ_CLIENT_CONN_BYTES (72 * 1024)

typedef struct KqClientLimits KqClientLimits;
typedef struct KqClientConn KqClientConn;

typedef enum
{
  KQ_CLIENT_IDLE,      /* no request, or its head isn't complete */
  KQ_CLIENT_RECEIVING, /* the request's body is being received */
  KQ_CLIENT_HANDLED,   /* the request is complete and waits for its answer; the connection
                          isn't closed */
  KQ_CLIENT_SENDING    /* the answer is being sent */
} KqClientPhase;

/* An entry; it is part of its owner's connection. Only client_limits.c changes it. */
struct KqClientConn
{
  KqClientConn *prev;
  KqClientConn *next;
  KqClientPhase phase;
  KqTime since; /* when the phase began; pauses are left out */
  size_t bytes;
  uint64_t moved;   /* bytes received or sent in this phase */
  KqTime paused_at; /* 0: it isn't paused */
  bool closing;
  /* Closes the connection, at once or later. The owner then calls
   * kq_client_limits_remove; it may do so within this call. */
  void (*close) (void *arg);
  void *arg;
};

KqClientLimits *kq_client_limits_new (const KqClientLimitsConfig *c,
                                      KqCounters *counters);
/* There must be no entries left. */
void kq_client_limits_free (KqClientLimits *l);

/* Adds a connection in phase IDLE; close and arg are set. */
void kq_client_limits_add (KqClientLimits *l, KqClientConn *c, size_t bytes, KqTime now);
void kq_client_limits_remove (KqClientLimits *l, KqClientConn *c);
/* Notes what is held for the connection now. May close connections, also this one. */
void kq_client_limits_hold (KqClientLimits *l, KqClientConn *c, size_t bytes, KqTime now);
void kq_client_limits_enter (KqClientLimits *l, KqClientConn *c, KqClientPhase phase,
                             KqTime now);

/* Bytes have been received or sent. */
void kq_client_limits_moved (KqClientConn *c, size_t bytes);
/* This process stops and resumes receiving or sending; the client isn't to blame for the
 * time between. */
void kq_client_limits_pause (KqClientConn *c, KqTime now);
void kq_client_limits_resume (KqClientConn *c, KqTime now);
/* Closes the connections that have taken too long. To be called a few times a second. */
void kq_client_limits_expire (KqClientLimits *l, KqTime now);

/* A request that holds so many bytes is about to be handled. False: it has to be refused,
 * as too much is being handled. NULL for l: nothing is limited. */
bool kq_client_limits_begin_work (KqClientLimits *l, size_t bytes, KqTime now);
/* It has been answered. */
void kq_client_limits_end_work (KqClientLimits *l, size_t bytes);

/* How many connections may wait to be accepted at a port, where each may have received so
 * many bytes. */
int kq_client_limits_backlog (const KqClientLimits *l, size_t received);
/* Connections that aren't being closed, and the memory held for them. */
size_t kq_client_limits_count (const KqClientLimits *l);
size_t kq_client_limits_bytes (const KqClientLimits *l);

#endif
