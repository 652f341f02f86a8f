#include "agent/frame.h"
#include "wire/pack.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* Items as version 1 writes them, and as a later version may. */

typedef struct
{
  KqBuf *out;
  size_t start;
  KqPacker p;
} Item;

static Item
begin (KqBuf *out, size_t fields, int64_t kind, KqStr runner)
{
  Item i = { .out = out, .start = out->len };
  kq_buf_add (out, "\0\0\0\0", 4);
  kq_packer_init (&i.p, out);
  kq_pack_array (&i.p, 2 + fields);
  kq_pack_i64 (&i.p, kind);
  kq_pack_str (&i.p, runner);
  return i;
}

static void
end (const Item *i)
{
  uint32_t n = (uint32_t)(i->out->len - i->start - 4);
  memcpy (i->out->ptr + i->start, &n, sizeof n);
}

static void
hello_of_version_1 (KqBuf *out)
{
  Item i = begin (out, 3, KQ_AGENT_ITEM_HELLO, KQ_STR (""));
  kq_pack_str (&i.p, KQ_STR ("n1"));
  kq_pack_str (&i.p, KQ_STR ("d1"));
  kq_pack_i64 (&i.p, 500);
  end (&i);
}

static void
list_of_version_1 (KqBuf *out)
{
  Item i = begin (out, 8, KQ_AGENT_ITEM_LIST, KQ_STR ("r"));
  kq_pack_i64 (&i.p, 99);
  kq_pack_i64 (&i.p, 5000);
  kq_pack_u64 (&i.p, 3);
  kq_pack_u64 (&i.p, 4);
  kq_pack_u64 (&i.p, 8);
  kq_pack_bool (&i.p, false);
  kq_pack_array (&i.p, 1);
  kq_pack_array (&i.p, 5);
  kq_pack_str (&i.p, KQ_STR ("j.0.1.2"));
  kq_pack_u64 (&i.p, 7);
  kq_pack_str (&i.p, KQ_STR ("cp"));
  kq_pack_i64 (&i.p, 41);
  kq_pack_i64 (&i.p, 12);
  kq_pack_array (&i.p, 0);
  end (&i);
}

static void
ping_of_version_1 (KqBuf *out)
{
  Item i = begin (out, 1, KQ_AGENT_ITEM_PING, KQ_STR (""));
  kq_pack_i64 (&i.p, 21);
  end (&i);
}

static void
outcome_of_version_1 (KqBuf *out)
{
  Item i = begin (out, 7, KQ_AGENT_ITEM_OUTCOME, KQ_STR ("r"));
  kq_pack_i64 (&i.p, KQ_ORDER_START);
  kq_pack_str (&i.p, KQ_STR ("j.0.1.2"));
  kq_pack_u64 (&i.p, 7);
  kq_pack_i64 (&i.p, KQ_ORDER_UNHEALTHY);
  kq_pack_u64 (&i.p, 3);
  kq_pack_u64 (&i.p, 4);
  kq_pack_i64 (&i.p, 4900);
  end (&i);
}

static void
take_of_version_1 (KqBuf *out)
{
  Item i = begin (out, 4, KQ_AGENT_ITEM_ORDER, KQ_STR (""));
  kq_pack_i64 (&i.p, KQ_ORDER_TAKE);
  kq_pack_str (&i.p, KQ_STR ("r"));
  kq_pack_str (&i.p, KQ_STR ("10.0.0.1:80"));
  kq_pack_u64 (&i.p, 6);
  end (&i);
}

static KqAgentItem
read_one (KqStr *rest)
{
  KqAgentItem i;
  assert_true (kq_agent_item_unpack (rest, &i));
  return i;
}

/* Guards against nodes that can't be upgraded one by one, as items of version 1 aren't
 * understood. */
