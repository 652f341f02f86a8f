#include "shard/hold.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

static void
add (KqHold *h, KqSeq after, uint64_t token)
{
  KqOutbox box;
  KqStoreOp op = { .token = token, .key = KQ_STR ("k") };
  kq_outbox_init (&box);
  kq_outbox_store (&box, &op);
  kq_hold_add (h, after, &box);
  kq_outbox_free (&box);
}

/* Empties the outbox; the tokens must be first..last in order. */
static void
expect (KqOutbox *out, uint64_t first, uint64_t last)
{
  KqOut item;
  uint64_t next = first;
  while (kq_outbox_take (out, &item))
    {
      assert_int_equal (item.u.store.token, next);
      next++;
      kq_out_clear (&item);
    }
  assert_int_equal (next, last + 1);
}

/* Guards against reordering: an item that needs no record must not leave before an
 * earlier item whose record isn't committed, or the caller would get a later answer
 * first. */
static void
test_order (void **state)
{
  KqHold h;
  KqOutbox out;
  (void)state;
  kq_hold_init (&h);
  kq_outbox_init (&out);
  add (&h, 5, 1);
  add (&h, 0, 2);
  add (&h, 7, 3);
  kq_hold_release (&h, 4, &out);
  expect (&out, 1, 0);
  kq_hold_release (&h, 6, &out);
  expect (&out, 1, 2);
  kq_hold_free (&h);
  kq_outbox_free (&out);
}

/* Under steady load one item is always held. The memory must stay bounded. */
static void
test_space_is_reused (void **state)
{
  KqHold h;
  KqOutbox out;
  (void)state;
  kq_hold_init (&h);
  kq_outbox_init (&out);
  add (&h, 1, 1);
  for (KqSeq seq = 2; seq <= 10000; seq++)
    {
      add (&h, seq, seq);
      kq_hold_release (&h, seq - 1, &out);
      expect (&out, seq - 1, seq - 1);
    }
  assert_in_range (h.capacity, 1, 64);
  kq_hold_free (&h);
  kq_outbox_free (&out);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_order),
    cmocka_unit_test (test_space_is_reused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
