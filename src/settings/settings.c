#include "settings/settings.h"

#include "base/log.h"
#include "settings/settings_keys.h"
#include "settings/toml_shim.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A settings file is about a page long; a file above this size is the wrong one. */
#define FILE_BYTES_MAX (1024 * 1024)
/* Several heartbeats fit into a lease, so that a single lost one doesn't end it. */
#define HEARTBEATS_PER_LEASE_MIN 4

typedef struct
{
  KqSettings *out;
  KqSettingsFault *faults;
  int max;
  int n_faults;
  int lines[64]; /* line of each key, in the order of kq_setting_keys; 0: not given */
  int region_lines[2];   /* of name and shards in the current [[region]]; 0: not given */
  int region_line;       /* line of the current [[region]]; 0: none */
  int skipped_index;     /* index of the skipped section; -1: not in an array of tables */
  KqStr skipped_section; /* already reported as a fault; its keys are ignored */
  bool region_seen;
} Parser;

static void fault (Parser *p, KqResult code, int line, const char *key, const char *fmt,
                   ...) __attribute__ ((format (printf, 5, 6)));

/* Faults beyond max are counted but not stored, so that the caller sees how many there
 * are. */
static void
fault (Parser *p, KqResult code, int line, const char *key, const char *fmt, ...)
{
  if (p->n_faults < p->max)
    {
      KqSettingsFault *f = &p->faults[p->n_faults];
      va_list ap;
      f->code = code;
      f->line = line;
      snprintf (f->key, sizeof f->key, "%s", key);
      va_start (ap, fmt);
      vsnprintf (f->allowed, sizeof f->allowed, fmt, ap);
      va_end (ap);
    }
  p->n_faults++;
}

/* "section.key", shortened, with control characters replaced by '?'. */
static void
full_key (const KqTomlValue *v, char out[96])
{
  const char *dot = v->section.len > 0 && v->key.len > 0 ? "." : "";
  int ns = v->section.len > 40 ? 40 : (int)v->section.len;
  int nk = v->key.len > 50 ? 50 : (int)v->key.len;
  snprintf (out, 96, "%.*s%s%.*s", ns, v->section.ptr, dot, nk, v->key.ptr);
  for (char *c = out; *c != '\0'; c++)
    if (*c < ' ' || *c == 127)
      *c = '?';
}

static int
find_key (KqStr section, KqStr key)
{
  for (int i = 0; i < kq_n_setting_keys; i++)
    if (kq_str_eq (section, kq_str (kq_setting_keys[i].section))
        && kq_str_eq (key, kq_str (kq_setting_keys[i].key)))
      return i;
  return -1;
}

static bool
is_known_section (KqStr section)
{
  for (int i = 0; i < kq_n_setting_keys; i++)
    if (kq_str_eq (section, kq_str (kq_setting_keys[i].section)))
      return true;
  return false;
}

static void
value_fault (Parser *p, KqResult code, int line, const KqSettingKey *k)
{
  char key[96];
  char allowed[120];
  snprintf (key, sizeof key, "%s.%s", k->section, k->key);
  kq_setting_allowed (k, allowed, sizeof allowed);
  fault (p, code, line, key, "%s: %s", kq_setting_type (k), allowed);
}

/* False if the text contains a NUL byte or doesn't fit. */
static bool
copy_text (char *to, size_t size, KqStr s)
{
  return memchr (s.ptr, '\0', s.len) == NULL && kq_str_copy (s, to, size);
}

static bool
valid_url (KqStr s)
{
  KqStr rest;
  for (size_t i = 0; i < s.len; i++)
    if (s.ptr[i] <= ' ' || s.ptr[i] == 127)
      return false;
  if (kq_str_has_prefix (s, KQ_STR ("http://")))
    rest = kq_str_n (s.ptr + 7, s.len - 7);
  else if (kq_str_has_prefix (s, KQ_STR ("https://")))
    rest = kq_str_n (s.ptr + 8, s.len - 8);
  else
    return false;
  return rest.len > 0 && rest.ptr[0] != '/' && rest.ptr[0] != ':';
}

static bool
set_text (Parser *p, const KqSettingKey *k, KqStr s)
{
  char *field = (char *)p->out + k->offset;
  struct in_addr ip;
  switch (k->kind)
    {
    case KQ_SETTING_NAME:
      if (!kq_name_valid (s))
        return false;
      *(KqName *)(void *)field = kq_name (s);
      return true;
    case KQ_SETTING_SECRET:
      return (int64_t)s.len >= k->min && copy_text (field, 256, s);
    case KQ_SETTING_IP:
      return copy_text (field, 16, s) && inet_pton (AF_INET, field, &ip) == 1;
    case KQ_SETTING_URL:
      return valid_url (s) && copy_text (field, 256, s);
    default: /* KQ_SETTING_LOG_LEVEL */
      {
        char level[16];
        int l = copy_text (level, sizeof level, s) ? kq_log_level_parse (level) : -1;
        *(int *)(void *)field = l;
        return l >= 0;
      }
    }
}

