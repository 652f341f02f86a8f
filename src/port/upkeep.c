#include "port/upkeep.h"

const char *
kq_upkeep_result_name (KqUpkeepResult r)
{
  static const char *const names[]
      = { "ok", "fenced", "busy", "foreign", "limited", "no_answer" };
  return names[r];
}
