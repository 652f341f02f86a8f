#include "bench/procs.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

/* Nothing listens at the store's address; this test needs no store. */
static void
write_settings (const char *path, const char *level)
{
  FILE *f = fopen (path, "w");
  assert_non_null (f);
  fprintf (f,
           "[fleet]\nnode = \"n0\"\nfailure_domain = \"north\"\nregion = \"r\"\n"
           "log_level = \"%s\"\n"
           "[listen]\nip = \"127.0.0.1\"\nfront = \"127.0.0.1:0\"\n"
           "ready = \"127.0.0.1:0\"\npeer_port = 0\nmetrics_port = 0\n"
           "[store]\naddress = \"127.0.0.1:1\"\n",
           level);
  fclose (f);
}

/* The platform changes a node's settings file without sending a signal. Guards against a
 * node that keeps the settings of its start: it must reload the file within seconds. A
 * file with errors leaves the settings in force unchanged. */
static void
test_file_that_changes_without_a_signal (void **state)
{
  Procs p;
  char path[128];
  char options[160];
  char rest[256];
  int node;
  (void)state;
  assert_true (procs_init (&p, KQ_BUILD_DIR));
  snprintf (path, sizeof path, "%s/node.toml", p.dir);
  write_settings (path, "info");
  snprintf (options, sizeof options, "--settings %s", path);
  node = procs_start_program (&p, PROCS_FLEET_NODE, "kumquatd", options);
  assert_true (node >= 0);
  assert_true (procs_wait_text (&p, node, "out", "Started. front=", rest));
  write_settings (path, "loud");
  assert_true (procs_wait_text (&p, node, "out", "Settings not reloaded", rest));
  write_settings (path, "debug");
  assert_true (procs_wait_text (
      &p, node, "out", "Settings reloaded. cause=file changed log_level=3", rest));
  remove (path);
  procs_free (&p, false);
}

/* Guards against a limit from the command line that is out of its range and yet taken. */
static void
test_limit_options_are_checked (void **state)
{
  Procs p;
  char path[128];
  char options[200];
  char rest[256];
  int node;
  (void)state;
  assert_true (procs_init (&p, KQ_BUILD_DIR));
  snprintf (path, sizeof path, "%s/node.toml", p.dir);
  write_settings (path, "info");
  snprintf (options, sizeof options, "--settings %s --memory-mb 5", path);
  node = procs_start_program (&p, PROCS_FLEET_NODE, "kumquatd", options);
  assert_int_equal (procs_wait_exit (&p, node, 10 * KQ_SEC), 2);
  assert_true (procs_wait_text (&p, node, "log", "(105 SETTINGS_RANGE)", rest));
  snprintf (options, sizeof options, "--settings %s --memory-mb 64 --max-fds 300", path);
  node = procs_start_program (&p, PROCS_FLEET_NODE, "kumquatd", options);
  assert_true (procs_wait_text (&p, node, "out", "Started. front=", rest));
  remove (path);
  procs_free (&p, false);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_file_that_changes_without_a_signal),
          cmocka_unit_test (test_limit_options_are_checked) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