static bool
set_number (Parser *p, const KqSettingKey *k, int64_t n)
{
  char *field = (char *)p->out + k->offset;
  if (n < k->min || n > k->max)
    return false;
  if (k->kind == KQ_SETTING_PORT)
    *(int *)(void *)field = (int)n;
  else
    *(int64_t *)(void *)field = n;
  return true;
}

static void
add_depot (Parser *p, const KqSettingKey *k, const KqTomlValue *v)
{
  KqSettings *s = p->out;
  if (!kq_name_valid (v->text) || s->n_depots == KQ_DEPOTS_MAX)
    {
      value_fault (p, KQ_ERR_SETTINGS_RANGE, v->line, k);
      return;
    }
  for (int i = 0; i < s->n_depots; i++)
    if (kq_str_eq (kq_name_str (&s->depots[i]), v->text))
      {
        fault (p, KQ_ERR_SETTINGS_CONFLICT, v->line, "host_lists.depots",
               "each depot once");
        return;
      }
  s->depots[s->n_depots++] = kq_name (v->text);
}

static void
set_region_value (Parser *p, const KqSettingKey *k, const KqTomlValue *v)
{
  KqSettings *s = p->out;
  KqRegionSetting *r = &s->regions[s->n_regions - 1];
  bool ok;
  if (k->kind == KQ_SETTING_REGION_NAME)
    {
      ok = kq_name_valid (v->text);
      if (ok)
        r->name = kq_name (v->text);
      p->region_lines[0] = v->line;
    }
  else
    {
      ok = v->number >= k->min && v->number <= k->max;
      if (ok)
        r->shards = (int)v->number;
      p->region_lines[1] = v->line;
    }
  if (!ok)
    value_fault (p, KQ_ERR_SETTINGS_RANGE, v->line, k);
}

static void
finish_region (Parser *p)
{
  if (p->region_line != 0 && p->region_lines[0] == 0)
    fault (p, KQ_ERR_SETTINGS_MISSING, p->region_line, "region.name",
           "must be given in each [[region]]");
  if (p->region_line != 0 && p->region_lines[1] == 0)
    fault (p, KQ_ERR_SETTINGS_MISSING, p->region_line, "region.shards",
           "must be given in each [[region]]");
  p->region_line = 0;
}

static void
start_section (Parser *p, const KqTomlValue *v)
{
  bool region = kq_str_eq (v->section, KQ_STR ("region"));
  char key[96];
  full_key (v, key);
  p->skipped_section = KQ_STR ("");
  p->skipped_index = -1;
  p->region_seen = p->region_seen || region;
  if (!is_known_section (v->section))
    fault (p, KQ_ERR_SETTINGS_UNKNOWN_KEY, v->line, key,
           "sections are node, cluster, mesh, callers, operators, store, region, "
           "host_lists, limits, log");
  else if (region != (v->index >= 0))
    fault (p, KQ_ERR_SETTINGS_TYPE, v->line, key,
           region ? "written [[region]], once for each" : "one section, written [%s]",
           key);
  else if (!region)
    return;
  else if (p->out->n_regions == KQ_REGIONS_MAX)
    fault (p, KQ_ERR_SETTINGS_RANGE, v->line, key, "at most %d regions", KQ_REGIONS_MAX);
  else
    {
      finish_region (p);
      p->out->n_regions++;
      p->region_line = v->line > 0 ? v->line : 1;
      memset (p->region_lines, 0, sizeof p->region_lines);
      return;
    }
  p->skipped_section = v->section;
  p->skipped_index = v->index;
}

static KqTomlType
expected_type (const KqSettingKey *k)
{
  switch (k->kind)
    {
    case KQ_SETTING_PORT:
    case KQ_SETTING_INT:
    case KQ_SETTING_REGION_SHARDS:
      return KQ_TOML_INTEGER;
    case KQ_SETTING_NAMES:
      return KQ_TOML_STRINGS;
    default:
      return KQ_TOML_STRING;
    }
}

