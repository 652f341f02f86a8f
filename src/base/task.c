#include "base/task.h"

#include "port/mail.h"

#include <ev.h>

#include <assert.h>
#include <stdlib.h>

/* Mails delivered in one batch, before the loop polls sockets and timers again. Without a
 * limit tasks that answer each other would keep the sockets waiting. */
#define DELIVER_MAX 4096

struct KqLoop
{
  struct ev_loop *ev;
  /* Fed as an event by the first send, so that it runs before the next poll. This watcher
   * is never started. */
  ev_idle deliver;
  /* Active while mails are left after a batch. A timer of 0 s fires after the next poll;
   * an idle watcher would run only when there are no other events. */
  ev_timer next_batch;
  bool scheduled; /* a batch is due or being delivered */
  KqTask *first_ready;
  KqTask *last_ready;
};

static KqTask *
pop_ready (KqLoop *l)
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
      KqTask *t = pop_ready (l);
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

/* Delivers one batch. `scheduled` is set meanwhile, so that mails sent by handlers feed
 * no event: those left over are seen at the end of the batch. If an event were fed and
 * then removed when no mail is left, `scheduled` would stay true and no mail would be
 * delivered any more. */
static void
run_batch (KqLoop *l)
{
  l->scheduled = true;
  deliver (l);
  l->scheduled = l->first_ready != NULL;
  if (l->scheduled)
    ev_timer_start (l->ev, &l->next_batch);
}

static void
on_deliver (struct ev_loop *ev, ev_idle *w, int events)
{
  (void)ev;
  (void)events;
  run_batch (w->data);
}

static void
on_next_batch (struct ev_loop *ev, ev_timer *w, int events)
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
  ev_timer_init (&l->next_batch, on_next_batch, 0, 0);
  l->deliver.data = l->next_batch.data = l;
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
remove_ready (KqTask *t)
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
    remove_ready (t);
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
