#ifndef KQ_SETTINGS_SETTINGS_KEYS_H
#define KQ_SETTINGS_SETTINGS_KEYS_H

/* settings_keys: the table of all keys of the settings file. The checks, the defaults and
 * the manual page are derived from it. Private to src/settings. */

#include "settings/settings.h"

typedef enum
{
  KQ_SETTING_NAME,      /* KqName */
  KQ_SETTING_SECRET,    /* char[256]; min and max are lengths in bytes */
  KQ_SETTING_IP,        /* char[16] */
  KQ_SETTING_URL,       /* char[256] */
  KQ_SETTING_PORT,      /* int */
  KQ_SETTING_INT,       /* int64_t */
  KQ_SETTING_LOG_LEVEL, /* int, a KqLogLevel */
  KQ_SETTING_NAMES,     /* KqSettings.depots */
  KQ_SETTING_REGION_NAME,
  KQ_SETTING_REGION_SHARDS
} KqSettingKind;

typedef struct
{
  const char *section;
  const char *key;
  KqSettingKind kind;
  size_t offset; /* in KqSettings; not used by NAMES and REGION_* */
  int64_t min;
  int64_t max;
  const char *fallback; /* default, as text; NULL: the key is required */
  const char *meaning;
} KqSettingKey;

extern const KqSettingKey kq_setting_keys[];
extern const int kq_n_setting_keys;

/* Describes the values that the key allows, such as "0 to 65535". */
void kq_setting_allowed (const KqSettingKey *k, char *out, size_t size);
const char *kq_setting_type (const KqSettingKey *k);

#endif