static void
set_value (Parser *p, int i, const KqTomlValue *v)
{
  const KqSettingKey *k = &kq_setting_keys[i];
  bool ok;
  p->lines[i] = v->line > 0 ? v->line : 1;
  if (v->type != expected_type (k))
    {
      if (k->kind == KQ_SETTING_REGION_NAME)
        p->region_lines[0] = v->line;
      if (k->kind == KQ_SETTING_REGION_SHARDS)
        p->region_lines[1] = v->line;
      value_fault (p, KQ_ERR_SETTINGS_TYPE, v->line, k);
      return;
    }
  if (k->kind == KQ_SETTING_NAMES)
    return;
  if (k->kind == KQ_SETTING_REGION_NAME || k->kind == KQ_SETTING_REGION_SHARDS)
    {
      set_region_value (p, k, v);
      return;
    }
  ok = v->type == KQ_TOML_INTEGER ? set_number (p, k, v->number)
                                  : set_text (p, k, v->text);
  if (!ok)
    value_fault (p, KQ_ERR_SETTINGS_RANGE, v->line, k);
}

static void
visit (void *data, const KqTomlValue *v)
{
  Parser *p = data;
  int i;
  if (v->type == KQ_TOML_SECTION)
    {
      start_section (p, v);
      return;
    }
  if (p->skipped_section.len > 0 && kq_str_eq (v->section, p->skipped_section)
      && v->index == p->skipped_index)
    return;
  i = find_key (v->section, v->key);
  if (i < 0)
    {
      char key[96];
      full_key (v, key);
      if (v->element < 0)
        fault (p, KQ_ERR_SETTINGS_UNKNOWN_KEY, v->line, key,
               "no such key; see kumquatd.toml(5)");
      return;
    }
  if (v->element >= 0 && kq_setting_keys[i].kind == KQ_SETTING_NAMES)
    add_depot (p, &kq_setting_keys[i], v);
  else if (v->element < 0)
    set_value (p, i, v);
}

static void
set_defaults (Parser *p)
{
  for (int i = 0; i < kq_n_setting_keys; i++)
    {
      const KqSettingKey *k = &kq_setting_keys[i];
      int64_t n;
      if (k->fallback == NULL || k->kind == KQ_SETTING_NAMES)
        continue;
      if (kq_str_to_i64 (kq_str (k->fallback), &n))
        set_number (p, k, n);
      else
        set_text (p, k, kq_str (k->fallback));
    }
}

static void
check_missing (Parser *p)
{
  for (int i = 0; i < kq_n_setting_keys; i++)
    {
      const KqSettingKey *k = &kq_setting_keys[i];
      if (k->fallback != NULL || p->lines[i] != 0 || strcmp (k->section, "region") == 0)
        continue;
      value_fault (p, KQ_ERR_SETTINGS_MISSING, 0, k);
    }
  if (!p->region_seen)
    fault (p, KQ_ERR_SETTINGS_MISSING, 0, "region", "at least one [[region]]");
}

static int
line_of (const Parser *p, const char *section, const char *key)
{
  return p->lines[find_key (kq_str (section), kq_str (key))];
}

static void
check_regions (Parser *p)
{
  const KqSettings *s = p->out;
  for (int i = 0; i < s->n_regions; i++)
    for (int k = 0; k < i; k++)
      if (s->regions[i].name.len > 0
          && kq_name_eq (&s->regions[i].name, &s->regions[k].name))
        fault (p, KQ_ERR_SETTINGS_CONFLICT, 0, "region.name", "each region once");
  if (s->n_regions > 0 && s->region.len > 0
      && kq_settings_first_shard (s, kq_name_str (&s->region)) < 0)
    fault (p, KQ_ERR_SETTINGS_CONFLICT, line_of (p, "node", "region"), "node.region",
           "one of the [[region]] names");
}

static bool
listeners_overlap (const char *ip_a, int port_a, const char *ip_b, int port_b)
{
  bool any = strcmp (ip_a, "0.0.0.0") == 0 || strcmp (ip_b, "0.0.0.0") == 0;
  return port_a != 0 && port_a == port_b && ip_a[0] != '\0' && ip_b[0] != '\0'
         && (any || strcmp (ip_a, ip_b) == 0);
}

static void
check_listeners (Parser *p)
{
  const KqSettings *s = p->out;
  if (listeners_overlap (s->mesh_ip, s->mesh_port, s->caller_ip, s->caller_port))
    fault (p, KQ_ERR_SETTINGS_CONFLICT, line_of (p, "callers", "port"), "callers.port",
           "another address or port than [mesh]");
  if (listeners_overlap (s->mesh_ip, s->mesh_port, s->operator_ip, s->operator_port))
    fault (p, KQ_ERR_SETTINGS_CONFLICT, line_of (p, "operators", "port"),
           "operators.port", "another address or port than [mesh]");
  if (listeners_overlap (s->caller_ip, s->caller_port, s->operator_ip, s->operator_port))
    fault (p, KQ_ERR_SETTINGS_CONFLICT, line_of (p, "operators", "port"),
           "operators.port", "another address or port than [callers]");
  if (strcmp (s->mesh_ip, "0.0.0.0") == 0)
    fault (p, KQ_ERR_SETTINGS_CONFLICT, line_of (p, "mesh", "ip"), "mesh.ip",
           "an address that other nodes can connect to, not 0.0.0.0");
}

