#include "fuzz.h"

#include <glib.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* Fails the test if a corpus folder is missing or nearly empty. */
#define FILES_MIN 8

static const KqFuzzTarget targets[] = {
  { "frame", kq_fuzz_frame },       { "block", kq_fuzz_block },
  { "record", kq_fuzz_record },     { "table", kq_fuzz_table },
  { "row", kq_fuzz_row },           { "settings", kq_fuzz_settings },
  { "hosts", kq_fuzz_hosts },       { "worker", kq_fuzz_worker },
  { "platform", kq_fuzz_platform }, { "keys", kq_fuzz_keys },
};

/* Runs the target on the file, on each proper prefix of it, and with each single byte
 * changed. */
static void
run_file (const KqFuzzTarget *t, const char *path)
{
  gchar *bytes = NULL;
  gsize len = 0;
  assert_true (g_file_get_contents (path, &bytes, &len, NULL));
  t->run (kq_str_n (bytes, len));
  for (size_t n = 0; n < len; n++)
    {
      /* An exact-size copy, so that AddressSanitizer reports a read past the end. */
      char *prefix = g_memdup2 (bytes, n);
      t->run (kq_str_n (prefix, n));
      g_free (prefix);
    }
  for (size_t i = 0; i < len; i++)
    {
      bytes[i] = (char)(bytes[i] ^ 0x55);
      t->run (kq_str_n (bytes, len));
      bytes[i] = (char)(bytes[i] ^ 0x55);
    }
  g_free (bytes);
}

/* Guards against parsers that crash on malformed input from a peer, the store, the
 * platform or an operator, which would end the node. The corpus holds inputs that covered
 * new code in a parser, and every input that once crashed one. Each must be parsed or
 * rejected. */
static void
test_corpus (void **state)
{
  const KqFuzzTarget *t = *state;
  gchar *folder = g_build_filename ("fuzz", "corpus", t->name, NULL);
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;
  int files = 0;
  assert_non_null (dir);
  while ((name = g_dir_read_name (dir)) != NULL)
    {
      gchar *path = g_build_filename (folder, name, NULL);
      run_file (t, path);
      g_free (path);
      files++;
    }
  assert_true (files >= FILES_MIN);
  g_dir_close (dir);
  g_free (folder);
}

int
main (void)
{
  struct CMUnitTest tests[sizeof targets / sizeof targets[0]];
  for (size_t i = 0; i < sizeof targets / sizeof targets[0]; i++)
    tests[i] = (struct CMUnitTest){ .name = targets[i].name,
                                    .test_func = test_corpus,
                                    .initial_state = (void *)&targets[i] };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
