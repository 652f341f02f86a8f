#include "fuzz.h"

#include "settings/settings.h"

void
kq_fuzz_settings (KqStr data)
{
  static KqSettings settings;
  static KqSettingsFault faults[KQ_SETTINGS_FAULTS_MAX];
  int n = kq_settings_parse (data, &settings, faults, KQ_SETTINGS_FAULTS_MAX);
  for (int i = 0; i < n && i < KQ_SETTINGS_FAULTS_MAX; i++)
    {
      KqBuf line = { 0 };
      kq_settings_fault_print (&faults[i], &line);
      kq_buf_free (&line);
    }
  if (n > 0)
    return;
  kq_fuzz_check (kq_settings_first_shard (&settings, kq_name_str (&settings.region)) >= 0,
                 "a node's region is one of the regions");
  kq_fuzz_check (kq_settings_total_shards (&settings) > 0, "there is a shard");
}
