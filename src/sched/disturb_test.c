#include "base/rand.h"
#include "sched/disturb.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* The next leader reads the same model from the stored form, and no truncated form. */
static void
check_next_leader (KqDisturb *d, const int s[2], const int f[3])
{
  KqDisturb *next = kq_disturb_new ();
  KqBuf b = { 0 };
  kq_disturb_pack (d, &b);
  assert_true (kq_disturb_unpack (next, kq_buf_str (&b)));
  for (int v = 0; v < 2; v++)
    for (int i = 0; i < 3; i++)
      assert_true (kq_disturb_loss_bound (next, s[v], f[i])
                   == kq_disturb_loss_bound (d, s[v], f[i]));
  for (size_t n = 0; n < b.len; n++)
    {
      KqDisturb *cut = kq_disturb_new ();
      assert_false (kq_disturb_unpack (cut, kq_str_n (b.ptr, n)));
      kq_disturb_free (cut);
    }
  kq_buf_free (&b);
  kq_disturb_free (next);
}

/* Two serving images beside three filling ones; one of these disturbs the first serving
 * image, another the second. Each report is compared with that of another task of the
 * step, so that their common load cancels out; the rest is noisy, and now and then a
 * queue grows without bound. After some hundred comparisons the two harmful pairs must be
 * found, and no other. */
static void
test_harmful_pairs_are_found (void **state)
{
  KqDisturb *d = kq_disturb_new ();
  KqRand r = kq_rand (7);
  int s[2]
      = { kq_disturb_serving (d, KQ_STR ("s0")), kq_disturb_serving (d, KQ_STR ("s1")) };
  int f[3]
      = { kq_disturb_filling (d, KQ_STR ("f0")), kq_disturb_filling (d, KQ_STR ("f1")),
          kq_disturb_filling (d, KQ_STR ("f2")) };
  static const double truth[2][3] = { { 9, 0, 0 }, { 0, 6, 0 } };
  (void)state;
  for (int n = 0; n < 600; n++)
    {
      double x[KQ_DISTURB_IMAGES_MAX] = { 0 };
      double lost = (kq_rand_unit (&r) - 0.5) * 0.8;
      int v = n % 2;
      for (int i = 0; i < 3; i++)
        x[f[i]] = 0.1 * (double)kq_rand_below (&r, 3) - 0.1;
      for (int i = 0; i < 3; i++)
        lost += truth[v][i] * x[f[i]];
      if (kq_rand_below (&r, 50) == 0)
        lost += 20;
      kq_disturb_learn (d, s[v], lost, 0.06, x);
    }
  for (int v = 0; v < 2; v++)
    for (int i = 0; i < 3; i++)
      {
        double press = kq_disturb_loss_bound (d, s[v], f[i]);
        if (truth[v][i] > 0)
          assert_true (press > 0.6 * truth[v][i] && press < 1.4 * truth[v][i]);
        else
          assert_true (press < 1.0);
      }
  check_next_leader (d, s, f);
  kq_disturb_free (d);
}

static void
test_unknown_images_count_as_harmless (void **state)
{
  KqDisturb *d = kq_disturb_new ();
  (void)state;
  assert_true (kq_disturb_loss_bound (d, kq_disturb_serving (d, KQ_STR ("s")),
                                      kq_disturb_filling (d, KQ_STR ("f")))
               == 0);
  for (int i = 0; i < 2 * KQ_DISTURB_IMAGES_MAX; i++)
    {
      char name[2] = { (char)('!' + i), '\0' };
      assert_true (kq_disturb_filling (d, kq_str (name)) < KQ_DISTURB_IMAGES_MAX);
    }
  kq_disturb_free (d);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_harmful_pairs_are_found),
          cmocka_unit_test (test_unknown_images_count_as_harmless) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