static void
test_items_of_version_1 (void **state)
{
  KqBuf b = { 0 };
  KqStr rest;
  KqAgentItem i;
  (void)state;
  hello_of_version_1 (&b);
  list_of_version_1 (&b);
  ping_of_version_1 (&b);
  outcome_of_version_1 (&b);
  take_of_version_1 (&b);
  rest = kq_buf_str (&b);
  i = read_one (&rest);
  assert_int_equal (i.kind, KQ_AGENT_ITEM_HELLO);
  assert_int_equal (i.u.hello.info.share_milli, 500);
  assert_int_equal (i.u.hello.version, 1);
  i = read_one (&rest);
  assert_int_equal (i.kind, KQ_AGENT_ITEM_LIST);
  assert_int_equal (i.u.list.running[0].percent, 41);
  kq_agent_item_clear (&i);
  i = read_one (&rest);
  assert_int_equal (i.kind, KQ_AGENT_ITEM_PING);
  assert_int_equal (i.u.ping.heartbeat_sent_at, 21);
  assert_int_equal (i.u.ping.store_age_ms, -1);
  i = read_one (&rest);
  assert_int_equal (i.kind, KQ_AGENT_ITEM_OUTCOME);
  assert_int_equal (i.u.outcome.lease_left_ms, 4900);
  assert_false (i.u.outcome.unsent);
  assert_false (i.u.outcome.cordoned);
  i = read_one (&rest);
  assert_int_equal (i.kind, KQ_AGENT_ITEM_ORDER);
  assert_int_equal (i.u.order.u.take.assignment, 6);
  assert_int_equal (i.u.order.u.take.failure_domain.len, 0);
  kq_buf_free (&b);
}

/* Version 1 reads the first three fields of HELLO. */
static void
test_version_1_understands_hello (void **state)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_HELLO };
  KqBuf b = { 0 };
  KqUnpacked u;
  KqReader r;
  KqName name;
  (void)state;
  i.u.hello.info.name = kq_name (KQ_STR ("n2"));
  i.u.hello.info.share_milli = 250;
  i.u.hello.version = KQ_AGENT_PROTOCOL_VERSION;
  kq_agent_item_pack (&i, &b);
  assert_true (kq_unpacked_open (&u, kq_str_n (b.ptr + 4, b.len - 4), &r));
  assert_int_equal (kq_read_i64 (&r), KQ_AGENT_ITEM_HELLO);
  kq_read_str (&r);
  name = kq_read_name (&r);
  kq_read_name (&r);
  assert_true (kq_str_eq (kq_name_str (&name), KQ_STR ("n2")));
  assert_int_equal (kq_read_i64 (&r), 250);
  assert_false (r.bad);
  kq_unpacked_close (&u);
  kq_buf_free (&b);
}

/* Guards against losing the items that follow one of a later version. */
static void
test_unknown_kinds_and_fields_are_skipped (void **state)
{
  KqBuf b = { 0 };
  KqStr rest;
  KqAgentItem i;
  Item later = begin (&b, 2, 77, KQ_STR ("r"));
  (void)state;
  kq_pack_str (&later.p, KQ_STR ("what"));
  kq_pack_array (&later.p, 0);
  end (&later);
  later = begin (&b, 2, KQ_AGENT_ITEM_CANCEL, KQ_STR (""));
  kq_pack_str (&later.p, KQ_STR ("j1"));
  kq_pack_str (&later.p, KQ_STR ("more"));
  end (&later);
  later = begin (&b, 3, KQ_AGENT_ITEM_ORDER, KQ_STR (""));
  kq_pack_i64 (&later.p, 55);
  kq_pack_str (&later.p, KQ_STR ("r"));
  kq_pack_u64 (&later.p, 1);
  end (&later);
  list_of_version_1 (&b);
  rest = kq_buf_str (&b);
  i = read_one (&rest);
  assert_int_equal (i.kind, KQ_AGENT_ITEM_UNKNOWN);
  assert_int_equal (i.u.unknown.kind, 77);
  i = read_one (&rest);
  assert_int_equal (i.kind, KQ_AGENT_ITEM_CANCEL);
  assert_true (kq_str_eq (i.u.cancel.id, KQ_STR ("j1")));
  i = read_one (&rest);
  assert_int_equal (i.kind, KQ_AGENT_ITEM_UNKNOWN);
  i = read_one (&rest);
  assert_int_equal (i.kind, KQ_AGENT_ITEM_LIST);
  kq_agent_item_clear (&i);
  assert_int_equal (rest.len, 0);
  kq_buf_free (&b);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_items_of_version_1),
          cmocka_unit_test (test_version_1_understands_hello),
          cmocka_unit_test (test_unknown_kinds_and_fields_are_skipped) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
