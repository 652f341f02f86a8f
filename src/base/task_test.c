#include "../../bench/guard.h"
#include "base/task.h"
#include "port/mail.h"

#include <ev.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Two tasks: a forwards each mail to b, and b returns it to a `left` times. Both count
 * the mails they get. */
typedef struct
{
  KqLoop *loop;
  KqTask a;
  KqTask b;
  int got_a;
  int got_b;
  int left;
  int wanted_b; /* mails to b after which the loop stops */
} Pair;

static void
on_a (void *self, KqMail *mail, KqTime now)
{
  Pair *p = self;
  (void)now;
  p->got_a++;
  kq_task_send (&p->b, mail);
}

static void
on_b (void *self, KqMail *mail, KqTime now)
{
  Pair *p = self;
  (void)now;
  p->got_b++;
  if (p->left > 0)
    {
      p->left--;
      kq_task_send (&p->a, mail);
      return;
    }
  kq_mail_free (mail);
  if (p->got_b >= p->wanted_b)
    kq_loop_stop (p->loop);
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  Pair *p = w->data;
  (void)ev;
  (void)events;
  kq_task_send (&p->a, kq_mail_new (KQ_MAIL_DRAIN));
}

static void
run (Pair *p)
{
  loop_run_with_timeout (p->loop, 20);
}

static void
set_up (Pair *p)
{
  *p = (Pair){ .loop = kq_loop_new () };
  kq_task_init (&p->a, p->loop, "a", p, on_a);
  kq_task_init (&p->b, p->loop, "b", p, on_b);
}

/* A handler sends a mail, which is delivered in the same batch. A mail that is sent
 * later, after the loop has polled, must be delivered too. It was not when the end of the
 * batch removed the event fed by the handler's send: no mail was delivered any more, and
 * the whole process hung with its sockets open. */
static void
test_sends_from_handlers_do_not_stop_the_loop (void **state)
{
  Pair p;
  ev_timer later;
  (void)state;
  set_up (&p);
  p.wanted_b = 2;
  ev_timer_init (&later, on_timer, 0.01, 0);
  later.data = &p;
  ev_timer_start (kq_loop_ev (p.loop), &later);
  kq_task_send (&p.a, kq_mail_new (KQ_MAIL_DRAIN));
  run (&p);
  ev_timer_stop (kq_loop_ev (p.loop), &later);
  kq_loop_free (p.loop);
  assert_int_equal (p.got_a, 2);
  assert_int_equal (p.got_b, 2);
}

static void
on_always (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)events;
  ev_timer_again (ev, w);
}

/* Two tasks answer each other over several batches while a timer of the loop is always
 * due. The mails must neither delay the other events of the loop nor be starved by them.
 */
static void
test_batches_beside_busy_events (void **state)
{
  Pair p;
  ev_timer busy;
  (void)state;
  set_up (&p);
  p.left = 20000;
  p.wanted_b = 1;
  ev_timer_init (&busy, on_always, 0.0, 1e-9);
  ev_timer_start (kq_loop_ev (p.loop), &busy);
  kq_task_send (&p.a, kq_mail_new (KQ_MAIL_DRAIN));
  run (&p);
  ev_timer_stop (kq_loop_ev (p.loop), &busy);
  kq_loop_free (p.loop);
  assert_int_equal (p.got_b, 20001);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_sends_from_handlers_do_not_stop_the_loop),
    cmocka_unit_test (test_batches_beside_busy_events),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
