#ifndef KQ_SETTINGS_SETTINGS_H
#define KQ_SETTINGS_SETTINGS_H

/* settings: reads the daemon's TOML file at the start and checks it.
 *
 * toml_shim.cc wraps the parser, toml++. This module checks keys, types, ranges and
 * combinations of values. All faults are reported, not only the first. */

#include "base/client_limits.h"
#include "base/result.h"
#include "base/str.h"

typedef struct
{
  KqName name; /* "eu-west" */
  int shards;  /* number of shards of the region */
} KqRegionSetting;

#define KQ_LIMIT_MEMORY_MB_MIN 32
#define KQ_LIMIT_MAX_FDS_MIN 256
#define KQ_LIMIT_MAX (1024 * 1024) /* of both */

#define KQ_REGIONS_MAX 32
#define KQ_DEPOTS_MAX 16

typedef struct
{
  KqName cluster;
  KqName node;
  KqName region;
  KqName depot;
  char secret[256]; /* shared by all nodes; at least 16 bytes; never printed */

  char mesh_ip[16];
  int mesh_port;
  char caller_ip[16];
  int caller_port;
  char operator_ip[16];
  int operator_port;
  char operator_token[256];

  char store_url[256];
  /* All regions with their shard counts, the same on every node and in the same order.
   * Shards are numbered consecutively across the regions. */
  KqRegionSetting regions[KQ_REGIONS_MAX];
  int n_regions;
  /* Depots of this node's region whose host lists this node reads. */
  KqName depots[KQ_DEPOTS_MAX];
  int n_depots;

  KqClientLimitsConfig limits;
  int log_level;             /* KqLogLevel */
  int64_t store_calls_per_s; /* this node's budget of store calls; 10 by default */
  int64_t link_bytes_per_s;  /* this node's share of the link between regions */
  int64_t node_lease_ms;
  int64_t worker_lease_ms;
  int64_t blind_ms; /* longest time that workers are renewed in a store outage */
  int64_t heartbeat_ms;
  int64_t stop_ms; /* time limit of a planned stop */
} KqSettings;

typedef struct
{
  KqResult code;
  int line; /* 0: the fault has no single line */
  char key[96];
  char allowed[160]; /* what is allowed instead, or what is wrong */
} KqSettingsFault;

#define KQ_SETTINGS_FAULTS_MAX 64

/* Reads and checks a file. Returns the number of faults, of which the first max are
 * stored; *out is valid only if it is 0. */
int kq_settings_load (const char *path, KqSettings *out, KqSettingsFault *faults,
                      int max);
/* The same for a text in memory. */
int kq_settings_parse (KqStr text, KqSettings *out, KqSettingsFault *faults, int max);
/* First shard number of a region; -1 if the settings don't name it. */
int kq_settings_first_shard (const KqSettings *s, KqStr region);
int kq_settings_total_shards (const KqSettings *s);
/* Appends one line: "line 7: mesh.port: integer: 0 to 65535 (105 SETTINGS_RANGE)". It
 * never contains values from the file, which may be secret. */
void kq_settings_fault_print (const KqSettingsFault *f, KqBuf *out);
/* Appends one line per key, tab-separated: section, key, type, allowed, default, meaning.
 * The manual page kumquatd.toml(5) is generated from it. */
void kq_settings_print_reference (KqBuf *out);

#endif
