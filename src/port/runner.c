#include "port/runner.h"

const char *
kq_order_result_name (KqOrderResult r)
{
  static const char *const names[]
      = { "ok",        "fenced",    "old_run",    "late", "no_room",
          "no_ticket", "unhealthy", "other_life", "bad",  "no_answer" };
  return names[r];
}

const char *
kq_end_reason_name (KqEndReason r)
{
  static const char *const names[]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
  return names[r];
}
