#include "settings/fleet_settings.h"

#include "base/log.h"
#include "settings/toml_shim.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef enum
{
  NAME,
  TEXT,
  OPTIONAL_TEXT, /* may be empty or missing */
  NUMBER,        /* an integer */
  MILLI,         /* a decimal, stored in thousandths: "0.25" is 250, seconds become ms */
  LOG_LEVEL
} Kind;

typedef struct
{
  const char *section;
  const char *key;
  Kind kind;
  size_t offset; /* in KqFleetSettings */
  size_t size;   /* of the field, for TEXT and OPTIONAL_TEXT */
  int64_t min;
  int64_t max;
  int64_t fallback; /* default; -1: the key is required */
} Key;

#define AT(field) offsetof (KqFleetSettings, field)
#define SIZE(field) sizeof (((KqFleetSettings *)0)->field)
#define PORT_MAX 65535
#define HOUR_MS 3600000

static const Key keys[] = {
  { "fleet", "node", NAME, AT (node), 0, 0, 0, -1 },
  { "fleet", "failure_domain", NAME, AT (failure_domain), 0, 0, 0, -1 },
  { "fleet", "region", NAME, AT (region), 0, 0, 0, -1 },
  { "fleet", "cpu_share", MILLI, AT (cpu_share_milli), 0, 1, 1000000, 1000 },
  { "fleet", "log_level", LOG_LEVEL, AT (log_level), 0, 0, 0, KQ_LOG_INFO },
  { "listen", "ip", TEXT, AT (ip), SIZE (ip), 0, 0, -1 },
  { "listen", "front", TEXT, AT (front), SIZE (front), 0, 0, -1 },
  { "listen", "ready", TEXT, AT (ready), SIZE (ready), 0, 0, -1 },
  { "listen", "peer_port", NUMBER, AT (peer_port), 0, 0, PORT_MAX, -1 },
  { "listen", "metrics_port", NUMBER, AT (metrics_port), 0, 0, PORT_MAX, -1 },
  { "store", "address", TEXT, AT (store), SIZE (store), 0, 0, -1 },
  { "store", "lease_min_ms", NUMBER, AT (lease_min_ms), 0, 1, HOUR_MS, 1000 },
  { "advice", "address", OPTIONAL_TEXT, AT (advice), SIZE (advice), 0, 0, 0 },
  { "control_plane", "address", OPTIONAL_TEXT, AT (control_plane), SIZE (control_plane),
    0, 0, 0 },
  { "bounds", "runner_lease_max_ms", NUMBER, AT (runner_lease_max_ms), 0, 500, HOUR_MS,
    6000 },
  { "bounds", "maintenance_s", MILLI, AT (maintenance_ms), 0, 0, HOUR_MS, 2000 },
  { "bounds", "grace_s", MILLI, AT (grace_ms), 0, 0, HOUR_MS, 6000 },
  { "bounds", "keep_s", MILLI, AT (keep_ms), 0, 0, 24 * (int64_t)HOUR_MS, 120000 },
  { "limits", "memory_mb", NUMBER, AT (limits.memory_mb), 0, KQ_LIMIT_MEMORY_MB_MIN,
    KQ_LIMIT_MAX, 160 },
  { "limits", "max_fds", NUMBER, AT (limits.max_fds), 0, KQ_LIMIT_MAX_FDS_MIN,
    KQ_LIMIT_MAX, 4096 },
  { "limits", "request_s", MILLI, AT (limits.request_ms), 0, 100, HOUR_MS, 75000 },
};
#define N_KEYS ((int)(sizeof keys / sizeof keys[0]))

/* A key of the section [scheduling]: one of two words; it is off if not given. */
typedef struct
{
  const char *key;
  const char *off;
  const char *on;
  size_t offset; /* of a bool in KqFleetSettings */
} Switch;

static const char switch_section[] = "scheduling";
static const Switch switches[] = {
  { "order", "objective", "forecast", AT (scheduling.forecast_order) },
  { "estimates", "declared", "learned", AT (scheduling.learned_estimates) },
  { "large_task_room", "off", "on", AT (scheduling.large_task_room) },
  { "admission", "all", "forecast", AT (scheduling.admission) },
};
#define N_SWITCHES (sizeof switches / sizeof switches[0])

typedef struct
{
  KqFleetSettings *out;
  KqSettingsFault *faults;
  int max;
  int n;
  int lines[N_KEYS]; /* line of each key; 0: not given */
} Parser;

static void
fault (Parser *p, KqResult code, int line, const char *section, const char *key,
       const char *allowed)
{
  if (p->n < p->max)
    {
      KqSettingsFault *f = &p->faults[p->n];
      f->code = code;
      f->line = line;
      snprintf (f->key, sizeof f->key, "%s.%s", section, key);
      snprintf (f->allowed, sizeof f->allowed, "%s", allowed);
    }
  p->n++;
}

/* Converts a decimal number with up to three decimals to thousandths. */
static bool
to_milli (KqStr s, int64_t *out)
{
  char text[32];
  char *end;
  double v;
  if (s.len == 0 || !kq_str_copy (s, text, sizeof text))
    return false;
  v = strtod (text, &end);
  if (*end != '\0' || !(v >= -1e12 && v <= 1e12))
    return false;
  *out = (int64_t)(v * 1000 + 0.5);
  return true;
}

