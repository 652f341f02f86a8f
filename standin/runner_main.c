/* standin-runner: one runner of the platform in its own process, so that a test can kill
 * it and start it again on the same port. A breached invariant is a line
 * "breach: RULE: TASK" on stderr. */

#include "platform_runner.h"

int
main (int argc, char **argv)
{
  gint number = 0;
  gint port = 0;
  gint64 clock = 1000;
  GOptionEntry entries[] = {
    { "number", 0, 0, G_OPTION_ARG_INT, &number, "Its id follows from it", "N" },
    { "port", 0, 0, G_OPTION_ARG_INT, &port, "Port to listen on; 0: the kernel's", "N" },
    { "clock-ms", 0, 0, G_OPTION_ARG_INT64, &clock, "Its steady clock at the start",
      "N" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  KqPlatformRunnerConfig c = { .cpu_milli = 8000 };
  KqLoop *loop;
  kq_web_options ("- stand-in for a runner of the users' platform", entries, argc, argv);
  c.number = number;
  c.port = port;
  c.clock_ms = clock;
  loop = kq_loop_new ();
  kq_platform_runner_new (loop, NULL, kq_platform_ledger_new (), &c);
  kq_loop_run (loop);
  return 0;
}
