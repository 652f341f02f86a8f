#ifndef KQ_BASE_TASK_H
#define KQ_BASE_TASK_H

/* task: actors on one event loop. A task owns its sockets and state, and communicates
 * with other tasks by messages within the process (mails).
 *
 * A task never calls functions of another one: it sends a KqMail. The loop delivers it
 * later, not during the send; each task gets its mails in the order of sending. A task's
 * handler is therefore never entered while it runs. The contents of mails are declared in
 * port/mail.h. */

#include "base/time.h"

#include <stdbool.h>

struct ev_loop;
typedef struct KqMail KqMail; /* port/mail.h */
typedef struct KqLoop KqLoop;

typedef struct KqTask
{
  const char *name;
  void *self;
  /* Handles one mail, which it must free. now: when the batch of mails began. */
  void (*handle) (void *self, KqMail *mail, KqTime now);
  /* Used by the loop only. */
  KqLoop *loop;
  KqMail *first; /* queue of mails to be delivered */
  KqMail *last;
  struct KqTask *next_ready; /* list of the tasks that have mails */
  bool ready;                /* in that list */
} KqTask;

KqLoop *kq_loop_new (void);
void kq_loop_free (KqLoop *l);
struct ev_loop *kq_loop_ev (KqLoop *l);
void kq_loop_run (KqLoop *l); /* returns after kq_loop_stop */
void kq_loop_stop (KqLoop *l);
KqTime kq_loop_now (const KqLoop *l); /* the same as kq_time_now () */

void kq_task_init (KqTask *t, KqLoop *l, const char *name, void *self,
                   void (*handle) (void *, KqMail *, KqTime));
/* Frees mails that were not delivered. */
void kq_task_close (KqTask *t);
/* Sends a mail to the task, and takes over its ownership. */
void kq_task_send (KqTask *t, KqMail *mail);

#endif