static bool
read_number (const Key *k, const KqTomlValue *v, int64_t *out)
{
  KqStr text = v->text;
  if (v->type == KQ_TOML_INTEGER)
    {
      *out = k->kind == MILLI ? v->number * 1000 : v->number;
      return true;
    }
  if (v->type != KQ_TOML_STRING || !to_milli (text, out))
    return false;
  if (k->kind == NUMBER)
    *out /= 1000;
  return true;
}

static void
set_number (Parser *p, const Key *k, const KqTomlValue *v)
{
  int64_t n;
  if (!read_number (k, v, &n))
    fault (p, KQ_ERR_SETTINGS_TYPE, v->line, k->section, k->key, "a number");
  else if (n < k->min || n > k->max)
    fault (p, KQ_ERR_SETTINGS_RANGE, v->line, k->section, k->key, "out of range");
  else
    memcpy ((char *)p->out + k->offset, &n, sizeof n);
}

static void
set_text (Parser *p, const Key *k, const KqTomlValue *v)
{
  KqName name;
  int level;
  char *to = (char *)p->out + k->offset;
  char word[16];
  if (v->type != KQ_TOML_STRING)
    {
      fault (p, KQ_ERR_SETTINGS_TYPE, v->line, k->section, k->key, "a string");
      return;
    }
  if (k->kind == NAME && kq_name_valid (v->text))
    {
      name = kq_name (v->text);
      memcpy (to, &name, sizeof name);
    }
  else if ((k->kind == OPTIONAL_TEXT || (k->kind == TEXT && v->text.len > 0))
           && v->text.len < k->size)
    kq_str_copy (v->text, to, k->size);
  else if (k->kind == LOG_LEVEL && kq_str_copy (v->text, word, sizeof word))
    {
      level = kq_log_level_parse (word);
      if (level < 0)
        fault (p, KQ_ERR_SETTINGS_RANGE, v->line, k->section, k->key,
               "error, warn, info or debug");
      else
        memcpy (to, &level, sizeof level);
    }
  else
    fault (p, KQ_ERR_SETTINGS_RANGE, v->line, k->section, k->key,
           "empty, too long or with characters that are not allowed");
}

static void
set_switch (Parser *p, const Switch *w, const KqTomlValue *v)
{
  bool on = kq_str_eq (v->text, kq_str (w->on));
  char allowed[40];
  snprintf (allowed, sizeof allowed, "\"%s\" or \"%s\"", w->off, w->on);
  if (v->type != KQ_TOML_STRING)
    fault (p, KQ_ERR_SETTINGS_TYPE, v->line, switch_section, w->key, allowed);
  else if (!on && !kq_str_eq (v->text, kq_str (w->off)))
    fault (p, KQ_ERR_SETTINGS_RANGE, v->line, switch_section, w->key, allowed);
  else
    memcpy ((char *)p->out + w->offset, &on, sizeof on);
}

static void
visit (void *data, const KqTomlValue *v)
{
  Parser *p = data;
  if (v->type == KQ_TOML_SECTION)
    return;
  for (size_t i = 0; i < N_SWITCHES; i++)
    if (kq_str_eq (v->section, kq_str (switch_section))
        && kq_str_eq (v->key, kq_str (switches[i].key)))
      {
        set_switch (p, &switches[i], v);
        return;
      }
  for (int i = 0; i < N_KEYS; i++)
    {
      const Key *k = &keys[i];
      if (!kq_str_eq (v->section, kq_str (k->section))
          || !kq_str_eq (v->key, kq_str (k->key)))
        continue;
      p->lines[i] = v->line;
      if (k->kind == NUMBER || k->kind == MILLI)
        set_number (p, k, v);
      else
        set_text (p, k, v);
      return;
    }
  fault (p, KQ_ERR_SETTINGS_UNKNOWN_KEY, v->line, "", "", "unknown key");
}

static void
fill_defaults (Parser *p)
{
  for (int i = 0; i < N_KEYS; i++)
    {
      const Key *k = &keys[i];
      int level = (int)k->fallback;
      if (p->lines[i] != 0)
        continue;
      if (k->fallback < 0)
        fault (p, KQ_ERR_SETTINGS_MISSING, 0, k->section, k->key, "must be given");
      else if (k->kind == OPTIONAL_TEXT)
        continue;
      else if (k->kind == LOG_LEVEL)
        memcpy ((char *)p->out + k->offset, &level, sizeof level);
      else
        memcpy ((char *)p->out + k->offset, &k->fallback, sizeof k->fallback);
    }
}

int
kq_fleet_settings_parse (KqStr text, KqFleetSettings *out, KqSettingsFault *faults,
                         int max)
{
  Parser p = { .out = out, .faults = faults, .max = max };
  char why[120];
  int line;
  *out = (KqFleetSettings){ 0 };
  line = kq_toml_read (text, visit, &p, why, sizeof why);
  if (line > 0)
    {
      fault (&p, KQ_ERR_SETTINGS_SYNTAX, line, "", "", why);
      return p.n;
    }
  fill_defaults (&p);
  if (out->keep_ms < KQ_KEEP_MIN_MS)
    out->keep_ms = KQ_KEEP_MIN_MS;
  return p.n;
}

static void
find_fleet_section (void *data, const KqTomlValue *v)
{
  bool *found = data;
  if (kq_str_eq (v->section, KQ_STR ("fleet")))
    *found = true;
}

bool
kq_fleet_settings_detect (KqStr text)
{
  bool found = false;
  char why[120];
  kq_toml_read (text, find_fleet_section, &found, why, sizeof why);
  return found;
}