static void
check_times (Parser *p)
{
  const KqSettings *s = p->out;
  if (s->heartbeat_ms * HEARTBEATS_PER_LEASE_MIN > s->node_lease_ms)
    fault (p, KQ_ERR_SETTINGS_CONFLICT, line_of (p, "limits", "heartbeat_ms"),
           "limits.heartbeat_ms", "at most a quarter of node_lease_ms");
  if (s->blind_ms != 0 && s->blind_ms < s->worker_lease_ms)
    fault (p, KQ_ERR_SETTINGS_CONFLICT, line_of (p, "limits", "blind_ms"),
           "limits.blind_ms", "0, or at least worker_lease_ms");
}

/* Sorts by line; faults without a line come last. */
static int
compare_faults (const void *a, const void *b)
{
  unsigned la = (unsigned)((const KqSettingsFault *)a)->line - 1U;
  unsigned lb = (unsigned)((const KqSettingsFault *)b)->line - 1U;
  return (la > lb) - (la < lb);
}

int
kq_settings_parse (KqStr text, KqSettings *out, KqSettingsFault *faults, int max)
{
  Parser p = { .out = out, .faults = faults, .max = max, .skipped_index = -1 };
  char why[120];
  int line;
  memset (out, 0, sizeof *out);
  p.skipped_section = KQ_STR ("");
  set_defaults (&p);
  line = kq_toml_read (text, visit, &p, why, sizeof why);
  if (line != 0)
    {
      fault (&p, KQ_ERR_SETTINGS_SYNTAX, line, "", "%s", why);
      return p.n_faults;
    }
  finish_region (&p);
  check_missing (&p);
  check_regions (&p);
  check_listeners (&p);
  check_times (&p);
  if (out->n_depots == 0 && out->depot.len > 0)
    out->depots[out->n_depots++] = out->depot;
  qsort (faults, (size_t)(p.n_faults < max ? p.n_faults : max), sizeof *faults,
         compare_faults);
  return p.n_faults;
}

int
kq_settings_load (const char *path, KqSettings *out, KqSettingsFault *faults, int max)
{
  Parser p = { .out = out, .faults = faults, .max = max };
  char *text = kq_alloc (FILE_BYTES_MAX + 1);
  FILE *f = fopen (path, "rb");
  size_t len = f != NULL ? fread (text, 1, FILE_BYTES_MAX + 1, f) : 0;
  int n;
  if (f == NULL || ferror (f) || len > FILE_BYTES_MAX)
    {
      memset (out, 0, sizeof *out);
      fault (&p, KQ_ERR_FILE, 0, "", "a file that can be read, at most 1 MB");
      n = p.n_faults;
    }
  else
    n = kq_settings_parse (kq_str_n (text, len), out, faults, max);
  if (f != NULL)
    fclose (f);
  free (text);
  return n;
}

int
kq_settings_first_shard (const KqSettings *s, KqStr region)
{
  int first = 0;
  for (int i = 0; i < s->n_regions; i++)
    {
      if (kq_str_eq (kq_name_str (&s->regions[i].name), region))
        return first;
      first += s->regions[i].shards;
    }
  return -1;
}

int
kq_settings_total_shards (const KqSettings *s)
{
  int total = 0;
  for (int i = 0; i < s->n_regions; i++)
    total += s->regions[i].shards;
  return total;
}

void
kq_settings_fault_print (const KqSettingsFault *f, KqBuf *out)
{
  if (f->line > 0)
    kq_buf_printf (out, "line %d: ", f->line);
  kq_buf_printf (out, "%s%s", f->key, f->key[0] != '\0' ? ": " : "");
  kq_buf_printf (out, "%s (%d %s)\n", f->allowed, (int)f->code, kq_result_name (f->code));
}

void
kq_settings_print_reference (KqBuf *out)
{
  for (int i = 0; i < kq_n_setting_keys; i++)
    {
      const KqSettingKey *k = &kq_setting_keys[i];
      char allowed[120];
      kq_setting_allowed (k, allowed, sizeof allowed);
      kq_buf_printf (out, "%s\t%s\t%s\t%s\t%s\t%s\n", k->section, k->key,
                     kq_setting_type (k), allowed,
                     k->fallback == NULL      ? "(must be given)"
                     : k->fallback[0] == '\0' ? "(none)"
                                              : k->fallback,
                     k->meaning);
    }
}
