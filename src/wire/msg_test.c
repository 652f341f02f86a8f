#include "wire/msg.h"

#include "wire/pack_check.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static KqMsg
sample_heartbeat (void)
{
  static KqServiceDigest services[2];
  static KqTeamDigest teams[1];
  static KqShardDigest shards[2];
  KqMsg m = { .kind = KQ_MSG_HEARTBEAT };
  services[0].service = kq_name (KQ_STR ("tag-watch"));
  services[1].work_us = -7;
  teams[0].team = kq_name (KQ_STR ("rounds"));
  shards[0].services = services;
  shards[0].n_services = 2;
  shards[1].shard = 9;
  shards[1].teams = teams;
  shards[1].n_teams = 1;
  m.u.heartbeat.node = 5;
  m.u.heartbeat.shards = shards;
  m.u.heartbeat.n_shards = 2;
  return m;
}

static void
test_heartbeat_round_trip (void **state)
{
  KqMsg m = sample_heartbeat ();
  KqMsg *c = kq_msg_copy (&m);
  const KqMsgHeartbeat *h = &c->u.heartbeat;
  (void)state;
  assert_int_equal (h->n_shards, 2);
  assert_int_equal (h->shards[0].services[1].work_us, -7);
  assert_true (kq_str_eq (kq_name_str (&h->shards[1].teams[0].team), KQ_STR ("rounds")));
  kq_msg_free (c);
}

static void
test_request_round_trip (void **state)
{
  KqHeader h[1] = { { KQ_STR ("Accept"), KQ_STR ("*/*") } };
  KqMsg m = { .kind = KQ_MSG_REQ_OPEN };
  m.u.req_open.flight = (KqFlightId){ 1, 2, 3 };
  m.u.req_open.path = KQ_STR ("/x?y");
  m.u.req_open.body_length = -1;
  m.u.req_open.headers = h;
  m.u.req_open.n_headers = 1;
  KqMsg *c = kq_msg_copy (&m);
  (void)state;
  assert_true (kq_flight_eq (c->u.req_open.flight, m.u.req_open.flight));
  assert_int_equal (c->u.req_open.body_length, -1);
  assert_true (kq_str_eq (c->u.req_open.headers[0].value, KQ_STR ("*/*")));
  kq_msg_free (c);
}

/* Truncated or damaged frames: every prefix of a frame is refused, and a frame with one
 * changed byte is refused or read as some message. None may cause a read beyond its end
 * or a memory leak; the sanitizer build detects both. */
static void
test_damaged_frames (void **state)
{
  KqMsg m = sample_heartbeat ();
  KqBuf b = { 0 };
  KqMsg got;
  (void)state;
  kq_msg_pack (&m, &b);
  for (size_t n = 0; n + 4 < b.len; n++)
    assert_int_equal (kq_msg_unpack (kq_str_n (b.ptr + 4, n), &got), KQ_ERR_FRAME_FORMAT);
  for (size_t i = 4; i < b.len; i++)
    {
      char saved = b.ptr[i];
      b.ptr[i] = (char)(saved ^ 0x55);
      if (kq_msg_unpack (kq_str_n (b.ptr + 4, b.len - 4), &got) == KQ_OK)
        kq_msg_clear (&got);
      b.ptr[i] = saved;
    }
  kq_buf_free (&b);
}

/* A frame of six bytes that announced an array of 2^32 objects made the reader allocate
 * memory for all of them at once, and the node was killed at its memory limit (found by
 * `make fuzz`). Counts above the number of bytes that follow must be refused before
 * anything is allocated. */
static void
test_counts_beyond_the_input (void **state)
{
  static const char *const texts[]
      = { "\xdd\xff\xff\xff\xff\x01", "\x92\x02\xdd\x7f\xff\xff\xff",
          "\x92\x02\xdf\x7f\xff\xff\xff", "\x92\x02\xdb\xff\xff\xff\xff", "\x9f\x02" };
  KqMsg got;
  (void)state;
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      assert_false (kq_pack_counts_fit (kq_str (texts[i])));
      assert_int_equal (kq_msg_unpack (kq_str (texts[i]), &got), KQ_ERR_FRAME_FORMAT);
    }
  assert_true (kq_pack_counts_fit (KQ_STR ("\x93\x01\xa1x\x81\x01\x02")));
}

/* Anyone who can connect may send a few bytes that announce an array of 2^32 elements.
 * They must be refused before memory for the elements is allocated; also nested, and as a
 * map or string. */
static void
test_announced_counts_are_not_trusted (void **state)
{
  static const char *const texts[]
      = { "\xdd\xff\xff\xff\xff\x01", "\x92\x04\xdd\xff\xff\xff\xff",
          "\xdf\xff\xff\xff\xff\x01", "\x92\x04\x91\xdc\xff\xff",
          "\xdb\xff\xff\xff\xff" };
  static const size_t lengths[] = { 6, 7, 6, 6, 5 };
  KqMsg m;
  (void)state;
  for (int i = 0; i < 5; i++)
    assert_int_equal (kq_msg_unpack (kq_str_n (texts[i], lengths[i]), &m),
                      KQ_ERR_FRAME_FORMAT);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_heartbeat_round_trip),
    cmocka_unit_test (test_request_round_trip),
    cmocka_unit_test (test_damaged_frames),
    cmocka_unit_test (test_announced_counts_are_not_trusted),
    cmocka_unit_test (test_counts_beyond_the_input),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
