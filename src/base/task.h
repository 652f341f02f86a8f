#ifndef KQ_BASE_TASK_H
#define KQ_BASE_TASK_H

/* task: units that own their sockets and state and talk by messages, on one event loop.
 *
 * A task never calls into another one: it sends a KqMail, which the loop delivers later,
 * in order of sending per receiver. Thus no task is ever entered while it runs. The
 * contents of mails are declared in port/mail.h. */

#include "base/time.h"

#include <stdbool.h>

struct ev_loop;
typedef struct KqMail KqMail; /* port/mail.h */
typedef struct KqLoop KqLoop;

typedef struct KqTask
{
  const char *name;
  void *self;
  /* Takes over the mail. */
  void (*handle) (void *self, KqMail *mail, KqTime now);
  /* Of the loop: the queue of mails not yet delivered. */
  KqLoop *loop;
  KqMail *first;
  KqMail *last;
  struct KqTask *next_ready;
  bool ready;
} KqTask;

KqLoop *kq_loop_new (void);
void kq_loop_free (KqLoop *l);
struct ev_loop *kq_loop_ev (KqLoop *l);
void kq_loop_run (KqLoop *l); /* until kq_loop_stop */
void kq_loop_stop (KqLoop *l);
KqTime kq_loop_now (const KqLoop *l);

void kq_task_init (KqTask *t, KqLoop *l, const char *name, void *self,
                   void (*handle) (void *, KqMail *, KqTime));
/* Drops mails that were not delivered. */
void kq_task_close (KqTask *t);
/* Takes over the mail. */
void kq_task_send (KqTask *t, KqMail *mail);

#endif
