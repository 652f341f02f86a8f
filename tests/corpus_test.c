#include "fuzz.h"

#include <glib.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* Enough to notice a corpus that was lost, few enough to stay small. */
#define FILES_MIN 8

static const KqFuzzTarget targets[] = {
  { "frame", kq_fuzz_frame },       { "block", kq_fuzz_block },
  { "record", kq_fuzz_record },     { "table", kq_fuzz_table },
  { "row", kq_fuzz_row },           { "settings", kq_fuzz_settings },
  { "hosts", kq_fuzz_hosts },       { "worker", kq_fuzz_worker },
  { "platform", kq_fuzz_platform },
};

/* Runs the file's bytes, each of its beginnings, and the bytes with one changed. */
static void
run_file (const KqFuzzTarget *t, const char *path)
{
  gchar *bytes = NULL;
  gsize len = 0;
  assert_true (g_file_get_contents (path, &bytes, &len, NULL));
  t->run (kq_str_n (bytes, len));
  for (size_t n = 0; n < len; n++)
    {
      /* A copy without anything behind it, so that reading beyond the end shows. */
      char *cut = g_memdup2 (bytes, n);
      t->run (kq_str_n (cut, n));
      g_free (cut);
    }
  for (size_t i = 0; i < len; i++)
    {
      bytes[i] = (char)(bytes[i] ^ 0x55);
      t->run (kq_str_n (bytes, len));
      bytes[i] = (char)(bytes[i] ^ 0x55);
    }
  g_free (bytes);
}

/* What a peer, the store, the platform or an operator sends may be anything. Files here
 * are inputs that reached a new place in the reader, and every one that broke it. The
 * caller would see a node that dies; each must be read or refused instead. */
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
