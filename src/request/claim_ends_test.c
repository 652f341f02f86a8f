#include "request/claim_ends.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

static void
count_send (void *arg, const KqMsg *done)
{
  int *n = arg;
  assert_int_equal (done->kind, KQ_MSG_CLAIM_DONE);
  ++*n;
}

/* The claim's owner dies right after the end was sent to it, before it was committed. The
 * end must be resent until the successor has recovered, and then be dropped. Without a
 * lost node nothing is resent. */
static void
test_told_again_after_a_loss (void **state)
{
  KqClaimEnds *e = kq_claim_ends_new ();
  KqMsg m = { .kind = KQ_MSG_CLAIM_DONE };
  KqTime now = 100 * KQ_SEC;
  int sent = 0;
  (void)state;
  m.u.claim_done.body = KQ_STR ("answer");
  kq_claim_ends_add (e, &m, now);
  for (int i = 0; i < 10; i++)
    kq_claim_ends_tick (e, now += KQ_SEC, count_send, &sent);
  assert_int_equal (sent, 0);
  kq_claim_ends_node_lost (e, now);
  for (int i = 0; i < 35; i++)
    kq_claim_ends_tick (e, now += KQ_SEC, count_send, &sent);
  assert_true (sent >= 15);
  assert_int_equal (kq_claim_ends_count (e), 1);
  for (int i = 0; i < 10; i++)
    kq_claim_ends_tick (e, now += KQ_SEC, count_send, &sent);
  assert_int_equal (kq_claim_ends_count (e), 0);
  kq_claim_ends_free (e);
}

/* With many large answers the memory must stay bounded; the newest are kept. */
static void
test_bounded (void **state)
{
  KqClaimEnds *e = kq_claim_ends_new ();
  KqMsg m = { .kind = KQ_MSG_CLAIM_DONE };
  char *body = kq_alloc (64 * 1024);
  (void)state;
  m.u.claim_done.body = kq_str_n (body, 64 * 1024);
  for (int i = 0; i < 500; i++)
    kq_claim_ends_add (e, &m, 1);
  assert_true (kq_claim_ends_count (e) < 130);
  assert_true (kq_claim_ends_count (e) > 100);
  kq_claim_ends_free (e);
  free (body);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_told_again_after_a_loss),
    cmocka_unit_test (test_bounded),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
