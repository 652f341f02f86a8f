#include "port/hosts.h"
#include "port/json_reader.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define HOST                                                                             \
  "{\"hosts\":[{\"name\":\"w1\",\"region\":\"north\",\"depot\":\"d1\",\"rack\":\"r1\","  \
  "\"address\":\"http://127.0.0.1:9/w/w1\",\"state\":\"leaving\",\"size\":"              \
  "{\"cpu_milli\":16000,\"memory_mb\":60000,\"accelerators\":2},\"runners\":[{"          \
  "\"name\":\"r1\",\"address\":\"http://127.0.0.1:9/w/w1/r/r1\",\"slots\":8,"            \
  "\"connections\":64,\"services\":[\"plan\",\"tag-watch\"]}]}]}"

static void
test_reads_a_host (void **state)
{
  KqHostList l;
  (void)state;
  assert_int_equal (kq_hosts_parse (KQ_STR (HOST), &l), KQ_OK);
  assert_int_equal (l.n_hosts, 1);
  assert_true (l.hosts[0].id == kq_str_hash (KQ_STR ("w1")));
  assert_int_equal (l.hosts[0].state, KQ_HOST_LEAVING);
  assert_int_equal (l.hosts[0].capacity.accelerators, 2);
  assert_int_equal (l.hosts[0].runners[0].slots, 8);
  assert_int_equal (l.hosts[0].runners[0].n_services, 2);
  assert_true (
      kq_str_eq (kq_name_str (&l.hosts[0].runners[0].services[1]), KQ_STR ("tag-watch")));
  kq_hosts_free (&l);
  assert_int_equal (kq_hosts_parse (KQ_STR ("{\"hosts\":[]}"), &l), KQ_OK);
  kq_hosts_free (&l);
}

static KqResult
parse_with (const char *from, const char *to)
{
  KqBuf text = { 0 };
  const char *at = strstr (HOST, from);
  KqHostList l;
  KqResult r;
  assert_non_null (at);
  kq_buf_add (&text, HOST, (size_t)(at - HOST));
  kq_buf_add_str (&text, kq_str (to));
  kq_buf_add_str (&text, kq_str (at + strlen (from)));
  r = kq_hosts_parse (kq_buf_str (&text), &l);
  if (r != KQ_OK)
    assert_int_equal (l.n_hosts, 0);
  kq_hosts_free (&l);
  kq_buf_free (&text);
  return r;
}

/* A list with any invalid part is refused. If a host were left out, it would seem not to
 * exist; if a state were read as "gone" by mistake, the host's tasks would count as
 * stopped and would run twice. */
static void
test_refuses_invalid_lists (void **state)
{
  static const char *const changes[][2] = { { "\"w1\"", "\"\"" },
                                            { "\"w1\"", "\"a b\"" },
                                            { "\"w1\"", "7" },
                                            { "\"leaving\"", "\"lost\"" },
                                            { "\"state\"", "\"status\"" },
                                            { "16000", "-1" },
                                            { "16000", "1.5" },
                                            { "60000", "99999999999999999999" },
                                            { "{\"cpu", "[{\"cpu" },
                                            { "\"plan\"", "[]" },
                                            { "\"slots\":8", "\"slots\":\"8\"" },
                                            { "\"runners\":[{", "\"runners\":[3,{" },
                                            { "}]}]}", "}]}]" },
                                            { "{\"hosts\"", "{\"host\"" },
                                            { HOST, "" },
                                            { HOST, "[]" },
                                            { HOST, "{\"hosts\":[null]}" } };
  (void)state;
  assert_int_equal (parse_with ("\"w1\"", "\"w2\""), KQ_OK);
  for (size_t i = 0; i < sizeof changes / sizeof changes[0]; i++)
    {
      if (parse_with (changes[i][0], changes[i][1]) != KQ_ERR_PLATFORM_FORMAT)
        fail_msg ("read: %s -> %s", changes[i][0], changes[i][1]);
    }
}

static void
test_every_truncation_is_refused (void **state)
{
  KqHostList l;
  (void)state;
  for (size_t n = 0; n < strlen (HOST); n++)
    assert_int_equal (kq_hosts_parse (kq_str_n (HOST, n), &l), KQ_ERR_PLATFORM_FORMAT);
}

static void
test_url_escapes (void **state)
{
  KqBuf a = { 0 };
  KqBuf b = { 0 };
  char bytes[256];
  (void)state;
  for (int i = 0; i < 256; i++)
    bytes[i] = (char)i;
  kq_url_escape (&a, kq_str_n (bytes, sizeof bytes));
  kq_url_unescape (&b, kq_buf_str (&a));
  assert_true (kq_str_eq (kq_buf_str (&b), kq_str_n (bytes, sizeof bytes)));
  kq_buf_clear (&a);
  kq_url_escape (&a, KQ_STR ("log/7 &?\x01"));
  assert_string_equal (a.ptr, "log/7%20%26%3F%01");
  kq_buf_clear (&b);
  kq_url_unescape (&b, KQ_STR ("%4%41%"));
  assert_string_equal (b.ptr, "%4A%");
  kq_buf_free (&a);
  kq_buf_free (&b);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_reads_a_host),
    cmocka_unit_test (test_refuses_invalid_lists),
    cmocka_unit_test (test_every_truncation_is_refused),
    cmocka_unit_test (test_url_escapes),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
