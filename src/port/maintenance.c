#include "port/maintenance.h"

const char *
kq_maintenance_result_name (KqMaintenanceResult r)
{
  static const char *const names[]
      = { "ok", "fenced", "busy", "foreign", "limited", "no_answer" };
  return names[r];
}
