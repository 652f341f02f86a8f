#include "base/task.h"

#include "port/mail.h"

#include <ev.h>

#include <assert.h>
#include <stdlib.h>

/* Mails delivered before the loop looks at sockets and timers again: tasks that answer
 * each other must not keep the sockets waiting. */
#define DELIVER_MAX 4096

struct KqLoop
{
  struct ev_loop *ev;
  /* Fed as an event at the first send, so that it runs before the next poll. Never
   * started. */
  ev_idle deliver;
  /* While mails are left behind a batch: due at once, but after the poll, and not behind
   * other events as an idle watcher would be. */
  ev_timer again;
  bool scheduled; /* `deliver` is fed, `again` runs, or a batch is being delivered */
  KqTask *first_ready;
  KqTask *last_ready;
};

static KqTask *
take_ready (KqLoop *l)
{
  KqTask *t = l->first_ready;
  l->first_ready = t->next_ready;
  if (l->first_ready == NULL)
    l->last_ready = NULL;
  t->next_ready = NULL;
  t->ready = false;
  return t;
}

static void
add_ready (KqLoop *l, KqTask *t)
{
  t->ready = true;
  if (l->last_ready != NULL)
    l->last_ready->next_ready = t;
  else
    l->first_ready = t;
  l->last_ready = t;
}

static void
deliver (KqLoop *l)
{
  KqTime now = kq_time_now ();
  for (int n = 0; n < DELIVER_MAX && l->first_ready != NULL; n++)
    {
      KqTask *t = take_ready (l);
      KqMail *m = t->first;
      t->first = m->next;
      if (t->first == NULL)
        t->last = NULL;
      m->next = NULL;
      if (t->first != NULL)
        add_ready (l, t);
      t->handle (t->self, m, now);
    }
}

/* Sends of the handlers need no event of their own: what they leave behind is seen
 * here. Taking such an event back when nothing was left once stopped all delivery for
 * good, as `scheduled` still said that one was due. */
static void
run_batch (KqLoop *l)
{
  l->scheduled = true;
  deliver (l);
  l->scheduled = l->first_ready != NULL;
  if (l->scheduled)
    ev_timer_start (l->ev, &l->again);
}

static void
on_deliver (struct ev_loop *ev, ev_idle *w, int events)
{
  (void)ev;
  (void)events;
  run_batch (w->data);
}

static void
on_again (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  run_batch (w->data);
}

KqLoop *
kq_loop_new (void)
{
  KqLoop *l = kq_alloc (sizeof *l);
  l->ev = ev_loop_new (EVFLAG_AUTO);
  assert (l->ev != NULL);
  ev_idle_init (&l->deliver, on_deliver);
  ev_timer_init (&l->again, on_again, 0, 0);
  l->deliver.data = l->again.data = l;
  return l;
}

void
kq_loop_free (KqLoop *l)
{
  if (l == NULL)
    return;
  ev_loop_destroy (l->ev);
  free (l);
}

struct ev_loop *
kq_loop_ev (KqLoop *l)
{
  return l->ev;
}

void
kq_loop_run (KqLoop *l)
{
  ev_run (l->ev, 0);
}

void
kq_loop_stop (KqLoop *l)
{
  ev_break (l->ev, EVBREAK_ALL);
}

KqTime
kq_loop_now (const KqLoop *l)
{
  (void)l;
  return kq_time_now ();
}

void
kq_task_init (KqTask *t, KqLoop *l, const char *name, void *self,
              void (*handle) (void *, KqMail *, KqTime))
{
  *t = (KqTask){ .name = name, .self = self, .handle = handle, .loop = l };
}

static void
leave_ready (KqTask *t)
{
  KqLoop *l = t->loop;
  KqTask **at = &l->first_ready;
  KqTask *last = NULL;
  while (*at != NULL)
    {
      if (*at == t)
        *at = t->next_ready;
      else
        {
          last = *at;
          at = &(*at)->next_ready;
        }
    }
  l->last_ready = last;
  t->ready = false;
}

void
kq_task_close (KqTask *t)
{
  if (t->ready)
    leave_ready (t);
  while (t->first != NULL)
    {
      KqMail *m = t->first;
      t->first = m->next;
      kq_mail_free (m);
    }
  t->last = NULL;
}

void
kq_task_send (KqTask *t, KqMail *mail)
{
  mail->next = NULL;
  if (t->last != NULL)
    t->last->next = mail;
  else
    t->first = mail;
  t->last = mail;
  if (!t->ready)
    add_ready (t->loop, t);
  if (!t->loop->scheduled)
    {
      t->loop->scheduled = true;
      ev_feed_event (t->loop->ev, &t->loop->deliver, EV_CUSTOM);
    }
}
